package httpwire

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"heatherreel/internal/problem"
)

// Options are the connection limits and timeouts of a Transport.
type Options struct {
	// MaxConnections is the maximum number of connections per address; further exchanges wait for a free one.
	MaxConnections int
	// DialTimeout is the time limit for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxBufferedBytes bounds the memory of all large response bodies that are being read, in bytes. Zero means no bound
	// besides that of each body.
	MaxBufferedBytes int64
}

// maxHeaderBytes is the maximum size of the headers of a response.
const maxHeaderBytes = 64 << 10

// IsFinalStatus reports whether a status is valid as that of an answer. A handler of net/http panics if it passes on one
// below 100, and after 101 (Switching Protocols) net/http hands over the connection, so that a read from it does not end
// with the context of the request.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

// Transport makes HTTP/1.1 exchanges over persistent connections, one at a time on each. It follows no redirects, uses
// no proxy and no compression, and sends each request at most once.
type Transport struct {
	rt *http.Transport
	// streams makes the exchanges with Call.Stream, each on a connection of its own: a stream cannot be sent again if an idle
	// connection turns out to be closed, and often its connection cannot be used again.
	streams *http.Transport
	bodies  *BodyReader
}

// NewTransport returns a transport without open connections. Call Close when it is no longer used.
func NewTransport(o Options) *Transport {
	streams := newTransport(o)
	streams.DisableKeepAlives = true
	return &Transport{bodies: NewBodyReader(o.MaxBufferedBytes), rt: newTransport(o), streams: streams}
}

func newTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newWriteTrackingConn(conn), nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     o.MaxConnections,
		MaxIdleConnsPerHost: o.MaxConnections,
		IdleConnTimeout:     o.IdleTimeout,
		// The default of net/http, 10 MiB, would let the headers of one response take a sixth of the 64 MB of
		// memory that a node may use.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes the idle connections. Connections in use close when their exchange ends or its deadline passes.
func (t *Transport) Close() { t.rt.CloseIdleConnections() }

// Call is one HTTP request to an address.
type Call struct {
	Method string
	// Address is an IP address and port.
	Address string
	// Host is the value of the Host header. If it is empty, the address is sent.
	Host string
	// Path is the percent-encoded path.
	Path   string
	Header http.Header
	Body   []byte
	// Stream is the body if it is passed on as it arrives; Body is empty then. Any error of it but io.EOF, and a length that
	// differs from StreamLength, end the exchange and close the connection, so that the server never gets a complete body. It
	// may still be read when Do has returned; its owner ends that.
	Stream io.Reader
	// AbortStream ends a read of Stream that is in progress. It is called once the connection is closed, as net/http waits for
	// that read before it ends the exchange. It may be nil if reads do not block.
	AbortStream func()
	// StreamLength is the length of Stream in bytes, or -1 if it is sent in chunks.
	StreamLength int64
	// ID identifies the request; empty if nothing does. A request that is sent again uses another connection than before: a
	// faulty server may write its first answer once more, and the ID in it would prove nothing.
	ID string
	// RetireAfter reports whether the connection is to carry no further exchange after an answer. It is nil if answers are
	// told apart by their IDs.
	RetireAfter func(status int, h http.Header) bool
	// MaxResponseBytes is the maximum size of the response body, in bytes.
	MaxResponseBytes int64
	// AllowCloseDelimited accepts a response body that is delimited only by the close of the connection (RFC 9112,
	// section 6.3). The caller must have another way to tell a complete body from a truncated one.
	AllowCloseDelimited bool
	// CheckHead is called before the body is read, unless it is nil. If it returns an error, the bytes received are not
	// an answer to the request: the exchange ends without reading the body.
	CheckHead func(status int, h http.Header) error
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends one request and reads the whole response. If ctx ends first, the connection is closed. Errors are
// problem.NotSent if no byte was sent, problem.TooLarge for a response over the limit, and problem.Unavailable for any
// failure after sending began; they wrap the error of ctx if it ended, and a problem.Malformed error if the bytes
// received are not an answer to the request.
func (t *Transport) Do(ctx context.Context, c Call) (Response, error) {
	// The response body is read under this context too, so that a peer that stops sending cannot block the exchange.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		response, reused, err := t.try(ctx, c)
		if reused && ctx.Err() == nil && problem.KindOf(err) == problem.NotSent {
			// The connection closed while it was idle, or held bytes that came after the last answer.
			continue
		}
		return response, err
	}
}

