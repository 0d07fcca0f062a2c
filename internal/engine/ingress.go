package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"heatherreel/internal/caller"
	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/httpwire"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
	"heatherreel/internal/retry"
	"heatherreel/internal/routing"
	"heatherreel/internal/serving"
	"heatherreel/internal/telemetry"
)

// maxWaitForOffset is the maximum time that a call waits for this node to replay a record that a peer has replayed,
// before the call is routed again.
const maxWaitForOffset = 250 * time.Millisecond

// errNotConfigured is returned before the first configuration is in force.
var errNotConfigured = problem.New(problem.Unavailable, "publish a configuration, or ask another node",
	"no configuration is in force on this node")

// Limits implements caller.RequestHandler.
func (e *Engine) Limits(service, tenant string) (caller.Limits, error) {
	var limits caller.Limits
	var err error
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		switch {
		case c == nil:
			err = errNotConfigured
		case !c.HasService(service):
			err = problem.New(problem.UnknownService, "use a service of the configuration, or have it published",
				"the configuration does not name the service")
		case tenant == "" && !c.AllowsTenant(""):
			err = problem.New(problem.Malformed, "send the header "+httpwire.HeaderTenant, "the tenant is missing")
		case !c.AllowsTenant(tenant):
			err = problem.New(problem.UnknownTenant, "use a tenant of the configuration, or have it published",
				"the configuration does not name the tenant")
		default:
			limits = e.limits(c, service, tenant)
		}
	})
	return limits, err
}

// limits resolves the settings that are needed to decode a request. The key is not known yet, so exceptions for key
// prefixes do not apply to these settings.
func (e *Engine) limits(c *config.Configuration, service, tenant string) caller.Limits {
	s := c.Resolve(e.subject(service, tenant, ""))
	return caller.Limits{
		DefaultDeadline:   s.Deadline,
		MaxDeadline:       s.MaxDeadline,
		MaxBody:           s.MaxBody,
		IdempotentMethods: s.IdempotentMethods,
		Class:             s.Class,
	}
}

// subject returns the subject for which settings are resolved on this node.
func (e *Engine) subject(service, tenant, key string) config.Subject {
	return config.Subject{
		Service: service, Tenant: tenant, Key: key,
		DataCentre: e.options.Self.DataCentre, Region: e.options.Self.Region,
	}
}

// Serve implements caller.RequestHandler: it answers a caller's request.
func (e *Engine) Serve(ctx context.Context, r request.Request) request.Answer {
	started := time.Now()
	ctx, span := e.deps.Tracing.StartHop(ctx, r.Traceparent, telemetry.HopIngress)
	defer span.End()
	if traceparent := e.deps.Tracing.Traceparent(ctx); traceparent != "" {
		r.Traceparent = traceparent
	}
	c := newCall(ctx, r)
	if e.ingressPool.Submit(func() { e.firstAttempt(c) }) != nil {
		c.finish(e.queueFull(e.ingressPool.Name()))
	}
	answer := c.await(e.requestsEnded, node.Progress{})
	span.Result(answer.Outcome, answer.Reason)
	e.reportAnswer(answer)
	e.deps.Metrics.RecordRequest(telemetry.Ingress, r.Service, answer.Outcome, answer.Reason, time.Since(started))
	return answer
}

// queueFull returns the refusal of a request that found a worker pool's queue full.
func (e *Engine) queueFull(pool string) request.Answer {
	e.deps.Events.Emit(eventlog.QueueFull, eventlog.Pool(pool))
	return request.Refuse(request.QueueFull, "repeat the request after a pause, or at another node")
}

// reportAnswer emits events for requests that were not executed or whose outcome is unknown.
func (e *Engine) reportAnswer(a request.Answer) {
	switch a.Outcome {
	case request.Unknown:
		e.deps.Events.Emit(eventlog.OutcomeUnknown, eventlog.Reason(a.Reason))
	case request.NotRun:
		if a.Location == "" {
			e.deps.Events.Emit(eventlog.RequestsRefused, eventlog.Reason(a.Reason))
		}
	}
}

// firstAttempt counts the request for the retry budget and routes it.
func (e *Engine) firstAttempt(c *call) {
	e.retryBudgets.recordRequest(c.req.Service)
	e.route(c)
}

