package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the case: those of the smallest machines of andes-reserva-grown. What one machine receives stays below its link.
const (
	downloadTargets  = 10
	downloadIngress  = 2
	downloadClients  = 11
	downloadMemoryMB = 184
	downloadLinkMbps = 200
	downloadSize     = 8_000_000
	downloadWork     = 100 * time.Millisecond
	downloadDeadline = 4 * time.Second
	// downloadPause is the mean pause of a client between two downloads.
	downloadPause = 3300 * time.Millisecond
	downloadTime  = 100 * time.Second
)

// playDownloads: clients of two machines download large answers. Nothing else happens. Without the disruption it is two clients
// at each machine.
func playDownloads(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", []byte(`{"version":"r3","routes":{"plans":{"host":"d.example","path_prefix":"/plans/","route_type":"download","timeout_ms":4000,"aim_ms":2000,"priority":1,"service":"planos","max_attempts":2,"allowed_regions":[]}},`+
		`"services":{"planos":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8},"trading":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8}},`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	f.memoryMB, f.linkMbps = downloadMemoryMB, downloadLinkMbps
	for i := range downloadTargets + downloadIngress {
		service := "planos"
		if i < downloadIngress {
			service = "trading"
		}
		m, err := f.add(service, []string{"west-a", "west-b"}[i%2], "west", false, 9, downloadWork)
		if err != nil {
			return false, err
		}
		m.target.answerBytes = downloadSize
	}
	time.Sleep(9 * time.Second)
	f.rec.note("traffic starts")
	stop := make(chan struct{})
	watch := f.watchMemory(stop)
	c := newClient(f.rec)
	var mu sync.Mutex
	statuses := map[int]int{}
	var clients sync.WaitGroup
	ingress := f.all()[:downloadIngress]
	for _, m := range ingress {
		count := downloadClients
		if !trouble {
			count = 2
		}
		for range count {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.Int64N(int64(2 * downloadPause)))):
					}
					r := c.send(m, attempt{method: "GET", path: "/plans/x", host: "d.example", key: -1, deadline: downloadDeadline})
					mu.Lock()
					statuses[r.status]++
					mu.Unlock()
				}
			}()
		}
	}
	for range downloadTime / (10 * time.Second) {
		time.Sleep(10 * time.Second)
		line := ""
		for _, m := range ingress {
			line += fmt.Sprintf("%s: %d MB, at most %d MB, over the limit %d times; ", m.name, m.memory()>>10, m.peakKB>>10, m.overLimit)
		}
		mu.Lock()
		f.rec.note("%sanswers %v", line, statuses)
		mu.Unlock()
	}
	close(stop)
	clients.Wait()
	watch.Wait()
	if statuses[200] < 20 {
		return false, fmt.Errorf("too few requests were served to judge")
	}
	return f.judgeMemory(), nil
}
