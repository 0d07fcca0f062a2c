package backendserver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
)

// Paths of the backend server.
const (
	GrantsPath = "/grants"
	DrainPath  = "/drain"
	HealthPath = "/health"
	LoadPath   = "/load"
	KeysPath   = "/keys/"
)

// Bounds of a client.
const (
	dialTimeout      = 500 * time.Millisecond
	idleTimeout      = 30 * time.Second
	maxControlAnswer = 64 << 10
)

// Grants are all slices that the node may send requests for. They replace those sent before.
type Grants struct {
	Slices []ledger.SliceFence `json:"slices"`
	// ValidUntilUnixMS is the end of the node's lease by the wall clock of the instance, which node and backend server
	// share. A backend server that checks grants runs nothing for them after that time. An absolute time is used
	// because the node may be paused between reading its lease and sending the grants.
	ValidUntilUnixMS int64 `json:"valid_until_unix_ms"`
}

// Health is what the backend server states about its health. It may lag or be wrong.
type Health struct {
	Healthy bool `json:"healthy"`
	// Warm is false while the server is slow because it has just started or lost its caches.
	Warm     bool `json:"warm"`
	Draining bool `json:"draining"`
}

// Load is what the backend server states about its load. It may lag or be wrong.
type Load struct {
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
	Slots   uint32 `json:"slots"`
}

// Client speaks to backend servers. It is safe for concurrent use.
type Client struct {
	// requests and control are separate, so that grants and health do not wait for connections of requests.
	requests, control *httpwire.Transport
	maxAnswer         int64
}

// NewClient returns a client that uses at most maxConnections connections for requests, and two more for the rest.
// maxAnswer bounds the body of an answer, in bytes.
func NewClient(maxConnections int, maxAnswer int64) *Client {
	return &Client{
		requests:  newTransport(maxConnections),
		control:   newTransport(controlConnections),
		maxAnswer: maxAnswer,
	}
}

// controlConnections leaves one connection for the rest when a control call blocks.
const controlConnections = 2

func newTransport(connections int) *httpwire.Transport {
	return httpwire.NewTransport(httpwire.Options{
		MaxConnections: connections,
		DialTimeout:    dialTimeout,
		IdleTimeout:    idleTimeout,
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.requests.Close()
	c.control.Close()
}

// Grant sends all grants. Errors are problem.NotSent and problem.Unavailable.
func (c *Client) Grant(ctx context.Context, address string, g Grants) error {
	if g.Slices == nil {
		g.Slices = []ledger.SliceFence{}
	}
	body, err := json.Marshal(g)
	if err != nil {
		return problem.New(problem.NotSent, "report this fault", "cannot encode grants: %w", err)
	}
	_, err = c.call(ctx, http.MethodPut, address, GrantsPath, body)
	return err
}

// Drain tells the backend server that the node stops. Errors are as of Grant.
func (c *Client) Drain(ctx context.Context, address string) error {
	_, err := c.call(ctx, http.MethodPut, address, DrainPath, nil)
	return err
}

// Health reads the health. Errors are as of Grant, and problem.Malformed.
func (c *Client) Health(ctx context.Context, address string) (Health, error) {
	return read[Health](ctx, c, address, HealthPath)
}

// Load reads the load. Errors are as of Health.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	return read[Load](ctx, c, address, LoadPath)
}

// read gets a JSON value. Unknown fields are ignored, so that backend servers can add some.
func read[T any](ctx context.Context, c *Client, address, path string) (T, error) {
	var value T
	body, err := c.call(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, problem.New(problem.Malformed, "report the backend server", "bad answer to GET %s: %w", path, err)
	}
	return value, nil
}

// call makes one control call and returns the body of a 2xx answer.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	header := http.Header{}
	if len(body) > 0 {
		header.Set(httpwire.HeaderContentType, httpwire.ContentTypeJSON)
	}
	response, err := c.control.Do(ctx, httpwire.Call{
		Method: method, Address: address, Path: path, Header: header, Body: body, MaxAnswer: maxControlAnswer,
	})
	if err != nil {
		return nil, err
	}
	if response.Status < 200 || response.Status > 299 {
		return nil, problem.New(problem.Unavailable, "check the backend server", "%s %s was answered %d", method, path, response.Status)
	}
	return response.Body, nil
}
