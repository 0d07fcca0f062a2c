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

// confirmRetry is the pause before a node that has not confirmed a revision is asked again.
const confirmRetry = 50 * time.Millisecond

// adoptHomes puts the revision of the configuration in force for requests. Until then requests that were resolved under
// it are refused as moving.
func (e *Engine) adoptHomes() {
	var revision, epoch ledger.Offset
	var others []ledger.Incarnation
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		revision, epoch = e.ledger.decoded, e.ledger.homes.epoch
		if e.ledger.homes.any() {
			others = membersOf(s, "", e.incarnation())
		}
	})
	e.handover.with(func(g *handover.Gate) { g.Adopt(revision, epoch, others) })
	e.handovers.Fire()
}

// beginHandover starts a call under the home regions with which it was resolved, and reports whether it may run. A
// sender that knows a later change is not served under an earlier one.
func (e *Engine) beginHandover(c *call) bool {
	opened, ok := e.handover.begin(c.place, c.senderEpoch)
	if ok && c.place.changed {
		c.unknownBefore = opened
	}
	return ok
}

// finishHandover ends a call that beginHandover started.
func (e *Engine) finishHandover(c *call) {
	if e.handover.finish(c.place.epoch) {
		e.handovers.Fire()
	}
}

// membersOf returns the living members of a service, or of all services if it is empty, except self.
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
// all have. It does nothing before the service is known: a node without a backend server serves nothing.
func (e *Engine) stepHandover() {
	service := e.backend.service()
	if service == "" {
		return
	}
	var living []ledger.Incarnation
	var lossUntil time.Time
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		// Both are read at once: a node must not be missed among the living before its loss counts.
		living, lossUntil = membersOf(s, service, e.incarnation()), e.ledger.losses.until(c, service)
	})
	step := e.handover.step(living, lossUntil, time.Now())
	for _, i := range step.ask {
		e.askConfirmation(i)
	}
	if step.opened {
		e.homesOpened()
	}
	e.handovers.FireAt(step.next)
}

// homesOpened resumes waiting requests, and forgets the earlier home regions when no request id from before can be
// answered any more.
func (e *Engine) homesOpened() {
	epoch := ledger.Offset(0)
	var retention time.Duration
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		epoch = e.ledger.homes.epoch
		for _, service := range c.Services() {
			retention = max(retention, c.Resolve(config.Subject{Service: service}).OutcomeRetention)
		}
	})
	e.controlPool.After(retention+e.options.RequestIDSkew+2*outcome.DefaultNodeSkew, func() { e.ledger.forgetHomes(epoch) })
	e.waiting.resumeAll()
}

// askConfirmation asks a node for its statement, unless a question to it is open.
func (e *Engine) askConfirmation(i ledger.Incarnation) {
	if !e.confirming.begin(i) {
		return
	}
	job := func() {
		retry := e.confirmationFrom(i)
		e.confirming.end(i)
		e.handovers.FireAfter(retry)
	}
	if e.controlPool.Submit(job) != nil {
		e.confirming.end(i)
		e.handovers.FireAfter(confirmRetry)
	}
}

// confirmationFrom asks a node once and returns when to look again. A release of no slices states the revision.
func (e *Engine) confirmationFrom(i ledger.Incarnation) time.Duration {
	m := e.ledger.member(i)
	if m == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(e.ctx, releaseTimeout)
	defer cancel()
	result, err := e.deps.Peers.Release(ctx, m.Addresses.Nodes, node.ReleaseRequest{Owner: e.incarnation(), Source: i})
	if err != nil {
		e.deps.Events.Emit(eventlog.ReleaseUnanswered, eventlog.Peer(i), eventlog.Cause(err))
		return confirmRetry
	}
	e.ledger.heardOffset(result.Offset)
	confirmed := false
	e.handover.with(func(g *handover.Gate) {
		before := len(g.Unconfirmed())
		g.Confirmed(i, result.Offset)
		confirmed = len(g.Unconfirmed()) < before
	})
	if !confirmed {
		return confirmRetry
	}
	return 0
}