// try makes an attempt of an exchange, which is the last one unless it ends with problem.NotSent. It also reports whether
// the connection had been used before.
func (t *Transport) try(ctx context.Context, c Call) (answer Response, reused bool, err error) {
	request, err := c.request()
	if err != nil {
		return Response{}, false, problem.New(problem.NotSent, "correct the address or the path", "bad request URL: %w", err)
	}
	e := exchange{ctx: ctx, id: c.ID, abortStream: c.AbortStream}
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn}))
	rt := t.rt
	if c.Stream != nil {
		e.over = make(chan struct{})
		defer close(e.over)
		rt = t.streams
	}
	response, err := rt.RoundTrip(request)
	if err != nil {
		t.closeIdleAfterDeadline(ctx, c)
		return Response{}, e.reused, e.classifyError(ctx, err)
	}
	// Close ends the connection unless the body was read to its end.
	defer response.Body.Close()
	if !e.hasSent() {
		return Response{}, e.reused, e.classifyError(ctx, errUnsolicited)
	}
	if err := checkHead(c, response); err != nil {
		return Response{}, e.reused, err
	}
	body, err := t.readBody(c, response.Body)
	if err != nil {
		t.closeIdleAfterDeadline(ctx, c)
		if e.receivedMalformed() && problem.KindOf(err) == problem.Unavailable {
			err = errNoAnswer(problem.New(problem.Malformed, "correct the server", "%w", err))
		}
		return Response{}, e.reused, err
	}
	if conn := e.connection.Load(); conn != nil && conn.retired.Load() {
		// net/http began this exchange while the one before it ended, whose answer retired the connection.
		return Response{}, e.reused, errNoAnswer(problem.New(problem.Malformed, "correct the server", "the answer may be a copy of an earlier one"))
	} else if conn != nil && c.RetireAfter != nil && c.RetireAfter(response.StatusCode, response.Header) {
		conn.retired.Store(true)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, e.reused, nil
}

// errUnsolicited is the cause of the end of an exchange whose connection held bytes that came after the last answer.
var errUnsolicited = errors.New("the connection holds bytes that no request asked for")

// closeIdleAfterDeadline closes the idle connections if the deadline of ctx passed. A missed deadline is the only sign
// of a connection that fails without a reset, for example because a device on the path lost its connection state. Often
// all connections to the peer fail together, and each one left in the pool would fail another request. A slow server
// cannot be told from such a failure; for it, the price is to reopen the idle connections. An exchange with a stream shows
// nothing: the sender of the stream may be slow.
func (t *Transport) closeIdleAfterDeadline(ctx context.Context, c Call) {
	if c.Stream == nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.rt.CloseIdleConnections()
	}
}

// request returns c as an HTTP request whose body net/http cannot rewind to send it again.
func (c Call) request() (*http.Request, error) {
	u, err := url.Parse("http://" + c.Address + c.Path)
	if err != nil {
		return nil, err
	}
	r := &http.Request{Method: c.Method, URL: u, Host: c.Host, Header: c.Header, Body: http.NoBody}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	if c.Stream != nil {
		r.Body = io.NopCloser(c.Stream)
		r.ContentLength = c.StreamLength
		return r, nil
	}
	if len(c.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(c.Body))
		r.ContentLength = int64(len(c.Body))
	}
	return r, nil
}

// exchange records the connection that was used for one attempt, and aborts any further one after the request was sent.
//
// net/http retries a request on its own when a persistent connection fails, if the method is GET, HEAD, OPTIONS or
// TRACE without a body, or if no byte was written. A retry of the first kind could run a request twice that the
// configuration declares non-idempotent. Its connection is therefore aborted before anything is written to it.
type exchange struct {
	ctx context.Context
	// id is Call.ID.
	id         string
	connection atomic.Pointer[writeTrackingConn]
	// writes is the state of the writes of this exchange on connection.
	writes atomic.Pointer[writeState]
	// sent is true if a connection before the present one was written to.
	sent atomic.Bool
	// reused is true if the connection had been used before. It is written before the round trip ends.
	reused bool
	// over is closed at the end of an exchange with a stream; nil for others.
	over chan struct{}
	// abortStream is Call.AbortStream.
	abortStream func()
}

