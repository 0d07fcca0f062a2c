package gateway

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"heatherreel/internal/admission"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/internal/telemetry"
)

// Waits of a request at the node beside the backend server.
const (
	// keyWait is how long a request waits for a key that is on its way here: two heartbeats of 870 ms.
	keyWait = 1800 * time.Millisecond
	// leastRun is the time below which a request is not worth sending.
	leastRun = 10 * time.Millisecond
	// queuePatience is the part of its remaining time, in percent, for which a request waits for a slot. A caller that is
	// refused then has time to come back; one that is held to the end has not.
	queuePatience = 45
	// coldBurst is how many requests a cold backend server gets at once.
	coldBurst = 2
)

// execute runs a request at the backend server beside the node.
// When ctx ends, the caller has gone: the request leaves the queue, and is broken off at the backend server only if it may
// run again.
func (g *Gateway) execute(ctx context.Context, r routed.Request, p node.DispatchProgress) routed.Answer {
	started := time.Now()
	g.heard(r.Revision)
	ctx, span := g.deps.Tracing.StartHop(ctx, r.Traceparent, telemetry.HopOwner)
	defer span.End()
	progress := newProgress(p)
	defer progress.Stop()
	answer := g.admit(ctx, r, progress)
	span.Result(answer.Outcome, answer.Reason)
	g.deps.Metrics.Request(telemetry.Owner, r.Service, answer.Outcome, answer.Reason, time.Since(started))
	if answer.Reason == request.NotOwner {
		table, _ := g.ranges.get(r.Service)
		if owned, ok := table.Find(r.Key); ok && owned.Owner.Instance != g.self.Instance {
			answer.Owner = owned.Owner.Instance
		}
	}
	answer.Instance = g.self.Instance
	answer.Load = g.report()
	answer.Revision = g.routes.revision()
	return answer
}

// admit waits for the key and a slot, and runs the request.
func (g *Gateway) admit(ctx context.Context, r routed.Request, p *progress) routed.Answer {
	if reason := g.barred(r); reason != "" {
		return g.refused(r, reason)
	}
	if r.Keyed && g.keyed() {
		g.server.count(r.Key)
		if reason := g.awaitKey(ctx, r, p); reason != "" {
			return g.refused(r, reason)
		}
	}
	g.refreshSlowness(ctx)
	if g.diverts(r) {
		return g.refused(r, request.MachineSlow)
	}
	ticket, reason := g.enter(ctx, r, p)
	if reason != "" {
		return g.refused(r, reason)
	}
	// The state may have changed while the request waited.
	if reason := g.barred(r); reason != "" {
		g.leave(ticket, false)
		return g.refused(r, reason)
	}
	if r.Keyed && g.keyed() && !g.server.holdsNow(r.Key, g.deps.Now()) {
		g.leave(ticket, false)
		return g.refused(r, request.NotOwner)
	}
	return g.run(ctx, r, ticket, p)
}

// holdsNow reports whether the backend server holds a key.
func (t *serverTable) holdsNow(key uint16, now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds(key, now)
}

// count counts a request for a key.
func (t *serverTable) count(key uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meter.Count(key)
}

// refused logs and returns a refusal.
func (g *Gateway) refused(r routed.Request, reason request.Reason) routed.Answer {
	load := g.server.load(time.Now())
	g.events.Emit(eventlog.RequestNotAdmitted, eventlog.RequestID(r.ID), eventlog.Name("service", r.Service),
		eventlog.Name("reason", string(reason)), eventlog.Count("running", load.Running), eventlog.Count("waiting", load.Waiting))
	return routed.Refuse(reason, roomExpected(load))
}

// roomExpected is when a slot is expected to be free for a request that comes back.
func roomExpected(l routed.Load) time.Duration {
	ahead := max(1, l.Running+l.Waiting-l.Slots+1)
	service := l.ServiceTime
	if service <= 0 {
		service = overloadRetry
	}
	return service * time.Duration(ahead) / time.Duration(max(1, l.Slots))
}

