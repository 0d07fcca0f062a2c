package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// Limits of a client.
const (
	clientDialTimeout = time.Second
	clientIdleTimeout = 30 * time.Second
	maxResponseBytes  = 64 << 20
	// maxBufferedBytes bounds the memory of all answers that are being read, in bytes. It has room for one of the largest,
	// of which a copy is made.
	maxBufferedBytes = 2*maxResponseBytes + 1<<20
)

// Client sends the requests of a caller to nodes. It is safe for concurrent use.
type Client struct {
	transport *httpwire.Transport
}

// NewClient returns a client that opens at most maxConnections connections to each node.
func NewClient(maxConnections int) *Client {
	return &Client{transport: httpwire.NewTransport(httpwire.Options{
		MaxConnections:   maxConnections,
		DialTimeout:      clientDialTimeout,
		IdleTimeout:      clientIdleTimeout,
		MaxBufferedBytes: maxBufferedBytes,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.Close() }

// Do sends r once to the node at address (IP address and port) and waits until the deadline of r. The answer states the
// outcome even if there is an error; an error, of kind problem.NotSent or problem.Unavailable, means that the answer
// does not come from a node. Redirects are not followed but returned, with Location as an address. Status is set for
// every answer of a node.
func (c *Client) Do(ctx context.Context, address string, r request.Request) (request.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	response, err := c.transport.Do(ctx, httpwire.Call{
		Method:           r.Method,
		Address:          address,
		Path:             "/v1/services/" + httpwire.EscapeKey(r.Service) + "/keys/" + httpwire.EscapeKey(r.Key),
		Header:           encodeHeaders(r),
		Body:             r.Body,
		MaxResponseBytes: maxResponseBytes,
	})
	if err != nil {
		return failureAnswer(err), err
	}
	return decodeAnswer(response)
}

// encodeHeaders returns the HTTP headers that carry the fields of r.
func encodeHeaders(r request.Request) http.Header {
	h := http.Header{}
	h.Set(httpwire.HeaderTenant, r.Tenant)
	h.Set(httpwire.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	h.Set(httpwire.HeaderClass, r.Class.String())
	ms := max(time.Until(r.Deadline).Milliseconds(), 1)
	h.Set(httpwire.HeaderDeadline, strconv.FormatInt(ms, 10))
	httpwire.SetUnlessEmpty(h, httpwire.HeaderRequestID, r.ID)
	httpwire.SetUnlessEmpty(h, httpwire.HeaderContentType, r.ContentType)
	httpwire.SetUnlessEmpty(h, httpwire.HeaderTraceparent, r.Traceparent)
	return h
}

// failureAnswer returns the answer to a request whose exchange failed with err.
func failureAnswer(err error) request.Answer {
	if errors.Is(err, problem.NotSent) {
		return request.Refuse(request.OwnerUnreachable, problem.RemedyOf(err))
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return request.Uncertain(request.DeadlineExceeded, problem.RemedyOf(err))
	}
	return request.Uncertain(request.ConnectionLost, problem.RemedyOf(err))
}

// decodeAnswer decodes the response of a node. Without a valid outcome header, the outcome is unknown and an error is
// returned.
func decodeAnswer(response httpwire.Response) (request.Answer, error) {
	a := request.Answer{
		Status:      response.Status,
		ContentType: response.Header.Get(httpwire.HeaderContentType),
		Body:        response.Body,
		Reason:      request.Reason(response.Header.Get(httpwire.HeaderReason)),
	}
	switch response.Header.Get(httpwire.HeaderOutcome) {
	case request.Done.String():
		a.Outcome = request.Done
		return a, nil
	case request.NotRun.String():
		a.Outcome = request.NotRun
	case request.Unknown.String():
		a.Outcome = request.Unknown
	default:
		return a, problem.New(problem.Unavailable, "check that the address is that of a node", "the response has no valid outcome header")
	}
	var body httpwire.Problem
	// An error is ignored: the headers carry the outcome, and the response to a HEAD request has no body.
	_ = json.Unmarshal(response.Body, &body)
	a.Remedy = body.Remedy
	a.Location = locationAddress(response.Header.Get(httpwire.HeaderLocation))
	return a, nil
}

// locationAddress returns the host and port of a Location header, or an empty string if it is not an http URL.
func locationAddress(location string) string {
	u, err := url.Parse(location)
	if err != nil || !strings.EqualFold(u.Scheme, "http") {
		return ""
	}
	return u.Host
}
