package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyload"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
)

// Guards against an owner that cannot reach the store while other nodes can: its grants must not end, it must be able
// to take over keys, and it must apply a new configuration.
func TestNodeRefusedByStoreKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.store.SetUnreachable("k1", true)
		time.Sleep(time.Second)
		sim.publish(2, true)
		time.Sleep(2 * time.Second)
		if got := sim.instances["k1"].gateway.routes.revision(); got != 2 {
			t.Errorf("revision %d is in force", got)
		}
		time.Sleep(2 * keyrange.LeaseDuration)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
		sim.stopServer("k0")
		time.Sleep(fleetSettleTime)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served after a backend server ended", got)
		}
	})
}

// Guards against a departure that is acknowledged and then lost because the process ended before its record was
// written.
func TestDepartureIsStoredBeforeItIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		inst := sim.instances["f0"]
		leaving := heartbeat.Message{Server: inst.server.id, Ended: true}
		sim.store.SetDown(true)
		if _, err := inst.gateway.Heartbeat(leaving); problem.KindOf(err) != problem.Unavailable {
			t.Errorf("a departure that cannot be stored: %v", err)
		}
		sim.store.SetDown(false)
		time.Sleep(2 * time.Second)
		if _, err := inst.gateway.Heartbeat(leaving); err != nil {
			t.Errorf("a departure that is stored: %v", err)
		}
		// The node fails immediately after the acknowledgement.
		sim.killGateway("f0")
		sim.startGateway("f0")
		time.Sleep(2 * time.Second)
		if a := sim.sendRequest("k0", "late", "/home/", -1, time.Second); a.Outcome != request.NotRun || sim.runs["late"] != 0 {
			t.Errorf("got %v %q, ran %d times", a.Outcome, a.Reason, sim.runs["late"])
		}
	})
}

// Guards against a node whose reads are interrupted again and again because of other nodes, so that none completes and
// its lease expires.
func TestInterruptedReadsDoNotStarveLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		g := sim.instances["k0"].gateway
		for range 40 {
			g.refreshTopicLimited(registry.RangesTopic)
			time.Sleep(minRefreshInterval + 10*time.Millisecond)
		}
		if g.ranges.holdTime(g.deps.Now()) < keyrange.MaxHold {
			t.Errorf("grants last %v", g.ranges.holdTime(g.deps.Now()))
		}
	})
}

// Guards against keys that wait for a claim although another instance has the address of their owner, which proves that
// the owner has ended; and against the removal of a member record that was written again.
func TestReusedAddressEndsOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.killGateway("k1")
		sim.stopServer("k1")
		time.Sleep(2 * time.Second)
		// The address of k1 goes to an instance of the other service.
		sim.mu.Lock()
		old := sim.instances["k1"]
		delete(sim.instances, "k1")
		sim.mu.Unlock()
		sim.addInstance("f2", "free", "r1")
		sim.killGateway("f2")
		sim.mu.Lock()
		sim.instances["f2"].self.Address = old.self.Address
		sim.instances["k1"] = sim.instances["f2"]
		sim.mu.Unlock()
		sim.startGateway("f2")
		time.Sleep(2 * time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 2 s after the address was reused", got)
		}
		sim.mu.Lock()
		delete(sim.instances, "k1")
		sim.mu.Unlock()
	})
}

// Guards against a suspicion that is lost because another node's write came first.
func TestSuspicionSurvivesWriteConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		g := sim.instances["k0"].gateway
		name := "k1"
		sim.killGateway("k1")
		g.suspect.Store(&name)
		table, _ := g.ranges.get("keyed")
		next := table.Clone()
		if !g.applyDueChanges(next) {
			t.Fatal("nothing is to be written")
		}
		// The write of this table is refused.
		again := table.Clone()
		if g.applyDueChanges(again); again.Suspicions["k1"] == (keyrange.Suspicion{}) {
			t.Error("the suspicion is lost")
		}
		if g.applyDueChanges(again.Clone()); g.suspect.Load() != nil {
			t.Error("the suspicion is kept although the table shows it")
		}
	})
}

// Guards against store calls that grow with the square of the fleet because all nodes read each change of the ownership
// separately, and against a new owner that learns of its keys late.
func TestRangeChangesAreReadInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		g := sim.instances["k0"].gateway
		before, moves := sim.store.CallCount(), 0
		for i := range 40 {
			// Forty spans of keys move, four per second.
			from := uint16(i * 300)
			g.plannedMoves.Store(&[]keyMove{{span: keyload.Span{From: from, To: from + 99}, to: "k2"}})
			g.reconcileTrigger.Fire()
			time.Sleep(250 * time.Millisecond)
			moves++
		}
		time.Sleep(2 * time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
		calls := sim.store.CallCount() - before
		t.Logf("%d store calls for %d moves", calls, moves)
		// A move takes two writes, each read by its two owners. The other four nodes read changes about once a second,
		// and all nodes poll the operators' topic every 1.5 s and the members every 10 s.
		if maxCalls := moves*4 + 4*12*3/2 + 6*(8+1); calls > maxCalls {
			t.Errorf("%d store calls for %d moves, want at most %d", calls, moves, maxCalls)
		}
	})
}

