package gateway

import (
	"context"
	"errors"
	"time"

	"heatherreel/internal/choice"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/retry"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
	"heatherreel/internal/stream"
	"heatherreel/internal/telemetry"
)

// Limits of a request at the ingress node.
const (
	// notConfiguredRetryAfter is when a caller may retry at a node that has not read a configuration yet.
	notConfiguredRetryAfter = 500 * time.Millisecond
	// ownerRetryInterval is the longest time between two tries of a request whose key has no reachable owner.
	// ownerWaitPercent is the part of its time, in percent, for which such a request is kept if it has not run: a key
	// that moves is served again after about a second.
	ownerRetryInterval = 400 * time.Millisecond
	ownerWaitPercent   = 60
	// serverRetryInterval is the time between two tries of a request that no backend server can serve. Such a request
	// is kept for at most maxServerWait: about the time that a process takes to restart.
	serverRetryInterval = 60 * time.Millisecond
	maxServerWait       = 1500 * time.Millisecond
	// serverWaitDivisor bounds the wait for a backend server to a fraction of the caller's time: a third.
	serverWaitDivisor = 3
	// answerGrace is how long an answer is awaited after the deadline. The node that ran or refused the request knows
	// the outcome, while a timeout here only knows that the time has passed.
	answerGrace = 100 * time.Millisecond
	// maxDiversions bounds how often one request is diverted from a backend server that is temporarily slow or has no free
	// slot. About a fifth of them is slow at any time, so that a third slow one in a row is rare.
	maxDiversions = 2
	// maxOwnerRedirects bounds the redirects from former owners to new ones for one request: a key rarely moves twice
	// within the time of a request.
	maxOwnerRedirects = 2
	// maxSends bounds the nodes that one request is sent to.
	maxSends = 6
	// maxShedSends bounds the nodes that one request is sent to while their backend servers shed all requests: then most
	// others of the service do so as well.
	maxShedSends = 2
)

// activeRequest is the state of one request at its ingress node.
type activeRequest struct {
	request routed.Request
	route   *route.Route
	keyed   bool
	// scarceRegions are regions whose backend servers are the only ones for other routes of the service; other regions
	// are preferred to them.
	scarceRegions []string
	started       time.Time
	// serverAttempts is the number of sends that reached a backend server, and sends the number of nodes that were
	// asked.
	serverAttempts, sends int
	// diversions is the number of nodes that refused the request because their backend server was temporarily slow.
	diversions int
	// tried are the instances that were asked and are not chosen again.
	tried []string
	// redirectOwner is the instance that a former owner of the key named as the new owner; empty if none did. redirects
	// counts these answers.
	redirectOwner string
	redirects     int
	// keyRange is the range of the key, as it was when its owner was last asked.
	keyRange   keyrange.Range
	lastAnswer routed.Answer
	// unknownReason is why an earlier send ended with an unknown outcome; empty if none did. The request may have run
	// then, even if a later send is refused.
	unknownReason request.Reason
	// awaited is the instance from which an earlier send still awaits its answer; empty if none does.
	awaited string
	// chosen is the instance that was asked last, and chosenReportAge the age of the load report that it was chosen by.
	chosen          string
	chosenReportAge time.Duration
	// hasAlternative is set if another instance could have been chosen instead.
	hasAlternative bool
}

