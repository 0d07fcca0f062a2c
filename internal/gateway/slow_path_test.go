package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Times of requests on a slow path.
const (
	// slowPathDelay is longer than an ingress node waits for a sign of a node that it can replace by another one.
	slowPathDelay = 900 * time.Millisecond
	// callerPatience is when callers leave.
	callerPatience = 300 * time.Millisecond
	// longDeadline is after the arrival over the slow path.
	longDeadline = 4 * time.Second
)

// connectOverRelay connects the instances over a relay to each instance, with drpc connections.
func (sim *simulation) connectOverRelay(client *node.Client, instances ...string) map[string]*fake.Relay {
	sim.t.Helper()
	relays := map[string]*fake.Relay{}
	for _, name := range instances {
		server, err := node.NewRouterServer(sim.instances[name].gateway)
		if err != nil {
			sim.t.Fatal(err)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			sim.t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, listener) }()
		relay, err := fake.NewRelay(listener.Addr().String())
		if err != nil {
			sim.t.Fatal(err)
		}
		relays[name] = relay
		sim.t.Cleanup(func() {
			relay.Close()
			stop()
			<-served
		})
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.dispatchOverNetwork = func(ctx context.Context, to string, r routed.Request, onSilent func(node.PeerState)) (routed.Answer, error) {
		return client.Dispatch(ctx, relays[to].Address(), r, onSilent)
	}
	return relays
}

// startOverRelay returns a fleet of an instance with keys, k0, and one without, f0, and the relay to f0. It waits until
// both serve requests through each other.
func startOverRelay(t *testing.T, idempotent bool) (*simulation, *fake.Relay) {
	t.Helper()
	sim := newSimulation(t)
	client := node.NewClient()
	t.Cleanup(func() { client.Close() })
	sim.publish(1, idempotent)
	sim.addInstance("k0", "keyed", "r1")
	sim.addInstance("f0", "free", "r2")
	relays := sim.connectOverRelay(client, "k0", "f0")
	for limit := time.Now().Add(fleetSettleTime); ; <-time.After(50 * time.Millisecond) {
		keyed, free := sim.sendRequest("f0", "settle-keyed", "/keyed/", 10, time.Second), sim.sendRequest("k0", "settle-free", "/free/", -1, time.Second)
		if keyed.Outcome == request.Done && free.Outcome == request.Done {
			return sim, relays["f0"]
		}
		if time.Now().After(limit) {
			t.Fatalf("the fleet does not serve: %q, %q", keyed.Reason, free.Reason)
		}
	}
}

func (sim *simulation) runCount(id string) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.runs[id]
}

// Guards against a backend server that gets a request over half a second after its caller has left, because the request
// and the cancellation take the same slow path between two nodes.
func TestRequestOnSlowPathIsNotRunForCallerThatLeft(t *testing.T) {
	for name, test := range map[string]struct {
		idempotent bool
		timeout    time.Duration
	}{
		"idempotent, at its deadline":     {true, callerPatience},
		"idempotent, before its deadline": {true, longDeadline},
		"not idempotent, at its deadline": {false, callerPatience},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim, relay := startOverRelay(t, test.idempotent)
			defer sim.close()
			relay.Delay(slowPathDelay, 0)
			ctx, leave := context.WithTimeout(context.Background(), callerPatience)
			defer leave()
			sim.instances["k0"].gateway.Route(ctx, routed.Request{ID: "late", Host: "h", Path: "/free/", Method: "GET", Deadline: time.Now().Add(test.timeout)})
			<-time.After(2 * slowPathDelay)
			if n := sim.runCount("late"); n != 0 {
				t.Errorf("the backend server got the request %d times after its caller had left, want none", n)
			}
		})
	}
}

// Guards against the same for the call that a backend server makes while it runs a request whose caller leaves.
func TestInnerCallOnSlowPathIsNotRunForCallerThatLeft(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"at the deadline": callerPatience, "before the deadline": longDeadline} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim, relay := startOverRelay(t, true)
			defer sim.close()
			innerEnded := make(chan routed.Answer, 1)
			sim.mu.Lock()
			sim.onRun = func(ctx context.Context, inst *simulatedInstance, r routed.Request) {
				if r.ID == "parent" {
					innerEnded <- inst.gateway.Route(ctx, routed.Request{ID: "inner", Host: "h", Path: "/free/", Method: "GET", Deadline: r.Deadline})
				}
			}
			sim.mu.Unlock()
			relay.Delay(slowPathDelay, 0)
			ctx, leave := context.WithTimeout(context.Background(), callerPatience)
			defer leave()
			sim.instances["f0"].gateway.Route(ctx, routed.Request{ID: "parent", Host: "h", Path: "/keyed/", Method: "GET", Keyed: true, Key: 10, Deadline: time.Now().Add(timeout)})
			if a := <-innerEnded; a.Outcome == request.Done {
				t.Fatal("the inner call was answered, want it to end with the parent")
			}
			<-time.After(2 * slowPathDelay)
			if n := sim.runCount("inner"); n != 0 {
				t.Errorf("the backend server got the inner call %d times after the parent had ended, want none", n)
			}
		})
	}
}

// Guards against refusing requests that can still be answered over a slow path by the only node that can run them.
func TestRequestOnSlowPathIsRunInTime(t *testing.T) {
	sim, relay := startOverRelay(t, false)
	defer sim.close()
	relay.Delay(slowPathDelay, 0)
	if a := sim.sendRequest("k0", "late", "/free/", -1, longDeadline); a.Outcome != request.Done {
		t.Errorf("got %v %q, want an answer", a.Outcome, a.Reason)
	}
}
