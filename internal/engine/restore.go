package engine

import (
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/ledger"
)

// recordsMissing reports whether the log has forgotten records that this node has not read.
func (t *ledgerTable) recordsMissing() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return !t.replay.Complete()
}

// kept takes in the earliest offset that the log still keeps.
func (t *ledgerTable) kept(earliest ledger.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replay.Kept(earliest)
}

// adopt takes over a snapshot and reports whether it fits.
func (t *ledgerTable) adopt(s *ledger.State, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.state.Offset
	if !t.replay.Adopt(s) {
		return false
	}
	t.stateRestored(before, now)
	t.checkpointRead = now
	return true
}

// noteUnreadLosses notes the losses that came after an offset as read now, because their records were not read. The
// new owner of such a slice waits for requests of the lost one as if it had just been lost. The caller holds mu.
func (t *ledgerTable) noteUnreadLosses(after ledger.Offset, now time.Time) {
	for _, g := range t.state.Groups {
		for i := range g.Slices {
			lost := g.Slices[i].Lost
			if _, known := t.lossTimes[lost]; lost > after && !known {
				t.noteLoss(lost, now)
			}
		}
	}
}

// stateReplaced brings the other tables in line with a state that came from a checkpoint or a snapshot, so that the
// records before it were not replayed one by one.
func (e *Engine) stateReplaced(now time.Time) {
	e.deps.Events.Emit(eventlog.SnapshotLoaded, eventlog.Offset(e.ledger.offset()))
	living := e.livingMembers()
	self := e.incarnation()
	if self != 0 && living[self] == nil {
		e.stopIncarnation()
		self = 0
	}
	e.leases.keepOnly(living)
	e.relearnLeases(now)
	if self != 0 {
		e.watchAll(living, now)
	}
}

// livingMembers returns the members of the present state.
func (e *Engine) livingMembers() map[ledger.Incarnation]*ledger.Member {
	living := map[ledger.Incarnation]*ledger.Member{}
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		for i, m := range s.Members {
			living[i] = m
		}
	})
	return living
}

// watchAll arranges the claims that followWitnesses would have arranged for the records that were not replayed.
func (e *Engine) watchAll(living map[ledger.Incarnation]*ledger.Member, now time.Time) {
	ended := map[ledger.Incarnation]bool{}
	for _, m := range living {
		if len(m.WitnessSet.Members) == 0 {
			e.watchLogLease(m.Incarnation, m.WitnessSet.Version, now)
		}
		for _, w := range m.WitnessSet.Members {
			if living[w] == nil {
				ended[w] = true
			}
		}
	}
	for w := range ended {
		e.watchHoldersOf(w, now)
	}
}

// keepOnly drops the holders that have ended without a record that this node read.
func (t *leaseTable) keepOnly(living map[ledger.Incarnation]*ledger.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.witness != nil {
		t.witness.Retain(func(i ledger.Incarnation) bool { return living[i] != nil })
	}
	for holder, claim := range t.claims {
		if living[holder] == nil {
			claim.HolderEnded()
		}
	}
}
