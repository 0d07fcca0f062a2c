package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain"] = drainCase }

// tradingPlaces are those of the four machines of trading-svc of katoda-mesh.
var tradingPlaces = []struct{ zone, region string }{{"west-a", "emea-west"}, {"central-a", "emea-central"}, {"west-b", "emea-west"}, {"central-b", "emea-central"}}

// drainCase: a target that has reported that it is draining goes on serving for some seconds. A heartbeat of another writer
// with its id, in which fields are missing, arrives at its node.
func drainCase(e *env) error {
	e.rules = []string{"DRAIN"}
	f := e.fleet
	for _, p := range tradingPlaces {
		f.addMachine(p.zone, p.region, "trading", false, 9, func() time.Duration { return 50*time.Millisecond + rand.N(100*time.Millisecond) })
	}
	f.publish("r3", map[string]any{"r-order": map[string]any{"host": "order.example", "path_prefix": "/order/", "route_type": "non_idempotent",
		"timeout_ms": 1000, "aim_ms": 500, "priority": 0, "service": "trading", "max_attempts": 2, "allowed_regions": []string{}}},
		map[string]any{"trading": service(false)})
	if err := f.start(); err != nil {
		return err
	}
	if !f.awaitReady(20 * time.Second) {
		return errors.New("the deployment is not ready")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	// 34 orders a second.
	for _, m := range f.machines {
		cl := newClient(e.check, m)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				go cl.send(context.Background(), "order.example", "PUT", "/order/2f", "one order", false, -1, 2*time.Second)
				time.Sleep(60*time.Millisecond + rand.N(120*time.Millisecond))
			}
		}()
	}
	time.Sleep(10 * time.Second)
	leaver := f.machines[1].target
	leaver.mu.Lock()
	leaver.leaving = true
	leaver.mu.Unlock()
	e.rec.log("target %s reports that it is draining", leaver.id)
	time.Sleep(4 * time.Second)
	if e.trouble {
		data, _ := json.Marshal(map[string]any{"service": leaver.service, "address": leaver.address, "slots": 9, "state": "ready", "born": time.Now().UnixMilli()})
		status := 0
		resp, err := http.Post("http://"+leaver.control+"/v1/instances/"+leaver.id+"/heartbeat", "application/json", bytes.NewReader(data))
		if err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
		e.rec.log("the node beside target %s gets an odd heartbeat: %s; status %d, error %v", leaver.id, data, status, err)
	}
	time.Sleep(8 * time.Second)
	cancel()
	wg.Wait()
	time.Sleep(2 * time.Second)
	return nil
}
