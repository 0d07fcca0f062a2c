package gateway

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/operator"
	"heatherreel/internal/storeera"
)

// rangeTable holds the range tables of all services as last read, and the lease of the node. mu guards all fields; it
// has rank lockorder.KeyRanges.
type rangeTable struct {
	mu     *lockorder.Mutex
	tables map[string]*keyrange.Table
	// suspicionSeenAt is when each open suspicion was first read.
	suspicionSeenAt map[suspicionKey]keyrange.Instant
	lease           keyrange.Lease
	// changed is closed and replaced when a table changes or the ownership is settled.
	changed chan struct{}
	// unreadable are the services whose newest record cannot be decoded.
	unreadable map[string]bool
	// readEnd is the end offset of the topic up to which the tables are read; -1 before the first read. firstEnd is its
	// value after the first read.
	readEnd, firstEnd int64
	// pendingWrites are the tables that this node has tried to write at the offset pendingEnd and that may still take
	// effect. Ranges that one of them takes away are not granted any more, since it is unknown when the write takes
	// effect.
	pendingWrites []*keyrange.Table
	pendingEnd    int64
	// ownership decides which tables are in force in the current era of the store, and readInEra holds the services whose
	// tables were read in it.
	ownership storeera.Ownership
	readInEra map[string]bool
	// asking is set while other nodes are asked whether they know a table of the service of this node.
	asking atomic.Bool
}

// suspicionKey identifies one suspicion of a service.
type suspicionKey struct {
	service, instance string
	number            uint64
}

func newRangeTable() *rangeTable {
	return &rangeTable{mu: lockorder.New(lockorder.KeyRanges), tables: map[string]*keyrange.Table{},
		suspicionSeenAt: map[suspicionKey]keyrange.Instant{}, changed: make(chan struct{}), unreadable: map[string]bool{}, readEnd: -1, firstEnd: -1,
		readInEra: map[string]bool{}}
}

// put sets the table of a service, as read in an era of the store. A table in the map is never modified. A table of a write
// that was begun in an earlier era counts as unreadable, so that the one in force is written again.
func (t *rangeTable) put(table *keyrange.Table, era uint64, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.advance(era, now) {
		return
	}
	if before := t.tables[table.Service]; before != nil && t.readInEra[table.Service] && t.ownership.Outdated(table.LastFence, before.LastFence) {
		t.unreadable[table.Service] = true
		return
	}
	t.tables[table.Service] = table
	t.readInEra[table.Service] = true
	delete(t.unreadable, table.Service)
	t.notifyChange()
	open := map[suspicionKey]bool{}
	for instance, s := range table.Suspicions {
		key := suspicionKey{table.Service, instance, s.Number}
		open[key] = true
		if _, known := t.suspicionSeenAt[key]; !known {
			t.suspicionSeenAt[key] = now
		}
	}
	for key := range t.suspicionSeenAt {
		if key.service == table.Service && !open[key] {
			delete(t.suspicionSeenAt, key)
		}
	}
}

// putUnreadable records that the newest record of a service cannot be decoded. The table before it stays in force.
func (t *rangeTable) putUnreadable(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreadable[service] = true
}

// isUnreadable reports whether the newest record of a service cannot be decoded.
func (t *rangeTable) isUnreadable(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unreadable[service]
}

// confirmRead records a completed read. All records that the store had at the time asOf are applied: the lease is
// extended to LeaseDuration after that, unless the table suspects the instance, is of an earlier era of the store than the
// read, or the ownership is not settled yet.
func (t *rangeTable) confirmRead(self Self, era uint64, asOf, now keyrange.Instant, readEnd int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.advance(era, now) {
		return
	}
	settledBefore := t.settled()
	t.readEnd = readEnd
	if t.firstEnd < 0 {
		t.firstEnd = readEnd
	}
	if readEnd > t.pendingEnd {
		t.pendingWrites = nil
	}
	if !t.settled() {
		return
	}
	if !settledBefore {
		t.notifyChange()
	}
	if table := t.tables[self.Service]; table != nil {
		if _, suspected := table.Suspicions[self.Instance]; suspected || !t.ownership.InForce(table.LastFence) {
			return
		}
	}
	t.lease.Extend(asOf)
}

