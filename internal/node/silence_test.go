package node_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"heatherreel/internal/fake"
	"heatherreel/internal/node"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// Bounds that the tests hold the client to, with time for a loaded machine.
const (
	// hitBound is the silence limit of 400 ms and the time to report it.
	hitBound = 500 * time.Millisecond
	// otherBound is for requests that were not hit.
	otherBound = 500 * time.Millisecond
	// idleTime is above the time for which received data proves a connection.
	idleTime    = 550 * time.Millisecond
	pooledCount = 32
)

// requireAnswered fails unless the request is answered with its own body within the bound.
func requireAnswered(t *testing.T, b *bench, id string, idempotent bool, bound time.Duration) {
	t.Helper()
	answer, took, err := b.send(id, idempotent, callDeadline)
	if err != nil || string(answer.Body) != id || took > bound {
		t.Fatalf("request %s: answer %q after %v, error %v; want its own body within %v", id, answer.Body, took, err, bound)
	}
}

// requireLost fails unless the request ends within the bound without claiming that it was not sent.
func requireLost(t *testing.T, took time.Duration, err error, bound time.Duration) {
	t.Helper()
	if !errors.Is(err, problem.Unavailable) || errors.Is(err, problem.NotSent) || took > bound {
		t.Fatalf("error %v after %v, want an unknown outcome within %v", err, took, bound)
	}
}

// Guards against writes that are lost one after another on pooled connections that went silent while they were idle.
func TestIdleSilentConnectionsLoseNoWrite(t *testing.T) {
	b := newBench(t)
	b.fill(t, pooledCount)
	<-time.After(idleTime)
	b.relay.Silence(true, true)
	for i := range pooledCount {
		id := fmt.Sprint("write-", i)
		requireAnswered(t, b, id, false, otherBound)
		if ran := b.service.ran(id); ran != 1 {
			t.Fatalf("%s ran %d times, want once", id, ran)
		}
	}
}

// Guards against reads that wait for their deadline on each pooled connection in turn.
func TestSilentConnectionsHitOneRead(t *testing.T) {
	b := newBench(t)
	b.fill(t, pooledCount)
	b.relay.Silence(true, true)
	_, took, err := b.send("hit", true, callDeadline)
	requireLost(t, took, err, hitBound)
	requireAnswered(t, b, "hit", true, callDeadline-took)
	for i := range pooledCount {
		requireAnswered(t, b, fmt.Sprint("read-", i), true, otherBound)
	}
}

// Guards against short deadlines that pass before the silence limit and so never show that a peer's connections are
// silent.
func TestShortDeadlinesFindSilentConnections(t *testing.T) {
	b := newBench(t)
	b.fill(t, pooledCount)
	b.relay.Silence(true, true)
	_, took, err := b.send("hit", true, 120*time.Millisecond)
	requireLost(t, took, err, hitBound)
	requireAnswered(t, b, "next", true, otherBound)
}

// Guards against a write that is sent again, or called not run, when its connection went silent while it ran; and
// against its late answer, which must reach no other request.
func TestSilentWhileRunning(t *testing.T) {
	b := newBench(t)
	hold := make(chan struct{})
	b.service.hold.Store(&hold)
	type result struct {
		took time.Duration
		err  error
	}
	done := make(chan result, 1)
	go func() {
		_, took, err := b.send("hit", false, callDeadline)
		done <- result{took, err}
	}()
	<-b.service.started
	b.relay.Silence(false, true)
	b.service.hold.Store(nil)
	requireAnswered(t, b, "other", false, otherBound)
	close(hold)
	hit := <-done
	requireLost(t, hit.took, hit.err, hitBound)
	b.relay.Resume()
	for i := range pooledCount {
		requireAnswered(t, b, fmt.Sprint("later-", i), false, otherBound)
	}
	if ran := b.service.ran("hit"); ran != 1 {
		t.Fatalf("the request ran %d times, want once", ran)
	}
}

// Guards against an answer that is given out in part, or waited for until the deadline, when its rest never arrives.
func TestHalfAnswer(t *testing.T) {
	b := newBench(t)
	b.fill(t, 1)
	b.relay.SilenceClientAfter(20)
	id := string(bytes.Repeat([]byte("x"), 200<<10))
	answer, took, err := b.send(id, true, callDeadline)
	requireLost(t, took, err, 2*hitBound)
	if len(answer.Body) > 0 {
		t.Fatalf("%d bytes of a half answer were given out", len(answer.Body))
	}
	requireAnswered(t, b, "next", true, otherBound)
}

