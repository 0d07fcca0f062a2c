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

// Paths of a backend server.
const (
	GrantsPath = "/grants"
	DrainPath  = "/drain"
	HealthPath = "/health"
	LoadPath   = "/load"
	KeysPath   = "/keys/"
)

// Limits of a client.
const (
	dialTimeout             = 500 * time.Millisecond
	idleTimeout             = 30 * time.Second
	maxControlResponseBytes = 64 << 10
	// maxBufferedBytes bounds the memory of all answers that are being read, in bytes. Reading one takes twice its size.
	maxBufferedBytes = 40 << 20
)

// Grants are all slices for which the node may send requests. They replace the grants sent before.
type Grants struct {
	Slices []ledger.SliceFence `json:"slices"`
	// ValidUntilUnixMS is the end of the node's lease by the wall clock of the instance, which node and backend server
	// share. A backend server that checks grants runs no requests under them after that time. It is an absolute time
	// because the node may be paused between reading its lease and sending the grants.
	ValidUntilUnixMS int64 `json:"valid_until_unix_ms"`
}

// Health is what the backend server reports about its health. It may be out of date or wrong.
type Health struct {
	Healthy bool `json:"healthy"`
	// Warm is false while the server is slow because it has just started or lost its caches.
	Warm     bool `json:"warm"`
	Draining bool `json:"draining"`
}

// Load is what the backend server reports about its load. It may be out of date or wrong.
type Load struct {
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
	Slots   uint32 `json:"slots"`
}

// Client sends requests and control calls to backend servers. It is safe for concurrent use.
type Client struct {
	// requests and control have separate connections, so that grants and health checks do not wait behind requests.
	requests, control *httpwire.Transport
	maxResponseBytes  int64
}

// NewClient returns a client that opens at most maxConnections connections for requests, and two more for control
// calls. maxResponseBytes is the maximum size of the response body of a request.
func NewClient(maxConnections int, maxResponseBytes int64) *Client {
	return &Client{
		requests:         newTransport(maxConnections),
		control:          newTransport(controlConnections),
		maxResponseBytes: maxResponseBytes,
	}
}

// controlConnections is 2 so that one connection remains for other control calls when one blocks.
const controlConnections = 2

func newTransport(connections int) *httpwire.Transport {
	return httpwire.NewTransport(httpwire.Options{
		MaxConnections:   connections,
		DialTimeout:      dialTimeout,
		IdleTimeout:      idleTimeout,
		MaxBufferedBytes: maxBufferedBytes,
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.requests.Close()
	c.control.Close()
}

// Grant sends all grants to the backend server. Errors are problem.NotSent and problem.Unavailable.
func (c *Client) Grant(ctx context.Context, address string, g Grants) error {
	if g.Slices == nil {
		g.Slices = []ledger.SliceFence{}
	}
	body, err := json.Marshal(g)
	if err != nil {
		return problem.New(problem.NotSent, "report this as a defect", "cannot encode grants: %w", err)
	}
	_, err = c.controlCall(ctx, http.MethodPut, address, GrantsPath, body)
	return err
}

// Drain tells the backend server that the node is stopping. Errors are those of Grant.
func (c *Client) Drain(ctx context.Context, address string) error {
	_, err := c.controlCall(ctx, http.MethodPut, address, DrainPath, nil)
	return err
}

// Health reads the health report. Errors are those of Grant, and problem.Malformed.
func (c *Client) Health(ctx context.Context, address string) (Health, error) {
	return getJSON[Health](ctx, c, address, HealthPath)
}

// Load reads the load report. Errors are those of Health.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	return getJSON[Load](ctx, c, address, LoadPath)
}

// getJSON reads a JSON value from a path. Unknown fields are ignored, so that backend servers can add fields.
func getJSON[T any](ctx context.Context, c *Client, address, path string) (T, error) {
	var value T
	body, err := c.controlCall(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, problem.New(problem.Malformed, "report the fault to the developers of the backend server", "cannot decode the response to GET %s: %w", path, err)
	}
	return value, nil
}

// controlCall makes one control call and returns the body of a 2xx response.
func (c *Client) controlCall(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	header := http.Header{}
	if len(body) > 0 {
		header.Set(httpwire.HeaderContentType, httpwire.ContentTypeJSON)
	}
	response, err := c.control.Do(ctx, httpwire.Call{
		Method: method, Address: address, Path: path, Header: header, Body: body, MaxResponseBytes: maxControlResponseBytes,
	})
	if err != nil {
		return nil, err
	}
	if response.Status < 200 || response.Status > 299 {
		return nil, problem.New(problem.Unavailable, "check the backend server", "%s %s returned status %d", method, path, response.Status)
	}
	return response.Body, nil
}
