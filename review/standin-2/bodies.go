//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const crewmarkConfig = `{"version":"r7","routes":{
"r-audit":{"host":"audit.example","path_prefix":"/audit/","route_type":"idempotent","timeout_ms":2000,"aim_ms":600,"priority":2,"service":"archive","max_attempts":2,"allowed_regions":[]},
"r-issue":{"host":"issue.example","path_prefix":"/issue/","route_type":"non_idempotent","timeout_ms":2500,"aim_ms":800,"priority":1,"service":"certs","max_attempts":2,"allowed_regions":["sofia"]},
"r-drill":{"host":"drill.example","path_prefix":"/drill/","route_type":"non_idempotent","timeout_ms":1500,"aim_ms":500,"priority":0,"service":"training","max_attempts":2,"allowed_regions":[]}},
"services":{
"archive":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8,"sharded":true,"warm_s":5.0,"grants":"heartbeat"},
"certs":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8},
"training":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":"r5"}`

// newCrewmark prepares twelve machines with the figures of crewmark-mesh.toml, but in one region, so that the narrow link between
// regions takes no part. work is how long a request runs at each target.
func newCrewmark(dir, program, recordPath string, network int, work time.Duration) (*fleet, error) {
	f, err := newFleet(dir, program, network, crewmark, recordPath)
	if err != nil {
		return nil, err
	}
	f.store.putConfig(crewmarkConfig)
	zones := []string{"sofia-a", "sofia-b", "sofia-c", "sofia-d"}
	number := 0
	for _, service := range []string{"archive", "certs", "training"} {
		for _, zone := range zones {
			number++
			t := &target{service: service, slots: 6, queue: 24, sharded: service == "archive", work: work}
			if _, err := f.addNode(network, number, zone, "sofia", t); err != nil {
				return nil, err
			}
		}
	}
	return f, f.startAll(20 * time.Second)
}

// Sizes and times of the case "bodies".
const (
	// bodySize is an eighth of max_body_bytes of the configuration, 67,108,864.
	bodySize = 8_000_000

	// usualBodySize is the mean of req_bytes of drill-complete.
	usualBodySize = 4000
	// bodyWork is three times work_ms of audit-history, the noise of its service in the site file.
	bodyWork = 660 * time.Millisecond
	// bodiesPerMachine are sent at each machine, one each bodyPause, before those at the next machine.
	bodiesPerMachine = 4
	bodyPause        = 140 * time.Millisecond

	bodyRun        = 60 * time.Second
	bodyDeadlineMS = "4000"
	// restartDelay is the time until the platform starts a process again that it has killed.
	restartDelay = 500 * time.Millisecond
	// memoryPoll is the interval at which the platform looks at the memory of the processes.
	memoryPoll = 20 * time.Millisecond
	// endsOfFault and machinesOfFault are the figures of the rule Fault for twelve machines.
	endsOfFault, machinesOfFault = 3, 2
)

// memoryGuard kills each process that exceeds its memory and starts it again, as the platform does. mu guards ends, the number
// of ends of each node.
type memoryGuard struct {
	mu   sync.Mutex
	ends map[string]int
}

func (g *memoryGuard) endsOf(n *node) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ends[n.name]
}

// run runs until over is closed.
func (g *memoryGuard) run(f *fleet, over <-chan struct{}) {
	limit := int64(f.bounds.memoryMB) << 10
	for {
		select {
		case <-over:
			return
		case <-time.After(memoryPoll):
		}
		for _, n := range f.nodes {
			rss, _ := n.memory()
			if rss <= limit {
				continue
			}
			g.mu.Lock()
			g.ends[n.name]++
			g.mu.Unlock()
			f.record.printf("%s (%s) has %d KB, limit %d KB: killed and started again, time %d", n.name, n.service, rss, limit, g.endsOf(n))
			n.signal(syscall.SIGKILL)
			<-n.exited
			time.Sleep(restartDelay)
			if err := f.start(n); err != nil {
				f.record.printf("%s does not start: %v", n.name, err)
				return
			}
		}
	}
}

// aKey returns a key that the target holds; false if it holds none.
func (t *target) aKey() (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.holds {
		if time.Now().Before(h.until) {
			return (h.from + h.to) / 2, true
		}
	}
	return 0, false
}

// send sends a request at a machine and records the answer.
func (f *fleet) send(n *node, method, host, path, id, deadlineMS string, key int, body []byte) int {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+n.outbound+path, bytes.NewReader(body))
	if err != nil {
		f.record.printf("%s: %v", id, err)
		return 0
	}
	req.Host = host
	req.Header.Set("Heatherreel-Request-Id", id)
	req.Header.Set("Heatherreel-Deadline-Ms", deadlineMS)
	if key >= 0 {
		req.Header.Set("Heatherreel-Shard-Key", fmt.Sprint(key))
	}
	status, reason := 0, ""
	if resp, err := client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		status, reason = resp.StatusCode, resp.Header.Get("Heatherreel-Reason")
	} else {
		reason = err.Error()
	}
	f.record.printf("request %s, %d bytes, key %d, at %s: status %d %s", id, len(body), key, n.name, status, reason)
	return status
}

// runBodies sends bodies of legal size for the keys of two targets from all machines.
func runBodies(dir, program, recordPath string, trouble bool) (bool, error) {
	f, err := newCrewmark(dir, program, recordPath, 61, bodyWork)
	if f != nil {
		defer f.stopAll()
	}
	if err != nil {
		return false, err
	}
	size := usualBodySize
	if trouble {
		size = bodySize
	}
	body := bytes.Repeat([]byte("x"), size)
	// The targets are cold for 3 s, and the keys are assigned after 2.5 s.
	time.Sleep(6 * time.Second)
	over := make(chan struct{})
	ended := make(chan struct{})
	guard := &memoryGuard{ends: map[string]int{}}
	go func() {
		defer close(ended)
		guard.run(f, over)
	}()

	var all sync.WaitGroup
	var mu sync.Mutex
	statuses, sent := map[int]int{}, 0
	end := time.Now().Add(bodyRun)
	for v, victim := range f.nodes[:machinesOfFault] {
		all.Go(func() {
			for time.Now().Before(end) {
				for i := range f.nodes {
					// The two rounds are at different machines at any time.
					n := f.nodes[(i+v*len(f.nodes)/machinesOfFault)%len(f.nodes)]
					for range bodiesPerMachine {
						time.Sleep(bodyPause)
						key, ok := victim.target.aKey()
						if !ok {
							continue
						}
						mu.Lock()
						sent++
						id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+sent)
						mu.Unlock()
						all.Go(func() {
							status := f.send(n, http.MethodPost, "audit.example", "/audit/2f", id, bodyDeadlineMS, key, body)
							mu.Lock()
							defer mu.Unlock()
							statuses[status]++
						})
					}
				}
			}
		})
	}
	all.Wait()
	close(over)
	<-ended
	ends := guard.ends
	machines := 0
	for _, n := range f.nodes {
		_, peak := n.memory()
		f.record.printf("%s (%s): %d ends for its memory; the present process took %d KB at most", n.name, n.service, ends[n.name], peak)
		if ends[n.name] >= endsOfFault {
			machines++
		}
		for _, r := range n.target.allRuns() {
			f.record.printf("target %s ran %s: %s %s, %d bytes", n.target.id, r.id, r.method, r.uri, r.body)
		}
	}
	f.record.printf("answers by status: %v; ends by machine: %v", statuses, ends)
	fmt.Printf("answers by status: %v; ends by machine: %v\n", statuses, ends)
	return machines >= machinesOfFault, nil
}
