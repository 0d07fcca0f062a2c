package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/caller"
	"heatherreel/internal/request"
)

const (
	// requestTimeout is the time from sending a request to its deadline.
	requestTimeout = 2 * time.Second
	// loadWorkers is the number of concurrent callers of a load; each has one request in flight at a time.
	loadWorkers = 8
	// loadInterval is the time between two requests of one caller, unless an answer takes longer.
	loadInterval = 5 * time.Millisecond
	// maxCallerConnections limits the connections to one node.
	maxCallerConnections = 64
)

// requestClient sends requests to the callers address of a node.
type requestClient struct {
	client *caller.Client
}

func newRequestClient() *requestClient {
	return &requestClient{client: caller.NewClient(maxCallerConnections)}
}

// newRead returns an idempotent GET request for a key.
func newRead(tenant, key string) request.Request {
	return request.Request{
		Service: service, Tenant: tenant, Key: key, Method: "GET", Idempotent: true, Class: request.Interactive,
		Deadline: time.Now().Add(requestTimeout),
	}
}

// newWrite returns a POST request with a new request id. The backend servers of the demo append its body to the value
// of the key, so that the value shows a duplicate execution.
func newWrite(tenant, key, body string) request.Request {
	return request.Request{
		Service: service, Tenant: tenant, Key: key, Method: "POST", ID: uuid.Must(uuid.NewV7()).String(),
		Class: request.Interactive, Deadline: time.Now().Add(requestTimeout), Body: []byte(body),
	}
}

// send sends a request to the node of an instance.
func (c *requestClient) send(ctx context.Context, inst *instance, r request.Request) (request.Answer, error) {
	return c.client.Do(ctx, inst.callersAddress, r)
}

// requireDone sends a request and returns an error if its outcome is not done.
func (c *requestClient) requireDone(ctx context.Context, inst *instance, r request.Request) (request.Answer, error) {
	answer, err := c.send(ctx, inst, r)
	if err != nil {
		return answer, err
	}
	if answer.Outcome != request.Done {
		return answer, fmt.Errorf("%s at %s: %s, %s (%s)", r.Method, inst.name, answer.Outcome, answer.Reason, answer.Remedy)
	}
	return answer, nil
}

// outcomeCounts counts the answers of a load by outcome and reason.
type outcomeCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *outcomeCounts) add(answer request.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	name := answer.Outcome.String()
	if answer.Reason != "" {
		name += "/" + string(answer.Reason)
	}
	if err != nil {
		name = "error"
	}
	c.counts[name]++
}

// String lists the counts, such as "done 120, not-run/no_owner 2".
func (c *outcomeCounts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []string
	for name, n := range c.counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	return strings.Join(parts, ", ")
}

// failed returns the number of requests that were not done.
func (c *outcomeCounts) failed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := 0
	for name, n := range c.counts {
		if name != request.Done.String() {
			failed += n
		}
	}
	return failed
}

// startLoad sends reads and writes to the nodes of the instances in turn. The returned function stops the load, waits
// for the requests in flight, and returns the counts.
func (c *requestClient) startLoad(ctx context.Context, instances []*instance) (stop func() *outcomeCounts) {
	ctx, cancel := context.WithCancel(ctx)
	counts := &outcomeCounts{}
	var workers sync.WaitGroup
	for worker := range loadWorkers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			c.runLoadWorker(ctx, counts, instances, worker)
		}()
	}
	return func() *outcomeCounts {
		cancel()
		workers.Wait()
		return counts
	}
}

// runLoadWorker sends one request after another until ctx ends.
func (c *requestClient) runLoadWorker(ctx context.Context, counts *outcomeCounts, instances []*instance, workerIndex int) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("load-%d-%d", workerIndex, n%50)
		r := newRead("beta", key)
		if n%2 == 0 {
			r = newWrite("beta", key, "x")
		}
		// Stopping the load does not cancel requests in flight, which would count as failed.
		counts.add(c.send(context.WithoutCancel(ctx), instances[(workerIndex+n)%len(instances)], r))
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
