package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Guards against parts of the handling of calls that are left on when it is switched off: requests that are marked as calls,
// marks of other nodes that still count, and requests that are refused because their calls are.
func TestCallsAreIgnoredIfSwitchedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		sim.ignoreCalls = true
		sim.publish(1, true)
		sim.addInstance("f0", "free", "r2")
		sim.addInstance("k0", "keyed", "r2")
		time.Sleep(fleetSettleTime)
		var mu sync.Mutex
		dispatched, marked, parents, parentsRefused := 0, 0, 0, 0
		sim.onDispatch = func(_ string, r routed.Request) {
			mu.Lock()
			defer mu.Unlock()
			if dispatched++; r.Call {
				marked++
			}
		}
		var group sync.WaitGroup
		send := func(id, path string, after time.Duration) {
			group.Go(func() {
				time.Sleep(after)
				a := sim.sendRequest("f0", id, path, 7, time.Second)
				mu.Lock()
				defer mu.Unlock()
				if path == "/free/" {
					parents++
				}
				if a.Reason == request.CallsRefused {
					parentsRefused++
				}
			})
		}
		// TestCallsAreRecognizedAndSent shows that calls at this rate are recognized in this time.
		run := func(name string, steps int) {
			for i := range steps {
				time.Sleep(150 * time.Millisecond)
				send(fmt.Sprint(name, "parent", i), "/free/", 0)
				send(fmt.Sprint(name, "call", i), "/keyed/", 40*time.Millisecond)
			}
			group.Wait()
		}
		run("served", 100)
		sim.mu.Lock()
		sim.refusals = map[string]request.Reason{"k0": request.QueueFull}
		sim.mu.Unlock()
		run("refused", 30)
		mu.Lock()
		if dispatched < 100 || marked > 0 || parents < 130 || parentsRefused > 0 {
			t.Errorf("%d of %d requests are marked as calls, %d of %d parents are refused", marked, dispatched, parentsRefused, parents)
		}
		mu.Unlock()
		asCall := make(chan bool, 1)
		sim.onRun = func(_ context.Context, _ *simulatedInstance, r routed.Request) { asCall <- r.Call }
		answer := sim.instances["f0"].gateway.Dispatch(t.Context(), routed.Request{ID: "marked", Host: "h", Path: "/free/", Service: "free",
			Route: "free", Call: true, Revision: 1, Deadline: time.Now().Add(time.Second)}, node.DispatchProgress{})
		if answer.Outcome != request.Done || <-asCall {
			t.Errorf("the mark of another node: %v, %s", answer.Outcome, answer.Reason)
		}
	})
}