// Guards against a request that waits until its node has read the new owner of its key, although the former owner knows
// it.
func TestFormerOwnerRedirectsToNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		// f1 cannot read from the store any more.
		sim.store.SetUnreachable("f1", true)
		for _, tr := range sim.instances["f1"].gateway.topicReaders {
			tr.interrupt()
		}
		stale, _ := sim.instances["f1"].gateway.ranges.get("keyed")
		g := sim.instances["k0"].gateway
		r, _ := stale.Find(10)
		if r.Owner.Instance != "k0" {
			t.Fatalf("key 10 is owned by %s", r.Owner.Instance)
		}
		g.plannedMoves.Store(&[]keyMove{{span: keyload.Span{From: 0, To: 99}, to: "k2"}})
		g.reconcileTrigger.Fire()
		time.Sleep(3 * time.Second)
		sim.instances["f1"].gateway.ranges.put(stale, 0, 0)
		started := time.Now()
		if a := sim.sendRequest("f1", "moved", "/keyed/", 10, time.Second); a.Outcome != request.Done || string(a.Body) != "k2" {
			t.Errorf("got %v %q from %q", a.Outcome, a.Reason, a.Body)
		}
		if took := time.Since(started); took > 200*time.Millisecond {
			t.Errorf("the request took %v", took)
		}
	})
}

// Guards against a refusal with the outcome "not run" for a request that an earlier send may have run: its owner
// stopped answering while it worked on the request, and is not asked again.
func TestRefusalAfterUnknownSendIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		table, _ := sim.instances["f0"].gateway.ranges.get("keyed")
		r, _ := table.Find(10)
		sim.mu.Lock()
		sim.silentAfterRun = r.Owner.Instance
		sim.mu.Unlock()
		a := sim.sendRequest("f0", "silent", "/keyed/", 10, time.Second)
		if sim.runs["silent"] == 0 {
			t.Fatal("the request did not run")
		}
		if a.Outcome == request.NotRun {
			t.Errorf("got %v %q for a request that ran", a.Outcome, a.Reason)
		}
	})
}

// Guards against a configuration that takes effect too late because the read in progress misses its record.
func TestMissedRecordIsReadInTime(t *testing.T) {
	const inForce = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.store.SetMissWakeups(true)
		// The records arrive at different moments of a read.
		for revision := uint64(2); revision < 10; revision++ {
			time.Sleep(time.Duration(revision) * 300 * time.Millisecond)
			sim.publish(revision, true)
			time.Sleep(inForce)
			for name, inst := range sim.instances {
				if got := inst.gateway.routes.revision(); got != revision {
					t.Errorf("revision %d is in force on %s, not %d", got, name, revision)
				}
			}
		}
	})
}

// Guards against a request in progress whose sender hears nothing for so long that it takes the connection for lost.
// The request waits for its key, then for a slot, and then runs; each phase is shorter than the report interval.
func TestProgressIsReportedAcrossPhases(t *testing.T) {
	const interval, silence = 250 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		table, _ := sim.instances["f0"].gateway.ranges.get("keyed")
		r, _ := table.Find(10)
		inst := sim.instances[r.Owner.Instance]
		g := inst.gateway
		g.server.mu.Lock()
		// The grant of the range takes effect only now, as if it had just been granted.
		now := g.deps.Now()
		g.server.holds = keyhold.Tracker{}
		g.server.holds.GrantByReply(keyhold.Spans([]keyrange.Range{r}), now.Add(keyrange.MaxHold), now.Add(240*time.Millisecond), now)
		g.server.mu.Unlock()
		g.controlPool.After(240*time.Millisecond, g.server.wakeKeyWaiters)
		inst.sim.mu.Lock()
		inst.server.serviceTime = 240 * time.Millisecond
		inst.sim.mu.Unlock()
		last, longest := time.Now(), time.Duration(0)
		noteReport := func() {
			longest = max(longest, time.Since(last))
			last = time.Now()
		}
		// All slots are taken for 240 ms, from shortly before the key arrives.
		g.controlPool.After(230*time.Millisecond, func() {
			for i := range 8 {
				go g.Dispatch(t.Context(), dispatchedRequest(fmt.Sprintf("other-%d", i), 10), node.DispatchProgress{})
			}
		})
		a := g.Dispatch(t.Context(), dispatchedRequest("phases", 10), node.DispatchProgress{Interval: interval, Report: noteReport})
		noteReport()
		if a.Outcome != request.Done || longest > interval {
			t.Errorf("got %v %q; %v passed without a report, the sender waits for %v", a.Outcome, a.Reason, longest, silence)
		}
	})
}
