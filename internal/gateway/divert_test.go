package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Guards against a request that is refused because another backend server may have a free slot, although it is sent to no
// further one.
func TestLastSendIsNotDiverted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		for i := 2; i < 2+maxSends; i++ {
			sim.addInstance(fmt.Sprintf("f%d", i), "free", "r1")
		}
		time.Sleep(fleetSettleTime)
		var mayDivert []bool
		sim.mu.Lock()
		sim.refusals = map[string]request.Reason{}
		for i := range 2 + maxSends {
			sim.refusals[fmt.Sprintf("f%d", i)] = request.QueueFull
		}
		sim.onDispatch = func(_ string, r routed.Request) { mayDivert = append(mayDivert, r.MayDivert) }
		sim.mu.Unlock()
		a := sim.sendRequest("k0", "r", "/free/", -1, 10*time.Second)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if a.Outcome != request.NotRun || len(mayDivert) != maxSends {
			t.Fatalf("got %v %q after %d sends", a.Outcome, a.Reason, len(mayDivert))
		}
		if !mayDivert[0] || mayDivert[maxSends-1] {
			t.Errorf("sends that may be diverted: %v", mayDivert)
		}
	})
}

// Guards against a request that is diverted although no other backend server can run it.
func TestRequestForOnlyServerIsNotDiverted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		var mayDivert []bool
		sim.mu.Lock()
		sim.onDispatch = func(_ string, r routed.Request) { mayDivert = append(mayDivert, r.MayDivert) }
		sim.mu.Unlock()
		a := sim.sendRequest("k0", "r", "/home/", -1, time.Second)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if a.Outcome != request.Done || len(mayDivert) != 1 || mayDivert[0] {
			t.Errorf("got %v %q; sends that may be diverted: %v", a.Outcome, a.Reason, mayDivert)
		}
	})
}

// Guards against a request that is diverted from the only backend server with its key, by an ingress node whose configuration
// does not know yet that the service has keys.
func TestRequestForHeldKeyIsNotDiverted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		key := sim.ownedKey("k1", "k0")
		g := sim.instances["k1"].gateway
		g.server.mu.Lock()
		now := time.Now()
		measured := g.server.queue.Offer(now, admission.Job{Deadline: now.Add(time.Minute)})
		g.server.queue.Release(now.Add(400*time.Millisecond), measured.Ticket, true)
		for range 16 {
			g.server.queue.Offer(now, admission.Job{Deadline: now.Add(900 * time.Millisecond)})
		}
		g.server.mu.Unlock()
		a := g.execute(context.Background(), routed.Request{ID: "r", Host: "h", Path: "/keyed/", Method: "GET", Service: "keyed", Route: "keyed",
			Keyed: true, Key: uint16(key), Revision: 1, MayDivert: true, Deadline: time.Now().Add(time.Second)}, node.DispatchProgress{})
		if a.Reason == request.ServerBusy {
			t.Errorf("got %v %q", a.Outcome, a.Reason)
		}
	})
}
