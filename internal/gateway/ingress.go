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
	"heatherreel/internal/telemetry"
)

// Times of a request at the ingress node.
const (
	// notConfiguredRetry is when a caller may return to a node that has read no configuration yet.
	notConfiguredRetry = 500 * time.Millisecond
	// ownerPause is the longest pause before a request whose key has no reachable owner is tried again, and ownerPatience
	// the part of its time, in percent, for which it is kept: a key that moves is served again after about a second.
	ownerPause    = 400 * time.Millisecond
	ownerPatience = 60
	// serverPause is the pause before a request that no backend server may serve is tried again, and serverPatience how long
	// it is kept: about the time a process takes to start again.
	serverPause    = 60 * time.Millisecond
	serverPatience = 1500 * time.Millisecond
	// patienceShare is the part of a caller's time for which a request is kept without being offered to anyone.
	patienceShare = 3
	// answerGrace is how long an answer is awaited after the deadline: the node that ran the request, or refused it, knows
	// more than that time has passed.
	answerGrace = 100 * time.Millisecond
	// mostDiversions bounds the backend servers that are passed over because they are slow at the moment. A fifth of them
	// is at any time, so that a third one in a row is rare.
	mostDiversions = 2
	// mostNamed bounds the owners that former owners name for one request: keys move rarely twice within its time.
	mostNamed = 2
	// mostSends bounds the nodes that are asked for one request.
	mostSends = 6
)

// attempt is the state of one request at its ingress node.
type attempt struct {
	request routed.Request
	route   *route.Route
	keyed   bool
	// scarce are the regions whose backend servers other routes of the service are confined to.
	scarce  []string
	started time.Time
	// offered is the number of backend servers that the request reached, and sends the number of nodes that were asked.
	offered, sends int
	// diversions is the number of nodes that refused it because their backend server was slow at the moment.
	diversions int
	tried      []string
	// owner is the owner of the key that its former owner named; empty if none did. named counts such answers.
	owner string
	named int
	// owned is the range of the key when its owner was last asked.
	owned keyrange.Range
	last  routed.Answer
	// mayHaveRun is why a send ended without a known outcome; empty if none did. What is refused later may have run then.
	mayHaveRun request.Reason
	// chosen and chosenAge are the instance last asked and the age of the report that it was chosen by.
	chosen    string
	chosenAge time.Duration
}

// route finds the route of a request and serves it.
func (g *Gateway) route(ctx context.Context, r routed.Request) routed.Answer {
	table, found, service := g.routes.find(r.Host, r.Path)
	switch {
	case table == nil:
		return g.decided(&attempt{request: r, started: time.Now()}, routed.Refuse(request.NotConfigured, notConfiguredRetry))
	case found == nil:
		return g.decided(&attempt{request: r, started: time.Now()}, routed.Refuse(request.NoRoute, 0))
	}
	if limit := table.Limits.MaxBodyBytes; limit > 0 && int64(len(r.Body)) > limit {
		return g.decided(&attempt{request: r, started: time.Now()}, routed.Refuse(request.TooLarge, 0))
	}
	r.Service, r.Route, r.Idempotent, r.Priority = service, found.Name, found.Idempotent, found.Priority
	r.HomeRegions, r.Revision, r.OriginService = found.HomeRegions, table.Revision, g.self.Service
	now := time.Now()
	if found.Timeout > 0 {
		if limit := now.Add(found.Timeout); limit.Before(r.Deadline) {
			r.Deadline = limit
		}
	}
	if found.Objective > 0 {
		r.Objective = now.Add(found.Objective)
	}
	a := &attempt{request: r, route: found, started: now, keyed: table.Services[service].Keyed && r.Keyed}
	if len(r.HomeRegions) == 0 {
		a.scarce = table.Homes(service)
	}
	g.members.first(service, now)
	return g.decided(a, g.serve(ctx, a))
}

// serve asks one node after the other until the request has its answer.
func (g *Gateway) serve(ctx context.Context, a *attempt) routed.Answer {
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline.Add(answerGrace))
	defer cancel()
	a.last = routed.Refuse(request.NoServer, overloadRetry)
	for {
		instance, ok := g.choose(a, time.Now())
		if ok {
			a.last = g.send(ctx, a, instance)
		}
		if a.last.Outcome == request.Unknown {
			a.mayHaveRun = a.last.Reason
		}
		if a.last.Outcome == request.Done || !g.again(ctx, a, ok) {
			return a.final()
		}
	}
}

