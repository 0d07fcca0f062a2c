package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/storeera"
)

// storeEra holds the era of the store that this node has seen. mu has rank lockorder.StoreEra; it is held while the tables
// begin a new era, so that records of an era are applied only after that.
type storeEra struct {
	mu   *lockorder.Mutex
	seen storeera.Seen
	// current is seen.Era, and known is set once an era was seen, for readers without the lock.
	current atomic.Uint64
	known   atomic.Bool
	// rewriteAt is when the member record of this node is to be written again, in Unix nanoseconds; 0 if there was no new era.
	rewriteAt atomic.Int64
}

func newStoreEra() *storeEra { return &storeEra{mu: lockorder.New(lockorder.StoreEra)} }

// observeEra records the era of an answer, or of a request of another node, and begins it on this node if it is new. It
// returns false for an era that is lower than the highest one seen.
func (g *Gateway) observeEra(era uint64) bool {
	g.era.mu.Lock()
	defer g.era.mu.Unlock()
	previous := g.era.seen.Era()
	seen, verdict := g.era.seen.Observe(era)
	g.era.seen = seen
	g.era.current.Store(seen.Era())
	g.era.known.Store(true)
	if era > 0 && (verdict == storeera.Newer || verdict == storeera.First) {
		g.proof.update(func(r *storeera.Revisions) { r.BeginEra(era, g.deps.Now()) })
	}
	if verdict == storeera.Newer {
		g.beginEra(previous, era)
	}
	return verdict != storeera.Older
}

// observePeerEra does the same as observeEra with the era in a message of another node. That node may not have seen an era
// yet, or run an earlier version, so that era 0 says nothing about the store before its first answer.
func (g *Gateway) observePeerEra(era uint64) bool {
	return era == 0 && !g.era.known.Load() || g.observeEra(era)
}

// beginEra ends what this node remembers of an earlier era as the rules of package storeera say, and makes all readers
// start again from the newest records. The caller holds g.era.mu.
func (g *Gateway) beginEra(previous, era uint64) {
	g.events.Emit(eventlog.StoreEraChanged, eventlog.Count("previous", int(previous)), eventlog.Count("era", int(era)))
	delay := rand.N(storeera.RewriteSpread)
	g.era.rewriteAt.Store(time.Now().Add(delay).UnixNano())
	g.routes.beginEra(time.Now())
	g.members.beginEra(time.Now())
	g.ranges.beginEra(era, g.deps.Now())
	for _, s := range g.served {
		s.beginEra(era)
	}
	g.server.forgetStoredDepartures()
	for _, tr := range g.topicReaders {
		tr.interrupt()
	}
	g.reconcileTrigger.FireAfter(delay)
}

// eraStore is a store whose answers of an earlier era count as failed.
type eraStore struct {
	store registry.Store
	g     *Gateway
}

var _ registry.Store = eraStore{}

// Newest implements registry.Store.
func (s eraStore) Newest(ctx context.Context, topic string) (registry.Page, error) {
	return s.do(ctx, registry.Call{Operation: registry.OperationNewest, Topic: topic})
}

