package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// Intervals and timeouts of reconciliation.
const (
	// writeTimeout bounds one write. The next read shows the outcome of a write that timed out.
	writeTimeout = 2 * time.Second
	// initialAssignmentDelay lets the other instances announce themselves before keys are assigned for the first time.
	initialAssignmentDelay = 2500 * time.Millisecond
	// probeInterval and probeTimeout apply to the probes of the successor. A suspicion of a node that is only
	// restarting has no cost: after about 1 s its new process refutes the suspicion and keeps the keys.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// suspectAfterFailures is the number of consecutive failed probes after which an instance is suspected.
	suspectAfterFailures = 3
)

// reconcileState belongs to the reconcile job, which never runs twice at once.
type reconcileState struct {
	announced   registry.Member
	announcedAt time.Time
	// rangesEnd is the end offset after the last write of ranges, which began at rangesWrittenAt. Until the reader has
	// reached it, or writeTimeout has passed, no further change is decided.
	rangesEnd       int64
	rangesWrittenAt time.Time
	// predecessorRemovedAt is when the record of a predecessor was last removed.
	predecessorRemovedAt time.Time
}

// reconcile updates the records of the node and its service to match its current state.
func (g *Gateway) reconcile() {
	g.applyServiceLimits()
	for _, dataCentre := range g.routes.dropUnshown(time.Now()) {
		g.events.Emit(eventlog.EvacuationDropped, eventlog.Name("data_centre_named", dataCentre))
	}
	g.members.dropMissing(time.Now())
	g.announceMember()
	g.removePredecessor()
	g.confirmRevision()
	if !g.serviceKeyed() || !g.members.isSynced() {
		return
	}
	g.reconcileRanges()
}

// announceRetryInterval is the shortest time between two writes of the same member record while the store does not show
// it.
const announceRetryInterval = time.Second

// ownRecord returns the member record of the node as it should be.
func (g *Gateway) ownRecord() registry.Member {
	return registry.Member{Instance: g.self.Instance, Incarnation: g.incarnation.Load(), Address: g.self.Address,
		DataCentre: g.self.DataCentre, Region: g.self.Region, Service: g.self.Service,
		Server: g.server.registryServer(g.deps.Now()), Stopping: g.stoppingAnnounced.Load()}
}

// announceMember writes the member record of the node when it changed, or when the store has a different one.
func (g *Gateway) announceMember() {
	now := time.Now()
	member := g.ownRecord()
	if g.members.storedAs(member) || !g.members.isSynced() || member == g.reconciled.announced && now.Sub(g.reconciled.announcedAt) < announceRetryInterval {
		return
	}
	// The node routes to its own backend server by the current state, even while the store cannot be reached.
	g.members.put(member)
	if member == g.reconciled.announced && g.era.delaysRewrite(now) {
		return
	}
	g.reconciled.announced, g.reconciled.announcedAt = member, now
	record, err := registry.EncodeMember(member)
	if err == nil {
		ctx, cancel := context.WithTimeout(g.ctx, writeTimeout)
		defer cancel()
		_, err = g.appendInEra(ctx, g.era.current.Load(), registry.MembersTopic, registry.AnyOffset, record)
	}
	if err != nil {
		g.events.Emit(eventlog.AnnouncementFailed, eventlog.Cause(err))
	}
}

// removePredecessor removes the record of an instance that had the address of this one. The platform reuses an address
// only some time after the first instance and its backend server have ended, so that nothing of it runs any more. The
// removal is conditional on the end of the last read: the other instance may just have announced itself again.
func (g *Gateway) removePredecessor() {
	era := g.era.current.Load()
	instance, end, found := g.members.predecessor()
	if !found || time.Since(g.reconciled.predecessorRemovedAt) < announceRetryInterval {
		return
	}
	g.reconciled.predecessorRemovedAt = time.Now()
	ctx, cancel := context.WithTimeout(g.ctx, writeTimeout)
	defer cancel()
	if _, err := g.appendInEra(ctx, era, registry.MembersTopic, end, registry.Record{Key: instance}); err != nil {
		// Another record came first, or the store is unavailable; the next run decides again.
		g.events.Emit(eventlog.PredecessorKept, eventlog.Name("peer_instance", instance), eventlog.Cause(err))
		return
	}
	g.events.Emit(eventlog.PredecessorRemoved, eventlog.Name("peer_instance", instance))
}

