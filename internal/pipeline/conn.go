package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"heatherreel/internal/intake"
)

const (
	// bufferBytes is the size of the read buffer of a connection. A larger head gets a larger one.
	bufferBytes = 4 << 10
	// lingerTime and lingerBytes bound what is read from a caller that still sends when its connection closes. Closing at
	// once would reset the connection, and the reset can overtake the last answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// maxUnreadBytes is the size of unwritten answers of a connection from which no further request of it starts.
	maxUnreadBytes = 1 << 20
	// closePollInterval is the interval at which a connection whose read buffer is full is checked for its end.
	closePollInterval = 100 * time.Millisecond
)

// past is a deadline that ends a pending read.
var past = time.Unix(1, 0)

// conn is a connection. One goroutine reads its requests, and one runs the handler for each.
//
// mu guards the fields below it. Only the reading goroutine changes buffered; while a body is read, the handler uses it.
type conn struct {
	server   *Server
	network  net.Conn
	input    input
	buffered *bufio.Reader
	ctx      context.Context
	cancel   context.CancelFunc
	remote   string
	// headCost are the bytes that are reserved for the last head.
	headCost int64
	// account is what the connection takes of the limits of the Governor; nil without one.
	account *intake.Account
	// enlarged are the bytes that are reserved for the read buffer, beyond its usual size.
	enlarged int64
	// bodyOver gets a value when the handler has finished with the body of the last request.
	bodyOver chan struct{}
	// turn gets a value when a request may start, or the connection is to close.
	turn chan struct{}
	// writeDeadline is the deadline of writes. Only the goroutine that writes answers uses it.
	writeDeadline time.Time

	mu    sync.Mutex
	order order
	// first and last are the unanswered exchanges.
	first, last *exchange
	// writing is set while a goroutine writes answers.
	writing bool
	// broken is set when answers can no longer be written.
	broken bool
	// awaitsTurn is set while the reader waits until its request may start.
	awaitsTurn bool
	// givenUp is set when the connection is given up for others.
	givenUp bool
	// silent is set when the connection ends while no request is unanswered.
	silent bool
	// unread are the bytes of answers that are not written.
	unread int64
	// inBody is set while the handler reads a body, which no wake-up may end.
	inBody bool
	// left is set once the reader has stopped reading requests.
	left bool
	// deadline is that of reads. It is kept although it may be early: when it passes, the reader checks what it waits for.
	deadline time.Time
	// idleSince is when the last answer was written.
	idleSince time.Time
}

