package httpwire

import (
	"errors"
	"net"
	"sync/atomic"
)

// errAborted is returned by writes on an aborted connection.
var errAborted = errors.New("exchange aborted before sending")

// States of a writeTrackingConn during one exchange.
const (
	nothingWritten uint32 = iota
	writeStarted
	aborted
)

// writeTrackingConn records whether a write has started since beginExchange, and rejects all writes after abort. Only
// if the connection was aborted in state nothingWritten is it certain that the request of the exchange was not sent.
type writeTrackingConn struct {
	net.Conn
	state atomic.Uint32
}

// beginExchange resets the state for the next exchange on the connection.
func (c *writeTrackingConn) beginExchange() { c.state.Store(nothingWritten) }

// abort makes all further writes of the exchange fail. It reports whether a write had started.
func (c *writeTrackingConn) abort() bool {
	return c.state.Swap(aborted) == writeStarted
}

// Write implements net.Conn.
func (c *writeTrackingConn) Write(p []byte) (int, error) {
	if !c.state.CompareAndSwap(nothingWritten, writeStarted) && c.state.Load() == aborted {
		return 0, errAborted
	}
	return c.Conn.Write(p)
}
