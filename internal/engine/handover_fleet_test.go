package engine

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/handover"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routing"
	"heatherreel/internal/scenario"
)

// sampledKeyCount is the number of keys for which checkKeyOwners looks for two owners. It is small because each key is
// resolved on each node every 10 ms, which is slow with the race detector.
const sampledKeyCount = 4

// checkKeyOwners fails the test if two nodes would serve one key. Checking slices alone does not detect this: nodes
// read a change of home regions at different times, and meanwhile map a key to slices of different groups.
func (f *fleet) checkKeyOwners() {
	for service := range f.storeByService {
		for k := range sampledKeyCount {
			key := fmt.Sprintf("load-%d", k)
			var owners []string
			for _, n := range f.liveNodes() {
				if n.wouldServe(service, key) {
					owners = append(owners, n.Name)
				}
			}
			if len(owners) > 1 {
				f.t.Errorf("key %s of %s would be served by %v", key, service, owners)
			}
		}
	}
}

// wouldServe reports whether this node would start a request for the key now.
func (n *fleetNode) wouldServe(service, key string) bool {
	c := newCall(n.engine.ctx, newReadRequest(service, key, loadDeadline))
	s, configured := n.engine.resolveRoute(c, time.Now())
	if !configured || routing.Decide(&s).Action != routing.Local {
		return false
	}
	allowed := false
	n.engine.handover.withLock(func(g *handover.Gate) {
		if allowed = g.Begin(c.target.epoch, c.target.homesMayHaveChanged); allowed {
			g.Finish(c.target.epoch)
		}
	})
	return allowed
}

// homeRegionsDocument returns a configuration in which all keys have the given home regions.
func homeRegionsDocument(homeRegions string) []byte {
	withoutExceptions, _, _ := strings.Cut(confinementDocument, "exceptions:")
	return []byte(strings.Replace(withoutExceptions, "home_regions: any", "home_regions: "+homeRegions, 1))
}

// Guards against two owners of a key, and against a write that runs twice, while operators change home regions back and
// forth and nodes are lost, paused, stopped, cut off from other nodes, or cut off from the log so that they read
// changes late.
func TestHomeRegionsChangeUnderFaults(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.startConfinementFleet(t)
		f.must(t, f.Publish(homeRegionsDocument("any")))
		for _, dataCentre := range []string{"west-a", "central-a"} {
			f.must(t, f.StartLoad(scenario.Load{
				Name: dataCentre, Service: "orders", Writes: true, Rate: 40, DataCentre: dataCentre,
			}))
		}
		for _, step := range []struct {
			homeRegions string
			advance     time.Duration
			cause, undo func() error
		}{
			{"[emea-west]", 5 * time.Second, nil, nil},
			{"[emea-central]", 100 * time.Millisecond, nil, nil},
			{"[emea-west]", 60 * time.Millisecond, nil, nil},
			{"any", 3 * time.Second, func() error { return f.Kill("c1") }, nil},
			{"[emea-central]", 5 * time.Second, func() error { return f.Pause("a1") }, func() error { return f.Resume("a1") }},
			{"any", 5 * time.Second, func() error { return f.Cut("emea-west", "emea-central") },
				func() error { return f.Heal("emea-west", "emea-central") }},
			{"[emea-west]", 5 * time.Second, func() error { return f.Cut("d1", "log") }, func() error { return f.Heal("d1", "log") }},
			{"any", 5 * time.Second, func() error { return f.Stop("b2") }, func() error { return f.startOrdersNode("b2", "west-b") }},
			{"[emea-west]", 5 * time.Second, func() error { return f.startOrdersNode("c1", "central-a") }, nil},
		} {
			if step.cause != nil {
				f.must(t, step.cause())
			}
			f.must(t, f.Publish(homeRegionsDocument(step.homeRegions)))
			f.Advance(step.advance)
			if step.undo != nil {
				f.must(t, step.undo())
				f.Advance(3 * time.Second)
			}
		}
		f.Advance(15 * time.Second)
		f.checkServed(t)
		for _, name := range []string{"west-a", "central-a"} {
			f.must(t, f.StopLoad(name))
		}
		if executions, duplicates := f.Executions(); executions < 500 || len(duplicates) > 0 {
			t.Errorf("%d writes ran, twice: %v", executions, duplicates)
		}
	})
}

// must fails the test on an error.
func (f *fleet) must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// checkServed fails the test if a probe from west-a is not answered by a backend server.
func (f *fleet) checkServed(t *testing.T) {
	t.Helper()
	answers, err := f.Probe("orders", "west-a")
	f.must(t, err)
	for _, a := range answers {
		if a.Status == 0 {
			t.Errorf("a probe got the answer %s, %s", a.Outcome, a.Reason)
		}
	}
}

// Guards against a repeated write that runs a second time after a change of home regions, because its outcome is
// retained only by the earlier owner.
func TestRepeatedWriteAfterHomeRegionsChange(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.startConfinementFleet(t)
		n, err := f.node("a1")
		f.must(t, err)
		var writes []request.Request
		for k := range 50 {
			w := newReadRequest("orders", fmt.Sprintf("load-%d", k), loadDeadline)
			w.Method, w.Idempotent, w.ID = "POST", false, newRequestID(time.Now())
			if answer := f.send(n, w); answer.Outcome != request.Done {
				t.Fatalf("a write got the answer %s, %s", answer.Outcome, answer.Reason)
			}
			writes = append(writes, w)
		}
		f.must(t, f.Publish(homeRegionsDocument("[emea-west]")))
		f.Advance(5 * time.Second)
		for _, w := range writes {
			w.Deadline = time.Now().Add(loadDeadline)
			if answer := f.send(n, w); answer.Reason != request.MayHaveRun {
				t.Errorf("a repeated write got the answer %s, %s", answer.Outcome, answer.Reason)
			}
		}
		if _, duplicates := f.Executions(); len(duplicates) > 0 {
			t.Errorf("ran twice: %v", duplicates)
		}
	})
}

