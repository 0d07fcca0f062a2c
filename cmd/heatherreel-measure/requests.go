package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/caller"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/launch"
	"heatherreel/internal/ledger"
	"heatherreel/internal/operator"
	"heatherreel/internal/request"
)

// targetRate is the request rate of one node at the target size: 4.7 million a second over 840 nodes.
const targetRate = 4.7e6 / targetMembers

// ownedKey is a key with the slice that it belongs to.
type ownedKey struct {
	key   string
	slice keyspace.SliceID
	fence ledger.Offset
}

// path is one way of a request to the backend server of an owner.
type path struct {
	name string
	do   func(ctx context.Context, k ownedKey) (request.Answer, error)
}

// paths returns the ways that are compared: without nodes, through the owner, and through another node.
func paths(ingress, owner *instance, callers *caller.Client, backends *backendserver.Client) []path {
	through := func(i *instance) func(context.Context, ownedKey) (request.Answer, error) {
		return func(ctx context.Context, k ownedKey) (request.Answer, error) {
			return callers.Do(ctx, i.callers, readOf(k))
		}
	}
	return []path{
		{"direct to the backend server (baseline)", func(ctx context.Context, k ownedKey) (request.Answer, error) {
			return backends.Execute(ctx, owner.backend, k.slice, k.fence, readOf(k)), nil
		}},
		{"local: through the owner", through(owner)},
		{"forwarded: through another node", through(ingress)},
	}
}

// requestTime is the deadline of a measured request.
const requestTime = 2 * time.Second

// readOf returns a read of the key.
func readOf(k ownedKey) request.Request {
	return request.Request{
		Service: fleetService, Tenant: "beta", Key: k.key, Method: "GET", Idempotent: true, Class: request.Interactive,
		Deadline: time.Now().Add(requestTime),
	}
}

// keysOf returns keys that the instance owns.
func (f *measuredFleet) keysOf(ctx context.Context, owner *instance, count int) ([]ownedKey, error) {
	client := operator.NewClient(owner.operators)
	var keys []ownedKey
	for n := 0; len(keys) < count; n++ {
		key := fmt.Sprintf("position-%d", n)
		x, err := client.Explain(ctx, operator.ExplainQuery{Service: fleetService, Tenant: "beta", Key: key})
		if err != nil {
			return nil, err
		}
		if x.Owner == nil || x.Owner.Instance != owner.name {
			continue
		}
		slice := keyspace.SliceID{Group: keyspace.Group{Service: fleetService}, Index: x.Slice}
		keys = append(keys, ownedKey{key: key, slice: slice, fence: x.Fence})
	}
	return keys, nil
}

const (
	// measuredKeys are enough to spread over the slices of one owner.
	measuredKeys = 64
	// maxConnections bounds the connections of the load generator to one address.
	maxConnections = 64
	// highestLatency bounds the histograms, in nanoseconds.
	highestLatency = int64(10 * time.Second)
)

// measureRequests measures latency at a paced rate, then the processor time of each process at full speed.
func (f *measuredFleet) measureRequests(ctx context.Context) error {
	ingress, owner := f.instances[0], f.instances[2]
	keys, err := f.keysOf(ctx, owner, measuredKeys)
	if err != nil {
		return err
	}
	callers, backends := caller.NewClient(maxConnections), backendserver.NewClient(maxConnections, 1<<20)
	defer callers.Close()
	defer backends.Close()
	ways := paths(ingress, owner, callers, backends)
	if err := latencies(ctx, ways, keys); err != nil {
		return err
	}
	return f.throughput(ctx, ways, keys, ingress, owner)
}

const (
	pacedWorkers  = 6
	pacedInterval = 5 * time.Millisecond
	pacedTime     = 8 * time.Second
)

