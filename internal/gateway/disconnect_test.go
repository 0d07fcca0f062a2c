package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/internal/worker"
)

// occupy submits jobs to a pool that hold its workers until the returned function is called. It is called in a synctest
// bubble.
func occupy(t *testing.T, pool *worker.Pool, workers int) (release func()) {
	t.Helper()
	released := make(chan struct{})
	for range workers {
		if err := pool.Submit(func() { <-released }); err != nil {
			t.Fatal(err)
		}
	}
	// All workers have their job, so that the queue has room.
	synctest.Wait()
	return func() { close(released) }
}

// Guards against a request that reaches its backend server although its caller left while it waited, wherever that was.
func TestWaitingRequestEndsWithItsCaller(t *testing.T) {
	const patience = 100 * time.Millisecond
	ingress := func(name, path string) func(*simulation, context.Context, routed.Request) routed.Answer {
		return func(sim *simulation, ctx context.Context, r routed.Request) routed.Answer {
			r.Path = path
			return sim.instances[name].gateway.Route(ctx, r)
		}
	}
	owner := func(name, service string) func(*simulation, context.Context, routed.Request) routed.Answer {
		return func(sim *simulation, ctx context.Context, r routed.Request) routed.Answer {
			r.Service, r.Route = service, service
			return sim.instances[name].gateway.Dispatch(ctx, r, node.DispatchProgress{})
		}
	}
	for name, test := range map[string]struct {
		// wait makes requests wait until the returned function is called.
		wait func(t *testing.T, sim *simulation) (proceed func())
		send func(*simulation, context.Context, routed.Request) routed.Answer
	}{
		"for a worker at the ingress node": {func(t *testing.T, sim *simulation) func() {
			return occupy(t, sim.instances["f0"].gateway.ingressPool, 64)
		}, ingress("f0", "/free/")},
		"for a worker of the backend pool": {func(t *testing.T, sim *simulation) func() {
			return occupy(t, sim.instances["f0"].gateway.backendPool, 32)
		}, owner("f0", "free")},
		"for a slot": {func(_ *testing.T, sim *simulation) func() {
			sim.setServiceTime("f0", time.Second)
			_ = dispatch(sim.instances["f0"].gateway, 8, routed.Request{ID: "running", Service: "free", Deadline: time.Now().Add(3 * time.Second)})
			synctest.Wait()
			return func() {}
		}, owner("f0", "free")},
		"for a key": {func(_ *testing.T, sim *simulation) func() {
			sim.awaitHeartbeat("k0")
			s := sim.instances["k0"].gateway.server
			s.mu.Lock()
			defer s.mu.Unlock()
			s.holds.Retain(nil)
			return func() {}
		}, owner("k0", "keyed")},
		"for a backend server": {func(_ *testing.T, sim *simulation) func() {
			sim.stopServer("f0")
			sim.stopServer("f1")
			return func() {
				sim.startServer("f0")
				sim.startServer("f1")
			}
		}, ingress("k0", "/free/")},
	} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %v", name, idempotent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sim := startFleet(t)
					defer sim.close()
					sim.publish(2, idempotent)
					time.Sleep(time.Second)
					proceed := test.wait(t, sim)
					ctx, leave := context.WithTimeout(context.Background(), patience)
					defer leave()
					answer := make(chan routed.Answer, 1)
					go func() {
						answer <- test.send(sim, ctx, routed.Request{ID: "left", Host: "h", Method: "GET", Idempotent: idempotent, Keyed: true,
							Key: uint16(sim.ownedKey("k0", "k0")), Deadline: time.Now().Add(4 * time.Second)})
					}()
					time.Sleep(2 * patience)
					proceed()
					if a := <-answer; a.Outcome == request.Done || a.Reason == request.QueueFull {
						t.Errorf("got %v %q, want the request to wait until its caller leaves", a.Outcome, a.Reason)
					}
					time.Sleep(4 * time.Second)
					if n := sim.runCount("left"); n != 0 {
						t.Errorf("the backend server got the request %d times after its caller had left, want none", n)
					}
				})
			})
		}
	}
}

// setServiceTime sets how long requests take that start at a backend server from now on.
func (sim *simulation) setServiceTime(name string, d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.instances[name].server.serviceTime = d
}

// awaitHeartbeat waits until an instance has processed the next heartbeat.
func (sim *simulation) awaitHeartbeat(name string) {
	s := sim.instances[name].gateway.server
	version := s.currentVersion()
	for s.currentVersion() == version {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * replyDelay)
}
