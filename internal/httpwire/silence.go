package httpwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"time"
)

// ErrSilent is the cause with which a call ends if the server sends nothing for too long.
var ErrSilent = fmt.Errorf("the server sent no data for too long: %w", os.ErrDeadlineExceeded)

// SilenceLimits bound the time without data in a call of net/http. A call whose answer arrives slowly goes on: its
// repetition would load the link once more.
type SilenceLimits struct {
	// First is the longest time until the first data of the answer, Next the longest time between two arrivals.
	First, Next time.Duration
	// Received, unless nil, is called with the number of bytes of each arrival, headers included.
	Received func(bytes int)
}

// LimitSilence returns a context for one call of net/http. The context ends with the cause ErrSilent if no data arrives
// for too long. The connections must be opened by a function of DialSilenceLimited. stop is to be called after the call.
func LimitSilence(ctx context.Context, limits SilenceLimits) (callCtx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &answer{ctx: ctx, limits: limits, cancel: cancel}
	stop = func() {
		a.end()
		cancel(nil)
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.begin}), stop
}

// CallError returns the cause for which ctx ended if that is why a call failed, and err otherwise.
func CallError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// DialSilenceLimited returns a dial function for an http.Transport whose calls use LimitSilence.
func DialSilenceLimited(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &answerConn{writeTrackingConn: newWriteTrackingConn(conn)}, nil
	}
}

// answer follows the answer to one call on the connection that the call uses.
type answer struct {
	// ctx is the context of the call.
	ctx    context.Context
	limits SilenceLimits
	// cancel ends the call.
	cancel context.CancelCauseFunc

	mu   sync.Mutex
	conn *answerConn
}

// begin is called with the connection of the call before the request is sent.
func (a *answer) begin(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*answerConn)
	if !ok {
		return
	}
	a.mu.Lock()
	a.conn = conn
	a.mu.Unlock()
	// Bytes that came after the previous answer must not be taken for this one.
	conn.beginExchange(a.ctx, &writeState{})
	conn.expect(a)
}

// end is called after the call.
func (a *answer) end() {
	a.mu.Lock()
	conn := a.conn
	a.mu.Unlock()
	if conn != nil {
		conn.release(a)
	}
}

// answerConn is a client connection. It bounds the time without data by the read deadline: the HTTP client always has a
// read pending, so that no further goroutine or timer is needed.
//
// mu guards current and serializes changes of the read deadline.
type answerConn struct {
	*writeTrackingConn

	mu sync.Mutex
	// current is the answer that is expected; nil while no call uses the connection. deadline is the read deadline for it.
	current  *answer
	deadline time.Time
}

// expect sets the answer that is expected from now on.
func (c *answerConn) expect(a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = a
	c.awaitData(a.limits.First)
}

// release ends the use of the connection by a call, unless another call uses it already.
func (c *answerConn) release(a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == a {
		c.current = nil
		_ = c.SetReadDeadline(time.Time{})
	}
}

// lastReadTime is the time for which a silent connection is read once more: if the process stood still until the deadline
// had passed, a reply that has arrived meanwhile is still to be read.
const lastReadTime = 20 * time.Millisecond

// Read implements net.Conn.
func (c *answerConn) Read(p []byte) (int, error) {
	n, err := c.writeTrackingConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.extend() {
		n, err = c.writeTrackingConn.Read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return n, err
	}
	if n > 0 {
		if c.current.limits.Received != nil {
			c.current.limits.Received(n)
		}
		c.awaitData(c.current.limits.Next)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The HTTP client would repeat a read without an answer on another connection.
		c.current.cancel(ErrSilent)
	}
	return n, err
}

// extend gives the answer that is expected lastReadTime more if its deadline has passed. It reports whether one is
// expected.
func (c *answerConn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return false
	}
	if !time.Now().Before(c.deadline) {
		c.awaitData(lastReadTime)
	}
	return true
}

// awaitData sets the time for which data is awaited from now on. The caller holds mu.
func (c *answerConn) awaitData(timeout time.Duration) {
	c.deadline = time.Now().Add(timeout)
	_ = c.SetReadDeadline(c.deadline)
}
