package node

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"heatherreel/internal/problem"
)

const (
	// maxUnansweredBytes bounds the bytes that all connections of a server have received and not answered yet, above all
	// those of unfinished messages. It has room for one message of the maximum size. Without it, 64 clients that stop
	// just short of the end of a message made a process take 280 MB.
	maxUnansweredBytes = maxMessageSize + 4<<20
	// freeBytes is what one connection may have in any case: many times the size of an ordinary request, which must be
	// read beside clients that misbehave.
	freeBytes = 64 << 10
)

// readBudget counts the bytes that the connections of a server have received and not answered yet.
type readBudget struct{ total atomic.Int64 }

// budgetListener accepts connections that share a readBudget.
type budgetListener struct {
	net.Listener
	budget *readBudget
}

// Accept implements net.Listener.
func (l budgetListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &budgetConn{Conn: conn, budget: l.budget}, nil
}

// budgetConn is a connection that fails when it receives more while the budget is exhausted. drpc then closes it; an
// unfinished message runs no request.
//
// mu guards the fields below it.
type budgetConn struct {
	net.Conn
	budget *readBudget

	mu sync.Mutex
	// unanswered are the bytes received since the last write.
	unanswered int64
	closed     bool
	// watched is set once a body is streamed on the connection, and received is when bytes arrived last since then.
	watched  bool
	received time.Time
}

// Read implements net.Conn.
func (c *budgetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.record(int64(n)) {
		return 0, problem.New(problem.Overloaded, "retry later", "messages from other nodes exceed %d bytes", maxUnansweredBytes)
	}
	return n, err
}

// record counts received bytes and reports whether the connection may keep them.
func (c *budgetConn) record(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return true
	}
	if c.watched {
		c.received = time.Now()
	}
	c.unanswered += n
	return c.budget.total.Add(n) <= maxUnansweredBytes || c.unanswered <= freeBytes
}

// watch begins to record when bytes arrive.
func (c *budgetConn) watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched = true
}

// lastReceived returns when bytes arrived last after watch was called.
func (c *budgetConn) lastReceived() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// Write implements net.Conn.
func (c *budgetConn) Write(p []byte) (int, error) {
	c.release(false)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *budgetConn) Close() error {
	c.release(true)
	return c.Conn.Close()
}

// release returns the unanswered bytes to the budget.
func (c *budgetConn) release(closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.total.Add(-c.unanswered)
	c.unanswered, c.closed = 0, c.closed || closed
}
