package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
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
			if got := table.nextProcessWait("k1", time.Now()) > 0; got != step.want {
				t.Errorf("%v later: got %v, want %v", step.after, got, step.want)
			}
		}
		stopping.Incarnation = 2
		table.put(stopping)
		time.Sleep(stopAnnounceTime)
		if table.nextProcessWait("k1", time.Now()) == 0 {
			t.Error("the stop of the next process is not noticed")
		}
		table.put(registry.Member{Instance: "k1", Incarnation: 3})
		if table.nextProcessWait("k1", time.Now()) > 0 {
			t.Error("the next process gets no requests")
		}
	})
}

// timedAnswer is an answer and when it arrived.
type timedAnswer struct {
	routed.Answer
	at time.Time
}

// dispatch sends requests to a node directly and returns a function that waits for their answers.
func dispatch(g *Gateway, count int, r routed.Request) func() []timedAnswer {
	answers := make([]timedAnswer, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			sent := r
			sent.ID = fmt.Sprintf("%s-%d", r.ID, i)
			a := g.Dispatch(context.Background(), sent, node.DispatchProgress{})
			answers[i] = timedAnswer{a, time.Now()}
		})
	}
	return func() []timedAnswer {
		group.Wait()
		return answers
	}
}

// Guards against requests that wait in the queue of a stopping node for a slot in which they may not run, and lose the
// time to run elsewhere.
func TestStoppedNodeRefusesItsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.mu.Lock()
		g, slots := sim.instances["f0"].gateway, 8
		sim.instances["f0"].server.serviceTime = 2 * time.Second
		sim.mu.Unlock()
		go g.PrepareStop(context.Background())
		synctest.Wait()
		closeAt := time.Now().Add(stopServeTime)
		time.Sleep(stopServeTime - 100*time.Millisecond)
		r := routed.Request{Service: "free", Route: "free", Deadline: time.Now().Add(10 * time.Second)}
		r.ID = "running"
		running := dispatch(g, slots, r)
		synctest.Wait()
		r.ID = "queued"
		for _, a := range dispatch(g, 3, r)() {
			if a.Reason != request.Stopping || a.at.After(closeAt) {
				t.Errorf("a waiting request got %v %q %v after the node stopped accepting, want a refusal as stopping at once", a.Outcome, a.Reason, a.at.Sub(closeAt))
			}
		}
		for _, a := range running() {
			if a.Outcome != request.Done {
				t.Errorf("a running request got %v %q", a.Outcome, a.Reason)
			}
		}
	})
}

// Guards against requests that wait at a stopping node for a key that is moving to it.
func TestStoppedNodeRefusesRequestsThatWaitForKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.mu.Lock()
		g := sim.instances["k1"].gateway
		sim.mu.Unlock()
		go g.PrepareStop(context.Background())
		synctest.Wait()
		closeAt := time.Now().Add(stopServeTime)
		time.Sleep(stopServeTime - 5*time.Millisecond)
		// The backend server holds no key from now on, as if all were still on their way to it.
		g.server.mu.Lock()
		g.server.holds.Retain(nil)
		g.server.mu.Unlock()
		r := routed.Request{ID: "r", Service: "keyed", Route: "keyed", Keyed: true, Key: uint16(sim.ownedKey("k1", "k1")), Deadline: time.Now().Add(5 * time.Second)}
		if a := dispatch(g, 1, r)()[0]; a.Reason != request.Stopping || a.at.After(closeAt) {
			t.Errorf("got %v %q %v after the node stopped accepting, want a refusal as stopping at once", a.Outcome, a.Reason, a.at.Sub(closeAt))
		}
	})
}

