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
}

// dial opens a connection. If it fails, nothing was sent.
func (c *connPool) dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, problem.New(problem.NotSent, unreachableRemedy, "connection to node %s: %w", address, err)
	}
	watchdog := &watchdogConn{Conn: transport, connPool: c, address: address, lastReceived: time.Now()}
	drpc := drpcconn.NewWithOptions(watchdog, drpcconn.Options{Manager: managerOptions()})
	return &connection{Conn: drpc, watchdog: watchdog}, nil
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
