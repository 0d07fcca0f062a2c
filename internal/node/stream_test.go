package node_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"heatherreel/internal/node"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// streamRouter handles requests whose body is a stream.
type streamRouter struct {
	echoRouter
	handle func(ctx context.Context, s *routed.BodyStream, p node.DispatchProgress) routed.Answer
}

// Dispatch implements node.RouterService.
func (r *streamRouter) Dispatch(ctx context.Context, received routed.Request, p node.DispatchProgress) routed.Answer {
	return r.handle(ctx, received.Stream, p)
}

// gate is a body whose rest is held back until open is closed, or the reading is aborted.
type gate struct {
	before, after io.Reader
	open          chan struct{}
	aborted       chan struct{}
	abort         func()
}

func newGate(before, after string) *gate {
	g := &gate{before: strings.NewReader(before), after: strings.NewReader(after), open: make(chan struct{}), aborted: make(chan struct{})}
	g.abort = sync.OnceFunc(func() { close(g.aborted) })
	return g
}

var errAborted = errors.New("aborted")

func (g *gate) Read(p []byte) (int, error) {
	if n, err := g.before.Read(p); err == nil {
		return n, nil
	}
	select {
	case <-g.open:
		return g.after.Read(p)
	case <-g.aborted:
		return 0, errAborted
	}
}

// streamFixture is a client and a node at an address.
type streamFixture struct {
	client  *node.Client
	address string
}

func newStreamFixture(t *testing.T, handle func(context.Context, *routed.BodyStream, node.DispatchProgress) routed.Answer) *streamFixture {
	t.Helper()
	server, err := node.NewRouterServer(&streamRouter{handle: handle})
	requireNoError(t, err)
	f := &streamFixture{client: node.NewClient(), address: serveNode(t, server)}
	t.Cleanup(func() { _ = f.client.Close() })
	return f
}

// send sends a request with the body and returns the answer.
func (f *streamFixture) send(length int64, body *gate) (routed.Answer, *routed.BodyStream, error) {
	s := routed.NewBodyStream(length, body, nil, body.abort)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	defer s.Abort()
	a, err := f.client.Dispatch(ctx, f.address, routed.Request{ID: "r", Method: "POST", Path: "/", Stream: s, Deadline: time.Now().Add(5 * time.Second)}, nil)
	return a, s, err
}

// open returns an opened gate of a body.
func open(body string) *gate {
	g := newGate("", body)
	close(g.open)
	return g
}

var streamDone = routed.Answer{Outcome: request.Done, Status: 200, ReachedServer: true}

// Guards against a body that arrives with other bytes or another length, and against a stream that is held up although its
// sender only waits for its caller.
func TestStreamArrivesWhole(t *testing.T) {
	body := strings.Repeat("0123456789abc", 500_000)
	for name, c := range map[string]struct {
		length int64
		body   *gate
	}{
		"length": {int64(len(body)), open(body)},
		"chunks": {-1, open(body)},
		"pause":  {-1, newGate(body[:1000], body[1000:])},
	} {
		f := newStreamFixture(t, func(_ context.Context, s *routed.BodyStream, _ node.DispatchProgress) routed.Answer {
			requireNoError(t, s.Begin())
			sum := sha256.New()
			_, err := io.Copy(sum, s)
			requireNoError(t, err)
			answer := streamDone
			answer.Body = sum.Sum(nil)
			return answer
		})
		if name == "pause" {
			// Longer than the silence limit of 700 ms.
			time.AfterFunc(1500*time.Millisecond, func() { close(c.body.open) })
		}
		want := sha256.Sum256([]byte(body))
		if a, _, err := f.send(c.length, c.body); err != nil || string(a.Body) != string(want[:]) {
			t.Errorf("%s: the body did not arrive as it was sent: %+v, %v", name, a, err)
		}
	}
}

// Guards against a body that is taken, so that the request cannot be sent again, by a node that refuses the request.
func TestRefusalTakesNoBody(t *testing.T) {
	f := newStreamFixture(t, func(context.Context, *routed.BodyStream, node.DispatchProgress) routed.Answer {
		return routed.NotRun(request.QueueFull, time.Second)
	})
	for range 2 {
		a, s, err := f.send(-1, open("body"))
		if err != nil || a.Reason != request.QueueFull || s.Begun() {
			t.Errorf("answer %+v, %v; the body was taken: %v", a, err, s.Begun())
		}
	}
}

// Guards against an answer that is lost, or held back until the whole body was sent, because it came early.
func TestEarlyAnswerEndsStream(t *testing.T) {
	f := newStreamFixture(t, func(_ context.Context, s *routed.BodyStream, _ node.DispatchProgress) routed.Answer {
		requireNoError(t, s.Begin())
		return streamDone
	})
	for name, body := range map[string]*gate{"sender waits": newGate("begin", ""), "sender sends": open(strings.Repeat("x", 20<<20))} {
		began := time.Now()
		if a, _, err := f.send(-1, body); err != nil || a.Outcome != request.Done || time.Since(began) > time.Second {
			t.Errorf("%s: %+v, %v after %v", name, a, err, time.Since(began))
		}
	}
}