// ownerCandidates returns the backend servers of the service that may own keys, ordered by instance.
func (g *Gateway) ownerCandidates(table *keyrange.Table) []keyrange.Candidate {
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
			Cold: time.Since(time.UnixMilli(m.Server.StartedUnixMS)) < coldFor})
	}
	slices.SortFunc(found, func(a, b keyrange.Candidate) int { return cmp.Compare(a.Owner.Instance, b.Owner.Instance) })
	return found
}

// weightScale is the weight of a slot on a machine of usual speed. It keeps the precision of the weights, which are
// integers.
const weightScale = 100

// weight returns the share of the keys that a backend server should have: its slots times the square of the speed of
// its machine, since a fast machine runs more requests at once and also answers each of them sooner. Balancing moves
// keys away from a backend server that gets too much load.
func weight(s registry.Server) int {
	if s.WorkPercent <= 0 {
		return max(1, s.Slots*weightScale)
	}
	return max(1, s.Slots*weightScale*100*100/(s.WorkPercent*s.WorkPercent))
}

func ownerOf(m registry.Member) keyrange.Owner {
	return keyrange.Owner{Instance: m.Instance, Server: m.Server.ID, StartedUnixMS: m.Server.StartedUnixMS}
}

// reconcileRanges writes the next range table of the service if a change is due.
func (g *Gateway) reconcileRanges() {
	era := g.era.current.Load()
	table, end := g.ranges.get(g.self.Service)
	if end < 0 || end < g.reconciled.rangesEnd && time.Since(g.reconciled.rangesWrittenAt) < writeTimeout {
		return
	}
	next := &keyrange.Table{Service: g.self.Service, Suspicions: map[string]keyrange.Suspicion{}, Lost: map[string]bool{}}
	if table != nil {
		next = table.Clone()
	}
	planner := g.isPlanner(g.ownerCandidates(next))
	firstFence, mayChange := g.ranges.mayChange(g.self.Service, planner, g.deps.Now())
	if !mayChange {
		// Leases of an earlier era of the store may be in force.
		if table == nil && planner {
			g.confirmNoRanges(era)
		}
		return
	}
	begun := next.BeginEra(firstFence)
	version := g.server.currentVersion()
	unreadable := g.ranges.isUnreadable(g.self.Service)
	if unreadable && table == nil {
		// The table that the record replaced had fences that are not known here. A node that has read it writes it again.
		return
	}
	changed := g.applyDueChanges(next) || unreadable || begun && next.Initialized()
	if !changed && table.Initialized() && !g.ranges.isSettled() {
		g.settleRanges(era, end)
		return
	}
	// A write with an unknown outcome may still take effect until any other write does. The table is then written
	// unchanged to settle it.
	if !changed && !(g.ranges.hasPendingWrites() && time.Since(g.reconciled.rangesWrittenAt) > writeTimeout) {
		return
	}
	g.ranges.addPendingWrite(next, end)
	if g.server.currentVersion() != version {
		// A heartbeat was answered from the current table in the meantime. What it granted must remain valid, so that
		// this table is not written.
		g.ranges.dropPendingWrite(end)
		g.reconcileTrigger.Fire()
		return
	}
	g.writeRanges(era, table, next, end)
	if begun {
		g.events.Emit(eventlog.RangesEraBegun, eventlog.Count("era", int(era)), eventlog.Count("last_fence", int(next.LastFence)))
	}
}

// writeRanges stores a table if nothing was written since end.
func (g *Gateway) writeRanges(era uint64, before, next *keyrange.Table, end int64) {
	record, err := registry.EncodeRanges(next)
	if err == nil {
		ctx, cancel := context.WithTimeout(g.ctx, writeTimeout)
		defer cancel()
		g.reconciled.rangesWrittenAt = time.Now()
		g.reconciled.rangesEnd, err = g.appendInEra(ctx, era, registry.RangesTopic, end, record)
	}
	switch {
	case err == nil:
		g.notifyOwners(next.AffectedInstances(before), g.reconciled.rangesEnd)
		g.events.Emit(eventlog.RangesWritten, eventlog.Count("last_fence", int(next.LastFence)), eventlog.Count("ranges", len(next.Ranges)))
		g.needRecords(registry.RangesTopic, g.reconciled.rangesEnd)
		return
	case problem.KindOf(err) == problem.Conflict:
		// Another node was first, or an earlier write of this node has taken effect. The reader gets that table soon
		// and then triggers reconciliation again.
		g.needRecords(registry.RangesTopic, end+1)
		return
	case problem.KindOf(err) == problem.Overloaded || isNotSent(err):
		g.ranges.dropPendingWrite(end)
		g.events.Emit(eventlog.RangesNotWritten, eventlog.Cause(err))
	default:
		g.events.Emit(eventlog.RangesNotWritten, eventlog.Cause(err))
	}
	g.refreshTopic(registry.RangesTopic)
}

