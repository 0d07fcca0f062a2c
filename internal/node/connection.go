package node

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
)

// connection is a client connection to another node.
type connection struct {
	*drpcconn.Conn
	watchdog *watchdogConn
	// suspect is set while the connection is idle if another one to the same peer went silent and the peer was not
	// checked or does not answer.
	suspect bool
	// openedAt is when the connection was opened, and openTime how long that took.
	openedAt time.Time
	openTime time.Duration
	// packed is the state of packed calls. Only the call that has taken the connection from the pool uses it.
	packed packedState
}

// dial opens a connection. If it fails, nothing was sent.
func (c *connPool) dial(ctx context.Context, address string) (*connection, error) {
	started := time.Now()
	dialer := net.Dialer{Timeout: dialTimeout}
	transport, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, problem.New(problem.NotSent, unreachableRemedy, "connection to node %s: %w", address, err)
	}
	opened := time.Now()
	watchdog := &watchdogConn{Conn: transport, connPool: c, address: address, lastReceived: opened}
	drpc := drpcconn.NewWithOptions(watchdog, drpcconn.Options{Manager: managerOptions()})
	return &connection{Conn: drpc, watchdog: watchdog, openedAt: opened, openTime: opened.Sub(started)}, nil
}

// pathDelay returns the delay of the path to the peer if the connection was opened just before now, otherwise 0. Opening
// it takes one round trip, of which a request needs half.
func (c *connection) pathDelay(now time.Time) time.Duration {
	if now.Sub(c.openedAt) > pathDelayValidity {
		return 0
	}
	return c.openTime / 2
}

// needsPing reports whether the connection is pinged before a request is sent on it.
func (c *connection) needsPing(verify bool, now time.Time) bool {
	return c.suspect || verify && !c.watchdog.receivedAfter(now.Add(-livenessWindow))
}

// ping checks that the connection carries data in both directions.
func (c *connection) ping(ctx context.Context, timeout time.Duration) error {
	c.watchdog.arm(silenceRule{limit: timeout}, 0)
	defer c.watchdog.disarm()
	_, err := nodepb.NewDRPCNodeClient(c).Ping(ctx, &nodepb.PingRequest{})
	return err
}
