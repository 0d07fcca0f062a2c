package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
)

// Limits of the HTTP client.
const (
	dialTimeout = time.Second
	// SilenceTimeout is the longest time without data from the log while a reply is due or arrives.
	SilenceTimeout = 2 * time.Second
	// transferTimeout bounds a call whose reply keeps arriving. A page of the largest size takes 17 s over a link of 30
	// Mbit/s.
	transferTimeout = 30 * time.Second
	// minUploadRate, in bytes per second, is about a quarter of the cross-region link. The time to send a record is
	// estimated with it, because the log replies only after the whole record has arrived.
	minUploadRate = 1 << 20
	// maxIdleConnections allows one connection for the long poll and one for appends.
	maxIdleConnections = 2
	idleTimeout        = time.Minute
	// maxPageSize bounds the encoded size of one page, in bytes.
	maxPageSize = 64 << 20
	// maxAppendReplySize bounds the reply to an append, in bytes.
	maxAppendReplySize = 64 << 10
)

// recordJSON is the JSON form of one record in a page.
type recordJSON struct {
	Offset ledger.Offset `json:"offset"`
	Data   []byte        `json:"data"`
}

// pageJSON is the JSON form of a page. A reply with status 410 has only Earliest.
type pageJSON struct {
	Records  []recordJSON  `json:"records"`
	Next     ledger.Offset `json:"next"`
	Earliest ledger.Offset `json:"earliest"`
}

// continues reports whether the page is a reply to a read at the offset from: a reader that followed another one would read
// records twice, pass some by, or read again without a pause.
func (p *pageJSON) continues(from ledger.Offset, status int) bool {
	if status == http.StatusGone {
		return p.Earliest > from
	}
	next := from
	for _, r := range p.Records {
		if r.Offset < next {
			return false
		}
		next = r.Offset + 1
	}
	return p.Next >= next
}

// appendReplyJSON is the JSON form of the reply to an append.
type appendReplyJSON struct {
	Offset ledger.Offset `json:"offset"`
}

// Client is a Log over HTTP. It is safe for concurrent use.
type Client struct {
	recordsURL string
	http       *http.Client
	traffic    Traffic
	// transferTimeout is the constant with this name; tests shorten it.
	transferTimeout time.Duration
}

var _ Log = (*Client)(nil)

// NewClient returns a client of one stream of the log at baseURL, for example http://127.0.0.1:9000.
func NewClient(baseURL, stream string) *Client {
	c := &Client{recordsURL: fmt.Sprintf("%s/v1/streams/%s/records", baseURL, url.PathEscape(stream)), transferTimeout: transferTimeout}
	transport := &http.Transport{
		DialContext:         httpwire.DialSilenceLimited(c.dial),
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c.http = &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return c
}

// dial opens a connection that counts its traffic in c.traffic.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: &c.traffic}, nil
}

// Traffic returns the traffic counters of all connections of the client.
func (c *Client) Traffic() *Traffic { return &c.traffic }

// refuseRedirect prevents the client from following redirects, which could send records to another address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append adds a record; see Log.
func (c *Client) Append(ctx context.Context, record *ledger.Record) (ledger.Offset, error) {
	data, err := Encode(record)
	if err != nil {
		return 0, err
	}
	r, err := c.call(ctx, call{operation: "append", method: http.MethodPost, url: c.recordsURL, body: data, maxReplySize: maxAppendReplySize})
	if err != nil {
		return 0, outcomeUnknown(err)
	}
	if r.status != http.StatusCreated {
		return 0, statusError("append", r.status)
	}
	var decoded appendReplyJSON
	if err := json.Unmarshal(r.body, &decoded); err != nil {
		return 0, problem.New(problem.Unavailable, remedyRead, "append: reply: %w", err)
	}
	return decoded.Offset, nil
}

// outcomeUnknown returns the error of an append, which is problem.Unavailable unless nothing was sent.
func outcomeUnknown(err error) error {
	if problem.KindOf(err) != problem.TooLarge {
		return err
	}
	return problem.New(problem.Unavailable, remedyRead, "%w", err)
}

