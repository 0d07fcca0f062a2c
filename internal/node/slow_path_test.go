package node_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherreel/internal/feed"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/quota"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Time limits for dispatched requests.
const (
	// dispatchTimeout is the deadline of requests on a slow path.
	dispatchTimeout = 4 * time.Second
	// pathDelay is longer than the silence limit of 700 ms.
	pathDelay = 1500 * time.Millisecond
	// dispatchAffectedBound is for requests whose connection went silent while new ones work: the silence limit of 700
	// ms and the time to report the failure.
	dispatchAffectedBound = 800 * time.Millisecond
)

// echoRouter answers each request with its body. It counts the runs of all requests.
type echoRouter struct {
	runs atomic.Int32
	// unblock, if set, is closed to unblock requests; until then they report progress.
	unblock atomic.Pointer[chan struct{}]
}

// Dispatch implements node.RouterService.
func (e *echoRouter) Dispatch(ctx context.Context, r routed.Request, p node.DispatchProgress) routed.Answer {
	e.runs.Add(1)
	if unblock := e.unblock.Load(); unblock != nil {
		ticker := time.NewTicker(p.Interval)
		defer ticker.Stop()
		for blocked := true; blocked; {
			select {
			case <-*unblock:
				blocked = false
			case <-ctx.Done():
				blocked = false
			case <-ticker.C:
				p.Report()
			}
		}
	}
	return routed.Answer{Outcome: request.Done, Status: 200, Body: r.Body}
}

// Probe implements node.RouterService.
func (*echoRouter) Probe(int64) (string, routed.Load) { return "echo", routed.Load{} }

// ReadTopic implements node.RouterService.
func (*echoRouter) ReadTopic(context.Context, feed.Request) (feed.Answer, error) {
	return feed.Answer{}, nil
}

// StoreCall implements node.RouterService.
func (*echoRouter) StoreCall(context.Context, registry.Call) (registry.Page, error) {
	return registry.Page{}, nil
}

// routerFixture is a client that is connected to a router through a relay.
type routerFixture struct {
	*fixture
	router *echoRouter
	// noRetries is set when no second send is made, or none that is answered.
	noRetries atomic.Bool
}

func newRouterFixture(t *testing.T) *routerFixture {
	t.Helper()
	router := &echoRouter{}
	server, err := node.NewRouterServer(router)
	requireNoError(t, err)
	return &routerFixture{fixture: newFixtureFor(t, server.Serve), router: router}
}

// dispatch sends one request and returns the answer and how long it took.
func (f *routerFixture) dispatch(r routed.Request, timeout time.Duration) (routed.Answer, time.Duration, error) {
	started := time.Now()
	r.Deadline = started.Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	// The answer of the second send comes at once.
	onSilent := func(node.PeerState) {
		if !f.noRetries.Load() {
			cancel()
		}
	}
	answer, err := f.client.Dispatch(ctx, f.relay.Address(), r, onSilent)
	return answer, time.Since(started), err
}

// connect leaves count idle connections in the client's pool.
func (f *routerFixture) connect(t *testing.T, count int) {
	t.Helper()
	unblock := make(chan struct{})
	f.router.unblock.Store(&unblock)
	var calls sync.WaitGroup
	for range count {
		calls.Go(func() {
			if _, _, err := f.dispatch(routed.Request{ID: "connect", Idempotent: true}, dispatchTimeout); err != nil {
				t.Errorf("filling the pool: %v", err)
			}
		})
	}
	for f.router.runs.Load() < int32(count) && !t.Failed() {
		<-time.After(time.Millisecond)
	}
	f.router.unblock.Store(nil)
	close(unblock)
	calls.Wait()
	f.router.runs.Store(0)
}

// unrepeatable are requests that no other instance can run.
var unrepeatable = map[string]routed.Request{
	"keyed":              {ID: "r", Idempotent: true, Keyed: true, Repetition: routed.RepeatedAtOwner, Body: []byte("r")},
	"not idempotent":     {ID: "r", Repetition: routed.NotRepeated, Body: []byte("r")},
	"last attempt":       {ID: "r", Idempotent: true, Repetition: routed.NotRepeated, Body: []byte("r")},
	"non-idempotent key": {ID: "r", Keyed: true, Repetition: routed.NotRepeated, Body: []byte("r")},
}

// Guards against giving up a request because its path is slow, although no other instance can run it.
func TestSlowPathDoesNotLoseAnswer(t *testing.T) {
	for name, r := range unrepeatable {
		for direction, delays := range map[string][2]time.Duration{"to peer": {pathDelay, 0}, "from peer": {0, pathDelay}} {
			t.Run(name+" "+direction, func(t *testing.T) {
				t.Parallel()
				f := newRouterFixture(t)
				f.connect(t, 1)
				f.relay.Delay(delays[0], delays[1])
				answer, took, err := f.dispatch(r, dispatchTimeout)
				if err != nil || string(answer.Body) != "r" {
					t.Fatalf("answer %q after %v, error %v; want the body", answer.Body, took, err)
				}
				if n := f.router.runs.Load(); n != 1 {
					t.Fatalf("the request ran %d times, want once", n)
				}
			})
		}
	}
}

