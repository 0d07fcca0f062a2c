package node_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
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

// Time limits for requests, with a margin for a loaded machine.
const (
	// affectedBound is for requests on a connection that goes silent: the silence limit of 400 ms and the time to
	// report the failure.
	affectedBound = 500 * time.Millisecond
	// unaffectedBound is for requests that use a working connection.
	unaffectedBound = 500 * time.Millisecond
	// idleBeforePing is longer than the time that a connection counts as working after data arrived.
	idleBeforePing = 550 * time.Millisecond
	// pooledConnections fills the client's pool for one peer.
	pooledConnections = 32
)

// requireAnswered fails unless the request is answered with its own body within the bound.
func requireAnswered(t *testing.T, f *fixture, id string, idempotent bool, bound time.Duration) {
	t.Helper()
	answer, took, err := f.send(id, idempotent, callTimeout)
	if err != nil || string(answer.Body) != id || took > bound {
		t.Fatalf("request %s: answer %q after %v, error %v; want its own body within %v", id, answer.Body, took, err, bound)
	}
}

// requireOutcomeUnknown fails unless the request ended within the bound with an unknown outcome, not as not sent.
func requireOutcomeUnknown(t *testing.T, took time.Duration, err error, bound time.Duration) {
	t.Helper()
	if !errors.Is(err, problem.Unavailable) || errors.Is(err, problem.NotSent) || took > bound {
		t.Fatalf("error %v after %v, want an unknown outcome within %v", err, took, bound)
	}
}

// Guards against writes that fail one after another on pooled connections that went silent while they were idle.
func TestIdleSilentConnectionsLoseNoWrite(t *testing.T) {
	f := newFixture(t)
	f.fillPool(t, pooledConnections)
	<-time.After(idleBeforePing)
	f.relay.Silence(true, true)
	for i := range pooledConnections {
		id := fmt.Sprint("write-", i)
		requireAnswered(t, f, id, false, unaffectedBound)
		if runCount := f.service.runCount(id); runCount != 1 {
			t.Fatalf("%s ran %d times, want once", id, runCount)
		}
	}
}

// Guards against a ping timeout for each of several writes when all idle connections went silent: the first one shows that
// the others are dead.
func TestFailedPingClosesSilentConnections(t *testing.T) {
	const writes, pingTimeout = 8, 150 * time.Millisecond
	f := newFixture(t)
	f.fillPool(t, pooledConnections)
	<-time.After(idleBeforePing)
	f.relay.Silence(true, true)
	// The writes hold their connections, so that each needs a further one.
	unblock := make(chan struct{})
	f.service.unblock.Store(&unblock)
	var calls sync.WaitGroup
	began := time.Now()
	for i := range writes {
		calls.Go(func() {
			if _, _, err := f.send(fmt.Sprint("write-", i), false, 10*time.Second); err != nil {
				t.Errorf("write %d: %v", i, err)
			}
		})
		<-f.service.started
	}
	if took := time.Since(began); took > writes/2*pingTimeout {
		t.Errorf("%d writes were sent within %v, want at most %v", writes, took, writes/2*pingTimeout)
	}
	close(unblock)
	calls.Wait()
}

// Guards against reads that wait for their deadline on one silent pooled connection after another.
func TestSilentConnectionsFailOneRead(t *testing.T) {
	f := newFixture(t)
	f.fillPool(t, pooledConnections)
	f.relay.Silence(true, true)
	_, took, err := f.send("affected", true, callTimeout)
	requireOutcomeUnknown(t, took, err, affectedBound)
	requireAnswered(t, f, "affected", true, callTimeout-took)
	for i := range pooledConnections {
		requireAnswered(t, f, fmt.Sprint("read-", i), true, unaffectedBound)
	}
}

// Guards against not detecting the silent connections of a peer because the deadlines of requests are shorter than the
// silence limit.
func TestShortDeadlineDetectsSilentConnections(t *testing.T) {
	f := newFixture(t)
	f.fillPool(t, pooledConnections)
	f.relay.Silence(true, true)
	_, took, err := f.send("affected", true, 120*time.Millisecond)
	requireOutcomeUnknown(t, took, err, affectedBound)
	requireAnswered(t, f, "next", true, unaffectedBound)
}

