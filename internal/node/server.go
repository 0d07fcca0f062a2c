package node

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
)

// managerOptions returns the drpc options of both ends of a connection. They limit the size of a message, and with
// manual flushing a message and the end of its stream are written at once, which saves a packet in each direction.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize},
		Stream: drpcstream.Options{ManualFlush: true},
	}
}

// serverOptions returns the drpc options of a server. The inactivity timeout closes connections that the client has
// already closed: on a connection that lost its path the close does not arrive.
func serverOptions() drpcserver.Options {
	options := managerOptions()
	options.InactivityTimeout = 2 * idleConnectionTime
	return drpcserver.Options{Manager: options}
}

// Server serves the calls of other nodes over drpc.
type Server struct {
	drpc     *drpcserver.Server
	requests *requestCounter
}

// newServer returns a server that passes its calls to handler.
func newServer(handler drpc.Handler) *Server {
	requests := &requestCounter{next: handler}
	return &Server{drpc: drpcserver.NewWithOptions(requests, serverOptions()), requests: requests}
}

// Names of the calls that carry requests of callers.
const (
	dispatchCall       = "/heatherreel.node.Router/Dispatch"
	dispatchStreamCall = "/heatherreel.node.Router/DispatchStream"
	forwardCall        = "/heatherreel.node.Node/Forward"
)

// requestCounter counts the requests in progress, each until its answer is handed to the operating system: drpc writes
// an answer in HandleRPC, after the service has returned it.
//
// mu guards the fields below it.
type requestCounter struct {
	next drpc.Handler

	mu         sync.Mutex
	inProgress int
	// idle is closed when no request is in progress any more. It is nil while none is.
	idle chan struct{}
	// lastArrival is when the last request arrived.
	lastArrival time.Time
}

// HandleRPC implements drpc.Handler.
func (c *requestCounter) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc == packedDispatchCall || rpc == dispatchCall || rpc == dispatchStreamCall || rpc == forwardCall {
		c.begin()
		defer c.end()
	}
	return c.next.HandleRPC(stream, rpc)
}

func (c *requestCounter) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress == 0 {
		c.idle = make(chan struct{})
	}
	c.inProgress++
	c.lastArrival = time.Now()
}

func (c *requestCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress--; c.inProgress == 0 {
		close(c.idle)
		c.idle = nil
	}
}

// state returns a channel that is closed when the server becomes idle, nil if it is idle, and when the last request
// arrived.
func (c *requestCounter) state() (idle <-chan struct{}, lastArrival time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, c.lastArrival
}

// AwaitIdle waits until no request is in progress and no answer is unwritten. It returns false if ctx ends first.
func (s *Server) AwaitIdle(ctx context.Context) bool {
	for idle, _ := s.requests.state(); idle != nil; idle, _ = s.requests.state() {
		select {
		case <-idle:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// AwaitQuiet waits until no request has arrived for the time quiet, counted from since at the earliest, or until ctx
// ends. Requests that were sent before their senders knew that the node stops have been answered then.
func (s *Server) AwaitQuiet(ctx context.Context, since time.Time, quiet time.Duration) {
	for {
		_, last := s.requests.state()
		if last.Before(since) {
			last = since
		}
		wait := time.Until(last.Add(quiet))
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// NewServer returns a server that decodes the calls of the Node service of node.proto and passes them to service.
func NewServer(service Service) (*Server, error) {
	mux := drpcmux.New()
	if err := nodepb.DRPCRegisterNode(mux, &nodeEndpoint{service: service}); err != nil {
		return nil, problem.New(problem.Invalid, "report this as a defect", "register the node service: %w", err)
	}
	return newServer(mux), nil
}

// Serve accepts connections until ctx ends. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return s.drpc.Serve(ctx, budgetListener{listener, &readBudget{}})
}

// nodeEndpoint decodes calls of the Node service and encodes the answers.
type nodeEndpoint struct {
	service Service
}

// Forward implements nodepb.DRPCNodeServer.
func (e *nodeEndpoint) Forward(m *nodepb.ForwardRequest, stream nodepb.DRPCNode_ForwardStream) error {
	f, err := decodeForward(m, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(stream.Context(), f.Request.Deadline)
	defer cancel()
	f.Progress = progressReporter(stream, m)
	return stream.Send(encodeAnswer(e.service.Forward(ctx, f), m.Correlation))
}

// progressReporter returns a Progress that reports on the stream of the request, at the interval that the sender asked
// for.
func progressReporter(stream nodepb.DRPCNode_ForwardStream, m *nodepb.ForwardRequest) Progress {
	if m.ProgressMs == 0 {
		return Progress{}
	}
	interval := max(time.Duration(m.ProgressMs)*time.Millisecond, minProgressInterval)
	return Progress{Interval: interval, Report: func() {
		// An error closes the stream, which cancels the context of the request.
		if stream.Send(&nodepb.ForwardResponse{Correlation: m.Correlation, Running: true}) == nil {
			_ = flush(stream)
		}
	}}
}

// flush sends the buffered messages of a stream.
func flush(stream any) error {
	wrapper, ok := stream.(interface{ GetStream() drpc.Stream })
	if !ok {
		return nil
	}
	if flusher, ok := wrapper.GetStream().(interface{ RawFlush() error }); ok {
		return flusher.RawFlush()
	}
	return nil
}

// Ping implements nodepb.DRPCNodeServer. It submits no job to a worker pool, as it only checks the connection.
func (e *nodeEndpoint) Ping(context.Context, *nodepb.PingRequest) (*nodepb.PingResponse, error) {
	return &nodepb.PingResponse{}, nil
}

// Release implements nodepb.DRPCNodeServer.
func (e *nodeEndpoint) Release(ctx context.Context, m *nodepb.ReleaseRequest) (*nodepb.ReleaseResponse, error) {
	result, err := e.service.Release(ctx, decodeReleaseRequest(m))
	if err != nil {
		return nil, err
	}
	return encodeReleaseResult(result), nil
}

// Snapshot implements nodepb.DRPCNodeServer.
func (e *nodeEndpoint) Snapshot(ctx context.Context, _ *nodepb.SnapshotRequest) (*nodepb.SnapshotResponse, error) {
	s, err := e.service.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	return &nodepb.SnapshotResponse{LedgerOffset: uint64(s.Offset), State: s.State}, nil
}