// Guards against giving up a request that ran into a slow path after its idle connection had to be replaced.
func TestSlowPathAfterIdleDoesNotLoseAnswer(t *testing.T) {
	f := newRouterFixture(t)
	f.connect(t, 4)
	<-time.After(idleBeforePing)
	f.relay.Delay(pathDelay, 0)
	answer, took, err := f.dispatch(unrepeatable["not idempotent"], dispatchTimeout)
	if err != nil || string(answer.Body) != "r" || f.router.runs.Load() != 1 {
		t.Fatalf("answer %q after %v and %d runs, error %v; want the body after one", answer.Body, took, f.router.runs.Load(), err)
	}
}

// Guards against giving up a request that is not sent again because the retry budget is used up.
func TestSlowPathWithoutRetriesDoesNotLoseAnswer(t *testing.T) {
	for _, repetition := range []routed.Repetition{routed.RepeatedElsewhere, routed.RepeatedAtOwner} {
		t.Run(fmt.Sprint(repetition), func(t *testing.T) {
			t.Parallel()
			f := newRouterFixture(t)
			f.connect(t, 1)
			f.noRetries.Store(true)
			if repetition == routed.RepeatedElsewhere {
				f.relay.Delay(pathDelay, 0)
			} else {
				// New connections work, but the answer still arrives on the silent one.
				silenceForPathDelay(f)
			}
			r := routed.Request{ID: "r", Idempotent: true, Repetition: repetition, Body: []byte("r")}
			answer, took, err := f.dispatch(r, dispatchTimeout)
			if err != nil || string(answer.Body) != "r" || f.router.runs.Load() != 1 {
				t.Fatalf("answer %q after %v and %d runs, error %v; want the body after one", answer.Body, took, f.router.runs.Load(), err)
			}
		})
	}
}

// Guards against giving up a forwarded request because its path is slow, although only the owner can run it.
func TestSlowPathDoesNotLoseForwardedAnswer(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		for direction, delays := range map[string][2]time.Duration{"to peer": {pathDelay, 0}, "from peer": {0, pathDelay}} {
			t.Run(fmt.Sprintf("idempotent %v %s", idempotent, direction), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.fillPool(t, 1)
				f.relay.Delay(delays[0], delays[1])
				answer, took, err := f.send("r", idempotent, dispatchTimeout)
				if err != nil || string(answer.Body) != "r" {
					t.Fatalf("answer %q after %v, error %v; want the body", answer.Body, took, err)
				}
				if n := f.service.runCount("r"); n != 1 {
					t.Fatalf("the request ran %d times, want once", n)
				}
			})
		}
	}
}

// Guards against giving up a slow peer when its silence is reported, and against reporting it late or twice.
func TestSilenceIsReportedAndAnswerAwaited(t *testing.T) {
	for name, test := range map[string]struct {
		repetition routed.Repetition
		silence    func(*routerFixture)
		state      node.PeerState
	}{
		"slow path":                {routed.RepeatedElsewhere, func(f *routerFixture) { f.relay.Delay(pathDelay, 0) }, node.PeerSilent},
		"dead connection":          {routed.RepeatedElsewhere, silenceForPathDelay, node.PeerAnswers},
		"dead connection to owner": {routed.RepeatedAtOwner, silenceForPathDelay, node.PeerAnswers},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRouterFixture(t)
			f.connect(t, 1)
			test.silence(f)
			started := time.Now()
			r := routed.Request{ID: "r", Idempotent: true, Repetition: test.repetition, Body: []byte("r"), Deadline: started.Add(dispatchTimeout)}
			reports := make(chan node.PeerState, 2)
			var reportedAfter time.Duration
			answer, err := f.client.Dispatch(context.Background(), f.relay.Address(), r, func(s node.PeerState) {
				reportedAfter = time.Since(started)
				reports <- s
			})
			if err != nil || string(answer.Body) != "r" || f.router.runs.Load() != 1 {
				t.Fatalf("answer %q after %d runs, error %v; want the body after one", answer.Body, f.router.runs.Load(), err)
			}
			if len(reports) != 1 || <-reports != test.state || reportedAfter > dispatchAffectedBound {
				t.Errorf("%d further reports, the first after %v; want one of a peer that is %q within %v", len(reports), reportedAfter, test.state, dispatchAffectedBound)
			}
		})
	}
}