// settleRanges appends a record without a table at the end of the last read, so that no write of an earlier process of
// the node can take effect any more. If another record came first, that one has the same effect.
func (g *Gateway) settleRanges(era uint64, end int64) {
	ctx, cancel := context.WithTimeout(g.ctx, writeTimeout)
	defer cancel()
	g.reconciled.rangesWrittenAt = time.Now()
	var err error
	g.reconciled.rangesEnd, err = g.appendInEra(ctx, era, registry.RangesTopic, end, registry.Record{Key: registry.SettlingKey})
	switch {
	case err == nil:
		g.events.Emit(eventlog.RangesSettled, eventlog.Count("end", int(g.reconciled.rangesEnd)))
		g.needRecords(registry.RangesTopic, g.reconciled.rangesEnd)
	case problem.KindOf(err) == problem.Conflict:
		g.needRecords(registry.RangesTopic, end+1)
	default:
		g.events.Emit(eventlog.RangesNotWritten, eventlog.Cause(err))
		g.refreshTopic(registry.RangesTopic)
	}
}

// notifyOwners tells instances that their ownership of keys has changed. Other nodes read the change within the batch
// delay of their reader, or when a request shows it to them.
func (g *Gateway) notifyOwners(instances []string, end int64) {
	for _, instance := range instances {
		member, known := g.members.get(instance)
		if !known || instance == g.self.Instance {
			continue
		}
		// Without a free worker, or if the call fails, the instance reads the change a little later.
		_ = g.controlPool.Submit(func() {
			ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
			defer cancel()
			if _, load, err := g.deps.Peers.Probe(ctx, member.Address, end); err == nil {
				g.members.recordLoad(instance, load, time.Now())
			}
		})
	}
}

// applyDueChanges makes all due changes to a copy of the table. It returns false if there are none.
func (g *Gateway) applyDueChanges(t *keyrange.Table) bool {
	candidates := g.ownerCandidates(t)
	if !t.Initialized() {
		return time.Since(g.started) > initialAssignmentDelay && g.isPlanner(candidates) && t.Initialize(candidates)
	}
	changed := t.Refute(g.self.Instance)
	changed = g.changeOwnRanges(t, candidates) || changed
	changed = g.claimRanges(t, candidates) || changed
	if suspect := g.suspect.Load(); suspect != nil {
		// The suspicion is kept until the table shows it: the write may lose to another one, and the next write then
		// includes it.
		if t.Suspect(*suspect, g.self.Instance) {
			changed = true
		} else {
			g.suspect.CompareAndSwap(suspect, nil)
		}
	}
	if g.isPlanner(candidates) {
		changed = t.AssignUnowned(candidates) > 0 || changed
		if g.mayStartMoves(changed) {
			changed = t.MoveToNewCandidates(candidates) > 0 || changed
		}
	}
	return changed
}

// minMoveInterval is the shortest time between a write of the ranges and a write that only starts moves. All feeds read each
// write, and a move that starts does not serve a key sooner. Other changes are written at once: keys that have no owner, that
// are handed over or that leave a backend server which drains, restarts, is evacuated or is suspected.
const minMoveInterval = 250 * time.Millisecond

// mayStartMoves reports whether moves may start now. changed is set if the table is written in any case.
func (g *Gateway) mayStartMoves(changed bool) bool {
	return changed || time.Since(g.reconciled.rangesWrittenAt) >= minMoveInterval
}

// startPlannedMoves starts the moves that balance has planned, if they may start now.
func (g *Gateway) startPlannedMoves(t *keyrange.Table, changed bool) bool {
	if !g.mayStartMoves(changed) {
		return false
	}
	started := false
	if moves := g.plannedMoves.Swap(nil); moves != nil {
		for _, m := range *moves {
			started = t.Move(g.self.Instance, m.to, m.span.From, m.span.To) > 0 || started
		}
	}
	return started
}

