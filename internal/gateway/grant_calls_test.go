package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/keyhold"
	"heatherreel/internal/request"
)

// startDirectFleet starts four instances of the keyed service, whose keys are granted by calls, and two of the service
// without keys.
func startDirectFleet(t *testing.T) *simulation {
	sim := newSimulation(t)
	sim.direct, sim.orderRandom = true, rand.New(rand.NewPCG(1, 1))
	sim.startFleet(4)
	return sim
}

// Guards against the same as TestRandomFaults where keys are granted by calls, three in ten of which get no answer and
// are applied 2 to 12 s later, and where backend servers start again under their former id.
func TestRandomFaultsWithGrantCalls(t *testing.T) {
	for seed := range scheduleCount(t) {
		runSchedule(t, fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 3))
			sim := newSimulation(t)
			sim.direct, sim.orderRandom = true, rand.New(rand.NewPCG(uint64(seed), 4))
			sim.orderLoss, sim.reuseServerIDs = 0.3*float64(seed%2), seed%3 == 0
			sim.startFleet(4)
			sim.runRandomFaults(random, 4)
		})
	}
}

// Guards against keys that lapse although their owner, its node and the store work, while three in ten of the calls get
// no answer.
func TestNoKeyLapsesWhileCallsAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startDirectFleet(t)
		defer sim.close()
		sim.mu.Lock()
		sim.orderLoss = 0.3
		sim.mu.Unlock()
		end := time.Now().Add(5500 * time.Millisecond)
		for n := 0; time.Now().Before(end); n++ {
			a := sim.sendRequest("f0", fmt.Sprintf("r-%d", n), "/keyed/", n*977%65536, time.Second)
			if a.Outcome != request.Done {
				t.Errorf("key %d: got %v %q", n*977%65536, a.Outcome, a.Reason)
			}
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if sim.keyCalls.lost == 0 {
			t.Error("no call was lost")
		}
	})
}

// Guards against a planned move that refuses requests: a backend server that drains hands its keys over, one after the
// other, while requests for all of them arrive.
func TestDrainingServerHandsKeysOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startDirectFleet(t)
		defer sim.close()
		sim.mu.Lock()
		drained := sim.instances["k1"].server
		drained.draining = true
		sim.mu.Unlock()
		start, lastAtDrained := time.Now(), time.Time{}
		for n := 0; time.Since(start) < 5*time.Second; n++ {
			a := sim.sendRequest("f0", fmt.Sprintf("r-%d", n), "/keyed/", n*977%65536, 2*time.Second)
			if a.Outcome != request.Done {
				t.Errorf("key %d after %v: got %v %q", n*977%65536, time.Since(start), a.Outcome, a.Reason)
			}
			if string(a.Body) == "k1" {
				lastAtDrained = time.Now()
			}
		}
		if served := lastAtDrained.Sub(start); served > 2*time.Second {
			t.Errorf("the draining backend server got requests for %v", served)
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if sim.keyCalls.releases == 0 || len(drained.granted) > 0 && drained.granted[0].until.After(time.Now()) {
			t.Errorf("%d releases; the drained backend server holds %v", sim.keyCalls.releases, drained.granted)
		}
	})
}

// Guards against keys that have no owner until their hold expires, although the backend server has announced its end and
// still answers calls.
func TestEndedServerReleasesKeysByCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startDirectFleet(t)
		defer sim.close()
		sim.mu.Lock()
		inst := sim.instances["k2"]
		message := heartbeatOf(inst)
		message.Ended = true
		sim.mu.Unlock()
		if _, err := inst.gateway.Heartbeat(message); err != nil {
			t.Fatal(err)
		}
		// The backend server gets no requests from 1.5 s after its end on, and its holds would last for 3.4 s.
		time.Sleep(1600 * time.Millisecond)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 1.6 s after the announced end", got)
		}
		if table, _ := sim.instances["f0"].gateway.ranges.get("keyed"); table.Owns("k2") {
			t.Error("the backend server that ended still owns keys")
		}
	})
}