// Guards against a body that looks complete to the node that executes the request although its sender broke off or sent
// another number of bytes.
func TestBrokenStreamIsNeverComplete(t *testing.T) {
	for name, c := range map[string]struct {
		length int64
		body   func() *gate
	}{
		"caller breaks off": {-1, func() *gate { g := newGate("begin", ""); time.AfterFunc(100*time.Millisecond, g.abort); return g }},
		"too short":         {10, func() *gate { return open("short") }},
		"too long":          {3, func() *gate { return open("longer") }},
	} {
		result := make(chan error, 1)
		f := newStreamFixture(t, func(_ context.Context, s *routed.BodyStream, _ node.DispatchProgress) routed.Answer {
			err := s.Begin()
			if err == nil {
				_, err = io.Copy(io.Discard, s)
			}
			result <- err
			return routed.OutcomeUnknown(request.BodyIncomplete)
		})
		a, _, err := f.send(c.length, c.body())
		if a.Outcome != request.Unknown || problem.KindOf(err) == problem.NotSent {
			t.Errorf("%s: the sender got %+v, %v", name, a, err)
		}
		if err := <-result; err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: the receiver took the body for complete: %v", name, err)
		}
	}
}

// Guards against an outcome that is reported as unknown although nothing of the body was sent, and against one that is
// reported as not sent although some was.
func TestLostNodeDuringStream(t *testing.T) {
	for name, c := range map[string]struct {
		begin bool
		body  *gate
		want  any
	}{
		"before it asks for the body": {false, open("body"), problem.NotSent},
		"before the first byte":       {true, newGate("", ""), problem.NotSent},
		"after it":                    {true, newGate("begin", ""), problem.Unavailable},
	} {
		server, err := node.NewRouterServer(&streamRouter{handle: func(ctx context.Context, s *routed.BodyStream, _ node.DispatchProgress) routed.Answer {
			if c.begin {
				_ = s.Begin()
			}
			<-ctx.Done()
			return routed.OutcomeUnknown(request.ConnectionLost)
		}})
		requireNoError(t, err)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		requireNoError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = server.Serve(ctx, listener) }()
		f := &streamFixture{client: node.NewClient(), address: listener.Addr().String()}
		time.AfterFunc(200*time.Millisecond, stop)
		if _, _, err := f.send(-1, c.body); problem.KindOf(err) != c.want {
			t.Errorf("node lost %s: %v, want kind %v", name, err, c.want)
		}
		<-ended
		_ = f.client.Close()
	}
}

// Guards against a body that waits for the deadline, with a slot of the backend server, because its sender is silent.
func TestSilentSenderIsGivenUp(t *testing.T) {
	result := make(chan time.Duration, 1)
	f := newStreamFixture(t, func(_ context.Context, s *routed.BodyStream, _ node.DispatchProgress) routed.Answer {
		began := time.Now()
		if err := s.Begin(); err == nil {
			t.Error("a body arrived")
		}
		result <- time.Since(began)
		return routed.NotRun(request.BodyIncomplete, 0)
	})
	transport, err := net.Dial("tcp", f.address)
	requireNoError(t, err)
	conn := drpcconn.New(transport)
	defer conn.Close()
	stream, err := nodepb.NewDRPCRouterClient(conn).DispatchStream(context.Background())
	requireNoError(t, err)
	requireNoError(t, stream.Send(&nodepb.DispatchPart{Request: &nodepb.DispatchRequest{DeadlineUs: 20_000_000}, BodyLength: -1}))
	if took := <-result; took < 700*time.Millisecond || took > 2*time.Second {
		t.Errorf("the silent sender was given up after %v", took)
	}
}

// Guards against a connection that is kept, and not noticed to be closed, because its sender goes on after a refusal.
func TestSenderThatIgnoresRefusalIsEnded(t *testing.T) {
	f := newStreamFixture(t, func(context.Context, *routed.BodyStream, node.DispatchProgress) routed.Answer {
		return routed.NotRun(request.QueueFull, 0)
	})
	transport, err := net.Dial("tcp", f.address)
	requireNoError(t, err)
	conn := drpcconn.New(transport)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	stream, err := nodepb.NewDRPCRouterClient(conn).DispatchStream(ctx)
	requireNoError(t, err)
	part := &nodepb.DispatchPart{Request: &nodepb.DispatchRequest{DeadlineUs: 20_000_000}, Body: make([]byte, 1000)}
	requireNoError(t, stream.Send(part))
	_, err = stream.Recv()
	requireNoError(t, err)
	pause := time.NewTicker(10 * time.Millisecond)
	defer pause.Stop()
	began := time.Now()
	for err == nil && time.Since(began) < 5*time.Second {
		if err = stream.Send(part); err == nil {
			err = stream.(interface{ GetStream() drpc.Stream }).GetStream().(interface{ RawFlush() error }).RawFlush()
		}
		<-pause.C
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the stream was ended after %v", took)
	}
	if _, err := nodepb.NewDRPCNodeClient(conn).Ping(ctx, &nodepb.PingRequest{}); err != nil {
		t.Errorf("the connection serves no other call: %v", err)
	}
}

// Guards against a request that is lost, or a node that counts as failing, because it does not know the call.
func TestNodeWithoutStreams(t *testing.T) {
	mux := drpcmux.New()
	requireNoError(t, nodepb.DRPCRegisterNode(mux, &pingOnly{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = drpcserver.New(mux).Serve(ctx, listener) }()
	defer func() { stop(); <-ended }()
	f := &streamFixture{client: node.NewClient(), address: listener.Addr().String()}
	defer f.client.Close()
	_, s, err := f.send(-1, open("body"))
	if problem.KindOf(err) != problem.NotSent || node.PeerStateOf(err) != node.PeerAnswers || s.Begun() {
		t.Errorf("error %v, state %v, body taken: %v", err, node.PeerStateOf(err), s.Begun())
	}
}

// pingOnly implements Ping.
type pingOnly struct {
	nodepb.DRPCNodeUnimplementedServer
}

func (pingOnly) Ping(context.Context, *nodepb.PingRequest) (*nodepb.PingResponse, error) {
	return &nodepb.PingResponse{}, nil
}