// final returns the answer for the caller. A refusal does not say that the request has not run if an earlier send of it may
// have.
func (a *attempt) final() routed.Answer {
	if a.last.Outcome != request.NotRun || a.mayHaveRun == "" {
		return a.last
	}
	answer := routed.Uncertain(a.mayHaveRun)
	answer.Instance = a.last.Instance
	return answer
}

// choose returns the instance to ask next.
func (g *Gateway) choose(a *attempt, now time.Time) (string, bool) {
	if a.keyed {
		table, _ := g.ranges.get(a.request.Service)
		r, ok := table.Find(a.request.Key)
		a.owned = r
		if !ok || r.Owner.Instance == "" {
			return "", false
		}
		if a.owner != "" {
			r.Owner.Instance, a.owner = a.owner, ""
		}
		a.chosen, a.chosenAge = r.Owner.Instance, 0
		if wait := g.members.unreachableFor(r.Owner.Instance, now); wait > 0 {
			a.last = routed.Refuse(request.OwnerUnreachable, max(wait, overloadRetry))
			return "", false
		}
		return r.Owner.Instance, true
	}
	found := g.members.candidates(candidateQuery{service: a.request.Service, homes: a.request.HomeRegions,
		scarce: a.scarce, evacuated: g.routes.evacuations(), tried: a.tried,
		bytes: len(a.request.Body) + g.routes.answerSize(a.route.Name)}, now)
	i := choice.Choose(found, draw)
	if i < 0 {
		return "", false
	}
	a.chosen, a.chosenAge = found[i].Instance, found[i].Age
	return found[i].Instance, true
}

// send asks one node for the request.
func (g *Gateway) send(ctx context.Context, a *attempt, instance string) routed.Answer {
	a.sends++
	a.tried = append(a.tried, instance)
	g.members.sent(instance)
	a.request.MayDivert = !a.keyed && a.diversions < mostDiversions && g.members.sameRegion(instance)
	if instance == g.self.Instance {
		answer := g.execute(ctx, a.request, node.DispatchProgress{})
		g.members.answered(instance, answer.Load, true, time.Now())
		a.note(answer)
		return answer
	}
	member, known := g.members.get(instance)
	if !known || !allows(a.request.HomeRegions, member.Region) {
		g.members.answered(instance, routed.Load{}, true, time.Now())
		return routed.Refuse(request.NoServer, overloadRetry)
	}
	g.deps.Metrics.Forwarded(a.request.Service)
	hop, span := g.deps.Tracing.StartHop(ctx, "", telemetry.HopForward)
	a.request.Traceparent = g.deps.Tracing.Traceparent(hop)
	answer, err := g.deps.Peers.Dispatch(hop, member.Address, a.request)
	span.Result(answer.Outcome, answer.Reason)
	span.End()
	if err != nil {
		answer = g.failed(ctx, a, instance, err)
	} else {
		g.members.answered(instance, answer.Load, true, time.Now())
		g.heard(answer.Revision)
		if answer.Reason == request.NotOwner {
			g.askAgain(registry.Ranges)
		}
	}
	a.note(answer)
	return answer
}

// note counts a send that reached a backend server.
func (a *attempt) note(answer routed.Answer) {
	if answer.Offered {
		a.offered++
	}
}

// failed returns the answer for a call to a node that failed.
func (g *Gateway) failed(ctx context.Context, a *attempt, instance string, err error) routed.Answer {
	// A deadline or a caller that left says nothing of the node.
	g.members.answered(instance, routed.Load{}, ctx.Err() != nil, time.Now())
	if errors.Is(ctx.Err(), context.Canceled) {
		// The caller has gone; nobody reads the answer.
		return routed.Uncertain(request.ConnectionLost)
	}
	g.events.Emit(eventlog.NodeCallFailed, eventlog.RequestID(a.request.ID), eventlog.Name("peer_instance", instance), eventlog.Cause(err))
	switch {
	case notSent(err):
		return routed.Refuse(request.OwnerUnreachable, overloadRetry)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return routed.Uncertain(request.DeadlineExceeded)
	default:
		return routed.Uncertain(request.ConnectionLost)
	}
}