// gotConn is called each time net/http has chosen a connection, before the request is written to it.
func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn.(*writeTrackingConn)
	if previous := e.writes.Load(); previous != nil && previous.abort() {
		e.sent.Store(true)
	}
	if e.sent.Load() {
		conn.rejectWrites()
		return
	}
	e.reused = info.Reused
	if !conn.mayCarry(e.id) {
		conn.rejectWrites()
		return
	}
	e.connection.Store(conn)
	writes := &writeState{over: e.over, abortStream: e.abortStream}
	conn.beginExchange(e.ctx, writes)
	e.writes.Store(writes)
}

// hasSent reports whether a write of the request has started.
func (e *exchange) hasSent() bool {
	writes := e.writes.Load()
	return e.sent.Load() || writes != nil && writes.hasStarted()
}

// classifyError returns the error for a call without a response: problem.NotSent if nothing was written, otherwise
// problem.Unavailable. It aborts the connection, so that nothing can be written afterwards.
func (e *exchange) classifyError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	writes := e.writes.Load()
	if !e.sent.Load() && (writes == nil || !writes.abort()) {
		return problem.New(problem.NotSent, "retry, at another node if this repeats", "nothing was sent: %w", err)
	}
	if e.receivedMalformed() {
		return errNoAnswer(problem.New(problem.Malformed, "correct the server", "%w", err))
	}
	return problem.New(problem.Unavailable, "ask with the same request id whether it ran", "lost after sending: %w", err)
}

// receivedMalformed reports, for an exchange that failed after sending, whether the bytes received are the cause: neither
// the connection failed nor did the context end.
func (e *exchange) receivedMalformed() bool {
	conn := e.connection.Load()
	return conn != nil && e.ctx.Err() == nil && !e.sent.Load() && !conn.readFailed.Load()
}

// errNoAnswer returns the problem.Unavailable error for bytes that are not an answer to the request. It wraps cause,
// which is a problem.Malformed error.
func errNoAnswer(cause error) error {
	return problem.New(problem.Unavailable, "ask with the same request id whether it ran", "the server sent no answer: %w", cause)
}

// checkHead checks what can be known about response before its body is read. A body without end would otherwise hold
// the exchange until its deadline, or until the size limit has been read.
func checkHead(c Call, response *http.Response) error {
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		return errNoAnswer(err)
	}
	if c.CheckHead != nil {
		if err := c.CheckHead(response.StatusCode, response.Header); err != nil {
			return errNoAnswer(err)
		}
	}
	if !c.AllowCloseDelimited && !isSelfDelimited(c.Method, response) {
		return problem.New(problem.Unavailable, "have the server state the length of its answer", "the answer has no length")
	}
	if c.Method != http.MethodHead && response.ContentLength > c.MaxResponseBytes {
		return errTooLarge(c)
	}
	return nil
}

// errTooLarge returns the error for an answer over the size limit of c.
func errTooLarge(c Call) error {
	return problem.New(problem.TooLarge, "ask for less data at once", "the answer is over %d bytes", c.MaxResponseBytes)
}

// readBody reads a response body and checks that it is complete.
func (t *Transport) readBody(c Call, r io.Reader) ([]byte, error) {
	body, err := t.bodies.Read(r, c.MaxResponseBytes)
	switch problem.KindOf(err) {
	case problem.TooLarge:
		return nil, errTooLarge(c)
	case problem.Overloaded:
		return nil, problem.New(problem.TooLarge, "ask for less data at once", "the answer is too large at the moment: %w", err)
	}
	if err != nil {
		return nil, errCutShort(err)
	}
	return body, nil
}

// errCutShort returns the error for an answer whose body ended with err.
func errCutShort(err error) error {
	return problem.New(problem.Unavailable, "ask with the same request id whether it ran", "the answer was cut short: %w", err)
}

// isSelfDelimited reports whether the end of the response body is marked by a length or by chunked encoding. A body
// that ends with the connection cannot be told from a truncated one.
func isSelfDelimited(method string, response *http.Response) bool {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return true
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
