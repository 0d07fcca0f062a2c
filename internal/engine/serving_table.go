package engine

import (
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/serving"
)

// servingTable guards a serving.Table; mu has rank lockorder.Serving.
type servingTable struct {
	mu    *lockorder.Mutex
	table *serving.Table
}

func newServingTable() *servingTable {
	return &servingTable{mu: lockorder.New(lockorder.Serving), table: serving.NewTable()}
}

// withLock calls f with mu held.
func (t *servingTable) withLock(f func(*serving.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.table)
}

func (t *servingTable) beginRequest(id keyspace.SliceID, fence ledger.Offset) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Begin(id, fence)
}

func (t *servingTable) finishRequest(id keyspace.SliceID) (lastOfDraining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Finish(id)
}

func (t *servingTable) markSettled(list []ledger.SliceFence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.MarkSettledInLedger(list)
}

func (t *servingTable) releasable(asked []ledger.SliceFence, offset ledger.Offset) []ledger.SliceFence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Releasable(asked, offset)
}

// ownershipStep is the result of one step of the serving table.
type ownershipStep struct {
	gained, lost int
	grants       []ledger.SliceFence
	// mustGrant is true if the backend server has to confirm the grants.
	mustGrant bool
	pending   []serving.PendingRelease
	settled   []ledger.SliceFence
	next      time.Time
}

// step applies the slices that the ledger assigns to this node and advances their states to now.
func (t *servingTable) step(owned []serving.OwnedSlice, now time.Time) ownershipStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s ownershipStep
	s.gained, s.lost = t.table.Sync(owned)
	t.table.Advance(now)
	s.grants = t.table.Grants()
	s.mustGrant = t.table.HasGranting()
	s.pending = t.table.PendingReleases()
	s.settled = t.table.Settled()
	s.next = t.table.NextAdvance()
	return s
}
