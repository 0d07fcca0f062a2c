package gateway

import (
	"context"
	"slices"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/operator"
	"heatherreel/internal/telemetry"
)

// Sizes of the pool for grants. Releases wait for the requests that run on their keys, and therefore cannot take the
// workers of grants.
const (
	maxGrantCalls   = 4
	maxReleaseCalls = 2
	grantQueue      = 32
)

// grantsByCalls reports whether keys are granted by calls rather than in the replies to heartbeats.
func (g *Gateway) grantsByCalls() bool { return g.deps.KeyCalls != nil }

// maxHold returns the longest hold that the node grants.
func (g *Gateway) maxHold() time.Duration {
	if g.grantsByCalls() {
		return keyhold.MaxHold
	}
	return keyrange.MaxHold
}

// scheduleKeyCalls begins the grants and releases that are due. It runs after each change of the table, the lease or the
// backend server, and after each call.
func (g *Gateway) scheduleKeyCalls() {
	owner, running := g.localOwner()
	if !running || !g.serviceKeyed() {
		return
	}
	now := g.deps.Now()
	table, _ := g.ranges.get(g.self.Service)
	spans := keyhold.Merge(g.ranges.grantable(owner, g.self.Service))
	outgoing := slices.DeleteFunc(table.Outgoing(g.self.Instance), func(r keyrange.Range) bool { return r.Owner != owner })
	if len(spans) > 0 && g.ranges.callHold(now) == 0 {
		g.events.Emit(eventlog.GrantWithheld, eventlog.Name("server", owner.Server))
		spans = nil
	}
	plan := g.server.planKeyCalls(owner, spans, outgoing, now)
	for id, span := range plan.grants {
		g.submitKeyCall(id, func() { g.grantByCall(id, g.keyCall(owner, span)) })
	}
	for id, span := range plan.releases {
		g.submitKeyCall(id, func() { g.releaseByCall(id, g.keyCall(owner, span)) })
	}
	if plan.next > 0 {
		g.grantTrigger.FireAfter(plan.next.Sub(now))
	}
}

// keyCallPlan is the set of calls to make now, and when the next ones are due; zero if that depends on these calls.
type keyCallPlan struct {
	grants, releases map[keyhold.CallID]keyhold.Span
	next             keyrange.Instant
}

// planKeyCalls begins the calls that are due, as far as workers are free. It makes keys unusable that are not granted any
// more.
func (t *serverTracker) planKeyCalls(owner keyrange.Owner, spans []keyhold.Span, outgoing []keyrange.Range, now keyrange.Instant) keyCallPlan {
	t.mu.Lock()
	defer t.mu.Unlock()
	plan := keyCallPlan{grants: map[keyhold.CallID]keyhold.Span{}, releases: map[keyhold.CallID]keyhold.Span{}}
	if owner.Server != t.lastHeartbeat.Server || owner.StartedUnixMS != t.lastHeartbeat.StartedUnixMS {
		return plan
	}
	t.holds.Retain(spans)
	due, next := t.holds.DueGrants(spans, now)
	plan.next = next
	grants, releases := t.holds.InProgress()
	for _, s := range due[:min(len(due), maxGrantCalls-grants)] {
		plan.grants[t.holds.Begin(s)] = s
		// reconcileRanges drops a table that was computed before this grant.
		t.version++
	}
	dueReleases := t.holds.DueReleases(outgoing, now)
	for _, s := range dueReleases[:min(len(dueReleases), maxReleaseCalls-releases)] {
		plan.releases[t.holds.BeginRelease(s)] = s
	}
	return plan
}

// submitKeyCall runs a call that has begun.
func (g *Gateway) submitKeyCall(id keyhold.CallID, call func()) {
	if g.grantPool.Submit(func() { call(); g.grantTrigger.Fire() }) != nil {
		g.server.endUnsent(id, g.deps.Now())
	}
}

// keyCall returns the call for a span to an incarnation of the backend server.
func (g *Gateway) keyCall(owner keyrange.Owner, span keyhold.Span) keyhold.Call {
	return keyhold.Call{Address: g.self.BackendAddress, Server: owner.Server, Incarnation: owner.StartedUnixMS, Span: span,
		MayConnect: func() bool { return g.server.mayConnect(owner, g.deps.Now()) }}
}

// grantByCall sends a grant that has begun and records how it ended.
func (g *Gateway) grantByCall(id keyhold.CallID, c keyhold.Call) {
	owner := keyrange.Owner{Instance: g.self.Instance, Server: c.Server, StartedUnixMS: c.Incarnation}
	var sentAt keyrange.Instant
	var hold time.Duration
	c.Hold = func() time.Duration {
		// A write that began meanwhile may take the keys away.
		granted := slices.ContainsFunc(keyhold.Merge(g.ranges.grantable(owner, g.self.Service)), func(s keyhold.Span) bool {
			return s.Fence == c.Span.Fence && s.From <= c.Span.From && c.Span.To <= s.To
		})
		if !granted {
			return 0
		}
		sentAt = g.deps.Now()
		hold = g.ranges.callHold(sentAt)
		return hold
	}
	ctx, cancel := context.WithTimeout(g.ctx, keyhold.CallTimeout)
	defer cancel()
	reply := g.deps.KeyCalls.Grant(ctx, c)
	g.recordKeyCall(telemetry.GrantKeys, c, reply)
	if g.server.endGrant(id, reply, sentAt, hold, g.deps.Now()) {
		g.server.wakeKeyWaiters()
	}
	if reply.Result == keyhold.Refused {
		// The table that this node has read may be outdated; otherwise the keys get a higher fence.
		g.reconcileTrigger.Fire()
	}
}

