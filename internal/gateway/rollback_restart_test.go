package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/keyrange"
	"heatherreel/internal/registry"
)

// setCutOff sets whether an instance reaches neither the store nor another instance.
func (sim *simulation) setCutOff(name string, cutOff bool) {
	sim.store.SetSilent(name, cutOff)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.disconnected[name] = cutOff
}

// Guards against two owners of a key after the store has lost the only table of a service: the planner restarts, finds no
// table and assigns all keys, while others hold keys under the lost table.
func TestRestartedPlannerAwaitsLeasesUnderLostTable(t *testing.T) {
	for _, direct := range []bool{false, true} {
		for _, cutOff := range []string{"", "k1"} {
			for _, restartAfter := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
				t.Run(fmt.Sprintf("direct=%v/cut off=%q/restart after %v", direct, cutOff, restartAfter), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { restartPlannerWithoutTable(t, direct, cutOff, restartAfter) })
				})
			}
		}
	}
}

// restartPlannerWithoutTable loses all records of the store and restarts the planner of the keyed service some time later,
// while an instance is cut off; empty for none.
func restartPlannerWithoutTable(t *testing.T, direct bool, cutOff string, restartAfter time.Duration) {
	sim := newSimulation(t)
	defer sim.close()
	sim.direct = direct
	sim.startFleet(4)
	if cutOff != "" {
		sim.setCutOff(cutOff, true)
	}
	if lost := sim.store.RollBackRecords(1000); lost[registry.RangesTopic] == 0 {
		t.Fatal("the store had no table")
	}
	sim.publish(2, true)
	at := time.Now()
	time.Sleep(restartAfter)
	sim.killGateway("k0")
	time.Sleep(100 * time.Millisecond)
	sim.startGateway("k0")
	for time.Since(at) < keyrange.LeaseDuration {
		time.Sleep(100 * time.Millisecond)
		sim.mu.Lock()
		sim.checkOwners()
		sim.mu.Unlock()
	}
	if cutOff != "" {
		sim.setCutOff(cutOff, false)
	}
	time.Sleep(restartAfter + eraSettleTime)
	if got := sim.servedShare("f0"); got != 1 {
		t.Errorf("%.2f of the keys are served", got)
	}
}

// Guards against fences that are given out twice, and two owners of a key, if the first table of an era is lost by another
// rollback, or its write gets no answer, and its planner restarts within the leases under it.
func TestFirstTableOfEraIsLostAndPlannerRestarts(t *testing.T) {
	runInBothGrantWays(t, 2*scheduleCount(t), 17, func(sim *simulation, random *rand.Rand, cutOff string) {
		sim.store.RollBack(randomTime(random, time.Second, 4*time.Second))
		time.Sleep(randomTime(random, 0, keyrange.ClaimWait))
		loseReplies := random.IntN(2) == 0
		sim.store.SetLoseReplies(loseReplies)
		if cutOff != "k0" {
			sim.setCutOff(cutOff, true)
		}
		for end := sim.store.End(registry.RangesTopic); sim.store.End(registry.RangesTopic) == end; {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(randomTime(random, 0, 2*time.Second))
		sim.store.RollBackRecords(1 + random.IntN(4))
		sim.store.SetLoseReplies(false)
		sim.publish(uint64(len(sim.tables)+1), true)
		sim.store.SetLoseReplies(loseReplies)
		time.Sleep(randomTime(random, 0, keyrange.LeaseDuration))
		sim.killGateway("k0")
		time.Sleep(randomTime(random, 0, time.Second))
		sim.startGateway("k0")
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			sim.mu.Lock()
			sim.checkOwners()
			sim.mu.Unlock()
		}
		sim.store.SetLoseReplies(false)
		sim.setCutOff(cutOff, false)
		time.Sleep(eraSettleTime + 5*time.Second)
		if got := sim.servedShare("f0"); got != 1 {
			sim.t.Errorf("%.2f of the keys are served", got)
		}
	})
}
