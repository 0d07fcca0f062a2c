package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// Times of upkeep.
const (
	// writeTimeout bounds one write; its outcome shows in the next read.
	writeTimeout = 2 * time.Second
	// foundingDelay lets the other instances announce themselves before keys are given out for the first time.
	foundingDelay = 2500 * time.Millisecond
	// probeInterval and probeTimeout are those of the watch over the next instance. A process starts again in about 1 s,
	// and keeps its keys if it does, so that a suspicion costs nothing then.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// failedProbes in a row make an instance suspected.
	failedProbes = 3
)

// upkeepState belongs to the upkeep job, which never runs twice at once.
type upkeepState struct {
	announced   registry.Member
	announcedAt time.Time
	// rangesEnd is the end that the last write of ranges led to; nothing is decided before it is read.
	rangesEnd int64
	writtenAt time.Time
	// removedAt is when the record of a predecessor was last removed.
	removedAt time.Time
}

// runUpkeep brings the records of the node in step with what it knows.
func (g *Gateway) runUpkeep() {
	g.applySlots()
	g.announce()
	g.removePredecessor()
	if !g.keyed() || !g.members.known() {
		return
	}
	g.maintainRanges()
}

// announceAgain is when a member record that is missing from the store is written again after a write.
const announceAgain = time.Second

// ownRecord returns the member record of the node as it should be.
func (g *Gateway) ownRecord() registry.Member {
	return registry.Member{Instance: g.self.Instance, Incarnation: g.self.Incarnation, Address: g.self.Address,
		DataCentre: g.self.DataCentre, Region: g.self.Region, Service: g.self.Service,
		Server: g.server.record(g.deps.Now()), Stopping: g.leaving.Load()}
}

// announce writes the member record of the node when it changed, or when the store has another one.
func (g *Gateway) announce() {
	now := time.Now()
	own := g.ownRecord()
	if g.members.storedAs(own) || !g.members.known() || own == g.state.announced && now.Sub(g.state.announcedAt) < announceAgain {
		return
	}
	// The node serves its own backend server by what it knows, whether or not the store can be reached.
	g.members.put(own)
	g.state.announced, g.state.announcedAt = own, now
	record, err := registry.EncodeMember(own)
	if err == nil {
		ctx, cancel := context.WithTimeout(g.ctx, writeTimeout)
		defer cancel()
		_, err = g.store.Append(ctx, registry.Members, registry.Anywhere, record)
	}
	if err != nil {
		g.events.Emit(eventlog.AnnouncementFailed, eventlog.Cause(err))
	}
}

// removePredecessor removes the record of an instance that had the address of this one. The platform gives an address to
// another instance only some time after the first one and its backend server have ended, so that nothing of it runs any more.
// The removal holds only if no record came since the last read: the other instance may just have announced itself anew.
func (g *Gateway) removePredecessor() {
	instance, end, found := g.members.predecessor()
	if !found || time.Since(g.state.removedAt) < announceAgain {
		return
	}
	g.state.removedAt = time.Now()
	ctx, cancel := context.WithTimeout(g.ctx, writeTimeout)
	defer cancel()
	if _, err := g.store.Append(ctx, registry.Members, end, registry.Record{Key: instance}); err != nil {
		// Another record came first, or the store is away; the next run decides again.
		g.events.Emit(eventlog.PredecessorKept, eventlog.Name("peer_instance", instance), eventlog.Cause(err))
		return
	}
	g.events.Emit(eventlog.PredecessorRemoved, eventlog.Name("peer_instance", instance))
}

// candidates returns the backend servers of the service that may own keys, in the order of their instances.
func (g *Gateway) candidates(table *keyrange.Table) []keyrange.Candidate {
	var found []keyrange.Candidate
	var coldFor time.Duration
	if routes := g.routes.current(); routes != nil {
		coldFor = routes.Services[g.self.Service].ColdFor
	}
	for _, m := range g.members.ofService(g.self.Service) {
		_, suspected := table.Suspicions[m.Instance]
		if !m.Server.Ready || m.Server.Draining || suspected || table.Lost[m.Instance] || g.routes.isEvacuated(m.DataCentre) {
			continue
		}
		found = append(found, keyrange.Candidate{Owner: ownerOf(m), Weight: weight(m.Server),
			Cold: time.Since(time.UnixMilli(m.Server.Born)) < coldFor})
	}
	slices.SortFunc(found, func(a, b keyrange.Candidate) int { return cmp.Compare(a.Owner.Instance, b.Owner.Instance) })
	return found
}

