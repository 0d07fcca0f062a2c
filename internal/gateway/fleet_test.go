package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/request"
)

// fleetSettleTime is the time after which a new fleet has assigned its keys.
const fleetSettleTime = 6 * time.Second

// startFleet starts four instances of the keyed service and two of the service without keys, in two regions.
func startFleet(t *testing.T) *simulation { return startFleetOf(t, 4) }

// startFleetOf starts instances of the keyed service, and two of the service without keys, in two regions.
func startFleetOf(t *testing.T, keyed int) *simulation {
	sim := newSimulation(t)
	sim.startFleet(keyed)
	return sim
}

// startOneRegion starts instances of the service without keys and of the keyed service in one region.
func startOneRegion(t *testing.T, free, keyed int) *simulation {
	sim := newSimulation(t)
	sim.publish(1, true)
	for i := range free {
		sim.addInstance(fmt.Sprintf("f%d", i), "free", "r1")
	}
	for i := range keyed {
		sim.addInstance(fmt.Sprintf("k%d", i), "keyed", "r1")
	}
	time.Sleep(fleetSettleTime)
	return sim
}

// startFleet starts instances of the keyed service, and two of the service without keys, in two regions.
func (sim *simulation) startFleet(keyed int) {
	sim.publish(1, true)
	for i := range keyed {
		sim.addInstance(fmt.Sprintf("k%d", i), "keyed", fmt.Sprintf("r%d", i%2+1))
	}
	sim.addInstance("f0", "free", "r1")
	sim.addInstance("f1", "free", "r2")
	time.Sleep(fleetSettleTime)
}

// inVirtualTime runs a scenario in virtual time.
func inVirtualTime(t *testing.T, scenario func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, scenario)
}

// Guards against requests that are not served although there are no faults, and requests that run outside their home
// regions.
func TestServesRequestsWithoutFaults(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		if got := sim.servedShare("f1"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
		for i := range 20 {
			if a := sim.sendRequest("k1", fmt.Sprintf("home-%d", i), "/home/", -1, time.Second); a.Outcome != request.Done || string(a.Body) != "f0" {
				t.Errorf("a request confined to r1 got %q from %q", a.Reason, a.Body)
			}
		}
		if a := sim.sendRequest("k0", "x", "/other/", -1, time.Second); a.Reason != request.NoRoute {
			t.Errorf("a request without a route got %q", a.Reason)
		}
	})
}

// Guards against a node that reports ready, or answers that there is no route, before it has read a configuration.
func TestNodeWithoutConfigurationRefuses(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		sim.store.SetDown(true)
		sim.addInstance("k0", "keyed", "r1")
		time.Sleep(2 * time.Second)
		if a := sim.sendRequest("k0", "x", "/free/", -1, time.Second); a.Outcome != request.NotRun || a.Reason != request.NotConfigured {
			t.Errorf("got %v %q", a.Outcome, a.Reason)
		}
		if sim.instances["k0"].gateway.Ready() {
			t.Error("a node without configuration is ready")
		}
	})
}

// Guards against keys that are no longer served before the lease expires during an outage of the store, and against two
// owners after it.
func TestKeysAreServedDuringStoreOutage(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.store.SetDown(true)
		time.Sleep(5 * time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 5 s into the outage", got)
		}
		time.Sleep(15 * time.Second)
		sim.store.SetDown(false)
		sim.publish(2, true)
		time.Sleep(3 * time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served after the outage", got)
		}
		if got := sim.instances["f0"].gateway.routes.revision(); got != 2 {
			t.Errorf("revision %d is in force", got)
		}
	})
}

// Guards against keys that stay assigned to an instance that never returns, and against two owners of a key while an
// instance is only unreachable.
func TestLostInstanceLosesKeysAfterItsLease(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprintf("gone=%v", gone), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				sim := startFleet(t)
				defer sim.close()
				if gone {
					sim.stopServer("k1")
					sim.killGateway("k1")
				} else {
					sim.mu.Lock()
					sim.disconnected["k1"] = true
					sim.mu.Unlock()
					sim.store.SetUnreachable("k1", true)
				}
				time.Sleep(13 * time.Second)
				if got := sim.servedShare("f0"); got != 1 {
					t.Errorf("%.2f of the keys are served 13 s after the loss", got)
				}
			})
		})
	}
}

// Guards against keys that wait for a claim although only the backend server has ended and its node still runs.
func TestEndedServerLosesKeysSoon(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.stopServer("k2")
		time.Sleep(6 * time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 6 s after the end", got)
		}
		sim.startServer("k2")
		time.Sleep(6 * time.Second)
		sim.mu.Lock()
		held := len(sim.instances["k2"].server.held)
		sim.mu.Unlock()
		if held == 0 {
			t.Error("the backend server that returned holds no keys")
		}
	})
}

