package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/zeebo/errs/v2"

	"heatherreel/internal/problem"
)

// maxAnswer bounds an answer, in bytes; a status of 840 nodes is below 1 MB.
const maxAnswer = 32 << 20

// Client asks one node. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the node at address, which is host:port or an http URL.
func NewClient(address string) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimSuffix(address, "/"), http: &http.Client{}}
}

// Status returns the status of the node. Errors of all methods are of the kind that the node states, or
// problem.Unavailable if it gives no answer, or problem.Malformed if the answer cannot be decoded.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, pathStatus, nil)
}

// Configuration returns the configuration in effect at the node.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	return get[Configuration](ctx, c, pathConfiguration, nil)
}

// Explain returns where the key is served and what decided its settings.
func (c *Client) Explain(ctx context.Context, s Subject) (Explanation, error) {
	query := url.Values{"service": {s.Service}, "tenant": {s.Tenant}, "key": {s.Key}}
	return get[Explanation](ctx, c, pathExplain, query)
}

// get asks for one path and decodes the answer.
func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var out T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return out, problem.New(problem.NotSent, "name the node as host:port", "the address %q is not valid", c.base)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return out, c.unreachable(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return out, c.unreachable(err)
	}
	if response.StatusCode != http.StatusOK {
		return out, readProblem(response, body)
	}
	if err := json.Unmarshal(body, &out); err != nil || len(body) > maxAnswer {
		return out, problem.New(problem.Malformed, "check that the address is the operator address of a node",
			"the answer of %s is not readable: %d bytes", c.base, len(body))
	}
	return out, nil
}

// unreachable returns the error for a node that gave no answer. It leaves out the URL, which has the key to explain.
func (c *Client) unreachable(err error) error {
	if wrapped, ok := err.(*url.Error); ok {
		err = wrapped.Err
	}
	return problem.New(problem.Unavailable, "check the address, or ask another node", "node %s does not answer: %w", c.base, err)
}

// readProblem returns the error that a refusal states.
func readProblem(response *http.Response, body []byte) error {
	var p problemBody
	if json.Unmarshal(body, &p) != nil || p.Type == "" {
		return problem.New(problem.Malformed, "check that the address is the operator address of a node",
			"the node answered %s", response.Status)
	}
	return problem.New(errs.Tag(p.Type), p.Remedy, "%s", p.Detail)
}