// silenceForPathDelay makes the open connections silent for pathDelay.
func silenceForPathDelay(f *routerFixture) {
	f.relay.Silence(true, true)
	time.AfterFunc(pathDelay, f.relay.Resume)
}

// Guards against waiting for the slow peer when another instance can run the request.
func TestSlowPathIsGivenUpForOtherInstance(t *testing.T) {
	f := newRouterFixture(t)
	f.connect(t, 1)
	f.relay.Delay(pathDelay, 0)
	_, took, err := f.dispatch(routed.Request{ID: "r", Idempotent: true, Repetition: routed.RepeatedElsewhere}, dispatchTimeout)
	requireOutcomeUnknown(t, took, err, dispatchAffectedBound)
}

// Guards against waiting on a dead connection for a request that can be repeated on a new one.
func TestDeadConnectionIsGivenUp(t *testing.T) {
	for _, repetition := range []routed.Repetition{routed.RepeatedAtOwner, routed.RepeatedElsewhere} {
		t.Run(fmt.Sprint(repetition), func(t *testing.T) {
			f := newRouterFixture(t)
			f.connect(t, pooledConnections)
			f.relay.Silence(true, true)
			r := routed.Request{ID: "r", Idempotent: true, Keyed: true, Repetition: repetition, Body: []byte("r")}
			_, took, err := f.dispatch(r, dispatchTimeout)
			requireOutcomeUnknown(t, took, err, dispatchAffectedBound)
			for range pooledConnections {
				if _, took, err := f.dispatch(r, dispatchTimeout); err != nil || took > unaffectedBound {
					t.Fatalf("error %v after %v on a new connection", err, took)
				}
			}
		})
	}
}

// Guards against giving up a request that cannot be repeated while its connection may still deliver the answer.
func TestSilenceDoesNotEndUnrepeatableRequest(t *testing.T) {
	f := newRouterFixture(t)
	f.connect(t, 1)
	f.relay.Silence(true, true)
	time.AfterFunc(pathDelay, f.relay.Resume)
	answer, took, err := f.dispatch(unrepeatable["not idempotent"], dispatchTimeout)
	if err != nil || string(answer.Body) != "r" || f.router.runs.Load() != 1 {
		t.Fatalf("answer %q after %v and %d runs, error %v; want the body after one", answer.Body, took, f.router.runs.Load(), err)
	}
}

// Guards against closing working idle connections because the path of one request is slow.
func TestSlowPathKeepsIdleConnections(t *testing.T) {
	f := newRouterFixture(t)
	f.connect(t, pooledConnections)
	f.relay.Delay(pathDelay, 0)
	_, took, err := f.dispatch(routed.Request{ID: "r", Idempotent: true, Repetition: routed.RepeatedElsewhere}, dispatchTimeout)
	requireOutcomeUnknown(t, took, err, dispatchAffectedBound)
	f.relay.Delay(0, 0)
	before := f.relay.Connections()
	for range pooledConnections {
		if _, took, err := f.dispatch(unrepeatable["keyed"], dispatchTimeout); err != nil {
			t.Fatalf("error %v after %v", err, took)
		}
	}
	if n := f.relay.Connections() - before; n > 0 {
		t.Errorf("%d connections were opened although %d were idle", n, pooledConnections-1)
	}
}

// Guards against sending further requests on idle connections while the peer is known not to answer.
func TestSilentPeerMakesIdleConnectionsSuspect(t *testing.T) {
	f := newRouterFixture(t)
	f.connect(t, pooledConnections)
	f.relay.Delay(time.Hour, 0)
	var waiting sync.WaitGroup
	waiting.Go(func() { _, _, _ = f.dispatch(unrepeatable["keyed"], dispatchTimeout) })
	// The check begins after 450 ms without data and takes at most 500 ms, and longer on a busy machine.
	<-time.After(2 * time.Second)
	f.relay.Silence(true, true)
	f.relay.Delay(0, 0)
	if _, took, err := f.dispatch(unrepeatable["keyed"], dispatchTimeout); err != nil || took > unaffectedBound {
		t.Errorf("error %v after %v, want an answer within %v", err, took, unaffectedBound)
	}
	waiting.Wait()
}

// Guards against a stampede of checks when many calls wait for the same slow peer.
func TestSilentCallsShareOneCheck(t *testing.T) {
	const calls = 100
	f := newRouterFixture(t)
	f.relay.Delay(pathDelay, 0)
	var running sync.WaitGroup
	for range calls {
		running.Go(func() {
			if _, took, err := f.dispatch(unrepeatable["keyed"], dispatchTimeout); err != nil {
				t.Errorf("error %v after %v", err, took)
			}
		})
	}
	running.Wait()
	// Each check takes up to 500 ms, and the next one follows 250 ms later.
	if n := f.relay.Connections() - calls; n > int(pathDelay/(750*time.Millisecond))+1 {
		t.Errorf("%d checks of one peer", n)
	}
}