// Guards against a node that cannot grant its keys again after a restart, with or without a restart of its backend
// server.
func TestRestartedProcessKeepsKeys(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		for _, both := range []bool{false, true} {
			sim.killGateway("k0")
			if both {
				sim.stopServer("k0")
			}
			time.Sleep(time.Second)
			if both {
				sim.startServer("k0")
			}
			sim.startGateway("k0")
			time.Sleep(3 * time.Second)
			if got := sim.servedShare("f0"); got != 1 {
				t.Errorf("server restarted too %v: %.2f of the keys are served", both, got)
			}
		}
	})
}

// Guards against a fleet that does not recover by itself after all nodes and backend servers ended at once.
func TestFleetRecoversFromTotalLoss(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		for name := range sim.instances {
			sim.killGateway(name)
			sim.stopServer(name)
		}
		time.Sleep(900 * time.Millisecond)
		for name := range sim.instances {
			if name == "k3" {
				continue // never returns
			}
			sim.startServer(name)
			sim.startGateway(name)
		}
		time.Sleep(4 * time.Second)
		if got := sim.servedShare("f0"); got < 0.7 {
			t.Errorf("%.2f of the keys are served 4 s after the loss", got)
		}
		time.Sleep(10 * time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 14 s after the loss", got)
		}
	})
}

// Guards against a draining backend server that gets requests after its drain time, and against keys that move without
// their handover token.
func TestDrainHandsOverKeys(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.mu.Lock()
		drainingServer := sim.instances["k1"].server
		for _, inst := range sim.instances {
			inst.server.serviceTime = 300 * time.Millisecond
		}
		drainingServer.draining = true
		sim.mu.Unlock()
		// Requests wait for slots while their keys leave, and for keys that are moving to the node.
		var callers sync.WaitGroup
		for i := range 300 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				sim.sendRequest("f0", fmt.Sprintf("moving-%d", i), "/keyed/", 16384+i%16384, 3*time.Second)
			})
		}
		callers.Wait()
		time.Sleep(time.Second)
		sim.mu.Lock()
		if sim.misdirected > 0 {
			t.Errorf("%d requests reached a backend server that did not hold their key", sim.misdirected)
		}
		sim.mu.Unlock()
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served after the drain", got)
		}
		table, _ := sim.instances["k0"].gateway.ranges.get("keyed")
		tokens := 0
		for _, r := range table.Ranges {
			if r.Owner.Instance == "k1" {
				t.Errorf("the draining instance owns %+v", r)
			}
			if r.HandoverToken == "from-"+drainingServer.id {
				tokens++
			}
		}
		if tokens == 0 {
			t.Error("no range moved with a token")
		}
	})
}

// Guards against a backend server that gets requests after its end was acknowledged, when the node restarted before the
// message or after the acknowledgement.
func TestDepartureSurvivesNodeRestart(t *testing.T) {
	for _, restartLater := range []bool{false, true} {
		t.Run(fmt.Sprintf("restartLater=%v", restartLater), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				sim := startFleet(t)
				defer sim.close()
				sim.killGateway("f0")
				sim.startGateway("f0")
				inst := sim.instances["f0"]
				if _, err := inst.gateway.Heartbeat(heartbeat.Message{Server: inst.server.id, Ended: true}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				if restartLater {
					sim.killGateway("f0")
					sim.startGateway("f0")
					time.Sleep(2 * time.Second)
				}
				// Its heartbeats still report it as ready.
				if a := sim.sendRequest("k0", "late", "/home/", -1, time.Second); a.Outcome != request.NotRun || sim.runs["late"] != 0 {
					t.Errorf("got %v %q, ran %d times", a.Outcome, a.Reason, sim.runs["late"])
				}
				sim.startServer("f0")
				time.Sleep(2 * time.Second)
				if a := sim.sendRequest("k0", "new", "/home/", -1, time.Second); a.Outcome != request.Done {
					t.Errorf("the new incarnation got %v %q", a.Outcome, a.Reason)
				}
			})
		})
	}
}

// Guards against a cold backend server that gets more requests per second than its rate limit, including those that
// waited before it was known to be cold.
func TestColdServerRateIsLimited(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.publishCold(2)
		time.Sleep(time.Second)
		sim.stopServer("f0")
		sim.startServer("f0")
		time.Sleep(50 * time.Millisecond)
		var callers sync.WaitGroup
		for i := range 100 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				sim.sendRequest("k0", fmt.Sprintf("cold-%d", i), "/home/", -1, 900*time.Millisecond)
			})
		}
		callers.Wait()
		sim.mu.Lock()
		defer sim.mu.Unlock()
		ran := 0
		for id := range sim.runs {
			if strings.HasPrefix(id, "cold-") {
				ran++
			}
		}
		// Two seconds of requests, at most 5 per second, and the burst.
		if ran == 0 || ran > 2*5+coldBurst {
			t.Errorf("%d requests ran", ran)
		}
	})
}

