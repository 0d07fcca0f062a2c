package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/keyrange"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// ownedKey returns a key that an instance owns, as another one sees it.
func (sim *simulation) ownedKey(owner, through string) int {
	table, _ := sim.instances[through].gateway.ranges.get("keyed")
	for key := 0; key < keyrange.KeyCount; key += 64 {
		if r, ok := table.Find(uint16(key)); ok && r.Owner.Instance == owner {
			return key
		}
	}
	sim.t.Fatalf("%s owns no key", owner)
	return 0
}

// Guards against requests for keys of a stopping owner that are sent to it again and again, so that some meet the end of
// its process.
func TestStoppedOwnerGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		key := sim.ownedKey("k1", "k0")
		var lastDispatch time.Time
		sim.mu.Lock()
		sim.onDispatch = func(to string, _ routed.Request) {
			if to == "k1" {
				lastDispatch = time.Now()
			}
		}
		sim.mu.Unlock()
		var callers sync.WaitGroup
		var mu sync.Mutex
		answers := map[string]routed.Answer{}
		callers.Go(func() {
			for i := range 200 {
				time.Sleep(20 * time.Millisecond)
				callers.Go(func() {
					id := fmt.Sprintf("stop-%d", i)
					a := sim.sendRequest("k0", id, "/keyed/", key, 3*time.Second)
					mu.Lock()
					defer mu.Unlock()
					answers[id] = a
				})
			}
		})
		sim.instances["k1"].gateway.PrepareStop(context.Background())
		closedAt := time.Now()
		time.Sleep(time.Second)
		sim.mu.Lock()
		late := lastDispatch.Sub(closedAt)
		sim.mu.Unlock()
		if late > stopAnnounceTime {
			t.Errorf("a request was sent to the stopped owner %v after it stopped accepting requests, want at most %v", late, stopAnnounceTime)
		}
		sim.killGateway("k1")
		time.Sleep(100 * time.Millisecond)
		sim.startGateway("k1")
		callers.Wait()
		for id, a := range answers {
			if a.Outcome != request.Done {
				t.Errorf("%s got %v %q", id, a.Outcome, a.Reason)
			}
		}
	})
}

// Guards against requests that are withheld for good from an owner whose next process cannot store its record, and from
// one whose next process is known.
func TestRestartIsAwaitedForLimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemberTable(Self{Instance: "k0"}, RetryLimits{})
		stopping := registry.Member{Instance: "k1", Incarnation: 1, Stopping: true}
		table.put(stopping)
		for _, step := range []struct {
			after time.Duration
			want  bool
		}{{0, false}, {stopAnnounceTime, true}, {maxRestartWait - time.Millisecond, true}, {time.Millisecond, false}} {
			time.Sleep(step.after)
			// The record is read again after a snapshot of the topic.
			table.put(stopping)
			if got := table.isRestarting("k1", time.Now()); got != step.want {
				t.Errorf("%v later: got %v, want %v", step.after, got, step.want)
			}
		}
		stopping.Incarnation = 2
		table.put(stopping)
		time.Sleep(stopAnnounceTime)
		if !table.isRestarting("k1", time.Now()) {
			t.Error("the stop of the next process is not noticed")
		}
		table.put(registry.Member{Instance: "k1", Incarnation: 3})
		if table.isRestarting("k1", time.Now()) {
			t.Error("the next process gets no requests")
		}
	})
}
