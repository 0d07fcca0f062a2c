package gateway

import (
	"maps"
	"slices"
	"time"

	"heatherreel/internal/keyrange"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/operator"
)

// rangeTable holds the ownership of keys as read, and the lease of the node. mu guards all fields; it has rank
// lockorder.KeyRanges.
type rangeTable struct {
	mu     *lockorder.Mutex
	tables map[string]*keyrange.Table
	// seen is when each open suspicion was first read.
	seen  map[suspicionKey]keyrange.Instant
	lease keyrange.Lease
	// changed is closed and replaced when a table changes.
	changed chan struct{}
	// end is the end of the partition up to which the tables are read; -1 before the first read.
	end int64
	// intended are the tables that this node has tried to write at the end intendedAt and that may still take effect. What
	// one of them takes away is not granted any more, since nobody can tell when the write takes effect.
	intended   []*keyrange.Table
	intendedAt int64
}

// suspicionKey names one suspicion of a service.
type suspicionKey struct {
	service, instance string
	number            uint64
}

func newRangeTable() *rangeTable {
	return &rangeTable{mu: lockorder.New(lockorder.KeyRanges), tables: map[string]*keyrange.Table{},
		seen: map[suspicionKey]keyrange.Instant{}, changed: make(chan struct{}), end: -1}
}

// put takes the table of a service. Tables in the map do not change.
func (t *rangeTable) put(table *keyrange.Table, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tables[table.Service] = table
	close(t.changed)
	t.changed = make(chan struct{})
	open := map[suspicionKey]bool{}
	for instance, s := range table.Suspicions {
		key := suspicionKey{table.Service, instance, s.Number}
		open[key] = true
		if _, known := t.seen[key]; !known {
			t.seen[key] = now
		}
	}
	for key := range t.seen {
		if key.service == table.Service && !open[key] {
			delete(t.seen, key)
		}
	}
}

// confirm extends the lease unless the table suspects the instance.
func (t *rangeTable) confirm(self Self, sent keyrange.Instant, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end = end
	if end > t.intendedAt {
		t.intended = nil
	}
	if table := t.tables[self.Service]; table != nil {
		if _, suspected := table.Suspicions[self.Instance]; suspected {
			return
		}
	}
	t.lease.Confirm(sent)
}

// get returns the table of a service, nil if there is none, and the end up to which it was read.
func (t *rangeTable) get(service string) (*keyrange.Table, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tables[service], t.end
}

// intend notes a table before it is written at the end of the partition.
func (t *rangeTable) intend(table *keyrange.Table, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.intendedAt != end {
		t.intended = nil
	}
	t.intended, t.intendedAt = append(t.intended, table), end
}

// abandon notes that the last intended write surely has no effect.
func (t *rangeTable) abandon(end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.intendedAt == end && len(t.intended) > 0 {
		t.intended = t.intended[:len(t.intended)-1]
	}
}

// undecided reports whether a write may still take effect.
func (t *rangeTable) undecided() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.intended) > 0
}

// grants returns the ranges that may be granted to an owner: those of the table that no write of this node takes away.
func (t *rangeTable) grants(o keyrange.Owner, service string) []keyrange.Range {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []keyrange.Range
	for _, r := range t.tables[service].Grants(o) {
		if !slices.ContainsFunc(t.intended, func(next *keyrange.Table) bool { return !next.Keeps(r) }) {
			kept = append(kept, r)
		}
	}
	return kept
}

// change returns a channel that is closed when a table changes.
func (t *rangeTable) change() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// hold returns how long a grant may last that is given now.
func (t *rangeTable) hold(now keyrange.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Hold(now)
}

// knownEnd returns the end up to which the tables are read.
func (t *rangeTable) knownEnd() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}

// leaseLeft returns how long the lease of the node still holds.
func (t *rangeTable) leaseLeft(now keyrange.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Left(now)
}

// openFor returns how long the node has known of a suspicion.
func (t *rangeTable) openFor(service, instance string, number uint64, now keyrange.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, known := t.seen[suspicionKey{service, instance, number}]
	if !known {
		return 0
	}
	return now.Sub(since)
}

// describe fills in the lease and the ownership of all services.
func (t *rangeTable) describe(s *operator.GatewayState, own string, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.LeaseLeftMS = t.lease.Left(now).Milliseconds()
	for service, table := range t.tables {
		for _, r := range table.Ranges {
			s.Ranges = append(s.Ranges, operator.GatewayRange{Service: service, From: r.From, To: r.To, Fence: r.Fence,
				Instance: r.Owner.Instance, Server: r.Owner.Server, Next: r.Next})
		}
		if service == own {
			s.Suspected = slices.Sorted(maps.Keys(table.Suspicions))
			s.Lost = slices.Sorted(maps.Keys(table.Lost))
		}
	}
}
