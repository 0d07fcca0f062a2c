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

// after returns the time n milliseconds after start.
func after(n int) time.Time { return start.Add(time.Duration(n) * ms) }

// offer offers a job; the time and the deadline are in milliseconds after start.
func offer(q *Queue, now int, tenant, key string, class request.Class, deadline int) Decision {
	return q.Offer(after(now), Job{Tenant: tenant, Key: key, Class: class, Deadline: after(deadline)})
}

// measuredQueue returns a queue whose estimated service time is service.
func measuredQueue(o Options, service time.Duration) *Queue {
	q := NewQueue(o)
	d := q.Offer(start.Add(-service), Job{Deadline: start.Add(time.Hour)})
	q.Release(start, d.Ticket, true)
	return q
}

// Guards against more running requests than the limit, a wrong order of waiting requests, and slots that stay free
// while requests wait.
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

// Guards against queueing a request that cannot finish by its deadline, and refusing one that can.
func TestRefusesRequestsThatCannotFinish(t *testing.T) {
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
		q := measuredQueue(Options{Limit: 1, QueueLimit: 10}, 10*ms)
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

// Guards against refusing a tenant's request because of another tenant's queued requests, and against an estimated wait
// that leaves out the slots that fair sharing gives to other tenants.
func TestExpectedWaitSharesSlotsAmongTenants(t *testing.T) {
	cases := []struct {
		flood, floodDeadline, deadline int
		verdict                        Verdict
	}{
		{9, 100, 100, Queued},
		{1, 29, 29, Refused},
		{1, 29, 30, Queued},
	}
	for _, c := range cases {
		q := measuredQueue(Options{Limit: 1, QueueLimit: 10}, 10*ms)
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

// Guards against starting waiting requests that can no longer finish, and against a wrong time for the expiry timer.
func TestExpiry(t *testing.T) {
	q := measuredQueue(Options{Limit: 1, QueueLimit: 10}, 10*ms)
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

// Guards against a queue that refuses all requests forever after one slow period, because the estimated service time
// exceeds every deadline and nothing runs that could lower it.
func TestEstimateRecovers(t *testing.T) {
	q := measuredQueue(Options{Limit: 4, QueueLimit: 10}, time.Second)
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

// Guards against the same failure for requests that were queued before the slow period was measured.
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

// Guards against a full queue that keeps the many requests of one tenant and refuses those of others.
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

// Guards against a full queue that keeps a background request and refuses an urgent one of the same tenant.
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

// Guards against a canceled request that still occupies the queue or a slot, and against leaked tenant and key counts.
func TestCancel(t *testing.T) {
	q := NewQueue(Options{Limit: 1, QueueLimit: 4})
	running := offer(q, 0, "t", "a", request.Interactive, 1000)
	waiting := offer(q, 0, "t", "b", request.Interactive, 1000)
	if !q.Cancel(waiting.Ticket) || q.Cancel(waiting.Ticket) || q.Cancel(running.Ticket) {
		t.Error("exactly the waiting job can be canceled, once")
	}
	if change := q.Release(after(1), running.Ticket, true); len(change.Start) != 0 || len(q.tenants) != 0 || len(q.keys) != 0 {
		t.Errorf("change %+v, %d tenants, %d keys left", change, len(q.tenants), len(q.keys))
	}
}

// Guards against jobs that start above a lowered limit, and slots of a raised limit that stay unused.
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

// BenchmarkOfferRelease measures one Offer and Release on a queue that stays half full.
func BenchmarkOfferRelease(b *testing.B) {
	for _, waiting := range []int{0, 32, 256} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := NewQueue(Options{Limit: 10, QueueLimit: 2*waiting + 1})
			var running []Ticket
			name := make([]string, 1024)
			for n := range name {
				name[n] = fmt.Sprint(n)
			}
			offerJob := func(n int) {
				d := q.Offer(start, Job{Tenant: name[n%16], Key: name[n%1024], Deadline: start.Add(time.Hour)})
				if d.Verdict == Started {
					running = append(running, d.Ticket)
				}
			}
			for n := range 10 + waiting {
				offerJob(n)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				change := q.Release(start, running[0], true)
				running = append(running[1:], change.Start...)
				offerJob(n)
			}
		})
	}
}