// Guards against a slow request whose working connection is taken for a silent one.
func TestSlowRequestIsNotLost(t *testing.T) {
	b := newBench(t)
	hold := make(chan struct{})
	b.service.hold.Store(&hold)
	time.AfterFunc(900*time.Millisecond, func() { close(hold) })
	requireAnswered(t, b, "slow", false, callDeadline)
	if n := b.relay.Connections(); n != 1 {
		t.Fatalf("%d connections were opened, want 1", n)
	}
	b.service.hold.Store(nil)
	requireAnswered(t, b, "next", false, otherBound)
	if n := b.relay.Connections(); n != 1 {
		t.Fatalf("the connection was not kept after a slow request: %d were opened", n)
	}
}

// Guards against a report that a sender of an earlier version, which asks for none, takes for the answer.
func TestReportsOnlyWhenAskedFor(t *testing.T) {
	b := newBench(t)
	hold := make(chan struct{})
	b.service.hold.Store(&hold)
	time.AfterFunc(250*time.Millisecond, func() { close(hold) })
	transport, err := net.Dial("tcp", b.relay.Address())
	requireNoError(t, err)
	conn := drpcconn.New(transport)
	defer conn.Close()
	stream, err := nodepb.NewDRPCNodeClient(conn).Forward(t.Context(), &nodepb.ForwardRequest{
		Correlation: 1, DeadlineUs: uint64(callDeadline.Microseconds()),
	})
	requireNoError(t, err)
	first, err := stream.Recv()
	requireNoError(t, err)
	if first.Running || first.Outcome != nodepb.Outcome_OUTCOME_DONE {
		t.Fatalf("the first response is %v, want the answer", first)
	}
}

// Guards against control calls that wait for their deadline on silent connections.
func TestControlCallsPassSilentConnections(t *testing.T) {
	b := newBench(t)
	b.fill(t, pooledCount)
	<-time.After(idleTime)
	b.relay.Silence(true, true)
	ctx, cancel := context.WithTimeout(context.Background(), otherBound)
	defer cancel()
	_, err := b.client.Release(ctx, b.relay.Address(), node.ReleaseRequest{})
	requireNoError(t, err)
	_, err = b.client.Snapshot(ctx, b.relay.Address())
	requireNoError(t, err)
}

// Guards against closing connections that are known to work because another one went silent.
func TestWorkingConnectionsAreKept(t *testing.T) {
	b := newBench(t)
	b.fill(t, 1)
	hold := make(chan struct{})
	b.service.hold.Store(&hold)
	done := make(chan error, 1)
	go func() {
		_, _, err := b.send("hit", true, callDeadline)
		done <- err
	}()
	<-b.service.started
	b.relay.Silence(true, true)
	b.service.hold.Store(nil)
	requireAnswered(t, b, "opened later", true, otherBound)
	if <-done == nil {
		t.Fatal("the request on the silent connection was answered")
	}
	close(hold)
	requireAnswered(t, b, "after", true, otherBound)
	if n := b.relay.Connections(); n != 2 {
		t.Fatalf("%d connections were opened, want 2", n)
	}
}

// Guards against a large request on a slow link whose connection is taken for a silent one while the request is sent.
func TestLargeRequestHasTimeToArrive(t *testing.T) {
	b := newBench(t)
	b.fill(t, 1)
	b.relay.Silence(true, false)
	time.AfterFunc(600*time.Millisecond, b.relay.Resume)
	requireAnswered(t, b, string(bytes.Repeat([]byte("x"), 1<<20)), true, callDeadline)
	if n := b.relay.Connections(); n != 1 {
		t.Fatalf("%d connections were opened, want 1", n)
	}
}