// resolveRoute fills the routing snapshot for a request and sets the target of the call. It returns false if no
// configuration is in force.
func (e *Engine) resolveRoute(c *call, now time.Time) (routing.Snapshot, bool) {
	self := e.incarnation()
	s := routing.Snapshot{Self: self, Region: e.options.Self.Region, Forwarded: c.forwarded}
	c.target.self = self
	configured := false
	e.ledger.read(func(state *ledger.State, configuration *config.Configuration) {
		if configuration == nil {
			return
		}
		configured = true
		if !e.regionMatches(configuration) {
			// No named set of home regions contains the empty region. So keys confined to home regions are neither
			// served here nor forwarded from here.
			s.Region = ""
		}
		subject := e.subject(c.req.Service, c.req.Tenant, c.req.Key)
		c.target.settings = configuration.Resolve(subject)
		c.target.epoch = e.ledger.homeHistory.epochFor(self)
		c.target.homesMayHaveChanged = e.ledger.homeHistory.homesMayHaveChanged(c.target.settings.HomeRegions, subject)
		group := keyspace.Group{Service: c.req.Service, Home: c.target.settings.HomeRegions}
		index := routing.Lookup(state, group, keyspace.Hash(c.req.Key), &s)
		s.HomesChanged = c.target.homesMayHaveChanged
		c.target.slice = keyspace.SliceID{Group: group, Index: index}
		c.target.fence = s.Slice.Fence
		if !group.Home.Allows(s.Region) {
			s.HomeCallerAddress = homeCallerAddress(state, group.Home)
		}
	})
	if s.Owner != nil && s.Owner.Incarnation == s.Self {
		_, s.LeaseHeld = e.leases.owns(now)
		s.Serves = s.LeaseHeld && e.serves(c.target)
	}
	return s, configured
}

// serves reports whether this node serves the slice under the fence of the target.
func (e *Engine) serves(requestTarget target) bool {
	ok := false
	e.serving.withLock(func(t *serving.Table) {
		state, fence, known := t.StateOf(requestTarget.slice)
		ok = known && state == serving.Serving && fence == requestTarget.fence
	})
	return ok
}

// homeCallerAddress returns the caller address of a node in a home region; empty if there is none.
func homeCallerAddress(s *ledger.State, home keyspace.Home) string {
	for _, m := range s.Members {
		if home.Allows(m.Region) && !m.Draining {
			return m.Addresses.Callers
		}
	}
	return ""
}

// route decides where the request goes and makes one attempt.
func (e *Engine) route(c *call) {
	now := time.Now()
	if c.expired(now) {
		c.finish(c.lastAnswer)
		return
	}
	s, configured := e.resolveRoute(c, now)
	if !configured {
		c.finish(request.Refuse(request.NotConfigured, "publish a configuration, or ask another node"))
		return
	}
	d := routing.Decide(&s)
	switch d.Action {
	case routing.Local:
		e.executeLocally(c)
	case routing.Forward:
		e.forward(c, d)
	case routing.Redirect:
		answer := request.Refuse(d.Reason, d.Remedy)
		answer.Location = d.Address
		c.finish(answer)
	default:
		e.afterAttempt(c, routing.Attempt{Delivery: routing.Answered, Answer: request.Refuse(d.Reason, d.Remedy)}, false)
	}
}

// executeLocally submits the call to the owner pool of this node.
func (e *Engine) executeLocally(c *call) {
	// The owner's jobs work on a separate call, so that its answer may lead to another attempt of this one.
	local := newCall(c.ctx, c.req)
	local.sends = c.sends
	job := func() {
		e.execute(local, func(answer request.Answer) {
			e.resumeRoute(c, routing.Attempt{Delivery: routing.Answered, Answer: answer})
		})
	}
	if e.ownerPool.Submit(job) != nil {
		c.finish(e.queueFull(e.ownerPool.Name()))
	}
}

// resumeRoute continues a call on the ingress pool after its attempt ended in another pool.
func (e *Engine) resumeRoute(c *call, a routing.Attempt) {
	if a.Answer.Outcome == request.Done || e.ingressPool.Submit(func() { e.afterAttempt(c, a, false) }) != nil {
		c.finish(a.Answer)
	}
}

