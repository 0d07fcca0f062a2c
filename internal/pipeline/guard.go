package pipeline

import (
	"net"
	"sync"
	"sync/atomic"

	"heatherreel/internal/intake"
)

// Guard returns a listener whose connections count towards the limits of a group. It is for servers of other protocols: the
// connections are given up only until the first byte has arrived, and their memory is not accounted for.
func (g *Governor) Guard(l net.Listener, group intake.Group) net.Listener {
	return &guardedListener{Listener: l, governor: g, group: group}
}

type guardedListener struct {
	net.Listener
	governor *Governor
	group    intake.Group
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		network, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &guardedConn{Conn: network, governor: l.governor}
		if c.account = l.governor.open(c, network.RemoteAddr().String(), l.group); c.account != nil {
			return c, nil
		}
		_ = network.Close()
	}
}

// guardedConn is a connection of a guardedListener.
type guardedConn struct {
	net.Conn
	governor *Governor
	account  *intake.Account
	used     atomic.Bool
	closed   sync.Once
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.used.Load() && c.used.CompareAndSwap(false, true) {
		c.governor.enter(c.account, intake.Handling)
	}
	return n, err
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.governor.close(c.account) })
	return err
}

// shed implements client.
func (c *guardedConn) shed(bool) {
	if !c.used.Load() {
		// The server notices the end of the connection and closes it as well.
		_ = c.Conn.Close()
	}
}
