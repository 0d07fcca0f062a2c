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
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(seed), 3))
				sim := newSimulation(t)
				sim.direct, sim.orderRandom = true, rand.New(rand.NewPCG(uint64(seed), 4))
				sim.orderLoss, sim.reuseServerIDs = 0.3*float64(seed%2), seed%3 == 0
				sim.startFleet(4)
				sim.runRandomFaults(random, 4)
			})
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
		time.Sleep(900 * time.Millisecond)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 0.9 s after the announced end", got)
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