// barred returns why the backend server may not get the request; empty if it may.
func (g *Gateway) barred(r routed.Request) request.Reason {
	if r.Service != g.self.Service {
		return request.BackendChanged
	}
	if g.closed.Load() {
		return request.Draining
	}
	if !allows(r.HomeRegions, g.self.Region) {
		return request.WrongRegion
	}
	if g.routes.isEvacuated(g.self.DataCentre) && !g.evacuatingKeys(r) {
		return request.Draining
	}
	now := g.deps.Now()
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	switch {
	case g.server.beat.Server == "":
		return request.NoServer
	case g.server.drainUntil > 0 && now >= g.server.drainUntil:
		return request.Draining
	case (g.server.beat.Draining || g.server.ended) && !(r.Keyed && g.server.holds(r.Key, now)):
		return request.Draining
	}
	return ""
}

// evacuatingKeys reports whether the key of a request still leaves an evacuated data centre.
func (g *Gateway) evacuatingKeys(r routed.Request) bool {
	if !r.Keyed || !g.keyed() {
		return false
	}
	return g.routes.evacuatedFor(g.self.DataCentre) < evacuationGrace
}

// evacuationGrace is how long keys may be served while they leave an evacuated data centre; the bound for the last request
// is 5 s.
const evacuationGrace = 3 * time.Second

// awaitKey waits until the backend server holds the key; it returns why it will not.
func (g *Gateway) awaitKey(ctx context.Context, r routed.Request, p *progress) request.Reason {
	left := time.Until(r.Deadline) - leastRun
	if left <= 0 {
		return request.DeadlineTooClose
	}
	limit := time.NewTimer(min(keyWait, left))
	defer limit.Stop()
	for {
		g.server.mu.Lock()
		held, changed := g.server.holds(r.Key, g.deps.Now()), g.server.changed
		g.server.mu.Unlock()
		if held {
			return ""
		}
		table, _ := g.ranges.get(r.Service)
		if owned, ok := table.Find(r.Key); !ok || owned.Owner.Instance != g.self.Instance || owned.Next != "" {
			return request.NotOwner
		}
		select {
		case <-changed:
		case <-p.C:
			p.report()
		case <-limit.C:
			return request.Moving
		case <-ctx.Done():
			return request.DeadlineTooClose
		}
	}
}

// progress tells the sender of a request that it is in progress. One ticker serves all phases of the request: with one for
// each, phases that are all shorter than the interval would together be silent for longer than the sender waits.
type progress struct {
	*time.Ticker
	report func()
}

// newProgress starts the ticker; it never fires for no interval.
func newProgress(p node.DispatchProgress) *progress {
	if p.Interval > 0 {
		return &progress{Ticker: time.NewTicker(p.Interval), report: p.Report}
	}
	t := time.NewTicker(time.Hour)
	t.Stop()
	return &progress{Ticker: t}
}

// enter waits for a slot until the request could not finish in time any more. A non-empty reason tells that the request has none and will not run.
func (g *Gateway) enter(ctx context.Context, r routed.Request, p *progress) (admission.Ticket, request.Reason) {
	g.server.mu.Lock()
	now := time.Now()
	g.server.settle(g.server.queue.SetSlowdown(now, g.server.machine.Slowdown(now)))
	giveUp := r.Deadline.Add(-max(leastRun, g.server.queue.Expected(r.Route)))
	if patience := now.Add(r.Deadline.Sub(now) * queuePatience / 100); patience.Before(giveUp) {
		giveUp = patience
	}
	d := g.server.queue.Offer(now, admission.Job{Kind: r.Route, Class: request.Class(min(r.Priority, 255)), Deadline: r.Deadline,
		Objective: r.Objective})
	var waiter chan request.Reason
	if d.Verdict == admission.Queued {
		waiter = make(chan request.Reason, 1)
		g.server.waiting[d.Ticket] = waiter
	}
	g.server.settle(d.Change)
	held := g.server.queue.Held()
	g.server.mu.Unlock()
	if held && d.Verdict == admission.Queued {
		g.slowness.FireAfter(slownessInterval)
	}
	if d.Verdict == admission.Refused {
		return 0, d.Reason
	}
	if waiter == nil {
		return d.Ticket, ""
	}
	ctx, cancel := context.WithDeadline(ctx, giveUp)
	defer cancel()
	return d.Ticket, g.awaitSlot(ctx, d.Ticket, waiter, p)
}

