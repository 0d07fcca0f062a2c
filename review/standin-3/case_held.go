package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Figures of the case: requests of one route take long at times, and those of another one must not wait for them.
const (
	heldHistoryRate    = 150
	heldPriceRate      = 60
	heldPriceTimeout   = 600 * time.Millisecond
	heldPriceDeadline  = 1200 * time.Millisecond
	heldUnansweredTime = 500 * time.Millisecond
	freezeTime         = 4 * time.Second
)

// playHeld: the machine of one service freezes. Requests to another service, whose machines are calm, are counted that have no
// answer half a second after the timeout of their route.
func playHeld(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", []byte(`{"version":"r3","routes":{`+
		`"history":{"host":"w.example","path_prefix":"/history/","route_type":"idempotent","timeout_ms":6000,"aim_ms":600,"priority":2,"service":"warrant","max_attempts":2,"allowed_regions":[]},`+
		`"price":{"host":"p.example","path_prefix":"/price/","route_type":"idempotent","timeout_ms":600,"aim_ms":300,"priority":1,"service":"trading","max_attempts":2,"allowed_regions":[]}},`+
		`"services":{"warrant":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8,"sharded":true,"warm_s":5.0,"grants":"heartbeat"},"trading":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8}},`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	places := [][2]string{{"west-a", "west"}, {"central-a", "central"}, {"west-b", "west"}, {"central-b", "central"}}
	for i, service := range []string{"warrant", "trading", "trading", "trading"} {
		if _, err := f.add(service, places[i][0], places[i][1], service == "warrant", 9, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(9 * time.Second)
	f.rec.note("traffic starts")
	history := &traffic{f: f, client: newClient(f.rec)}
	price := &traffic{f: f, client: newClient(f.rec)}
	stop := make(chan struct{})
	for range 4 {
		// One loop for each machine's share.
		go history.run(func() float64 { return heldHistoryRate }, func() attempt {
			return attempt{method: "GET", path: "/history/x", host: "w.example", key: rand.IntN(65536), deadline: 8 * time.Second}
		}, stop)
	}
	go price.run(func() float64 { return heldPriceRate }, func() attempt {
		return attempt{method: "GET", path: "/price/x", host: "p.example", key: -1, deadline: heldPriceDeadline}
	}, stop)
	time.Sleep(10 * time.Second)
	frozen := f.all()[0]
	freeze := time.Now()
	if trouble {
		f.rec.note("%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		frozen.signal(syscall.SIGCONT)
		f.rec.note("%s wakes", frozen.name)
	} else {
		time.Sleep(freezeTime)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	history.wait()
	price.wait()
	all, long, unanswered, slots := 0, 0, 0, map[int]*served{}
	for _, r := range price.all {
		if r.machine == frozen {
			continue
		}
		all++
		slot := int(r.sent.Sub(freeze) / (500 * time.Millisecond))
		if r.sent.Before(freeze) {
			slot = -1
		}
		if slots[slot] == nil {
			slots[slot] = &served{}
		}
		slots[slot].total++
		if r.served {
			slots[slot].served++
		}
		if r.took > heldPriceTimeout {
			long++
			// The client gives up at its deadline, and gets no answer then.
			if r.took > heldPriceTimeout+heldUnansweredTime {
				unanswered++
			}
		}
	}
	for _, r := range history.all {
		if r.machine != frozen && r.took > 6*time.Second {
			long++
			if r.took > 6*time.Second+heldUnansweredTime {
				unanswered++
			}
		}
	}
	for slot := -1; slot < 20; slot++ {
		if s := slots[slot]; s != nil {
			f.rec.note("price requests sent from %.1f s after the freeze on (-0.5: before): %v served", float64(slot)/2, s)
		}
	}
	f.rec.note("%d price and %d history requests; longer than their route's timeout at calm machines: %d, of these without an answer half a second later: %d",
		len(price.all), len(history.all), long, unanswered)
	if all < 200 {
		return false, fmt.Errorf("too few requests to judge")
	}
	return unanswered >= 8 && unanswered*4 > long, nil
}