// Guards against requests that reach a stopping node as its process ends, and against a stopping node that refuses
// requests too early.
func TestStoppingNodeGetsNoNewRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		stopping := sim.instances["f0"].gateway
		var stopDone sync.WaitGroup
		stopDone.Go(func() { stopping.PrepareStop(context.Background()) })
		synctest.Wait()
		servedBy := func() (counts map[string]int) {
			counts = map[string]int{}
			for i := range 20 {
				a := sim.sendRequest("k0", fmt.Sprintf("s-%d-%d", time.Now().UnixNano(), i), "/free/", -1, time.Second)
				counts[string(a.Body)]++
			}
			return counts
		}
		if stopping.Ready() || sim.sendRequest("f1", "first", "/home/", -1, time.Second).Outcome != request.Done {
			t.Error("a stopping node is ready, or serves nothing")
		}
		time.Sleep(stopServeTime - stopAnnounceTime/2 - 100*time.Millisecond)
		if counts := servedBy(); counts["f0"] > 0 || counts["f1"] != 20 {
			t.Errorf("served by %v", counts)
		}
		stopDone.Wait()
	})
}

// Guards against an evacuation whose time starts again whenever the reader has to apply a snapshot of the topic.
func TestEvacuationStartSurvivesSnapshot(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		routes := newRouteTable()
		routes.setEvacuated("dc", true)
		time.Sleep(4 * time.Second)
		routes.beginSnapshot()
		routes.setEvacuated("dc", true)
		if got := routes.evacuatedFor("dc"); got != 4*time.Second {
			t.Errorf("evacuated for %v", got)
		}
		routes.beginSnapshot()
		if routes.isEvacuated("dc") {
			t.Error("an evacuation that has ended stays in force")
		}
	})
}

// Guards against an evacuated data centre whose backend servers get requests, and against keys that do not return after
// the evacuation.
func TestEvacuation(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.writeOperatorRecord("evacuate/dc-f0", "{}")
		sim.writeOperatorRecord("evacuate/dc-k0", "{}")
		time.Sleep(4 * time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
		for i := range 10 {
			if a := sim.sendRequest("f0", fmt.Sprintf("e%d", i), "/free/", -1, time.Second); string(a.Body) != "f1" {
				t.Errorf("served by %q, %q", a.Body, a.Reason)
			}
		}
		if table, _ := sim.instances["k1"].gateway.ranges.get("keyed"); table.Owns("k0") {
			t.Error("the evacuated instance owns keys")
		}
		sim.writeOperatorRecord("evacuate/dc-k0", "")
		time.Sleep(4 * time.Second)
		if table, _ := sim.instances["k1"].gateway.ranges.get("keyed"); !table.Owns("k0") {
			t.Error("no keys came back after the evacuation")
		}
	})
}

// Guards against writes that are decided twice, or never, because the answers of the store are lost.
func TestLostStoreAnswers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.store.SetLoseReplies(true)
		sim.mu.Lock()
		sim.instances["k3"].server.draining = true
		sim.mu.Unlock()
		time.Sleep(8 * time.Second)
		sim.store.SetLoseReplies(false)
		time.Sleep(4 * time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
	})
}

// Guards against a grant of ranges that a write with an unknown outcome takes away.
func TestPendingWriteWithholdsGrants(t *testing.T) {
	own := keyrange.Owner{Instance: "k0", Server: "s", StartedUnixMS: 1}
	table := &keyrange.Table{Service: "keyed", Suspicions: map[string]keyrange.Suspicion{}, Lost: map[string]bool{}}
	table.Initialize([]keyrange.Candidate{{Owner: own, Weight: 1}})
	ranges := newRangeTable()
	ranges.put(table, 0, 0)
	ranges.confirmRead(Self{Instance: "k0", Service: "keyed"}, 0, 0, 0, 4)
	next := table.Clone()
	next.Unassign("k0")
	ranges.addPendingWrite(next, 4)
	if got := ranges.grantable(own, "keyed"); len(got) != 0 {
		t.Errorf("granted %v while the write is pending", got)
	}
	// A second write that is known to have had no effect leaves the first one pending.
	ranges.addPendingWrite(table.Clone(), 4)
	ranges.dropPendingWrite(4)
	if got := ranges.grantable(own, "keyed"); len(got) != 0 {
		t.Errorf("granted %v after the second write was refused", got)
	}
	ranges.confirmRead(Self{Instance: "k0", Service: "keyed"}, 0, 0, 0, 5)
	if got := ranges.grantable(own, "keyed"); len(got) != 1 {
		t.Errorf("granted %v after another write came first", got)
	}
}