// Guards against a write that is sent again, or reported as not run, after its connection went silent while it ran, and
// against delivering its late answer to another request.
func TestConnectionSilentWhileRequestRuns(t *testing.T) {
	f := newFixture(t)
	unblock := make(chan struct{})
	f.service.unblock.Store(&unblock)
	type result struct {
		ended time.Time
		err   error
	}
	done := make(chan result, 1)
	go func() {
		_, _, err := f.send("affected", false, callTimeout)
		done <- result{time.Now(), err}
	}()
	<-f.service.started
	silent := time.Now()
	f.relay.Silence(false, true)
	f.service.unblock.Store(nil)
	requireAnswered(t, f, "other", false, unaffectedBound)
	close(unblock)
	affected := <-done
	requireOutcomeUnknown(t, affected.ended.Sub(silent), affected.err, affectedBound)
	f.relay.Resume()
	for i := range pooledConnections {
		requireAnswered(t, f, fmt.Sprint("later-", i), false, unaffectedBound)
	}
	if runCount := f.service.runCount("affected"); runCount != 1 {
		t.Fatalf("the request ran %d times, want once", runCount)
	}
}

// Guards against an answer whose rest never arrives being returned in part, or waited for until the deadline.
func TestTruncatedAnswer(t *testing.T) {
	f := newFixture(t)
	f.fillPool(t, 1)
	f.relay.SilenceToClientAfter(20)
	id := string(bytes.Repeat([]byte("x"), 200<<10))
	answer, took, err := f.send(id, true, callTimeout)
	requireOutcomeUnknown(t, took, err, 2*affectedBound)
	if len(answer.Body) > 0 {
		t.Fatalf("%d bytes of a truncated answer were returned", len(answer.Body))
	}
	requireAnswered(t, f, "next", true, unaffectedBound)
}

// Guards against mistaking the working connection of a slow request for a silent one.
func TestSlowRequestIsNotLost(t *testing.T) {
	f := newFixture(t)
	unblock := make(chan struct{})
	f.service.unblock.Store(&unblock)
	time.AfterFunc(900*time.Millisecond, func() { close(unblock) })
	requireAnswered(t, f, "slow", false, callTimeout)
	if n := f.relay.Connections(); n != 1 {
		t.Fatalf("%d connections were opened, want 1", n)
	}
	f.service.unblock.Store(nil)
	requireAnswered(t, f, "next", false, unaffectedBound)
	if n := f.relay.Connections(); n != 1 {
		t.Fatalf("the connection was not kept after a slow request: %d were opened", n)
	}
}

// Guards against sending progress reports to a node of an earlier version, which does not ask for them and would take a
// report for the answer.
func TestProgressIsReportedOnlyOnRequest(t *testing.T) {
	f := newFixture(t)
	unblock := make(chan struct{})
	f.service.unblock.Store(&unblock)
	time.AfterFunc(250*time.Millisecond, func() { close(unblock) })
	transport, err := net.Dial("tcp", f.relay.Address())
	requireNoError(t, err)
	conn := drpcconn.New(transport)
	defer conn.Close()
	stream, err := nodepb.NewDRPCNodeClient(conn).Forward(t.Context(), &nodepb.ForwardRequest{
		Correlation: 1, DeadlineUs: uint64(callTimeout.Microseconds()),
	})
	requireNoError(t, err)
	first, err := stream.Recv()
	requireNoError(t, err)
	if first.Running || first.Outcome != nodepb.Outcome_OUTCOME_DONE {
		t.Fatalf("the first response is %v, want the answer", first)
	}
}

// Guards against control calls that wait for their deadline on silent connections.
func TestControlCallsAvoidSilentConnections(t *testing.T) {
	f := newFixture(t)
	f.fillPool(t, pooledConnections)
	<-time.After(idleBeforePing)
	f.relay.Silence(true, true)
	ctx, cancel := context.WithTimeout(context.Background(), unaffectedBound)
	defer cancel()
	_, err := f.client.Release(ctx, f.relay.Address(), node.ReleaseRequest{})
	requireNoError(t, err)
	_, err = f.client.Snapshot(ctx, f.relay.Address())
	requireNoError(t, err)
}

// Guards against closing connections that received data recently because another one went silent.
func TestWorkingConnectionsAreKept(t *testing.T) {
	f := newFixture(t)
	f.fillPool(t, 1)
	unblock := make(chan struct{})
	f.service.unblock.Store(&unblock)
	done := make(chan error, 1)
	go func() {
		_, _, err := f.send("affected", true, callTimeout)
		done <- err
	}()
	<-f.service.started
	f.relay.Silence(true, true)
	f.service.unblock.Store(nil)
	requireAnswered(t, f, "opened later", true, unaffectedBound)
	if <-done == nil {
		t.Fatal("the request on the silent connection was answered")
	}
	close(unblock)
	requireAnswered(t, f, "after", true, unaffectedBound)
	if n := f.relay.Connections(); n != 2 {
		t.Fatalf("%d connections were opened, want 2", n)
	}
}

