package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/request"
)

// cycleRequest is a request in a simulated cycle of services. A parent makes calls one after the other and then works.
type cycleRequest struct {
	service  int
	deadline time.Time
	calls    []int
	work     time.Duration
	parent   *cycleRequest
	ticket   Ticket
	failed   bool
}

// cycle is a set of services that call each other, each with one queue. marked says whether calls are known as calls.
type cycle struct {
	queues   []*Queue
	requests []map[Ticket]*cycleRequest
	due      map[int][]func(now int)
	marked   bool
	// class is the class of the parents; calls have class 1.
	class request.Class
	// served and lost count the parents that were served, and those that failed after they had taken a slot.
	served, lost int
	// lateCalls counts the calls that were refused after they had been queued.
	lateCalls int
}

func newCycle(slots []int, marked bool) *cycle {
	c := &cycle{due: map[int][]func(int){}, marked: marked, class: 1}
	for _, n := range slots {
		c.queues = append(c.queues, NewQueue(Options{Limit: n, QueueLimit: 6 * n}))
		c.requests = append(c.requests, map[Ticket]*cycleRequest{})
	}
	return c
}

// offer offers a request to its service.
func (c *cycle) offer(now int, r *cycleRequest) {
	q, kind, class := c.queues[r.service], "parent", c.class
	if r.parent != nil {
		kind, class = "call", 1
	}
	d := q.Offer(after(now), Job{Kind: kind, Class: class, Call: c.marked && r.parent != nil, Deadline: r.deadline})
	r.ticket = d.Ticket
	c.requests[r.service][d.Ticket] = r
	c.apply(now, r.service, d.Change)
	switch d.Verdict {
	case Started:
		c.begin(now, r)
	case Refused:
		c.end(now, r, true, false)
	}
}

func (c *cycle) apply(now, service int, change Change) {
	for _, refusal := range change.Refuse {
		r := c.requests[service][refusal.Ticket]
		if r.parent != nil && r.failed {
			continue
		}
		if r.parent != nil {
			c.lateCalls++
		}
		c.end(now, r, true, false)
	}
	for _, ticket := range change.Start {
		c.begin(now, c.requests[service][ticket])
	}
}

// begin starts a request: it makes its next call, or works.
func (c *cycle) begin(now int, r *cycleRequest) {
	if len(r.calls) == 0 {
		c.due[now+int(r.work/ms)] = append(c.due[now+int(r.work/ms)], func(now int) { c.end(now, r, false, true) })
		return
	}
	call := &cycleRequest{service: r.calls[0], deadline: after(now + 400), work: 30 * ms, parent: r}
	r.calls = r.calls[1:]
	c.due[now+1] = append(c.due[now+1], func(now int) { c.offer(now, call) })
	c.due[now+400] = append(c.due[now+400], func(now int) {
		if c.requests[call.service][call.ticket] == call && !call.failed && c.queues[call.service].Cancel(call.ticket) {
			call.failed = true
			c.lateCalls++
			c.end(now, call, true, false)
		}
	})
}

// end ends a request; ran says whether it has a slot. A parent continues or fails with its call.
func (c *cycle) end(now int, r *cycleRequest, failed, ran bool) {
	delete(c.requests[r.service], r.ticket)
	if ran {
		c.apply(now, r.service, c.queues[r.service].Release(after(now), r.ticket, !failed))
	}
	switch {
	case r.parent != nil && failed:
		c.end(now, r.parent, true, true)
		c.lost++
	case r.parent != nil:
		c.begin(now, r.parent)
	case !failed:
		c.served++
	}
}

// run offers parents of the routes in turn, one in each interval, for the time, and then lets all end.
func (c *cycle) run(interval, length int, parents func() *cycleRequest) (leftovers int) {
	for now := range length + 10_000 {
		if now < length && now%interval == 0 {
			r := parents()
			r.deadline = after(now + 3000)
			c.offer(now, r)
		}
		for len(c.due[now]) > 0 {
			next := c.due[now][0]
			c.due[now] = c.due[now][1:]
			next(now)
		}
		delete(c.due, now)
		for s, q := range c.queues {
			c.apply(now, s, q.Expire(after(now)))
		}
	}
	for _, q := range c.queues {
		u := q.Usage()
		leftovers += u.Running + u.Waiting
	}
	return leftovers
}

// Guards against parents in a cycle of services that fill all slots and wait for each other's calls: with any mix of
// calls and up to several times the capacity, all slots become free, calls are not refused after they were queued, and
// the services go on serving parents.
func TestCycleOfServicesDoesNotLock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := []int{rapid.IntRange(2, 6).Draw(t, "slots of a"), rapid.IntRange(2, 6).Draw(t, "slots of b")}
		targets := rapid.SliceOfN(rapid.IntRange(0, 1), 8, 8).Draw(t, "called services")
		calls := rapid.IntRange(1, 3).Draw(t, "calls of a parent")
		interval := rapid.IntRange(4, 40).Draw(t, "interval")
		c, n := newCycle(slots, true), 0
		c.class = request.Class(rapid.IntRange(0, 2).Draw(t, "class of the parents"))
		leftovers := c.run(interval, 3000, func() *cycleRequest {
			n++
			r := &cycleRequest{service: n % 2, work: 100 * ms}
			for i := range calls {
				r.calls = append(r.calls, targets[(n+i)%len(targets)])
			}
			return r
		})
		if leftovers > 0 {
			t.Fatalf("%d requests are left", leftovers)
		}
		if c.lateCalls > 0 {
			t.Errorf("%d calls were refused after they had been queued", c.lateCalls)
		}
		if c.served < 10 {
			t.Errorf("only %d parents were served", c.served)
		}
	})
}

// Guards against a worst mix, in which every parent calls the other service, that loses more work with the reserve for
// calls than without it.
func TestReserveForCallsServesMoreParents(t *testing.T) {
	for _, interval := range []int{4, 8, 16} {
		results := map[bool]*cycle{}
		for _, marked := range []bool{false, true} {
			c, n := newCycle([]int{6, 6}, marked), 0
			c.run(interval, 20_000, func() *cycleRequest {
				n++
				return &cycleRequest{service: n % 2, work: 100 * ms, calls: []int{(n + 1) % 2, (n + 1) % 2}}
			})
			results[marked] = c
		}
		plain, c := results[false], results[true]
		t.Logf("a parent each %d ms: served %d, lost %d; calls treated like other work: served %d, lost %d", interval, c.served, c.lost, plain.served, plain.lost)
		if c.served < plain.served || c.lost > plain.lost {
			t.Errorf("a parent each %d ms: served %d and lost %d, without the reserve %d and %d", interval, c.served, c.lost, plain.served, plain.lost)
		}
	}
}

// Guards against served calls that hide that the other work of their class is not served.
func TestCallsDoNotCountForTheShareOfTheirClass(t *testing.T) {
	q := NewQueue(Options{Limit: 2, QueueLimit: 8})
	for n := range 100 {
		d := q.Offer(after(10*n), Job{Kind: "call", Class: 1, Call: true, Deadline: after(10*n + 400)})
		q.Release(after(10*n+5), d.Ticket, true)
	}
	if len(q.shares) != 0 {
		t.Errorf("%d shares after calls alone", len(q.shares))
	}
	if !q.Contended(after(1000)) || q.Contended(after(60_000)) {
		t.Error("the queue must count as contended while calls are made, and not a minute later")
	}
}
