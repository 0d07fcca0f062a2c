package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"heatherreel/internal/request"
)

// simulateSlowPeriods offers requests to a machine that other programs slow down to a third of its speed during a
// random fifth of the 400 ms steps. A request that starts in a slow step stays slow. It returns the fraction of the
// requests that finish within their objective, and the average time that one occupies a slot.
func simulateSlowPeriods(load float64, hold bool) (onTime float64, inSlot time.Duration) {
	const slots, service, factor = 9, 220 * time.Millisecond, 3
	const objective, deadline, step = 600 * time.Millisecond, 2500 * time.Millisecond, 400 * time.Millisecond
	const length = 120 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	q := NewQueue(Options{Limit: slots, QueueLimit: 6 * slots, HoldWhenSlow: hold})
	arrived, ends := map[Ticket]time.Time{}, map[Ticket]time.Time{}
	slowdown, offered, timely, started := 1.0, 0, 0, 0
	var busy time.Duration
	startJobs := func(now time.Time, tickets []Ticket) {
		for _, ticket := range tickets {
			work := time.Duration(float64(service) * slowdown)
			ends[ticket] = now.Add(work)
			busy += work
			started++
		}
	}
	first := time.Unix(0, 0)
	next := first
	for now := first; now.Before(first.Add(length)); now = now.Add(time.Millisecond) {
		if now.Sub(first)%step == 0 {
			slowdown = 1
			if random.IntN(5) == 0 {
				slowdown = factor
			}
		}
		startJobs(now, q.SetSlowdown(now, slowdown).Start)
		for ticket, end := range ends {
			if end.After(now) {
				continue
			}
			delete(ends, ticket)
			if end.Sub(arrived[ticket]) <= objective {
				timely++
			}
			startJobs(now, q.Release(now, ticket, true).Start)
		}
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() * float64(service) / slots / load)) {
			d := q.Offer(now, Job{Class: request.Interactive, Deadline: now.Add(deadline), Objective: now.Add(objective)})
			offered++
			arrived[d.Ticket] = now
			if d.Verdict == Started {
				startJobs(now, []Ticket{d.Ticket})
			}
			startJobs(now, d.Change.Start)
		}
	}
	return float64(timely) / float64(offered), busy / time.Duration(started)
}

// Guards against requests that start while the machine is slow and occupy their slots for three times as long.
func TestHoldingWhileSlowAnswersMoreOnTime(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8} {
		unheld, unheldSlot := simulateSlowPeriods(load, false)
		held, heldSlot := simulateSlowPeriods(load, true)
		t.Logf("load %.1f: on time %.3f, %v in a slot started at once; %.3f, %v held", load, unheld, unheldSlot, held, heldSlot)
		if held <= unheld || heldSlot >= unheldSlot {
			t.Errorf("load %.1f: holding requests answers %.3f on time, starting them at once %.3f", load, held, unheld)
		}
	}
}

// Guards against holding a request for longer than the extra time that a start on the slow machine would take.
func TestHoldLastsAsLongAsSlowStartCosts(t *testing.T) {
	q := measuredQueue(Options{Limit: 2, QueueLimit: 9, HoldWhenSlow: true}, 100*ms)
	q.SetSlowdown(start, 3)
	d := q.Offer(start, Job{Deadline: after(5000)})
	if d.Verdict != Queued {
		t.Fatalf("verdict %v at a slow machine", d.Verdict)
	}
	if c := q.SetSlowdown(after(199), 3); len(c.Start) != 0 {
		t.Error("started before the hold has cost as much as a slow start")
	}
	if c := q.SetSlowdown(after(200), 3); len(c.Start) != 1 || c.Start[0] != d.Ticket {
		t.Errorf("started %v after 200 ms", c.Start)
	}
	held := q.Offer(after(210), Job{Deadline: after(5000)})
	if c := q.SetSlowdown(after(220), 1); len(c.Start) != 1 || c.Start[0] != held.Ticket {
		t.Errorf("started %v when the machine was fast again", c.Start)
	}
}
