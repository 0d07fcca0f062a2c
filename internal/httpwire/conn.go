package httpwire

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// errAborted is returned by writes on an aborted connection.
var errAborted = errors.New("exchange aborted before sending")

// States of a Conn during one exchange.
const (
	nothingWritten uint32 = iota
	writeStarted
	aborted
)

// Conn is a connection for the exchanges of an http.Transport. It records whether a write has started since BeginExchange,
// and rejects all writes after abort. Only if the connection was aborted in state nothingWritten is it certain that the
// request of the exchange was not sent.
type Conn struct {
	net.Conn
	state atomic.Uint32
	// reading is true while a read is in progress, and closed after Close. changed holds a token after each change of
	// them to true.
	reading, closed atomic.Bool
	changed         chan struct{}
	// readFailed is true after a read has failed, also at the end of the connection.
	readFailed atomic.Bool
}

// NewConn returns a Conn that uses conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, changed: make(chan struct{}, 1)}
}

// BeginExchange resets the state for the next exchange on the connection. It waits until net/http waits for data on the
// connection or has closed it. If instead bytes came with the previous answer, net/http closes the connection, but if
// an exchange began before that, it would take them for the answer to the new request.
func (c *Conn) BeginExchange(ctx context.Context) {
	c.state.Store(nothingWritten)
	for !c.reading.Load() && !c.closed.Load() {
		select {
		case <-c.changed:
		case <-ctx.Done():
			return
		}
	}
}

// abort makes all further writes of the exchange fail. It reports whether a write had started.
func (c *Conn) abort() bool {
	return c.state.Swap(aborted) == writeStarted
}

// signalChange wakes BeginExchange.
func (c *Conn) signalChange() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	c.signalChange()
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readFailed.Store(true)
	}
	c.reading.Store(false)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if !c.state.CompareAndSwap(nothingWritten, writeStarted) && c.state.Load() == aborted {
		return 0, errAborted
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Store(true)
	c.signalChange()
	return c.Conn.Close()
}
