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

// Delays and limits of planning.
const (
	// planStagger is the additional delay of each further planner of a group, so that normally only one appends.
	planStagger = 150 * time.Millisecond
	// firstAssignDelay gives nodes that start together time to join before the slices of a new group are assigned.
	// Otherwise all slices would go to the first node and would have to move again.
	firstAssignDelay = 500 * time.Millisecond
	// rebalanceDelay is the time that the members of a group are given to become stable before slices move.
	rebalanceDelay = time.Second
	// maxDrainSlices is the maximum number of slices in one move record of a draining node.
	maxDrainSlices = 64
)

// placementPolicies returns the placement policies of all groups under a configuration.
func placementPolicies(s *ledger.State, c *config.Configuration) placement.PolicyFunc {
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

// plan is the assignment or the moves that this node would append to the log for a group.
type plan struct {
	assign *ledger.Assign
	moves  []ledger.Move
	// rank is this node's position among the planners of the group; ok is false if it is not one of them.
	rank int
	ok   bool
	// isNew is true if the group has no slices yet.
	isNew bool
}

// stepPlanning plans for the groups of this node's service.
func (e *Engine) stepPlanning() {
	self := e.incarnation()
	if self == 0 {
		return
	}
	if e.shouldDrain() {
		e.drainSlices(self)
	}
	e.scheduleEndOfDeclaredLost(self)
	for _, id := range e.serviceGroups() {
		e.planGroup(self, id)
	}
}

// serviceGroups returns the groups of this node's service: those that the configuration requires and those that exist.
func (e *Engine) serviceGroups() []keyspace.Group {
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

// makePlan plans for a group from the current state.
func (e *Engine) makePlan(self ledger.Incarnation, id keyspace.Group) plan {
	var p plan
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		p.rank, p.ok = placement.PlannerRank(s, id, self)
		if !p.ok {
			return
		}
		policy := placementPolicies(s, c)(id)
		p.isNew = s.Groups[id] == nil
		p.assign = placement.PlanAssign(s, id, policy)
		if p.assign == nil && p.rank == 0 {
			p.moves = placement.PlanRebalance(s, id, policy, placement.DefaultRebalanceLimits)
		}
	})
	return p
}

// planGroup schedules the plan of a group after this node's delay, if the group needs one.
func (e *Engine) planGroup(self ledger.Incarnation, id keyspace.Group) {
	p := e.makePlan(self, id)
	switch {
	case p.assign != nil:
		delay := time.Duration(p.rank) * planStagger
		if p.isNew {
			delay += firstAssignDelay
		}
		e.schedulePlan(id, delay)
	case len(p.moves) > 0:
		e.schedulePlan(id, rebalanceDelay)
	}
}

// schedulePlan makes the plan of a group again after a delay and appends it. At most one such plan per group is
// pending.
func (e *Engine) schedulePlan(id keyspace.Group, delay time.Duration) {
	if !e.pendingPlans.begin(id) {
		return
	}
	e.controlPool.After(delay, func() {
		e.pendingPlans.end(id)
		e.appendPlan(id)
	})
}

// appendPlan makes the plan of a group from the current state and appends it.
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
			e.handlePlanOutcome(record, a.Group, len(a.Placements), offset, rejection)
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
			e.handlePlanOutcome(record, m.Group, len(m.Slices), offset, rejection)
		},
	})
}

// movable reports whether all slices of a move still have the owner and the fence that it names.
func movable(s *ledger.State, m ledger.Move) bool {
	g := s.Groups[m.Group]
	if g == nil {
		return false
	}
	for _, moved := range m.Slices {
		slice := &g.Slices[moved.Index]
		if slice.Owner != m.From || slice.Fence != moved.Fence || s.Members[moved.To] == nil {
			return false
		}
	}
	return true
}

// handlePlanOutcome reports the outcome of a plan and checks whether another one is needed.
func (e *Engine) handlePlanOutcome(r *ledger.Record, id keyspace.Group, sliceCount int, offset ledger.Offset, rejection ledger.Rejection) {
	e.countRecordOutcome(r.Kind, offset, rejection)
	switch {
	case rejection != ledger.Accepted:
		e.deps.Events.Emit(eventlog.PlanRejected, eventlog.Group(id), eventlog.Rejection(rejection))
	case r.Kind == ledger.KindAssign:
		e.deps.Events.Emit(eventlog.SlicesAssigned, eventlog.Group(id), eventlog.Count("slices", sliceCount))
	default:
		e.deps.Events.Emit(eventlog.SlicesMoved, eventlog.Group(id), eventlog.Count("slices", sliceCount))
	}
	e.planningTrigger.Fire()
}

// drainSlices moves the slices of this node to other nodes.
func (e *Engine) drainSlices(self ledger.Incarnation) {
	var moves []ledger.Move
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		moves = placement.PlanDrain(s, self, maxDrainSlices, placementPolicies(s, c))
	})
	for _, m := range moves {
		e.proposeMove(m)
	}
}

// membersDeclaredLost returns the members that operators have declared lost, and this node's rank among the others.
func (e *Engine) membersDeclaredLost(self ledger.Incarnation) (lost []*ledger.Member, rank int) {
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		if c == nil {
			return
		}
		for i, m := range s.Members {
			switch {
			case declaredLost(c, m.DataCentre, i):
				lost = append(lost, m)
			case i < self:
				rank++
			}
		}
	})
	return lost, rank
}

// declaredLost reports whether operators have declared the incarnation in the data centre lost.
func declaredLost(c *config.Configuration, dataCentre string, i ledger.Incarnation) bool {
	return i < ledger.Incarnation(c.LostBefore(dataCentre))
}

// scheduleEndOfDeclaredLost ends the members that operators have declared lost, after waiting for two lease times. A
// node that was declared lost by mistake stops serving as soon as it reads the configuration; the delay gives it the
// time to do so.
func (e *Engine) scheduleEndOfDeclaredLost(self ledger.Incarnation) {
	lost, rank := e.membersDeclaredLost(self)
	if len(lost) == 0 {
		return
	}
	wait := 2*e.options.Timing.Timing().LeaseTime + time.Duration(rank)*planStagger
	for _, m := range lost {
		e.controlPool.After(wait, func() { e.endIfDeclaredLost(m.Incarnation) })
	}
}

// endIfDeclaredLost ends a member if it is still declared lost.
func (e *Engine) endIfDeclaredLost(i ledger.Incarnation) {
	lost, _ := e.membersDeclaredLost(e.incarnation())
	declared := map[ledger.Incarnation]bool{}
	for _, m := range lost {
		declared[m.Incarnation] = true
	}
	if m := e.ledger.member(i); m != nil && declared[i] && e.incarnation() != 0 {
		// No witness promised, but operators have declared that the process has ended.
		e.proposeEnd(i, m.WitnessSet.Version, true, declared)
	}
}
