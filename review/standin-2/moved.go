//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case "moved", from the bounds of the site file.
const (
	configApply = 2 * time.Second
	afterMove   = 8 * time.Second
	afterConfig = 12 * time.Second
	movedPause  = 100 * time.Millisecond
)

// runMoved moves the platform's store to another address, tells the nodes by their settings files and SIGHUP, and then sends a
// configuration that moves a route to another service.
func runMoved(dir, program, recordPath string, trouble bool) (bool, error) {
	f, err := newCrewmark(dir, program, recordPath, 64, 50*time.Millisecond)
	if f != nil {
		defer f.stopAll()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		if err := f.store.move("127.0.64.251"); err != nil {
			return false, err
		}
		f.record.printf("the store is at %s now", f.store.address)
	}
	for _, n := range f.nodes {
		if err := f.writeSettings(n); err != nil {
			return false, err
		}
		n.signal(syscall.SIGHUP)
	}
	f.record.printf("the settings files are written, and the nodes have SIGHUP")
	time.Sleep(afterMove)
	f.store.putConfig(strings.NewReplacer(`"version":"r7"`, `"version":"r9"`, `"base_version":"r5"`, `"base_version":"r7"`,
		`"priority":0,"service":"training"`, `"priority":0,"service":"certs"`).Replace(crewmarkConfig))
	acknowledged := time.Now()
	f.record.printf("configuration r9 is acknowledged: the route r-drill goes to certs")

	var all sync.WaitGroup
	sent, number := map[string]time.Time{}, 0
	for time.Since(acknowledged) < afterConfig {
		for _, n := range f.nodes {
			number++
			id := fmt.Sprintf("%016x", number)
			sent[id] = time.Now()
			all.Go(func() { f.send(n, "PUT", "drill.example", "/drill/2f", id, "3000", -1, []byte("drill session")) })
		}
		time.Sleep(movedPause)
	}
	all.Wait()
	stale, ran := 0, 0
	for _, n := range f.nodes {
		for _, r := range n.target.allRuns() {
			ran++
			late := sent[r.id].Sub(acknowledged)
			if n.service == "training" && late > configApply {
				stale++
				f.record.printf("target %s of %s ran %s, sent %v after the acknowledgement", n.target.id, n.service, r.id, late)
			}
		}
	}
	result := fmt.Sprintf("%d requests sent, %d ran, %d of them at the old service later than %v after the acknowledgement", number, ran, stale, configApply)
	f.record.printf("%s", result)
	fmt.Println(result)
	if ran == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return stale > 0, nil
}
