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

// sampleKeys is the number of keys whose owners are compared across groups. Each costs a
// resolution on each node every 10 ms, which is slow with the race detector.
const sampleKeys = 4

// checkKeyOwners fails the test if two nodes would serve one key. Slices alone do not show that: while nodes read a
// change of home regions at different times, they map a key to slices of different groups.
func (f *fleet) checkKeyOwners() {
	for service := range f.stores {
		for k := range sampleKeys {
			key := fmt.Sprintf("load-%d", k)
			var owners []string
			for _, n := range f.living() {
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

// wouldServe reports whether a request for the key would begin on this node now.
func (n *fleetNode) wouldServe(service, key string) bool {
	c := newCall(n.engine.ctx, readOf(service, key, loadDeadline))
	s, configured := n.engine.resolveRoute(c, time.Now())
	if !configured || routing.Decide(&s).Action != routing.Local {
		return false
	}
	begins := false
	n.engine.handover.withLock(func(g *handover.Gate) {
		if begins = g.Begin(c.target.epoch, c.target.homesMayHaveChanged); begins {
			g.Finish(c.target.epoch)
		}
	})
	return begins
}

// homesDocument gives all keys the home regions.
func homesDocument(home string) []byte {
	cut, _, _ := strings.Cut(confinedDocument, "exceptions:")
	return []byte(strings.Replace(cut, "home_regions: any", "home_regions: "+home, 1))
}

// Guards against two owners of a key, and against a write that runs twice, while operators change home regions back and
// forth and nodes are lost, paused, cut off or slow to read the log.
func TestHomeRegionsChangeUnderFaults(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.startConfined(t)
		f.must(t, f.Publish(homesDocument("any")))
		for _, dataCentre := range []string{"west-a", "central-a"} {
			f.must(t, f.StartLoad(scenario.Load{
				Name: dataCentre, Service: "orders", Writes: true, Rate: 40, DataCentre: dataCentre,
			}))
		}
		for _, s := range []struct {
			home     string
			after    time.Duration
			do, undo func() error
		}{
			{"[emea-west]", 5 * time.Second, nil, nil},
			{"[emea-central]", 100 * time.Millisecond, nil, nil},
			{"[emea-west]", 60 * time.Millisecond, nil, nil},
			{"any", 3 * time.Second, func() error { return f.Kill("c1") }, nil},
			{"[emea-central]", 5 * time.Second, func() error { return f.Pause("a1") }, func() error { return f.Resume("a1") }},
			{"any", 5 * time.Second, func() error { return f.Cut("emea-west", "emea-central") },
				func() error { return f.Heal("emea-west", "emea-central") }},
			{"[emea-west]", 5 * time.Second, func() error { return f.Cut("d1", "log") }, func() error { return f.Heal("d1", "log") }},
			{"any", 5 * time.Second, func() error { return f.Stop("b2") }, func() error { return f.startIn("b2", "west-b") }},
			{"[emea-west]", 5 * time.Second, func() error { return f.startIn("c1", "central-a") }, nil},
		} {
			if s.do != nil {
				f.must(t, s.do())
			}
			f.must(t, f.Publish(homesDocument(s.home)))
			f.Advance(s.after)
			if s.undo != nil {
				f.must(t, s.undo())
				f.Advance(3 * time.Second)
			}
		}
		f.Advance(15 * time.Second)
		f.wantServed(t)
		for _, name := range []string{"west-a", "central-a"} {
			f.must(t, f.StopLoad(name))
		}
		if ran, twice := f.Executions(); ran < 500 || len(twice) > 0 {
			t.Errorf("%d writes ran, twice: %v", ran, twice)
		}
	})
}

// must fails the test for an error.
func (f *fleet) must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// wantServed fails the test if a probe at home is not done.
func (f *fleet) wantServed(t *testing.T) {
	t.Helper()
	answers, err := f.Probe("orders", "west-a")
	f.must(t, err)
	for _, a := range answers {
		if a.Status == 0 {
			t.Errorf("a probe is answered %s, %s", a.Outcome, a.Reason)
		}
	}
}

// Guards against a write that runs again because its outcome stayed with the owner under the earlier home regions.
func TestRepeatedWriteAfterHomeRegionsChange(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.startConfined(t)
		n, err := f.node("a1")
		f.must(t, err)
		var writes []request.Request
		for k := range 50 {
			w := readOf("orders", fmt.Sprintf("load-%d", k), loadDeadline)
			w.Method, w.Idempotent, w.ID = "POST", false, newRequestID(time.Now())
			if answer := f.send(n, w); answer.Outcome != request.Done {
				t.Fatalf("a write is answered %s, %s", answer.Outcome, answer.Reason)
			}
			writes = append(writes, w)
		}
		f.must(t, f.Publish(homesDocument("[emea-west]")))
		f.Advance(5 * time.Second)
		for _, w := range writes {
			w.Deadline = time.Now().Add(loadDeadline)
			if answer := f.send(n, w); answer.Reason != request.MayHaveRun {
				t.Errorf("a repeated write is answered %s, %s", answer.Outcome, answer.Reason)
			}
		}
		if _, twice := f.Executions(); len(twice) > 0 {
			t.Errorf("ran twice: %v", twice)
		}
	})
}

