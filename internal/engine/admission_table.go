package engine

import (
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/limit"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/request"
)

// admitted is a call that waits for a slot of the backend server.
type admitted struct {
	c    *call
	done func(request.Answer)
}

// admissionTable guards the queue and the concurrency limit of the backend server beside this node and holds the calls
// that wait in the queue.
//
// mu guards all fields; it has rank lockorder.Admission.
type admissionTable struct {
	mu      *lockorder.Mutex
	queue   *admission.Queue
	limiter *limit.Limiter
	// queueLimit is the number of calls that may wait.
	queueLimit int
	waiting    map[admission.Ticket]admitted
}

func newAdmissionTable() *admissionTable {
	return &admissionTable{
		mu:      lockorder.New(lockorder.Admission),
		queue:   admission.NewQueue(admission.Options{}),
		limiter: limit.New(),
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

// limitFall is a fall of the concurrency limit; from and to are equal if it did not fall.
type limitFall struct {
	from, to int
}

// release gives up a slot. sample is nil if the call never reached the backend server. The limit changes before the
// slot is given to another call, so that none starts above a lower limit.
func (t *admissionTable) release(now time.Time, ticket admission.Ticket, sample *limit.Sample) (released, limitFall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usage := t.queue.Usage()
	fall := limitFall{from: usage.Limit, to: usage.Limit}
	var change admission.Change
	if sample != nil {
		sample.Running = usage.Running
		if t.limiter.Finish(now, *sample) {
			fall.to = t.limiter.Limit()
		}
		change = t.follow(now)
	}
	next := t.queue.Release(now, ticket, informs(now, sample, usage.ServiceTime))
	change.Start = append(change.Start, next.Start...)
	change.Refuse = append(change.Refuse, next.Refuse...)
	return t.take(change), fall
}

// informs reports whether the duration of a call may count in the queue's estimate of the service time. A call that
// was not answered took longer than it shows, and may only raise the estimate: otherwise calls that are cut off at their
// deadline would lower it, and the queue would start more calls that cannot finish.
func informs(now time.Time, sample *limit.Sample, estimate time.Duration) bool {
	switch {
	case sample == nil || sample.Result == limit.Shed:
		return false
	case sample.Result == limit.TimedOut:
		return now.Sub(sample.Begun) > estimate
	}
	return true
}

// follow gives the present limits to the queue. The caller holds mu.
func (t *admissionTable) follow(now time.Time) admission.Change {
	if t.queue.Usage().Limit == t.limiter.Limit() {
		return admission.Change{}
	}
	return t.queue.SetLimits(now, admission.Options{Limit: t.limiter.Limit(), QueueLimit: t.queueLimit})
}

// expire refuses the calls that are too late.
func (t *admissionTable) expire(now time.Time) (released, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(t.queue.Expire(now)), t.nextExpiry()
}

// setLimits changes the highest concurrency limit and the limit of the queue.
func (t *admissionTable) setLimits(now time.Time, most, queueLimit int) released {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.SetMost(now, most)
	t.queueLimit = queueLimit
	return t.take(t.queue.SetLimits(now, admission.Options{Limit: t.limiter.Limit(), QueueLimit: queueLimit}))
}

// resetLimit returns the concurrency limit to its start, because nothing is known of the backend server's latency.
func (t *admissionTable) resetLimit(now time.Time) released {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.Reset(now)
	return t.take(t.follow(now))
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
	begun := time.Now()
	if !a.c.expired(begun) {
		answer = e.send(a.c)
	}
	others, fall := e.admission.release(time.Now(), ticket, sampleOf(a.c, answer, begun))
	e.continueCalls(others)
	if fall.to < fall.from {
		e.deps.Events.Emit(eventlog.BackendLimitLowered, eventlog.Count("from", fall.from), eventlog.Count("to", fall.to))
	}
	a.done(answer)
}

// sampleOf returns what a call tells about the backend server; nil if it did not reach it.
func sampleOf(c *call, answer request.Answer, begun time.Time) *limit.Sample {
	s := &limit.Sample{Class: limit.Write, Begun: begun}
	if c.r.Idempotent {
		s.Class = limit.Read
	}
	switch {
	case answer.Outcome == request.Done:
		s.Result = limit.Answered
	case answer.Outcome == request.Unknown:
		s.Result = limit.TimedOut
	case answer.Reason == request.QueueFull:
		s.Result = limit.Shed
	default:
		return nil
	}
	return s
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
		others, _ := e.admission.release(time.Now(), ticket, nil)
		e.continueCalls(others)
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
	most := min(limits.ConcurrencyLimit, a.Slots, a.Connections)
	e.continueCalls(e.admission.setLimits(time.Now(), int(most), int(limits.QueueLimit)))
}
