package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Figures of the case: a service of two targets in a deployment of ten machines, one of which freezes at a time.
const (
	againMachines = 10
	againTargets  = 2
	againRate     = 60
	againSlots    = 9
	againWork     = 30 * time.Millisecond
	againDeadline = 2500 * time.Millisecond
	againFreeze   = 3500 * time.Millisecond
	againDrain    = 2 * time.Second
	// againStart is how long a target needs to start.
	againStart = 300 * time.Millisecond
	// againPause lies between two restarts.
	againPause = 8 * time.Second
)

// playAgain: the targets of a service are restarted in place, one after the other, and each time the node process beside it
// freezes. Then all processes are killed, and the requests that are sent 15 s after the machines are back are counted.
func playAgain(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", rangesConfig("r3"))
	places := [][2]string{{"west-a", "west"}, {"central-a", "central"}, {"west-b", "west"}, {"central-b", "central"}}
	for i := range againMachines {
		service := "trading"
		if i < againTargets {
			service = "warrant"
		}
		p := places[i%len(places)]
		if _, err := f.add(service, p[0], p[1], service == "warrant", againSlots, againWork); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	f.rec.note("traffic starts")
	start := time.Now()
	t := &traffic{f: f, client: newClient(f.rec)}
	stop := make(chan struct{})
	go t.run(func() float64 { return againRate }, func() attempt {
		return attempt{method: "GET", path: "/history/x", host: "w.example", key: rand.IntN(65536), deadline: againDeadline}
	}, stop)
	time.Sleep(againPause)
	for _, m := range f.all()[:againTargets] {
		if err := m.restartInPlace(trouble); err != nil {
			return false, err
		}
		from := time.Now()
		time.Sleep(againPause)
		f.rec.note("served from the restart on: %v", t.share(from, time.Now()))
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

// restartInPlace shuts the target of a machine down as planned, and starts it again under its id. With freeze, the node
// process stands still from shortly before the target deregisters on.
func (m *machine) restartInPlace(freeze bool) error {
	old := m.target
	thawed := make(chan struct{})
	m.f.rec.note("target %s of %s begins to restart", old.id, m.name)
	time.AfterFunc(againDrain, func() {
		defer close(thawed)
		if !freeze {
			return
		}
		m.signal(syscall.SIGSTOP)
		m.f.rec.note("the node process of %s freezes", m.name)
		time.Sleep(againFreeze)
		m.signal(syscall.SIGCONT)
		m.f.rec.note("the node process of %s goes on", m.name)
	})
	old.leave(againDrain)
	time.Sleep(againStart)
	t, err := startTarget(m, old.id, old.sharded, old.slots, old.work, m.f.rec)
	if err != nil {
		return err
	}
	m.f.mu.Lock()
	m.target = t
	m.f.mu.Unlock()
	m.f.rec.note("target %s of %s has started again", t.id, m.name)
	<-thawed
	return nil
}
