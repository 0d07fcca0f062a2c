package engine

import (
	"context"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/handover"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/outcome"
)

// confirmationRetryDelay is the delay before a node that has not confirmed a revision is asked again.
const confirmationRetryDelay = 50 * time.Millisecond

// applyHomeRegions puts the configuration revision in force for requests. Until then, requests that were resolved under
// it are refused as moving.
func (e *Engine) applyHomeRegions() {
	var revision, epoch ledger.Offset
	var others []ledger.Incarnation
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		revision, epoch = e.ledger.decodedRevision, e.ledger.homeHistory.epoch
		if e.ledger.homeHistory.anyMayHaveChanged() {
			others = membersOf(s, "", e.incarnation())
		}
	})
	e.handover.withLock(func(g *handover.Gate) { g.Adopt(revision, epoch, others) })
	e.handoverTrigger.Fire()
}

// beginHandover starts a call under the home regions with which it was resolved, and reports whether it may run. A
// request whose sender knows a later change of home regions does not run under an earlier revision.
func (e *Engine) beginHandover(c *call) bool {
	openedAt, ok := e.handover.beginRequest(c.target, c.senderHomesEpoch)
	if ok && c.target.homesMayHaveChanged {
		c.servedElsewhereUntil = openedAt
	}
	return ok
}

// finishHandover ends a call that beginHandover started.
func (e *Engine) finishHandover(c *call) {
	if e.handover.finishRequest(c.target.epoch) {
		e.handoverTrigger.Fire()
	}
}

// membersOf returns the live members of a service, or of all services if service is empty, without self.
func membersOf(s *ledger.State, service string, self ledger.Incarnation) []ledger.Incarnation {
	var list []ledger.Incarnation
	for i, m := range s.Members {
		if i != self && (service == "" || m.Service == service) {
			list = append(list, i)
		}
	}
	return list
}

// stepHandover asks the other nodes of the service whether they have put the revision in force, and opens the gate when
// all have confirmed. It does nothing before the service is known: a node without a backend server serves nothing.
func (e *Engine) stepHandover() {
	service := e.backend.service()
	if service == "" {
		return
	}
	var live []ledger.Incarnation
	var lossUntil time.Time
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		// Both are read under one lock: otherwise a node could drop out of the live members before its loss counts.
		live, lossUntil = membersOf(s, service, e.incarnation()), e.ledger.losses.latestEnd(c, service)
	})
	step := e.handover.step(live, lossUntil, time.Now())
	for _, i := range step.unconfirmed {
		e.startConfirmationRequest(i)
	}
	if step.opened {
		e.handoverGateOpened()
	}
	e.handoverTrigger.FireAt(step.next)
}

// handoverGateOpened resumes waiting requests, and schedules dropping the earlier home regions for when request ids
// issued under them are no longer answered.
func (e *Engine) handoverGateOpened() {
	epoch := ledger.Offset(0)
	var retention time.Duration
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		epoch = e.ledger.homeHistory.epoch
		for _, service := range c.Services() {
			retention = max(retention, c.Resolve(config.Subject{Service: service}).OutcomeRetention)
		}
	})
	e.controlPool.After(retention+e.options.RequestIDSkew+2*outcome.DefaultNodeSkew, func() { e.ledger.forgetEarlierHomes(epoch) })
	e.waitingJobs.resumeAll()
}

// startConfirmationRequest asks a node for confirmation, unless a request to it is in flight.
func (e *Engine) startConfirmationRequest(i ledger.Incarnation) {
	if !e.confirmationRequests.begin(i) {
		return
	}
	job := func() {
		delay := e.requestConfirmation(i)
		e.confirmationRequests.end(i)
		e.handoverTrigger.FireAfter(delay)
	}
	if e.controlPool.Submit(job) != nil {
		e.confirmationRequests.end(i)
		e.handoverTrigger.FireAfter(confirmationRetryDelay)
	}
}

// requestConfirmation asks a node once and returns the delay before the next check; zero to check at once. A release
// request without slices returns the revision that the node confirms.
func (e *Engine) requestConfirmation(i ledger.Incarnation) time.Duration {
	m := e.ledger.member(i)
	if m == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(e.ctx, releaseTimeout)
	defer cancel()
	result, err := e.deps.Peers.Release(ctx, m.Addresses.Nodes, node.ReleaseRequest{Owner: e.incarnation(), Source: i})
	if err != nil {
		e.deps.Events.Emit(eventlog.ReleaseUnanswered, eventlog.Peer(i), eventlog.Cause(err))
		return confirmationRetryDelay
	}
	e.ledger.observePeerOffset(result.Offset)
	confirmed := false
	e.handover.withLock(func(g *handover.Gate) {
		before := len(g.Unconfirmed())
		g.Confirm(i, result.Offset)
		confirmed = len(g.Unconfirmed()) < before
	})
	if !confirmed {
		return confirmationRetryDelay
	}
	return 0
}
