package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/zeebo/errs/v2"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/problem"
)

// maxResponseBytes is the maximum size of a response body. The status of a fleet of 840 nodes is below 1 MB.
const maxResponseBytes = 32 << 20

// Client reads from one node or gateway. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the node or gateway at address, which is host:port or an http URL.
func NewClient(address string) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{baseURL: strings.TrimSuffix(address, "/"), http: &http.Client{}}
}

// Status returns the status of the node. Errors of all methods are of the kind that the node reports, or of kind
// problem.Unavailable if it does not answer, or problem.Malformed if the response cannot be decoded.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, pathStatus, nil)
}

// Configuration returns the configuration in effect at the node.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	return get[Configuration](ctx, c, pathConfiguration, nil)
}

// Explain returns where the key is served and what determined its settings.
func (c *Client) Explain(ctx context.Context, q ExplainQuery) (Explanation, error) {
	query := url.Values{"service": {q.Service}, "tenant": {q.Tenant}, "key": {q.Key}}
	return get[Explanation](ctx, c, pathExplain, query)
}

// get sends a GET request for path and decodes the JSON response.
func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var out T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path+"?"+query.Encode(), nil)
	if err != nil {
		return out, problem.New(problem.NotSent, "name the node as host:port", "the address %q is not valid", c.baseURL)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return out, c.unavailableError(err)
	}
	defer response.Body.Close()
	if err := httpwire.CheckHead(response.StatusCode, response.Header); err != nil {
		// After 101 net/http hands the connection over, and a read of the body would not end with the context.
		return out, problem.New(problem.Malformed, "check that the address is the operator address of a node",
			"the response of %s is not valid: %w", c.baseURL, err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return out, c.unavailableError(err)
	}
	if response.StatusCode != http.StatusOK {
		return out, decodeProblem(response, body)
	}
	if err := json.Unmarshal(body, &out); err != nil || len(body) > maxResponseBytes {
		return out, problem.New(problem.Malformed, "check that the address is the operator address of a node",
			"the response of %s, %d bytes, cannot be read as JSON or is too long", c.baseURL, len(body))
	}
	return out, nil
}

// unavailableError returns the error for a node that did not answer. It removes the URL from err, because the URL
// contains the key to explain.
func (c *Client) unavailableError(err error) error {
	if wrapped, ok := err.(*url.Error); ok {
		err = wrapped.Err
	}
	return problem.New(problem.Unavailable, "check the address, or ask another node", "node %s does not answer: %w", c.baseURL, err)
}

// decodeProblem returns the error in the problem body of a response.
func decodeProblem(response *http.Response, body []byte) error {
	var p problemBody
	if json.Unmarshal(body, &p) != nil || p.Type == "" {
		return problem.New(problem.Malformed, "check that the address is the operator address of a node",
			"the node returned status %s", response.Status)
	}
	return problem.New(errs.Tag(p.Type), p.Remedy, "%s", p.Detail)
}
