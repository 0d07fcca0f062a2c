package node

import (
	"context"
	"time"

	"storj.io/drpc/drpcpool"
)

// connPool holds the idle connections to all peers. It is safe for concurrent use.
type connPool struct {
	idle   *drpcpool.Pool[string, *connection]
	checks *peerChecks
}

func newConnPool() *connPool {
	c := &connPool{idle: drpcpool.New[string, *connection](drpcpool.Options{
		Expiration:  idleConnectionTime,
		KeyCapacity: maxIdlePerPeer,
		Capacity:    maxIdleConnections,
	})}
	c.checks = newPeerChecks(func(ctx context.Context, address string, since time.Time) PeerState {
		state := c.checkPeer(ctx, address, since)
		if state == PeerSilent {
			c.suspectSilent(address, since)
		}
		return state
	})
	return c
}

// take returns an idle or a new connection. If verify is true, an idle connection on which no data arrived within
// livenessWindow is pinged first, and replaced if the ping fails; no request was sent on it then. A suspect connection
// is always pinged.
func (c *connPool) take(ctx context.Context, address string, verify bool) (*connection, error) {
	conn, ok := c.idle.Take(address)
	if !ok {
		return c.dial(ctx, address)
	}
	started := time.Now()
	if !conn.needsPing(verify, started) || conn.ping(ctx, pingTimeout) == nil {
		conn.suspect = false
		return conn, nil
	}
	_ = conn.Close()
	if ctx.Err() == nil {
		c.checks.request(address, started, func(r checkResult) {
			// The failed ping proves nothing about a peer that needs as long on another connection.
			if r.state == PeerAnswers && r.took() < pingTimeout {
				c.closeSilent(address, started)
			}
		})
	}
	return c.dial(ctx, address)
}

func (c *connPool) put(address string, conn *connection) { c.idle.Put(address, conn) }

// checkPeer returns the state of a peer to which a connection has been silent since the given time. It pings a
// connection on which data arrived since then, or a new one. Afterwards the connection is idle.
func (c *connPool) checkPeer(ctx context.Context, address string, since time.Time) PeerState {
	for _, conn := range c.takeIdle(address, func(conn *connection) bool { return conn.watchdog.receivedAfter(since) }, 1) {
		if conn.ping(ctx, pingTimeout) == nil {
			c.put(address, conn)
			return PeerAnswers
		}
		_ = conn.Close()
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return stateAfterError(err)
	}
	if err := conn.ping(ctx, checkTimeout); err != nil {
		_ = conn.Close()
		return stateAfterError(err)
	}
	c.put(address, conn)
	return PeerAnswers
}

// closeSilent closes the idle connections to a peer on which no data arrived since the given time. It is called when a
// connection that was used at that time is silent and the peer answers or refuses another one: a middlebox that lost the
// state of one connection has often lost the state of all.
func (c *connPool) closeSilent(address string, since time.Time) {
	for _, conn := range c.takeIdle(address, silentSince(since), maxIdlePerPeer) {
		_ = conn.Close()
	}
}

// suspectSilent marks the idle connections to a peer on which no data arrived since the given time. It is called when a
// connection that was used at that time is silent and the peer was not checked or does not answer.
func (c *connPool) suspectSilent(address string, since time.Time) {
	for _, conn := range c.takeIdle(address, silentSince(since), maxIdlePerPeer) {
		conn.suspect = true
		c.put(address, conn)
	}
}

// silentSince returns a filter for connections on which no data arrived since the given time.
func silentSince(since time.Time) func(*connection) bool {
	return func(conn *connection) bool { return !conn.watchdog.receivedAfter(since) }
}

// takeIdle returns at most limit idle connections to a peer that match the filter, and leaves the others in the pool.
func (c *connPool) takeIdle(address string, matches func(*connection) bool, limit int) []*connection {
	var taken, others []*connection
	for len(taken) < limit {
		conn, ok := c.idle.Take(address)
		if !ok {
			break
		}
		if matches(conn) {
			taken = append(taken, conn)
		} else {
			others = append(others, conn)
		}
	}
	for _, conn := range others {
		c.put(address, conn)
	}
	return taken
}

// close ends the checks and closes the idle connections.
func (c *connPool) close() error {
	c.checks.close()
	return c.idle.Close()
}