// endLease ends the lease at once. The caller holds mu.
func (t *rangeTable) endLease() { t.lease = keyrange.Lease{} }

// settled reports whether no write of an earlier process of the node can take effect any more. Such a write is
// conditional on an end that the topic had before the first read, and may be done seconds after its process ended; any
// record since then rules it out. Until then the node grants nothing, as the write may give the keys to others, which
// would not wait for these grants. The caller holds mu.
func (t *rangeTable) settled() bool { return t.readEnd > t.firstEnd }

// isSettled reports the same as settled.
func (t *rangeTable) isSettled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settled()
}

// notifyChange wakes those that wait for a change. The caller holds mu.
func (t *rangeTable) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// get returns the table of a service, nil if there is none, and the end offset up to which the tables are read.
func (t *rangeTable) get(service string) (*keyrange.Table, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tables[service], t.readEnd
}

// addPendingWrite records a table that is about to be written at the offset end.
func (t *rangeTable) addPendingWrite(table *keyrange.Table, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pendingEnd != end {
		t.pendingWrites = nil
	}
	t.pendingWrites, t.pendingEnd = append(t.pendingWrites, table), end
}

// dropPendingWrite records that the last write at the offset end is known to have no effect.
func (t *rangeTable) dropPendingWrite(end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pendingEnd == end && len(t.pendingWrites) > 0 {
		t.pendingWrites = t.pendingWrites[:len(t.pendingWrites)-1]
	}
}

// hasPendingWrites reports whether a write may still take effect.
func (t *rangeTable) hasPendingWrites() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pendingWrites) > 0
}

// grantable returns the ranges that may be granted to an owner: those of the table that no pending write of this node
// takes away.
func (t *rangeTable) grantable(o keyrange.Owner, service string) []keyrange.Range {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []keyrange.Range
	for _, r := range t.tables[service].Grants(o) {
		if !slices.ContainsFunc(t.pendingWrites, func(next *keyrange.Table) bool { return !next.StillGrants(r) }) {
			kept = append(kept, r)
		}
	}
	return kept
}

// changes returns a channel that is closed when a table changes or the ownership is settled.
func (t *rangeTable) changes() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// holdTime returns for how long a grant that is given now may last; zero if none may be given.
func (t *rangeTable) holdTime(now keyrange.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Hold(now)
}

// callHold returns for how long a grant by a call that is sent now may last; zero if none may be sent.
func (t *rangeTable) callHold(now keyrange.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.HoldWithin(now, keyhold.MaxHold, keyhold.CallTimeout)
}

// currentEnd returns the end offset up to which the tables are read.
func (t *rangeTable) currentEnd() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readEnd
}

// leaseRemaining returns for how long the lease of the node is still valid.
func (t *rangeTable) leaseRemaining(now keyrange.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Remaining(now)
}

// suspicionAge returns for how long the node has known of a suspicion.
func (t *rangeTable) suspicionAge(service, instance string, number uint64, now keyrange.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	seenAt, known := t.suspicionSeenAt[suspicionKey{service, instance, number}]
	if !known {
		return 0
	}
	return now.Sub(seenAt)
}

// addState adds the lease and the ownership of all services to the state for operators.
func (t *rangeTable) addState(s *operator.GatewayState, ownService string, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.LeaseLeftMS = t.lease.Remaining(now).Milliseconds()
	for service, table := range t.tables {
		for _, r := range table.Ranges {
			s.Ranges = append(s.Ranges, operator.GatewayRange{Service: service, From: r.From, To: r.To, Fence: r.Fence,
				Instance: r.Owner.Instance, Server: r.Owner.Server, Next: r.Next})
		}
		if service == ownService {
			s.Suspected = slices.Sorted(maps.Keys(table.Suspicions))
			s.Lost = slices.Sorted(maps.Keys(table.Lost))
		}
	}
}
