package pipeline

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// body is the body of a request, read from the connection by the handler. The reader of the connection waits meanwhile.
//
// mu guards the fields below it.
type body struct {
	conn *conn
	// exchange is the one of the request. accounted is set if its handler reserves the memory for what it reads.
	exchange  *exchange
	accounted bool
	// aborted is set when the rest of the body is not needed any more.
	aborted atomic.Bool
	// expected is set if the caller awaits an interim answer before it sends the body.
	expected bool

	mu sync.Mutex
	// remaining is the rest of a body with a length, in bytes.
	remaining int64
	// chunks decodes a body without a length; nil for one with a length.
	chunks io.Reader
	// began is when the handler began to read, and arrived the bytes that it has read. deadline is the one that the handler
	// has set; zero for none.
	began    time.Time
	arrived  int64
	deadline time.Time
	// streamed is set once the body is passed on as it arrives. readBegan is when the present read began, waited the time of
	// earlier reads in the present interval of progress, and counted what had arrived when that began.
	streamed  bool
	readBegan time.Time
	waited    time.Duration
	counted   int64
	// err is the result of all further reads; io.EOF after the end of the body.
	err error
	// over is set when the reader of the connection has it back.
	over bool
}

// arrivedBody is a body that arrived together with its head.
type arrivedBody struct{ bytes.Reader }

// Close implements io.Closer.
func (*arrivedBody) Close() error { return nil }

// newBody returns the body of a request and what the handler reads from. The body is nil if nothing of it is left to be read
// from the connection, so that the reader of the connection need not wait for the handler.
func newBody(c *conn, req *http.Request) (*body, io.ReadCloser) {
	if req.ContentLength == 0 {
		return nil, http.NoBody
	}
	if size := req.ContentLength; size > 0 && size <= int64(c.buffered.Buffered()) {
		data := make([]byte, size)
		// All bytes are in the buffer.
		_, _ = io.ReadFull(c.buffered, data)
		arrived := &arrivedBody{}
		arrived.Reset(data)
		return nil, arrived
	}
	b := &body{conn: c, remaining: req.ContentLength, expected: expectsContinue(req)}
	if req.ContentLength < 0 {
		b.chunks = httputil.NewChunkedReader(c.buffered)
	}
	return b, b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over && b.err == nil {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if first := b.began.IsZero(); first || b.streamed {
		b.readBegan = time.Now()
		if first {
			b.began = b.readBegan
		}
		if err := b.extend(); err != nil {
			return 0, b.fail(err)
		}
	}
	if b.expected {
		b.expected = false
		if err := b.conn.writeContinue(); err != nil {
			return 0, b.fail(err)
		}
	}
	n, err := b.read(p)
	if b.streamed {
		b.waited += time.Since(b.readBegan)
	}
	if n > 0 {
		b.arrived += int64(n)
		b.conn.server.Governor.progress(b.conn, n)
		// Buffers that grow are up to twice as large as what is in them.
		if !b.accounted && !b.exchange.reserve(2*int64(n)) {
			return 0, b.fail(errNoMemory)
		}
	}
	if err != nil && err != io.EOF {
		return n, b.fail(err)
	}
	if err == io.EOF {
		b.err = io.EOF
		b.handBack()
	}
	return n, err
}

// read reads from the connection. It returns io.EOF at the end of the body, also together with its last bytes.
func (b *body) read(p []byte) (int, error) {
	if b.chunks != nil {
		n, err := b.chunks.Read(p)
		if err == io.EOF {
			err = b.conn.readTrailers()
		}
		return n, err
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.conn.buffered.Read(p)
	b.remaining -= int64(n)
	switch {
	case b.remaining == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// fail records why the body cannot be read further. The caller has gone unless the body is late or malformed.
func (b *body) fail(err error) error {
	b.err = err
	var netErr net.Error
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) && !netErr.Timeout() {
		b.conn.cancel()
	}
	return err
}

// handBack lets the reader of the connection continue.
func (b *body) handBack() {
	if !b.over {
		b.over = true
		b.conn.bodyOver <- struct{}{}
	}
}

// Close implements io.Closer. The handler need not call it.
func (b *body) Close() error { return nil }

// finish ends the reading when the handler has returned. It reports whether the body was read to its end; a rest that has
// arrived already is skipped.
func (b *body) finish() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over {
		// The reader of the connection uses the buffer again.
		return b.err == io.EOF
	}
	if buffered := b.conn.buffered; b.err == nil && b.chunks == nil && !b.expected && b.remaining <= int64(buffered.Buffered()) {
		_, _ = buffered.Discard(int(b.remaining))
		b.err = io.EOF
	}
	complete := b.err == io.EOF
	b.handBack()
	return complete
}

// setDeadline sets the deadline for reads of the body, until its end.
func (b *body) setDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = t
	if !b.over && !b.began.IsZero() {
		return b.extend()
	}
	return nil
}

// progressEnd returns when the present interval of progress of a streamed body ends; a time that is not after now if too
// little has arrived in it. Such a body holds a slot of a backend server, so that its rate counts in each interval of
// HeaderTimeout and not on average. Only the time of reads counts: the caller may be held up between them.
func (b *body) progressEnd(limits Limits) time.Time {
	now := time.Now()
	if waited := b.waited + now.Sub(b.readBegan); waited >= limits.HeaderTimeout {
		if !limits.progresses(b.arrived-b.counted, waited) {
			return now
		}
		b.readBegan, b.waited, b.counted = now, 0, b.arrived
	}
	return b.readBegan.Add(limits.HeaderTimeout - b.waited)
}

// stream records that the body is passed on as it arrives from now on.
func (b *body) stream() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streamed, b.counted = true, b.arrived
}

// errAborted is the error of reads of a body that is not needed any more.
var errAborted = errors.New("the rest of the body is not needed")

// abort ends a read that is in progress.
func (b *body) abort() {
	b.aborted.Store(true)
	c := b.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inBody && c.input.body == b {
		c.setDeadline(past)
	}
}

// extend sets the deadline of reads according to the progress of the body. It returns an error if the body is late, or its
// connection is given up.
func (b *body) extend() error {
	c, limits := b.conn, b.conn.server.limits()
	end := b.began.Add(limits.HeaderTimeout + limits.timeFor(b.arrived))
	if b.streamed {
		end = b.progressEnd(limits)
	}
	if !b.deadline.IsZero() && (limits.MinBytesPerSecond == 0 || b.deadline.Before(end)) {
		end = b.deadline
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.givenUp:
		return errNoMemory
	case b.aborted.Load():
		return errAborted
	case !time.Now().Before(end):
		return os.ErrDeadlineExceeded
	}
	c.setDeadline(end)
	return nil
}
