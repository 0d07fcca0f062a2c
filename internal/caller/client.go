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

// Bounds of a client.
const (
	clientDialTimeout = time.Second
	clientIdleTimeout = 30 * time.Second
	maxClientAnswer   = 64 << 20
)

// Client sends requests as a caller does. It is safe for concurrent use.
type Client struct {
	transport *httpwire.Transport
}

// NewClient returns a client that keeps at most maxConnections connections to each node.
func NewClient(maxConnections int) *Client {
	return &Client{transport: httpwire.NewTransport(httpwire.Options{
		MaxConnections: maxConnections,
		DialTimeout:    clientDialTimeout,
		IdleTimeout:    clientIdleTimeout,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.Close() }

// Do sends r once to the node at address (IP address and port) and waits until its deadline. The answer always
// states what is known; the error, of kind problem.NotSent or problem.Unavailable, tells that no node gave it.
// Redirects are returned, with Location as an address. Status is set for every answer of a node.
func (c *Client) Do(ctx context.Context, address string, r request.Request) (request.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	response, err := c.transport.Do(ctx, httpwire.Call{
		Method:    r.Method,
		Address:   address,
		Path:      "/v1/services/" + httpwire.EscapeKey(r.Service) + "/keys/" + httpwire.EscapeKey(r.Key),
		Header:    encodeHeaders(r),
		Body:      r.Body,
		MaxAnswer: maxClientAnswer,
	})
	if err != nil {
		return lost(err), err
	}
	return decodeAnswer(response)
}

// encodeHeaders returns the headers of r.
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

// lost returns the answer for an exchange that failed.
func lost(err error) request.Answer {
	if errors.Is(err, problem.NotSent) {
		return request.Refuse(request.OwnerUnreachable, problem.RemedyOf(err))
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return request.Uncertain(request.DeadlineExceeded, problem.RemedyOf(err))
	}
	return request.Uncertain(request.ConnectionLost, problem.RemedyOf(err))
}

// decodeAnswer returns the answer that a response stands for. One without a valid outcome states nothing.
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
		return a, problem.New(problem.Unavailable, "check that the address is that of a node", "the answer has no outcome")
	}
	var body httpwire.Problem
	// The headers carry the outcome; the problem body of a HEAD request is absent.
	_ = json.Unmarshal(response.Body, &body)
	a.Remedy = body.Remedy
	a.Location = locationAddress(response.Header.Get(httpwire.HeaderLocation))
	return a, nil
}

// locationAddress returns the address part of a redirect, or an empty text.
func locationAddress(location string) string {
	u, err := url.Parse(location)
	if err != nil || !strings.EqualFold(u.Scheme, "http") {
		return ""
	}
	return u.Host
}
