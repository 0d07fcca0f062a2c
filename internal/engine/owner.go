package engine

import (
	"context"
	"slices"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/outcome"
	"heatherreel/internal/request"
	"heatherreel/internal/routing"
	"heatherreel/internal/telemetry"

	"github.com/google/uuid"
)

// leaseMargin is the minimum remaining lease time when a request is sent. It covers the time between the check and the
// first byte on the connection to the backend server, which runs on the same instance.
const leaseMargin = 5 * time.Millisecond

// Forward implements node.Service: it executes a request that another node forwarded.
func (e *Engine) Forward(ctx context.Context, f node.ForwardedRequest) request.Answer {
	started := time.Now()
	e.ledger.observePeerOffset(f.LedgerOffset)
	ctx, span := e.deps.Tracing.StartHop(ctx, f.Request.Traceparent, telemetry.HopOwner)
	defer span.End()
	c := newCall(ctx, f.Request)
	c.forwarded, c.senderHomesEpoch = true, f.HomesEpoch
	if e.ownerPool.Submit(func() { e.execute(c, c.finish) }) != nil {
		c.finish(e.queueFull(e.ownerPool.Name()))
	}
	answer := c.await(e.requestsEnded, f.Progress)
	answer.LedgerOffset = uint64(e.ledger.offset())
	span.Result(answer.Outcome, answer.Reason)
	e.deps.Metrics.RecordRequest(telemetry.Owner, f.Request.Service, answer.Outcome, answer.Reason, time.Since(started))
	return answer
}

// execute runs a request if this node owns its key, and passes the answer to done.
func (e *Engine) execute(c *call, done func(request.Answer)) {
	now := time.Now()
	if c.expired(now) {
		done(request.Refuse(request.DeadlineTooClose, "allow more time"))
		return
	}
	s, configured := e.resolveRoute(c, now)
	if !configured {
		done(request.Refuse(request.NotConfigured, "publish a configuration, or ask another node"))
		return
	}
	if d := routing.Decide(&s); d.Action != routing.Local {
		done(notOwnerAnswer(d))
		return
	}
	if !e.beginHandover(c) {
		done(request.Refuse(request.Moving, "repeat the request with the same id after a short delay"))
		return
	}
	if !e.serving.beginRequest(c.target.slice, c.target.fence) {
		e.finishHandover(c)
		done(request.Refuse(request.Moving, "repeat the request with the same id after a short delay"))
		return
	}
	e.runOnce(c, func(answer request.Answer) {
		if e.serving.finishRequest(c.target.slice) {
			e.releaseTrigger.Fire()
		}
		e.finishHandover(c)
		done(answer)
	})
}

// notOwnerAnswer returns the refusal of a request whose key this node does not own. A decision to forward is refused as
// well; it is possible if ownership has changed since this node routed the request to its own owner pool.
func notOwnerAnswer(d routing.Decision) request.Answer {
	if d.Action == routing.Refuse {
		return request.Refuse(d.Reason, d.Remedy)
	}
	return request.Refuse(request.NotOwner, "repeat the request with the same id after a short delay")
}

// runOnce runs the request unless the same request id was seen before.
func (e *Engine) runOnce(c *call, done func(request.Answer)) {
	if c.req.Idempotent {
		e.enqueue(c, done)
		return
	}
	id, err := uuid.Parse(c.req.ID)
	if err != nil {
		done(request.Refuse(request.Malformed, "send a UUIDv7 as request id"))
		return
	}
	if !c.sends.beginSend() {
		// Another request with this id may be running, so that the decision must precede the admission.
		done(stoppedAnswer())
		return
	}
	c.ref = outcome.Ref{Slice: c.target.slice, Tenant: c.req.Tenant, ID: id}
	decision := e.outcomes.admit(time.Now(), c.ref, outcome.NewFingerprint(c.req), c.servedElsewhereUntil, done)
	switch decision.Verdict {
	case outcome.Run:
		e.enqueue(c, func(answer request.Answer) {
			e.outcomes.complete(time.Now(), c.ref, answer)
			done(answer)
		})
	case outcome.Answer:
		done(decision.Answer)
	}
}

