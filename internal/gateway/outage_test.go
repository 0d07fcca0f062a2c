package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/registry"
)

// inForceAfterOutage is the time from the end of an outage of the store until the newest configuration must be in force.
const inForceAfterOutage = 2 * time.Second

// Guards against nodes that still work by the configuration of before an outage of the store, because they read the
// store through a node that has lost power meanwhile.
func TestConfigurationIsInForceAfterOutageWithLostNodes(t *testing.T) {
	for seed := range withoutRaceDetector(scheduleCount(t)) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(seed), 9))
				sim := startFleetOf(t, 8+random.IntN(6))
				defer sim.close()
				sim.loseNodesDuringOutage(random)
			})
		})
	}
}

// loseNodesDuringOutage makes the store silent, publishes configurations, and takes the power from some nodes of a region.
func (sim *simulation) loseNodesDuringOutage(random *rand.Rand) {
	names := slices.Sorted(maps.Keys(sim.instances))
	setSilent := func(silent bool) {
		for _, name := range names {
			sim.store.SetSilent(name, silent)
		}
	}
	setSilent(true)
	outage := randomTime(random, 5*time.Second, 8*time.Second)
	lostAfter := randomTime(random, 0, outage)
	time.Sleep(lostAfter)
	lost := names[:1+random.IntN(len(names)/3)]
	for _, name := range lost {
		sim.mu.Lock()
		sim.withoutPower[name] = true
		sim.mu.Unlock()
		sim.killGateway(name)
		sim.stopServer(name)
	}
	sim.publish(2, true)
	time.Sleep(outage - lostAfter)
	sim.publish(3, true)
	setSilent(false)
	time.Sleep(inForceAfterOutage)
	for _, name := range names[len(lost):] {
		if got := sim.instances[name].gateway.routes.revision(); got != 3 {
			sim.t.Errorf("revision %d is in force at %s, %v after an outage of %v; %d nodes were lost after %v", got, name, inForceAfterOutage, outage, len(lost), lostAfter)
		}
	}
}

// Guards against calls of the store through a node that has lost power, one after the other, although it did not answer
// the first one.
func TestLostNodeIsNotAskedForStoreCallsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.mu.Lock()
		sim.withoutPower["k0"] = true
		sim.mu.Unlock()
		n := relayNodes{sim.instances["k2"].gateway}
		address := nodeAddress("k0")
		for failures := range 4 {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			_, _ = n.StoreCall(ctx, address, registry.Call{Operation: registry.OperationNewest, Topic: "operators"})
			cancel()
			if slices.Contains(n.Addresses(), address) {
				t.Errorf("the node is asked again after %d failures", failures+1)
			}
			time.Sleep(maxUnreachableBackoff)
			if !slices.Contains(n.Addresses(), address) {
				t.Errorf("the node is not asked %v after %d failures", maxUnreachableBackoff, failures+1)
			}
		}
	})
}