// weightScale is the weight of a slot on a machine of usual speed.
const weightScale = 100

// weight returns the share of the keys that a backend server should have: its slots by the square of the speed of its
// machine, since a fast one has room for more requests and also answers each of them sooner. Load moves keys away from one
// that has too many.
func weight(s registry.Server) int {
	if s.WorkPercent <= 0 {
		return max(1, s.Slots*weightScale)
	}
	return max(1, s.Slots*weightScale*100*100/(s.WorkPercent*s.WorkPercent))
}

func ownerOf(m registry.Member) keyrange.Owner {
	return keyrange.Owner{Instance: m.Instance, Server: m.Server.ID, Born: m.Server.Born}
}

// maintainRanges writes the next table of the service if anything is to change.
func (g *Gateway) maintainRanges() {
	table, end := g.ranges.get(g.self.Service)
	if end < 0 || end < g.state.rangesEnd && time.Since(g.state.writtenAt) < writeTimeout {
		return
	}
	next := &keyrange.Table{Service: g.self.Service, Suspicions: map[string]keyrange.Suspicion{}, Lost: map[string]bool{}}
	if table != nil {
		next = table.Clone()
	}
	version := g.server.versionNow()
	changed := g.change(next)
	// A write whose outcome is unknown may still take effect, until any other write does.
	if !changed && !(g.ranges.undecided() && time.Since(g.state.writtenAt) > writeTimeout) {
		return
	}
	g.ranges.intend(next, end)
	if g.server.versionNow() != version {
		// A heartbeat was answered by the present table meanwhile; what it granted must stand.
		g.ranges.abandon(end)
		g.upkeep.Fire()
		return
	}
	g.write(table, next, end)
}

// write stores a table if nothing was written since the end.
func (g *Gateway) write(before, next *keyrange.Table, end int64) {
	record, err := registry.EncodeRanges(next)
	if err == nil {
		ctx, cancel := context.WithTimeout(g.ctx, writeTimeout)
		defer cancel()
		g.state.writtenAt = time.Now()
		g.state.rangesEnd, err = g.store.Append(ctx, registry.Ranges, end, record)
	}
	switch {
	case err == nil:
		g.notify(next.Concerned(before), g.state.rangesEnd)
		g.events.Emit(eventlog.RangesWritten, eventlog.Count("last_fence", int(next.LastFence)), eventlog.Count("ranges", len(next.Ranges)))
	case problem.KindOf(err) == problem.Conflict:
		// Another node was first, or an earlier write of this one has taken effect. The reader has its table soon, and upkeep runs again then.
	case problem.KindOf(err) == problem.Overloaded || notSent(err):
		g.ranges.abandon(end)
		g.events.Emit(eventlog.RangesNotWritten, eventlog.Cause(err))
	default:
		g.events.Emit(eventlog.RangesNotWritten, eventlog.Cause(err))
	}
	g.readNow(registry.Ranges)
}

// notify tells instances that the ownership of keys has changed for them. Other nodes read the change within the rest of
// their reader, or when a request meets it.
func (g *Gateway) notify(instances []string, end int64) {
	for _, instance := range instances {
		member, known := g.members.get(instance)
		if !known || instance == g.self.Instance {
			continue
		}
		// Without a free worker, or if the call fails, the instance reads the change a little later.
		_ = g.control.Submit(func() {
			ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
			defer cancel()
			if _, load, err := g.deps.Peers.Probe(ctx, member.Address, end); err == nil {
				g.members.reported(instance, load, time.Now())
			}
		})
	}
}

// change makes all due changes to a copy of the table; it returns false if there are none.
func (g *Gateway) change(t *keyrange.Table) bool {
	candidates := g.candidates(t)
	if !t.Founded() {
		return time.Since(g.started) > foundingDelay && g.plans(candidates) && t.Found(candidates)
	}
	changed := t.Refute(g.self.Instance)
	changed = g.changeOwn(t, candidates) || changed
	changed = g.claim(t, candidates) || changed
	if suspect := g.suspect.Load(); suspect != nil {
		// A write that comes second leaves the suspicion to the next one; it is dropped when the table shows it.
		if t.Suspect(*suspect, g.self.Instance) {
			changed = true
		} else {
			g.suspect.CompareAndSwap(suspect, nil)
		}
	}
	if g.plans(candidates) {
		changed = t.Fill(candidates) > 0 || changed
		changed = t.Welcome(candidates) > 0 || changed
	}
	return changed
}