// forward sends the request to its owner and processes the answer.
func (e *Engine) forward(c *call, d routing.Decision) {
	if !c.sends.beginSend() {
		c.finish(stoppedAnswer())
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	started := &forwarding{owner: d.Owner}
	if c.req.Idempotent {
		started.cancel = cancel
	}
	if !e.forwardLimiter.begin(started) {
		c.finish(request.Refuse(request.QueueFull, "repeat the request after a pause; its owner answers slowly"))
		return
	}
	if e.ledger.member(d.Owner) == nil {
		// Its end was read after the request was routed, and has not canceled this forward.
		e.forwardLimiter.end(started)
		e.afterAttempt(c, routing.Attempt{Delivery: routing.NotSent}, false)
		return
	}
	ctx, span := e.deps.Tracing.StartHop(ctx, "", telemetry.HopForward)
	req := c.req
	if traceparent := e.deps.Tracing.Traceparent(ctx); traceparent != "" {
		req.Traceparent = traceparent
	}
	e.deps.Metrics.CountForwarded(req.Service)
	answer, err := e.deps.Peers.Forward(ctx, d.Address, node.ForwardedRequest{
		Request: req, LedgerOffset: e.ledger.offset(), HomesEpoch: e.ledger.homesEpoch(),
	})
	e.forwardLimiter.end(started)
	attempt := deliveryOf(answer, err)
	span.Result(answer.Outcome, answer.Reason)
	span.End()
	if err != nil {
		e.deps.Events.Emit(eventlog.PeerConnectionFailed, eventlog.Peer(d.Owner), eventlog.Cause(err))
	}
	e.ledger.observePeerOffset(ledger.Offset(answer.LedgerOffset))
	e.afterAttempt(c, attempt, true)
}

// deliveryOf classifies the result of a call to another node.
func deliveryOf(answer request.Answer, err error) routing.Attempt {
	switch {
	case err == nil:
		return routing.Attempt{Delivery: routing.Answered, Answer: answer}
	case errors.Is(err, problem.NotSent):
		return routing.Attempt{Delivery: routing.NotSent}
	default:
		return routing.Attempt{Delivery: routing.Lost}
	}
}

// afterAttempt decides what follows an attempt: an answer to the caller or a retry. sent is true if the attempt may
// have put load on the owner; a retry then needs the retry budget.
func (e *Engine) afterAttempt(c *call, a routing.Attempt, sent bool) {
	a.Idempotent = c.req.Idempotent
	a.EarlierMayHaveRun = c.mayHaveRun
	a.Offset = e.ledger.offset()
	next := routing.AfterAttempt(a)
	c.mayHaveRun, c.lastAnswer = next.MayHaveRun, next.Answer
	now := time.Now()
	if next.Step == routing.Return || !retry.Allowed(now, c.req.Deadline, outcomeForRetry(next), c.req.Idempotent) {
		c.finish(next.Answer)
		return
	}
	delay, ok := backoffFor(c).Delay(c.attempt, now, c.req.Deadline, e.random())
	if !ok || needsRetryBudget(a, sent) && !e.retryBudgets.tryRetry(c.req.Service, now) {
		c.finish(next.Answer)
		return
	}
	c.attempt++
	e.deps.Metrics.CountRetry(c.req.Service)
	again := func() { e.route(c) }
	if next.Step == routing.WaitForOffset {
		e.waitingJobs.add(next.Offset, min(maxWaitForOffset, c.req.Deadline.Sub(now)), again)
		return
	}
	e.waitingJobs.add(a.Offset+1, delay, again)
}

// minRetryTimeForWrite is the time that must remain for another attempt of a non-idempotent request: twice the delay
// between regions (8 ms) and the execution. An attempt that is cut off by the deadline would turn the answer "not run"
// into "unknown".
const minRetryTimeForWrite = 30 * time.Millisecond

// backoffFor returns the retry back-off of a call.
func backoffFor(c *call) retry.Backoff {
	b := retry.DefaultBackoff
	if !c.req.Idempotent {
		b.MinRemaining = minRetryTimeForWrite
	}
	return b
}

// outcomeForRetry returns the outcome that decides whether a request may be retried. It covers all attempts so far: a
// refusal counts as unknown if an earlier attempt may have run.
func outcomeForRetry(n routing.Next) request.Outcome { return n.Answer.Outcome }

// needsRetryBudget reports whether a retry after the attempt needs the retry budget. A request that was not sent, or
// was refused because ownership changed, puts no load on a backend server.
func needsRetryBudget(a routing.Attempt, sent bool) bool {
	if !sent || a.Delivery == routing.NotSent {
		return false
	}
	return a.Delivery == routing.Lost || a.Answer.Outcome != request.NotRun || a.Answer.Reason == request.BackendUnreachable
}

// random returns a random number generator for one decision.
func (e *Engine) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