func newConn(s *Server, network net.Conn) *conn {
	c := &conn{server: s, network: network, bodyOver: make(chan struct{}, 1), turn: make(chan struct{}, 1), idleSince: time.Now(),
		remote: network.RemoteAddr().String()}
	c.input.Conn = network
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the connection ends, and closes it when all answers are written.
func (c *conn) serve() {
	c.buffered = bufio.NewReaderSize(&c.input, bufferBytes)
	gone := c.readRequests()
	if gone {
		c.cancel()
	}
	silent := c.stopStarting()
	c.awaitAnswers()
	c.server.answered(c)
	c.buffered, c.input.before = nil, nil
	c.server.Governor.settle(c)
	if !gone && !silent {
		c.linger()
	}
	c.cancel()
	_ = c.network.Close()
	c.server.Governor.close(c.account)
	c.server.remove(c)
}

// readRequests reads and starts requests until the connection is to close. It reports whether the caller has gone.
func (c *conn) readRequests() (gone bool) {
	for {
		if err := c.awaitRequest(); err != nil {
			return !errors.Is(err, errClosing)
		}
		req, err := c.readHead()
		var refused refusal
		switch {
		case errors.As(err, &refused):
			c.server.Governor.refused(refused.kind())
			c.refuse(refused)
			return false
		case err != nil:
			return !errors.Is(err, errClosing)
		}
		e := &exchange{conn: c, request: req, header: make(http.Header, 8), reserved: c.headCost}
		e.body, req.Body = newBody(c, req)
		class := c.server.classify(req)
		if err := c.start(e, class, e.body != nil && e.body.expected); err != nil {
			return !errors.Is(err, errClosing)
		}
		if e.body != nil {
			e.body.exchange = e
			c.server.Governor.beginBody(c, c.headCost)
		}
		go c.run(e)
		if e.body == nil {
			continue
		}
		<-c.bodyOver
		c.server.Governor.enter(c.account, intake.Handling)
		c.bodyEnded()
		if e.body.err != io.EOF {
			// What follows on the connection cannot be told from the rest of the body.
			return false
		}
	}
}

// errClosing ends the reading of a connection that is to close after its last answer.
var errClosing = errors.New("the connection is closing")

// awaitRequest waits until a byte of a request has arrived. It returns errClosing if none may start any more, or the idle
// time has passed.
func (c *conn) awaitRequest() error {
	for {
		if c.buffered.Buffered() > 0 {
			return nil
		}
		if err := c.armIdle(); err != nil {
			return err
		}
		if c.buffered.Size() > bufferBytes {
			c.buffered = bufio.NewReaderSize(&c.input, bufferBytes)
			c.server.Governor.release(c, c.enlarged)
			c.enlarged = 0
		}
		if _, err := c.buffered.Peek(1); err == nil {
			return nil
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// armIdle sets the deadline of reads for a connection that awaits a request, unless that which is set lies ahead.
func (c *conn) armIdle() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.order.closing {
		return errClosing
	}
	now := time.Now()
	if c.deadline.After(now) {
		return nil
	}
	idle := c.server.limits().IdleTimeout
	end := now.Add(idle)
	if c.order.unanswered == 0 {
		end = c.idleSince.Add(idle)
		if !end.After(now) {
			c.order.closing, c.silent = true, true
			return errClosing
		}
	}
	c.setDeadline(end)
	return nil
}

// setDeadline sets the deadline of reads. The caller holds mu.
func (c *conn) setDeadline(t time.Time) {
	c.deadline = t
	// An error means that the connection is closed, which the next read reports.
	_ = c.network.SetReadDeadline(t)
}

// readHead reads and parses the head of a request of which a byte has arrived.
func (c *conn) readHead() (*http.Request, error) {
	limits := c.server.limits()
	scan := headScan{maxFields: limits.MaxFields}
	var late time.Time
	for {
		data, _ := c.buffered.Peek(c.buffered.Buffered())
		size, err := scan.scan(data)
		switch {
		case err != nil:
			return nil, err
		case size > limits.MaxHeaderBytes, size == 0 && len(data) >= limits.MaxHeaderBytes:
			return nil, headTooLarge
		case size > 0:
			c.headCost = intake.HeadCost(size, scan.fields)
			if !c.server.Governor.head(c, c.headCost) {
				return nil, noMemory
			}
			return c.parse(scan)
		}
		if len(data) == c.buffered.Size() && !c.enlarge() {
			return nil, noMemory
		}
		if late.IsZero() {
			c.server.Governor.enter(c.account, intake.Head)
			late = time.Now().Add(limits.HeaderTimeout)
			c.mu.Lock()
			c.setDeadline(late)
			c.mu.Unlock()
		}
		_, err = c.buffered.Peek(len(data) + 1)
		switch {
		case err == nil:
			c.server.Governor.progress(c, c.buffered.Buffered()-len(data))
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		default:
			if err := c.continueHead(late); err != nil {
				return nil, err
			}
		}
	}
}

// continueHead sets the deadline of a head again after a read of it has ended early. It returns an error if the deadline
// has passed, or if no request may start any more.
func (c *conn) continueHead(late time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.givenUp:
		c.silent = false
		return noMemory
	case c.order.closing:
		return errClosing
	case !time.Now().Before(late):
		return refusal(http.StatusRequestTimeout)
	}
	c.setDeadline(late)
	return nil
}

// parse parses a head that has arrived as a whole and passed the check.
func (c *conn) parse(scan headScan) (*http.Request, error) {
	req, err := http.ReadRequest(c.buffered)
	switch {
	case err != nil:
		return nil, badRequest
	case req.ProtoMajor != 1:
		return nil, refusal(http.StatusHTTPVersionNotSupported)
	case req.ProtoMinor == 0 && scan.codings > 0, req.ProtoMinor > 0 && scan.hosts == 0:
		return nil, badRequest
	case len(req.Header["Expect"]) > 0 && !expectsContinue(req):
		return nil, refusal(http.StatusExpectationFailed)
	}
	req.RemoteAddr = c.remote
	return req.WithContext(c.ctx), nil
}

// expectsContinue reports whether the caller awaits an interim answer before it sends the body.
func expectsContinue(req *http.Request) bool {
	expect := req.Header["Expect"]
	return len(expect) == 1 && strings.EqualFold(expect[0], "100-continue") && req.ProtoAtLeast(1, 1)
}

// readTrailers reads the trailers of a body in chunks, which are not passed on. It returns io.EOF if they are complete.
func (c *conn) readTrailers() error {
	limits := c.server.limits()
	scan := headScan{inFields: true, maxFields: limits.MaxFields}
	for {
		data, _ := c.buffered.Peek(c.buffered.Buffered())
		size, err := scan.scan(data)
		switch {
		case err != nil:
			return err
		case scan.lengths > 0 || scan.codings > 0 || scan.hosts > 0:
			return badRequest
		case size > 0:
			_, _ = c.buffered.Discard(size)
			return io.EOF
		case len(data) == c.buffered.Size():
			return headTooLarge
		}
		if _, err := c.buffered.Peek(len(data) + 1); err == io.EOF {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
	}
}

// start waits until the exchange may start and adds it to the unanswered ones. It returns errClosing if it may not start
// any more, and another error if the caller has gone.
func (c *conn) start(e *exchange, class Class, alone bool) error {
	for {
		c.mu.Lock()
		if c.order.closing {
			c.mu.Unlock()
			return errClosing
		}
		if c.order.mayStart(class, alone, c.server.depth()) && (c.unread < maxUnreadBytes || c.order.unanswered == 0) {
			c.order.start(class)
			c.add(e)
			if e.body != nil {
				c.inBody, c.input.body = true, e.body
			}
			c.mu.Unlock()
			return nil
		}
		c.awaitsTurn = true
		c.setDeadline(time.Time{})
		c.mu.Unlock()
		if err := c.awaitTurn(); err != nil {
			return err
		}
	}
}

// bodyEnded records that the reader has the connection back.
func (c *conn) bodyEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody, c.input.body = false, nil
	// The deadline of the body may lie far ahead.
	c.deadline = time.Time{}
}

// add adds an exchange to the unanswered ones. The caller holds mu.
func (c *conn) add(e *exchange) {
	if c.last == nil {
		c.first = e
	} else {
		c.last.next = e
	}
	c.last = e
}

// awaitTurn waits until wake is called, and returns an error if the caller goes before.
func (c *conn) awaitTurn() error {
	if buffered := c.buffered.Buffered(); buffered < c.buffered.Size() {
		_, err := c.buffered.Peek(buffered + 1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		return nil
	}
	poll := time.NewTimer(closePollInterval)
	defer poll.Stop()
	select {
	case <-c.turn:
	case <-poll.C:
		if isClosedByPeer(c.network) {
			return io.EOF
		}
	}
	return nil
}

// wake ends the wait of the reader. The caller holds mu.
func (c *conn) wake() {
	c.awaitsTurn = false
	if !c.left && !c.inBody {
		c.setDeadline(past)
	}
	select {
	case c.turn <- struct{}{}:
	default:
	}
}

// stopStarting lets no further request start. It reports whether the connection ends without a last answer.
func (c *conn) stopStarting() (silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.closing, c.left = true, true
	return c.silent
}

// shed gives the connection up for others. Requests in progress are still answered if the caller reads.
// blocked is set if the caller does not read an answer.
func (c *conn) shed(blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.closing, c.givenUp = true, true
	switch {
	case blocked:
		c.breakOffLocked()
	case c.inBody:
		c.setDeadline(past)
	default:
		c.silent = c.order.unanswered == 0
		c.wake()
	}
}

// close lets no further request start, and closes the connection at once if none is unanswered.
func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return
	}
	c.order.closing = true
	if c.order.unanswered == 0 {
		_ = c.network.Close()
	} else if c.awaitsTurn {
		c.wake()
	}
}

// awaitAnswers waits until all answers are written or given up.
func (c *conn) awaitAnswers() {
	for {
		c.mu.Lock()
		unanswered := c.order.unanswered
		c.mu.Unlock()
		if unanswered == 0 {
			return
		}
		<-c.turn
	}
}

// linger ends the writing side and reads for a moment what the caller still sends.
func (c *conn) linger() {
	half, ok := c.network.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.network.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.network, lingerBytes)
}