// Guards against connections that are closed although only the caller left, which says nothing about them.
func TestCallerThatLeavesKeepsConnections(t *testing.T) {
	b := newBench(t)
	b.fill(t, 2)
	hold := make(chan struct{})
	defer close(hold)
	b.service.hold.Store(&hold)
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(90*time.Millisecond, leave)
	r := request.Request{ID: "left", Deadline: time.Now().Add(callDeadline)}
	_, err := b.client.Forward(ctx, b.relay.Address(), node.Forwarded{Request: r})
	requireLost(t, 0, err, hitBound)
	b.service.hold.Store(nil)
	requireAnswered(t, b, "next", false, otherBound)
	if n := b.relay.Connections(); n != 2 {
		t.Fatalf("%d connections were opened, want 2", n)
	}
}

// crossing is a node that sends faulty responses.
type crossing struct {
	nodepb.DRPCNodeUnimplementedServer
	responses func(correlation uint64) []*nodepb.ForwardResponse
}

// Forward implements nodepb.DRPCNodeServer.
func (c *crossing) Forward(m *nodepb.ForwardRequest, stream nodepb.DRPCNode_ForwardStream) error {
	for _, response := range c.responses(m.Correlation) {
		if err := stream.Send(response); err != nil {
			return err
		}
	}
	return nil
}

// done is the answer of a node that ran a request.
func done(correlation uint64, body string, length uint64) *nodepb.ForwardResponse {
	return &nodepb.ForwardResponse{
		Correlation: correlation, Outcome: nodepb.Outcome_OUTCOME_DONE, Body: []byte(body), BodyLength: length,
	}
}

// Guards against an answer that belongs to another request or lacks its end, a report of progress that belongs to
// another request, and another use of the connection that carried one of them.
func TestFaultyResponses(t *testing.T) {
	for name, responses := range map[string]func(uint64) []*nodepb.ForwardResponse{
		"crossed answer": func(c uint64) []*nodepb.ForwardResponse { return []*nodepb.ForwardResponse{done(c+1, "", 0)} },
		"cut answer":     func(c uint64) []*nodepb.ForwardResponse { return []*nodepb.ForwardResponse{done(c, "half", 8)} },
		"crossed report": func(c uint64) []*nodepb.ForwardResponse {
			return []*nodepb.ForwardResponse{{Correlation: c + 1, Running: true}, done(c, "", 0)}
		},
		"report without answer": func(c uint64) []*nodepb.ForwardResponse {
			return []*nodepb.ForwardResponse{{Correlation: c, Running: true}}
		},
	} {
		t.Run(name, func(t *testing.T) { testFaultyResponse(t, responses) })
	}
}

func testFaultyResponse(t *testing.T, responses func(uint64) []*nodepb.ForwardResponse) {
	mux := drpcmux.New()
	requireNoError(t, nodepb.DRPCRegisterNode(mux, &crossing{responses: responses}))
	b := newBenchFor(t, func(ctx context.Context, l net.Listener) error { return drpcserver.New(mux).Serve(ctx, l) })
	for i := range 2 {
		answer, took, err := b.send("asked", true, callDeadline)
		requireLost(t, took, err, hitBound)
		if answer.Outcome == request.Done {
			t.Fatal("a faulty answer was given out")
		}
		if n := b.relay.Connections(); n != i+1 {
			t.Fatalf("%d connections were opened for %d requests", n, i+1)
		}
	}
}

// Guards against a relay that does not hold data back, which would make the other tests prove nothing.
func TestRelayHoldsDataBack(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	defer listener.Close()
	relay, err := fake.NewRelay(listener.Addr().String())
	requireNoError(t, err)
	defer relay.Close()
	client, err := net.Dial("tcp", relay.Address())
	requireNoError(t, err)
	defer client.Close()
	target, err := listener.Accept()
	requireNoError(t, err)
	defer target.Close()
	for relay.Connections() == 0 {
		<-time.After(time.Millisecond)
	}
	relay.Silence(true, false)
	_, err = client.Write([]byte("data"))
	requireNoError(t, err)
	requireNoError(t, target.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	if n, err := target.Read(make([]byte, 8)); err == nil {
		t.Fatalf("%d bytes passed a stopped direction", n)
	}
	relay.Resume()
	requireNoError(t, target.SetReadDeadline(time.Now().Add(time.Second)))
	if n, err := target.Read(make([]byte, 8)); n != 4 || err != nil {
		t.Fatalf("read %d bytes, error %v after resuming; want 4", n, err)
	}
}
