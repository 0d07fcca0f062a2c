package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"heatherreel/internal/bootclock"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/routed"
	"heatherreel/internal/storeera"
	"heatherreel/internal/wirefields"
)

// NewRouterServer returns a server that decodes the calls of the Router service of node.proto and passes them to
// service.
func NewRouterServer(service RouterService) (*Server, error) {
	return NewPackingRouterServer(service, nil)
}

// NewPackingRouterServer returns a server as NewRouterServer does that also accepts packed calls of Dispatch, unless table is
// nil.
func NewPackingRouterServer(service RouterService, table *wirefields.Table) (*Server, error) {
	mux := drpcmux.New()
	endpoint := &routerEndpoint{service: service, pathDelays: newPathDelays(), acceptsPacked: table != nil}
	if err := nodepb.DRPCRegisterRouter(mux, endpoint); err != nil {
		return nil, problem.New(problem.Invalid, "report this as a defect", "register the router service: %w", err)
	}
	if table != nil {
		if err := mux.Register(packedEndpoint{endpoint, table}, packedDescription{}); err != nil {
			return nil, problem.New(problem.Invalid, "report this as a defect", "register packed calls: %w", err)
		}
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
	// acceptsPacked reports whether the server accepts packed calls.
	acceptsPacked bool
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
	answer := encodeDispatchAnswer(e.service.Dispatch(stream.Context(), r, dispatchProgress(stream)))
	answer.AcceptsPacked = e.acceptsPacked
	return stream.Send(answer)
}

// dispatchProgress returns a DispatchProgress that reports on the stream of a request.
func dispatchProgress(stream nodepb.DRPCRouter_DispatchStream) DispatchProgress {
	return DispatchProgress{Interval: dispatchProgressInterval, Report: func() {
		// An error closes the stream, which cancels the context of the request.
		if stream.Send(&nodepb.DispatchResponse{Running: true}) == nil {
			_ = flush(stream)
		}
	}}
}

// Probe implements nodepb.DRPCRouterServer. It submits no job to a worker pool, as it only checks whether the node
// runs.
func (e *routerEndpoint) Probe(_ context.Context, m *nodepb.ProbeRequest) (*nodepb.ProbeResponse, error) {
	instance, load := e.service.Probe(m.RangesEnd)
	return &nodepb.ProbeResponse{Instance: instance, Load: encodeLoad(load), Era: load.Store.Era, Revision: load.Store.Revision, NoRanges: load.Store.NoRanges, Settled: load.Store.Settled, AcceptsPacked: e.acceptsPacked}, nil
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
	if c.packing == nil || !c.packingPeers.accepts(address) {
		return c.dispatch(ctx, address, r, onSilent, false)
	}
	onSilent = onlyOnce(onSilent)
	answer, err := c.dispatch(ctx, address, r, onSilent, true)
	if errors.Is(err, errPackedCallRefused) {
		// A process of an earlier version runs at the address now. The request has not run.
		c.packingPeers.record(address, false)
		return c.dispatch(ctx, address, r, onSilent, false)
	}
	return answer, err
}

// onlyOnce returns a function that calls report the first time. It is nil if report is.
func onlyOnce(report func(PeerState)) func(PeerState) {
	if report == nil {
		return nil
	}
	var reported atomic.Bool
	return func(state PeerState) {
		if reported.CompareAndSwap(false, true) {
			report(state)
		}
	}
}

// dispatch sends a request in a packed call or in one that nodes of all versions accept.
func (c *Client) dispatch(ctx context.Context, address string, r routed.Request, onSilent func(PeerState), packed bool) (routed.Answer, error) {
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
	times := sendTimes{clock: c.clock, sent: bootclock.Now(), pathDelay: conn.pathDelay(sent)}
	var answer routed.Answer
	if packed {
		answer, err = exchangePackedDispatch(ctx, conn, c.packing, &r, sent, times)
	} else {
		answer, err = c.exchangeDispatch(ctx, address, conn, encodeDispatch(r, sent, times))
	}
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

// exchangeDispatch sends a request on a connection and waits for its answer, which shows whether the node accepts packed
// calls.
func (c *Client) exchangeDispatch(ctx context.Context, address string, conn *connection, m *nodepb.DispatchRequest) (routed.Answer, error) {
	response, err := receiveDispatch(ctx, conn, conn, m)
	if err != nil {
		return routed.Answer{}, err
	}
	c.packingPeers.record(address, response.AcceptsPacked)
	return decodeDispatchAnswer(response), nil
}

// exchangePackedDispatch sends a request in a packed call and waits for its answer.
func exchangePackedDispatch(ctx context.Context, conn *connection, table *wirefields.Table, r *routed.Request, now time.Time, t sendTimes) (routed.Answer, error) {
	m, state := encodePackedDispatch(table, *r, now, t, conn.packed)
	response, err := receiveDispatch(ctx, conn, packedConn{conn}, m)
	if err != nil {
		return routed.Answer{}, explainRefusal(err)
	}
	conn.packed = state
	return decodePackedAnswer(table, response, r, &conn.packed)
}

// receiveDispatch sends a request by the calls of caller on a connection and waits for the response with its answer.
func receiveDispatch(ctx context.Context, conn *connection, caller drpc.Conn, m *nodepb.DispatchRequest) (*nodepb.DispatchResponse, error) {
	stream, err := nodepb.NewDRPCRouterClient(caller).Dispatch(ctx, m)
	if err != nil {
		return nil, &sendError{err}
	}
	defer stream.Close()
	for {
		response, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		if response.Running {
			continue
		}
		if _, err := stream.Recv(); err == nil {
			// The answer is complete, but the connection cannot be used again.
			_ = conn.Close()
		}
		return response, nil
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
	if err == nil {
		c.packingPeers.record(address, response.AcceptsPacked)
	}
	load = decodeLoad(response.GetLoad())
	load.Store = storeera.Report{Era: response.GetEra(), Revision: response.GetRevision(), NoRanges: response.GetNoRanges(),
		Settled: response.GetSettled()}
	return response.GetInstance(), load, c.finishCall(address, conn, err)
}
