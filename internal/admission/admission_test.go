package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"heatherreel/internal/request"
)

var start = time.UnixMilli(1_700_000_000_000)

const ms = time.Millisecond

// after returns the time so many milliseconds after the start.
func after(n int) time.Time { return start.Add(time.Duration(n) * ms) }

// offer offers a job with a deadline in milliseconds after the start.
func offer(q *Queue, now int, tenant, key string, class request.Class, deadline int) Decision {
	return q.Offer(after(now), Job{Tenant: tenant, Key: key, Class: class, Deadline: after(deadline)})
}

// measured returns a queue with an estimate of the service time.
func measured(o Options, service time.Duration) *Queue {
	q := NewQueue(o)
	d := q.Offer(start.Add(-service), Job{Deadline: start.Add(time.Hour)})
	q.Release(start, d.Ticket, true)
	return q
}

// Guards against more requests at the backend server than its limit, and against slots that stay free.
func TestLimitAndOrder(t *testing.T) {
	q := NewQueue(Options{Limit: 1, QueueLimit: 10})
	first := offer(q, 0, "t", "a", request.Background, 1000)
	if first.Verdict != Started {
		t.Fatalf("first: %+v", first)
	}
	background := offer(q, 0, "t", "b", request.Background, 300)
	late := offer(q, 0, "t", "c", request.Interactive, 500)
	soon := offer(q, 0, "t", "d", request.Interactive, 400)
	lookup := offer(q, 0, "t", "e", request.Lookup, 200)
	running := first
	for _, want := range []Decision{soon, late, lookup, background} {
		if want.Verdict != Queued {
			t.Fatalf("%+v", want)
		}
		change := q.Release(after(10), running.Ticket, false)
		if !slices.Equal(change.Start, []Ticket{want.Ticket}) || len(change.Refuse) != 0 {
			t.Fatalf("change %+v, want start of %d", change, want.Ticket)
		}
		running = want
	}
	if change := q.Release(after(20), 99, true); len(change.Start) != 0 {
		t.Errorf("unknown ticket: %+v", change)
	}
}

