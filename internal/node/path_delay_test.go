package node_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"heatherreel/internal/feed"
	"heatherreel/internal/node"
	"heatherreel/internal/quota"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// recordingRouter records the requests that arrive and when.
type recordingRouter struct {
	mu       sync.Mutex
	arrivals []arrival
}

type arrival struct {
	request routed.Request
	at      time.Time
}

// Dispatch implements node.RouterService.
func (r *recordingRouter) Dispatch(_ context.Context, received routed.Request, _ node.DispatchProgress) routed.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{received, time.Now()})
	return routed.Answer{Outcome: request.Done, Status: 200}
}

// Probe implements node.RouterService.
func (*recordingRouter) Probe(int64) (string, routed.Load) { return "recording", routed.Load{} }

// StoreCall implements node.RouterService.
func (*recordingRouter) StoreCall(context.Context, registry.Call) (registry.Page, error) {
	return registry.Page{}, nil
}

// ReadTopic implements node.RouterService.
func (*recordingRouter) ReadTopic(context.Context, feed.Request) (feed.Answer, error) {
	return feed.Answer{}, nil
}

// find returns the arrival of the request with the id.
func (r *recordingRouter) find(id string) (arrival, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.request.ID == id {
			return a, true
		}
	}
	return arrival{}, false
}

// await returns the arrival of the request with the id, which may still be on its way.
func (r *recordingRouter) await(t *testing.T, id string) arrival {
	t.Helper()
	for limit := time.Now().Add(dispatchTimeout); time.Now().Before(limit); <-time.After(time.Millisecond) {
		if a, ok := r.find(id); ok {
			return a
		}
	}
	t.Fatalf("request %q did not arrive", id)
	return arrival{}
}

func newRecordingFixture(t *testing.T) (*routerFixture, *recordingRouter) {
	t.Helper()
	router := &recordingRouter{}
	server, err := node.NewRouterServer(router)
	requireNoError(t, err)
	return &routerFixture{fixture: newFixtureFor(t, server.Serve)}, router
}

// deadlineTolerance is how much later than that of the sender a deadline may be at the receiver.
const deadlineTolerance = 100 * time.Millisecond

// Guards against giving a request that was on its way for long its whole time again: the backend server would work on it
// after its caller has left, and its inner calls would be late too.
func TestTimeOnSlowPathCountsTowardsDeadline(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"caller has left": time.Second, "caller waits": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, router := newRecordingFixture(t)
			if _, _, err := f.dispatch(routed.Request{ID: "usual"}, dispatchTimeout); err != nil {
				t.Fatal(err)
			}
			f.relay.Delay(pathDelay, 0)
			deadline, objective := time.Now().Add(timeout), time.Now().Add(timeout/2)
			_, _, _ = f.dispatch(routed.Request{ID: "late", Objective: objective}, timeout)
			a := router.await(t, "late")
			if excess := a.request.Deadline.Sub(deadline); excess > deadlineTolerance {
				t.Errorf("the deadline at the receiver is %v after that of the caller, want the same", excess)
			}
			if excess := a.request.Objective.Sub(objective); excess > deadlineTolerance {
				t.Errorf("the objective at the receiver is %v after that of the caller, want the same", excess)
			}
		})
	}
}

// Guards against a request that is run although its sender gave it up and has sent it to another node meanwhile.
func TestSenderStatesHowLongItWaits(t *testing.T) {
	f, router := newRecordingFixture(t)
	for name, test := range map[string]struct {
		repetition routed.Repetition
		want       time.Duration
	}{
		"elsewhere": {routed.RepeatedElsewhere, 450 * time.Millisecond},
		"at owner":  {routed.RepeatedAtOwner, 0},
		"nowhere":   {routed.NotRepeated, 0},
	} {
		if _, _, err := f.dispatch(routed.Request{ID: name, Repetition: test.repetition}, dispatchTimeout); err != nil {
			t.Fatal(err)
		}
		if a := router.await(t, name); a.request.ArriveWithin != test.want {
			t.Errorf("%s: must arrive within %v, want %v", name, a.request.ArriveWithin, test.want)
		}
	}
}

// Lend implements node.RouterService.
func (*recordingRouter) Lend(string, []quota.Ask) []quota.Grant { return nil }
