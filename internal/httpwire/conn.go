package httpwire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errAborted is returned by writes on an aborted connection.
var errAborted = errors.New("exchange aborted before sending")

// Values of a writeState.
const (
	nothingWritten uint32 = iota
	writeStarted
	aborted
)

// writeState records whether a write of one exchange has started, and rejects its writes after abort. Only if it was
// aborted at nothingWritten is it certain that the request of the exchange was not sent. Each exchange has its own:
// net/http may begin the next one on a connection before it returns the answer of the previous one.
type writeState struct {
	value atomic.Uint32
	// over is closed at the end of an exchange whose body is a stream; nil for others.
	over <-chan struct{}
	// abortStream is Call.AbortStream.
	abortStream func()
}

// closed ends the reading of a stream whose connection is closed.
func (s *writeState) closed() {
	if s.abortStream != nil {
		s.abortStream()
	}
}

// awaitAnswer is called after a write of a stream has failed. A server that answers without reading the body may close the
// connection with the answer, and net/http would drop an answer that it has not read when a write fails.
func (s *writeState) awaitAnswer() {
	if s.over == nil {
		return
	}
	timer := time.NewTimer(earlyAnswerTime)
	defer timer.Stop()
	select {
	case <-s.over:
	case <-timer.C:
	}
}

// earlyAnswerTime is how long an answer is awaited that a server has sent before the whole body: it is on its way already,
// and the server is on the same instance.
const earlyAnswerTime = 300 * time.Millisecond

// abort makes all further writes of the exchange fail. It reports whether a write had started.
func (s *writeState) abort() bool { return s.value.Swap(aborted) == writeStarted }

// hasStarted reports whether a write has started and the exchange was not aborted.
func (s *writeState) hasStarted() bool { return s.value.Load() == writeStarted }

// startWrite records a write. It reports whether the write may be made.
func (s *writeState) startWrite() bool {
	return s.value.CompareAndSwap(nothingWritten, writeStarted) || s.value.Load() == writeStarted
}

// writeTrackingConn tracks the writes of the exchange that was the last to begin on it.
type writeTrackingConn struct {
	net.Conn
	writes atomic.Pointer[writeState]
	// reading is true while a read is in progress, and closed after Close. changed holds a token after each change of
	// them to true.
	reading, closed atomic.Bool
	changed         chan struct{}
	// retired is true if no exchange may begin any more. ids are the IDs of the requests that it has carried; only one
	// exchange at a time uses them.
	retired atomic.Bool
	ids     map[string]struct{}
	// readFailed is true after a read has failed, also at the end of the connection.
	readFailed atomic.Bool

	// writing is locked during a write and guards writeFailed, which is true after a write has failed for another reason than
	// its deadline.
	writing     sync.Mutex
	writeFailed bool
}

func newWriteTrackingConn(conn net.Conn) *writeTrackingConn {
	c := &writeTrackingConn{Conn: conn, changed: make(chan struct{}, 1)}
	c.writes.Store(&writeState{})
	return c
}

// beginExchange begins the next exchange on the connection, whose writes have the given state. It waits until net/http waits
// for data on the connection or has closed it. If instead bytes came with the previous answer, net/http closes the
// connection, but if an exchange began before that, it would take them for the answer to the new request.
func (c *writeTrackingConn) beginExchange(ctx context.Context, writes *writeState) {
	c.writes.Store(writes)
	for !c.reading.Load() && !c.closed.Load() {
		select {
		case <-c.changed:
		case <-ctx.Done():
			return
		}
	}
	if c.closed.Load() {
		writes.closed()
	}
}

// maxExchanges is the number of requests with an ID that a connection carries, so that it can hold their IDs.
const maxExchanges = 512

// mayCarry reports whether a request with the ID may be sent on the connection, and records that it is.
func (c *writeTrackingConn) mayCarry(id string) bool {
	if c.retired.Load() {
		return false
	}
	if id == "" {
		return true
	}
	if _, carried := c.ids[id]; carried || len(c.ids) == maxExchanges {
		return false
	}
	if c.ids == nil {
		c.ids = map[string]struct{}{}
	}
	c.ids[id] = struct{}{}
	return true
}

// rejectWrites makes all writes of the exchange that begins on the connection fail.
func (c *writeTrackingConn) rejectWrites() {
	writes := &writeState{}
	writes.abort()
	c.writes.Store(writes)
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
	if err == io.EOF && c.hasFailedWrite() {
		err = errReset
	}
	if err != nil {
		c.readFailed.Store(true)
	}
	c.reading.Store(false)
	return n, err
}

// errReset is returned by reads instead of io.EOF after a write has failed. The kernel reports a reset to one call only, and
// if that is a write, later reads see the end of the connection.
var errReset = fmt.Errorf("the connection ended after a write on it had failed: %w", syscall.ECONNRESET)

// hasFailedWrite reports whether a write has failed. It is called at the end of the data and cancels a write in progress,
// whose result is needed: no answer can follow, so that net/http would close the connection in any case.
func (c *writeTrackingConn) hasFailedWrite() bool {
	// If it fails, the connection is closed, which ends the write as well.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed
}

// Write implements net.Conn.
func (c *writeTrackingConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	writes := c.writes.Load()
	if !writes.startWrite() {
		return 0, errAborted
	}
	n, err := c.write(p)
	if err != nil {
		writes.awaitAnswer()
	}
	return n, err
}

// write writes p and records a failure.
func (c *writeTrackingConn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeFailed = true
	}
	return n, err
}

// Close implements net.Conn.
func (c *writeTrackingConn) Close() error {
	c.closed.Store(true)
	c.signalChange()
	err := c.Conn.Close()
	c.writes.Load().closed()
	return err
}
