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
	watchdog *watchdogConn
}

// dial opens a connection. If it fails, nothing was sent.
func dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, problem.New(problem.NotSent, unreachableRemedy, "connection to node %s: %w", address, err)
	}
	watchdog := &watchdogConn{Conn: transport, lastReceived: time.Now()}
	drpc := drpcconn.NewWithOptions(watchdog, drpcconn.Options{Manager: managerOptions()})
	return &connection{Conn: drpc, watchdog: watchdog}, nil
}

// ping checks that the connection carries data in both directions.
func (c *connection) ping(ctx context.Context) error {
	c.watchdog.arm(pingTimeout, pingTimeout)
	defer c.watchdog.disarm()
	_, err := nodepb.NewDRPCNodeClient(c).Ping(ctx, &nodepb.PingRequest{})
	return err
}

// watchdogConn makes the pending read fail if the peer sends nothing for too long while a call waits for its response.
// It uses the read deadline: drpc always has a read pending and closes the connection when the read fails, so no
// further goroutine or timer is needed.
//
// mu guards the other fields and serializes changes of the read deadline. No other lock is acquired while it is held.
type watchdogConn struct {
	net.Conn

	mu sync.Mutex
	// maxSilence is the longest allowed time without data from the peer; zero while no call waits.
	maxSilence time.Duration
	// lastReceived is when data last arrived, or when the connection was opened.
	lastReceived time.Time
}

// Read implements net.Conn.
func (c *watchdogConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordReceive()
	}
	return n, err
}

// recordReceive records that data arrived, and extends the read deadline if the watchdog is armed.
func (c *watchdogConn) recordReceive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = time.Now()
	if c.maxSilence > 0 {
		_ = c.SetReadDeadline(c.lastReceived.Add(c.maxSilence))
	}
}

// arm starts the watchdog: the peer must send data within initial from now, and then within maxSilence after each
// arrival.
func (c *watchdogConn) arm(initial, maxSilence time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxSilence = maxSilence
	_ = c.SetReadDeadline(time.Now().Add(initial))
}

// disarm stops the watchdog.
func (c *watchdogConn) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxSilence = 0
	_ = c.SetReadDeadline(time.Time{})
}

// receivedAfter reports whether data last arrived, or the connection was opened, after t.
func (c *watchdogConn) receivedAfter(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReceived.After(t)
}
