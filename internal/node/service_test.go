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

// callDeadline is the time that the tests give a request, as long as the longest usual deadline.
const callDeadline = 2 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo is a service that answers each request with its body. It counts how often each request id ran.
type echo struct {
	runs sync.Map
	// hold, if set, blocks requests until it is closed.
	hold    atomic.Pointer[chan struct{}]
	started chan string
}

// Forward implements node.Service.
func (e *echo) Forward(ctx context.Context, f node.Forwarded) request.Answer {
	count, _ := e.runs.LoadOrStore(f.Request.ID, new(atomic.Int32))
	count.(*atomic.Int32).Add(1)
	select {
	case e.started <- f.Request.ID:
	default:
	}
	if hold := e.hold.Load(); hold != nil {
		wait(ctx, f, *hold)
	}
	return request.Answer{Outcome: request.Done, Status: 200, Body: f.Request.Body}
}

// Release implements node.Service.
func (e *echo) Release(context.Context, node.ReleaseRequest) (node.ReleaseResult, error) {
	return node.ReleaseResult{Offset: 7}, nil
}

// Snapshot implements node.Service.
func (e *echo) Snapshot(context.Context) (node.Snapshot, error) { return node.Snapshot{Offset: 7}, nil }

// wait blocks until hold is closed or the request ends, and reports progress as the engine does.
func wait(ctx context.Context, f node.Forwarded, hold <-chan struct{}) {
	result := make(chan request.Answer, 1)
	go func() {
		select {
		case <-hold:
		case <-ctx.Done():
		}
		result <- request.Answer{}
	}()
	_, _ = f.Progress.Await(result, ctx.Done())
}

func (e *echo) ran(id string) int32 {
	count, ok := e.runs.Load(id)
	if !ok {
		return 0
	}
	return count.(*atomic.Int32).Load()
}

// bench is a client that reaches a server through a relay.
type bench struct {
	client  *node.Client
	relay   *fake.Relay
	service *echo
}

func newBench(t testing.TB) *bench {
	t.Helper()
	service := &echo{started: make(chan string, 1)}
	server, err := node.NewServer(service)
	requireNoError(t, err)
	b := newBenchFor(t, server.Serve)
	b.service = service
	return b
}

// newBenchFor returns a bench without a service for a server of its own.
func newBenchFor(t testing.TB, serve func(context.Context, net.Listener) error) *bench {
	t.Helper()
	b := &bench{client: node.NewClient()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- serve(ctx, listener) }()
	b.relay, err = fake.NewRelay(listener.Addr().String())
	requireNoError(t, err)
	t.Cleanup(func() {
		b.client.Close()
		b.relay.Close()
		stop()
		<-served
	})
	return b
}

// send forwards one request and returns how long it took.
func (b *bench) send(id string, idempotent bool, deadline time.Duration) (request.Answer, time.Duration, error) {
	started := time.Now()
	r := request.Request{ID: id, Idempotent: idempotent, Deadline: started.Add(deadline), Body: []byte(id)}
	answer, err := b.client.Forward(context.Background(), b.relay.Address(), node.Forwarded{Request: r})
	return answer, time.Since(started), err
}

// fill leaves count idle connections in the client's pool.
func (b *bench) fill(t testing.TB, count int) {
	t.Helper()
	hold := make(chan struct{})
	b.service.hold.Store(&hold)
	var calls sync.WaitGroup
	for range count {
		calls.Go(func() {
			if _, _, err := b.send("fill", true, callDeadline); err != nil {
				t.Errorf("filling the pool: %v", err)
			}
		})
	}
	for b.relay.Connections() < count && !t.Failed() {
		<-time.After(time.Millisecond)
	}
	b.service.hold.Store(nil)
	close(hold)
	calls.Wait()
	select {
	case <-b.service.started:
	default:
	}
}

func requireNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
