package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/problem"
	"heatherreel/internal/telemetry"
	"heatherreel/internal/worker"
)

// Timing of appends.
const (
	// appendTimeout is when an append that was not answered is taken for lost.
	appendTimeout = 2 * time.Second
	// minAppendRetry and maxAppendRetry bound the jittered pause before the same record is appended again.
	minAppendRetry = 200 * time.Millisecond
	maxAppendRetry = time.Second
	// readBackTime is how long a record that the log took may stay unread before it is appended again.
	readBackTime = 5 * time.Second
)

// purpose names what a proposal is for. At most one proposal of a purpose is open at a time.
type purpose string

// proposal is a record that this node appends until its outcome is read from the log.
//
// Appending the same record again is harmless: it names the state that it builds on, so that at most one copy takes
// effect.
type proposal struct {
	purpose purpose
	record  *ledger.Record
	// outdated reports whether the record can no longer take effect. It is called under the ledger's read lock.
	outdated func(s *ledger.State) bool
	// adopt, if set, takes in the outcome while the purpose is still open, so that no job proposes the same again on what
	// was known before. It is called once, with the arguments of done, and before it.
	adopt func(offset ledger.Offset, rejection ledger.Rejection)
	// done is called once: with what the log decided, or with ledger.StaleBase for an outdated record that was given up.
	done  func(offset ledger.Offset, rejection ledger.Rejection)
	retry *worker.Timer
}

// proposals are the open proposals.
//
// mu guards the maps and the fields of the proposals in them; it has rank lockorder.Calls.
type proposals struct {
	mu        *lockorder.Mutex
	byID      map[string]*proposal
	byPurpose map[purpose]*proposal
}

func newProposals() *proposals {
	return &proposals{
		mu:        lockorder.New(lockorder.Calls),
		byID:      map[string]*proposal{},
		byPurpose: map[purpose]*proposal{},
	}
}

// open registers a proposal; it returns false if one of the same purpose is open.
func (t *proposals) open(p *proposal) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPurpose[p.purpose] != nil {
		return false
	}
	t.byPurpose[p.purpose] = p
	t.byID[p.record.ID] = p
	return true
}

// isOpen reports whether a proposal of the purpose is open.
func (t *proposals) isOpen(name purpose) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byPurpose[name] != nil
}

// take removes the proposal with the record id and returns it, or nil if its outcome is known already. Its purpose
// stays open until release.
func (t *proposals) take(id string) *proposal {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byID[id]
	if p == nil {
		return nil
	}
	delete(t.byID, id)
	if p.retry != nil {
		p.retry.Stop()
	}
	return p
}

// release lets another proposal of the same purpose be opened.
func (t *proposals) release(p *proposal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byPurpose, p.purpose)
}

// settle passes the outcome to the proposal with the record id, unless its outcome is known already.
func (t *proposals) settle(id string, offset ledger.Offset, rejection ledger.Rejection) {
	p := t.take(id)
	if p == nil {
		return
	}
	if p.adopt != nil {
		p.adopt(offset, rejection)
	}
	t.release(p)
	p.done(offset, rejection)
}

// replayed settles the proposal whose record was read from the log.
func (t *proposals) replayed(a applied) { t.settle(a.record.ID, a.offset, a.rejection) }

// newRecordID returns a unique record id.
func newRecordID() string { return uuid.NewString() }

// propose appends the record of p until its outcome is known. It returns false if a proposal of the same purpose is
// open.
func (e *Engine) propose(p *proposal) bool {
	if !e.proposals.open(p) {
		return false
	}
	e.submitAppend(p)
	return true
}

// submitAppend queues one append of the proposal.
func (e *Engine) submitAppend(p *proposal) {
	if err := e.appendPool.Submit(func() { e.appendOnce(p) }); errors.Is(err, worker.ErrQueueFull) {
		e.retryAppend(p, maxAppendRetry)
	}
}

// appendOnce sends the record to the log once and arranges for the next attempt.
func (e *Engine) appendOnce(p *proposal) {
	if !e.proposals.isOpen(p.purpose) || e.giveUp(p) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, appendTimeout)
	defer cancel()
	_, err := e.deps.Log.Append(ctx, p.record)
	switch {
	case err == nil:
		e.retryAppend(p, readBackTime)
		return
	case problem.KindOf(err) == problem.NotSent:
		e.deps.Metrics.Append(telemetry.AppendNotSent)
	default:
		e.deps.Metrics.Append(telemetry.AppendUnanswered)
		e.deps.Events.Emit(eventlog.AppendUnknown, eventlog.RecordKind(p.record.Kind))
	}
	e.retryAppend(p, minAppendRetry+rand.N(maxAppendRetry-minAppendRetry))
}

// giveUp closes a proposal that can no longer take effect. Its copies in the log, if any, are void too.
func (e *Engine) giveUp(p *proposal) bool {
	e.ledger.mu.RLock()
	outdated := p.outdated != nil && p.outdated(e.ledger.state)
	offset := e.ledger.state.Offset
	e.ledger.mu.RUnlock()
	if !outdated {
		return false
	}
	e.proposals.settle(p.record.ID, offset, ledger.StaleBase)
	return true
}

// retryAppend arranges for another append unless the outcome is read before.
func (e *Engine) retryAppend(p *proposal, delay time.Duration) {
	e.proposals.mu.Lock()
	defer e.proposals.mu.Unlock()
	if e.proposals.byID[p.record.ID] == nil {
		return
	}
	p.retry = e.appendPool.After(delay, func() { e.appendOnce(p) })
}

// countOutcome counts what the log decided on a record of this node.
func (e *Engine) countOutcome(kind ledger.Kind, offset ledger.Offset, rejection ledger.Rejection) {
	if rejection == ledger.Accepted {
		e.deps.Metrics.Append(telemetry.AppendAccepted)
		return
	}
	e.deps.Metrics.Append(telemetry.AppendRejected)
	e.deps.Events.Emit(eventlog.RecordRejected, eventlog.RecordKind(kind), eventlog.Offset(offset),
		eventlog.Rejection(rejection))
}
