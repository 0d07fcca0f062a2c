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
	// pollWait is the length of one long poll. Each costs a few hundred bytes, so that an idle log costs under 50 B/s.
	pollWait = 10 * time.Second
	// pageRecords bounds the records of one page, so that replaying it does not delay other ledger jobs for long.
	pageRecords = 256
	// minReadPause and maxReadPause bound the pause after a failed read.
	minReadPause = 50 * time.Millisecond
	maxReadPause = time.Second
	// outdatedAfter is the silence of the log after which a node cannot tell whether its configuration is current.
	outdatedAfter = pollWait + 5*time.Second
)

// readLog reads the log until ctx ends. It is the one blocking reader of the log; replaying runs on the ledger pool.
// It also fetches the snapshots of other nodes, because it alone decides from which offset to read.
func (e *Engine) readLog(ctx context.Context) {
	defer e.readers.Done()
	next := ledger.Offset(1)
	pauseFor := minReadPause
	var asks snapshotAsks
	for ctx.Err() == nil {
		page, err := e.deps.Log.Read(ctx, next, pageRecords, pollWait)
		switch {
		case err == nil:
			pauseFor = minReadPause
			next = e.replayOnPool(ctx, page, next)
			if len(page.Entries) < pageRecords && e.ledger.recordsMissing() {
				// The kept records end here, and none of them is a checkpoint that this node can use.
				next = e.fetchSnapshot(ctx, &asks, next)
			}
		case errors.Is(err, problem.Forgotten):
			next = e.skipForgotten(next, page.Earliest)
		default:
			e.logFailed(ctx, err)
			if e.needsPeers() {
				next = e.fetchSnapshot(ctx, &asks, next)
			}
			pause(ctx, pauseFor)
			pauseFor = min(2*pauseFor, maxReadPause)
		}
	}
}

// skipForgotten continues at the earliest kept record, where only a checkpoint can be replayed.
func (e *Engine) skipForgotten(next, earliest ledger.Offset) ledger.Offset {
	e.deps.Events.Emit(eventlog.BehindRetention, eventlog.Offset(next))
	e.ledger.kept(earliest)
	return max(earliest, next+1)
}

// replayOnPool replays a page on the ledger pool and returns the offset to read next.
func (e *Engine) replayOnPool(ctx context.Context, page platformlog.Page, next ledger.Offset) ledger.Offset {
	e.runOnLedgerPool(ctx, func() { next = e.replay(page) })
	return next
}

// runOnLedgerPool runs the job on the ledger pool and waits for it. With ctx ended it may not run.
func (e *Engine) runOnLedgerPool(ctx context.Context, job worker.Job) {
	done := make(chan struct{})
	signalled := func() {
		job()
		close(done)
	}
	for e.ledgerPool.Submit(signalled) != nil {
		if !pause(ctx, minReadPause) {
			return
		}
	}
	<-done
}

// replay applies the records of a page and starts what follows from them. It returns the offset to read next.
func (e *Engine) replay(page platformlog.Page) ledger.Offset {
	now := time.Now()
	e.logAnswered(now)
	e.ledger.kept(page.Earliest)
	next := page.Next
	for _, entry := range page.Entries {
		a := e.ledger.apply(entry, now)
		e.recordReplayed(a, now)
		if a.restored {
			// The records between what the checkpoint covers and its own offset must be read again.
			next = e.ledger.offset() + 1
			break
		}
	}
	if len(page.Entries) > 0 {
		e.pageReplayed()
	}
	return next
}

// recordReplayed takes in one record in the order of the log.
func (e *Engine) recordReplayed(a applied, now time.Time) {
	e.reportRecord(a)
	if a.restored {
		e.stateReplaced(now)
		return
	}
	if a.unread() {
		// A proposal whose record this is stays open: a holder that took the rejection for that of the log would drop
		// a witness set that may be in force.
		return
	}
	e.leases.recordReplayed(a, now)
	e.followWitnesses(a, now)
	e.proposals.replayed(a)
	if a.took(ledger.KindEnd) && a.record.End.Incarnation == e.incarnation() {
		e.stopIncarnation()
	}
	if a.took(ledger.KindSettled) && a.record.Settled.Incarnation == e.incarnation() {
		e.serving.settledRead(a.record.Settled.Slices)
	}
}

// pageReplayed starts the jobs that depend on the replayed state.
func (e *Engine) pageReplayed() {
	e.adoptConfiguration()
	e.ownership.Fire()
	e.handovers.Fire()
	e.membership.Fire()
	e.planning.Fire()
	e.checkpointing.Fire()
	e.waiting.resume(e.ledger.offset())
}

// adoptConfiguration puts a new revision in force.
func (e *Engine) adoptConfiguration() {
	revision, changed, err := e.ledger.adoptConfiguration()
	if err != nil {
		e.deps.Events.Emit(eventlog.ConfigurationNotDecodable, eventlog.Revision(revision))
	}
	if !changed {
		return
	}
	e.adoptHomes()
	e.deps.Events.Emit(eventlog.ConfigurationInForce, eventlog.Revision(revision))
	e.stopIfStatedLost()
	e.configurationChanged()
}

// reportRecord emits events for records that an operator may have to look at.
func (e *Engine) reportRecord(a applied) {
	switch a.rejection {
	case ledger.MalformedRecord:
		e.deps.Events.Emit(eventlog.RecordMalformed, eventlog.Offset(a.offset))
	case ledger.UnknownKind:
		e.deps.Events.Emit(eventlog.RecordKindUnknown, eventlog.Offset(a.offset), eventlog.RecordKind(a.record.Kind))
	}
}

// logAnswered notes that the log is reachable.
func (e *Engine) logAnswered(now time.Time) {
	e.ledger.heardFromLog(now)
	if e.logDown.CompareAndSwap(true, false) {
		e.deps.Events.Emit(eventlog.LogReachable)
		// All members look at the same time, so that the delays between them hold.
		e.checkpointing.Fire()
	}
}

// logFailed notes that a read failed.
func (e *Engine) logFailed(ctx context.Context, err error) {
	if ctx.Err() == nil && e.logDown.CompareAndSwap(false, true) {
		e.deps.Events.Emit(eventlog.LogUnreachable, eventlog.Cause(err))
	}
}

// pause waits for a while and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
