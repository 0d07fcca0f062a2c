package engine

import (
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/request"
)

// admitted is a call that waits for a slot of the backend server.
type admitted struct {
	c    *call
	done func(request.Answer)
}

// admissionTable guards the queue of the backend server beside this node and holds the calls that wait in it.
//
// mu guards queue and waiting; it has rank lockorder.Admission.
type admissionTable struct {
	mu      *lockorder.Mutex
	queue   *admission.Queue
	waiting map[admission.Ticket]admitted
}

func newAdmissionTable() *admissionTable {
	return &admissionTable{
		mu:      lockorder.New(lockorder.Admission),
		queue:   admission.NewQueue(admission.Options{}),
		waiting: map[admission.Ticket]admitted{},
	}
}

// released are the waiting calls that a change concerns. Its maps are nil if there are none, as for most requests.
type released struct {
	start  map[admission.Ticket]admitted
	refuse map[request.Reason][]admitted
}

// take removes the calls that a change names. The caller holds mu.
func (t *admissionTable) take(change admission.Change) released {
	var r released
	if len(change.Start) > 0 {
		r.start = make(map[admission.Ticket]admitted, len(change.Start))
	}
	if len(change.Refuse) > 0 {
		r.refuse = map[request.Reason][]admitted{}
	}
	for _, ticket := range change.Start {
		r.start[ticket] = t.waiting[ticket]
		delete(t.waiting, ticket)
	}
	for _, refusal := range change.Refuse {
		r.refuse[refusal.Reason] = append(r.refuse[refusal.Reason], t.waiting[refusal.Ticket])
		delete(t.waiting, refusal.Ticket)
	}
	return r
}

// offer offers a call to the queue.
func (t *admissionTable) offer(now time.Time, a admitted) (admission.Decision, released, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.queue.Offer(now, admission.Job{
		Tenant: a.c.r.Tenant, Key: a.c.r.Key, Class: a.c.r.Class, Deadline: a.c.r.Deadline,
	})
	if d.Verdict == admission.Queued {
		t.waiting[d.Ticket] = a
	}
	return d, t.take(d.Change), t.nextExpiry()
}

// nextExpiry returns when a waiting call becomes too late; zero if none waits. The caller holds mu.
func (t *admissionTable) nextExpiry() time.Time {
	next, ok := t.queue.NextExpiry()
	if !ok {
		return time.Time{}
	}
	// The queue refuses what can no longer finish after this time, not at it.
	return next.Add(time.Microsecond)
}

// release gives up a slot.
func (t *admissionTable) release(now time.Time, ticket admission.Ticket, measured bool) released {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(t.queue.Release(now, ticket, measured))
}

// expire refuses the calls that are too late.
func (t *admissionTable) expire(now time.Time) (released, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(t.queue.Expire(now)), t.nextExpiry()
}

// setLimits changes the limits.
func (t *admissionTable) setLimits(now time.Time, o admission.Options) released {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(t.queue.SetLimits(now, o))
}

func (t *admissionTable) usage() admission.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Usage()
}

// enter runs the call when the backend server has a slot for it.
func (e *Engine) enter(c *call, done func(request.Answer)) {
	d, others, next := e.admission.offer(time.Now(), admitted{c: c, done: done})
	e.continueCalls(others)
	switch d.Verdict {
	case admission.Started:
		e.runSlot(d.Ticket, admitted{c: c, done: done})
	case admission.Queued:
		e.expiry.FireAt(next)
	default:
		done(refuseAdmission(d.Reason))
	}
}

// refuseAdmission returns the answer to a call that the queue refused.
func refuseAdmission(reason request.Reason) request.Answer {
	if reason == request.QueueFull {
		return request.Refuse(reason, "repeat the request after a pause")
	}
	return request.Refuse(reason, "allow more time, or repeat the request after a pause")
}

// runSlot sends a call that holds a slot and gives the slot to the next.
func (e *Engine) runSlot(ticket admission.Ticket, a admitted) {
	answer := request.Refuse(request.DeadlineTooClose, "allow more time")
	if !a.c.expired(time.Now()) {
		answer = e.send(a.c)
	}
	e.continueCalls(e.admission.release(time.Now(), ticket, answer.Outcome != request.NotRun))
	a.done(answer)
}

// continueCalls runs and refuses the calls that left the queue.
func (e *Engine) continueCalls(r released) {
	for reason, calls := range r.refuse {
		for _, a := range calls {
			a.done(refuseAdmission(reason))
		}
	}
	for ticket, a := range r.start {
		if e.ownerPool.Submit(func() { e.runSlot(ticket, a) }) == nil {
			continue
		}
		e.deps.Events.Emit(eventlog.QueueFull, eventlog.Pool(e.ownerPool.Name()))
		a.done(refuseAdmission(request.QueueFull))
		e.continueCalls(e.admission.release(time.Now(), ticket, false))
	}
}

// expireCalls refuses the calls that waited too long.
func (e *Engine) expireCalls() {
	late, next := e.admission.expire(time.Now())
	e.continueCalls(late)
	e.expiry.FireAt(next)
}

// adoptLimits brings the limits in line with the configuration and with what the backend server announced.
func (e *Engine) adoptLimits() {
	a, _ := e.backend.announced()
	if a.Address == "" {
		return
	}
	limits, ok := e.backendSettings(a.Service)
	if !ok {
		return
	}
	// A backend server never receives more than it states to bear, whatever the configuration says.
	limit := min(limits.ConcurrencyLimit, a.Slots, a.Connections)
	e.continueCalls(e.admission.setLimits(time.Now(), admission.Options{
		Limit: int(limit), QueueLimit: int(limits.QueueLimit),
	}))
}
