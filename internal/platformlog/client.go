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

	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
)

// Limits of the HTTP client.
const (
	dialTimeout = time.Second
	// replyMargin is how long the client waits for the reply after the wait time of a long poll has passed.
	replyMargin = 2 * time.Second
	// maxIdleConnections allows one connection for the long poll and one for appends.
	maxIdleConnections = 2
	idleTimeout        = time.Minute
	// maxPageSize bounds the encoded size of one page, in bytes.
	maxPageSize = 64 << 20
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

// appendReplyJSON is the JSON form of the reply to an append.
type appendReplyJSON struct {
	Offset ledger.Offset `json:"offset"`
}

// Client is a Log over HTTP. It is safe for concurrent use.
type Client struct {
	recordsURL string
	http       *http.Client
	traffic    Traffic
}

var _ Log = (*Client)(nil)

// NewClient returns a client of one stream of the log at baseURL, for example http://127.0.0.1:9000.
func NewClient(baseURL, stream string) *Client {
	c := &Client{recordsURL: fmt.Sprintf("%s/v1/streams/%s/records", baseURL, url.PathEscape(stream))}
	transport := &http.Transport{
		DialContext:         c.dial,
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL, bytes.NewReader(data))
	if err != nil {
		return 0, problem.New(problem.Invalid, "correct the URL of the log", "append: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, transportError("append", err)
	}
	defer discardBody(resp)
	if resp.StatusCode != http.StatusCreated {
		return 0, statusError("append", resp)
	}
	var decoded appendReplyJSON
	if err := json.NewDecoder(resp.Body).Decode(&decoded); err != nil {
		return 0, problem.New(problem.Unavailable, "read the stream to learn the outcome", "append: reply: %w", err)
	}
	return decoded.Offset, nil
}

// Read returns records; see Log.
func (c *Client) Read(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replyMargin)
	defer cancel()
	requestURL := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", c.recordsURL, from, max, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return Page{}, problem.New(problem.Invalid, "correct the URL of the log", "read: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Page{}, transportError("read", err)
	}
	defer discardBody(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return Page{}, statusError("read", resp)
	}
	var decoded pageJSON
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageSize)).Decode(&decoded); err != nil {
		return Page{}, problem.New(problem.Unavailable, "read again", "read: reply: %w", err)
	}
	if resp.StatusCode == http.StatusGone {
		return Page{Earliest: decoded.Earliest}, retentionError(from, decoded.Earliest)
	}
	return decodePage(decoded), nil
}

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
func transportError(operation string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return problem.New(problem.NotSent, "check the address and health of the log", "%s: %w", operation, err)
	}
	return problem.New(problem.Unavailable, "read the stream to learn the outcome", "%s: %w", operation, err)
}

// statusError returns the error for an unexpected HTTP status. A 4xx status proves that nothing was stored.
func statusError(operation string, resp *http.Response) error {
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return problem.New(problem.Malformed, "check the stream name and the versions of log and node",
			"%s: the log answered %s", operation, resp.Status)
	}
	return problem.New(problem.Unavailable, "read the stream to learn the outcome", "%s: the log answered %s", operation,
		resp.Status)
}

// discardBody reads the rest of a small body, so that the connection can be reused, and closes the body.
func discardBody(resp *http.Response) {
	const maxDiscarded = 64 << 10
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscarded)
	_ = resp.Body.Close()
}
