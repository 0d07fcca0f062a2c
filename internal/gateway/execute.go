package gateway

import (
	"context"
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/internal/stream"
	"heatherreel/internal/telemetry"
)

// Limits of a request at the node whose local backend server runs it.
const (
	// keyWaitTimeout is how long a request waits for a key that is moving to this node: two heartbeat intervals of 870
	// ms.
	keyWaitTimeout = 1800 * time.Millisecond
	// handoverWaitTimeout is how long a request waits at the former owner of a key for the end of a move, so that it can be
	// told the new owner. An ingress node would have to read the change from the store.
	handoverWaitTimeout = ownerRetryInterval
	// minRunTime is the remaining time below which a request is not worth sending to the backend server.
	minRunTime = 10 * time.Millisecond
	// queueWaitPercent is the part of its remaining time, in percent, for which a request waits for a slot. A caller
	// that is refused after that still has time to retry; one that is held until its deadline has not.
	queueWaitPercent = 45
	// coldBurst is how many requests a cold backend server gets at once, above its rate limit.
	coldBurst = 2
)

// execute runs a request at the local backend server. When ctx ends, the caller has disconnected: the request leaves
// the queue, and one that already runs is canceled only if it is idempotent.
func (g *Gateway) execute(ctx context.Context, r routed.Request, p node.DispatchProgress) routed.Answer {
	started := time.Now()
	g.noteRevision(r.Revision)
	// Other nodes may recognize calls.
	r.Call = r.Call && !g.options.IgnoreCalls
	// An ingress node with an older configuration may not know that only the holder of the key can run the request.
	r.MayDivert = r.MayDivert && !g.needsKey(r)
	ctx, span := g.deps.Tracing.StartHop(ctx, r.Traceparent, telemetry.HopOwner)
	defer span.End()
	progress := newProgressReporter(p)
	defer progress.Stop()
	answer := g.admit(ctx, r, progress)
	span.Result(answer.Outcome, answer.Reason)
	g.deps.Metrics.RecordRequest(telemetry.Owner, r.Service, answer.Outcome, answer.Reason, time.Since(started))
	if answer.Reason == request.NotOwner {
		// The era is read first: an end of a later one is then named under an earlier era, and ignored.
		answer.RangesEra = g.era.current.Load()
		table, end := g.ranges.get(r.Service)
		answer.RangesEnd = max(0, end)
		if owned, ok := table.Find(r.Key); ok && owned.Owner.Instance != g.self.Instance {
			answer.Owner = owned.Owner.Instance
		}
	}
	return g.withNodeState(answer)
}

// withNodeState returns the answer with the state that this node reports in all answers.
func (g *Gateway) withNodeState(answer routed.Answer) routed.Answer {
	answer.Instance = g.self.Instance
	answer.Load = g.loadReport()
	answer.Revision = g.routes.revision()
	return answer
}

// admit runs the request at the backend server. If that refuses a key that it was granted, because a grant that was lost
// earlier has taken effect late and shortened the hold, the key is granted again and the request sent once more.
func (g *Gateway) admit(ctx context.Context, r routed.Request, p *progressReporter) routed.Answer {
	answer := g.admitOnce(ctx, r, p)
	if r.Stream != nil && r.Stream.Begun() {
		return answer
	}
	if answer.Reason != request.BackendChanged || !r.Keyed || !g.grantsByCalls() || !g.server.dropHold(r.Key, g.deps.Now()) {
		return answer
	}
	g.grantTrigger.Fire()
	answer = g.admitOnce(ctx, r, p)
	answer.ReachedServer = true
	return answer
}

