package main

import (
	"context"
	"fmt"

	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/routing"
)

// measureRouting measures the routing decision for a key: hashing the key, looking up the owner of its slice and
// deciding; and the same with resolving the settings first.
func measureRouting(_ context.Context, o options) error {
	c, err := config.Decode([]byte(largeConfiguration()))
	if err != nil {
		return err
	}
	t := &table{
		title:  "Routing decision, 60 exceptions, keys at random; the baseline is the hash of the key alone",
		header: []string{"members", "slices", "decision", "allocations", "with settings", "allocations", "baseline: hash"},
	}
	for _, n := range memberCounts {
		for _, slicesEach := range []int{16, 256} {
			sim, err := newSimulatedFleet(n, slicesEach, o.seed)
			if err != nil {
				return err
			}
			keys := randomKeys(sim)
			hash := measureCost(cycleKeys(keys, func(key string) { keyspace.Hash(key) }))
			decision := measureCost(cycleKeys(keys, func(key string) { decideRoute(sim.state, key) }))
			withSettings := measureCost(cycleKeys(keys, func(key string) {
				c.Resolve(config.Subject{Service: routingGroup.Service, Tenant: "tenant-007", Key: key, DataCentre: "region-0-a", Region: "region-0"})
				decideRoute(sim.state, key)
			}))
			t.add(fmt.Sprint(n), fmt.Sprint(n*slicesEach), formatDuration(decision.time), formatNumber(decision.allocs),
				formatDuration(withSettings.time), formatNumber(withSettings.allocs), formatDuration(hash.time))
		}
	}
	t.print()
	return nil
}

// decideRoute returns the routing decision for one key.
func decideRoute(s *ledger.State, key string) routing.Decision {
	snapshot := routing.Snapshot{Self: 1, Region: "region-0"}
	routing.Lookup(s, routingGroup, keyspace.Hash(key), &snapshot)
	return routing.Decide(&snapshot)
}

// routingGroup is the group of the keys whose routing is measured.
var routingGroup = serviceGroup(0)

// randomKeys returns keys that are generated from the seed of the fleet.
func randomKeys(sim *simulatedFleet) []string {
	keys := make([]string, 4096)
	for i := range keys {
		keys[i] = fmt.Sprintf("position-%d", sim.random.Uint64())
	}
	return keys
}

// cycleKeys returns a function that calls f with the next key at each call, and starts over after the last key.
func cycleKeys(keys []string, f func(string)) func() {
	i := 0
	return func() {
		f(keys[i%len(keys)])
		i++
	}
}
