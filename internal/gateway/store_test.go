package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyload"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
)

// Guards against an owner that the store turns away: its grants must not end while other nodes reach the store, it must take
// over keys, and a new configuration must be in force there.
func TestRefusedNodeGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		w.log.SetRefused("k1", true)
		time.Sleep(time.Second)
		w.publish(2, true)
		time.Sleep(2 * time.Second)
		if got := w.hosts["k1"].gateway.routes.revision(); got != 2 {
			t.Errorf("revision %d is in force", got)
		}
		time.Sleep(2 * keyrange.LeaseTime)
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
		w.stopServer("k0")
		time.Sleep(settled)
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served after a backend server ended", got)
		}
	})
}

// Guards against a departure that is acknowledged and then forgotten, since the process ended before its record was written.
func TestDepartureIsStoredBeforeItIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		h := w.hosts["f0"]
		leaving := heartbeat.Message{Server: h.server.id, Ended: true}
		w.log.SetDown(true)
		if _, err := h.gateway.Heartbeat(leaving); problem.KindOf(err) != problem.Unavailable {
			t.Errorf("a departure that cannot be stored: %v", err)
		}
		w.log.SetDown(false)
		time.Sleep(2 * time.Second)
		if _, err := h.gateway.Heartbeat(leaving); err != nil {
			t.Errorf("a departure that is stored: %v", err)
		}
		// The power fails at once.
		w.kill("f0")
		w.start("f0")
		time.Sleep(2 * time.Second)
		if a := w.ask("k0", "late", "/home/", -1, time.Second); a.Outcome != request.NotRun || w.runs["late"] != 0 {
			t.Errorf("got %v %q, ran %d times", a.Outcome, a.Reason, w.runs["late"])
		}
	})
}

// Guards against a node whose reads are ended again and again by news of other nodes, so that none completes and its lease
// runs out.
func TestNewsOfOthersDoesNotStarveLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		g := w.hosts["k0"].gateway
		for range 40 {
			g.askAgain(registry.Ranges)
			time.Sleep(askAgainPause + 10*time.Millisecond)
		}
		if g.ranges.hold(g.deps.Now()) < keyrange.HoldTime {
			t.Errorf("grants last %v", g.ranges.hold(g.deps.Now()))
		}
	})
}

// Guards against keys that stay without owner for the time of a claim, although another instance has the address of the
// owner, which proves that the owner has ended; and against the removal of a record that came back.
func TestReusedAddressEndsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		w.kill("k1")
		w.stopServer("k1")
		time.Sleep(2 * time.Second)
		// The address of k1 goes to an instance of the other service.
		w.mu.Lock()
		old := w.hosts["k1"]
		delete(w.hosts, "k1")
		w.mu.Unlock()
		w.add("f2", "free", "r1")
		w.kill("f2")
		w.mu.Lock()
		w.hosts["f2"].self.Address = old.self.Address
		w.hosts["k1"] = w.hosts["f2"]
		w.mu.Unlock()
		w.start("f2")
		time.Sleep(2 * time.Second)
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 2 s after the address was given away", got)
		}
		w.mu.Lock()
		delete(w.hosts, "k1")
		w.mu.Unlock()
	})
}

// Guards against a suspicion that is forgotten because another node's write came first.
func TestSuspicionOutlivesConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		g := w.hosts["k0"].gateway
		name := "k1"
		w.kill("k1")
		g.suspect.Store(&name)
		table, _ := g.ranges.get("keyed")
		next := table.Clone()
		if !g.change(next) {
			t.Fatal("nothing is to be written")
		}
		// The write of this table is refused.
		again := table.Clone()
		if g.change(again); again.Suspicions["k1"] == (keyrange.Suspicion{}) {
			t.Error("the suspicion is forgotten")
		}
		if g.change(again.Clone()); g.suspect.Load() != nil {
			t.Error("the suspicion is kept although the table shows it")
		}
	})
}

// Guards against changes of the ownership that are read by all nodes one by one, which makes calls of the store grow with the
// square of the fleet, and against a new owner that learns of its keys late.
func TestChangesAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		g := w.hosts["k0"].gateway
		before, moves := w.log.Calls(), 0
		for i := range 40 {
			// Forty stretches move, four a second.
			from := uint16(i * 300)
			g.offload.Store(&[]keyMove{{span: keyload.Span{From: from, To: from + 99}, to: "k2"}})
			g.upkeep.Fire()
			time.Sleep(250 * time.Millisecond)
			moves++
		}
		time.Sleep(2 * time.Second)
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
		calls := w.log.Calls() - before
		t.Logf("%d calls of the store for %d moves", calls, moves)
		// A move takes two writes, each read by its two owners; the other four nodes read changes about once a second, and all
		// poll the operators' topic each 1.5 s and the members each 10 s.
		if most := moves*4 + 4*12*3/2 + 6*(8+1); calls > most {
			t.Errorf("%d calls of the store for %d moves, at most %d expected", calls, moves, most)
		}
	})
}

