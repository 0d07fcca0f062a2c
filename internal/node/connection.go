package node

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
)

// connection is a client connection to another node.
type connection struct {
	*drpcconn.Conn
	transport *watchedConn
}

// dial opens a connection. Its failure proves that nothing was sent.
func dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, problem.New(problem.NotSent, unreachableRemedy, "connection to node %s: %w", address, err)
	}
	watched := &watchedConn{Conn: transport, received: time.Now()}
	drpc := drpcconn.NewWithOptions(watched, drpcconn.Options{Manager: managerOptions()})
	return &connection{Conn: drpc, transport: watched}, nil
}

// ping shows whether the connection carries data in both directions.
func (c *connection) ping(ctx context.Context) error {
	c.transport.watch(pingTimeout, pingTimeout)
	defer c.transport.rest()
	_, err := nodepb.NewDRPCNodeClient(c).Ping(ctx, &nodepb.PingRequest{})
	return err
}

// watchedConn fails its pending read when the peer has sent nothing for too long while a call waits. drpc always has a
// read pending and closes the connection when it fails, so that no further goroutine or timer is needed.
//
// mu guards the other fields and orders changes of the read deadline. No other lock is acquired under it.
type watchedConn struct {
	net.Conn

	mu sync.Mutex
	// limit is the longest silence of the peer; zero while no call waits.
	limit time.Duration
	// received is when data last arrived, or when the connection was opened.
	received time.Time
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.noteReceived()
	}
	return n, err
}

func (c *watchedConn) noteReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = time.Now()
	if c.limit > 0 {
		_ = c.SetReadDeadline(c.received.Add(c.limit))
	}
}

// watch bounds the silence of the peer from now on: first until it sends anything, then limit after each piece.
func (c *watchedConn) watch(first, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = limit
	_ = c.SetReadDeadline(time.Now().Add(first))
}

// rest ends the watch.
func (c *watchedConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = 0
	_ = c.SetReadDeadline(time.Time{})
}

// heardAfter reports whether data arrived, or the connection was opened, after the time.
func (c *watchedConn) heardAfter(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received.After(t)
}
