package admission

import (
	"testing"
	"time"

	"heatherreel/internal/request"
)

// simulateOverload offers requests at a multiple of the capacity and returns how many finish within their objective, as
// a fraction of the capacity of the slots. Only with withObjective does the queue know the objective.
func simulateOverload(t *testing.T, overload float64, withObjective bool) float64 {
	t.Helper()
	const slots, service, length = 9, 220 * time.Millisecond, 20 * time.Second
	const objective, deadline = 600 * time.Millisecond, 2500 * time.Millisecond
	q := NewQueue(Options{Limit: slots, QueueLimit: 6 * slots})
	start := time.Unix(0, 0)
	arrived, ends := map[Ticket]time.Time{}, map[Ticket]time.Time{}
	startJobs := func(now time.Time, tickets []Ticket) {
		for _, ticket := range tickets {
			ends[ticket] = now.Add(service)
		}
	}
	interval := time.Duration(float64(service) / slots / overload)
	next, onTime := start, 0
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		for ticket, end := range ends {
			if end.After(now) {
				continue
			}
			delete(ends, ticket)
			if end.Sub(arrived[ticket]) <= objective {
				onTime++
			}
			startJobs(now, q.Release(now, ticket, true).Start)
		}
		for ; !next.After(now); next = next.Add(interval) {
			job := Job{Class: request.Interactive, Deadline: now.Add(deadline)}
			if withObjective {
				job.Objective = now.Add(objective)
			}
			d := q.Offer(now, job)
			arrived[d.Ticket] = now
			if d.Verdict == Started {
				startJobs(now, []Ticket{d.Ticket})
			}
			startJobs(now, d.Change.Start)
		}
	}
	return float64(onTime) / (float64(length) / float64(service) * slots)
}

// Guards against a queue that answers all requests late under overload instead of answering most of them on time.
func TestOverloadIsAnsweredOnTime(t *testing.T) {
	for _, overload := range []float64{1.2, 2, 4} {
		byDeadline, byObjective := simulateOverload(t, overload, false), simulateOverload(t, overload, true)
		t.Logf("load %.1f: on time %.2f by deadline, %.2f by objective", overload, byDeadline, byObjective)
		if byObjective < 0.8 {
			t.Errorf("load %.1f: only %.2f of the capacity answers on time", overload, byObjective)
		}
		if byObjective < byDeadline {
			t.Errorf("load %.1f: the order by deadline answers more on time", overload)
		}
	}
}

// Guards against starting a job that is already late before one that can still be on time.
func TestOnTimeJobStartsBeforeLateOne(t *testing.T) {
	q := NewQueue(Options{Limit: 1, QueueLimit: 9})
	now := time.Unix(100, 0)
	first := q.Offer(now, Job{Deadline: now.Add(time.Minute)})
	late := q.Offer(now, Job{Deadline: now.Add(time.Second), Objective: now.Add(-time.Second)})
	timely := q.Offer(now, Job{Deadline: now.Add(time.Minute), Objective: now.Add(time.Second)})
	if got := q.Release(now, first.Ticket, false).Start; len(got) != 1 || got[0] != timely.Ticket {
		t.Errorf("started %v, want the one that can be on time, not %d", got, late.Ticket)
	}
}

// Guards against a job that waits although its ingress node could send it elsewhere, and against one that is sent elsewhere
// for a short wait.
func TestWaitLimitRefusesLongWait(t *testing.T) {
	const service = 100 * time.Millisecond
	q, now := NewQueue(Options{Limit: 2, QueueLimit: 20}), time.Unix(0, 0)
	offer := func(limit time.Duration) Decision {
		return q.Offer(now, Job{Deadline: now.Add(10 * time.Second), WaitLimit: limit})
	}
	first := offer(time.Millisecond)
	now = now.Add(service)
	q.Release(now, first.Ticket, true)
	for range 2 {
		if d := offer(time.Millisecond); d.Verdict != Started {
			t.Fatalf("with a free slot: %+v", d)
		}
	}
	if d := offer(service / 4); d.Verdict != Refused || d.Reason != request.ServerBusy {
		t.Errorf("with an expected wait of half the service time, limit a quarter: %+v", d)
	}
	if d := offer(service); d.Verdict != Queued {
		t.Errorf("with an expected wait of half the service time, limit all of it: %+v", d)
	}
	if d := offer(0); d.Verdict != Queued {
		t.Errorf("without a limit: %+v", d)
	}
}