// takeCold counts a request against the rate of a cold backend server. The caller holds mu.
func (t *serverTable) takeCold(now time.Time) bool {
	if t.coldRate <= 0 || !now.Before(t.coldUntil) {
		return true
	}
	if t.cold == nil {
		t.cold = rate.NewLimiter(rate.Limit(t.coldRate), coldBurst)
	}
	return t.cold.AllowN(now, 1)
}

func (g *Gateway) awaitSlot(ctx context.Context, ticket admission.Ticket, waiter <-chan request.Reason, p *progress) request.Reason {
	for {
		select {
		case reason := <-waiter:
			return reason
		case <-p.C:
			p.report()
		case <-ctx.Done():
			g.server.mu.Lock()
			cancelled := g.server.queue.Cancel(ticket)
			delete(g.server.waiting, ticket)
			g.server.mu.Unlock()
			if !cancelled {
				// The slot was given at the same moment.
				if reason := <-waiter; reason != "" {
					return reason
				}
				g.leave(ticket, false)
			}
			return request.DeadlineTooClose
		}
	}
}

// leave returns a slot.
func (g *Gateway) leave(ticket admission.Ticket, measured bool) {
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	g.server.settle(g.server.queue.Release(time.Now(), ticket, measured))
}

// run makes the exchange on a worker and returns its answer.
func (g *Gateway) run(ctx context.Context, r routed.Request, ticket admission.Ticket, p *progress) routed.Answer {
	if time.Until(r.Deadline) < leastRun || ctx.Err() != nil {
		g.leave(ticket, false)
		return g.refused(r, request.DeadlineTooClose)
	}
	g.server.mu.Lock()
	if !g.server.takeCold(time.Now()) {
		// What waited since before the backend server was known to be cold counts as well.
		g.server.mu.Unlock()
		g.leave(ticket, false)
		return g.refused(r, request.BackendFull)
	}
	e := routed.Exchange{Request: r, Address: g.self.BackendAddress, Server: g.server.beat.Server}
	g.server.mu.Unlock()
	result := make(chan routed.Answer, 1)
	if !r.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	err := g.backend.Submit(func() {
		ctx, cancel := context.WithDeadline(ctx, r.Deadline)
		defer cancel()
		ctx, span := g.deps.Tracing.StartHop(ctx, "", telemetry.HopBackend)
		answer := g.deps.Backend.Exchange(ctx, e)
		span.Result(answer.Outcome, answer.Reason)
		span.End()
		g.server.observe(answer.WorkFigure)
		g.leave(ticket, answer.Outcome == request.Done)
		result <- answer
	})
	if err != nil {
		g.leave(ticket, false)
		return g.refused(r, request.QueueFull)
	}
	for {
		select {
		case answer := <-result:
			g.exchanged(r, e, &answer)
			return answer
		case <-p.C:
			p.report()
		}
	}
}

// exchanged logs an exchange that did not end in an answer of the backend server.
func (g *Gateway) exchanged(r routed.Request, e routed.Exchange, a *routed.Answer) {
	if a.Outcome == request.Done {
		return
	}
	g.events.Emit(eventlog.ExchangeFailed, eventlog.RequestID(r.ID), eventlog.Name("server", e.Server),
		eventlog.Name("outcome", a.Outcome.String()), eventlog.Name("reason", string(a.Reason)),
		eventlog.Duration("remaining", max(0, time.Until(r.Deadline))))
	if a.Outcome == request.NotRun && a.RetryAfter == 0 {
		a.RetryAfter = roomExpected(g.server.load(time.Now()))
	}
}
