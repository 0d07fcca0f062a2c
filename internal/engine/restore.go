package engine

import (
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/ledger"
)

// recordsMissing reports whether the log has dropped records that this node has not read.
func (t *ledgerTable) recordsMissing() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return !t.replay.Complete()
}

// setEarliestKept records the earliest offset that the log still keeps.
func (t *ledgerTable) setEarliestKept(earliest ledger.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replay.SetEarliest(earliest)
}

// replaceState replaces the state with a snapshot if it fits, and reports whether it did.
func (t *ledgerTable) replaceState(s *ledger.State, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.state.Offset
	if !t.replay.Adopt(s) {
		return false
	}
	t.stateRestored(before, now)
	t.checkpointReadAt = now
	return true
}

// rememberUnreadLosses records the losses after an offset as read now, because their records were not read. The new
// owner of such a slice waits for requests of the lost owner as if the loss had just happened. The caller holds mu.
func (t *ledgerTable) rememberUnreadLosses(after ledger.Offset, now time.Time) {
	for _, g := range t.state.Groups {
		for i := range g.Slices {
			lost := g.Slices[i].Lost
			if _, known := t.lossReadTimes[lost]; lost > after && !known {
				t.rememberLossReadTime(lost, now)
			}
		}
	}
}

// stateReplaced updates the other tables after a checkpoint or a snapshot replaced the state, so that the records
// before it were not replayed one by one.
func (e *Engine) stateReplaced(now time.Time) {
	e.deps.Events.Emit(eventlog.SnapshotLoaded, eventlog.Offset(e.ledger.offset()))
	live := e.liveMembers()
	self := e.incarnation()
	if self != 0 && live[self] == nil {
		e.stopIncarnation()
		self = 0
	}
	e.leases.retainMembers(live)
	e.forwardLimiter.cancelTo(func(owner ledger.Incarnation) bool { return live[owner] == nil })
	e.observeAllWitnessSets(now)
	if self != 0 {
		e.scheduleAllClaims(live, now)
	}
}

// liveMembers returns the members of the current state.
func (e *Engine) liveMembers() map[ledger.Incarnation]*ledger.Member {
	live := map[ledger.Incarnation]*ledger.Member{}
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		for i, m := range s.Members {
			live[i] = m
		}
	})
	return live
}

// scheduleAllClaims schedules the claims that scheduleClaims would have scheduled for the records that were not
// replayed.
func (e *Engine) scheduleAllClaims(live map[ledger.Incarnation]*ledger.Member, now time.Time) {
	ended := map[ledger.Incarnation]bool{}
	for _, m := range live {
		if len(m.WitnessSet.Members) == 0 {
			e.scheduleLogLeaseClaim(m.Incarnation, m.WitnessSet.Version, now)
		}
		for _, w := range m.WitnessSet.Members {
			if live[w] == nil {
				ended[w] = true
			}
		}
	}
	for w := range ended {
		e.scheduleClaimsAgainstHoldersOf(w, now)
	}
}

// retainMembers drops the holders that ended without this node reading the record.
func (t *leaseTable) retainMembers(live map[ledger.Incarnation]*ledger.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.witness != nil {
		t.witness.RetainHolders(func(i ledger.Incarnation) bool { return live[i] != nil })
	}
	for holder, claim := range t.claims {
		if live[holder] == nil {
			claim.HolderEnded()
		}
	}
}