// admitOnce waits for the key and for a slot, and then runs the request.
func (g *Gateway) admitOnce(ctx context.Context, r routed.Request, p *progressReporter) routed.Answer {
	if r.ArriveWithin > 0 && r.Delay > r.ArriveWithin {
		return g.refuse(r, request.PathSlow)
	}
	if reason := g.refusalReason(r); reason != "" {
		return g.refuse(r, reason)
	}
	if g.needsKey(r) {
		g.server.countRequest(r.Key)
		if reason := g.awaitKey(ctx, r, p); reason != "" {
			return g.refuse(r, reason)
		}
	}
	if reason, retryAfter := g.overloadRefusal(r); reason != "" {
		answer := g.refuse(r, reason)
		answer.RetryAfter = retryAfter
		return answer
	}
	g.refreshWorkFigure(ctx)
	if g.shouldDivert(r) {
		return g.refuse(r, request.MachineSlow)
	}
	returnSlot, reason := g.streams.take(r, stream.Owner)
	defer returnSlot()
	if reason != "" {
		answer := g.refuse(r, reason)
		answer.RetryAfter = stream.RetryAfter
		return answer
	}
	ticket, reason := g.acquireSlot(ctx, r, p)
	if reason != "" {
		return g.refuse(r, reason)
	}
	// The state may have changed while the request waited.
	if reason := g.refusalReason(r); reason != "" {
		return g.refuseAtSlot(r, ticket, reason)
	}
	if g.needsKey(r) && !g.server.holdsKey(r.Key, g.deps.Now()) {
		return g.refuseAtSlot(r, ticket, request.NotOwner)
	}
	// The answers of the route may have turned out larger while the request waited.
	if !g.reserveAnswer(r) {
		return g.refuseAtSlot(r, ticket, request.QueueFull)
	}
	return g.run(ctx, r, ticket, p)
}

// needsKey reports whether only a backend server that holds the key of a request may run it.
func (g *Gateway) needsKey(r routed.Request) bool { return r.Keyed && g.serviceKeyed() }

// holdsKey reports whether the backend server holds a key.
func (t *serverTracker) holdsKey(key uint16, now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds.Usable(key, now)
}

// countRequest counts a request for a key.
func (t *serverTracker) countRequest(key uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keyMeter.Count(key)
}

// refuse logs a refusal and returns its answer.
func (g *Gateway) refuse(r routed.Request, reason request.Reason) routed.Answer {
	g.server.mu.Lock()
	now := time.Now()
	load := g.server.loadLocked(now)
	retryAfter := g.server.retryAfter(now)
	g.server.mu.Unlock()
	if cause, counted := refusalCause(r, reason); counted {
		g.deps.Metrics.CountRefusal(cause)
	}
	g.events.Emit(eventlog.RequestNotAdmitted, eventlog.RequestID(r.ID), eventlog.Name("service", r.Service),
		eventlog.Name("reason", string(reason)), eventlog.Count("running", load.Running), eventlog.Count("waiting", load.Waiting),
		eventlog.Duration("delay", r.Delay))
	if reason == request.Stopping && g.needsKey(r) {
		// Only this node can run the request.
		return routed.NotRun(reason, restartTime)
	}
	return routed.NotRun(reason, retryAfter)
}

// refuseAtSlot refuses a request that has got a slot, and returns the slot to the queue.
func (g *Gateway) refuseAtSlot(r routed.Request, ticket admission.Ticket, reason request.Reason) routed.Answer {
	g.releaseSlot(ticket, false)
	return g.refuse(r, reason)
}

// expectedSlotWait estimates when a slot is free for a request that is refused now and retried.
func expectedSlotWait(l routed.Load) time.Duration {
	ahead := max(1, l.Running+l.Waiting-l.Slots+1)
	serviceTime := l.ServiceTime
	if serviceTime <= 0 {
		serviceTime = overloadRetryAfter
	}
	return serviceTime * time.Duration(ahead) / time.Duration(max(1, l.Slots))
}

