package node_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"heatherreel/internal/fake"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
)

// callTimeout is the time allowed for requests in most tests; it is the longest that is usual.
const callTimeout = 2 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoService answers each request with its body. It counts how often each request id ran.
type echoService struct {
	runs sync.Map
	// unblock, if set, is closed to unblock requests; until then they wait.
	unblock atomic.Pointer[chan struct{}]
	// started receives the id of a request that starts, if nothing else is buffered.
	started chan string
}

// Forward implements node.Service.
func (e *echoService) Forward(ctx context.Context, f node.ForwardedRequest) request.Answer {
	count, _ := e.runs.LoadOrStore(f.Request.ID, new(atomic.Int32))
	count.(*atomic.Int32).Add(1)
	select {
	case e.started <- f.Request.ID:
	default:
	}
	if unblock := e.unblock.Load(); unblock != nil {
		awaitWithProgress(ctx, f, *unblock)
	}
	return request.Answer{Outcome: request.Done, Status: 200, Body: f.Request.Body}
}

// Release implements node.Service.
func (e *echoService) Release(context.Context, node.ReleaseRequest) (node.ReleaseResult, error) {
	return node.ReleaseResult{Offset: 7}, nil
}

// Snapshot implements node.Service.
func (e *echoService) Snapshot(context.Context) (node.Snapshot, error) {
	return node.Snapshot{Offset: 7}, nil
}

// awaitWithProgress blocks until unblock is closed or the request ends, and reports progress as the engine does.
func awaitWithProgress(ctx context.Context, f node.ForwardedRequest, unblock <-chan struct{}) {
	result := make(chan request.Answer, 1)
	go func() {
		select {
		case <-unblock:
		case <-ctx.Done():
		}
		result <- request.Answer{}
	}()
	_, _ = f.Progress.Await(result, ctx.Done())
}

// runCount returns how often the request with the id ran.
func (e *echoService) runCount(id string) int32 {
	count, ok := e.runs.Load(id)
	if !ok {
		return 0
	}
	return count.(*atomic.Int32).Load()
}

// fixture is a client that is connected to a server through a relay.
type fixture struct {
	client  *node.Client
	relay   *fake.Relay
	service *echoService
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	service := &echoService{started: make(chan string, 1)}
	server, err := node.NewServer(service)
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	f.service = service
	return f
}

// newFixtureFor returns a fixture for a server that serve runs. Its service is not set.
func newFixtureFor(t testing.TB, serve func(context.Context, net.Listener) error) *fixture {
	t.Helper()
	f := &fixture{client: node.NewClient()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- serve(ctx, listener) }()
	f.relay, err = fake.NewRelay(listener.Addr().String())
	requireNoError(t, err)
	t.Cleanup(func() {
		f.client.Close()
		f.relay.Close()
		stop()
		<-served
	})
	return f
}

// send forwards one request and returns the answer and how long it took.
func (f *fixture) send(id string, idempotent bool, timeout time.Duration) (request.Answer, time.Duration, error) {
	started := time.Now()
	r := request.Request{ID: id, Idempotent: idempotent, Deadline: started.Add(timeout), Body: []byte(id)}
	answer, err := f.client.Forward(context.Background(), f.relay.Address(), node.ForwardedRequest{Request: r})
	return answer, time.Since(started), err
}

// fillPool leaves count idle connections in the client's pool.
func (f *fixture) fillPool(t testing.TB, count int) {
	t.Helper()
	unblock := make(chan struct{})
	f.service.unblock.Store(&unblock)
	var calls sync.WaitGroup
	for range count {
		calls.Go(func() {
			if _, _, err := f.send("fill", true, callTimeout); err != nil {
				t.Errorf("filling the pool: %v", err)
			}
		})
	}
	for f.relay.Connections() < count && !t.Failed() {
		<-time.After(time.Millisecond)
	}
	f.service.unblock.Store(nil)
	close(unblock)
	calls.Wait()
	select {
	case <-f.service.started:
	default:
	}
}

func requireNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