// Guards against requests that a stopping node accepts although they need longer than it has, and that get no answer.
func TestStopBoundsTimeOfNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.mu.Lock()
		for _, inst := range sim.instances {
			inst.server.serviceTime = 8 * time.Second
		}
		g := sim.instances["f0"].gateway
		sim.mu.Unlock()
		const timeLeft = 5 * time.Second
		ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
		defer cancel()
		end := time.Now().Add(timeLeft)
		go g.PrepareStop(ctx)
		time.Sleep(time.Second)
		var caller sync.WaitGroup
		caller.Go(func() {
			a := sim.sendRequest("f0", "from-caller", "/free/", -1, 10*time.Second)
			if a.Outcome != request.Unknown || time.Now().After(end) {
				t.Errorf("a caller got %v %q %v after the end of the stop", a.Outcome, a.Reason, time.Since(end))
			}
		})
		a := dispatch(g, 1, routed.Request{ID: "r", Service: "free", Route: "free", Deadline: time.Now().Add(10 * time.Second)})()[0]
		if a.Outcome != request.Unknown || a.at.After(end) {
			t.Errorf("another node got %v %q %v after the end of the stop", a.Outcome, a.Reason, a.at.Sub(end))
		}
		caller.Wait()
	})
}

// Guards against requests without an answer at the end of a stop, and against refusals then of requests that may have
// run.
func TestEndOfStopAnswersRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.mu.Lock()
		for _, inst := range sim.instances {
			inst.server.serviceTime = 8 * time.Second
		}
		g := sim.instances["f0"].gateway
		sim.mu.Unlock()
		// Some run, some wait for a slot, and some wait for a worker of the ingress pool.
		answers := map[string]timedAnswer{}
		var mu sync.Mutex
		var callers sync.WaitGroup
		for i := range 80 {
			callers.Go(func() {
				id, path := fmt.Sprintf("r-%d", i), "/free/"
				if i%4 == 0 {
					path = "/home/" // not idempotent
				}
				a := sim.sendRequest("f0", id, path, -1, 10*time.Second)
				mu.Lock()
				defer mu.Unlock()
				answers[id] = timedAnswer{a, time.Now()}
			})
		}
		time.Sleep(3 * time.Second)
		end := time.Now()
		g.EndRequests()
		callers.Wait()
		outcomes := map[request.Outcome]int{}
		for id, a := range answers {
			outcomes[a.Outcome]++
			if a.at.After(end) || a.Outcome == request.NotRun && sim.runs[id] > 0 {
				t.Errorf("%s ran %d times and got %v %q %v after the end", id, sim.runs[id], a.Outcome, a.Reason, a.at.Sub(end))
			}
		}
		if outcomes[request.NotRun] == 0 || outcomes[request.Unknown] == 0 {
			t.Errorf("outcomes %v, want refusals and unknown ones", outcomes)
		}
	})
}

// Guards against callers who are told to repeat a request for a key while its owner cannot serve it yet, because its
// process restarts.
func TestRetryAfterCoversRestartOfOwner(t *testing.T) {
	// The owner lingers for 0.5 s, and its next process is started about 0.6 s after that.
	const restart = 1100 * time.Millisecond
	for _, afterClose := range []time.Duration{10 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(afterClose.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := startFleet(t)
				defer sim.close()
				key := sim.ownedKey("k1", "k0")
				sim.instances["k1"].gateway.PrepareStop(context.Background())
				closedAt := time.Now()
				refused := dispatch(sim.instances["k1"].gateway, 1, routed.Request{ID: "r", Service: "keyed", Keyed: true, Key: uint16(key), Deadline: time.Now().Add(time.Second)})()[0]
				if refused.RetryAfter != restart {
					t.Errorf("the owner refuses with a retry after %v, want %v", refused.RetryAfter, restart)
				}
				time.Sleep(afterClose)
				a := sim.sendRequest("k0", "r", "/keyed/", key, 300*time.Millisecond)
				retryAt := time.Since(closedAt) + a.RetryAfter
				if a.Outcome != request.NotRun || a.Reason != request.Stopping || retryAt < restart || retryAt > 2*restart {
					t.Errorf("got %v %q, repeated %v after the owner stopped accepting; want a refusal as stopping, repeated after %v", a.Outcome, a.Reason, retryAt, restart)
				}
			})
		})
	}
}

