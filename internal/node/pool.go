package node

import (
	"context"
	"time"

	"storj.io/drpc/drpcpool"
)

// connPool holds the idle connections to all peers. It is safe for concurrent use.
type connPool struct {
	idle *drpcpool.Pool[string, *connection]
}

func newConnPool() *connPool {
	return &connPool{idle: drpcpool.New[string, *connection](drpcpool.Options{
		Expiration:  idleConnectionTime,
		KeyCapacity: maxIdlePerPeer,
		Capacity:    maxIdleConnections,
	})}
}

// take returns an idle or a new connection. If verify is true, an idle connection on which no data arrived within
// livenessWindow is pinged first, and replaced if the ping fails; no request was sent on it then.
func (c *connPool) take(ctx context.Context, address string, verify bool) (*connection, error) {
	conn, ok := c.idle.Take(address)
	if !ok {
		return dial(ctx, address)
	}
	started := time.Now()
	if !verify || conn.watchdog.receivedAfter(started.Add(-livenessWindow)) || conn.ping(ctx) == nil {
		return conn, nil
	}
	_ = conn.Close()
	if ctx.Err() == nil {
		c.closeSilent(address, started)
	}
	return dial(ctx, address)
}

func (c *connPool) put(address string, conn *connection) { c.idle.Put(address, conn) }

// closeSilent closes the idle connections to a peer on which no data arrived since the given time. It is called when a
// connection that was used at that time went silent: a middlebox that lost the state of one connection has often lost
// the state of all.
func (c *connPool) closeSilent(address string, since time.Time) {
	var working []*connection
	for {
		conn, ok := c.idle.Take(address)
		if !ok {
			break
		}
		if conn.watchdog.receivedAfter(since) {
			working = append(working, conn)
			continue
		}
		_ = conn.Close()
	}
	for _, conn := range working {
		c.put(address, conn)
	}
}

func (c *connPool) close() error { return c.idle.Close() }
