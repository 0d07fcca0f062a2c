package httpwire

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// errAborted is returned by writes on an aborted connection.
var errAborted = errors.New("exchange aborted before sending")

// States of the writes of one exchange.
const (
	nothingWritten uint32 = iota
	writeStarted
	aborted
)

// exchangeWrites records whether a write has started in one exchange, and rejects all its writes after abort. Only if it
// was aborted in state nothingWritten is it certain that the request of the exchange was not sent.
//
// Each exchange has its own: net/http makes the connection of an answer without a body available before the exchange
// returns, so that the next one may begin on it before the state of this one is read.
type exchangeWrites struct {
	state atomic.Uint32
}

// started reports whether a write has started.
func (w *exchangeWrites) started() bool { return w.state.Load() == writeStarted }

// start records that a write starts. It returns false after abort.
func (w *exchangeWrites) start() bool {
	return w.state.CompareAndSwap(nothingWritten, writeStarted) || w.state.Load() == writeStarted
}

// abort makes all further writes of the exchange fail. It reports whether a write had started.
func (w *exchangeWrites) abort() bool { return w.state.Swap(aborted) == writeStarted }

// writeTrackingConn passes writes to the exchangeWrites of the exchange that uses the connection.
type writeTrackingConn struct {
	net.Conn
	writes atomic.Pointer[exchangeWrites]
	// reading is true while a read is in progress, and closed after Close. changed holds a token after each change of
	// them to true.
	reading, closed atomic.Bool
	changed         chan struct{}
	// readFailed is true after a read has failed, also at the end of the connection.
	readFailed atomic.Bool
}

func newWriteTrackingConn(conn net.Conn) *writeTrackingConn {
	c := &writeTrackingConn{Conn: conn, changed: make(chan struct{}, 1)}
	c.writes.Store(&exchangeWrites{})
	return c
}

// beginExchange makes the connection record the writes of the next exchange, and returns their state. It waits until
// net/http waits for data on the connection or has closed it. If instead bytes came with the previous answer, net/http closes the connection, but if
// an exchange began before that, it would take them for the answer to the new request.
func (c *writeTrackingConn) beginExchange(ctx context.Context) *exchangeWrites {
	w := &exchangeWrites{}
	c.writes.Store(w)
	for !c.reading.Load() && !c.closed.Load() {
		select {
		case <-c.changed:
		case <-ctx.Done():
			return w
		}
	}
	return w
}

// rejectWrites makes all writes fail until the next exchange begins.
func (c *writeTrackingConn) rejectWrites() {
	w := &exchangeWrites{}
	w.abort()
	c.writes.Store(w)
}

// signalChange wakes beginExchange.
func (c *writeTrackingConn) signalChange() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Read implements net.Conn.
func (c *writeTrackingConn) Read(p []byte) (int, error) {
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
func (c *writeTrackingConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if !c.writes.Load().start() {
		return 0, errAborted
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *writeTrackingConn) Close() error {
	c.closed.Store(true)
	c.signalChange()
	return c.Conn.Close()
}
