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

// with calls f under the lock.
func (t *servingTable) with(f func(*serving.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.table)
}

func (t *servingTable) begin(id keyspace.SliceID, fence ledger.Offset) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Begin(id, fence)
}

func (t *servingTable) finish(id keyspace.SliceID) (lastOfDraining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Finish(id)
}

func (t *servingTable) settledRead(list []ledger.SliceFence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.SettledRead(list)
}

func (t *servingTable) releasable(asked []ledger.SliceFence, offset ledger.Offset) []ledger.SliceFence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Releasable(asked, offset)
}

// ownershipStep is what a step of the serving table asks for.
type ownershipStep struct {
	gained, lost int
	grants       []ledger.SliceFence
	// mustGrant tells that the backend server has to confirm the grants.
	mustGrant bool
	pending   []serving.Pending
	settled   []ledger.SliceFence
	next      time.Time
}

// step adopts what the ledger gives to this node and advances the slices to now.
func (t *servingTable) step(owned []serving.Owned, now time.Time) ownershipStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s ownershipStep
	s.gained, s.lost = t.table.Sync(owned)
	t.table.Advance(now)
	s.grants = t.table.Grants()
	s.mustGrant = t.table.Granting()
	s.pending = t.table.PendingReleases()
	s.settled = t.table.Settled()
	s.next = t.table.NextAdvance()
	return s
}