// refusalReason returns why the backend server must not get the request; empty if it may.
func (g *Gateway) refusalReason(r routed.Request) request.Reason {
	if r.Service != g.self.Service {
		return request.BackendChanged
	}
	if g.closed.isSet() {
		return request.Stopping
	}
	if !regionAllowed(r.HomeRegions, g.self.Region) {
		return request.WrongRegion
	}
	if g.mayRunTwice(r) {
		return request.NotConfigured
	}
	if g.routes.isEvacuated(g.self.DataCentre) && !g.withinEvacuationGrace(r) {
		return request.Draining
	}
	configured := g.routes.current() != nil
	now := g.deps.Now()
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	switch {
	case g.server.lastHeartbeat.Server == "":
		return request.NoServer
	case !configured && g.server.mayBeCold(time.Now()):
		// The rate of a cold backend server is not known yet.
		return request.NotConfigured
	case g.server.drainUntil > 0 && now >= g.server.drainUntil:
		return request.Draining
	case (g.server.lastHeartbeat.Draining || g.server.ended) && !(r.Keyed && g.server.holds.Usable(r.Key, now)):
		return request.Draining
	}
	return ""
}

// mayRunTwice reports whether the ingress node would repeat a request that may run only once by the newer configuration in
// force here. A process that starts after a rollback of the store knows an older one than the others.
func (g *Gateway) mayRunTwice(r routed.Request) bool {
	table := g.routes.current()
	if !r.Idempotent || table == nil || r.Revision >= table.Revision {
		return false
	}
	matched := table.Match(r.Host, r.Path)
	return matched != nil && !matched.Idempotent
}

// withinEvacuationGrace reports whether a request is for a key that may still be served here, because the evacuation of
// the data centre became known less than evacuationGrace ago.
func (g *Gateway) withinEvacuationGrace(r routed.Request) bool {
	return g.needsKey(r) && g.routes.evacuatedFor(g.self.DataCentre) < evacuationGrace
}

// evacuationGrace is how long an evacuated data centre still serves its keys while they move away. An evacuated data
// centre must get its last request within 5 s.
const evacuationGrace = 3 * time.Second

// awaitKey waits until the backend server holds the key. If it will not, awaitKey returns the reason for the refusal.
func (g *Gateway) awaitKey(ctx context.Context, r routed.Request, p *progressReporter) request.Reason {
	remaining := time.Until(r.Deadline) - minRunTime
	if remaining <= 0 {
		return request.DeadlineTooClose
	}
	timeout := time.NewTimer(min(keyWaitTimeout, remaining))
	defer timeout.Stop()
	handedOver := time.NewTimer(handoverWaitTimeout)
	defer handedOver.Stop()
	for handoverDue := true; ; {
		changed := g.ranges.changes()
		g.server.mu.Lock()
		held, rangesChanged := g.server.holds.Usable(r.Key, g.deps.Now()), g.server.rangesChanged
		g.server.mu.Unlock()
		if held {
			return ""
		}
		table, _ := g.ranges.get(r.Service)
		owned, ok := table.Find(r.Key)
		if !ok || owned.Owner.Instance != g.self.Instance || owned.Next != "" && !handoverDue {
			return request.NotOwner
		}
		select {
		case <-changed:
		case <-handedOver.C:
			handoverDue = false
		case <-rangesChanged:
		case <-p.C:
			p.report()
		case <-timeout.C:
			return request.Moving
		case <-g.closed.happened:
			return request.Stopping
		case <-ctx.Done():
			return request.DeadlineTooClose
		}
	}
}

// progressReporter tells the sender of a request that it is in progress. All phases of a request share one ticker: with
// a ticker for each phase, several phases shorter than the interval would together be silent for longer than the sender
// waits.
type progressReporter struct {
	*time.Ticker
	report func()
}

// newProgressReporter starts the ticker. Without an interval the ticker never fires.
func newProgressReporter(p node.DispatchProgress) *progressReporter {
	if p.Interval > 0 {
		return &progressReporter{Ticker: time.NewTicker(p.Interval), report: p.Report}
	}
	t := time.NewTicker(time.Hour)
	t.Stop()
	return &progressReporter{Ticker: t}
}

