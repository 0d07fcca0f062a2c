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
	// requestTime is the deadline of one request of the demo.
	requestTime = 2 * time.Second
	// loadWorkers callers send one request each at a time.
	loadWorkers = 8
	// loadPause is the pause of a caller between two requests.
	loadPause = 5 * time.Millisecond
	// maxCallerConnections bounds the connections to one node.
	maxCallerConnections = 64
)

// callers sends requests as callers do.
type callers struct {
	client *caller.Client
}

func newCallers() *callers { return &callers{client: caller.NewClient(maxCallerConnections)} }

// read returns a read of a key.
func read(tenant, key string) request.Request {
	return request.Request{
		Service: service, Tenant: tenant, Key: key, Method: "GET", Idempotent: true, Class: request.Interactive,
		Deadline: time.Now().Add(requestTime),
	}
}

// write returns a write of a key with a new request id.
func write(tenant, key, body string) request.Request {
	return request.Request{
		Service: service, Tenant: tenant, Key: key, Method: "POST", ID: uuid.Must(uuid.NewV7()).String(),
		Class: request.Interactive, Deadline: time.Now().Add(requestTime), Body: []byte(body),
	}
}

// send sends a request to a node and returns its answer.
func (c *callers) send(ctx context.Context, i *instance, r request.Request) (request.Answer, error) {
	return c.client.Do(ctx, i.callers, r)
}

// mustRun sends a request that has to be done.
func (c *callers) mustRun(ctx context.Context, i *instance, r request.Request) (request.Answer, error) {
	answer, err := c.send(ctx, i, r)
	if err != nil {
		return answer, err
	}
	if answer.Outcome != request.Done {
		return answer, fmt.Errorf("%s at %s: %s, %s (%s)", r.Method, i.name, answer.Outcome, answer.Reason, answer.Remedy)
	}
	return answer, nil
}

// tally counts the answers of a load.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(a request.Answer, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	name := a.Outcome.String()
	if a.Reason != "" {
		name += "/" + string(a.Reason)
	}
	if err != nil {
		name = "error"
	}
	t.counts[name]++
}

// String returns the counts.
func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var parts []string
	for name, n := range t.counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	return strings.Join(parts, ", ")
}

// failed returns the number of requests that were not done.
func (t *tally) failed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	failed := 0
	for name, n := range t.counts {
		if name != request.Done.String() {
			failed += n
		}
	}
	return failed
}

// load sends reads and writes through the instances until stop is called, which returns the tally.
func (c *callers) load(ctx context.Context, through []*instance) (stop func() *tally) {
	ctx, cancel := context.WithCancel(ctx)
	t := &tally{}
	var workers sync.WaitGroup
	for w := range loadWorkers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			c.loadOne(ctx, t, through, w)
		}()
	}
	return func() *tally {
		cancel()
		workers.Wait()
		return t
	}
}

// loadOne is one caller of a load.
func (c *callers) loadOne(ctx context.Context, t *tally, through []*instance, worker int) {
	ticker := time.NewTicker(loadPause)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("load-%d-%d", worker, n%50)
		r := read("beta", key)
		if n%2 == 0 {
			r = write("beta", key, "x")
		}
		// The request outlives the end of the load, so that none is cut by it.
		t.add(c.send(context.WithoutCancel(ctx), through[(worker+n)%len(through)], r))
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