// Guards against a request that waits although it cannot finish, and against a refusal of one that can.
func TestRefusesWhatCannotFinish(t *testing.T) {
	cases := []struct {
		name     string
		waiting  int
		deadline int
		verdict  Verdict
	}{
		{"passed", 0, 0, Refused},
		{"too close", 0, 19, Refused},
		{"just enough", 0, 20, Queued},
		{"behind three, too close", 3, 49, Refused},
		{"behind three, enough", 3, 50, Queued},
	}
	for _, c := range cases {
		q := measured(Options{Limit: 1, QueueLimit: 10}, 10*ms)
		offer(q, 0, "t", "a", request.Interactive, 1000)
		for n := range c.waiting {
			offer(q, 0, "t", fmt.Sprint(n), request.Interactive, 49)
		}
		d := offer(q, 0, "t", "z", request.Interactive, c.deadline)
		if d.Verdict != c.verdict || (d.Verdict == Refused) != (d.Reason == request.DeadlineTooClose) {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}

// Guards against a tenant that is refused because of another one's flood, and against an estimate that leaves out
// the turns of the others.
func TestEstimateCountsTurns(t *testing.T) {
	cases := []struct {
		flood, floodDeadline, deadline int
		verdict                        Verdict
	}{
		{9, 100, 100, Queued},
		{1, 29, 29, Refused},
		{1, 29, 30, Queued},
	}
	for _, c := range cases {
		q := measured(Options{Limit: 1, QueueLimit: 10}, 10*ms)
		offer(q, 0, "flood", "a", request.Interactive, 1000)
		for n := range c.flood {
			if d := offer(q, 0, "flood", fmt.Sprint(n), request.Interactive, c.floodDeadline); d.Verdict != Queued {
				t.Fatalf("flood %d: %+v", n, d)
			}
		}
		if d := offer(q, 0, "quiet", "a", request.Interactive, c.deadline); d.Verdict != c.verdict {
			t.Errorf("%+v: %+v", c, d)
		}
	}
}

// Guards against waiting requests that are started too late, and against a timer that does not know when to look.
func TestExpiry(t *testing.T) {
	q := measured(Options{Limit: 1, QueueLimit: 10}, 10*ms)
	if _, ok := q.NextExpiry(); ok {
		t.Error("an empty queue has an expiry")
	}
	running := offer(q, 0, "t", "a", request.Interactive, 1000)
	short := offer(q, 0, "t", "b", request.Interactive, 50)
	long := offer(q, 0, "t", "c", request.Lookup, 500)
	if next, ok := q.NextExpiry(); !ok || !next.Equal(after(40)) {
		t.Errorf("next expiry %v", next)
	}
	if change := q.Expire(after(40)); len(change.Refuse) != 0 {
		t.Errorf("refused early: %+v", change)
	}
	change := q.Release(after(41), running.Ticket, false)
	want := []Refusal{{Ticket: short.Ticket, Reason: request.DeadlineTooClose}}
	if !slices.Equal(change.Refuse, want) || !slices.Equal(change.Start, []Ticket{long.Ticket}) {
		t.Errorf("change %+v", change)
	}
}

// Guards against a queue that refuses everything for ever after one slow period.
func TestEstimateRecovers(t *testing.T) {
	q := measured(Options{Limit: 4, QueueLimit: 10}, time.Second)
	now := 0
	for n := range 100 {
		d := offer(q, now, "t", fmt.Sprint(n), request.Interactive, now+50)
		if d.Verdict != Started {
			t.Fatalf("request %d alone is refused: %+v", n, d)
		}
		now += 5
		q.Release(after(now), d.Ticket, true)
	}
	if u := q.Usage(); u.ServiceTime > 10*ms {
		t.Errorf("estimate %v after 100 requests of 5 ms", u.ServiceTime)
	}
}

// Guards against the same for requests that queued before the slow period was measured.
func TestWaitingRequestProbes(t *testing.T) {
	q := NewQueue(Options{Limit: 1, QueueLimit: 10})
	slow := offer(q, 0, "t", "a", request.Interactive, 2000)
	gone := offer(q, 0, "t", "b", request.Interactive, 1050)
	probe := offer(q, 0, "t", "c", request.Interactive, 1100)
	change := q.Release(after(1000), slow.Ticket, true)
	if !slices.Equal(change.Start, []Ticket{probe.Ticket}) || len(change.Refuse) != 1 || change.Refuse[0].Ticket != gone.Ticket {
		t.Errorf("change %+v", change)
	}
}

// Guards against a full queue that keeps a tenant's flood and refuses the rest.
func TestFullQueueEvicts(t *testing.T) {
	q := NewQueue(Options{Limit: 1, QueueLimit: 4})
	offer(q, 0, "flood", "k", request.Interactive, 1000)
	var flood []Decision
	for n := range 4 {
		flood = append(flood, offer(q, 0, "flood", "k", request.Interactive, 1000+n))
	}
	if d := offer(q, 0, "flood", "k", request.Interactive, 2000); d.Verdict != Refused || d.Reason != request.QueueFull {
		t.Errorf("flood: %+v", d)
	}
	d := offer(q, 0, "quiet", "k", request.Background, 3000)
	if d.Verdict != Queued || len(d.Change.Refuse) != 1 || d.Change.Refuse[0] != (Refusal{flood[3].Ticket, request.QueueFull}) {
		t.Errorf("quiet: %+v", d)
	}
	if u := q.Usage(); u.Waiting != 4 {
		t.Errorf("usage %+v", u)
	}
}

// Guards against background work that keeps its place while an urgent request of its tenant is refused.
func TestFullQueueKeepsUrgentRequests(t *testing.T) {
	q := NewQueue(Options{Limit: 1, QueueLimit: 2})
	offer(q, 0, "t", "a", request.Interactive, 1000)
	background := offer(q, 0, "t", "b", request.Background, 500)
	offer(q, 0, "t", "c", request.Lookup, 900)
	d := offer(q, 0, "t", "d", request.Interactive, 1000)
	if d.Verdict != Queued || len(d.Change.Refuse) != 1 || d.Change.Refuse[0].Ticket != background.Ticket {
		t.Errorf("%+v", d)
	}
}

// Guards against a caller that has gone and still takes a place, or a slot that a cancelled job never gives back.
func TestCancel(t *testing.T) {
	q := NewQueue(Options{Limit: 1, QueueLimit: 4})
	running := offer(q, 0, "t", "a", request.Interactive, 1000)
	waiting := offer(q, 0, "t", "b", request.Interactive, 1000)
	if !q.Cancel(waiting.Ticket) || q.Cancel(waiting.Ticket) || q.Cancel(running.Ticket) {
		t.Error("exactly the waiting job can be cancelled, once")
	}
	if change := q.Release(after(1), running.Ticket, true); len(change.Start) != 0 || len(q.tenants) != 0 || len(q.keys) != 0 {
		t.Errorf("change %+v, %d tenants, %d keys left", change, len(q.tenants), len(q.keys))
	}
}

// Guards against a lower limit that is exceeded, or a higher one that is not used.
func TestSetLimits(t *testing.T) {
	q := NewQueue(Options{Limit: 2, QueueLimit: 4})
	var jobs []Decision
	for n := range 6 {
		jobs = append(jobs, offer(q, 0, "t", fmt.Sprint(n), request.Interactive, 1000+n))
	}
	if change := q.SetLimits(after(1), Options{Limit: 1, QueueLimit: 3}); len(change.Refuse) != 1 || change.Refuse[0].Ticket != jobs[5].Ticket {
		t.Errorf("lowered: %+v", change)
	}
	if change := q.Release(after(2), jobs[0].Ticket, true); len(change.Start) != 0 {
		t.Errorf("started above the limit: %+v", change)
	}
	if change := q.SetLimits(after(3), Options{Limit: 3, QueueLimit: 3}); len(change.Start) != 2 {
		t.Errorf("raised: %+v", change)
	}
}

// BenchmarkOfferRelease measures a request through a queue that stays half full.
func BenchmarkOfferRelease(b *testing.B) {
	for _, waiting := range []int{0, 32, 256} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := NewQueue(Options{Limit: 10, QueueLimit: 2*waiting + 1})
			var running []Ticket
			name := make([]string, 1024)
			for n := range name {
				name[n] = fmt.Sprint(n)
			}
			take := func(n int) {
				d := q.Offer(start, Job{Tenant: name[n%16], Key: name[n%1024], Deadline: start.Add(time.Hour)})
				if d.Verdict == Started {
					running = append(running, d.Ticket)
				}
			}
			for n := range 10 + waiting {
				take(n)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				change := q.Release(start, running[0], true)
				running = append(running[1:], change.Start...)
				take(n)
			}
		})
	}
}
