package pipeline

import (
	"net"
	"sync"
	"time"

	"heatherreel/internal/intake"
)

// Governor applies the limits of package intake to the connections of several servers. A server with a nil Governor limits
// nothing. The methods must not be called with the mutex of a connection locked, because they may give up other connections.
//
// mu guards the fields below it.
type Governor struct {
	// report counts what was refused or given up.
	report func(intake.Kind)

	mu      sync.Mutex
	book    *intake.Book
	clients map[*intake.Account]client
}

// client is a connection that can be given up. blocked is set if it does not read an answer.
type client interface{ shed(blocked bool) }

// NewGovernor returns a Governor. report is called for each refusal, and for each connection that is given up; it may be
// nil.
func NewGovernor(limits intake.Limits, report func(intake.Kind)) *Governor {
	if report == nil {
		report = func(intake.Kind) {}
	}
	return &Governor{report: report, book: intake.New(limits), clients: map[*intake.Account]client{}}
}

// SetLimits replaces the limits.
func (g *Governor) SetLimits(limits intake.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.SetLimits(limits)
}

// Used returns the bytes in use and the number of connections.
func (g *Governor) Used() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Used()
}

// open returns the account of a new connection; nil if it is refused.
func (g *Governor) open(c client, remote string, group intake.Group) *intake.Account {
	address, _, err := net.SplitHostPort(remote)
	if err != nil {
		address = remote
	}
	g.mu.Lock()
	account, victim, kind := g.book.Open(group, address, time.Now())
	v, blocked := g.clients[victim], victim != nil && victim.IsBlocked()
	if account != nil {
		g.clients[account] = c
	}
	g.mu.Unlock()
	if kind != intake.None {
		g.report(kind)
	}
	if v != nil {
		v.shed(blocked)
	}
	return account
}

// close removes the account of a connection.
func (g *Governor) close(account *intake.Account) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Close(account)
	delete(g.clients, account)
}

// enter records that a connection is in another stage.
func (g *Governor) enter(account *intake.Account, stage intake.Stage) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Enter(account, stage, time.Now())
}

// progress records that bytes of a head or body have arrived.
func (g *Governor) progress(c *conn, bytes int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Progress(c.account, int64(bytes), time.Now())
}

// blocked records that the write of an answer begins or has progressed.
func (g *Governor) blocked(c *conn, since time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Blocked(c.account, since)
}

// beginBody records that a body begins to arrive, whose head holds the bytes.
func (g *Governor) beginBody(c *conn, bytes int64) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.BeginBody(c.account, bytes, time.Now())
}

// settle returns all bytes of a connection that is closing.
func (g *Governor) settle(c *conn) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Settle(c.account)
}

// Hold reserves bytes that belong to no connection of a client. It returns false if there are not as many.
func (g *Governor) Hold(bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Hold(bytes)
}

// Drop returns bytes that were reserved by Hold.
func (g *Governor) Drop(bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Drop(bytes)
}

// reserve reserves bytes for a body. It returns false if the request is to be refused.
func (g *Governor) reserve(c *conn, bytes int64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	return g.decided(g.book.Reserve(c.account, bytes, time.Now()))
}

// grow reserves bytes for a head that is larger than usual. It returns false if the request is to be refused.
func (g *Governor) grow(c *conn, bytes int64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	return g.decided(g.book.Grow(c.account, bytes, time.Now()))
}

// decided gives up the victims of a reservation, counts it if it was not granted, and returns granted. It unlocks mu.
func (g *Governor) decided(granted bool, victims []*intake.Account) bool {
	g.giveUp(victims)
	if !granted {
		g.report(intake.Memory)
	}
	return granted
}

// head reserves the bytes of a complete head and records that its request is being handled.
func (g *Governor) head(c *conn, bytes int64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	now := time.Now()
	granted, victims := g.book.Reserve(c.account, bytes, now)
	g.book.Enter(c.account, intake.Handling, now)
	return g.decided(granted, victims)
}

// expect reserves bytes for the answer of an exchange. It returns false if the request is to be refused.
func (g *Governor) expect(e *exchange, bytes int64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	expected, victims, granted := g.book.Expect(e.conn.account, e.expected, bytes, time.Now())
	e.expected = expected
	return g.decided(granted, victims)
}

// take accounts for an answer, for which expected bytes are reserved.
func (g *Governor) take(c *conn, bytes, expected int64, now time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	g.giveUp(g.book.Correct(c.account, expected, bytes, now))
}

// giveUp closes the connections of accounts. It unlocks mu.
func (g *Governor) giveUp(victims []*intake.Account) {
	type victim struct {
		client  client
		blocked bool
	}
	var found []victim
	for _, a := range victims {
		found = append(found, victim{g.clients[a], a.IsBlocked()})
	}
	g.mu.Unlock()
	for _, v := range found {
		g.report(intake.Memory)
		v.client.shed(v.blocked)
	}
}

// release returns bytes before the answer to their request is written.
func (g *Governor) release(c *conn, bytes int64) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Release(c.account, bytes)
}

// answered records that an answer is written, whose request held the bytes. last is set if no other is in progress.
func (g *Governor) answered(c *conn, bytes int64, last bool, now time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Answered(c.account, bytes, last, now)
}

// refused counts a refusal for another reason than the limits of the book.
func (g *Governor) refused(kind intake.Kind) {
	if g != nil && kind != intake.None {
		g.report(kind)
	}
}
