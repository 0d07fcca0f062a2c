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

// Options bound the connections of a Transport.
type Options struct {
	// MaxConnections bounds the connections per address; further exchanges wait for a free one.
	MaxConnections int
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// IdleTimeout closes a connection without use.
	IdleTimeout time.Duration
}

// maxHeaderBytes bounds the headers of an answer.
const maxHeaderBytes = 64 << 10

// Transport makes HTTP/1.1 exchanges over kept connections, one at a time on each. It follows no redirects, uses no
// proxy and no compression, and sends each request at most once.
type Transport struct {
	rt *http.Transport
}

// NewTransport returns a transport without connections. Close it when it is no longer used.
func NewTransport(o Options) *Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &Transport{rt: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sentinelConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     o.MaxConnections,
		MaxIdleConnsPerHost: o.MaxConnections,
		IdleConnTimeout:     o.IdleTimeout,
		// The library's own bound of 10 MiB would let one answer take a sixth of a node's memory.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Close closes the idle connections. Connections in use close when their exchange ends or misses its deadline.
func (t *Transport) Close() { t.rt.CloseIdleConnections() }

// Call is one request to an address.
type Call struct {
	Method string
	// Address is an IP address and port.
	Address string
	// Host is the value of the header Host; empty for the address.
	Host string
	// Path is the escaped path.
	Path   string
	Header http.Header
	Body   []byte
	// MaxAnswer bounds the body of the answer, in bytes.
	MaxAnswer int64
	// Unframed accepts a body that ends with the connection. The caller must be able to tell such a body from one cut
	// short.
	Unframed bool
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes one exchange. When ctx ends first, the connection is closed. Errors are problem.NotSent when no byte was
// sent, problem.TooLarge for an answer over the limit, and problem.Unavailable for anything lost after sending; they
// wrap the error of ctx if it ended.
func (t *Transport) Do(ctx context.Context, c Call) (Response, error) {
	request, err := c.request()
	if err != nil {
		return Response{}, problem.New(problem.NotSent, "correct the address or the path", "bad request URL: %w", err)
	}
	// The body of the answer is read under this context too, so that a silent peer cannot hold the exchange.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var e exchange
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn}))
	answer, err := t.rt.RoundTrip(request)
	if err != nil {
		t.dropIdleAfterDeadline(ctx)
		return Response{}, e.failure(ctx, err)
	}
	defer answer.Body.Close()
	body, err := readWhole(c, answer)
	if err != nil {
		t.dropIdleAfterDeadline(ctx)
		return Response{}, err
	}
	return Response{Status: answer.StatusCode, Header: answer.Header, Body: body}, nil
}

// dropIdleAfterDeadline closes the idle connections when a deadline passed. A connection that went silent without a
// reset shows itself only so, and what lost track of it has often lost track of all; each of them would cost a request.
// With a slow server, which cannot be told from silence, this costs a new connection for each idle one.
func (t *Transport) dropIdleAfterDeadline(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.rt.CloseIdleConnections()
	}
}

// request returns c as an HTTP request that the library cannot rewind.
func (c Call) request() (*http.Request, error) {
	u, err := url.Parse("http://" + c.Address + c.Path)
	if err != nil {
		return nil, err
	}
	r := &http.Request{Method: c.Method, URL: u, Host: c.Host, Header: c.Header, Body: http.NoBody}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	if len(c.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(c.Body))
		r.ContentLength = int64(len(c.Body))
	}
	return r, nil
}

// exchange is the record of the connections that one call was given.
//
// net/http sends a request again on its own when a kept connection fails, if the method is GET, HEAD, OPTIONS or
// TRACE without a body, or if no byte was written. The first would run a request twice that the configuration holds
// to be non-idempotent; both would pass by the owner's lease check and the retry budget. A second connection is
// therefore aborted before anything is written to it.
type exchange struct {
	connection atomic.Pointer[sentinelConn]
}

// gotConn is called before the request is written to a connection.
func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn.(*sentinelConn)
	if !e.connection.CompareAndSwap(nil, conn) {
		conn.abort()
		return
	}
	conn.begin()
}

// failure returns the error for a call without an answer. It settles whether anything was sent.
func (e *exchange) failure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	conn := e.connection.Load()
	if conn == nil || !conn.abort() {
		return problem.New(problem.NotSent, "retry, at another node if this repeats", "nothing was sent: %w", err)
	}
	return problem.New(problem.Unavailable, "ask with the same request id whether it ran", "lost after sending: %w", err)
}

// readWhole reads the body of answer and checks that it is complete.
func readWhole(c Call, answer *http.Response) ([]byte, error) {
	if !c.Unframed && !hasLength(c.Method, answer) {
		return nil, problem.New(problem.Unavailable, "have the server state the length of its answer", "the answer has no length")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, c.MaxAnswer+1))
	if err != nil {
		return nil, problem.New(problem.Unavailable, "ask with the same request id whether it ran", "the answer was cut short: %w", err)
	}
	if int64(len(body)) > c.MaxAnswer {
		return nil, problem.New(problem.TooLarge, "ask for less data at once", "the answer is over %d bytes", c.MaxAnswer)
	}
	return body, nil
}

// hasLength reports whether the end of the body is marked by a length or by chunks. A body that ends with the
// connection cannot be told from one cut short.
func hasLength(method string, answer *http.Response) bool {
	if method == http.MethodHead || answer.StatusCode == http.StatusNoContent || answer.StatusCode == http.StatusNotModified {
		return true
	}
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}
