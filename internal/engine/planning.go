package engine

import (
	"fmt"
	"slices"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/placement"
)

// Timing of planning.
const (
	// planStagger is the delay of each next planner of a group, so that normally one appends.
	planStagger = 150 * time.Millisecond
	// firstAssignDelay gives nodes that start together the time to join before the slices of a new group are assigned;
	// slices that went to the first node alone would all have to move.
	firstAssignDelay = 500 * time.Millisecond
	// rebalanceDelay is how long the members of a group must have been unchanged before slices move.
	rebalanceDelay = time.Second
	// maxDrainSlices bounds the slices of one move record of a draining node.
	maxDrainSlices = 64
)

// policies returns the placement policy of a group under a configuration.
func policies(s *ledger.State, c *config.Configuration) placement.Policies {
	draining := map[ledger.Incarnation]bool{}
	for i, m := range s.Members {
		if m.Draining {
			draining[i] = true
		}
	}
	takenOut := map[string]bool{}
	if c != nil {
		for _, region := range c.Regions() {
			for _, dataCentre := range c.DataCentres(region) {
				takenOut[dataCentre] = c.TakenOut(dataCentre)
			}
		}
	}
	return func(g keyspace.Group) placement.Policy {
		p := placement.Policy{TakenOut: takenOut, Draining: draining}
		if c != nil {
			p.SliceCount = c.ResolveBackend(g.Service, "").Slices
		}
		return p
	}
}

// plan is what this node would append for a group.
type plan struct {
	assign *ledger.Assign
	moves  []ledger.Move
	// rank is this node's place among the planners of the group; ok is false if it is not one.
	rank int
	ok   bool
	// isNew tells that the group has no slices yet.
	isNew bool
}

// stepPlanning plans for the groups of this node's service.
func (e *Engine) stepPlanning() {
	self := e.incarnation()
	if self == 0 {
		return
	}
	if e.drains() {
		e.drainSlices(self)
	}
	e.endLost(self)
	for _, id := range e.ownGroups() {
		e.planGroup(self, id)
	}
}

// ownGroups returns the groups of this node's service: those that the configuration needs and those that exist.
func (e *Engine) ownGroups() []keyspace.Group {
	service := e.backend.service()
	var groups []keyspace.Group
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		if c == nil {
			return
		}
		for _, home := range c.Homes(service) {
			groups = append(groups, keyspace.Group{Service: service, Home: home})
		}
		for id := range s.Groups {
			if id.Service == service && !slices.Contains(groups, id) {
				groups = append(groups, id)
			}
		}
	})
	return groups
}

// makePlan plans for a group from the present state.
func (e *Engine) makePlan(self ledger.Incarnation, id keyspace.Group) plan {
	var p plan
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		p.rank, p.ok = placement.PlannerRank(s, id, self)
		if !p.ok {
			return
		}
		policy := policies(s, c)(id)
		p.isNew = s.Groups[id] == nil
		p.assign = placement.PlanAssign(s, id, policy)
		if p.assign == nil && p.rank == 0 {
			p.moves = placement.PlanRebalance(s, id, policy, placement.DefaultRebalance)
		}
	})
	return p
}

// planGroup arranges for the plan of a group to be appended after this node's delay, if it is still needed then.
func (e *Engine) planGroup(self ledger.Incarnation, id keyspace.Group) {
	p := e.makePlan(self, id)
	switch {
	case p.assign != nil:
		delay := time.Duration(p.rank) * planStagger
		if p.isNew {
			delay += firstAssignDelay
		}
		e.planLater(id, delay)
	case len(p.moves) > 0:
		e.planLater(id, rebalanceDelay)
	}
}

// planLater makes the plan of a group again after a delay and appends it. One such plan per group is pending.
func (e *Engine) planLater(id keyspace.Group, delay time.Duration) {
	if !e.plans.begin(id) {
		return
	}
	e.controlPool.After(delay, func() {
		e.plans.end(id)
		e.appendPlan(id)
	})
}

// appendPlan appends the plan of a group as of now.
func (e *Engine) appendPlan(id keyspace.Group) {
	self := e.incarnation()
	if self == 0 || e.stopping.Load() {
		return
	}
	p := e.makePlan(self, id)
	switch {
	case p.assign != nil:
		e.proposeAssign(p.assign)
	case len(p.moves) > 0:
		e.proposeMove(p.moves[0])
	}
}