// Read implements registry.Store.
func (s eraStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (registry.Page, error) {
	return s.do(ctx, registry.Call{Operation: registry.OperationRead, Topic: topic, From: from, Wait: wait})
}

// Append implements registry.Store.
func (s eraStore) Append(ctx context.Context, topic string, at int64, r registry.Record) (int64, error) {
	page, err := s.do(ctx, registry.Call{Operation: registry.OperationAppend, Topic: topic, At: at, Record: r})
	return page.End, err
}

// do makes the call.
func (s eraStore) do(ctx context.Context, c registry.Call) (registry.Page, error) {
	if err := s.g.sendableInEra(ctx); err != nil {
		return registry.Page{}, err
	}
	page, err := c.Do(ctx, s.store)
	return page, s.g.checkEra(page, err, s.g.observeEra)
}

// checkEra returns the error of an answer of a lower era than the highest one seen, which does not count. Whether the
// store has carried out the call is then unknown. Without a complete answer the error of the call stays. observe is
// observeEra, or observePeerEra for an answer through another node.
func (g *Gateway) checkEra(page registry.Page, err error, observe func(uint64) bool) error {
	kind := problem.KindOf(err)
	answered := err == nil || kind == problem.Conflict || kind == problem.PastRetention
	if !answered && page.Era == 0 || observe(page.Era) || !answered {
		return err
	}
	g.events.Emit(eventlog.StoreAnswerOutdated, eventlog.Count("era", int(page.Era)), eventlog.Count("current", int(g.era.current.Load())))
	return problem.New(problem.Unavailable, "check the platform's store", "the answer has era %d, after one of era %d", page.Era, g.era.current.Load())
}

// begunEraKey is the key of the era in a context in which a write was begun.
type begunEraKey struct{}

// sendableInEra returns a problem.Conflict error for a write that was begun in an earlier era and would be sent now: its offset may be that
// of another record.
func (g *Gateway) sendableInEra(ctx context.Context) error {
	if begun, limited := ctx.Value(begunEraKey{}).(uint64); limited && begun != g.era.current.Load() {
		return problem.New(problem.Conflict, "read the newest records and decide again", "the write was begun in era %d of the store", begun)
	}
	return nil
}

// appendInEra appends a record as decided from records of an era. It is not sent, or sent again, in a later era; if the
// answer shows one, the result is unknown until it is read back.
func (g *Gateway) appendInEra(ctx context.Context, era uint64, topic string, at int64, r registry.Record) (int64, error) {
	ctx = context.WithValue(ctx, begunEraKey{}, era)
	if err := g.sendableInEra(ctx); err != nil {
		return 0, err
	}
	end, err := g.store.Append(ctx, topic, at, r)
	if current := g.era.current.Load(); err == nil && current != era {
		g.events.Emit(eventlog.WriteOfEarlierEra, eventlog.Name("topic", topic), eventlog.Count("era", int(era)), eventlog.Count("current", int(current)))
		return 0, problem.New(problem.Unavailable, "read the newest records and decide again", "the write to %s was begun in era %d and answered in era %d", topic, era, current)
	}
	return end, err
}

// delaysRewrite reports whether the member record of this node is not to be written again yet after a new era.
func (e *storeEra) delaysRewrite(now time.Time) bool { return now.UnixNano() < e.rewriteAt.Load() }

// beginEra keeps the evacuations in force for a while; see storeera.Evacuations.
func (t *routeTable) beginEra(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var inForce []string
	for name := range t.evacuated {
		inForce = append(inForce, name)
	}
	t.kept.BeginEra(inForce, now)
}

// dropUnshown ends the evacuations that the store has not shown for storeera.EvacuationsKept since its last rollback. It
// returns the names of their data centres.
func (t *routeTable) dropUnshown(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := t.kept.Drop(now)
	for _, name := range dropped {
		delete(t.evacuated, name)
	}
	return dropped
}

// beginEra forgets which records the store holds, and keeps the instances for a while whose records it does not show.
func (t *memberTable) beginEra(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readEnd, t.keepMissingUntil = -1, now.Add(storeera.MembersKept)
	for _, p := range t.peers {
		p.storedRecord = registry.Member{}
		p.seenInSnapshot = false
	}
}

// dropMissing removes the instances whose records the store does not show, unless a new era began a short while ago.
func (t *memberTable) dropMissing(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.missingKept || now.Before(t.keepMissingUntil) {
		return
	}
	t.missingKept = false
	t.removeMissing()
}

// beginEra ends the lease of the node, and forgets what was read in an earlier era but the tables, which are a base for
// those of the new era.
func (t *rangeTable) beginEra(era uint64, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(era, now)
}

// advance begins an era unless it is known, and reports whether it is the current one. The caller holds mu.
func (t *rangeTable) advance(era uint64, now keyrange.Instant) bool {
	switch t.ownership.Advance(era, now) {
	case storeera.Newer:
		t.endLease()
		t.readEnd, t.firstEnd = -1, -1
		t.pendingWrites, t.pendingEnd = nil, 0
		t.readInEra = map[string]bool{}
		t.suspicionSeenAt = map[suspicionKey]keyrange.Instant{}
		t.notifyChange()
	case storeera.Older:
		return false
	case storeera.First, storeera.Current:
	}
	return true
}

// mayChange reports whether the table of a service may be changed, and from which fence on new ones are issued.
func (t *rangeTable) mayChange(service string, planner bool, now keyrange.Instant) (firstFence uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	table, lastFence := t.tables[service], uint64(0)
	if table != nil {
		lastFence = table.LastFence
	}
	return storeera.FirstFence(t.ownership.Era()), t.ownership.MayChange(table != nil, lastFence, planner, now)
}

// beginEra forgets the records of an earlier era. Reads of followers wait for those of the new one.
func (s *servedTopic) beginEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetTo(era)
}

// forgetStoredDepartures records that the store may have lost the departures: they are written again before they are
// acknowledged again.
func (t *serverTracker) forgetStoredDepartures() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, d := range t.departures {
		d.stored = false
		t.departures[server] = d
	}
}