// plans reports whether the node is the one that plans for all: the first of the candidates. Two nodes with different
// views may both plan; only one of their writes takes effect.
func (g *Gateway) plans(candidates []keyrange.Candidate) bool {
	return len(candidates) > 0 && candidates[0].Owner.Instance == g.self.Instance
}

// changeOwn makes the changes that concern the ranges of the instance.
func (g *Gateway) changeOwn(t *keyrange.Table, candidates []keyrange.Candidate) bool {
	if !t.Owns(g.self.Instance) {
		return false
	}
	now := g.deps.Now()
	own, alive := g.owner()
	if !alive {
		if !g.server.lost(now, g.started) {
			return false
		}
		g.events.Emit(eventlog.KeysVacated, eventlog.Count("candidates", len(candidates)))
		t.Vacate(g.self.Instance)
		t.Fill(candidates)
		return true
	}
	changed := t.Adopt(own) > 0
	if g.server.leaving(g.deps.Now()) || g.routes.isEvacuated(g.self.DataCentre) {
		changed = t.Leave(g.self.Instance, candidates) > 0 || changed
	}
	if moves := g.offload.Swap(nil); moves != nil {
		for _, m := range *moves {
			changed = t.Move(g.self.Instance, m.to, m.span.From, m.span.To) > 0 || changed
		}
	}
	t.DropTokens(own, g.server.taken)
	for _, r := range g.server.freed(t.Leaving(g.self.Instance), now) {
		changed = t.HandOver(g.self.Instance, r.From, r.To, r.Handover, func(instance string) (keyrange.Owner, bool) {
			return g.nextOwner(instance, candidates)
		}) > 0 || changed
	}
	return changed
}

// nextOwner returns the backend server of the instance that keys move to, or another one if it has none any more.
func (g *Gateway) nextOwner(instance string, candidates []keyrange.Candidate) (keyrange.Owner, bool) {
	for _, c := range candidates {
		if c.Owner.Instance == instance {
			return c.Owner, true
		}
	}
	for _, c := range candidates {
		if c.Owner.Instance != g.self.Instance {
			return c.Owner, true
		}
	}
	return keyrange.Owner{}, false
}

// claim gives away the ranges of suspected instances once their leases and holds have surely ended, and those of removed
// instances at once.
func (g *Gateway) claim(t *keyrange.Table, candidates []keyrange.Candidate) bool {
	changed := false
	now := g.deps.Now()
	for _, instance := range t.Owners() {
		if !g.members.isRemoved(instance) {
			continue
		}
		g.events.Emit(eventlog.KeysClaimed, eventlog.Name("from_instance", instance))
		t.Claim(instance)
		t.Fill(candidates)
		changed = true
	}
	for instance, s := range t.Suspicions {
		if instance == g.self.Instance || g.ranges.openFor(g.self.Service, instance, s.Number, now) < keyrange.ClaimWait {
			continue
		}
		g.events.Emit(eventlog.KeysClaimed, eventlog.Name("from_instance", instance))
		t.Claim(instance)
		t.Fill(candidates)
		changed = true
	}
	return changed
}

// lost reports whether the backend server beside the node has surely ended or lost its keys: it ended, or is silent, and
// its last grant is over. A node that has heard no heartbeat since its start waits for the longest hold.
func (t *serverTable) lost(now keyrange.Instant, started time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.beat.Server == "" {
		return time.Since(started) > silence+keyrange.HoldTime
	}
	return !slices.ContainsFunc(t.outstanding, func(g outstandingGrant) bool { return now < g.ends })
}

// leaving reports whether the backend server drains.
func (t *serverTable) leaving(now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.beat.Draining || t.drainUntil > 0
}

