package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// result is how a client attempt ended. Status is 0 for a connection that ended without a complete answer.
type result struct {
	machine *machine
	id      string
	status  int
	served  bool
	sent    time.Time
	took    time.Duration
	// retryAfter is when the client is to come back.
	retryAfter time.Duration
}

// attempt is one client attempt.
type attempt struct {
	method, path, host string
	key                int
	body               []byte
	deadline           time.Duration
}

// client sends requests on new connections, as clients of a route do.
type client struct {
	rec       *recorder
	transport *http.Transport
}

func newClient(rec *recorder) *client {
	return &client{rec: rec, transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// send makes one attempt at a machine.
func (c *client) send(m *machine, a attempt) result {
	r := result{machine: m, id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, a.method, "http://"+m.address(portCallers)+a.path, bytes.NewReader(a.body))
	request.Host = a.host
	request.Header.Set("Heatherreel-Request-Id", r.id)
	request.Header.Set("Heatherreel-Deadline-Ms", strconv.Itoa(int(a.deadline.Milliseconds())))
	if a.key >= 0 {
		request.Header.Set("Heatherreel-Shard-Key", strconv.Itoa(a.key))
	}
	reason := ""
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		body, readError := io.ReadAll(response.Body)
		response.Body.Close()
		if readError == nil {
			r.status = response.StatusCode
			reason = response.Header.Get("Heatherreel-Reason")
			if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
				r.retryAfter = time.Duration(seconds * float64(time.Second))
			}
			r.served = r.status/100 == 2 && response.Header.Get("Heatherreel-Response-Signature") != "" && bytes.HasSuffix(body, []byte(r.id))
		}
	}
	r.took = time.Since(r.sent)
	c.rec.line("sent %s %s to %s key %d %d bytes: %d %s after %d ms", r.id, a.method, m.name, a.key, len(a.body), r.status, reason, r.took.Milliseconds())
	return r
}