// Guards against a gap in the service of keys while the process of a node is started again, and against calls that are
// too many: each span is renewed about once in 0.9 s.
func TestRestartedNodeRenewsGrantsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startDirectFleet(t)
		defer sim.close()
		sim.mu.Lock()
		before, s := sim.keyCalls.grants, sim.instances["k0"].server
		sim.mu.Unlock()
		time.Sleep(9 * time.Second)
		sim.mu.Lock()
		if calls := sim.keyCalls.grants - before; calls > 4*11 || calls < 4*8 {
			t.Errorf("%d calls in 9 s for 4 spans", calls)
		}
		key := s.granted[0].From
		sim.mu.Unlock()
		sim.killGateway("k0")
		time.Sleep(time.Second)
		sim.startGateway("k0")
		for range 30 {
			sim.mu.Lock()
			if !s.holds(key, time.Now()) {
				t.Errorf("key %d has lapsed", key)
			}
			sim.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against keys that stay unserved because the backend server has seen a higher fence than that of the table.
func TestRefusedGrantGetsHigherFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startDirectFleet(t)
		defer sim.close()
		table, _ := sim.instances["f0"].gateway.ranges.get("keyed")
		r, _ := table.Find(10)
		sim.mu.Lock()
		s := sim.instances[r.Owner.Instance].server
		s.seen = append(s.seen, keyhold.Span{From: 10, To: 10, Fence: table.LastFence + 3})
		sim.mu.Unlock()
		time.Sleep(8 * time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if sim.keyCalls.refused == 0 || sim.keyCalls.refused > 6 {
			t.Errorf("%d calls were refused", sim.keyCalls.refused)
		}
	})
}

// Guards against a hold that outlasts the lease of the node: an instance that neither the store nor the others reach, but
// whose backend server runs, must not hold keys that others claim.
func TestHoldsByCallsEndWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startDirectFleet(t)
		defer sim.close()
		sim.mu.Lock()
		sim.disconnected["k1"] = true
		sim.mu.Unlock()
		sim.store.SetUnreachable("k1", true)
		time.Sleep(13 * time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 13 s after the loss", got)
		}
	})
}

// Guards against a grant of keys that a write of this node may just have given away, and against one that reaches a later
// incarnation than it is meant for.
func TestOutdatedGrantIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startDirectFleet(t)
		defer sim.close()
		inst := sim.instances["k0"]
		g := inst.gateway
		owner, _ := g.localOwner()
		table, end := g.ranges.get("keyed")
		span := keyhold.Merge(g.ranges.grantable(owner, "keyed"))[0]
		next := table.Clone()
		next.Drain("k0", g.ownerCandidates(next))
		g.ranges.addPendingWrite(next, end)
		grant := func() {
			g.server.mu.Lock()
			id := g.server.holds.Begin(span)
			g.server.mu.Unlock()
			g.grantByCall(id, g.keyCall(owner, span))
		}
		sim.mu.Lock()
		before := sim.keyCalls.grants
		sim.mu.Unlock()
		grant()
		g.ranges.dropPendingWrite(end)
		if sim.keyCalls.grants != before {
			t.Error("a grant was sent that a pending write takes away")
		}
		later := heartbeatOf(inst)
		later.StartedUnixMS++
		if !g.server.mayConnect(owner, g.deps.Now()) {
			t.Error("no connection after a heartbeat")
		}
		g.server.applyHeartbeat(later, g.deps.Now(), time.Second)
		if g.server.mayConnect(owner, g.deps.Now()) {
			t.Error("a call for the former incarnation may open a connection to the later one")
		}
	})
}

// Guards against requests for keys that a backend server holds no more: after its restart, and where a lost call that is
// applied late has ended a hold. The second is not to be noticed by callers.
func TestRequestsAwaitGrantAfterHoldEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startDirectFleet(t)
		defer sim.close()
		sim.mu.Lock()
		s := sim.instances["k0"].server
		key := s.granted[0].From
		s.granted = nil
		sim.mu.Unlock()
		if a := sim.sendRequest("f0", "shortened", "/keyed/", int(key), time.Second); a.Outcome != request.Done || string(a.Body) != "k0" {
			t.Errorf("after a hold was shortened: got %v %q by %q", a.Outcome, a.Reason, a.Body)
		}
		sim.mu.Lock()
		sim.misdirected, sim.reuseServerIDs = 0, true
		sim.mu.Unlock()
		for range 2 {
			sim.stopServer("k0")
			time.Sleep(50 * time.Millisecond)
			sim.startServer("k0")
			time.Sleep(20 * time.Millisecond)
			if a := sim.sendRequest("f0", fmt.Sprint("restarted-", time.Now().UnixNano()), "/keyed/", int(key), 3*time.Second); a.Outcome != request.Done {
				t.Errorf("after a restart: got %v %q", a.Outcome, a.Reason)
			}
		}
		if sim.misdirected > 0 {
			t.Errorf("%d requests reached a backend server that did not hold their key", sim.misdirected)
		}
	})
}
