package engine

import (
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/platformlog"
)

// maxLossReadTimes is the number of past losses whose read times are kept. A loss matters only until the in-flight
// bound has passed.
const maxLossReadTimes = 4096

// ledgerTable is the replayed log with the decoded configuration.
//
// mu guards all fields; it has rank lockorder.Ledger. A *ledger.Member read under mu may be kept, because the ledger
// replaces members instead of modifying them.
type ledgerTable struct {
	mu *lockorder.RWMutex
	// replay tracks whether records are missing; state is its state.
	replay *ledger.Replay
	state  *ledger.State
	config *config.Configuration
	// decodedRevision is the revision from which config was decoded. It differs from the revision of state if this
	// version cannot decode the latest document.
	decodedRevision ledger.Offset
	homeHistory     homeRegionHistory
	losses          latestLosses
	// logAnsweredAt is when the log last answered.
	logAnsweredAt time.Time
	// highestPeerOffset is the highest offset that another node has reported.
	highestPeerOffset ledger.Offset
	// lossReadTimes are the times at which this node read that owners were lost, by the offset of the record.
	lossReadTimes map[ledger.Offset]time.Time
	// lossOffsets lists the keys of lossReadTimes, oldest first.
	lossOffsets []ledger.Offset
	// checkpointReadAt is when this node read the last checkpoint; before the first one, when it began to read the log.
	checkpointReadAt time.Time
}

func newLedgerTable() *ledgerTable {
	replay := ledger.NewReplay(0)
	return &ledgerTable{
		mu:               lockorder.NewRW(lockorder.Ledger),
		replay:           replay,
		state:            replay.State(),
		lossReadTimes:    map[ledger.Offset]time.Time{},
		checkpointReadAt: time.Now(),
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
	return t.decodedRevision
}

// member returns a live member, or nil.
func (t *ledgerTable) member(i ledger.Incarnation) *ledger.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.Members[i]
}

// replayedRecord is a record of the log with the result of its replay.
type replayedRecord struct {
	offset    ledger.Offset
	record    *ledger.Record
	rejection ledger.Rejection
	// ended is the member that an accepted end or leave record removed; nil for other records.
	ended *ledger.Member
	// restored is true if the record was a checkpoint that replaced the state.
	restored bool
}

// effectUnknown reports whether the effect of the record is unknown because earlier records are missing.
func (r replayedRecord) effectUnknown() bool {
	return r.record == nil || r.rejection == ledger.RecordsMissing
}

// acceptedAs reports whether the record was accepted and is of the kind.
func (r replayedRecord) acceptedAs(kind ledger.Kind) bool {
	return r.rejection == ledger.Accepted && r.record.Kind == kind
}

// apply replays one entry of the log.
func (t *ledgerTable) apply(entry platformlog.Entry, now time.Time) replayedRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, last := t.state.Offset, t.state.LastCheckpoint
	removed := t.removedMember(entry.Record)
	rejection, restored := t.replay.Add(entry.Offset, entry.Record)
	if restored {
		t.stateRestored(before, now)
	}
	if t.state.LastCheckpoint != last {
		t.checkpointReadAt = now
	}
	replayed := replayedRecord{offset: entry.Offset, record: entry.Record, rejection: rejection, restored: restored}
	if rejection == ledger.Accepted {
		replayed.ended = removed
		t.trackAcceptedRecord(replayed, now)
	}
	return replayed
}

// trackAcceptedRecord records what follows from an accepted record beyond the replayed state. The caller holds mu.
func (t *ledgerTable) trackAcceptedRecord(replayed replayedRecord, now time.Time) {
	switch {
	case replayed.record.Kind == ledger.KindEnd && replayed.ended != nil:
		t.losses.add(lossLocation{replayed.ended.Service, replayed.ended.DataCentre}, replayed.record.End.AtUnixMS, now)
	case replayed.record.Kind == ledger.KindConfiguration:
		t.homeHistory.undecoded = append(t.homeHistory.undecoded, t.state.Configuration)
	}
	if isLoss(replayed.record.Kind) {
		t.rememberLossReadTime(replayed.offset, now)
	}
}

