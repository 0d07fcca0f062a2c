package main

import (
	"context"
	"fmt"

	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/routing"
)

// measureRouting measures the decision of where a request goes: resolving the settings, the slice of the key, its
// owner, and the decision.
func measureRouting(_ context.Context, o options) error {
	c, err := config.Decode([]byte(largeDocument()))
	if err != nil {
		return err
	}
	t := &table{
		title:  "Routing decision, 60 exceptions, keys at random; the baseline is the hash of the key alone",
		header: []string{"members", "slices", "decision", "allocations", "with settings", "allocations", "baseline: hash"},
	}
	for _, n := range memberCounts {
		for _, each := range []int{16, 256} {
			p, err := newPopulation(n, each, o.seed)
			if err != nil {
				return err
			}
			keys := randomKeys(p)
			hash := costOf(withNextKey(keys, func(key string) { keyspace.Hash(key) }))
			decide := costOf(withNextKey(keys, func(key string) { decideRoute(p.state, key) }))
			whole := costOf(withNextKey(keys, func(key string) {
				c.Resolve(config.Subject{Service: groupOf0.Service, Tenant: "tenant-007", Key: key, DataCentre: "region-0-a", Region: "region-0"})
				decideRoute(p.state, key)
			}))
			t.add(fmt.Sprint(n), fmt.Sprint(n*each), short(decide.time), number(decide.allocs), short(whole.time),
				number(whole.allocs), short(hash.time))
		}
	}
	t.print()
	return nil
}

// decideRoute decides for one key.
func decideRoute(s *ledger.State, key string) routing.Decision {
	snapshot := routing.Snapshot{Self: 1, Region: "region-0"}
	routing.Lookup(s, groupOf0, keyspace.Hash(key), &snapshot)
	return routing.Decide(&snapshot)
}

// groupOf0 is the group that the keys of the routing decision belong to.
var groupOf0 = groupOf(0)

// randomKeys returns keys from the seed of the population.
func randomKeys(p *population) []string {
	keys := make([]string, 4096)
	for i := range keys {
		keys[i] = fmt.Sprintf("position-%d", p.random.Uint64())
	}
	return keys
}

// withNextKey returns a function that calls f with the next key each time.
func withNextKey(keys []string, f func(string)) func() {
	i := 0
	return func() {
		f(keys[i%len(keys)])
		i++
	}
}