// releaseByCall sends a release that has begun and records how it ended.
func (g *Gateway) releaseByCall(id keyhold.CallID, c keyhold.Call) {
	ctx, cancel := context.WithTimeout(g.ctx, keyhold.ReleaseTimeout)
	defer cancel()
	reply := g.deps.KeyCalls.Release(ctx, c)
	g.recordKeyCall(telemetry.ReleaseKeys, c, reply)
	g.server.endRelease(id, reply, g.deps.Now())
	if reply.Result == keyhold.Accepted {
		g.reconcileTrigger.Fire()
	}
}

// recordKeyCall counts a call, and logs it if it was not accepted or released keys.
func (g *Gateway) recordKeyCall(operation telemetry.KeyOperation, c keyhold.Call, r keyhold.Reply) {
	g.deps.Metrics.CountKeyCall(operation, r.Result)
	fields := []eventlog.Field{eventlog.Name("operation", operation.String()), eventlog.Name("server", c.Server), eventlog.Count("from", int(c.Span.From)),
		eventlog.Count("to", int(c.Span.To)), eventlog.Count("fence", int(c.Span.Fence))}
	if r.Result == keyhold.Accepted {
		if operation == telemetry.ReleaseKeys {
			g.events.Emit(eventlog.KeysReleased, fields...)
		}
		return
	}
	fields = append(fields, eventlog.Name("result", r.Result.String()))
	if r.Err != nil {
		fields = append(fields, eventlog.Cause(r.Err))
	}
	g.events.Emit(eventlog.KeyCallFailed, fields...)
}

// endGrant records how a grant ended. It reports whether keys became usable.
func (t *serverTracker) endGrant(id keyhold.CallID, r keyhold.Reply, sentAt keyrange.Instant, hold time.Duration, now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ConnectionEnded {
		t.holds.ConnectionEnded()
	}
	switch r.Result {
	case keyhold.Accepted:
		return t.holds.Accept(id, sentAt, hold, now)
	case keyhold.Refused:
		t.holds.Refuse(id)
	case keyhold.Unanswered:
		t.holds.Fail(id, hold, now)
	default:
		t.holds.NotSent(id, now)
	}
	return false
}

// endRelease records how a release ended.
func (t *serverTracker) endRelease(id keyhold.CallID, r keyhold.Reply, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ConnectionEnded {
		t.holds.ConnectionEnded()
	}
	if r.Result == keyhold.NotSent {
		t.holds.NotSent(id, now)
		return
	}
	t.holds.EndRelease(id, r.Result == keyhold.Accepted, r.HandoverToken)
}

// endUnsent records that a call did not start.
func (t *serverTracker) endUnsent(id keyhold.CallID, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holds.NotSent(id, now)
}

// dropHold records that the backend server has refused a key. It reports whether it should have held it.
func (t *serverTracker) dropHold(key uint16, now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds.Drop(key, now)
}

// mayConnect reports whether a new connection reaches an incarnation.
func (t *serverTracker) mayConnect(owner keyrange.Owner, now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return owner.Server == t.lastHeartbeat.Server && owner.StartedUnixMS == t.lastHeartbeat.StartedUnixMS && t.holds.MayConnect(now)
}

// assumeEarlierGrants records that an earlier process of the node may have granted keys until now, for hold at most.
func (t *serverTracker) assumeEarlierGrants(now keyrange.Instant, hold time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holds.AssumeEarlierGrants(now, hold)
}

// grantedNothing reports whether no grant can be in force, also none of an earlier process of the node.
func (t *serverTracker) grantedNothing(now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds.HoldsNothing(now)
}

// refusedSpans returns the spans that the backend server has refused.
func (t *serverTracker) refusedSpans() []keyhold.Span {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds.RefusedSpans()
}

// hasTaken reports whether the backend server holds all keys of a range under its fence, so that the handover token is
// no longer needed.
func (g *Gateway) hasTaken(r keyrange.Range) bool {
	if !g.grantsByCalls() {
		return g.server.reportsHolding(r)
	}
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	return g.server.holds.UsableFence(keyhold.Span{From: r.From, To: r.To, Fence: r.Fence}, g.deps.Now())
}

// grantState returns the state of the grants by calls for operators.
func (t *serverTracker) grantState(now keyrange.Instant) *operator.GatewayGrants {
	t.mu.Lock()
	defer t.mu.Unlock()
	spans, until := t.holds.Usables(now)
	s := t.holds.Stats()
	return &operator.GatewayGrants{Spans: len(spans), HoldLeftMS: max(0, until.Sub(now)).Milliseconds(), MinHoldLeftMS: s.MinHoldLeft.Milliseconds(),
		Granted: s.Grants, Released: s.Releases, Refused: s.Refused, Unanswered: s.Unanswered, NotSent: s.NotSent}
}
