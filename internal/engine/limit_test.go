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

// startLimited starts a single node and a load that raises its limit to the configured one.
func startLimited(t *testing.T) (*fleet, *fleetNode) {
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
	if got := n.engine.Gauges().ConcurrencyLimit; got != limit.Start {
		t.Fatalf("limit %d before the first request", got)
	}
	raiseLimit(f)
	if got := n.engine.Gauges().ConcurrencyLimit; got != 8 {
		t.Fatalf("limit %d after a load, want the configured 8", got)
	}
	return f, n
}

// raiseLimit sends bursts of requests for a while.
func raiseLimit(f *fleet) {
	for range 40 {
		for i := range 16 {
			go f.send(f.nodes["a1"], readOf("orders", fmt.Sprint(i), time.Second))
		}
		f.Advance(20 * time.Millisecond)
	}
}

// Guards against a new incarnation of a backend server, or one that returns after silence, that gets the concurrency
// that the warm one before had.
func TestLimitStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, n := startLimited(t)
		restarted := backendserver.Announcement{Address: "a1/backend", Service: "orders", Incarnation: "2", Slots: 10,
			Connections: 130, Weight: 100}
		if err := n.engine.Announce(t.Context(), restarted); err != nil {
			t.Fatal(err)
		}
		if got := n.engine.Gauges().ConcurrencyLimit; got != limit.Start {
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
		if got := n.engine.Gauges().ConcurrencyLimit; got != limit.Start {
			t.Errorf("limit %d after silence", got)
		}
	})
}

// Guards against a limit that falls without a trace for operators.
func TestFallOfLimitIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, n := startLimited(t)
		f.SetBackend("a1", scenario.BackendCold)
		raiseLimit(f)
		if got := n.engine.Gauges().ConcurrencyLimit; got >= 8 {
			t.Errorf("limit %d while cold", got)
		}
		if !strings.Contains(f.events.String(), `"event":607`) {
			t.Error("no event 607")
		}
	})
}

// Guards against a slot that is given to a waiting call although the limit falls below those that run.
func TestFallGivesNoSlot(t *testing.T) {
	now := time.Now()
	table := newAdmissionTable()
	table.setLimits(now, 8, 100)
	var running []admission.Ticket
	offer := func() {
		a := queuedCall{c: newCall(t.Context(), request.Request{Tenant: "t", Key: "k", Deadline: now.Add(time.Hour)})}
		if d, _, _ := table.offer(now, a); d.Verdict == admission.Started {
			running = append(running, d.Ticket)
		}
	}
	// release ends the oldest running call after a latency and returns how many others started.
	release := func(latency time.Duration) (int, limitDecrease) {
		begun := now
		now = now.Add(latency)
		others, fall := table.release(now, running[0], &limit.Sample{Begun: begun})
		running = running[1:]
		for ticket := range others.start {
			running = append(running, ticket)
		}
		return len(others.start), fall
	}
	for range 50 {
		offer()
	}
	for table.usage().Limit < 8 {
		release(time.Millisecond)
		offer()
	}
	for range 100 {
		if started, fall := release(time.Second); fall.to < fall.from {
			if started != 0 || fall.from != 8 || fall.to != limit.Start {
				t.Errorf("%d calls started as the limit fell from %d to %d", started, fall.from, fall.to)
			}
			return
		}
	}
	t.Error("the limit did not fall")
}

// Guards against requests cut off at a short deadline that make the queue believe in a quick backend server, so that it
// sends requests that cannot finish.
func TestCutOffRequestNeverLowersEstimate(t *testing.T) {
	begun := time.Now()
	cases := []struct {
		name   string
		sample *limit.Sample
		want   bool
	}{
		{"not sent", nil, false},
		{"shed", &limit.Sample{Begun: begun, Result: limit.Shed}, false},
		{"answered", &limit.Sample{Begun: begun}, true},
		{"cut off early", &limit.Sample{Begun: begun.Add(90 * time.Millisecond), Result: limit.TimedOut}, false},
		{"cut off late", &limit.Sample{Begun: begun, Result: limit.TimedOut}, true},
	}
	for _, c := range cases {
		if got := countsForServiceTime(begun.Add(100*time.Millisecond), c.sample, 50*time.Millisecond); got != c.want {
			t.Errorf("%s: informs %v", c.name, got)
		}
	}
}

// Guards against answers that count as the wrong evidence: of another class, or of a request that was never sent.
func TestSampleOfAnswer(t *testing.T) {
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
