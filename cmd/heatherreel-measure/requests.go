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

// ownedKey is a key with its slice and the fence of the owner.
type ownedKey struct {
	key   string
	slice keyspace.SliceID
	fence ledger.Offset
}

// requestPath is a path of requests from the load generator to the backend server of an owner.
type requestPath struct {
	name string
	do   func(ctx context.Context, k ownedKey) (request.Answer, error)
}

// requestPaths returns the paths that are compared: without nodes (the baseline), through the owner, and through
// another node.
func requestPaths(ingress, owner *instance, callerClient *caller.Client, backendClient *backendserver.Client) []requestPath {
	through := func(inst *instance) func(context.Context, ownedKey) (request.Answer, error) {
		return func(ctx context.Context, k ownedKey) (request.Answer, error) {
			return callerClient.Do(ctx, inst.callersAddress, newRead(k))
		}
	}
	return []requestPath{
		{"direct to the backend server (baseline)", func(ctx context.Context, k ownedKey) (request.Answer, error) {
			return backendClient.Execute(ctx, owner.backendAddress, k.slice, k.fence, newRead(k)), nil
		}},
		{"local: through the owner", through(owner)},
		{"forwarded: through another node", through(ingress)},
	}
}

// requestTimeout is the time from sending a measured request to its deadline.
const requestTimeout = 2 * time.Second

// newRead returns an idempotent GET request for the key.
func newRead(k ownedKey) request.Request {
	return request.Request{
		Service: fleetService, Tenant: "beta", Key: k.key, Method: "GET", Idempotent: true, Class: request.Interactive,
		Deadline: time.Now().Add(requestTimeout),
	}
}

// findOwnedKeys returns keys whose slices the instance owns.
func (f *measuredFleet) findOwnedKeys(ctx context.Context, owner *instance, count int) ([]ownedKey, error) {
	client := operator.NewClient(owner.operatorsAddress)
	var keys []ownedKey
	for n := 0; len(keys) < count; n++ {
		key := fmt.Sprintf("position-%d", n)
		explanation, err := client.Explain(ctx, operator.ExplainQuery{Service: fleetService, Tenant: "beta", Key: key})
		if err != nil {
			return nil, err
		}
		if explanation.Owner == nil || explanation.Owner.Instance != owner.name {
			continue
		}
		slice := keyspace.SliceID{Group: keyspace.Group{Service: fleetService}, Index: explanation.Slice}
		keys = append(keys, ownedKey{key: key, slice: slice, fence: explanation.Fence})
	}
	return keys, nil
}

const (
	// measuredKeyCount is enough for the keys to spread over the slices of one owner.
	measuredKeyCount = 64
	// maxConnections limits the connections of the load generator to one address.
	maxConnections = 64
	// maxLatency is the largest value that the histograms record, in nanoseconds.
	maxLatency = int64(10 * time.Second)
)

// measureRequests measures the latency at a fixed rate, then the CPU time of each process at full speed.
func (f *measuredFleet) measureRequests(ctx context.Context) error {
	ingress, owner := f.instances[0], f.instances[2]
	keys, err := f.findOwnedKeys(ctx, owner, measuredKeyCount)
	if err != nil {
		return err
	}
	callerClient, backendClient := caller.NewClient(maxConnections), backendserver.NewClient(maxConnections, 1<<20)
	defer callerClient.Close()
	defer backendClient.Close()
	paths := requestPaths(ingress, owner, callerClient, backendClient)
	if err := measureLatencies(ctx, paths, keys); err != nil {
		return err
	}
	return f.measureThroughput(ctx, paths, keys, ingress, owner)
}

// Load of measureLatencies: each worker sends one request per pacedInterval, for pacedDuration.
const (
	pacedWorkers  = 6
	pacedInterval = 5 * time.Millisecond
	pacedDuration = 8 * time.Second
)