// route finds the route of a request and serves it.
func (g *Gateway) route(ctx context.Context, r routed.Request) routed.Answer {
	proofAsOf := g.proof.asOf(g.deps.Now())
	table, matched, service := g.routes.find(r.Host, r.Path)
	if reason, retryAfter := g.unroutedReason(r, table, matched); reason != "" {
		return g.finishRequest(&activeRequest{request: r, started: time.Now()}, routed.NotRun(reason, retryAfter))
	}
	r.Service, r.Route, r.Idempotent, r.Priority = service, matched.Name, matched.Idempotent, matched.Priority
	r.HomeRegions, r.Revision, r.OriginService = matched.HomeRegions, table.Revision, g.self.Service
	if refused := g.identify(&r, table.Tenants, matched, proofAsOf); refused != nil {
		return g.finishRequest(&activeRequest{request: r, route: matched, started: time.Now()}, *refused)
	}
	r.Call = g.recognizeCall(matched.Name)
	now := time.Now()
	if matched.Timeout > 0 {
		if limit := now.Add(matched.Timeout); limit.Before(r.Deadline) {
			r.Deadline = limit
		}
	}
	r.Deadline = g.limitToStop(r.Deadline)
	if matched.Objective > 0 {
		r.Objective = now.Add(matched.Objective)
	}
	a := &activeRequest{request: r, route: matched, started: now, keyed: table.Services[service].Keyed && r.Keyed}
	if len(r.HomeRegions) == 0 {
		a.scarceRegions = table.HomeRegions(service)
	}
	returnSlot, full := g.streams.take(r, stream.Ingress)
	defer returnSlot()
	if full != "" {
		return g.finishRequest(a, routed.NotRun(full, stream.RetryAfter))
	}
	credit, refused := g.takeQuota(ctx, r.Tenant, r.Deadline)
	if refused != nil {
		return g.finishRequest(a, *refused)
	}
	g.members.countRequest(service, now)
	answer := g.serve(ctx, a)
	if answer.Outcome == request.NotRun {
		g.quotas.giveBack(&credit, g.deps.Now())
	}
	return g.finishRequest(a, answer)
}

// unroutedReason returns why a request gets no route, and when the caller is to return; empty if it gets the matched one.
func (g *Gateway) unroutedReason(r routed.Request, table *route.Table, matched *route.Route) (request.Reason, time.Duration) {
	switch {
	case g.requestsEnded.isSet():
		return request.Stopping, overloadRetryAfter
	case table == nil:
		return request.NotConfigured, notConfiguredRetryAfter
	case matched == nil:
		return request.NoRoute, 0
	case r.BodyUnread:
		// The configuration in force has changed since the route was looked for.
		return request.NotConfigured, notConfiguredRetryAfter
	}
	if limit := table.Limits.MaxBodyBytes; limit > 0 && (int64(len(r.Body)) > limit || r.Stream != nil && r.Stream.Length > limit) {
		return request.TooLarge, 0
	}
	return "", 0
}

// serve sends the request to one node after the other until it has its answer.
func (g *Gateway) serve(ctx context.Context, a *activeRequest) routed.Answer {
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline.Add(answerGrace))
	defer cancel()
	a.lastAnswer = routed.NotRun(request.NoServer, overloadRetryAfter)
	for {
		if a.unknownReason == "" && !g.reserveAnswer(a.request) {
			return routed.NotRun(request.QueueFull, overloadRetryAfter)
		}
		instance, ok := g.chooseInstance(a, time.Now())
		if ok {
			a.lastAnswer = g.send(ctx, a, instance)
		}
		if a.lastAnswer.Outcome == request.Unknown {
			a.unknownReason = a.lastAnswer.Reason
		}
		if a.lastAnswer.Outcome == request.Done || !g.prepareRetry(ctx, a, ok) {
			return a.finalAnswer()
		}
	}
}

// reserveAnswer reserves the memory for the answer of a request at its ingress node. It returns false if there is none, so
// that the request must not be sent.
func (g *Gateway) reserveAnswer(r routed.Request) bool {
	return r.ReserveAnswer == nil || r.ReserveAnswer(int64(g.routes.expectedAnswerSize(r.Route)))
}

// finalAnswer returns the answer for the caller. A refusal is turned into an unknown outcome if an earlier send of the
// request may have run.
func (a *activeRequest) finalAnswer() routed.Answer {
	if a.lastAnswer.Outcome != request.NotRun || a.unknownReason == "" {
		return a.lastAnswer
	}
	answer := routed.OutcomeUnknown(a.unknownReason)
	answer.Instance = a.lastAnswer.Instance
	return answer
}