// Read returns records; see Log.
func (c *Client) Read(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (Page, error) {
	requestURL := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", c.recordsURL, from, max, wait.Milliseconds())
	r, err := c.call(ctx, call{operation: "read", method: http.MethodGet, url: requestURL, wait: wait, maxReplySize: maxPageSize})
	if err != nil {
		return Page{}, err
	}
	if r.status != http.StatusOK && r.status != http.StatusGone {
		return Page{}, statusError("read", r.status)
	}
	var decoded pageJSON
	if err := json.Unmarshal(r.body, &decoded); err != nil {
		return Page{}, problem.New(problem.Unavailable, "read again", "read: reply: %w", err)
	}
	if !decoded.continues(from, r.status) {
		return Page{}, problem.New(problem.Unavailable, "check that the address is that of the log",
			"read: the reply with status %d does not continue at offset %d", r.status, from)
	}
	if r.status == http.StatusGone {
		return Page{Earliest: decoded.Earliest}, retentionError(from, decoded.Earliest)
	}
	return decodePage(decoded), nil
}

// call is one HTTP request to the log.
type call struct {
	operation, method, url string
	body                   []byte
	// wait is how long the log may wait for records before it replies.
	wait time.Duration
	// maxReplySize bounds the reply, in bytes.
	maxReplySize int64
}

// reply is a complete reply of the log. The body is set only for statuses below 300 and StatusGone.
type reply struct {
	status int
	body   []byte
}

// call sends one HTTP request and reads the reply. Errors are problem.NotSent, problem.Unavailable, and problem.TooLarge
// for a reply over the size limit, or one that has not arrived completely within transferTimeout.
func (c *Client) call(ctx context.Context, l call) (reply, error) {
	caller := ctx
	due := l.wait + time.Duration(len(l.body))*time.Second/minUploadRate
	ctx, cancel := context.WithTimeout(ctx, due+c.transferTimeout)
	defer cancel()
	ctx, end := httpwire.LimitSilence(ctx, httpwire.SilenceLimits{First: due + SilenceTimeout, Next: SilenceTimeout})
	defer end()
	req, err := http.NewRequestWithContext(ctx, l.method, l.url, bytes.NewReader(l.body))
	if err != nil {
		return reply{}, problem.New(problem.Invalid, "correct the URL of the log", "%s: %w", l.operation, err)
	}
	if len(l.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, transportError(ctx, l.operation, err)
	}
	defer resp.Body.Close()
	if err := httpwire.CheckHead(resp.StatusCode, resp.Header); err != nil {
		// After 101 net/http hands the connection over, and a read of the body would not end with the context.
		return reply{}, problem.New(problem.Unavailable, remedyRead, "%s: %w", l.operation, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices && resp.StatusCode != http.StatusGone {
		discardBody(resp)
		return reply{status: resp.StatusCode}, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, l.maxReplySize+1))
	if err != nil && caller.Err() == nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return reply{}, problem.New(problem.TooLarge, remedyReadFewer, "%s: %d bytes of the reply arrived in %v", l.operation, len(body), c.transferTimeout)
	}
	if err != nil {
		return reply{}, problem.New(problem.Unavailable, remedyRead, "%s: reply: %w", l.operation, httpwire.CallError(ctx, err))
	}
	if int64(len(body)) > l.maxReplySize {
		return reply{}, problem.New(problem.TooLarge, remedyReadFewer, "%s: the reply is over %d bytes", l.operation, l.maxReplySize)
	}
	return reply{status: resp.StatusCode, body: body}, nil
}

// Remedies of errors.
const (
	// remedyRead is that of a call with an unknown outcome.
	remedyRead      = "read the stream to learn the outcome"
	remedyReadFewer = "read fewer records at once"
)

// retentionError returns the error for a read at an offset that the log no longer retains.
func retentionError(from, earliest ledger.Offset) error {
	return problem.New(problem.PastRetention, "start from a checkpoint or a snapshot of another node",
		"offset %d is older than the earliest kept offset %d", from, earliest)
}

// decodePage decodes the records of a page. A malformed record becomes an entry with its offset and a nil record.
func decodePage(encoded pageJSON) Page {
	page := Page{Next: encoded.Next, Earliest: encoded.Earliest, Entries: make([]Entry, 0, len(encoded.Records))}
	for _, record := range encoded.Records {
		r, err := Decode(record.Data)
		if err != nil {
			r = nil
		}
		page.Entries = append(page.Entries, Entry{Offset: record.Offset, Record: r})
	}
	return page
}

// transportError maps an error of the transport to problem.NotSent if no connection could be opened, and to
// problem.Unavailable otherwise, as the outcome of the call is unknown then.
func transportError(ctx context.Context, operation string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return problem.New(problem.NotSent, "check the address and health of the log", "%s: %w", operation, err)
	}
	return problem.New(problem.Unavailable, remedyRead, "%s: %w", operation, httpwire.CallError(ctx, err))
}

// statusError returns the error for an unexpected HTTP status. A 4xx status proves that nothing was stored.
func statusError(operation string, status int) error {
	if status >= 400 && status < 500 {
		return problem.New(problem.Malformed, "check the stream name and the versions of log and node",
			"%s: the log answered with status %d", operation, status)
	}
	return problem.New(problem.Unavailable, remedyRead, "%s: the log answered with status %d", operation, status)
}

// discardBody reads a small body, so that the connection can be used again.
func discardBody(resp *http.Response) {
	const maxDiscarded = 64 << 10
	if resp.ContentLength <= maxDiscarded {
		// An error only ends the use of the connection.
		_, _ = io.CopyN(io.Discard, resp.Body, max(resp.ContentLength, 0))
	}
}
