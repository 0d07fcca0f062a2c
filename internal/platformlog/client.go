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

// Bounds of the HTTP client.
const (
	dialTimeout = time.Second
	// replyMargin is how long after the end of a long poll an answer is still awaited.
	replyMargin = 2 * time.Second
	// maxIdleConnections is one for the long poll and one for appends.
	maxIdleConnections = 2
	idleTimeout        = time.Minute
	// maxPageSize bounds the bytes of one page that are read.
	maxPageSize = 64 << 20
)

// storedRecord is the JSON form of one record in a page.
type storedRecord struct {
	Offset ledger.Offset `json:"offset"`
	Data   []byte        `json:"data"`
}

// storedPage is the JSON form of a page; Records and Next are missing in the answer 410.
type storedPage struct {
	Records  []storedRecord `json:"records"`
	Next     ledger.Offset  `json:"next"`
	Earliest ledger.Offset  `json:"earliest"`
}

// appendReply is the JSON answer to an append.
type appendReply struct {
	Offset ledger.Offset `json:"offset"`
}

// Client is a Log over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	traffic Traffic
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the stream at the log with the base URL, for example http://127.0.0.1:9000.
func NewClient(baseURL, stream string) *Client {
	c := &Client{base: fmt.Sprintf("%s/v1/streams/%s/records", baseURL, url.PathEscape(stream))}
	transport := &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c.http = &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return c
}

// dial opens a connection whose traffic is counted.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: &c.traffic}, nil
}

// Traffic returns the counters of all connections of the client.
func (c *Client) Traffic() *Traffic { return &c.traffic }

// refuseRedirect keeps the client from sending records to another address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append adds a record; see Log.
func (c *Client) Append(ctx context.Context, record *ledger.Record) (ledger.Offset, error) {
	data, err := Encode(record)
	if err != nil {
		return 0, err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base, bytes.NewReader(data))
	if err != nil {
		return 0, problem.New(problem.Invalid, "correct the URL of the log", "append: %w", err)
	}
	q.Header.Set("Content-Type", "application/json")
	reply, err := c.http.Do(q)
	if err != nil {
		return 0, transportError("append", err)
	}
	defer drain(reply)
	if reply.StatusCode != http.StatusCreated {
		return 0, statusError("append", reply)
	}
	var answer appendReply
	if err := json.NewDecoder(reply.Body).Decode(&answer); err != nil {
		return 0, problem.New(problem.Unavailable, "read the stream to learn the outcome", "append: reply: %w", err)
	}
	return answer.Offset, nil
}

// Read returns records; see Log.
func (c *Client) Read(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replyMargin)
	defer cancel()
	target := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", c.base, from, max, wait.Milliseconds())
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Page{}, problem.New(problem.Invalid, "correct the URL of the log", "read: %w", err)
	}
	reply, err := c.http.Do(q)
	if err != nil {
		return Page{}, transportError("read", err)
	}
	defer drain(reply)
	if reply.StatusCode != http.StatusOK && reply.StatusCode != http.StatusGone {
		return Page{}, statusError("read", reply)
	}
	var stored storedPage
	if err := json.NewDecoder(io.LimitReader(reply.Body, maxPageSize)).Decode(&stored); err != nil {
		return Page{}, problem.New(problem.Unavailable, "read again", "read: reply: %w", err)
	}
	if reply.StatusCode == http.StatusGone {
		return Page{Earliest: stored.Earliest}, forgotten(from, stored.Earliest)
	}
	return decodePage(stored), nil
}

// forgotten returns the error for an offset that retention has passed.
func forgotten(from, earliest ledger.Offset) error {
	return problem.New(problem.Forgotten, "start from a checkpoint or a snapshot of another node",
		"offset %d is older than the earliest kept offset %d", from, earliest)
}

// decodePage decodes the records; one that is malformed keeps its offset with a nil record.
func decodePage(stored storedPage) Page {
	page := Page{Next: stored.Next, Earliest: stored.Earliest, Entries: make([]Entry, 0, len(stored.Records))}
	for _, s := range stored.Records {
		r, err := Decode(s.Data)
		if err != nil {
			r = nil
		}
		page.Entries = append(page.Entries, Entry{Offset: s.Offset, Record: r})
	}
	return page
}

// transportError tells a call that never left from one whose outcome is unknown.
func transportError(call string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return problem.New(problem.NotSent, "check the address and health of the log", "%s: %w", call, err)
	}
	return problem.New(problem.Unavailable, "read the stream to learn the outcome", "%s: %w", call, err)
}

// statusError maps a status other than success. Client errors prove that nothing was stored.
func statusError(call string, reply *http.Response) error {
	if reply.StatusCode >= 400 && reply.StatusCode < 500 {
		return problem.New(problem.Malformed, "check the stream name and the versions of log and node",
			"%s: the log answered %s", call, reply.Status)
	}
	return problem.New(problem.Unavailable, "read the stream to learn the outcome", "%s: the log answered %s", call,
		reply.Status)
}

// drain reads the rest of a small body, so that the connection can be reused, and closes it.
func drain(reply *http.Response) {
	const maxDrained = 64 << 10
	_, _ = io.CopyN(io.Discard, reply.Body, maxDrained)
	_ = reply.Body.Close()
}
