package engine

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/backendserver"
	"heatherreel/internal/limit"
	"heatherreel/internal/request"
	"heatherreel/internal/scenario"
)

const limitConfiguration = `
regions: {emea-west: {data_centres: [west-a]}}
services: [orders]
tenants: [t]
defaults: {home_regions: any, deadline: 2s, slices: 8, concurrency_limit: 8, queue_limit: 50}
`

// startAtMaxLimit starts a single node and raises its concurrency limit to the configured maximum by a load.
func startAtMaxLimit(t *testing.T) (*fleet, *fleetNode) {
	t.Helper()
	f := newFleet(t)
	if err := f.Publish([]byte(limitConfiguration)); err != nil {
		t.Fatal(err)
	}
	if err := f.Start(scenario.Node{Name: "a1", DataCentre: "west-a", Service: "orders"}); err != nil {
		t.Fatal(err)
	}
	f.Advance(5 * time.Second)
	n := f.nodes["a1"]
	if got := n.engine.Gauges().ConcurrencyLimit; got != limit.Initial {
		t.Fatalf("limit %d before the first request", got)
	}
	raiseLimit(f)
	if got := n.engine.Gauges().ConcurrencyLimit; got != 8 {
		t.Fatalf("limit %d after a load, want the configured 8", got)
	}
	return f, n
}

// raiseLimit sends bursts of requests, which raise the concurrency limit.
func raiseLimit(f *fleet) {
	for range 40 {
		for i := range 16 {
			go f.send(f.nodes["a1"], newReadRequest("orders", fmt.Sprint(i), time.Second))
		}
		f.Advance(20 * time.Millisecond)
	}
}

// Guards against a concurrency limit that a warm backend server has reached and that stays in force for its next
// incarnation, or after it was silent.
func TestLimitIsResetAfterRestartOrSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, n := startAtMaxLimit(t)
		restarted := backendserver.Announcement{Address: "a1/backend", Service: "orders", Incarnation: "2", Slots: 10,
			Connections: 130, Weight: 100}
		if err := n.engine.Announce(t.Context(), restarted); err != nil {
			t.Fatal(err)
		}
		if got := n.engine.Gauges().ConcurrencyLimit; got != limit.Initial {
			t.Errorf("limit %d after a restart", got)
		}
		raiseLimit(f)
		if got := n.engine.Gauges().ConcurrencyLimit; got != 8 {
			t.Fatalf("limit %d after a load, want 8", got)
		}
		f.SetBackend("a1", scenario.BackendSilent)
		f.Advance(5 * time.Second)
		f.SetBackend("a1", scenario.BackendNormal)
		f.Advance(time.Second)
		if got := n.engine.Gauges().ConcurrencyLimit; got != limit.Initial {
			t.Errorf("limit %d after silence", got)
		}
	})
}

// Guards against a decrease of the limit that operators cannot see in the events.
func TestLimitDecreaseEmitsEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, n := startAtMaxLimit(t)
		f.SetBackend("a1", scenario.BackendCold)
		raiseLimit(f)
		if got := n.engine.Gauges().ConcurrencyLimit; got >= 8 {
			t.Errorf("limit %d while cold", got)
		}
		if !strings.Contains(f.events.String(), `"event":607`) {
			t.Error("no event 607 (backend_limit_lowered)")
		}
	})
}

// Guards against a slot that is given to a queued call although the limit falls below the number of running calls.
func TestLimitDecreaseStartsNoQueuedCall(t *testing.T) {
	now := time.Now()
	table := newAdmissionTable()
	table.setLimits(now, 8, 100)
	var running []admission.Ticket
	offer := func() {
		q := queuedCall{c: newCall(t.Context(), request.Request{Tenant: "t", Key: "k", Deadline: now.Add(time.Hour)})}
		if d, _, _ := table.offer(now, q); d.Verdict == admission.Started {
			running = append(running, d.Ticket)
		}
	}
	// release ends the oldest running call after a latency. It returns how many queued calls started, and the decrease
	// of the limit.
	release := func(latency time.Duration) (int, limitDecrease) {
		startedAt := now
		now = now.Add(latency)
		dequeued, decrease := table.release(now, running[0], &limit.Sample{Begun: startedAt})
		running = running[1:]
		for ticket := range dequeued.start {
			running = append(running, ticket)
		}
		return len(dequeued.start), decrease
	}
	for range 50 {
		offer()
	}
	for table.usage().Limit < 8 {
		release(time.Millisecond)
		offer()
	}
	for range 100 {
		if started, decrease := release(time.Second); decrease.to < decrease.from {
			if started != 0 || decrease.from != 8 || decrease.to != limit.Initial {
				t.Errorf("%d calls started as the limit fell from %d to %d", started, decrease.from, decrease.to)
			}
			return
		}
	}
	t.Error("the limit did not fall")
}

// Guards against requests with a short deadline that lower the queue's estimate of the service time when they time out,
// so that the queue starts requests that cannot finish.
func TestTimedOutCallNeverLowersServiceTimeEstimate(t *testing.T) {
	startedAt := time.Now()
	cases := []struct {
		name   string
		sample *limit.Sample
		want   bool
	}{
		{"not sent", nil, false},
		{"shed", &limit.Sample{Begun: startedAt, Result: limit.Shed}, false},
		{"answered", &limit.Sample{Begun: startedAt}, true},
		{"timed out before the estimate", &limit.Sample{Begun: startedAt.Add(90 * time.Millisecond), Result: limit.TimedOut}, false},
		{"timed out after the estimate", &limit.Sample{Begun: startedAt, Result: limit.TimedOut}, true},
	}
	for _, test := range cases {
		if got := countsForServiceTime(startedAt.Add(100*time.Millisecond), test.sample, 50*time.Millisecond); got != test.want {
			t.Errorf("%s: counts %v", test.name, got)
		}
	}
}

// Guards against answers that count as a latency sample of the wrong class or result, or although the request was never
// sent.
func TestLatencySample(t *testing.T) {
	cases := []struct {
		answer     request.Answer
		idempotent bool
		want       *limit.Sample
	}{
		{request.Answer{Outcome: request.Done}, true, &limit.Sample{Class: limit.Read, Result: limit.Answered}},
		{request.Answer{Outcome: request.Done}, false, &limit.Sample{Class: limit.Write, Result: limit.Answered}},
		{request.Uncertain(request.ConnectionLost, ""), true, &limit.Sample{Class: limit.Read, Result: limit.TimedOut}},
		{request.Refuse(request.QueueFull, ""), true, &limit.Sample{Class: limit.Read, Result: limit.Shed}},
		{request.Refuse(request.LeaseLapsed, ""), true, nil},
	}
	for _, c := range cases {
		got := latencySample(&call{req: request.Request{Idempotent: c.idempotent}}, c.answer, time.Time{})
		if (got == nil) != (c.want == nil) || got != nil && *got != *c.want {
			t.Errorf("%+v: sample %+v, want %+v", c.answer, got, c.want)
		}
	}
}
