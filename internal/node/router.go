package node

import (
	"context"
	"time"

	"storj.io/drpc/drpcmux"

	"heatherreel/internal/bootclock"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/routed"
)

// NewRouterServer returns a server that decodes the calls of the Router service of node.proto and passes them to
// service.
func NewRouterServer(service RouterService) (*Server, error) {
	mux := drpcmux.New()
	if err := nodepb.DRPCRegisterRouter(mux, &routerEndpoint{service: service, pathDelays: newPathDelays()}); err != nil {
		return nil, problem.New(problem.Invalid, "report this as a defect", "register the router service: %w", err)
	}
	if err := nodepb.DRPCRegisterNode(mux, &pingEndpoint{}); err != nil {
		return nil, problem.New(problem.Invalid, "report this as a defect", "register the ping service: %w", err)
	}
	return newServer(mux), nil
}

// routerEndpoint decodes calls of the Router service and encodes the answers.
type routerEndpoint struct {
	service    RouterService
	pathDelays *pathDelays
}

// pingEndpoint implements only Ping of the Node service, with which clients verify idle connections.
type pingEndpoint struct {
	nodepb.DRPCNodeUnimplementedServer
}

// Ping implements nodepb.DRPCNodeServer.
func (*pingEndpoint) Ping(context.Context, *nodepb.PingRequest) (*nodepb.PingResponse, error) {
	return &nodepb.PingResponse{}, nil
}

// Dispatch implements nodepb.DRPCRouterServer.
func (e *routerEndpoint) Dispatch(m *nodepb.DispatchRequest, stream nodepb.DRPCRouter_DispatchStream) error {
	delay := e.pathDelays.observe(m.Clock, decodeReading(m.SentUs), decodeDuration(m.PathDelayUs), bootclock.Now())
	r := decodeDispatch(m, time.Now(), delay)
	progress := DispatchProgress{Interval: dispatchProgressInterval, Report: func() {
		// An error closes the stream, which cancels the context of the request.
		if stream.Send(&nodepb.DispatchResponse{Running: true}) == nil {
			_ = flush(stream)
		}
	}}
	return stream.Send(encodeDispatchAnswer(e.service.Dispatch(stream.Context(), r, progress)))
}

// Probe implements nodepb.DRPCRouterServer. It submits no job to a worker pool, as it only checks whether the node
// runs.
func (e *routerEndpoint) Probe(_ context.Context, m *nodepb.ProbeRequest) (*nodepb.ProbeResponse, error) {
	instance, load := e.service.Probe(m.RangesEnd)
	return &nodepb.ProbeResponse{Instance: instance, Load: encodeLoad(load)}, nil
}

// Dispatch sends a request to the node at address. Errors are problem.NotSent if the request was not sent, and
// problem.Unavailable if its outcome is unknown.
//
// onSilent, unless it is nil, is called once when the node has been silent for so long that the request should be sent
// to another node as well, if r.Repetition allows that. The answer is still awaited, until ctx ends or the node refuses a
// new connection. onSilent must not block; it may be called when Dispatch has just returned. It is not called for a request
// whose body is a stream, which cannot be sent twice.
func (c *Client) Dispatch(ctx context.Context, address string, r routed.Request, onSilent func(PeerState)) (routed.Answer, error) {
	if r.Stream != nil {
		return c.dispatchStream(ctx, address, r)
	}
	conn, err := c.connPool.take(ctx, address, !r.Idempotent)
	if err != nil {
		return routed.Answer{}, err
	}
	sent := time.Now()
	rule := newSilenceRule(dispatchSilenceLimit, dispatchProgressInterval, r.Deadline.Sub(sent), dispatchPatience(r.Repetition))
	rule.onSilent = onSilent
	if rule.patience == untilLimit {
		// A node reports progress an interval after the arrival.
		r.ArriveWithin = sendTime(len(r.Body)) + dispatchSilenceLimit - dispatchProgressInterval
	}
	conn.watchdog.arm(rule, sendTime(len(r.Body)))
	answer, err := exchangeDispatch(ctx, conn, encodeDispatch(r, sent, sendTimes{clock: c.clock, sent: bootclock.Now(), pathDelay: conn.pathDelay(sent)}))
	conn.watchdog.disarm()
	return answer, c.finishCall(address, conn, c.explainSilence(address, conn, sent, dispatchProgressInterval, err))
}

// dispatchPatience returns when silence is reported for a request, so that it is repeated. The first send is not given up
// for that: TCP may repeat lost packets seconds after new connections work again.
func dispatchPatience(r routed.Repetition) patience {
	switch r {
	case routed.RepeatedElsewhere:
		return untilLimit
	case routed.RepeatedAtOwner:
		return untilDead
	default:
		return untilRefused
	}
}

// exchangeDispatch sends a request on a connection and waits for its answer.
func exchangeDispatch(ctx context.Context, conn *connection, m *nodepb.DispatchRequest) (routed.Answer, error) {
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
			// The answer is complete, but the connection cannot be used again.
			_ = conn.Close()
		}
		return decodeDispatchAnswer(response), nil
	}
}

// Probe returns the instance name and the load of the node at address. rangesEnd is the end offset up to which this
// node has read the ownership records.
func (c *Client) Probe(ctx context.Context, address string, rangesEnd int64) (instance string, load routed.Load, err error) {
	conn, err := c.connPool.take(ctx, address, false)
	if err != nil {
		return "", routed.Load{}, err
	}
	response, err := nodepb.NewDRPCRouterClient(conn).Probe(ctx, &nodepb.ProbeRequest{RangesEnd: rangesEnd})
	return response.GetInstance(), decodeLoad(response.GetLoad()), c.finishCall(address, conn, err)
}