// chooseInstance returns the instance to send the request to next; false if there is none.
func (g *Gateway) chooseInstance(a *activeRequest, now time.Time) (string, bool) {
	if a.keyed {
		table, _ := g.ranges.get(a.request.Service)
		r, ok := table.Find(a.request.Key)
		a.keyRange = r
		if !ok || r.Owner.Instance == "" {
			return "", false
		}
		if a.redirectOwner != "" {
			r.Owner.Instance, a.redirectOwner = a.redirectOwner, ""
		}
		a.chosen, a.chosenReportAge = r.Owner.Instance, 0
		if wait := g.members.unreachableFor(r.Owner.Instance, now); wait > 0 {
			a.lastAnswer = routed.NotRun(request.OwnerUnreachable, max(wait, overloadRetryAfter))
			return "", false
		}
		if wait := g.members.nextProcessWait(r.Owner.Instance, now); wait > 0 {
			// A request that meets the end of the owner's process has an unknown outcome.
			a.lastAnswer = routed.NotRun(request.Stopping, wait)
			return "", false
		}
		return r.Owner.Instance, true
	}
	eligible := g.members.candidates(candidateQuery{service: a.request.Service, homeRegions: a.request.HomeRegions,
		scarceRegions: a.scarceRegions, evacuated: g.routes.evacuatedDataCentres(), tried: a.tried,
		transferBytes: a.request.TransferBytes() + g.routes.expectedAnswerSize(a.route.Name)}, now)
	i := choice.Choose(eligible, randomIndex)
	if i < 0 {
		return "", false
	}
	a.chosen, a.chosenReportAge, a.hasAlternative = eligible[i].Instance, eligible[i].Age, len(eligible) > 1
	return eligible[i].Instance, true
}

// send sends the request to one instance.
func (g *Gateway) send(ctx context.Context, a *activeRequest, instance string) routed.Answer {
	a.sends++
	a.tried = append(a.tried, instance)
	g.members.requestSent(instance)
	a.request.MayDivert = !a.keyed && a.hasAlternative && a.diversions < maxDiversions && a.sends < maxSends && g.members.isSameRegion(instance)
	a.request.Repetition = a.repetition()
	member, known := g.members.get(instance)
	if instance == g.self.Instance {
		answer := g.execute(ctx, a.request, node.DispatchProgress{})
		g.recordAnswer(instance, member, answer)
		if answer.Reason == request.Canceled {
			answer.Reason = cancelReason(ctx)
		}
		a.countServerAttempt(answer)
		return answer
	}
	if !known || !regionAllowed(a.request.HomeRegions, member.Region) {
		g.members.requestAnswered(instance, routed.Load{}, true, time.Now())
		return routed.NotRun(request.NoServer, overloadRetryAfter)
	}
	g.deps.Metrics.CountForwarded(a.request.Service)
	hopCtx, span := g.deps.Tracing.StartHop(ctx, "", telemetry.HopForward)
	a.request.Traceparent = g.deps.Tracing.Traceparent(hopCtx)
	answer := g.dispatch(hopCtx, a, member)
	span.Result(answer.Outcome, answer.Reason)
	span.End()
	return answer
}

// call sends the request to another node and returns its answer.
func (g *Gateway) call(ctx context.Context, a *activeRequest, member registry.Member, onSilent func(node.PeerState)) routed.Answer {
	answer, err := g.deps.Peers.Dispatch(ctx, member.Address, a.request, onSilent)
	if err != nil {
		return g.callFailure(ctx, a, member.Instance, err)
	}
	g.recordAnswer(member.Instance, member, answer)
	g.noteRevision(answer.Revision)
	if answer.Reason == request.NotOwner {
		g.noteNotOwner(answer)
	}
	return answer
}

// recordAnswer records what an answer says about its instance. member is the record of the instance when it was asked.
func (g *Gateway) recordAnswer(instance string, member registry.Member, answer routed.Answer) {
	g.members.requestAnswered(instance, answer.Load, true, time.Now())
	switch answer.Reason {
	case request.Stopping:
		g.members.recordStop(member, time.Now())
	case request.ServerShedding:
		g.members.recordShedding(instance, answer.RetryAfter, time.Now())
	}
}

// repetition returns where the request is sent again if the outcome of the send that begins is unknown. Such a send
// counts as an attempt. At most two sends are awaited at the same time.
func (a *activeRequest) repetition() routed.Repetition {
	switch {
	case a.request.Stream != nil:
		return routed.NotRepeated
	case !a.request.Idempotent || a.serverAttempts+1 >= a.route.MaxAttempts || a.awaited != "":
		return routed.NotRepeated
	case a.keyed:
		return routed.RepeatedAtOwner
	case a.sends >= maxSends:
		return routed.NotRepeated
	}
	return routed.RepeatedElsewhere
}

