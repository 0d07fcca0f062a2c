package node

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"heatherreel/internal/ledger"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
	"heatherreel/internal/wirefields"
)

// Limits of the connections to other nodes.
const (
	dialTimeout = 500 * time.Millisecond
	// idleConnectionTime is the time after which an unused connection is closed, so that the number of open connections
	// stays close to what requests need.
	idleConnectionTime   = 30 * time.Second
	maxIdlePerPeer       = 32
	maxIdleConnections   = 1024
	unreachableRemedy    = "check the node and the network between the two addresses"
	outcomeUnknownRemedy = "repeat the request with the same request id"
	// maxMessageSize is the maximum size of a drpc message, in bytes.
	maxMessageSize = 16 << 20
	// livenessWindow is how long a connection counts as working after data arrived on it. As a ping before a request
	// adds a round trip, the window is long enough that only peers with few requests are pinged.
	livenessWindow = 500 * time.Millisecond
	// pingTimeout covers several round trips between regions, of 16 ms each. If a slow peer exceeds it, a new
	// connection is opened.
	pingTimeout = 150 * time.Millisecond
	// ControlSilenceTimeout is the longest time without data while the answer to a Release or Snapshot is due or arrives. A
	// source waits up to 250 ms before it answers a Release, and a node on a slow processor needs some 100 ms to encode its
	// state.
	ControlSilenceTimeout = 2 * time.Second
)

// Client calls other nodes over drpc. It is safe for concurrent use.
type Client struct {
	connPool    *connPool
	correlation atomic.Uint64
	// clock identifies the clock of this process in requests.
	clock uint64
	// packing is the table for packed calls of Dispatch; nil if the client makes none.
	packing *wirefields.Table
	// packingPeers are the nodes to which requests are sent in packed calls of Dispatch.
	packingPeers packingPeers
}

var _ Peers = (*Client)(nil)

// NewClient returns a client without open connections.
func NewClient() *Client { return NewPackingClient(nil) }

// NewPackingClient returns a client that sends requests in packed calls of Dispatch to nodes that accept them, unless table is
// nil. Such nodes must have the same table.
func NewPackingClient(table *wirefields.Table) *Client {
	return &Client{connPool: newConnPool(), clock: newClockID(), packing: table}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.connPool.close() }

// callControl makes a call that is not a caller's request. As control calls are rare, an idle connection is verified
// first. The call ends when the peer is silent for ControlSilenceTimeout, and goes on while its answer arrives.
func (c *Client) callControl(ctx context.Context, address string, call func(nodepb.DRPCNodeClient) error) error {
	conn, err := c.connPool.take(ctx, address, true)
	if err != nil {
		return err
	}
	conn.watchdog.arm(silenceRule{limit: ControlSilenceTimeout}, 0)
	err = call(nodepb.NewDRPCNodeClient(conn))
	conn.watchdog.disarm()
	return c.finishCall(address, conn, err)
}

// finishCall returns a connection to the pool after a call, or closes it if the call failed.
func (c *Client) finishCall(address string, conn *connection, err error) error {
	if err != nil {
		_ = conn.Close()
		return problem.New(problem.Unavailable, outcomeUnknownRemedy, "call to node %s: %w", address, err)
	}
	c.connPool.put(address, conn)
	return nil
}

// Forward sends the request to the owner at address; see Peers.
func (c *Client) Forward(ctx context.Context, address string, f ForwardedRequest) (request.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, f.Request.Deadline)
	defer cancel()
	conn, err := c.connPool.take(ctx, address, !f.Request.Idempotent)
	if err != nil {
		return request.Answer{}, err
	}
	sent := time.Now()
	message := encodeForward(f, c.correlation.Add(1), sent)
	remaining := f.Request.Deadline.Sub(sent)
	interval := progressInterval(remaining)
	// Only the owner can run the request, so that another send could only go the same way.
	conn.watchdog.arm(newSilenceRule(silenceLimit, interval, remaining, untilDead), sendTime(len(f.Request.Body)))
	answer, err := exchangeForward(ctx, conn, message)
	conn.watchdog.disarm()
	return answer, c.finishCall(address, conn, c.explainSilence(address, conn, sent, interval, err))
}

// explainSilence adds the state of the peer to the error of a call whose connection was silent. The other idle
// connections to the peer that are silent as well are closed, or suspect if nothing is known about the peer.
func (c *Client) explainSilence(address string, conn *connection, sent time.Time, interval time.Duration, err error) error {
	if err == nil {
		return nil
	}
	state, silent := conn.watchdog.silentPeer()
	if !conn.watchdog.receivedAfter(sent) && reportOverdue(time.Since(sent), interval) {
		switch state {
		case PeerAnswers, PeerRefuses:
			c.connPool.closeSilent(address, sent)
		default:
			c.connPool.suspectSilent(address, sent)
		}
	}
	if silent {
		return &SilenceError{Peer: state, Cause: err}
	}
	return err
}

// exchangeForward sends a request and waits for its answer. It also reads the end of the stream, so that the connection
// can be used for the next call.
func exchangeForward(ctx context.Context, conn *connection, message *nodepb.ForwardRequest) (request.Answer, error) {
	stream, err := nodepb.NewDRPCNodeClient(conn).Forward(ctx, message)
	if err != nil {
		return request.Answer{}, err
	}
	defer stream.Close()
	answer, err := receiveAnswer(stream, message.Correlation)
	if err != nil {
		return request.Answer{}, err
	}
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		// The answer is complete, but the connection cannot be used again.
		_ = conn.Close()
	}
	return answer, nil
}

// receiveAnswer returns the first response that is not a progress report.
func receiveAnswer(stream nodepb.DRPCNode_ForwardClient, correlation uint64) (request.Answer, error) {
	for {
		response, err := stream.Recv()
		if err != nil {
			return request.Answer{}, err
		}
		if !response.Running {
			return decodeAnswer(response, correlation)
		}
		if response.Correlation != correlation {
			return request.Answer{}, errCorrelationMismatch(response.Correlation, correlation)
		}
	}
}

// Release asks a node to release slices; see Peers.
func (c *Client) Release(ctx context.Context, address string, r ReleaseRequest) (ReleaseResult, error) {
	var result ReleaseResult
	err := c.callControl(ctx, address, func(n nodepb.DRPCNodeClient) error {
		response, err := n.Release(ctx, encodeReleaseRequest(r))
		if err != nil {
			return err
		}
		result, err = decodeReleaseResult(response)
		return err
	})
	return result, err
}

// Snapshot asks a node for its replayed state; see Peers.
func (c *Client) Snapshot(ctx context.Context, address string) (Snapshot, error) {
	var snapshot Snapshot
	err := c.callControl(ctx, address, func(n nodepb.DRPCNodeClient) error {
		response, err := n.Snapshot(ctx, &nodepb.SnapshotRequest{})
		if err == nil {
			snapshot = Snapshot{Offset: ledger.Offset(response.LedgerOffset), State: response.State}
		}
		return err
	})
	return snapshot, err
}
