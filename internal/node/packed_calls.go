package node

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpccache"

	"heatherreel/internal/bootclock"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/wirefields"
)

// packedDispatchCall is the name of packed calls of Dispatch, which is sent with each of them. Nodes of earlier versions
// refuse it before they read the request, so that they cannot run one whose head they do not understand.
const packedDispatchCall = "d"

// unknownPackedCall ends the error with which a node of an earlier version refuses a packed call (drpcmux of drpc 1.1.0).
const unknownPackedCall = `unknown rpc: "` + packedDispatchCall + `"`

// errPackedCallRefused is the error of a packed call to a node of an earlier version. The request has not run.
var errPackedCallRefused = errors.New("the node does not accept packed calls")

// sendError is the error of a request whose message was not sent completely.
type sendError struct{ error }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.error }

// explainRefusal returns errPackedCallRefused if a packed call failed with err because the node does not know it.
//
// While a long message is sent, drpc returns io.EOF if the node has ended the call with an error. A node runs a request only
// once it has read the whole message, so that this one has not run either. In the short time between the last write of the
// message and the wait for the answer, the same error leaves the outcome unknown.
func explainRefusal(err error) error {
	var unsent *sendError
	if errors.As(err, &unsent) && unsent.error == io.EOF || strings.HasSuffix(err.Error(), unknownPackedCall) {
		return errPackedCallRefused
	}
	return err
}

// packedDescription describes packed calls of Dispatch for drpc.
type packedDescription struct{}

// NumMethods implements drpc.Description.
func (packedDescription) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (packedDescription) Method(int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	for i := range (nodepb.DRPCRouterDescription{}).NumMethods() {
		if name, encoding, receiver, method, ok := (nodepb.DRPCRouterDescription{}).Method(i); name == dispatchCall {
			return packedDispatchCall, encoding, receiver, method, ok
		}
	}
	return "", nil, nil, nil, false
}

// packedEndpoint handles packed calls of Dispatch.
type packedEndpoint struct {
	*routerEndpoint
	table *wirefields.Table
}

// Dispatch implements nodepb.DRPCRouterServer.
func (e packedEndpoint) Dispatch(m *nodepb.DispatchRequest, stream nodepb.DRPCRouter_DispatchStream) error {
	state, ok := packedStateOf(stream.Context())
	if !ok {
		return problem.New(problem.Invalid, "report this as a defect", "the connection keeps no state")
	}
	delay := e.pathDelays.observe(state.packedClock(m), decodeReading(m.SentUs), decodeDuration(m.PathDelayUs), bootclock.Now())
	r, err := decodePackedDispatch(e.table, m, time.Now(), delay, state)
	if err != nil {
		return err
	}
	answer := e.service.Dispatch(stream.Context(), r, dispatchProgress(stream))
	return stream.Send(encodePackedAnswer(e.table, answer, &r, state))
}

type packedStateKey struct{}

// packedStateOf returns the state of the connection to which the context of a call belongs. drpc makes one call of a
// connection after the other.
func packedStateOf(ctx context.Context) (*packedState, bool) {
	cache := drpccache.FromContext(ctx)
	if cache == nil {
		return nil, false
	}
	state, ok := cache.LoadOrCreate(packedStateKey{}, func() any { return new(packedState) }).(*packedState)
	return state, ok
}

// packedConn is a connection on which Dispatch is a packed call.
type packedConn struct{ drpc.Conn }

// NewStream implements drpc.Conn.
func (c packedConn) NewStream(ctx context.Context, _ string, encoding drpc.Encoding) (drpc.Stream, error) {
	return c.Conn.NewStream(ctx, packedDispatchCall, encoding)
}

// maxPackingPeers bounds the addresses that are kept, at about five times the nodes of a large fleet. When it is reached,
// all are dropped, which costs some bytes per peer until its next answer.
const maxPackingPeers = 4096

// packingPeers holds the addresses whose nodes accept packed calls. It is kept by address and not by connection because
// connections are often used for a few requests only. The zero value is ready for use.
//
// mu guards the fields below it. No other lock is acquired while it is held.
type packingPeers struct {
	mu        sync.Mutex
	addresses map[string]struct{}
}

func (p *packingPeers) accepts(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.addresses[address]
	return ok
}

// record keeps whether the node at the address accepts packed calls.
func (p *packingPeers) record(address string, accepts bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !accepts {
		delete(p.addresses, address)
		return
	}
	if _, ok := p.addresses[address]; ok {
		return
	}
	if len(p.addresses) >= maxPackingPeers {
		clear(p.addresses)
	}
	if p.addresses == nil {
		p.addresses = map[string]struct{}{}
	}
	p.addresses[address] = struct{}{}
}
