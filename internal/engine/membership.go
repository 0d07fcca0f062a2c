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

// Timing of membership.
const (
	// joinRetry is the pause before another join after one that did not take effect.
	joinRetry = 100 * time.Millisecond
	// membershipInterval is how often the witness set is looked at without a cause.
	membershipInterval = time.Second
	// staleWitnessAfter is how long a witness may give no answer before it is replaced.
	staleWitnessAfter = 3 * time.Second
	// avoidWitnessFor is how long such a witness is not chosen again. A replaced witness is asked no more, so that
	// nothing shows whether it answers; without this time it would be chosen again at once.
	avoidWitnessFor = 30 * time.Second

	purposeJoin      = purpose("join")
	purposeWitnesses = purpose("witnesses")
	purposeDrain     = purpose("drain")
	purposeLeave     = purpose("leave")
)

// stepMembership joins, keeps the witness set complete, and states whether this node takes new slices.
func (e *Engine) stepMembership() {
	e.membership.FireAfter(membershipInterval)
	self := e.incarnation()
	if self == 0 {
		e.join()
		return
	}
	e.adoptLimits()
	e.renewThroughLog(self)
	e.keepWitnesses(self)
	e.stateDraining(self)
}

// join appends a join record if a backend server has announced itself.
func (e *Engine) join() {
	a, usable := e.backend.announced()
	if !usable || e.stopping.Load() {
		return
	}
	var witnesses []ledger.Incarnation
	ready, misplaced := false, false
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		ready = e.ledger.replay.Complete() && c != nil && !e.logDown.Load()
		if ready && !e.placedRight(c) {
			ready, misplaced = false, true
		}
		witnesses = placement.ChooseWitnesses(s, e.placementSelf(0), nil)
	})
	if misplaced {
		e.deps.Events.Emit(eventlog.JoinRejected, eventlog.Word("cause", "region differs from the configuration"))
	}
	if !ready {
		return
	}
	sent := time.Now()
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
		// adopted. A second join would leave an incarnation that owns slices and serves none.
		outdated: func(s *ledger.State) bool { return e.incarnation() != 0 || !allAlive(s, witnesses) },
		adopt: func(offset ledger.Offset, rejection ledger.Rejection) {
			if rejection == ledger.Accepted {
				e.adoptIncarnation(offset, record.Join, sent)
			}
		},
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countOutcome(record.Kind, offset, rejection)
			e.joinDecided(offset, rejection, record.Join)
		},
	})
}

// placedRight reports whether the configuration places this node's data centre in the region that its settings name. A
// node that is not would own confined keys outside of their home regions.
func (e *Engine) placedRight(c *config.Configuration) bool {
	region, ok := c.RegionOf(e.options.Self.DataCentre)
	return ok && region == e.options.Self.Region
}

// allAlive reports whether all incarnations are members.
func allAlive(s *ledger.State, list []ledger.Incarnation) bool {
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

// adoptIncarnation starts the lease of the new incarnation. It runs while the join record is replayed, before any later
// record.
func (e *Engine) adoptIncarnation(offset ledger.Offset, j *ledger.Join, sent time.Time) {
	e.leases.join(ledger.Incarnation(offset), ledger.WitnessSet{Version: offset, Members: j.Witnesses}, sent)
	e.relearnLeases(time.Now())
}

// joinDecided reports the outcome of a join record.
func (e *Engine) joinDecided(offset ledger.Offset, rejection ledger.Rejection, j *ledger.Join) {
	if rejection != ledger.Accepted {
		e.deps.Events.Emit(eventlog.JoinRejected, eventlog.Rejection(rejection))
		e.membership.FireAfter(joinRetry)
		return
	}
	e.deps.Events.Emit(eventlog.Joined, eventlog.Incarnation(ledger.Incarnation(offset)), eventlog.Witnesses(j.Witnesses))
	e.leaseStep.Fire()
}

// stopIncarnation stops serving and joins again. It runs while the end of this incarnation is replayed, or the
// configuration by which operators state that it is gone.
func (e *Engine) stopIncarnation() {
	self := e.incarnation()
	e.leases.end()
	e.serving.with(func(t *serving.Table) { t.Clear() })
	e.deps.Events.Emit(eventlog.EndedByOthers, eventlog.Incarnation(self))
	e.granting.Fire()
	e.membership.FireAfter(joinRetry)
}

// stopIfStatedLost stops this incarnation if operators state that it is gone.
func (e *Engine) stopIfStatedLost() {
	self := e.incarnation()
	lost := false
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		lost = self != 0 && statedLost(c, e.options.Self.DataCentre, self)
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
	e.proposeSet(self, record, base, nil, now)
}

// proposeSet proposes a change or renewal of the own witness set. The holder learns of it first, so that it owns only
// with majorities of both sets until the outcome is read.
func (e *Engine) proposeSet(
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
			e.countOutcome(record.Kind, offset, rejection)
			if rejection == ledger.Accepted && record.Kind == ledger.KindWitnesses {
				e.deps.Events.Emit(eventlog.WitnessSetChanged, eventlog.Witnesses(members))
			}
			e.setDecided(record.ID, rejection)
		},
	})
}