// countServerAttempt counts a send if it reached a backend server.
func (a *activeRequest) countServerAttempt(answer routed.Answer) {
	if answer.ReachedServer {
		a.serverAttempts++
	}
}

// callFailure returns the answer for a call to a node that failed.
func (g *Gateway) callFailure(ctx context.Context, a *activeRequest, instance string, err error) routed.Answer {
	if errors.Is(context.Cause(ctx), errAnsweredBySecond) {
		g.members.requestAbandoned(instance)
		return routed.OutcomeUnknown(request.Canceled)
	}
	if answer, failed := streamFailure(a.request, isNotSent(err)); failed {
		g.members.requestAnswered(instance, routed.Load{}, true, time.Now())
		return answer
	}
	peer := node.PeerStateOf(err)
	// A call that ended by its deadline or because the caller disconnected does not count as a failure of the node,
	// unless the node was found not to answer.
	reached := peer == node.PeerAnswers || ctx.Err() != nil && peer != node.PeerSilent
	g.members.requestAnswered(instance, routed.Load{}, reached, time.Now())
	if errors.Is(ctx.Err(), context.Canceled) {
		return routed.OutcomeUnknown(cancelReason(ctx))
	}
	g.events.Emit(eventlog.NodeCallFailed, eventlog.RequestID(a.request.ID), eventlog.Name("peer_instance", instance),
		eventlog.Name("peer_state", string(peer)), eventlog.Cause(err))
	switch {
	case isNotSent(err):
		return routed.NotRun(request.OwnerUnreachable, overloadRetryAfter)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return routed.OutcomeUnknown(request.DeadlineExceeded)
	default:
		return routed.OutcomeUnknown(request.ConnectionLost)
	}
}

// cancelReason returns the reason of an unknown outcome after ctx was canceled.
func cancelReason(ctx context.Context) request.Reason {
	if errors.Is(context.Cause(ctx), errRequestsEnded) {
		return request.ConnectionLost
	}
	// The caller has disconnected; nobody reads the answer.
	return request.Canceled
}

// prepareRetry reports whether the request is sent once more. It waits first if no other node can be asked at once.
func (g *Gateway) prepareRetry(ctx context.Context, a *activeRequest, asked bool) bool {
	now := time.Now()
	if ctx.Err() != nil || a.sends >= maxSends && !a.keyed {
		return false
	}
	if s := a.request.Stream; s != nil && !stream.MayRepeat(a.lastAnswer.Outcome, s.Begun()) {
		return false
	}
	if !retry.Allowed(now, a.request.Deadline, a.lastAnswer.Outcome, a.request.Idempotent) || a.serverAttempts >= a.route.MaxAttempts {
		return false
	}
	if a.lastAnswer.Reason == request.CallsRefused {
		// The calls go to all nodes of their service, so that they are refused at other nodes of this one as well.
		return false
	}
	if a.unknownReason == "" && a.awaited == "" && retry.WaitedTooLong(now, a.started, a.request.Deadline, a.lastAnswer.Reason) {
		return false
	}
	if a.lastAnswer.Reason == request.ServerShedding && a.sends >= maxShedSends {
		return false
	}
	if a.lastAnswer.ReachedServer {
		// Only a retry after a send that reached a backend server is charged to the retry budget of the service.
		if !g.members.takeRetry(a.request.Service, now) {
			return false
		}
		g.deps.Metrics.CountRetry(a.request.Service)
		return true
	}
	if a.keyed {
		if a.lastAnswer.Reason == request.NotOwner && a.lastAnswer.Owner != "" && a.redirects < maxOwnerRedirects {
			a.redirectOwner = a.lastAnswer.Owner
			a.redirects++
			return true
		}
		return g.awaitOwnerChange(ctx, a, now)
	}
	if !asked {
		return g.awaitServer(ctx, a, now)
	}
	if isDiversion(a.lastAnswer.Reason) {
		// The refusal carried a load report. The next choice takes it into account, and may still pick the same
		// instance if all others are worse.
		a.diversions++
		a.tried = a.tried[:len(a.tried)-1]
	}
	return true
}

