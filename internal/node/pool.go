package node

import (
	"context"
	"time"

	"storj.io/drpc/drpcpool"
)

// connections holds the idle connections to all peers. It is safe for concurrent use.
type connections struct {
	idle *drpcpool.Pool[string, *connection]
}

func newConnections() *connections {
	return &connections{idle: drpcpool.New[string, *connection](drpcpool.Options{
		Expiration:  idleConnectionTime,
		KeyCapacity: maxIdlePerPeer,
		Capacity:    maxIdleConnections,
	})}
}

// take returns an idle or a new connection. With proved, a connection on which nothing arrived for a while is used
// only after a ping; a failed ping proves that the request was not sent on it.
func (c *connections) take(ctx context.Context, address string, proved bool) (*connection, error) {
	conn, ok := c.idle.Take(address)
	if !ok {
		return dial(ctx, address)
	}
	started := time.Now()
	if !proved || conn.transport.heardAfter(started.Add(-provedTime)) || conn.ping(ctx) == nil {
		return conn, nil
	}
	_ = conn.Close()
	if ctx.Err() == nil {
		c.dropSilent(address, started)
	}
	return dial(ctx, address)
}

func (c *connections) put(address string, conn *connection) { c.idle.Put(address, conn) }

// dropSilent closes the idle connections to a peer on which nothing arrived since the time. It is called when a
// connection went silent that was used at that time: what lost track of one has often lost track of all.
func (c *connections) dropSilent(address string, since time.Time) {
	var heard []*connection
	for {
		conn, ok := c.idle.Take(address)
		if !ok {
			break
		}
		if conn.transport.heardAfter(since) {
			heard = append(heard, conn)
			continue
		}
		_ = conn.Close()
	}
	for _, conn := range heard {
		c.put(address, conn)
	}
}

func (c *connections) close() error { return c.idle.Close() }
