package engine

import (
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/platformlog"
)

// maxLossTimes is the number of past losses whose reading times are kept. A loss matters for the in-flight bound only.
const maxLossTimes = 4096

// ledgerTable is the replayed log with the decoded configuration.
//
// mu guards all fields; it has rank lockorder.Ledger. A *ledger.Member read under mu may be kept, since the ledger
// replaces members in place of changing them.
type ledgerTable struct {
	mu *lockorder.RWMutex
	// replay knows whether records are missing; state is its state.
	replay *ledger.Replay
	state  *ledger.State
	config *config.Configuration
	// decoded is the revision that config was decoded from. It differs from the revision of state if the latest
	// document cannot be decoded by this version.
	decoded ledger.Offset
	homes   homesHistory
	losses  lostPlaces
	// heard is when the log last answered.
	heard time.Time
	// highest is the highest offset that another node stated.
	highest ledger.Offset
	// lossTimes are the times at which this node read that owners were lost, by offset of the record.
	lossTimes map[ledger.Offset]time.Time
	// lossOrder lists the keys of lossTimes, oldest first.
	lossOrder []ledger.Offset
	// checkpointRead is when this node read the last checkpoint; before the first, when it began to read.
	checkpointRead time.Time
}

func newLedgerTable() *ledgerTable {
	replay := ledger.NewReplay(0)
	return &ledgerTable{
		mu:             lockorder.NewRW(lockorder.Ledger),
		replay:         replay,
		state:          replay.State(),
		lossTimes:      map[ledger.Offset]time.Time{},
		checkpointRead: time.Now(),
	}
}

// read calls f with the state and the configuration, which is nil before the first. f must not keep the state.
func (t *ledgerTable) read(f func(s *ledger.State, c *config.Configuration)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	f(t.state, t.config)
}

// offset returns the offset of the last replayed record.
func (t *ledgerTable) offset() ledger.Offset {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.Offset
}

// revision returns the configuration revision in force; zero before the first.
func (t *ledgerTable) revision() ledger.Offset {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.decoded
}

// member returns a living member, or nil.
func (t *ledgerTable) member(i ledger.Incarnation) *ledger.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.Members[i]
}

// applied is one replayed record.
type applied struct {
	offset    ledger.Offset
	record    *ledger.Record
	rejection ledger.Rejection
	// ended is the member that an accepted end or leave record removed; nil for other records.
	ended *ledger.Member
	// restored tells that the record was a checkpoint that replaced the state.
	restored bool
}

// unread reports whether the effect of the record is not known, since earlier records are missing.
func (a applied) unread() bool { return a.record == nil || a.rejection == ledger.RecordsMissing }

// took reports whether the record took effect and has the kind.
func (a applied) took(kind ledger.Kind) bool {
	return a.rejection == ledger.Accepted && a.record.Kind == kind
}

// apply replays one entry of the log.
func (t *ledgerTable) apply(entry platformlog.Entry, now time.Time) applied {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, last := t.state.Offset, t.state.LastCheckpoint
	leaving := t.leavingMember(entry.Record)
	rejection, restored := t.replay.Add(entry.Offset, entry.Record)
	if restored {
		t.stateRestored(before, now)
	}
	if t.state.LastCheckpoint != last {
		t.checkpointRead = now
	}
	a := applied{offset: entry.Offset, record: entry.Record, rejection: rejection, restored: restored}
	if rejection == ledger.Accepted {
		a.ended = leaving
		t.recordTaken(a, now)
	}
	return a
}

// recordTaken notes what an accepted record says beyond the replayed state. The caller holds mu.
func (t *ledgerTable) recordTaken(a applied, now time.Time) {
	switch {
	case a.record.Kind == ledger.KindEnd && a.ended != nil:
		t.losses.note(lostPlace{a.ended.Service, a.ended.DataCentre}, a.record.End.AtUnixMS, now)
	case a.record.Kind == ledger.KindConfiguration:
		t.homes.published = append(t.homes.published, t.state.Configuration)
	}
	if isLoss(a.record.Kind) {
		t.noteLoss(a.offset, now)
	}
}

