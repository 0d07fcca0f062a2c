package httpwire

import (
	"errors"
	"net"
	"sync/atomic"
)

// errAborted is returned by writes on an aborted connection.
var errAborted = errors.New("exchange aborted before sending")

// States of a sentinelConn during one exchange.
const (
	nothingWritten uint32 = iota
	writeStarted
	aborted
)

// sentinelConn records whether a write has started since begin, and lets abort forbid further writes. Only an
// exchange whose connection was aborted in state nothingWritten is proved not to have been sent.
type sentinelConn struct {
	net.Conn
	state atomic.Uint32
}

// begin starts an exchange on the connection.
func (c *sentinelConn) begin() { c.state.Store(nothingWritten) }

// abort makes all later writes fail. It reports whether a write had started.
func (c *sentinelConn) abort() bool {
	return c.state.Swap(aborted) == writeStarted
}

// Write implements net.Conn.
func (c *sentinelConn) Write(p []byte) (int, error) {
	if !c.state.CompareAndSwap(nothingWritten, writeStarted) && c.state.Load() == aborted {
		return 0, errAborted
	}
	return c.Conn.Write(p)
}
