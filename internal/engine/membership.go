package engine

import (
	"slices"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/ledger"
	"heatherreel/internal/placement"
	"heatherreel/internal/serving"
)

// Delays and purposes of membership proposals.
const (
	// joinRetryDelay is the delay before the next attempt after a rejected join or witness set, and before a node whose
	// incarnation has ended joins again.
	joinRetryDelay = 100 * time.Millisecond
	// membershipInterval is how often the witness set is checked without another trigger.
	membershipInterval = time.Second
	// replaceWitnessAfter is how long a witness may leave renewals unanswered before it is replaced.
	replaceWitnessAfter = 3 * time.Second
	// avoidWitnessFor is how long a replaced witness is not chosen again. It receives no more renewals, so nothing
	// shows whether it would answer; without this delay it would be chosen again immediately.
	avoidWitnessFor = 30 * time.Second

	purposeJoin      = purpose("join")
	purposeWitnesses = purpose("witnesses")
	purposeDrain     = purpose("drain")
	purposeLeave     = purpose("leave")
)

// stepMembership joins. After that it renews a lease without witnesses through the log, keeps the witness set complete,
// and declares whether this node accepts new slices.
func (e *Engine) stepMembership() {
	e.membershipTrigger.FireAfter(membershipInterval)
	self := e.incarnation()
	if self == 0 {
		e.join()
		return
	}
	e.applyBackendLimits()
	e.renewThroughLog(self)
	e.replaceFailedWitnesses(self)
	e.proposeDrainState(self)
}

// join appends a join record if a backend server has announced itself.
func (e *Engine) join() {
	a, acceptsSlices := e.backend.latestAnnouncement()
	if !acceptsSlices || e.stopping.Load() {
		return
	}
	var witnesses []ledger.Incarnation
	ready, regionMismatch := false, false
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		ready = e.ledger.replay.Complete() && c != nil && !e.logUnreachable.Load()
		if ready && !e.regionMatches(c) {
			ready, regionMismatch = false, true
		}
		witnesses = placement.ChooseWitnesses(s, e.placementSelf(0), nil)
	})
	if regionMismatch {
		e.deps.Events.Emit(eventlog.JoinRejected, eventlog.ConstantText("cause", "region differs from the configuration"))
	}
	if !ready {
		return
	}
	joinSent := time.Now()
	record := &ledger.Record{Kind: ledger.KindJoin, ID: newRecordID(), Join: &ledger.Join{
		Instance:   e.options.Self.Instance,
		DataCentre: e.options.Self.DataCentre,
		Region:     e.options.Self.Region,
		Addresses:  e.options.Self.Addresses,
		Service:    a.Service,
		Weight:     a.Weight,
		Witnesses:  witnesses,
	}}
	e.propose(&proposal{
		purpose: purposeJoin,
		record:  record,
		// The incarnation is checked again here: the job that proposes may have read it before an earlier join was
		// applied. A second join would leave an incarnation that owns slices and serves none.
		outdated: func(s *ledger.State) bool { return e.incarnation() != 0 || !allMembers(s, witnesses) },
		applyOutcome: func(offset ledger.Offset, rejection ledger.Rejection) {
			if rejection == ledger.Accepted {
				e.startIncarnation(offset, record.Join, joinSent)
			}
		},
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countRecordOutcome(record.Kind, offset, rejection)
			e.handleJoinOutcome(offset, rejection, record.Join)
		},
	})
}

// regionMatches reports whether the configuration places this node's data centre in the region that the node's settings
// name. On a mismatch the node would own keys outside of the home regions to which they are confined.
func (e *Engine) regionMatches(c *config.Configuration) bool {
	region, ok := c.RegionOf(e.options.Self.DataCentre)
	return ok && region == e.options.Self.Region
}

// allMembers reports whether all incarnations are members.
func allMembers(s *ledger.State, list []ledger.Incarnation) bool {
	for _, i := range list {
		if s.Members[i] == nil {
			return false
		}
	}
	return true
}