// isPlanner reports whether this node assigns keys for the whole service: the first of the candidates does. Two nodes
// with different views may both plan; only one of their writes takes effect.
func (g *Gateway) isPlanner(candidates []keyrange.Candidate) bool {
	return len(candidates) > 0 && candidates[0].Owner.Instance == g.self.Instance
}

// changeOwnRanges makes the changes that concern the ranges of this instance.
func (g *Gateway) changeOwnRanges(t *keyrange.Table, candidates []keyrange.Candidate) bool {
	if !t.Owns(g.self.Instance) {
		return false
	}
	now := g.deps.Now()
	owner, running := g.localOwner()
	if !running {
		if !g.server.holdsNoKeys(now, g.started) {
			return false
		}
		g.events.Emit(eventlog.KeysVacated, eventlog.Count("candidates", len(candidates)))
		t.Unassign(g.self.Instance)
		t.AssignUnowned(candidates)
		return true
	}
	changed := t.ReassignToRestarted(owner) > 0
	if g.server.isDraining(g.deps.Now()) || g.routes.isEvacuated(g.self.DataCentre) {
		changed = t.Drain(g.self.Instance, candidates) > 0 || changed
	}
	changed = g.startPlannedMoves(t, changed) || changed
	for _, refused := range g.server.refusedSpans() {
		changed = t.RaiseFence(owner, refused.From, refused.To, refused.Fence) || changed
	}
	t.DropTokens(owner, g.hasTaken)
	for _, r := range g.server.releasableRanges(t.Outgoing(g.self.Instance), now) {
		changed = t.HandOver(g.self.Instance, r.From, r.To, r.HandoverToken, func(instance string) (keyrange.Owner, bool) {
			return g.nextOwner(instance, candidates)
		}) > 0 || changed
	}
	// Those that did not start before go with a change since.
	return g.startPlannedMoves(t, changed) || changed
}

// nextOwner returns the backend server of the instance that keys move to, or another candidate if that instance has
// none any more.
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

// claimRanges reassigns the ranges of suspected instances once their leases and holds must have ended, and those of
// removed instances at once.
func (g *Gateway) claimRanges(t *keyrange.Table, candidates []keyrange.Candidate) bool {
	changed := false
	now := g.deps.Now()
	for _, instance := range t.Owners() {
		if !g.members.isRemoved(instance) {
			continue
		}
		g.events.Emit(eventlog.KeysClaimed, eventlog.Name("from_instance", instance))
		t.Claim(instance)
		t.AssignUnowned(candidates)
		changed = true
	}
	for instance, s := range t.Suspicions {
		if instance == g.self.Instance || g.ranges.suspicionAge(g.self.Service, instance, s.Number, now) < keyrange.ClaimWait {
			continue
		}
		g.events.Emit(eventlog.KeysClaimed, eventlog.Name("from_instance", instance))
		t.Claim(instance)
		t.AssignUnowned(candidates)
		changed = true
	}
	return changed
}

// holdsNoKeys reports whether a local backend server that has ended or sends no heartbeats can no longer hold any key:
// all its grants have expired. A node that has had no heartbeat since its start waits for the heartbeat timeout and the
// longest hold.
func (t *serverTracker) holdsNoKeys(now keyrange.Instant, started time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastHeartbeat.Server == "" {
		return time.Since(started) > heartbeatTimeout+max(keyrange.MaxHold, keyhold.MaxHold)
	}
	return t.holds.HoldsNothing(now)
}

// isDraining reports whether the backend server drains or has ended.
func (t *serverTracker) isDraining(now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastHeartbeat.Draining || t.drainUntil > 0
}

// releasableRanges returns the parts of the outgoing ranges that the backend server no longer holds or works on, with
// the handover tokens that it gave for them.
func (t *serverTracker) releasableRanges(outgoing []keyrange.Range, now keyrange.Instant) []keyhold.Released {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds.Releasable(outgoing, now, func(from, to uint16) bool {
		return slices.ContainsFunc(t.lastHeartbeat.Holds, func(h heartbeat.Held) bool { return h.From <= to && from <= h.To })
	})
}

// reportsHolding reports whether the last heartbeat says that the backend server holds all keys of a range under its
// fence.
func (t *serverTracker) reportsHolding(r keyrange.Range) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.lastHeartbeat.Holds, func(h heartbeat.Held) bool { return h.From <= r.From && r.To <= h.To && h.Fence == r.Fence })
}
