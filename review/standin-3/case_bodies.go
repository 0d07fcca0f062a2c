package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case. Targets, their speed, memory and time limits are those of the sites' pages; bodies are below the limit
// of the configuration, 64 MiB.
const (
	bodiesTargets  = 2
	bodiesIngress  = 11
	bodiesPerNode  = 3
	bodySize       = 8_300_000
	bodiesWork     = 290 * time.Millisecond
	bodiesSlow     = 12
	bodiesSlowFor  = 9 * time.Second
	bodiesCalmFor  = 3 * time.Second
	bodiesPeriods  = 6
	bodiesDeadline = 12 * time.Second
	bodiesPause    = 500 * time.Millisecond
)

// playBodies: clients of many machines send large bodies to a service whose targets turn slow at times. A process that exceeds
// the memory of its machine is killed and started again, as the platform does.
func playBodies(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", []byte(`{"version":"r3","routes":{"upload":{"host":"u.example","path_prefix":"/upload/","route_type":"non_idempotent","timeout_ms":12000,"aim_ms":2000,"priority":1,"service":"archive","max_attempts":2,"allowed_regions":[]}},`+
		`"services":{"archive":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8},"trading":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8}},`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	places := [][2]string{{"west-a", "west"}, {"central-a", "central"}, {"west-b", "west"}, {"central-b", "central"}}
	for i := range bodiesTargets + bodiesIngress {
		p, service := places[i%len(places)], "trading"
		if i < bodiesTargets {
			service = "archive"
		}
		if _, err := f.add(service, p[0], p[1], false, 9, bodiesWork); err != nil {
			return false, err
		}
	}
	time.Sleep(12 * time.Second)
	f.rec.note("traffic starts")
	machines := f.all()
	owners := machines[:bodiesTargets]
	stop := make(chan struct{})
	watch := f.watchMemory(stop)
	body := make([]byte, bodySize)
	c := newClient(f.rec)
	var mu sync.Mutex
	statuses := map[int]int{}
	var clients sync.WaitGroup
	for _, m := range machines[bodiesTargets:] {
		for k := range bodiesPerNode {
			clients.Add(1)
			go func() {
				defer clients.Done()
				time.Sleep(time.Duration(k) * 300 * time.Millisecond)
				for {
					r := c.send(m, attempt{method: "POST", path: "/upload/x", host: "u.example", key: -1, body: body, deadline: bodiesDeadline})
					mu.Lock()
					statuses[r.status]++
					mu.Unlock()
					select {
					case <-stop:
						return
					case <-time.After(max(bodiesPause, r.retryAfter)):
					}
				}
			}()
		}
	}
	report := func() {
		mu.Lock()
		defer mu.Unlock()
		line := ""
		for _, m := range owners {
			line += fmt.Sprintf("%s: %d MB, at most %d MB, over the limit %d times; ", m.name, m.memory()>>10, m.peakKB>>10, m.overLimit)
		}
		f.rec.note("%sanswers %v", line, statuses)
	}
	time.Sleep(3 * time.Second)
	for range bodiesPeriods {
		if trouble {
			f.rec.note("the targets turn slow")
			for _, m := range owners {
				m.target.setWork(bodiesWork * bodiesSlow)
			}
		}
		time.Sleep(bodiesSlowFor)
		for _, m := range owners {
			m.target.setWork(bodiesWork)
		}
		report()
		time.Sleep(bodiesCalmFor)
	}
	close(stop)
	clients.Wait()
	watch.Wait()
	report()
	if statuses[200] < 50 {
		return false, fmt.Errorf("too few requests were served to judge")
	}
	return f.judgeMemory(), nil
}
