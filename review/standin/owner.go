package main

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["owner"] = ownerCase }

// publish writes a configuration.
func (f *fleet) publish(version string, routes map[string]any, services map[string]any) {
	data, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	f.store.put("keyed.op", "config", data)
}

func service(sharded bool) map[string]any {
	s := map[string]any{"health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 9.8}
	if sharded {
		s["sharded"], s["warm_s"], s["grants"] = true, 5.0, "heartbeat"
	}
	return s
}

// places are those of the five machines of warrant-svc of katoda-mesh.
var places = []struct{ zone, region string }{{"west-a", "emea-west"}, {"west-a", "emea-west"}, {"central-a", "emea-central"},
	{"west-b", "emea-west"}, {"central-b", "emea-central"}}

// Load of the case: that of warrant-history on katoda-mesh, of which two fifths are for 200 neighbouring keys.
const (
	requestInterval = 58 * time.Millisecond // at each of five machines: 85 a second
	busyShare       = 0.4
	busyKeys        = 200
)

// Times of the disruptions.
const (
	// rounds is how often the disruptions come, each time for another target.
	rounds = 4
	// lateFor bounds how late the heartbeats of one target are.
	lateFor = 4500 * time.Millisecond
	// minLostDelay and maxLostDelay bound when the write without an answer is done (1 to 6 s later).
	minLostDelay, maxLostDelay = 3 * time.Second, 6 * time.Second
	// killAfter is how long after that write the process is killed, and downFor how long it is down.
	killAfter, downFor = 200 * time.Millisecond, 400 * time.Millisecond
	// settleFor is the time between two rounds.
	settleFor = 11 * time.Second
)

// warrantFleet starts the deployment, and the load, which goes on until stop is called. busyFrom is the first of the busy
// keys.
func warrantFleet(e *env) (busyFrom *atomic.Int64, stop func(), err error) {
	f := e.fleet
	for _, p := range places {
		f.addMachine(p.zone, p.region, "warrant", true, 9, func() time.Duration { return 30*time.Millisecond + rand.N(40*time.Millisecond) })
	}
	f.publish("r3", map[string]any{"r-history": map[string]any{"host": "history.example", "path_prefix": "/history/", "route_type": "idempotent",
		"timeout_ms": 1200, "aim_ms": 600, "priority": 2, "service": "warrant", "max_attempts": 2, "allowed_regions": []string{}}},
		map[string]any{"warrant": service(true)})
	if err := f.start(); err != nil {
		return nil, nil, err
	}
	if !f.awaitReady(20 * time.Second) {
		return nil, nil, errors.New("the deployment is not ready")
	}
	e.rec.log("all keys are held")
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); e.check.watchHolds(ctx, f) }()
	busyFrom = new(atomic.Int64)
	for _, m := range f.machines {
		cl := newClient(e.check, m)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				key := rand.IntN(65536)
				if rand.Float64() < busyShare {
					key = int(busyFrom.Load()) + rand.IntN(busyKeys)
				}
				go cl.send(context.Background(), "history.example", "GET", "/history/2f", "", true, key, 2500*time.Millisecond)
				time.Sleep(requestInterval/2 + rand.N(requestInterval))
			}
		}()
	}
	return busyFrom, func() { cancel(); wg.Wait() }, nil
}

// inRounds brings about trouble once for one target after the other, each of which is busy then.
func inRounds(e *env, rounds int, settle time.Duration, trouble func(round int, victim *machine) error) error {
	busyFrom, stop, err := warrantFleet(e)
	if err != nil {
		return err
	}
	defer stop()
	f := e.fleet
	for round := range rounds {
		victim := f.machines[(round+1)%len(f.machines)]
		rows := victim.target.liveRows(time.Now())
		if len(rows) == 0 {
			e.rec.log("round %d: target %s holds no keys", round, victim.target.id)
			continue
		}
		busyFrom.Store(int64(max(rows[0].from, rows[0].to-busyKeys)))
		e.rec.log("round %d: target %s holds %d to %d and %d more ranges; the busy keys begin at %d", round, victim.target.id, rows[0].from, rows[0].to, len(rows)-1, busyFrom.Load())
		time.Sleep(4 * time.Second)
		if e.trouble {
			if err := trouble(round, victim); err != nil {
				return err
			}
		}
		time.Sleep(settle)
	}
	return nil
}

// ownerCase: heartbeats of one target arrive late; its node gives its keys to others by a write that gets no answer and is
// done later; the process of the node is killed. The next process renews the keys, and then the write is done.
func ownerCase(e *env) error {
	e.rules = []string{"OWNER"}
	return inRounds(e, rounds, settleFor, func(_ int, victim *machine) error { return troubleOwner(e, victim) })
}

// troubleOwner brings about the disruptions once.
func troubleOwner(e *env, victim *machine) error {
	f := e.fleet
	delay := minLostDelay + rand.N(maxLostDelay-minLostDelay)
	gaveAway := make(chan struct{}, 1)
	lost, writes := false, 0
	f.store.mu.Lock()
	f.store.decide = func(node int, topic string, at int64) (fate, time.Duration) {
		writes++
		if lost || node != victim.index || at < 0 || !strings.HasSuffix(topic, "ranges") {
			return served, 0
		}
		lost = true
		gaveAway <- struct{}{}
		return lostLate, delay
	}
	f.store.mu.Unlock()
	e.rec.log("the heartbeats of target %s are held up", victim.target.id)
	victim.target.late.Store(true)
	defer func() {
		victim.target.healedAt.Store(time.Now().UnixNano())
		victim.target.late.Store(false)
	}()
	begin := time.Now()
	select {
	case <-gaveAway:
	case <-time.After(lateFor):
		e.rec.log("the node has written nothing")
	}
	time.Sleep(killAfter)
	victim.signal(syscall.SIGKILL)
	victim.awaitExit(time.Second)
	time.Sleep(downFor)
	if err := victim.startNode(); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	e.rec.log("the heartbeats of target %s arrive again, after %v", victim.target.id, time.Since(begin).Round(time.Millisecond))
	// The count goes on for two more seconds, in which the new process writes its record.
	go func() {
		time.Sleep(2 * time.Second)
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		e.rec.log("in %v the store got %d writes, of which 1 had no answer", time.Since(begin).Round(time.Millisecond), writes)
	}()
	return nil
}