// stateRestored notes that a checkpoint or a snapshot replaced the state that reached up to an offset. The caller holds
// mu.
func (t *ledgerTable) stateRestored(before ledger.Offset, now time.Time) {
	t.noteUnreadLosses(before, now)
	t.restoredHomes()
	t.losses.restore(t.state, now)
}

// leavingMember returns the member that an end or leave record is about, or nil. The caller holds mu.
func (t *ledgerTable) leavingMember(r *ledger.Record) *ledger.Member {
	switch {
	case r == nil:
		return nil
	case r.Kind == ledger.KindEnd && r.End != nil:
		return t.state.Members[r.End.Incarnation]
	case r.Kind == ledger.KindLeave && r.Leave != nil:
		return t.state.Members[r.Leave.Incarnation]
	}
	return nil
}

// isLoss reports whether records of the kind can take a slice from an owner that did not release it.
func isLoss(kind ledger.Kind) bool {
	return kind == ledger.KindEnd || kind == ledger.KindLeave || kind == ledger.KindReleased
}

// noteLoss remembers when a loss was read. The caller holds mu.
func (t *ledgerTable) noteLoss(offset ledger.Offset, now time.Time) {
	t.lossTimes[offset] = now
	t.lossOrder = append(t.lossOrder, offset)
	if len(t.lossOrder) > maxLossTimes {
		delete(t.lossTimes, t.lossOrder[0])
		t.lossOrder = t.lossOrder[1:]
	}
}

// adoptConfiguration decodes the current revision if it is new. It returns the revision in force, whether it changed,
// and the error of a document that this version cannot decode; the previous one stays in force then.
func (t *ledgerTable) adoptConfiguration() (revision ledger.Offset, changed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	published := t.homes.published
	t.homes.published = nil
	for _, p := range published {
		// Each revision counts, also one that another follows at once: other nodes may have put it in force.
		var decoded *config.Configuration
		decoded, err = config.Decode([]byte(p.Document))
		t.homes.follow(t.config, decoded, p.Revision)
		if err == nil {
			t.config, t.decoded, changed = decoded, p.Revision, true
		}
	}
	return t.decoded, changed, err
}

// restoredHomes prepares for the configuration of a checkpoint: the revisions before it are missing, unless it is in
// force here. The caller holds mu.
func (t *ledgerTable) restoredHomes() {
	t.homes.published = nil
	if current := t.state.Configuration; current != nil && current.Revision != t.decoded {
		t.homes.published = []*ledger.Revision{current}
		t.homes.gap = true
	}
}

// homesEpoch returns the revision that last changed home regions.
func (t *ledgerTable) homesEpoch() ledger.Offset {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.homes.epoch
}

// forgetHomes drops the earlier home regions if none changed since the epoch.
func (t *ledgerTable) forgetHomes(epoch ledger.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.homes.epoch == epoch {
		t.homes.forget()
	}
}

// heardFromLog notes that the log answered.
func (t *ledgerTable) heardFromLog(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = now
}

// heardOffset notes an offset that another node stated.
func (t *ledgerTable) heardOffset(o ledger.Offset) {
	t.mu.RLock()
	known := o <= t.highest
	t.mu.RUnlock()
	if known {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highest = max(t.highest, o)
}

// currency says how far this node's view of the log can be trusted.
type currency struct {
	offset, highest ledger.Offset
	silence         time.Duration
	// complete is false while records are missing that the log has forgotten.
	complete bool
}

// current reports whether the node knows that it has read what others have, and that the log answers.
func (c currency) current() bool {
	return c.complete && c.offset >= c.highest && c.silence < outdatedAfter
}

// currency returns how far the view can be trusted.
func (t *ledgerTable) currency(now time.Time) currency {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return currency{
		offset: t.state.Offset, highest: t.highest, silence: now.Sub(t.heard), complete: t.replay.Complete(),
	}
}