// placementSelf describes this node for the choice of witnesses.
func (e *Engine) placementSelf(self ledger.Incarnation) placement.Self {
	return placement.Self{
		Incarnation: self,
		Instance:    e.options.Self.Instance,
		DataCentre:  e.options.Self.DataCentre,
		Region:      e.options.Self.Region,
	}
}

// startIncarnation starts the lease of the new incarnation. It runs while the join record is replayed, before any later
// record.
func (e *Engine) startIncarnation(offset ledger.Offset, j *ledger.Join, joinSent time.Time) {
	e.leases.join(ledger.Incarnation(offset), ledger.WitnessSet{Version: offset, Members: j.Witnesses}, joinSent)
	e.observeAllWitnessSets(time.Now())
}

// handleJoinOutcome reports the outcome of a join record.
func (e *Engine) handleJoinOutcome(offset ledger.Offset, rejection ledger.Rejection, j *ledger.Join) {
	if rejection != ledger.Accepted {
		e.deps.Events.Emit(eventlog.JoinRejected, eventlog.Rejection(rejection))
		e.membershipTrigger.FireAfter(joinRetryDelay)
		return
	}
	e.deps.Events.Emit(eventlog.Joined, eventlog.Incarnation(ledger.Incarnation(offset)), eventlog.Witnesses(j.Witnesses))
	e.leaseTrigger.Fire()
}

// stopIncarnation stops serving and joins again. It runs while a record is replayed: the end of this incarnation, or
// the configuration by which operators declare it lost.
func (e *Engine) stopIncarnation() {
	self := e.incarnation()
	e.leases.endIncarnation()
	e.serving.withLock(func(t *serving.Table) { t.DrainAll() })
	e.deps.Events.Emit(eventlog.EndedByOthers, eventlog.Incarnation(self))
	e.grantTrigger.Fire()
	e.membershipTrigger.FireAfter(joinRetryDelay)
}

// stopIfDeclaredLost stops this incarnation if operators have declared it lost.
func (e *Engine) stopIfDeclaredLost() {
	self := e.incarnation()
	lost := false
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		lost = self != 0 && declaredLost(c, e.options.Self.DataCentre, self)
	})
	if lost {
		e.stopIncarnation()
	}
}

// renewThroughLog renews the lease of a node without witnesses.
func (e *Engine) renewThroughLog(self ledger.Incarnation) {
	record := &ledger.Record{Kind: ledger.KindRenewed, ID: newRecordID()}
	now := time.Now()
	t := e.leases
	t.mu.Lock()
	due := t.holder != nil && t.self == self && t.holder.LogRenewalDue(now)
	var base ledger.Offset
	if due {
		base = t.holder.Version()
	}
	t.mu.Unlock()
	if !due || e.proposals.isOpen(purposeWitnesses) {
		return
	}
	record.Renewed = &ledger.Renewed{Incarnation: self, Base: base}
	e.proposeWitnessSet(self, record, base, nil, now)
}

// proposeWitnessSet proposes a change or renewal of this node's witness set. The holder learns of it first, so that
// until the outcome is read it owns only with majorities of both sets.
func (e *Engine) proposeWitnessSet(
	self ledger.Incarnation, record *ledger.Record, base ledger.Offset, members []ledger.Incarnation, now time.Time,
) {
	t := e.leases
	t.mu.Lock()
	proposed := t.holder != nil && t.self == self && t.holder.Propose(record.ID, members, now)
	t.mu.Unlock()
	if !proposed {
		return
	}
	e.propose(&proposal{
		purpose: purposeWitnesses,
		record:  record,
		outdated: func(s *ledger.State) bool {
			m := s.Members[self]
			return m == nil || m.WitnessSet.Version != base
		},
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countRecordOutcome(record.Kind, offset, rejection)
			if rejection == ledger.Accepted && record.Kind == ledger.KindWitnesses {
				e.deps.Events.Emit(eventlog.WitnessSetChanged, eventlog.Witnesses(members))
			}
			e.handleWitnessSetOutcome(record.ID, rejection)
		},
	})
}