// freed returns the parts of the leaving ranges that the backend server no longer holds or works on, with the tokens that
// that it gave for them. What it may still hold by an earlier reply does not count.
func (t *serverTable) freed(leaving []keyrange.Range, now keyrange.Instant) []heartbeat.Freed {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A token is kept until the table shows that its range has left, since the write that passes it on may fail.
	t.released = slices.DeleteFunc(t.released, func(f heartbeat.Freed) bool {
		return !slices.ContainsFunc(leaving, func(r keyrange.Range) bool { return r.Overlaps(f.From, f.To) })
	})
	var free []heartbeat.Freed
	for _, f := range t.released {
		for _, r := range leaving {
			if r.Overlaps(f.From, f.To) && !t.busy(max(r.From, f.From), min(r.To, f.To), now) {
				free = append(free, heartbeat.Freed{From: max(r.From, f.From), To: min(r.To, f.To), Handover: f.Handover})
			}
		}
	}
	for _, r := range leaving {
		if !t.busy(r.From, r.To, now) && !covered(r, free) {
			free = append(free, heartbeat.Freed{From: r.From, To: r.To})
		}
	}
	return free
}

// taken reports whether the backend server has told that it holds all keys of a range under its fence.
func (t *serverTable) taken(r keyrange.Range) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.beat.Holds, func(h heartbeat.Held) bool { return h.From <= r.From && r.To <= h.To && h.Fence == r.Fence })
}

// covered reports whether any of the freed ranges lies in r; the rest of r follows once the table has changed.
func covered(r keyrange.Range, free []heartbeat.Freed) bool {
	return slices.ContainsFunc(free, func(f heartbeat.Freed) bool { return r.Overlaps(f.From, f.To) })
}

// busy reports whether the backend server may hold a key of the span: a reply granted it that may still last, or the last
// heartbeat told of it. The caller holds mu.
func (t *serverTable) busy(from, to uint16, now keyrange.Instant) bool {
	if slices.ContainsFunc(t.outstanding, func(g outstandingGrant) bool { return now < g.ends && g.Overlaps(from, to) }) {
		return true
	}
	return slices.ContainsFunc(t.beat.Holds, func(h heartbeat.Held) bool { return h.From <= to && from <= h.To })
}

// watchState belongs to the watch job, which never runs twice at once.
type watchState struct {
	watched  string
	failures int
}

// watch probes the next instance of the service, and has it suspected when it does not answer.
func (g *Gateway) watch() {
	if !g.keyed() {
		return
	}
	table, _ := g.ranges.get(g.self.Service)
	next, ok := g.successor(table)
	if !ok {
		return
	}
	if next.Instance != g.watched.watched {
		g.watched = watchState{watched: next.Instance}
	}
	err := g.probe(next)
	// One that is silent is asked again at once: its process is not just starting again.
	for err != nil && g.watched.failures < failedProbes && problem.KindOf(err) != problem.Invalid && g.silent(err) {
		err = g.probe(next)
	}
	if err == nil {
		g.suspect.Store(nil)
		return
	}
	if g.watched.failures < failedProbes {
		return
	}
	g.watched.failures = 0
	g.events.Emit(eventlog.OwnerSuspected, eventlog.Name("peer_instance", next.Instance), eventlog.Cause(err))
	g.suspect.Store(&next.Instance)
	g.upkeep.Fire()
}

// probe asks an instance whether it runs, and counts its failures in a row.
func (g *Gateway) probe(m registry.Member) error {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	instance, load, err := g.deps.Peers.Probe(ctx, m.Address, g.ranges.knownEnd())
	if err == nil && instance != m.Instance {
		err = problem.New(problem.Invalid, "wait until the record of the instance is removed", "%s answers at the address of %s", instance, m.Instance)
	}
	if err != nil {
		g.watched.failures++
		return err
	}
	g.watched.failures = 0
	g.members.reported(instance, load, time.Now())
	return nil
}

// silent reports whether a probe failed by its timeout, and not by an answer of the other machine.
func (g *Gateway) silent(err error) bool {
	var timeout interface{ Timeout() bool }
	return g.ctx.Err() == nil && (errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout())
}

// successor returns the member of the service that follows the node in the ring of names and is neither suspected nor lost.
func (g *Gateway) successor(table *keyrange.Table) (registry.Member, bool) {
	if !table.Founded() {
		return registry.Member{}, false
	}
	var others []registry.Member
	for _, m := range g.members.ofService(g.self.Service) {
		_, suspected := table.Suspicions[m.Instance]
		if m.Instance != g.self.Instance && !suspected && !table.Lost[m.Instance] && (m.Server.Ready || table.Owns(m.Instance)) {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return registry.Member{}, false
	}
	slices.SortFunc(others, func(a, b registry.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, m := range others {
		if m.Instance > g.self.Instance {
			return m, true
		}
	}
	return others[0], true
}