// Guards against a stampede of checks when many connections are dead and new ones work.
func TestDeadConnectionsShareOneCheck(t *testing.T) {
	f := newRouterFixture(t)
	f.connect(t, pooledConnections)
	f.relay.Silence(true, true)
	var running sync.WaitGroup
	for range pooledConnections {
		running.Go(func() {
			if _, took, err := f.dispatch(unrepeatable["keyed"], dispatchTimeout); !errors.Is(err, problem.Unavailable) || took > dispatchAffectedBound {
				t.Errorf("error %v after %v, want an unknown outcome within %v", err, took, dispatchAffectedBound)
			}
		})
	}
	running.Wait()
	if n := f.relay.Connections() - pooledConnections; n != 1 {
		t.Errorf("%d connections were opened to check the peer, want 1", n)
	}
}

// Guards against logs in which a dead connection looks like a peer that does not answer.
func TestFailureNamesStateOfPeer(t *testing.T) {
	keyed := routed.Request{ID: "r", Idempotent: true, Keyed: true, Repetition: routed.RepeatedAtOwner}
	for name, test := range map[string]struct {
		fault func(*routerFixture)
		state node.PeerState
	}{
		"dead connection": {func(f *routerFixture) { f.relay.Silence(true, true) }, node.PeerAnswers},
		"silent peer":     {func(f *routerFixture) { f.relay.Delay(time.Hour, 0) }, node.PeerSilent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRouterFixture(t)
			f.connect(t, 1)
			test.fault(f)
			_, _, err := f.dispatch(keyed, 2*time.Second)
			if !errors.Is(err, problem.Unavailable) || node.PeerStateOf(err) != test.state {
				t.Fatalf("peer state %q, error %v; want %q", node.PeerStateOf(err), err, test.state)
			}
		})
	}
}

// Guards against logs in which a refused connection looks like a peer that does not answer.
func TestFailureNamesRefusal(t *testing.T) {
	f := newRouterFixture(t)
	f.relay.Close()
	_, _, err := f.dispatch(routed.Request{ID: "r"}, dispatchTimeout)
	if !errors.Is(err, problem.NotSent) || node.PeerStateOf(err) != node.PeerRefuses {
		t.Fatalf("peer state %q, error %v; want %q", node.PeerStateOf(err), err, node.PeerRefuses)
	}
}

// pageRouter answers each call of the store with a page.
type pageRouter struct {
	echoRouter
	page registry.Page
}

// StoreCall implements node.RouterService.
func (p *pageRouter) StoreCall(context.Context, registry.Call) (registry.Page, error) {
	return p.page, nil
}

// Guards against interrupting a relayed read of the store whose answer arrives, as if nothing had arrived: the next one
// would transfer it once more.
func TestArrivingAnswerOfRelayedReadIsCounted(t *testing.T) {
	const recordBytes, arrivedBytes = 256 << 10, 16 << 10
	server, err := node.NewRouterServer(&pageRouter{page: registry.Page{End: 1, Records: []registry.Record{{Key: "config", Value: make([]byte, recordBytes)}}}})
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	_, _, err = f.client.Probe(context.Background(), f.relay.Address(), 0)
	requireNoError(t, err)
	f.relay.SilenceToClientAfter(arrivedBytes)
	ctx, cancel := context.WithTimeout(context.Background(), dispatchTimeout)
	defer cancel()
	ctx, transfer := registry.TrackTransfer(ctx)
	var page registry.Page
	var reading sync.WaitGroup
	reading.Go(func() {
		page, err = f.client.StoreCall(ctx, f.relay.Address(), registry.Call{Operation: registry.OperationRead, Topic: "operators"})
	})
	for transfer.Received() < arrivedBytes && ctx.Err() == nil {
		<-time.After(time.Millisecond)
	}
	if got := transfer.Received(); got != arrivedBytes {
		t.Errorf("%d bytes are counted, want the %d that have arrived", got, arrivedBytes)
	}
	f.relay.Resume()
	reading.Wait()
	if ctx.Err() == nil && (err != nil || len(page.Records) != 1 || transfer.Received() < recordBytes) {
		t.Errorf("%d records, %d bytes, error %v", len(page.Records), transfer.Received(), err)
	}
	// The next call on the connection is not counted.
	before := transfer.Received()
	if _, _, err := f.client.Probe(context.Background(), f.relay.Address(), 0); err != nil || transfer.Received() != before {
		t.Errorf("%d further bytes are counted, error %v", transfer.Received()-before, err)
	}
}

// Lend implements node.RouterService.
func (*echoRouter) Lend(string, []quota.Ask) []quota.Grant { return nil }
