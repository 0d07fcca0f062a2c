package gateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
)

// Guards against refusing requests for the keys of an owner that answers on a new connection, because an old connection
// was dead, and against sending more requests to one that does not, because a call to it ended by its deadline.
func TestPeerStateDecidesReachability(t *testing.T) {
	for name, test := range map[string]struct {
		state       node.PeerState
		expired     bool
		unreachable bool
	}{
		"dead connection":            {node.PeerAnswers, false, false},
		"silent until the limit":     {node.PeerSilent, false, true},
		"silent until the deadline":  {node.PeerSilent, true, true},
		"refused":                    {node.PeerRefuses, false, true},
		"not checked":                {node.PeerUnchecked, false, true},
		"deadline before any check":  {node.PeerUnchecked, true, false},
		"answers until the deadline": {node.PeerAnswers, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := startFleet(t)
				defer sim.close()
				g := sim.instances["f0"].gateway
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				if test.expired {
					time.Sleep(time.Second + time.Millisecond)
				}
				err := problem.New(problem.Unavailable, "check the node", "call: %w", &node.SilenceError{Peer: test.state, Cause: errors.New("no data")})
				g.callFailure(ctx, &activeRequest{request: routed.Request{ID: "r"}}, "k1", err)
				if got := g.members.unreachableFor("k1", time.Now()) > 0; got != test.unreachable {
					t.Errorf("unreachable: %v, want %v", got, test.unreachable)
				}
			})
		})
	}
}

// Guards against answering "unknown" with time left, when the owner that may have run the request is reached again, and
// against charging the retry budget twice for it: the budget has one retry.
func TestUnknownSendUsesTheTimeLeft(t *testing.T) {
	const timeout = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		table, _ := sim.instances["f0"].gateway.ranges.get("keyed")
		r, _ := table.Find(10)
		owner := r.Owner.Instance
		sim.mu.Lock()
		sim.silentAfterRun = owner
		sim.mu.Unlock()
		reconnected := timeout * 7 / 10
		reconnect := time.AfterFunc(reconnected, func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			sim.silentAfterRun, sim.disconnected[owner] = "", false
		})
		defer reconnect.Stop()
		started := time.Now()
		a := sim.sendRequest("f0", "unknown", "/keyed/", 10, timeout)
		if took := time.Since(started); a.Outcome != request.Done {
			t.Errorf("got %v %q after %v, want an answer of %s, which is reached again after %v", a.Outcome, a.Reason, took, owner, reconnected)
		}
	})
}

// Guards against a node that gives up a request which nobody repeats because its connection is silent, or that waits until
// the deadline for one which another instance could run: the ingress node states what it would do next.
func TestSendStatesWhereItIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		got := map[string]routed.Repetition{}
		sim.mu.Lock()
		sim.onDispatch = func(_ string, r routed.Request) { got[r.ID] = r.Repetition }
		sim.mu.Unlock()
		sim.sendRequest("k0", "not idempotent", "/home/", -1, time.Second)
		sim.sendRequest("k0", "keyed", "/keyed/", sim.ownedKey("k1", "k0"), time.Second)
		sim.sendRequest("k0", "free", "/free/", -1, time.Second)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for id, want := range map[string]routed.Repetition{
			"not idempotent": routed.NotRepeated, "keyed": routed.RepeatedAtOwner, "free": routed.RepeatedElsewhere,
		} {
			if r, sent := got[id]; !sent || r != want {
				t.Errorf("%s: sent %v with repetition %v, want %v", id, sent, r, want)
			}
		}
	})
	for name, c := range map[string]struct {
		a    *activeRequest
		want routed.Repetition
	}{
		"last attempt":      {&activeRequest{request: routed.Request{Idempotent: true}, serverAttempts: 1}, routed.NotRepeated},
		"last keyed":        {&activeRequest{request: routed.Request{Idempotent: true}, serverAttempts: 1, keyed: true}, routed.NotRepeated},
		"last node":         {&activeRequest{request: routed.Request{Idempotent: true}, sends: maxSends}, routed.NotRepeated},
		"keyed, many sends": {&activeRequest{request: routed.Request{Idempotent: true}, sends: maxSends, keyed: true}, routed.RepeatedAtOwner},
	} {
		c.a.route = &route.Route{MaxAttempts: 2}
		if got := c.a.repetition(); got != c.want {
			t.Errorf("%s: repetition %v, want %v", name, got, c.want)
		}
	}
}

// Guards against logs in which a caller that disconnected looks like a lost connection, and one that a stop left without
// its answer like a caller that disconnected.
func TestDisconnectIsToldFromEndOfStop(t *testing.T) {
	for _, through := range []string{"f0", "k0"} {
		for reason, end := range map[request.Reason]func(g *Gateway, disconnect func()){
			request.Canceled:       func(_ *Gateway, disconnect func()) { disconnect() },
			request.ConnectionLost: func(g *Gateway, _ func()) { g.EndRequests() },
		} {
			t.Run(through+" "+string(reason), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sim := startFleet(t)
					defer sim.close()
					sim.mu.Lock()
					sim.instances["f0"].server.serviceTime = 5 * time.Second
					g := sim.instances[through].gateway
					sim.mu.Unlock()
					sim.stopServer("f1")
					ctx, disconnect := context.WithCancel(context.Background())
					defer disconnect()
					time.AfterFunc(time.Second, func() { end(g, disconnect) })
					a := g.Route(ctx, routed.Request{ID: "r", Host: "h", Path: "/free/", Method: "GET", Deadline: time.Now().Add(4 * time.Second)})
					if a.Outcome != request.Unknown || a.Reason != reason {
						t.Errorf("got %v %q, want an unknown outcome and %q", a.Outcome, a.Reason, reason)
					}
				})
			})
		}
	}
}
