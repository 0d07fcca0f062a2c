package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

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
)

// Client calls other nodes over drpc. It is safe for concurrent use.
type Client struct {
	pool        *drpcpool.Pool[string, *drpcconn.Conn]
	correlation atomic.Uint64
}

var _ Peers = (*Client)(nil)

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  idleConnectionTime,
		KeyCapacity: maxIdlePerPeer,
		Capacity:    maxIdleConnections,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// dial opens a connection. Its failure proves that nothing was sent.
func dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, problem.New(problem.NotSent, unreachableRemedy, "connection to node %s: %w", address, err)
	}
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()}), nil
}

// call runs one call on a pooled or new connection. A connection whose call failed is closed.
func (c *Client) call(ctx context.Context, address string, do func(nodepb.DRPCNodeClient) error) error {
	conn, ok := c.pool.Take(address)
	if !ok {
		var err error
		if conn, err = dial(ctx, address); err != nil {
			return err
		}
	}
	if err := do(nodepb.NewDRPCNodeClient(conn)); err != nil {
		_ = conn.Close()
		return problem.New(problem.Unavailable, outcomeUnknownRemedy, "call to node %s: %w", address, err)
	}
	c.pool.Put(address, conn)
	return nil
}

// Forward sends the request to the owner at address; see Peers.
func (c *Client) Forward(ctx context.Context, address string, f Forwarded) (request.Answer, error) {
	correlation := c.correlation.Add(1)
	message := encodeForward(f, correlation, time.Now())
	ctx, cancel := context.WithDeadline(ctx, f.Request.Deadline)
	defer cancel()
	var answer request.Answer
	err := c.call(ctx, address, func(n nodepb.DRPCNodeClient) error {
		response, err := n.Forward(ctx, message)
		if err != nil {
			return err
		}
		answer, err = decodeAnswer(response, correlation)
		return err
	})
	return answer, err
}

// Release asks a node to release slices; see Peers.
func (c *Client) Release(ctx context.Context, address string, r ReleaseRequest) (ReleaseResult, error) {
	var result ReleaseResult
	err := c.call(ctx, address, func(n nodepb.DRPCNodeClient) error {
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
	err := c.call(ctx, address, func(n nodepb.DRPCNodeClient) error {
		response, err := n.Snapshot(ctx, &nodepb.SnapshotRequest{})
		if err == nil {
			snapshot = Snapshot{Offset: ledger.Offset(response.LedgerOffset), State: response.State}
		}
		return err
	})
	return snapshot, err
}