// setDecided drops a set that did not come into force. One that did was adopted when its record was replayed.
func (e *Engine) setDecided(recordID string, rejection ledger.Rejection) {
	if rejection == ledger.Accepted {
		e.leaseStep.Fire()
		// A renewal through the log moved the end of the lease, which the grants carry.
		e.granting.Fire()
		return
	}
	e.leases.mu.Lock()
	if e.leases.holder != nil {
		e.leases.holder.Void(recordID)
	}
	e.leases.mu.Unlock()
	e.membership.FireAfter(joinRetry)
}

// keepWitnesses replaces witnesses that ended or give no answer.
func (e *Engine) keepWitnesses(self ledger.Incarnation) {
	if e.proposals.isOpen(purposeWitnesses) {
		return
	}
	now := time.Now()
	stale := e.staleWitnesses(now)
	var next []ledger.Incarnation
	var base ledger.Offset
	changed := false
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		m := s.Members[self]
		if m == nil {
			return
		}
		base = m.WitnessSet.Version
		next, changed = placement.ReplaceWitnesses(s, e.placementSelf(self), m.WitnessSet.Members, stale)
	})
	if !changed {
		return
	}
	e.proposeSet(self, &ledger.Record{Kind: ledger.KindWitnesses, ID: newRecordID(), Witnesses: &ledger.Witnesses{
		Incarnation: self, Base: base, Witnesses: next,
	}}, base, next, now)
}

// staleWitnesses returns the witnesses to avoid: those that have given no answer for a while, now or recently.
func (e *Engine) staleWitnesses(now time.Time) map[ledger.Incarnation]bool {
	t := e.leases
	t.mu.Lock()
	defer t.mu.Unlock()
	avoid := map[ledger.Incarnation]bool{}
	if t.holder == nil {
		return avoid
	}
	t.noteStale(now)
	for w, until := range t.avoidUntil {
		if now.After(until) {
			delete(t.avoidUntil, w)
			continue
		}
		avoid[w] = true
	}
	return avoid
}

// noteStale keeps track of witnesses that give no answer. The caller holds mu.
func (t *leaseTable) noteStale(now time.Time) {
	silent := t.holder.AppendStale(nil, now)
	for _, w := range silent {
		if t.staleSince[w].IsZero() {
			t.staleSince[w] = now
		}
	}
	for w, since := range t.staleSince {
		switch {
		case !slices.Contains(silent, w):
			delete(t.staleSince, w)
		case now.Sub(since) >= staleWitnessAfter:
			t.avoidUntil[w] = now.Add(avoidWitnessFor)
		}
	}
}

// drains reports whether this node should own nothing: it stops, its backend server does, or operators took its data
// centre out.
func (e *Engine) drains() bool {
	if _, usable := e.backend.announced(); !usable || e.stopping.Load() {
		return true
	}
	out := false
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		out = c != nil && c.TakenOut(e.options.Self.DataCentre)
	})
	return out
}

// stateDraining states in the log whether this node takes new slices, so that no planner gives it any while it drains.
func (e *Engine) stateDraining(self ledger.Incarnation) {
	draining := e.drains()
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
			e.countOutcome(record.Kind, offset, rejection)
			e.planning.Fire()
		},
	})
}