// handleWitnessSetOutcome drops a proposed set that was rejected. An accepted set was applied when its record was
// replayed.
func (e *Engine) handleWitnessSetOutcome(recordID string, rejection ledger.Rejection) {
	if rejection == ledger.Accepted {
		e.leaseTrigger.Fire()
		// A renewal through the log extended the lease, whose end the grants carry.
		e.grantTrigger.Fire()
		return
	}
	e.leases.mu.Lock()
	if e.leases.holder != nil {
		e.leases.holder.ProposalRejected(recordID)
	}
	e.leases.mu.Unlock()
	e.membershipTrigger.FireAfter(joinRetryDelay)
}

// replaceFailedWitnesses replaces witnesses that ended or do not answer.
func (e *Engine) replaceFailedWitnesses(self ledger.Incarnation) {
	if e.proposals.isOpen(purposeWitnesses) {
		return
	}
	now := time.Now()
	avoid := e.witnessesToAvoid(now)
	var next []ledger.Incarnation
	var base ledger.Offset
	changed := false
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		m := s.Members[self]
		if m == nil {
			return
		}
		base = m.WitnessSet.Version
		next, changed = placement.ReplaceWitnesses(s, e.placementSelf(self), m.WitnessSet.Members, avoid)
	})
	if !changed {
		return
	}
	e.proposeWitnessSet(self, &ledger.Record{Kind: ledger.KindWitnesses, ID: newRecordID(), Witnesses: &ledger.Witnesses{
		Incarnation: self, Base: base, Witnesses: next,
	}}, base, next, now)
}

// witnessesToAvoid returns the witnesses that do not answer, or did not answer recently.
func (e *Engine) witnessesToAvoid(now time.Time) map[ledger.Incarnation]bool {
	t := e.leases
	t.mu.Lock()
	defer t.mu.Unlock()
	avoid := map[ledger.Incarnation]bool{}
	if t.holder == nil {
		return avoid
	}
	t.trackUnresponsiveWitnesses(now)
	for w, until := range t.avoidUntil {
		if now.After(until) {
			delete(t.avoidUntil, w)
			continue
		}
		avoid[w] = true
	}
	return avoid
}

// trackUnresponsiveWitnesses updates which witnesses do not answer. The caller holds mu.
func (t *leaseTable) trackUnresponsiveWitnesses(now time.Time) {
	unresponsive := t.holder.AppendStaleWitnesses(nil, now)
	for _, w := range unresponsive {
		if t.unresponsiveSince[w].IsZero() {
			t.unresponsiveSince[w] = now
		}
	}
	for w, since := range t.unresponsiveSince {
		switch {
		case !slices.Contains(unresponsive, w):
			delete(t.unresponsiveSince, w)
		case now.Sub(since) >= replaceWitnessAfter:
			t.avoidUntil[w] = now.Add(avoidWitnessFor)
		}
	}
}

// shouldDrain reports whether this node should own nothing: it is stopping, its backend server accepts no new slices,
// or operators took its data centre out.
func (e *Engine) shouldDrain() bool {
	if _, acceptsSlices := e.backend.latestAnnouncement(); !acceptsSlices || e.stopping.Load() {
		return true
	}
	takenOut := false
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		takenOut = c != nil && c.TakenOut(e.options.Self.DataCentre)
	})
	return takenOut
}

// proposeDrainState records in the log whether this node accepts new slices, so that no planner assigns it any while it
// drains.
func (e *Engine) proposeDrainState(self ledger.Incarnation) {
	draining := e.shouldDrain()
	m := e.ledger.member(self)
	if m == nil || m.Draining == draining {
		return
	}
	record := &ledger.Record{Kind: ledger.KindDrain, ID: newRecordID(), Drain: &ledger.Drain{
		Incarnation: self, Draining: draining,
	}}
	e.propose(&proposal{
		purpose:  purposeDrain,
		record:   record,
		outdated: func(s *ledger.State) bool { return s.Members[self] == nil },
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countRecordOutcome(record.Kind, offset, rejection)
			e.planningTrigger.Fire()
		},
	})
}