// Guards against questions between nodes when a configuration changes something else than home regions.
func TestOtherChangesCostNoConfirmation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var asked atomic.Int64
		f.network.Observe(func(m fake.Message) {
			if r, ok := m.Payload.(node.ReleaseRequest); ok && len(r.Slices) == 0 {
				asked.Add(1)
			}
		})
		f.startConfined(t)
		f.must(t, f.Publish([]byte(strings.Replace(confinedDocument, "slices: 32", "slices: 32, deadline: 3s", 1))))
		f.Advance(3 * time.Second)
		if asked.Load() != 0 {
			t.Errorf("%d questions without a change of home regions", asked.Load())
		}
		f.must(t, f.Publish(homesDocument("any")))
		f.Advance(3 * time.Second)
		t.Logf("%d questions among 8 nodes after a change of home regions", asked.Load())
		if asked.Load() == 0 {
			t.Error("no question after a change of home regions")
		}
	})
}

// Guards against retained outcomes of keys that were narrowed to a region and leave it with a move of their old slices.
func TestOutcomesStayAfterNarrowing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		c := newConfinedTenant(f, "west")
		w := watchConfinement(t, f, c.marks())
		f.startConfined(t)
		f.must(t, f.Publish(homesDocument("any")))
		f.Advance(3 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		c.running.Add(1)
		go c.run(ctx)
		f.Advance(3 * time.Second)
		cancel()
		c.running.Wait()
		narrowed, _, _ := strings.Cut(confinedDocument, "  - {name: central")
		f.must(t, f.Publish([]byte(narrowed)))
		f.Advance(3 * time.Second)
		w.mu.Lock()
		clear(w.found)
		w.mu.Unlock()
		f.must(t, f.Stop("a1"))
		f.must(t, f.Stop("b1"))
		f.Advance(10 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		for place := range w.found {
			if strings.HasSuffix(place, "to emea-central") {
				t.Error(place)
			}
		}
		if c.done.Load() == 0 || w.releases == 0 {
			t.Errorf("%d requests done, %d releases with outcomes at home", c.done.Load(), w.releases)
		}
	})
}

// sendWrites sends a new write for each of some keys to a node at once, and counts the answers by outcome and reason.
func (f *fleet) sendWrites(n *fleetNode, count int) map[string]int {
	answers := make(chan request.Answer, count)
	for k := range count {
		w := readOf("orders", fmt.Sprintf("load-%d", k), loadDeadline)
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

// Guards against a key that is served while a living node may serve it under earlier home regions, and against writes
// that wait for the change until their deadline and are answered "unknown" though they did not run.
func TestNodeWithoutLogHoldsChangedKeys(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.startConfined(t)
		n, err := f.node("a1")
		f.must(t, err)
		f.must(t, f.Cut("d1", "log"))
		f.must(t, f.Publish(homesDocument("[emea-west]")))
		f.Advance(3 * time.Second)
		if got := f.sendWrites(n, 60); got["not-run moving"] != 60 {
			t.Errorf("while a node cannot read the log: %v", got)
		}
		f.must(t, f.Heal("d1", "log"))
		// The long poll that the cut swallowed ends after 11 s.
		f.Advance(15 * time.Second)
		if got := f.sendWrites(n, 60); got["done "] != 60 {
			t.Errorf("after it could: %v", got)
		}
	})
}

// Guards against a fleet that stops serving because it cannot decode a revision of a newer version, and against keys
// that stay refused after the next one that it can.
func TestUndecodableRevisionKeepsServing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.startConfined(t)
		n, err := f.node("a1")
		f.must(t, err)
		f.must(t, f.publishUnchecked([]byte("unknown_field: 1")))
		f.Advance(time.Second)
		if got := f.sendWrites(n, 60); got["done "] != 60 {
			t.Errorf("after a revision that cannot be decoded: %v", got)
		}
		f.must(t, f.Publish(homesDocument("[emea-west]")))
		f.Advance(3 * time.Second)
		if got := f.sendWrites(n, 60); got["done "] != 60 {
			t.Errorf("after the next revision: %v", got)
		}
	})
}