// proposeAssign appends an assignment of unowned slices.
func (e *Engine) proposeAssign(a *ledger.Assign) {
	record := &ledger.Record{Kind: ledger.KindAssign, ID: newRecordID(), Assign: a}
	e.propose(&proposal{
		purpose: purpose("assign " + a.Group.String()),
		record:  record,
		outdated: func(s *ledger.State) bool {
			g := s.Groups[a.Group]
			return g != nil && g.Version != a.Base
		},
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.planDecided(record, a.Group, len(a.Placements), offset, rejection)
		},
	})
}

// proposeMove appends a move of slices.
func (e *Engine) proposeMove(m ledger.Move) {
	record := &ledger.Record{Kind: ledger.KindMove, ID: newRecordID(), Move: &m}
	e.propose(&proposal{
		purpose:  purpose(fmt.Sprintf("move %s from %d", m.Group, m.From)),
		record:   record,
		outdated: func(s *ledger.State) bool { return !movable(s, m) },
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.planDecided(record, m.Group, len(m.Slices), offset, rejection)
		},
	})
}

// movable reports whether all slices of a move still have the owner and the fence that it names.
func movable(s *ledger.State, m ledger.Move) bool {
	g := s.Groups[m.Group]
	if g == nil {
		return false
	}
	for _, n := range m.Slices {
		slice := &g.Slices[n.Index]
		if slice.Owner != m.From || slice.Fence != n.Fence || s.Members[n.To] == nil {
			return false
		}
	}
	return true
}

// planDecided reports the outcome of a plan and looks whether another is needed.
func (e *Engine) planDecided(r *ledger.Record, id keyspace.Group, slices int, offset ledger.Offset, rejection ledger.Rejection) {
	e.countOutcome(r.Kind, offset, rejection)
	switch {
	case rejection != ledger.Accepted:
		e.deps.Events.Emit(eventlog.PlanRejected, eventlog.Group(id), eventlog.Rejection(rejection))
	case r.Kind == ledger.KindAssign:
		e.deps.Events.Emit(eventlog.SlicesAssigned, eventlog.Group(id), eventlog.Count("slices", slices))
	default:
		e.deps.Events.Emit(eventlog.SlicesMoved, eventlog.Group(id), eventlog.Count("slices", slices))
	}
	e.planning.Fire()
}

// drainSlices moves the slices of this node away.
func (e *Engine) drainSlices(self ledger.Incarnation) {
	var moves []ledger.Move
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		moves = placement.PlanDrain(s, self, maxDrainSlices, policies(s, c))
	})
	for _, m := range moves {
		e.proposeMove(m)
	}
}

// lostMembers returns the members that operators state to be gone, and this node's rank among the others.
func (e *Engine) lostMembers(self ledger.Incarnation) (lost []*ledger.Member, rank int) {
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		if c == nil {
			return
		}
		for i, m := range s.Members {
			switch {
			case statedLost(c, m.DataCentre, i):
				lost = append(lost, m)
			case i < self:
				rank++
			}
		}
	})
	return lost, rank
}

// statedLost reports whether operators state that the incarnation in the data centre is gone.
func statedLost(c *config.Configuration, dataCentre string, i ledger.Incarnation) bool {
	return i < ledger.Incarnation(c.LostBefore(dataCentre))
}

// endLost ends the members that operators state to be gone. It waits a lease time first: a node that is stated lost by
// mistake and reads the configuration stops serving at once.
func (e *Engine) endLost(self ledger.Incarnation) {
	lost, rank := e.lostMembers(self)
	if len(lost) == 0 {
		return
	}
	wait := 2*e.options.Timing.Timing().LeaseTime + time.Duration(rank)*planStagger
	for _, m := range lost {
		e.controlPool.After(wait, func() { e.endStatedLost(m.Incarnation) })
	}
}

// endStatedLost ends one member if it is still stated to be gone.
func (e *Engine) endStatedLost(i ledger.Incarnation) {
	lost, _ := e.lostMembers(e.incarnation())
	gone := map[ledger.Incarnation]bool{}
	for _, m := range lost {
		gone[m.Incarnation] = true
	}
	if m := e.ledger.member(i); m != nil && gone[i] && e.incarnation() != 0 {
		// No promise was given, but the operators state that the process has ended.
		e.proposeEnd(i, m.WitnessSet.Version, true, gone)
	}
}
