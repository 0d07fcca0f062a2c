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

// loadDeadline is the deadline of a request of a load.
const loadDeadline = 2 * time.Second

// load sends requests at a steady rate.
//
// mu guards the fields below it.
type load struct {
	scenario.Load
	fleet   *fleet
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	report scenario.Report
	// reasons counts the answers that were not done, for failure reports.
	reasons map[string]int
	slices  map[uint32]*sliceLoad
}

// sliceLoad is what a load saw of one slice.
type sliceLoad struct {
	// waitingSince is when the oldest request began that no done request followed; zero if there is none.
	waitingSince time.Time
	longest      time.Duration
}

// StartLoad implements scenario.World.
func (f *fleet) StartLoad(spec scenario.Load) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loads[spec.Name] != nil {
		return fmt.Errorf("load %s exists", spec.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{Load: spec, fleet: f, cancel: cancel, slices: map[uint32]*sliceLoad{}, reasons: map[string]int{}}
	f.loads[spec.Name] = l
	l.running.Add(1)
	go l.run(ctx)
	return nil
}

// run sends requests until ctx ends.
func (l *load) run(ctx context.Context) {
	defer l.running.Done()
	ticker := time.NewTicker(time.Second / time.Duration(l.Rate))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		l.running.Add(1)
		go l.one(n)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// one sends one request. A caller whose connection is refused asks another node.
func (l *load) one(n int) {
	defer l.running.Done()
	key := fmt.Sprintf("load-%d", n%997)
	r := readOf(l.Service, key, loadDeadline)
	if l.Writes {
		r.Method, r.Idempotent, r.Body = "POST", false, []byte("x")
		r.ID = newRequestID(time.Now())
	}
	index := l.begin(key)
	answer := request.Refuse(request.OwnerUnreachable, "start a node")
	for attempt := range 3 {
		node := l.fleet.ingress(l.DataCentre, n+attempt)
		if node == nil {
			break
		}
		if answer = l.fleet.send(node, r); answer.Reason != request.OwnerUnreachable {
			break
		}
	}
	l.end1(index, answer)
}

// newRequestID returns a UUIDv7 issued at a time. The library's generator never goes back in time, but the virtual
// clocks of two tests start at the same moment.
func newRequestID(at time.Time) string {
	id := uuid.New()
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

// begin notes that a request to a key was sent and returns its slice.
func (l *load) begin(key string) uint32 {
	count := uint32(max(l.fleet.sliceCount(l.Service), 1))
	index := keyspace.Index(keyspace.Hash(key), count)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	s := l.slices[index]
	if s == nil {
		s = &sliceLoad{}
		l.slices[index] = s
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = time.Now()
	}
	return index
}

// end1 notes the answer to one request.
func (l *load) end1(index uint32, a request.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.slices[index]
	if !s.waitingSince.IsZero() {
		s.longest = max(s.longest, time.Since(s.waitingSince))
	}
	switch a.Outcome {
	case request.Done:
		l.report.Done++
		s.waitingSince = time.Time{}
		return
	case request.NotRun:
		l.report.NotRun++
	default:
		l.report.Unknown++
	}
	l.reasons[string(a.Reason)]++
}

// end stops the load and waits for the requests on their way.
func (l *load) end() {
	l.cancel()
	l.running.Wait()
}

// StopLoad implements scenario.World.
func (f *fleet) StopLoad(name string) error {
	l := f.loads[name]
	if l == nil {
		return errNoLoad(name)
	}
	l.end()
	f.t.Logf("load %s: %+v, not done: %v", name, l.report, l.reasons)
	return nil
}

// Report implements scenario.World.
func (f *fleet) Report(name string) (scenario.Report, error) {
	l := f.loads[name]
	if l == nil {
		return scenario.Report{}, errNoLoad(name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.report
	for _, s := range l.slices {
		report.LongestGap = max(report.LongestGap, s.longest)
	}
	return report, nil
}
