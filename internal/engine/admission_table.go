package engine

import (
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/limit"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/request"
)

// queuedCall is a call that waits for, or has just received, a concurrency slot of the backend server.
type queuedCall struct {
	c    *call
	done func(request.Answer)
}

// admissionTable guards the request queue and the concurrency limit of the backend server beside this node, and holds
// the queued calls.
//
// mu guards all fields; it has rank lockorder.Admission.
type admissionTable struct {
	mu      *lockorder.Mutex
	queue   *admission.Queue
	limiter *limit.Limiter
	// queueLimit is the maximum number of queued calls.
	queueLimit  int
	queuedCalls map[admission.Ticket]queuedCall
}

func newAdmissionTable() *admissionTable {
	return &admissionTable{
		mu:          lockorder.New(lockorder.Admission),
		queue:       admission.NewQueue(admission.Options{}),
		limiter:     limit.New(),
		queuedCalls: map[admission.Ticket]queuedCall{},
	}
}

// dequeuedCalls are the calls that left the queue after a change. Its maps are nil if there are none, as for most
// requests.
type dequeuedCalls struct {
	start  map[admission.Ticket]queuedCall
	refuse map[request.Reason][]queuedCall
}

// dequeue removes the calls that a change starts or refuses. The caller holds mu.
func (t *admissionTable) dequeue(change admission.Change) dequeuedCalls {
	var r dequeuedCalls
	if len(change.Start) > 0 {
		r.start = make(map[admission.Ticket]queuedCall, len(change.Start))
	}
	if len(change.Refuse) > 0 {
		r.refuse = map[request.Reason][]queuedCall{}
	}
	for _, ticket := range change.Start {
		r.start[ticket] = t.queuedCalls[ticket]
		delete(t.queuedCalls, ticket)
	}
	for _, refusal := range change.Refuse {
		r.refuse[refusal.Reason] = append(r.refuse[refusal.Reason], t.queuedCalls[refusal.Ticket])
		delete(t.queuedCalls, refusal.Ticket)
	}
	return r
}

// offer submits a call to the queue. It returns the decision, the calls that left the queue, and the next expiry.
func (t *admissionTable) offer(now time.Time, q queuedCall) (admission.Decision, dequeuedCalls, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.queue.Offer(now, admission.Job{
		Tenant: q.c.req.Tenant, Key: q.c.req.Key, Class: q.c.req.Class, Deadline: q.c.req.Deadline,
	})
	if d.Verdict == admission.Queued {
		t.queuedCalls[d.Ticket] = q
	}
	return d, t.dequeue(d.Change), t.nextExpiry()
}

// nextExpiry returns when the next queued call expires; zero if the queue is empty. The caller holds mu.
func (t *admissionTable) nextExpiry() time.Time {
	next, ok := t.queue.NextExpiry()
	if !ok {
		return time.Time{}
	}
	// The queue refuses the call only after this time, not at it.
	return next.Add(time.Microsecond)
}

// limitDecrease is a decrease of the concurrency limit; from and to are equal if it did not decrease.
type limitDecrease struct {
	from, to int
}

// release gives back a slot. sample is nil if the call never reached the backend server. The limit is updated before
// the slot is given to another call, so that no call starts above a lowered limit.
func (t *admissionTable) release(
	now time.Time, ticket admission.Ticket, sample *limit.Sample,
) (dequeuedCalls, limitDecrease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usage := t.queue.Usage()
	decrease := limitDecrease{from: usage.Limit, to: usage.Limit}
	var change admission.Change
	if sample != nil {
		sample.Running = usage.Running
		if t.limiter.Finish(now, *sample) {
			decrease.to = t.limiter.Limit()
		}
		change = t.applyLimiterLimit(now)
	}
	next := t.queue.Release(now, ticket, countsForServiceTime(now, sample, usage.ServiceTime))
	change.Start = append(change.Start, next.Start...)
	change.Refuse = append(change.Refuse, next.Refuse...)
	return t.dequeue(change), decrease
}

// countsForServiceTime reports whether the duration of a call may update the queue's estimate of the service time. The
// true duration of a timed-out call is longer than the measured one, so such a call may only raise the estimate.
// Otherwise calls that are cut off at their deadline would lower it, and the queue would start more calls that cannot
// finish.
func countsForServiceTime(now time.Time, sample *limit.Sample, estimate time.Duration) bool {
	switch {
	case sample == nil || sample.Result == limit.Shed:
		return false
	case sample.Result == limit.TimedOut:
		return now.Sub(sample.Begun) > estimate
	}
	return true
}

