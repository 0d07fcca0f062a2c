package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/request"
	"heatherreel/internal/scenario"
)

// stopDocument is the configuration of the fleets in this file.
const stopDocument = `regions:
  emea-west: {data_centres: [west-a, west-b]}
  emea-central: {data_centres: [central-a, central-b]}
services: [orders]
tenants: [t]
defaults:
  home_regions: any
  deadline: 2s
  max_deadline: 30s
  slices: 16
  checks_grants: true
  concurrency_limit: 10
`

// startPair starts two nodes in one data centre, each with half of the slices.
func (f *fleet) startPair(t *testing.T) (a, b *fleetNode) {
	t.Helper()
	f.must(t, f.Publish([]byte(stopDocument)))
	for _, name := range []string{"a1", "a2"} {
		f.must(t, f.Start(scenario.Node{Name: name, DataCentre: "west-a", Service: "orders"}))
	}
	f.Advance(20 * time.Second)
	a, err := f.node("a1")
	f.must(t, err)
	b, err = f.node("a2")
	f.must(t, err)
	if na, nb := len(a.servableSlices()), len(b.servableSlices()); na == 0 || nb == 0 || na+nb != 16 {
		t.Fatalf("the nodes serve %d and %d slices", na, nb)
	}
	return a, b
}

// longRequests is a Backend that works for a long time on requests for one key.
type longRequests struct {
	Backend
	key string
	// duration is the time for which the request runs.
	duration time.Duration
}

func (l longRequests) Execute(ctx context.Context, address string, slice keyspace.SliceID, fence ledger.Offset, r request.Request) request.Answer {
	answer := l.Backend.Execute(ctx, address, slice, fence, r)
	if r.Key == l.key {
		sleep(ctx, l.duration)
	}
	return answer
}

// Guards against keys that are not served for seconds while a node stops, because a long request runs for another key of
// the node.
func TestLongRequestDelaysOnlyItsSlice(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		const longKey = "long"
		f.wrapBackend = func(_ *fleetNode, b Backend) Backend {
			return longRequests{Backend: b, key: longKey, duration: 8 * time.Second}
		}
		a, b := f.startPair(t)
		stopping, next := a, b
		if b.wouldServe("orders", longKey) {
			stopping, next = b, a
		}
		long := make(chan request.Answer, 1)
		go func() { long <- f.send(next, newReadRequest("orders", longKey, 12*time.Second)) }()
		f.Advance(100 * time.Millisecond)
		f.must(t, f.Stop(stopping.Name))
		stoppedAt := time.Now()
		const maxUnserved = time.Second
		for time.Since(stoppedAt) < maxUnserved && len(next.servableSlices()) < 15 {
			f.Advance(20 * time.Millisecond)
		}
		if n := len(next.servableSlices()); n != 15 {
			t.Errorf("the next owner serves %d of 15 slices without a request %v after the stop began", n, maxUnserved)
		}
		if answer := <-long; answer.Outcome != request.Done {
			t.Errorf("the long request: %v %q", answer.Outcome, answer.Reason)
		}
		f.Advance(2 * time.Second)
		if n := len(next.servableSlices()); n != 16 {
			t.Errorf("the next owner serves %d of 16 slices after the long request", n)
		}
	})
}

// Guards against a node that does not leave, so that its keys wait for the end of its lease, because its backend server
// does not answer the drain command.
func TestSilentBackendServerDoesNotKeepNodeFromLeaving(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		stopping, next := f.startPair(t)
		stopping.backend.SetFaults(fake.BackendFaults{Frozen: true})
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		stoppedAt := time.Now()
		left := make(chan bool, 1)
		go func() { left <- stopping.engine.Drain(ctx) }()
		if !<-left {
			t.Error("the node did not leave before its shutdown timeout")
		}
		if took := time.Since(stoppedAt); took > 10*time.Second {
			t.Errorf("the stop took %v", took)
		}
		f.Advance(time.Second)
		if n := len(next.servableSlices()); n != 16 {
			t.Errorf("the next owner serves %d of 16 slices", n)
		}
	})
}

// Guards against a read that waits for a lost owner until its deadline, although the key has a new owner.
func TestReadOfLostOwnerGoesToNextOwner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.must(t, f.Publish([]byte(stopDocument)))
		for name, dataCentre := range map[string]string{"a1": "west-a", "a2": "west-a", "b1": "west-b", "c1": "central-a", "d1": "central-b"} {
			f.must(t, f.Start(scenario.Node{Name: name, DataCentre: dataCentre, Service: "orders"}))
		}
		f.Advance(30 * time.Second)
		lost, err := f.node("a1")
		f.must(t, err)
		ingress, err := f.node("d1")
		f.must(t, err)
		key := ""
		for _, k := range f.keyPerSlice(ingress, "orders") {
			if lost.wouldServe("orders", k) {
				key = k
			}
		}
		// No data of the machine arrives any more, and no connection to it is refused.
		for _, location := range []string{"a2", "b1", "c1", "d1", fake.LogLocation} {
			f.must(t, f.Cut("a1", location))
		}
		began := time.Now()
		answer := f.send(ingress, newReadRequest("orders", key, 6*time.Second))
		if took := time.Since(began); answer.Outcome != request.Done || took > 2*time.Second {
			t.Errorf("got %v %q after %v, want the answer of the next owner", answer.Outcome, answer.Reason, took)
		}
	})
}
