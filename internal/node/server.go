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

// managerOptions bounds the size of one message in both directions. A message and the end of its stream are sent in one
// piece, which saves a packet in each direction.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxForwardedAnswerSize},
		Stream: drpcstream.Options{ManualFlush: true},
	}
}

// serverOptions closes connections that the other side has long given up; a silent one does not carry its close.
func serverOptions() drpcserver.Options {
	options := managerOptions()
	options.InactivityTimeout = 2 * idleConnectionTime
	return drpcserver.Options{Manager: options}
}

// Server answers the calls of other nodes over drpc.
type Server struct {
	drpc *drpcserver.Server
}

// NewServer returns a server that hands decoded calls to the service.
func NewServer(service Service) (*Server, error) {
	mux := drpcmux.New()
	if err := nodepb.DRPCRegisterNode(mux, &endpoint{service: service}); err != nil {
		return nil, problem.New(problem.Invalid, "report this as a defect", "register the node service: %w", err)
	}
	return &Server{drpc: drpcserver.NewWithOptions(mux, serverOptions())}, nil
}

// Serve accepts connections until ctx ends. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return s.drpc.Serve(ctx, listener)
}

// endpoint decodes calls for the service and encodes its answers.
type endpoint struct {
	service Service
}

// Forward implements nodepb.DRPCNodeServer.
func (e *endpoint) Forward(m *nodepb.ForwardRequest, stream nodepb.DRPCNode_ForwardStream) error {
	f, err := decodeForward(m, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(stream.Context(), f.Request.Deadline)
	defer cancel()
	f.Progress = progressOn(stream, m)
	return stream.Send(encodeAnswer(e.service.Forward(ctx, f), m.Correlation))
}

// progressOn reports the progress of a request on its stream.
func progressOn(stream nodepb.DRPCNode_ForwardStream, m *nodepb.ForwardRequest) Progress {
	if m.ProgressMs == 0 {
		return Progress{}
	}
	interval := max(time.Duration(m.ProgressMs)*time.Millisecond, minProgressInterval)
	return Progress{Interval: interval, Report: func() {
		// An error ends the stream, and with it the context of the request.
		if stream.Send(&nodepb.ForwardResponse{Correlation: m.Correlation, Running: true}) == nil {
			_ = flush(stream)
		}
	}}
}

// flush sends what the stream holds back.
func flush(stream any) error {
	holder, ok := stream.(interface{ GetStream() drpc.Stream })
	if !ok {
		return nil
	}
	if flusher, ok := holder.GetStream().(interface{ RawFlush() error }); ok {
		return flusher.RawFlush()
	}
	return nil
}

// Ping implements nodepb.DRPCNodeServer. It submits no job: a ping asks about the connection only.
func (e *endpoint) Ping(context.Context, *nodepb.PingRequest) (*nodepb.PingResponse, error) {
	return &nodepb.PingResponse{}, nil
}

// Release implements nodepb.DRPCNodeServer.
func (e *endpoint) Release(ctx context.Context, m *nodepb.ReleaseRequest) (*nodepb.ReleaseResponse, error) {
	result, err := e.service.Release(ctx, decodeReleaseRequest(m))
	if err != nil {
		return nil, err
	}
	return encodeReleaseResult(result), nil
}

// Snapshot implements nodepb.DRPCNodeServer.
func (e *endpoint) Snapshot(ctx context.Context, _ *nodepb.SnapshotRequest) (*nodepb.SnapshotResponse, error) {
	s, err := e.service.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	return &nodepb.SnapshotResponse{LedgerOffset: uint64(s.Offset), State: s.State}, nil
}