// stateRestored updates the other fields after a checkpoint or a snapshot replaced the state, which reached up to the
// offset before. The caller holds mu.
func (t *ledgerTable) stateRestored(before ledger.Offset, now time.Time) {
	t.rememberUnreadLosses(before, now)
	t.restoreHomeHistory()
	t.losses.restore(t.state, now)
}

// removedMember returns the member that an end or leave record removes, or nil. The caller holds mu.
func (t *ledgerTable) removedMember(r *ledger.Record) *ledger.Member {
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

// rememberLossReadTime records when a loss was read. The caller holds mu.
func (t *ledgerTable) rememberLossReadTime(offset ledger.Offset, now time.Time) {
	t.lossReadTimes[offset] = now
	t.lossOffsets = append(t.lossOffsets, offset)
	if len(t.lossOffsets) > maxLossReadTimes {
		delete(t.lossReadTimes, t.lossOffsets[0])
		t.lossOffsets = t.lossOffsets[1:]
	}
}

// applyConfiguration decodes the revisions published since the last call and puts the latest valid one in force. It
// returns the revision in force, whether it changed, and the decoding error of the last revision; the previous revision
// stays in force after an error.
func (t *ledgerTable) applyConfiguration() (revision ledger.Offset, changed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	undecoded := t.homeHistory.undecoded
	t.homeHistory.undecoded = nil
	for _, p := range undecoded {
		// Each revision counts, even if another one follows immediately: other nodes may have put it in force.
		var decoded *config.Configuration
		decoded, err = config.Decode([]byte(p.Document))
		t.homeHistory.recordChange(t.config, decoded, p.Revision)
		if err == nil {
			t.config, t.decodedRevision, changed = decoded, p.Revision, true
		}
	}
	return t.decodedRevision, changed, err
}

// restoreHomeHistory prepares for the configuration of a checkpoint. The revisions before it are missing, unless it is
// already in force on this node. The caller holds mu.
func (t *ledgerTable) restoreHomeHistory() {
	t.homeHistory.undecoded = nil
	if current := t.state.Configuration; current != nil && current.Revision != t.decodedRevision {
		t.homeHistory.undecoded = []*ledger.Revision{current}
		t.homeHistory.revisionsMissing = true
	}
}

// homesEpoch returns the latest revision that changed home regions.
func (t *ledgerTable) homesEpoch() ledger.Offset {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.homeHistory.epoch
}

// forgetEarlierHomes drops the earlier home regions if none have changed since the epoch.
func (t *ledgerTable) forgetEarlierHomes(epoch ledger.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.homeHistory.epoch == epoch {
		t.homeHistory.reset()
	}
}

// recordLogAnswer records that the log answered.
func (t *ledgerTable) recordLogAnswer(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logAnsweredAt = now
}

// observePeerOffset records an offset that another node reported.
func (t *ledgerTable) observePeerOffset(offset ledger.Offset) {
	t.mu.RLock()
	known := offset <= t.highestPeerOffset
	t.mu.RUnlock()
	if known {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highestPeerOffset = max(t.highestPeerOffset, offset)
}

// freshness is how up to date this node's view of the log is.
type freshness struct {
	offset, highestPeerOffset ledger.Offset
	logSilence                time.Duration
	// complete is false while this node lacks records that the log no longer keeps.
	complete bool
}

// upToDate reports whether this node knows that it has replayed what other nodes have, and that the log answers.
func (f freshness) upToDate() bool {
	return f.complete && f.offset >= f.highestPeerOffset && f.logSilence < maxLogSilence
}

// freshness returns how up to date the view of the log is.
func (t *ledgerTable) freshness(now time.Time) freshness {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return freshness{
		offset: t.state.Offset, highestPeerOffset: t.highestPeerOffset,
		logSilence: now.Sub(t.logAnsweredAt), complete: t.replay.Complete(),
	}
}
