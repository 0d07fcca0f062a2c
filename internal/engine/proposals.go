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
	// appendTimeout bounds one append. Its client ends it earlier if the log is silent. A record that is sent slowly is not
	// sent again meanwhile: each copy would load the same link, and all nodes read it.
	appendTimeout = 15 * time.Second
	// minAppendRetry and maxAppendRetry bound the jittered delay before the same record is appended again.
	minAppendRetry = 200 * time.Millisecond
	maxAppendRetry = time.Second
	// readBackInterval is how often a node checks whether it has read the log up to a record that was stored. Then the
	// outcome is known, unless a checkpoint or snapshot replaced the state; the record is appended again in that case.
	readBackInterval = 5 * time.Second
)

// purpose identifies what a proposal is for. At most one proposal per purpose is open at a time.
type purpose string

// proposal is a record that this node appends repeatedly until its outcome is read from the log.
//
// Appending the same record again is harmless: it names the state on which it is based, so that at most one copy takes
// effect.
type proposal struct {
	purpose purpose
	record  *ledger.Record
	// outdated reports whether the record can no longer take effect. It is called under the ledger's read lock.
	outdated func(s *ledger.State) bool
	// applyOutcome, if set, is called once before done, with the same arguments, while the purpose is still open. This
	// prevents jobs from proposing the same again on the basis of an earlier state.
	applyOutcome func(offset ledger.Offset, rejection ledger.Rejection)
	// done is called once: with the log's decision, or with ledger.StaleBase for an outdated record that was given up.
	done  func(offset ledger.Offset, rejection ledger.Rejection)
	retry *worker.Timer
	// storedAt is the offset at which the log stored the record; zero if that is not known.
	storedAt ledger.Offset
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
func (t *proposals) isOpen(p purpose) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byPurpose[p] != nil
}

// remove removes the proposal with the record id and returns it, or nil if its outcome is already known. Its purpose
// stays open until closePurpose.
func (t *proposals) remove(id string) *proposal {
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

// closePurpose allows another proposal of the same purpose to be opened.
func (t *proposals) closePurpose(p *proposal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byPurpose, p.purpose)
}

// setStored records the offset at which the log stored the record of a proposal.
func (t *proposals) setStored(p *proposal, at ledger.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.storedAt = at
}

// stored returns the offset at which the log stored the record of a proposal; zero if that is not known.
func (t *proposals) stored(p *proposal) ledger.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return p.storedAt
}

// complete passes the outcome to the proposal with the record id, unless its outcome is already known.
func (t *proposals) complete(id string, offset ledger.Offset, rejection ledger.Rejection) {
	p := t.remove(id)
	if p == nil {
		return
	}
	if p.applyOutcome != nil {
		p.applyOutcome(offset, rejection)
	}
	t.closePurpose(p)
	p.done(offset, rejection)
}

// completeReplayed completes the proposal whose record was read from the log.
func (t *proposals) completeReplayed(replayed replayedRecord) {
	t.complete(replayed.record.ID, replayed.offset, replayed.rejection)
}

func newRecordID() string { return uuid.NewString() }

// propose appends the record of p repeatedly until its outcome is known. It returns false if a proposal of the same
// purpose is open.
func (e *Engine) propose(p *proposal) bool {
	if !e.proposals.open(p) {
		return false
	}
	e.submitAppend(p)
	return true
}

// submitAppend queues one append of the record.
func (e *Engine) submitAppend(p *proposal) {
	if err := e.appendPool.Submit(func() { e.appendOnce(p) }); errors.Is(err, worker.ErrQueueFull) {
		e.retryAppend(p, maxAppendRetry)
	}
}

// appendOnce sends the record to the log once and schedules the next attempt.
func (e *Engine) appendOnce(p *proposal) {
	if !e.proposals.isOpen(p.purpose) || e.closeIfOutdated(p) {
		return
	}
	if e.proposals.stored(p) > e.ledger.offset() {
		// The node is still reading the records before it.
		e.retryAppend(p, readBackInterval)
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, appendTimeout)
	defer cancel()
	offset, err := e.deps.Log.Append(ctx, p.record)
	switch {
	case err == nil:
		e.proposals.setStored(p, offset)
		e.retryAppend(p, readBackInterval)
		return
	case problem.KindOf(err) == problem.NotSent:
		e.deps.Metrics.CountAppend(telemetry.AppendNotSent)
	default:
		e.deps.Metrics.CountAppend(telemetry.AppendUnanswered)
		e.deps.Events.Emit(eventlog.AppendUnknown, eventlog.RecordKind(p.record.Kind))
	}
	e.retryAppend(p, minAppendRetry+rand.N(maxAppendRetry-minAppendRetry))
}

// closeIfOutdated closes a proposal that can no longer take effect, and reports whether it did. Copies of the record in
// the log, if any, have no effect either.
func (e *Engine) closeIfOutdated(p *proposal) bool {
	e.ledger.mu.RLock()
	outdated := p.outdated != nil && p.outdated(e.ledger.state)
	offset := e.ledger.state.Offset
	e.ledger.mu.RUnlock()
	if !outdated {
		return false
	}
	e.proposals.complete(p.record.ID, offset, ledger.StaleBase)
	return true
}

// retryAppend schedules another append, unless the outcome is known by then.
func (e *Engine) retryAppend(p *proposal, delay time.Duration) {
	e.proposals.mu.Lock()
	defer e.proposals.mu.Unlock()
	if e.proposals.byID[p.record.ID] == nil {
		return
	}
	p.retry = e.appendPool.After(delay, func() { e.appendOnce(p) })
}

// countRecordOutcome counts the log's decision on a record of this node.
func (e *Engine) countRecordOutcome(kind ledger.Kind, offset ledger.Offset, rejection ledger.Rejection) {
	if rejection == ledger.Accepted {
		e.deps.Metrics.CountAppend(telemetry.AppendAccepted)
		return
	}
	e.deps.Metrics.CountAppend(telemetry.AppendRejected)
	e.deps.Events.Emit(eventlog.RecordRejected, eventlog.RecordKind(kind), eventlog.Offset(offset),
		eventlog.Rejection(rejection))
}
