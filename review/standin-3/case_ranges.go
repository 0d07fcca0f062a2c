package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the case. Requests and targets are those of a small service that is divided by key.
const (
	rangesTargets   = 4
	rangesBusyRate  = 300
	rangesCalmRate  = 60
	rangesSlots     = 9
	rangesWork      = 80 * time.Millisecond
	rangesDeadline  = 2500 * time.Millisecond
	hotShare        = 0.44
	hotKeys         = 200
	hotTime         = 5 * time.Second
	recoveryTime    = 15 * time.Second
	rangesBusyUntil = 56 * time.Second
)

// playRanges: keys that are busy change during a day; then the service is scaled in, all processes are killed, and the
// requests that are sent 15 s after the machines are back are counted.
func playRanges(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", rangesConfig("r3"))
	places := [][2]string{{"west-a", "west"}, {"central-a", "central"}, {"west-b", "west"}, {"central-b", "central"}}
	for i := range rangesTargets {
		p := places[i%len(places)]
		if _, err := f.add("warrant", p[0], p[1], true, rangesSlots, rangesWork); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	f.rec.note("traffic starts")
	start := time.Now()
	t := &traffic{f: f, client: newClient(f.rec)}
	var hot sync.Mutex
	hotFrom := -1
	key := func() int {
		hot.Lock()
		defer hot.Unlock()
		if hotFrom >= 0 && rand.Float64() < hotShare {
			return hotFrom + rand.IntN(hotKeys)
		}
		return rand.IntN(65536)
	}
	if trouble {
		go func() {
			for time.Since(start) < rangesBusyUntil {
				hot.Lock()
				hotFrom = rand.IntN(65536 - hotKeys)
				hot.Unlock()
				time.Sleep(hotTime)
			}
			hot.Lock()
			hotFrom = -1
			hot.Unlock()
		}()
	}
	stop := make(chan struct{})
	rate := func() float64 {
		if time.Since(start) < rangesBusyUntil {
			return rangesBusyRate
		}
		return rangesCalmRate
	}
	go t.run(rate, func() attempt {
		return attempt{method: "GET", path: "/history/x", host: "w.example", key: key(), deadline: rangesDeadline}
	}, stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(4 * time.Second):
				for _, m := range f.all() {
					m.target.mu.Lock()
					f.rec.note("target %s: %d rows, largest response %d bytes, %d of %d heartbeats not acknowledged", m.target.id, m.target.rows, m.target.largest, m.target.tooLarge, m.target.beats)
					m.target.mu.Unlock()
				}
			}
		}
	}()
	time.Sleep(time.Until(start.Add(rangesBusyUntil + 2*time.Second)))
	// The service is scaled in by one target of four at a time.
	for _, m := range f.all()[1:] {
		m.scaleIn()
	}
	f.store.put("config", rangesConfig("r5"))
	killed := time.Now()
	f.rec.note("all processes are killed")
	for _, m := range f.all() {
		m.killFor(700 * time.Millisecond)
	}
	back := killed.Add(time.Second)
	time.Sleep(time.Until(back.Add(recoveryTime + 10*time.Second)))
	close(stop)
	t.wait()
	before, after := t.share(start, killed), t.share(back.Add(recoveryTime), time.Now())
	f.rec.note("served before the final fault: %v; sent later than 15 s after the machines were back: %v", before, after)
	if before.part() < 0.25 || after.total < 100 {
		return false, fmt.Errorf("the share before the final fault, or the number of requests after it, is too small to judge")
	}
	return after.part() < 0.25, nil
}

func rangesConfig(version string) []byte {
	return []byte(`{"version":"` + version + `","routes":{"history":{"host":"w.example","path_prefix":"/history/","route_type":"idempotent","timeout_ms":2500,"aim_ms":600,"priority":2,"service":"warrant","max_attempts":2,"allowed_regions":[]}},` +
		`"services":{"warrant":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8,"sharded":true,"warm_s":5.0,"grants":"heartbeat"}},` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
}

// traffic sends requests at a rate to all machines.
type traffic struct {
	f      *fleet
	client *client
	mu     sync.Mutex
	all    []result
	open   sync.WaitGroup
}

func (t *traffic) run(rate func() float64, next func() attempt, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / rate() * float64(time.Second))):
		}
		machines := t.f.all()
		if len(machines) == 0 {
			continue
		}
		m := machines[rand.IntN(len(machines))]
		t.open.Add(1)
		go func() {
			defer t.open.Done()
			r := t.client.send(m, next())
			t.mu.Lock()
			t.all = append(t.all, r)
			t.mu.Unlock()
		}()
	}
}

func (t *traffic) wait() { t.open.Wait() }

// served is how many of a number of requests were served.
type served struct{ served, total int }

func (s served) part() float64 { return float64(s.served) / float64(max(1, s.total)) }

func (s served) String() string { return fmt.Sprintf("%d of %d", s.served, s.total) }

func (t *traffic) share(from, to time.Time) (s served) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.all {
		if r.sent.After(from) && r.sent.Before(to) {
			s.total++
			if r.served {
				s.served++
			}
		}
	}
	return s
}