// sendToBackend makes the last checks and sends the request to the backend server.
func (e *Engine) sendToBackend(c *call) request.Answer {
	address, ok := e.backend.address()
	if !ok {
		return request.Refuse(request.BackendUnreachable, "repeat the request with the same id after a short delay")
	}
	req := c.req
	ctx, span := e.deps.Tracing.StartHop(c.ctx, req.Traceparent, telemetry.HopBackend)
	defer span.End()
	if traceparent := e.deps.Tracing.Traceparent(ctx); traceparent != "" {
		req.Traceparent = traceparent
	}
	span.Slice(c.target.slice)
	// The lease is checked last, so that as little time as possible passes before the request is sent.
	until, owns := e.leases.ownsAs(c.target.self, time.Now().Add(leaseMargin))
	if !owns {
		return request.Refuse(request.LeaseLapsed, "repeat the request with the same id after a short delay")
	}
	if bound := c.target.settings.InFlightBound; !c.target.settings.ChecksGrants && req.Deadline.After(until.Add(bound)) {
		req.Deadline = until.Add(bound)
	}
	if !c.sends.beginSend() {
		return stoppedAnswer()
	}
	answer := e.deps.Backend.Execute(ctx, address, c.target.slice, c.target.fence, req)
	if answer.Reason == request.BackendRefused {
		e.deps.Events.Emit(eventlog.BackendRefusedFence, eventlog.Slice(c.target.slice), eventlog.Fence(c.target.fence))
		e.grantTrigger.Fire()
	}
	span.Result(answer.Outcome, answer.Reason)
	return answer
}

// importOutcomes stores the outcomes that an earlier owner retained.
func (e *Engine) importOutcomes(result node.ReleaseResult) {
	e.outcomes.importAll(time.Now(), result.Outcomes)
}

// exportOutcomes adds the outcomes that this node retains for the released slices. After a recent change of home
// regions, some keys of a slice may be confined to regions other than the new owner's. Such an owner gets no outcomes
// of the slice; it answers "unknown" to request ids that were issued before the release.
func (e *Engine) exportOutcomes(owner ledger.Incarnation, result *node.ReleaseResult) {
	now := time.Now()
	var export []ledger.SliceFence
	for _, f := range result.Released {
		if e.mayExport(owner, f.Slice.Group) {
			export = append(export, f)
			continue
		}
		result.Outcomes = append(result.Outcomes, outcome.SliceExport{
			Slice: f.Slice, UnknownBefore: now.Add(e.options.RequestIDSkew + outcome.DefaultNodeSkew),
		})
	}
	result.Outcomes = append(result.Outcomes, e.outcomes.export(now, export)...)
}

// mayExport reports whether a new owner may get the outcomes of all keys that were recently in the group.
func (e *Engine) mayExport(owner ledger.Incarnation, group keyspace.Group) bool {
	allowed := true
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		m := s.Members[owner]
		allowed = !e.ledger.homeHistory.anyMayHaveChanged() || m != nil && allAllowRegion(e.ledger.homeHistory.currentHomesOf(c, group), m.Region)
	})
	return allowed
}

// allAllowRegion reports whether all sets of home regions contain the region.
func allAllowRegion(homes []keyspace.Home, region string) bool {
	return !slices.ContainsFunc(homes, func(h keyspace.Home) bool { return !h.Allows(region) })
}

// markOutcomesUnknown marks the request ids that a lost owner of the slices may have run as unknown.
func (e *Engine) markOutcomesUnknown(lost []lostSlice) {
	for _, l := range lost {
		e.outcomes.markUnknown(l.at, l.slice.Slice)
	}
}

// lostSlice is a slice and the time when its last owner was lost.
type lostSlice struct {
	slice ledger.SliceFence
	at    time.Time
}
