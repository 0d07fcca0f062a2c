package node

import (
	"context"
	"net"
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
	drpc *drpcserver.Server
}

// NewServer returns a server that decodes the calls of the Node service of node.proto and passes them to service.
func NewServer(service Service) (*Server, error) {
	mux := drpcmux.New()
	if err := nodepb.DRPCRegisterNode(mux, &nodeEndpoint{service: service}); err != nil {
		return nil, problem.New(problem.Invalid, "report this as a defect", "register the node service: %w", err)
	}
	return &Server{drpc: drpcserver.NewWithOptions(mux, serverOptions())}, nil
}

// Serve accepts connections until ctx ends. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return s.drpc.Serve(ctx, listener)
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