// again reports whether the request is tried once more, after a pause if nothing else could be asked at once.
func (g *Gateway) again(ctx context.Context, a *attempt, asked bool) bool {
	now := time.Now()
	if ctx.Err() != nil || a.sends >= mostSends && !a.keyed {
		return false
	}
	if !retry.May(now, a.request.Deadline, a.last.Outcome, a.request.Idempotent) || a.offered >= a.route.MaxAttempts {
		return false
	}
	if a.last.Offered {
		// The second send to a backend server draws on the budget of the fleet.
		if !g.members.mayRepeat(a.request.Service, now) {
			return false
		}
		g.deps.Metrics.Retried(a.request.Service)
		return true
	}
	if a.keyed {
		if a.last.Reason == request.NotOwner && a.last.Owner != "" && a.named < mostNamed {
			a.owner = a.last.Owner
			a.named++
			return true
		}
		return g.awaitOwner(ctx, a, now)
	}
	if !asked {
		return g.awaitServer(ctx, a, now)
	}
	if a.last.Reason == request.MachineSlow {
		// Its report counts in the next choice, which may fall on it again if all others are worse.
		a.diversions++
		a.tried = a.tried[:len(a.tried)-1]
	}
	return true
}

// awaitOwner pauses a request whose key has no reachable owner or is moving.
func (g *Gateway) awaitOwner(ctx context.Context, a *attempt, now time.Time) bool {
	switch a.last.Reason {
	case request.OwnerUnreachable:
		if a.mayHaveRun == "" {
			// The caller learns at once when to come back. It could not if the request may have run.
			return false
		}
	case request.QueueFull, request.DeadlineTooClose, request.WrongRegion, request.BackendFull:
		// Nothing is known to change soon; the caller learns at once when to come back.
		return false
	}
	if now.Sub(a.started) > a.request.Deadline.Sub(a.started)*ownerPatience/100 {
		return false
	}
	defer g.hurry(registry.Ranges)()
	timer := time.NewTimer(ownerPause)
	defer timer.Stop()
	for {
		changed := g.ranges.change()
		table, _ := g.ranges.get(a.request.Service)
		if r, ok := table.Find(a.request.Key); ok && (r.Owner != a.owned.Owner || r.Fence != a.owned.Fence) {
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

// awaitServer pauses a request that no node could be asked for, when nothing was full.
func (g *Gateway) awaitServer(ctx context.Context, a *attempt, now time.Time) bool {
	switch a.last.Reason {
	case request.NoServer, request.OwnerUnreachable, request.Draining:
		a.tried = a.tried[:0]
		return a.pause(ctx, now)
	}
	return false
}

// pause waits a little if the request has been kept for less than its patience.
func (a *attempt) pause(ctx context.Context, now time.Time) bool {
	patience := min(serverPatience, a.request.Deadline.Sub(a.started)/patienceShare)
	if now.Sub(a.started) > patience {
		return false
	}
	return pause(ctx, serverPause)
}

// decided logs the answer of a request.
func (g *Gateway) decided(a *attempt, answer routed.Answer) routed.Answer {
	g.deps.Metrics.Request(telemetry.Ingress, a.request.Service, answer.Outcome, answer.Reason, time.Since(a.started))
	event := eventlog.RequestServed
	if answer.Outcome != request.Done {
		event = eventlog.RequestFailed
	}
	name := ""
	if a.route != nil {
		name = a.route.Name
		if answer.Outcome == request.Done {
			g.routes.measure(name, len(answer.Body))
		}
	}
	g.events.Emit(event, eventlog.RequestID(a.request.ID), eventlog.Name("route", name), eventlog.Name("service", a.request.Service),
		eventlog.Count("revision", int(a.request.Revision)), eventlog.Name("chosen", a.chosen), eventlog.Duration("report_age", a.chosenAge),
		eventlog.Count("sends", a.sends), eventlog.Count("offered", a.offered), eventlog.Name("outcome", answer.Outcome.String()),
		eventlog.Name("reason", string(answer.Reason)), eventlog.Duration("took", time.Since(a.started)))
	return answer
}
