package node

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
)

// managerOptions bounds the size of one message in both directions.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxForwardedAnswerSize}}
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
	return &Server{drpc: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})}, nil
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
func (e *endpoint) Forward(ctx context.Context, m *nodepb.ForwardRequest) (*nodepb.ForwardResponse, error) {
	f, err := decodeForward(m, time.Now())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, f.Request.Deadline)
	defer cancel()
	return encodeAnswer(e.service.Forward(ctx, f), m.Correlation), nil
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
