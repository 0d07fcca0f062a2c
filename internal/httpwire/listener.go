package httpwire

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts the connections of callers. It can close those on which nothing has arrived: http.Server.Shutdown waits
// for them as if a request were in progress.
//
// mu guards the fields below it.
type Listener struct {
	net.Listener

	mu sync.Mutex
	// unused are the connections on which nothing has arrived.
	unused map[*callerConn]bool
	// stopping is set once unused connections are closed.
	stopping bool
}

// NewListener returns a Listener for the connections that l accepts.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, unused: map[*callerConn]bool{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: l}
	l.mu.Lock()
	l.unused[c] = true
	stopping := l.stopping
	l.mu.Unlock()
	if stopping {
		c.closeIfUnused()
	}
	return c, nil
}

// CloseUnused closes the connections on which nothing has arrived, now and from now on.
func (l *Listener) CloseUnused() {
	l.mu.Lock()
	l.stopping = true
	unused := make([]*callerConn, 0, len(l.unused))
	for c := range l.unused {
		unused = append(unused, c)
	}
	l.mu.Unlock()
	for _, c := range unused {
		c.closeIfUnused()
	}
}

// remove takes a connection that is in use or closed out of the unused ones.
func (l *Listener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unused, c)
}

// States of a callerConn.
const (
	connUnused uint32 = iota
	connUsed
	connClosed
)

// callerConn records whether anything has arrived on a connection.
type callerConn struct {
	net.Conn
	listener *Listener
	state    atomic.Uint32
}

// Read implements net.Conn. What arrives while the connection is closed as unused is not delivered, so that no request on
// it runs.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.state.Load() != connUsed {
		if !c.state.CompareAndSwap(connUnused, connUsed) {
			return 0, net.ErrClosed
		}
		c.listener.remove(c)
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side. net/http does so before it closes a connection whose caller still sends, as the
// reset would otherwise overtake the response.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.CloseWrite()
	}
	return nil
}

// NetConn returns the accepted connection.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// closeIfUnused closes the connection if nothing has arrived on it.
func (c *callerConn) closeIfUnused() {
	if c.state.CompareAndSwap(connUnused, connClosed) {
		// The server closes the connection too, and handles the error of the pending read.
		_ = c.Close()
	}
}