// latencies sends each request by all ways in turn, so that all meet the same conditions.
func latencies(ctx context.Context, ways []path, keys []ownedKey) error {
	histograms := make([]*hdrhistogram.Histogram, len(ways))
	for i := range histograms {
		histograms[i] = newHistogram()
	}
	var mu sync.Mutex
	err := workers(pacedWorkers, func(w int) error {
		ticker := time.NewTicker(pacedInterval)
		defer ticker.Stop()
		for n, end := w, time.Now().Add(pacedTime); time.Now().Before(end); n++ {
			way := n % len(ways)
			took, err := timed(ctx, ways[way], keys[n%len(keys)])
			if err != nil {
				return err
			}
			mu.Lock()
			err = histograms[way].RecordValue(int64(took))
			mu.Unlock()
			if err != nil {
				return err
			}
			<-ticker.C
		}
		return nil
	})
	if err != nil {
		return err
	}
	t := &table{
		title: fmt.Sprintf("Latency of reads that take 1 ms at the backend server stand-in, %d at most at once, %.0f requests/s in all",
			pacedWorkers, pacedWorkers/pacedInterval.Seconds()),
		header: []string{"way", "requests", "p50", "p99", "p99.9", "added p50", "added p99"},
	}
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
	for i, h := range histograms {
		t.add(ways[i].name, fmt.Sprint(h.TotalCount()), short(at(h, 50)), short(at(h, 99)), short(at(h, 99.9)),
			short(at(h, 50)-at(histograms[0], 50)), short(at(h, 99)-at(histograms[0], 99)))
	}
	t.print()
	return nil
}

// newHistogram returns a histogram of nanoseconds with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestLatency, 3) }

// timed sends one request and returns how long it took. The request must be done.
func timed(ctx context.Context, p path, k ownedKey) (time.Duration, error) {
	began := time.Now()
	answer, err := p.do(ctx, k)
	if err == nil && answer.Outcome != request.Done {
		err = fmt.Errorf("%s: %s, %s", p.name, answer.Outcome, answer.Reason)
	}
	return time.Since(began), err
}

// workers runs f n times at once and joins the errors.
func workers(n int, f func(worker int) error) error {
	errs := make([]error, n)
	var group sync.WaitGroup
	for w := range n {
		group.Add(1)
		go func() {
			defer group.Done()
			errs[w] = f(w)
		}()
	}
	group.Wait()
	return errors.Join(errs...)
}

const (
	fullSpeedWorkers = 32
	fullSpeedTime    = 5 * time.Second
)

// throughput sends requests one after another from many workers and reads the processor time of each process.
func (f *measuredFleet) throughput(ctx context.Context, ways []path, keys []ownedKey, ingress, owner *instance) error {
	t := &table{
		title: fmt.Sprintf("Processor time of a read, %d at once", fullSpeedWorkers),
		header: []string{"way", "requests/s", "p50", "p99", "ingress node", "owner node", "both nodes", "requests/s per core of the nodes",
			fmt.Sprintf("cores at %.0f requests/s", targetRate), "backend server", "generator"},
	}
	processes := []*launch.Process{ingress.node, owner.node, owner.server}
	for _, way := range ways {
		h := newHistogram()
		generator := ownProcessorTime()
		used, err := within(ctx, processes, func(ctx context.Context) error { return fullSpeed(ctx, way, keys, h) })
		if err != nil {
			return err
		}
		generator = ownProcessorTime() - generator
		n := h.TotalCount()
		per := func(d time.Duration) time.Duration { return d / time.Duration(n) }
		both := per(used[0] + used[1])
		perCore, cores := "", ""
		if both > time.Microsecond {
			perCore, cores = number(1/both.Seconds()), fmt.Sprintf("%.2f", both.Seconds()*targetRate)
		}
		t.add(way.name, number(float64(n)/fullSpeedTime.Seconds()), short(time.Duration(h.ValueAtQuantile(50))),
			short(time.Duration(h.ValueAtQuantile(99))), short(per(used[0])), short(per(used[1])), short(both), perCore, cores,
			short(per(used[2])), short(per(generator)))
	}
	t.print()
	return nil
}

// fullSpeed sends requests as fast as the workers get answers.
func fullSpeed(ctx context.Context, way path, keys []ownedKey, h *hdrhistogram.Histogram) error {
	var mu sync.Mutex
	return workers(fullSpeedWorkers, func(w int) error {
		for n, end := w, time.Now().Add(fullSpeedTime); time.Now().Before(end); n++ {
			took, err := timed(ctx, way, keys[n%len(keys)])
			if err != nil {
				return err
			}
			mu.Lock()
			err = h.RecordValue(int64(took))
			mu.Unlock()
			if err != nil {
				return err
			}
		}
		return nil
	})
}