// applyLimiterLimit passes the limiter's current limit to the queue. The caller holds mu.
func (t *admissionTable) applyLimiterLimit(now time.Time) admission.Change {
	if t.queue.Usage().Limit == t.limiter.Limit() {
		return admission.Change{}
	}
	return t.queue.SetLimits(now, admission.Options{Limit: t.limiter.Limit(), QueueLimit: t.queueLimit})
}

// expire refuses the queued calls that can no longer finish in time.
func (t *admissionTable) expire(now time.Time) (dequeuedCalls, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dequeue(t.queue.Expire(now)), t.nextExpiry()
}

// setLimits changes the maximum of the concurrency limit and the limit of the queue.
func (t *admissionTable) setLimits(now time.Time, maxLimit, queueLimit int) dequeuedCalls {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.SetMaxLimit(now, maxLimit)
	t.queueLimit = queueLimit
	return t.dequeue(t.queue.SetLimits(now, admission.Options{Limit: t.limiter.Limit(), QueueLimit: queueLimit}))
}

// resetLimit returns the concurrency limit to its initial value, because the latency of the backend server is unknown.
func (t *admissionTable) resetLimit(now time.Time) dequeuedCalls {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.Reset(now)
	return t.dequeue(t.applyLimiterLimit(now))
}

func (t *admissionTable) usage() admission.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Usage()
}

// enqueue runs the call as soon as the backend server has a free slot, and passes the answer to done.
func (e *Engine) enqueue(c *call, done func(request.Answer)) {
	d, dequeued, next := e.admission.offer(time.Now(), queuedCall{c: c, done: done})
	e.handleDequeued(dequeued)
	switch d.Verdict {
	case admission.Started:
		e.runAdmitted(d.Ticket, queuedCall{c: c, done: done})
	case admission.Queued:
		e.expiryTrigger.FireAt(next)
	default:
		done(admissionRefusal(d.Reason))
	}
}

// admissionRefusal returns the answer to a call that the queue refused.
func admissionRefusal(reason request.Reason) request.Answer {
	if reason == request.QueueFull {
		return request.Refuse(reason, "repeat the request after a pause")
	}
	return request.Refuse(reason, "allow more time, or repeat the request after a pause")
}

// runAdmitted sends a call that holds a slot to the backend server and then releases the slot.
func (e *Engine) runAdmitted(ticket admission.Ticket, q queuedCall) {
	answer := request.Refuse(request.DeadlineTooClose, "allow more time")
	startedAt := time.Now()
	if !q.c.expired(startedAt) {
		answer = e.sendToBackend(q.c)
	}
	dequeued, decrease := e.admission.release(time.Now(), ticket, latencySample(q.c, answer, startedAt))
	e.handleDequeued(dequeued)
	if decrease.to < decrease.from {
		e.deps.Events.Emit(eventlog.BackendLimitLowered,
			eventlog.Count("from", decrease.from), eventlog.Count("to", decrease.to))
	}
	q.done(answer)
}

// latencySample returns what a call shows about the latency of the backend server; nil if the call did not reach it.
func latencySample(c *call, answer request.Answer, startedAt time.Time) *limit.Sample {
	s := &limit.Sample{Class: limit.Write, Begun: startedAt}
	if c.req.Idempotent {
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

// handleDequeued runs or refuses the calls that left the queue.
func (e *Engine) handleDequeued(r dequeuedCalls) {
	for reason, calls := range r.refuse {
		for _, q := range calls {
			q.done(admissionRefusal(reason))
		}
	}
	for ticket, q := range r.start {
		if e.ownerPool.Submit(func() { e.runAdmitted(ticket, q) }) == nil {
			continue
		}
		e.deps.Events.Emit(eventlog.QueueFull, eventlog.Pool(e.ownerPool.Name()))
		q.done(admissionRefusal(request.QueueFull))
		dequeued, _ := e.admission.release(time.Now(), ticket, nil)
		e.handleDequeued(dequeued)
	}
}

// expireQueuedCalls refuses the calls that can no longer finish in time.
func (e *Engine) expireQueuedCalls() {
	expired, next := e.admission.expire(time.Now())
	e.handleDequeued(expired)
	e.expiryTrigger.FireAt(next)
}

// applyBackendLimits updates the limits from the configuration and the latest announcement of the backend server.
func (e *Engine) applyBackendLimits() {
	a, _ := e.backend.latestAnnouncement()
	if a.Address == "" {
		return
	}
	limits, ok := e.backendSettings(a.Service)
	if !ok {
		return
	}
	// The configuration cannot raise the limit above the capacity that the backend server announces.
	maxLimit := min(limits.ConcurrencyLimit, a.Slots, a.Connections)
	e.handleDequeued(e.admission.setLimits(time.Now(), int(maxLimit), int(limits.QueueLimit)))
}