// Guards against a node that goes on choosing a stopped one while the record of the stop cannot be stored or read.
func TestRefusalShowsStopWithoutStore(t *testing.T) {
	for _, c := range []struct{ stopping, path string }{{"k1", "/keyed/"}, {"f0", "/home/"}} {
		t.Run(c.stopping, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := startFleet(t)
				defer sim.close()
				key := -1
				if c.path == "/keyed/" {
					key = sim.ownedKey(c.stopping, "k0")
				}
				sim.store.SetDown(true)
				sim.instances[c.stopping].gateway.PrepareStop(context.Background())
				sends := 0
				sim.mu.Lock()
				sim.onDispatch = func(to string, _ routed.Request) {
					if to == c.stopping {
						sends++
					}
				}
				sim.mu.Unlock()
				for i := range 6 {
					sim.sendRequest("k0", fmt.Sprintf("r-%d", i), c.path, key, 500*time.Millisecond)
				}
				if sends != 1 {
					t.Errorf("%d requests were sent to the stopped node, want 1", sends)
				}
				sim.mu.Lock()
				sim.onDispatch = nil
				sim.mu.Unlock()
				sim.store.SetDown(false)
				sim.killGateway(c.stopping)
				sim.startGateway(c.stopping)
				time.Sleep(3 * time.Second)
				served := false
				for i := range 20 {
					a := sim.sendRequest("k0", fmt.Sprintf("after-%d", i), c.path, key, time.Second)
					served = served || string(a.Body) == c.stopping
				}
				if !served {
					t.Error("the next process gets no requests")
				}
			})
		})
	}
}

// Guards against requests that are withheld from the next process of an instance because a refusal of the process before
// arrives late.
func TestLateRefusalDoesNotStopNextProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemberTable(Self{Instance: "k0"}, RetryLimits{})
		table.put(registry.Member{Instance: "k1", Incarnation: 1})
		asked, _ := table.get("k1")
		table.put(registry.Member{Instance: "k1", Incarnation: 2})
		table.recordStop(asked, time.Now())
		if wait := table.nextProcessWait("k1", time.Now()); wait > 0 {
			t.Errorf("requests are withheld for %v", wait)
		}
	})
}

// Guards against an unknown outcome of a request that arrives after the end of the requests, although it has not run.
func TestRequestAfterEndOfStopIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.instances["k0"].gateway.EndRequests()
		for _, c := range []struct {
			path string
			key  int
		}{{"/free/", -1}, {"/home/", -1}, {"/keyed/", sim.ownedKey("k1", "k0")}} {
			if a := sim.sendRequest("k0", "late"+c.path, c.path, c.key, time.Second); a.Outcome != request.NotRun || a.Reason != request.Stopping || a.RetryAfter == 0 {
				t.Errorf("%s: got %v %q, retry after %v; want a refusal as stopping", c.path, a.Outcome, a.Reason, a.RetryAfter)
			}
		}
	})
}

// Guards against a new process that takes the stop of an owner, which it reads with all other records, for one that was
// announced at this moment: its requests then met the end of the owner's process.
func TestNewProcessSendsNothingToStoppedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		key := sim.ownedKey("k1", "k0")
		sim.killGateway("k0")
		sim.instances["k1"].gateway.PrepareStop(context.Background())
		sim.startGateway("k0")
		time.Sleep(100 * time.Millisecond)
		sends := 0
		sim.mu.Lock()
		sim.onDispatch = func(to string, _ routed.Request) {
			if to == "k1" {
				sends++
			}
		}
		sim.mu.Unlock()
		a := sim.sendRequest("k0", "r", "/keyed/", key, 300*time.Millisecond)
		if sends != 0 || a.Outcome != request.NotRun || a.Reason != request.Stopping {
			t.Errorf("%d sends to the stopped owner, got %v %q; want none and a refusal as stopping", sends, a.Outcome, a.Reason)
		}
	})
}
