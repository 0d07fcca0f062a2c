package node

import (
	"context"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/routed"
)

// NewRouterServer returns a server that hands decoded calls for routes to the service.
func NewRouterServer(service RouterService) (*Server, error) {
	mux := drpcmux.New()
	if err := nodepb.DRPCRegisterRouter(mux, &routerEndpoint{service: service}); err != nil {
		return nil, problem.New(problem.Invalid, "report this as a defect", "register the router service: %w", err)
	}
	if err := nodepb.DRPCRegisterNode(mux, &pingEndpoint{}); err != nil {
		return nil, problem.New(problem.Invalid, "report this as a defect", "register the ping: %w", err)
	}
	return &Server{drpc: drpcserver.NewWithOptions(mux, serverOptions())}, nil
}

// routerEndpoint decodes calls for the service and encodes its answers.
type routerEndpoint struct {
	service RouterService
}

// pingEndpoint answers the pings by which clients prove idle connections, and no other call of the service.
type pingEndpoint struct {
	nodepb.DRPCNodeUnimplementedServer
}

// Ping implements nodepb.DRPCNodeServer.
func (*pingEndpoint) Ping(context.Context, *nodepb.PingRequest) (*nodepb.PingResponse, error) {
	return &nodepb.PingResponse{}, nil
}

// Dispatch implements nodepb.DRPCRouterServer.
func (e *routerEndpoint) Dispatch(m *nodepb.DispatchRequest, stream nodepb.DRPCRouter_DispatchStream) error {
	r := decodeDispatch(m, time.Now())
	progress := DispatchProgress{Interval: dispatchProgress, Report: func() {
		// An error ends the stream, and with it the context of the request.
		if stream.Send(&nodepb.DispatchResponse{Running: true}) == nil {
			_ = flush(stream)
		}
	}}
	return stream.Send(encodeDispatchAnswer(e.service.Dispatch(stream.Context(), r, progress)))
}

// Probe implements nodepb.DRPCRouterServer. It submits no job: it asks whether the node runs.
func (e *routerEndpoint) Probe(_ context.Context, m *nodepb.ProbeRequest) (*nodepb.ProbeResponse, error) {
	instance, load := e.service.Probe(m.RangesEnd)
	return &nodepb.ProbeResponse{Instance: instance, Load: encodeLoad(load)}, nil
}

// Dispatch sends a request to the node at address. Errors are problem.NotSent when the request never left this node, and
// problem.Unavailable when nothing is known about its effect.
func (c *Client) Dispatch(ctx context.Context, address string, r routed.Request) (routed.Answer, error) {
	conn, err := c.connections.take(ctx, address, !r.Idempotent)
	if err != nil {
		return routed.Answer{}, err
	}
	sent := time.Now()
	conn.transport.watch(dispatchSilence+firstSilence(len(r.Body))-silenceLimit, dispatchSilence)
	answer, err := dispatch(ctx, conn, encodeDispatch(r, sent))
	conn.transport.rest()
	if err != nil && !conn.transport.heardAfter(sent) && provesSilence(time.Since(sent), dispatchProgress) {
		c.connections.dropSilent(address, sent)
	}
	return answer, c.finish(address, conn, err)
}

// dispatch sends a request on a connection and waits for its answer.
func dispatch(ctx context.Context, conn *connection, m *nodepb.DispatchRequest) (routed.Answer, error) {
	stream, err := nodepb.NewDRPCRouterClient(conn).Dispatch(ctx, m)
	if err != nil {
		return routed.Answer{}, err
	}
	defer stream.Close()
	for {
		response, err := stream.Recv()
		if err != nil {
			return routed.Answer{}, err
		}
		if response.Running {
			continue
		}
		if _, err := stream.Recv(); err == nil {
			// The answer is whole; only the connection cannot be used again.
			_ = conn.Close()
		}
		return decodeDispatchAnswer(response), nil
	}
}

// Probe returns the name and the load of the node at address, and tells it up to where this node knows the ownership records.
func (c *Client) Probe(ctx context.Context, address string, rangesEnd int64) (instance string, load routed.Load, err error) {
	conn, err := c.connections.take(ctx, address, false)
	if err != nil {
		return "", routed.Load{}, err
	}
	response, err := nodepb.NewDRPCRouterClient(conn).Probe(ctx, &nodepb.ProbeRequest{RangesEnd: rangesEnd})
	return response.GetInstance(), decodeLoad(response.GetLoad()), c.finish(address, conn, err)
}