// measureLatencies sends requests over all paths in turn, so that all paths are measured under the same conditions.
func measureLatencies(ctx context.Context, paths []requestPath, keys []ownedKey) error {
	histograms := make([]*hdrhistogram.Histogram, len(paths))
	for i := range histograms {
		histograms[i] = newHistogram()
	}
	var mu sync.Mutex
	err := runWorkers(pacedWorkers, func(worker int) error {
		ticker := time.NewTicker(pacedInterval)
		defer ticker.Stop()
		for n, end := worker, time.Now().Add(pacedDuration); time.Now().Before(end); n++ {
			path := n % len(paths)
			took, err := sendTimed(ctx, paths[path], keys[n%len(keys)])
			if err != nil {
				return err
			}
			mu.Lock()
			err = histograms[path].RecordValue(int64(took))
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
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
	for i, h := range histograms {
		t.add(paths[i].name, fmt.Sprint(h.TotalCount()),
			formatDuration(quantile(h, 50)), formatDuration(quantile(h, 99)), formatDuration(quantile(h, 99.9)),
			formatDuration(quantile(h, 50)-quantile(histograms[0], 50)),
			formatDuration(quantile(h, 99)-quantile(histograms[0], 99)))
	}
	t.print()
	return nil
}

// newHistogram returns a histogram of nanoseconds with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

// sendTimed sends one request and returns how long it took. It returns an error if the outcome is not done.
func sendTimed(ctx context.Context, p requestPath, k ownedKey) (time.Duration, error) {
	began := time.Now()
	answer, err := p.do(ctx, k)
	if err == nil && answer.Outcome != request.Done {
		err = fmt.Errorf("%s: %s, %s", p.name, answer.Outcome, answer.Reason)
	}
	return time.Since(began), err
}

// runWorkers runs f concurrently with the indexes 0 to n-1, waits for all calls and joins their errors.
func runWorkers(n int, f func(index int) error) error {
	errs := make([]error, n)
	var wait sync.WaitGroup
	for worker := range n {
		wait.Add(1)
		go func() {
			defer wait.Done()
			errs[worker] = f(worker)
		}()
	}
	wait.Wait()
	return errors.Join(errs...)
}

// Load of measureThroughput on each path: each worker sends one request after another, for fullSpeedDuration.
const (
	fullSpeedWorkers  = 32
	fullSpeedDuration = 5 * time.Second
)

// measureThroughput sends requests over each path from many concurrent workers, and measures the requests per second
// and the CPU time of each process per request.
func (f *measuredFleet) measureThroughput(
	ctx context.Context, paths []requestPath, keys []ownedKey, ingress, owner *instance,
) error {
	t := &table{
		title: fmt.Sprintf("Processor time of a read, %d at once", fullSpeedWorkers),
		header: []string{"way", "requests/s", "p50", "p99", "ingress node", "owner node", "both nodes", "requests/s per core of the nodes",
			fmt.Sprintf("cores at %.0f requests/s", targetRate), "backend server", "generator"},
	}
	processes := []*launch.Process{ingress.nodeProcess, owner.nodeProcess, owner.backendProcess}
	for _, path := range paths {
		h := newHistogram()
		generatorCPU := ownCPUTime()
		usedCPU, err := cpuTimeDuring(ctx, processes, func(ctx context.Context) error { return sendAtFullSpeed(ctx, path, keys, h) })
		if err != nil {
			return err
		}
		generatorCPU = ownCPUTime() - generatorCPU
		n := h.TotalCount()
		perRequest := func(d time.Duration) time.Duration { return d / time.Duration(n) }
		bothNodes := perRequest(usedCPU[0] + usedCPU[1])
		perCore, cores := "", ""
		if bothNodes > time.Microsecond {
			perCore, cores = formatNumber(1/bothNodes.Seconds()), fmt.Sprintf("%.2f", bothNodes.Seconds()*targetRate)
		}
		t.add(path.name, formatNumber(float64(n)/fullSpeedDuration.Seconds()),
			formatDuration(time.Duration(h.ValueAtQuantile(50))), formatDuration(time.Duration(h.ValueAtQuantile(99))),
			formatDuration(perRequest(usedCPU[0])), formatDuration(perRequest(usedCPU[1])), formatDuration(bothNodes), perCore, cores,
			formatDuration(perRequest(usedCPU[2])), formatDuration(perRequest(generatorCPU)))
	}
	t.print()
	return nil
}

// sendAtFullSpeed sends requests for fullSpeedDuration; each worker sends its next request as soon as it gets an
// answer. The latencies are recorded in h.
func sendAtFullSpeed(ctx context.Context, path requestPath, keys []ownedKey, h *hdrhistogram.Histogram) error {
	var mu sync.Mutex
	return runWorkers(fullSpeedWorkers, func(worker int) error {
		for n, end := worker, time.Now().Add(fullSpeedDuration); time.Now().Before(end); n++ {
			took, err := sendTimed(ctx, path, keys[n%len(keys)])
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
