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
)

// Bounds of the connections to other nodes.
const (
	dialTimeout = 500 * time.Millisecond
	// idleConnectionTime keeps the number of open connections near those that requests need.
	idleConnectionTime     = 30 * time.Second
	maxIdlePerPeer         = 32
	maxIdleConnections     = 1024
	unreachableRemedy      = "check the node and the network between the two addresses"
	outcomeUnknownRemedy   = "repeat the request with the same request id"
	maxForwardedAnswerSize = 16 << 20
	// provedTime is how long data that arrived shows that a connection works. A ping costs a request a round trip, so
	// that it is made only where requests are rare.
	provedTime = 500 * time.Millisecond
	// pingTimeout is several round trips between regions (16 ms). A ping that a slow peer misses costs a new connection.
	pingTimeout = 150 * time.Millisecond
)

// Client calls other nodes over drpc. It is safe for concurrent use.
type Client struct {
	connections *connections
	correlation atomic.Uint64
}

var _ Peers = (*Client)(nil)

// NewClient returns a client without open connections.
func NewClient() *Client { return &Client{connections: newConnections()} }

// Close closes the idle connections.
func (c *Client) Close() error { return c.connections.close() }

// control runs a call that is not a caller's request. Control calls are rare, so that their connection is proved first;
// their answer has no bound but the deadline.
func (c *Client) control(ctx context.Context, address string, do func(nodepb.DRPCNodeClient) error) error {
	conn, err := c.connections.take(ctx, address, true)
	if err != nil {
		return err
	}
	return c.finish(address, conn, do(nodepb.NewDRPCNodeClient(conn)))
}

// finish keeps a connection after a call, or closes it if the call failed.
func (c *Client) finish(address string, conn *connection, err error) error {
	if err != nil {
		_ = conn.Close()
		return problem.New(problem.Unavailable, outcomeUnknownRemedy, "call to node %s: %w", address, err)
	}
	c.connections.put(address, conn)
	return nil
}

// Forward sends the request to the owner at address; see Peers.
func (c *Client) Forward(ctx context.Context, address string, f Forwarded) (request.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, f.Request.Deadline)
	defer cancel()
	conn, err := c.connections.take(ctx, address, !f.Request.Idempotent)
	if err != nil {
		return request.Answer{}, err
	}
	sent := time.Now()
	message := encodeForward(f, c.correlation.Add(1), sent)
	conn.transport.watch(firstSilence(len(f.Request.Body)), silenceLimit)
	answer, err := exchange(ctx, conn, message)
	conn.transport.rest()
	interval := progressInterval(f.Request.Deadline.Sub(sent))
	if err != nil && !conn.transport.heardAfter(sent) && provesSilence(time.Since(sent), interval) {
		c.connections.dropSilent(address, sent)
	}
	return answer, c.finish(address, conn, err)
}

// exchange sends a request and waits for its answer. The end of the stream is read as well, so that the connection is
// free for the next call.
func exchange(ctx context.Context, conn *connection, message *nodepb.ForwardRequest) (request.Answer, error) {
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
		// The answer is whole; only the connection cannot be used again.
		_ = conn.Close()
	}
	return answer, nil
}

// receiveAnswer passes over the responses that only tell of progress.
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
			return request.Answer{}, errCrossed(response.Correlation, correlation)
		}
	}
}

// Release asks a node to release slices; see Peers.
func (c *Client) Release(ctx context.Context, address string, r ReleaseRequest) (ReleaseResult, error) {
	var result ReleaseResult
	err := c.control(ctx, address, func(n nodepb.DRPCNodeClient) error {
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
	err := c.control(ctx, address, func(n nodepb.DRPCNodeClient) error {
		response, err := n.Snapshot(ctx, &nodepb.SnapshotRequest{})
		if err == nil {
			snapshot = Snapshot{Offset: ledger.Offset(response.LedgerOffset), State: response.State}
		}
		return err
	})
	return snapshot, err
}