// Guards against mistaking a connection for a silent one while a large request is sent over a slow link.
func TestLargeRequestHasTimeToArrive(t *testing.T) {
	f := newFixture(t)
	f.fillPool(t, 1)
	f.relay.Silence(true, false)
	time.AfterFunc(600*time.Millisecond, f.relay.Resume)
	requireAnswered(t, f, string(bytes.Repeat([]byte("x"), 1<<20)), true, callTimeout)
	if n := f.relay.Connections(); n != 1 {
		t.Fatalf("%d connections were opened, want 1", n)
	}
}

// Guards against closing connections because a caller canceled its request, which does not mean that they are silent.
func TestCanceledCallKeepsConnections(t *testing.T) {
	f := newFixture(t)
	f.fillPool(t, 2)
	unblock := make(chan struct{})
	defer close(unblock)
	f.service.unblock.Store(&unblock)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(90*time.Millisecond, cancel)
	r := request.Request{ID: "canceled", Deadline: time.Now().Add(callTimeout)}
	_, err := f.client.Forward(ctx, f.relay.Address(), node.ForwardedRequest{Request: r})
	requireOutcomeUnknown(t, 0, err, affectedBound)
	f.service.unblock.Store(nil)
	requireAnswered(t, f, "next", false, unaffectedBound)
	if n := f.relay.Connections(); n != 2 {
		t.Fatalf("%d connections were opened, want 2", n)
	}
}

// faultyNode answers Forward with the given responses.
type faultyNode struct {
	nodepb.DRPCNodeUnimplementedServer
	responses func(correlation uint64) []*nodepb.ForwardResponse
}

// Forward implements nodepb.DRPCNodeServer.
func (n *faultyNode) Forward(m *nodepb.ForwardRequest, stream nodepb.DRPCNode_ForwardStream) error {
	for _, response := range n.responses(m.Correlation) {
		if err := stream.Send(response); err != nil {
			return err
		}
	}
	return nil
}

// doneResponse returns the response of a node that ran a request.
func doneResponse(correlation uint64, body string, length uint64) *nodepb.ForwardResponse {
	return &nodepb.ForwardResponse{
		Correlation: correlation, Outcome: nodepb.Outcome_OUTCOME_DONE, Body: []byte(body), BodyLength: length,
	}
}

// Guards against accepting an answer that belongs to another request or is truncated, or a progress report that belongs
// to another request, and against using the connection again on which one of them arrived.
func TestFaultyResponses(t *testing.T) {
	for name, responses := range map[string]func(uint64) []*nodepb.ForwardResponse{
		"answer to another request": func(c uint64) []*nodepb.ForwardResponse { return []*nodepb.ForwardResponse{doneResponse(c+1, "", 0)} },
		"truncated answer":          func(c uint64) []*nodepb.ForwardResponse { return []*nodepb.ForwardResponse{doneResponse(c, "half", 8)} },
		"report on another request": func(c uint64) []*nodepb.ForwardResponse {
			return []*nodepb.ForwardResponse{{Correlation: c + 1, Running: true}, doneResponse(c, "", 0)}
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
	requireNoError(t, nodepb.DRPCRegisterNode(mux, &faultyNode{responses: responses}))
	f := newFixtureFor(t, func(ctx context.Context, l net.Listener) error { return drpcserver.New(mux).Serve(ctx, l) })
	for i := range 2 {
		answer, took, err := f.send("request", true, callTimeout)
		requireOutcomeUnknown(t, took, err, affectedBound)
		if answer.Outcome == request.Done {
			t.Fatal("a faulty answer was returned")
		}
		if n := f.relay.Connections(); n != i+1 {
			t.Fatalf("%d connections were opened for %d requests", n, i+1)
		}
	}
}

// Guards against a relay that does not withhold data, with which the other tests would test nothing.
func TestRelayWithholdsData(t *testing.T) {
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
		t.Fatalf("%d bytes passed the relay in a silenced direction", n)
	}
	relay.Resume()
	requireNoError(t, target.SetReadDeadline(time.Now().Add(time.Second)))
	if n, err := target.Read(make([]byte, 8)); n != 4 || err != nil {
		t.Fatalf("read %d bytes, error %v after resuming; want 4", n, err)
	}
}