// isDiversion reports whether a node refused a request only because another one may serve it sooner.
func isDiversion(reason request.Reason) bool {
	return reason == request.MachineSlow || reason == request.ServerBusy
}

// awaitOwnerChange delays a request whose key has no reachable owner or is moving. It reports whether the request is
// tried again.
func (g *Gateway) awaitOwnerChange(ctx context.Context, a *activeRequest, now time.Time) bool {
	if a.unknownReason == "" && a.awaited == "" && !a.awaitsOwner(now) {
		return false
	}
	defer g.skipBatchDelay(registry.RangesTopic)()
	timer := time.NewTimer(ownerRetryInterval)
	defer timer.Stop()
	for {
		changed := g.ranges.changes()
		table, _ := g.ranges.get(a.request.Service)
		if r, ok := table.Find(a.request.Key); ok && (r.Owner != a.keyRange.Owner || r.Fence != a.keyRange.Fence) {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// awaitsOwner reports whether a request that has not run waits for a change of the owner of its key; otherwise it is
// refused, and the caller learns when to retry. A request that may have run cannot be refused, and tries the owner until
// its deadline.
func (a *activeRequest) awaitsOwner(now time.Time) bool {
	switch a.lastAnswer.Reason {
	case request.OwnerUnreachable, request.QueueFull, request.DeadlineTooClose, request.WrongRegion, request.BackendFull, request.ServerShedding,
		request.LargeBodiesFull:
		// No change is expected soon.
		return false
	}
	return now.Sub(a.started) <= a.request.Deadline.Sub(a.started)*ownerWaitPercent/100
}

// awaitServer delays a request that no further node can be asked for, if the last one had no ready backend server, was
// draining or could not be reached. Other refusals, such as a full queue, are final. It reports whether the request is
// tried again.
func (g *Gateway) awaitServer(ctx context.Context, a *activeRequest, now time.Time) bool {
	switch a.lastAnswer.Reason {
	case request.NoServer, request.OwnerUnreachable, request.Draining, request.Stopping:
		a.tried = a.tried[:0]
		if a.awaited != "" {
			a.tried = append(a.tried, a.awaited)
		}
		return a.awaitNextTry(ctx, now)
	}
	return false
}

// awaitNextTry waits for serverRetryInterval. It returns false if the request has waited for too long already.
func (a *activeRequest) awaitNextTry(ctx context.Context, now time.Time) bool {
	maxWait := min(maxServerWait, a.request.Deadline.Sub(a.started)/serverWaitDivisor)
	if now.Sub(a.started) > maxWait {
		return false
	}
	return sleep(ctx, serverRetryInterval)
}

// finishRequest logs the result of a request and returns its answer.
func (g *Gateway) finishRequest(a *activeRequest, answer routed.Answer) routed.Answer {
	g.recordCallResult(a.request, answer)
	g.deps.Metrics.RecordRequest(telemetry.Ingress, a.request.Service, answer.Outcome, answer.Reason, time.Since(a.started))
	event := eventlog.RequestServed
	if answer.Outcome != request.Done {
		event = eventlog.RequestFailed
	}
	routeName := ""
	if a.route != nil {
		routeName = a.route.Name
		if answer.Outcome == request.Done {
			g.routes.recordAnswerSize(routeName, len(answer.Body))
		}
	}
	g.events.Emit(event, eventlog.RequestID(a.request.ID), eventlog.Name("route", routeName), eventlog.Name("service", a.request.Service),
		eventlog.Count("revision", int(a.request.Revision)), eventlog.Name("chosen", a.chosen), eventlog.Duration("report_age", a.chosenReportAge),
		eventlog.Count("sends", a.sends), eventlog.Count("offered", a.serverAttempts), eventlog.Name("outcome", answer.Outcome.String()),
		eventlog.Name("reason", string(answer.Reason)), eventlog.Duration("took", time.Since(a.started)))
	return answer
}
