package engine

import (
	"context"
	"errors"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/ledger"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
	"heatherreel/internal/worker"
)

// Timing of the log reader.
const (
	// longPollTimeout is the length of one long poll. Each poll costs a few hundred bytes, so that an idle log costs
	// less than 50 B/s.
	longPollTimeout = 10 * time.Second
	// maxPageRecords bounds the records of one page, so that replaying a page does not delay other ledger jobs for
	// long.
	maxPageRecords = 256
	// minReadRetryDelay and maxReadRetryDelay bound the delay after a failed read.
	minReadRetryDelay = 50 * time.Millisecond
	maxReadRetryDelay = time.Second
	// maxLogSilence is the time without an answer of the log after which a node cannot tell whether its configuration
	// is current.
	maxLogSilence = longPollTimeout + 5*time.Second
)

// readLog reads the log until ctx ends. It is the only goroutine that blocks on reading the log; records are replayed
// on the ledger pool. It also fetches snapshots from other nodes, because it alone decides from which offset to read.
func (e *Engine) readLog(ctx context.Context) {
	defer e.readers.Done()
	next := ledger.Offset(1)
	retryDelay := minReadRetryDelay
	var limiter snapshotLimiter
	pageRecords := maxPageRecords
	for ctx.Err() == nil {
		page, err := e.deps.Log.Read(ctx, next, pageRecords, longPollTimeout)
		switch {
		case err == nil:
			retryDelay = minReadRetryDelay
			next = e.replayOnPool(ctx, page, next)
			atEnd := len(page.Entries) < pageRecords
			if atEnd {
				pageRecords = maxPageRecords
			}
			if atEnd && e.ledger.recordsMissing() {
				// These are the last records of the log, and none of them is a checkpoint that this node can use.
				next = e.fetchSnapshot(ctx, &limiter, next)
			}
		case errors.Is(err, problem.PastRetention):
			next = e.skipToEarliest(next, page.Earliest)
		case errors.Is(err, problem.TooLarge) && pageRecords > 1:
			// The same page would not arrive at the next attempt either.
			pageRecords /= 2
		default:
			e.markLogUnreachable(ctx, err)
			if e.needsPeerSnapshot() {
				next = e.fetchSnapshot(ctx, &limiter, next)
			}
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxReadRetryDelay)
		}
	}
}

// skipToEarliest continues at the earliest record that the log still keeps. From there only a checkpoint can be
// replayed.
func (e *Engine) skipToEarliest(next, earliest ledger.Offset) ledger.Offset {
	e.deps.Events.Emit(eventlog.BehindRetention, eventlog.Offset(next))
	e.ledger.setEarliestKept(earliest)
	return max(earliest, next+1)
}

// replayOnPool replays a page on the ledger pool and returns the next offset to read.
func (e *Engine) replayOnPool(ctx context.Context, page platformlog.Page, next ledger.Offset) ledger.Offset {
	e.runOnLedgerPool(ctx, func() { next = e.replay(page) })
	return next
}

// runOnLedgerPool runs the job on the ledger pool and waits for it. If ctx has ended, the job may not run.
func (e *Engine) runOnLedgerPool(ctx context.Context, job worker.Job) {
	done := make(chan struct{})
	jobWithSignal := func() {
		job()
		close(done)
	}
	for e.ledgerPool.Submit(jobWithSignal) != nil {
		if !sleep(ctx, minReadRetryDelay) {
			return
		}
	}
	<-done
}

// replay applies the records of a page and triggers the jobs that depend on them. It returns the next offset to read.
func (e *Engine) replay(page platformlog.Page) ledger.Offset {
	now := time.Now()
	e.markLogReachable(now)
	e.ledger.setEarliestKept(page.Earliest)
	next := page.Next
	for _, entry := range page.Entries {
		replayed := e.ledger.apply(entry, now)
		e.recordReplayed(replayed, now)
		if replayed.restored {
			// The records between the offset that the checkpoint covers and its own offset must be read again.
			next = e.ledger.offset() + 1
			break
		}
	}
	if len(page.Entries) > 0 {
		e.pageReplayed()
	}
	return next
}

// recordReplayed processes the effects of a replayed record, in log order.
func (e *Engine) recordReplayed(replayed replayedRecord, now time.Time) {
	e.reportRecord(replayed)
	if replayed.restored {
		e.stateReplaced(now)
		return
	}
	if replayed.effectUnknown() {
		// A proposal with this record stays open: a holder that took this rejection for the log's decision would drop a
		// witness set that may be in force.
		return
	}
	e.leases.recordReplayed(replayed, now)
	e.scheduleClaims(replayed, now)
	e.proposals.completeReplayed(replayed)
	if replayed.acceptedAs(ledger.KindEnd) {
		ended := replayed.record.End.Incarnation
		e.forwardLimiter.cancelTo(func(owner ledger.Incarnation) bool { return owner == ended })
		if ended == e.incarnation() {
			e.stopIncarnation()
		}
	}
	if replayed.acceptedAs(ledger.KindSettled) && replayed.record.Settled.Incarnation == e.incarnation() {
		e.serving.markSettled(replayed.record.Settled.Slices)
	}
}

// pageReplayed triggers the jobs that depend on the replayed state.
func (e *Engine) pageReplayed() {
	e.applyConfiguration()
	e.ownershipTrigger.Fire()
	e.handoverTrigger.Fire()
	e.membershipTrigger.Fire()
	e.planningTrigger.Fire()
	e.checkpointTrigger.Fire()
	e.waitingJobs.resume(e.ledger.offset())
}

// applyConfiguration puts a new configuration revision in force.
func (e *Engine) applyConfiguration() {
	revision, changed, err := e.ledger.applyConfiguration()
	if err != nil {
		e.deps.Events.Emit(eventlog.ConfigurationNotDecodable, eventlog.Revision(revision))
	}
	if !changed {
		return
	}
	e.applyHomeRegions()
	e.deps.Events.Emit(eventlog.ConfigurationInForce, eventlog.Revision(revision))
	e.stopIfDeclaredLost()
	e.applyServiceSettings()
}

// reportRecord emits events for records that may need an operator's attention.
func (e *Engine) reportRecord(replayed replayedRecord) {
	switch replayed.rejection {
	case ledger.MalformedRecord:
		e.deps.Events.Emit(eventlog.RecordMalformed, eventlog.Offset(replayed.offset))
	case ledger.UnknownKind:
		e.deps.Events.Emit(eventlog.RecordKindUnknown, eventlog.Offset(replayed.offset), eventlog.RecordKind(replayed.record.Kind))
	}
}

// markLogReachable records that the log answered.
func (e *Engine) markLogReachable(now time.Time) {
	e.ledger.recordLogAnswer(now)
	if e.logUnreachable.CompareAndSwap(true, false) {
		e.deps.Events.Emit(eventlog.LogReachable)
		// All members check when the log answers again, so that their staggered delays start at about the same time.
		e.checkpointTrigger.Fire()
	}
}

// markLogUnreachable records that a read failed.
func (e *Engine) markLogUnreachable(ctx context.Context, err error) {
	if ctx.Err() == nil && e.logUnreachable.CompareAndSwap(false, true) {
		e.deps.Events.Emit(eventlog.LogUnreachable, eventlog.Cause(err))
	}
}

// sleep waits for the duration and returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