// run sends the request to the backend server on a worker of the backend pool and returns the answer.
func (g *Gateway) run(ctx context.Context, r routed.Request, ticket admission.Ticket, p *progressReporter) routed.Answer {
	if time.Until(r.Deadline) < minRunTime || ctx.Err() != nil {
		return g.refuseAtSlot(r, ticket, request.DeadlineTooClose)
	}
	g.server.mu.Lock()
	if !g.server.allowCold(time.Now()) {
		// The limit also counts requests that have waited since before the backend server was known to be cold.
		g.server.mu.Unlock()
		return g.refuseAtSlot(r, ticket, request.BackendFull)
	}
	e := routed.Exchange{Request: r, Address: g.self.BackendAddress, Server: g.server.lastHeartbeat.Server}
	g.server.mu.Unlock()
	e.HasTenants = hasTenants(g.routes.current())
	result := make(chan routed.Answer, 1)
	err := g.backendPool.Submit(func() { result <- g.exchange(ctx, e, ticket) })
	if err != nil {
		return g.refuseAtSlot(r, ticket, request.QueueFull)
	}
	for {
		select {
		case answer := <-result:
			g.finishExchange(r, e, &answer)
			return answer
		case <-g.requestsEnded.happened:
			answer := routed.OutcomeUnknown(request.ConnectionLost)
			select {
			case answer = <-result:
			default:
				// The backend server may still work on the request.
			}
			g.finishExchange(r, e, &answer)
			return answer
		case <-p.C:
			p.report()
		}
	}
}

// exchange sends a request to the backend server and returns its slot. When ctx ends, a request that was not sent yet is
// not sent, and an idempotent one that runs is canceled.
func (g *Gateway) exchange(ctx context.Context, e routed.Exchange, ticket admission.Ticket) routed.Answer {
	if ctx.Err() != nil {
		g.releaseSlot(ticket, false)
		return routed.NotRun(request.DeadlineTooClose, 0)
	}
	if !e.Request.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, e.Request.Deadline)
	defer cancel()
	if reason := g.beginStream(ctx, e); reason != "" {
		g.releaseSlot(ticket, false)
		return routed.NotRun(reason, 0)
	}
	ctx, span := g.deps.Tracing.StartHop(ctx, "", telemetry.HopBackend)
	run := g.server.beginRun(e.Request.Route)
	run.streamed = e.Request.Stream != nil
	answer := g.deps.Backend.Exchange(ctx, e)
	if run.streamed {
		answer = endStream(ctx, e.Request, answer)
	}
	g.reportRunChange(e.Server, g.server.endRun(run, answer))
	span.Result(answer.Outcome, answer.Reason)
	span.End()
	if answer.ConnectionRefused {
		g.server.suspectRestart(e.Server)
	}
	g.server.observeWorkFigure(answer.WorkFigure)
	g.releaseSlot(ticket, answer.Outcome == request.Done && !run.streamed && !(g.options.LearnCapacity && isServerError(answer)))
	return answer
}

// finishExchange logs an exchange that ended without an answer of the backend server, and sets RetryAfter in a refusal
// that has none.
func (g *Gateway) finishExchange(r routed.Request, e routed.Exchange, a *routed.Answer) {
	if a.Outcome == request.Done {
		return
	}
	g.events.Emit(eventlog.ExchangeFailed, eventlog.RequestID(r.ID), eventlog.Name("server", e.Server),
		eventlog.Name("outcome", a.Outcome.String()), eventlog.Name("reason", string(a.Reason)),
		eventlog.Duration("remaining", max(0, time.Until(r.Deadline))), eventlog.Duration("delay", r.Delay))
	if a.Outcome == request.NotRun && a.RetryAfter == 0 {
		g.server.mu.Lock()
		defer g.server.mu.Unlock()
		a.RetryAfter = g.server.retryAfter(time.Now())
	}
}