// Guards against confirmation requests between nodes for a configuration that does not change home regions.
func TestOtherConfigurationChangesNeedNoConfirmation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var confirmationRequests atomic.Int64
		f.network.Observe(func(m fake.Message) {
			if r, ok := m.Payload.(node.ReleaseRequest); ok && len(r.Slices) == 0 {
				confirmationRequests.Add(1)
			}
		})
		f.startConfinementFleet(t)
		f.must(t, f.Publish([]byte(strings.Replace(confinementDocument, "slices: 32", "slices: 32, deadline: 3s", 1))))
		f.Advance(3 * time.Second)
		if confirmationRequests.Load() != 0 {
			t.Errorf("%d confirmation requests without a change of home regions", confirmationRequests.Load())
		}
		f.must(t, f.Publish(homeRegionsDocument("any")))
		f.Advance(3 * time.Second)
		t.Logf("%d confirmation requests among 8 nodes after a change of home regions", confirmationRequests.Load())
		if confirmationRequests.Load() == 0 {
			t.Error("no confirmation request after a change of home regions")
		}
	})
}

// Guards against retained outcomes that leave their home region: after a configuration has confined keys to one region,
// the slices to which they belonged before may still move to the other region.
func TestOutcomesStayInRegionAfterNarrowing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		tenant := newConfinedTenant(f, "west")
		checker := newConfinementChecker(t, f, tenant.markers())
		f.startConfinementFleet(t)
		f.must(t, f.Publish(homeRegionsDocument("any")))
		f.Advance(3 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		tenant.goroutines.Add(1)
		go tenant.run(ctx)
		f.Advance(3 * time.Second)
		cancel()
		tenant.goroutines.Wait()
		narrowed, _, _ := strings.Cut(confinementDocument, "  - {name: central")
		f.must(t, f.Publish([]byte(narrowed)))
		f.Advance(3 * time.Second)
		checker.mu.Lock()
		clear(checker.violations)
		checker.mu.Unlock()
		f.must(t, f.Stop("a1"))
		f.must(t, f.Stop("b1"))
		f.Advance(10 * time.Second)
		checker.mu.Lock()
		defer checker.mu.Unlock()
		for violation := range checker.violations {
			if strings.HasSuffix(violation, "to emea-central") {
				t.Error(violation)
			}
		}
		if tenant.done.Load() == 0 || checker.releases == 0 {
			t.Errorf("%d requests done, %d releases with outcomes inside the home region", tenant.done.Load(), checker.releases)
		}
	})
}

// sendWrites sends count writes for different keys to a node concurrently, and counts the answers by outcome and
// reason.
func (f *fleet) sendWrites(n *fleetNode, count int) map[string]int {
	answers := make(chan request.Answer, count)
	for k := range count {
		w := newReadRequest("orders", fmt.Sprintf("load-%d", k), loadDeadline)
		w.Method, w.Idempotent, w.ID = "POST", false, newRequestID(time.Now())
		go func() { answers <- f.send(n, w) }()
	}
	counts := map[string]int{}
	for range count {
		a := <-answers
		counts[a.Outcome.String()+" "+string(a.Reason)]++
	}
	return counts
}

// Guards against a key that is served while another live node may still serve it under its earlier home regions. Writes
// to it must be refused as "not run"; waiting until their deadline would give the answer "unknown" although they did
// not run.
func TestNodeWithoutLogBlocksChangedKeys(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.startConfinementFleet(t)
		n, err := f.node("a1")
		f.must(t, err)
		f.must(t, f.Cut("d1", "log"))
		f.must(t, f.Publish(homeRegionsDocument("[emea-west]")))
		f.Advance(3 * time.Second)
		if got := f.sendWrites(n, 60); got["not-run moving"] != 60 {
			t.Errorf("while a node cannot read the log: %v", got)
		}
		f.must(t, f.Heal("d1", "log"))
		// The long poll that was lost in the cut ends after 11 s.
		f.Advance(15 * time.Second)
		if got := f.sendWrites(n, 60); got["done "] != 60 {
			t.Errorf("after it can read the log again: %v", got)
		}
	})
}

// Guards against a fleet that stops serving because it cannot decode a revision written for a newer version, and
// against keys that are still refused after the next revision that it can decode.
func TestUndecodableRevisionKeepsServing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.startConfinementFleet(t)
		n, err := f.node("a1")
		f.must(t, err)
		f.must(t, f.publishUnchecked([]byte("unknown_field: 1")))
		f.Advance(time.Second)
		if got := f.sendWrites(n, 60); got["done "] != 60 {
			t.Errorf("after a revision that cannot be decoded: %v", got)
		}
		f.must(t, f.Publish(homeRegionsDocument("[emea-west]")))
		f.Advance(3 * time.Second)
		if got := f.sendWrites(n, 60); got["done "] != 60 {
			t.Errorf("after the next revision: %v", got)
		}
	})
}
