package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
	"heatherreel/internal/scenario"
)

// loadDeadline is the time from sending a request of a load to its deadline.
const loadDeadline = 2 * time.Second

// loadGenerator sends requests at a steady rate.
//
// mu guards the fields below it.
type loadGenerator struct {
	scenario.Load
	fleet      *fleet
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu     sync.Mutex
	report scenario.Report
	// reasonCounts counts the answers other than "done" by reason, for failure reports.
	reasonCounts map[string]int
	sliceGaps    map[uint32]*sliceGap
}

// sliceGap measures the longest time during which requests to a slice were sent but none was done.
type sliceGap struct {
	// openSince is when the first request since the last done answer was sent; zero if none was sent.
	openSince time.Time
	longest   time.Duration
}

// StartLoad implements scenario.Environment.
func (f *fleet) StartLoad(spec scenario.Load) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loads[spec.Name] != nil {
		return fmt.Errorf("load %s exists", spec.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{Load: spec, fleet: f, cancel: cancel, sliceGaps: map[uint32]*sliceGap{}, reasonCounts: map[string]int{}}
	f.loads[spec.Name] = l
	l.goroutines.Add(1)
	go l.run(ctx)
	return nil
}

// run sends requests until ctx ends.
func (l *loadGenerator) run(ctx context.Context) {
	defer l.goroutines.Done()
	ticker := time.NewTicker(time.Second / time.Duration(l.Rate))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		l.goroutines.Add(1)
		go l.sendOne(n)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// sendOne sends one request. If the connection is refused, it tries another node.
func (l *loadGenerator) sendOne(n int) {
	defer l.goroutines.Done()
	key := fmt.Sprintf("load-%d", n%997)
	r := newReadRequest(l.Service, key, loadDeadline)
	if l.Writes {
		r.Method, r.Idempotent, r.Body = "POST", false, []byte("x")
		r.ID = newRequestID(time.Now())
	}
	index := l.recordRequest(key)
	answer := request.Refuse(request.OwnerUnreachable, "start a node")
	for attempt := range 3 {
		node := l.fleet.ingressNode(l.DataCentre, n+attempt)
		if node == nil {
			break
		}
		if answer = l.fleet.send(node, r); answer.Reason != request.OwnerUnreachable {
			break
		}
	}
	l.recordAnswer(index, answer)
}

// newRequestID returns a UUIDv7 with the given issue time. The generator of package uuid cannot be used: its times
// never decrease within a process, whereas the virtual clock of each test starts at the same time.
func newRequestID(issuedAt time.Time) string {
	id := uuid.New()
	unixMS := uint64(issuedAt.UnixMilli())
	for i := range 6 {
		id[i] = byte(unixMS >> (8 * (5 - i)))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

// recordRequest records that a request to a key was sent and returns the index of its slice.
func (l *loadGenerator) recordRequest(key string) uint32 {
	count := uint32(max(l.fleet.sliceCount(l.Service), 1))
	index := keyspace.Index(keyspace.Hash(key), count)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	s := l.sliceGaps[index]
	if s == nil {
		s = &sliceGap{}
		l.sliceGaps[index] = s
	}
	if s.openSince.IsZero() {
		s.openSince = time.Now()
	}
	return index
}

// recordAnswer records the answer to one request.
func (l *loadGenerator) recordAnswer(index uint32, a request.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sliceGaps[index]
	if !s.openSince.IsZero() {
		s.longest = max(s.longest, time.Since(s.openSince))
	}
	switch a.Outcome {
	case request.Done:
		l.report.Done++
		s.openSince = time.Time{}
		return
	case request.NotRun:
		l.report.NotRun++
	default:
		l.report.Unknown++
	}
	l.reasonCounts[string(a.Reason)]++
}

// stop stops the load and waits for the requests in flight.
func (l *loadGenerator) stop() {
	l.cancel()
	l.goroutines.Wait()
}

// StopLoad implements scenario.Environment.
func (f *fleet) StopLoad(name string) error {
	l := f.loads[name]
	if l == nil {
		return unknownLoadError(name)
	}
	l.stop()
	f.t.Logf("load %s: %+v, not done: %v", name, l.report, l.reasonCounts)
	return nil
}

// Report implements scenario.Environment.
func (f *fleet) Report(name string) (scenario.Report, error) {
	l := f.loads[name]
	if l == nil {
		return scenario.Report{}, unknownLoadError(name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.report
	for _, s := range l.sliceGaps {
		report.LongestGap = max(report.LongestGap, s.longest)
	}
	return report, nil
}