// Guards against a request that waits for its node to read who owns its key now, although the former owner knows it.
func TestFormerOwnerNamesTheNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		// f1 reads nothing more of the store.
		w.log.SetRefused("f1", true)
		for _, f := range w.hosts["f1"].gateway.followers {
			f.interrupt()
		}
		stale, _ := w.hosts["f1"].gateway.ranges.get("keyed")
		g := w.hosts["k0"].gateway
		r, _ := stale.Find(10)
		if r.Owner.Instance != "k0" {
			t.Fatalf("key 10 is owned by %s", r.Owner.Instance)
		}
		g.offload.Store(&[]keyMove{{span: keyload.Span{From: 0, To: 99}, to: "k2"}})
		g.upkeep.Fire()
		time.Sleep(3 * time.Second)
		w.hosts["f1"].gateway.ranges.put(stale, 0)
		started := time.Now()
		if a := w.ask("f1", "moved", "/keyed/", 10, time.Second); a.Outcome != request.Done || string(a.Body) != "k2" {
			t.Errorf("got %v %q from %q", a.Outcome, a.Reason, a.Body)
		}
		if took := time.Since(started); took > 200*time.Millisecond {
			t.Errorf("the request took %v", took)
		}
	})
}

// Guards against an answer that says "not run" for a request of which an earlier send may have run: its owner fell silent
// while it worked on the request, and is then not asked again.
func TestRefusalAfterUnknownSendIsNotTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		table, _ := w.hosts["f0"].gateway.ranges.get("keyed")
		r, _ := table.Find(10)
		w.mu.Lock()
		w.silentAfterRun = r.Owner.Instance
		w.mu.Unlock()
		a := w.ask("f0", "silent", "/keyed/", 10, time.Second)
		if w.runs["silent"] == 0 {
			t.Fatal("the request did not run")
		}
		if a.Outcome == request.NotRun {
			t.Errorf("got %v %q for a request that ran", a.Outcome, a.Reason)
		}
	})
}

// Guards against a configuration that is in force too late because the read in progress misses its record.
func TestMissedRecordIsReadInTime(t *testing.T) {
	const inForce = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		w.log.SetDeaf(true)
		// Records come at different moments of a read.
		for revision := uint64(2); revision < 10; revision++ {
			time.Sleep(time.Duration(revision) * 300 * time.Millisecond)
			w.publish(revision, true)
			time.Sleep(inForce)
			for name, h := range w.hosts {
				if got := h.gateway.routes.revision(); got != revision {
					t.Errorf("revision %d is in force on %s, not %d", got, name, revision)
				}
			}
		}
	})
}

// Guards against a request in progress whose sender hears nothing for so long that it takes the connection for lost: it waits
// for its key, then for a slot, and then runs, each for less than the interval of the reports.
func TestProgressIsReportedAcrossPhases(t *testing.T) {
	const interval, silence = 250 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		table, _ := w.hosts["f0"].gateway.ranges.get("keyed")
		r, _ := table.Find(10)
		h := w.hosts[r.Owner.Instance]
		g := h.gateway
		g.server.mu.Lock()
		g.server.settling, g.server.settled = g.server.granted, g.deps.Now().Add(240*time.Millisecond)
		g.server.mu.Unlock()
		g.control.After(240*time.Millisecond, g.server.wakeWaiting)
		h.w.mu.Lock()
		h.server.work = 240 * time.Millisecond
		h.w.mu.Unlock()
		last, longest := time.Now(), time.Duration(0)
		heard := func() {
			longest = max(longest, time.Since(last))
			last = time.Now()
		}
		// All slots are taken for 240 ms from when the key is there.
		g.control.After(230*time.Millisecond, func() {
			for i := range 8 {
				go g.Dispatch(t.Context(), dispatched(fmt.Sprintf("other-%d", i), 10), node.DispatchProgress{})
			}
		})
		a := g.Dispatch(t.Context(), dispatched("phases", 10), node.DispatchProgress{Interval: interval, Report: heard})
		heard()
		if a.Outcome != request.Done || longest > interval {
			t.Errorf("got %v %q; %v passed without a report, the sender waits %v", a.Outcome, a.Reason, longest, silence)
		}
	})
}
