package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/placement"
	"heatherreel/internal/platformlog"
)

// shape is a fleet size for which decisions are measured.
type shape struct{ members, slices int }

// String names the shape in a table's header.
func (s shape) String() string { return fmt.Sprintf("%d × %d", s.members, s.slices) }

var shapes = []shape{{53, 16}, {210, 16}, {targetMembers, 16}, {targetMembers, 64}}

// measureDecisions measures the processor time of each control decision.
func measureDecisions(_ context.Context, o options) error {
	header := []string{"decision (members × slices each)"}
	var columns [][]named
	for _, s := range shapes {
		header = append(header, s.String())
		p, err := newPopulation(s.members, s.slices, o.seed)
		if err != nil {
			return err
		}
		column, err := decisionsOf(p)
		if err != nil {
			return fmt.Errorf("%v: %w", s, err)
		}
		columns = append(columns, column)
	}
	t := &table{
		title:  "Processor time of control decisions, with allocations at the last but one size",
		header: append(header, "allocations", "allocated bytes"),
	}
	for i, row := range columns[0] {
		cells := []string{row.name}
		for _, column := range columns {
			cells = append(cells, short(column[i].time))
		}
		reference := columns[len(columns)-2][i]
		t.add(append(cells, number(reference.allocs), number(reference.bytes))...)
	}
	t.print()
	return nil
}

// named is the cost of a decision.
type named struct {
	name string
	cost
}

// decisionsOf measures all decisions on one fleet.
func decisionsOf(p *population) ([]named, error) {
	replays, err := replaysOf(p)
	if err != nil {
		return nil, err
	}
	leases, err := leaseDecisions()
	if err != nil {
		return nil, err
	}
	checkpoint, err := checkpointDecisions(p.state)
	if err != nil {
		return nil, err
	}
	return slices.Concat(replays, leases, planDecisions(p), checkpoint), nil
}

// replaysOf measures decoding and replaying one record of each kind.
func replaysOf(p *population) ([]named, error) {
	var list []named
	for _, r := range sampleRecords(p) {
		data, err := platformlog.Encode(r.record)
		if err != nil {
			return nil, err
		}
		decode := costOf(func() { _, _ = platformlog.Decode(data) })
		apply, err := replayCost(r)
		if err != nil {
			return nil, err
		}
		list = append(list,
			named{fmt.Sprintf("decode %s (%d B)", r.record.Kind, len(data)), decode},
			named{fmt.Sprintf("replay %s", r.record.Kind), apply})
	}
	return list, nil
}

// replayRuns is the number of replays of which the median counts.
const replayRuns = 25

// replayCost measures the replay of a record, each time on a copy of its state.
func replayCost(r sample) (cost, error) {
	times := make([]time.Duration, 0, replayRuns)
	for range replayRuns {
		state := r.state.Clone()
		began := time.Now()
		rejection := state.Apply(state.Offset+1, r.record)
		times = append(times, time.Since(began))
		if rejection != ledger.Accepted {
			return cost{}, fmt.Errorf("a %s record was rejected: %s", r.record.Kind, rejection)
		}
	}
	slices.Sort(times)
	return cost{time: times[replayRuns/2]}, nil
}

// leaseDecisions measures the lease protocol. Its cost does not depend on the size of the fleet.
func leaseDecisions() ([]named, error) {
	parameters, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	holder := lease.NewHolder(parameters, 1, ledger.WitnessSet{Version: 1, Members: []ledger.Incarnation{2, 3, 4}}, now)
	witness := witnessOf(parameters, 3, now)
	interval := lease.DefaultTiming().RenewalInterval
	at := now
	var renewals []lease.Renewal
	var overdue []lease.Overdue
	step := costOf(func() {
		at = at.Add(interval)
		renewals = holder.AppendRenewals(renewals[:0], at)
		overdue = witness.AppendOverdue(overdue[:0], now)
		witness.NextOverdue()
		holder.NextRenewal()
	})
	answer := costOf(func() { witness.Renew(lease.Renewal{Holder: 2, SetVersion: 2, Sequence: 9, Witness: 1}, true, now) })
	answered := costOf(func() {
		r := renewals[0]
		holder.HandleAnswer(lease.RenewalAnswer{Holder: 1, Witness: r.Witness, SetVersion: 1, Sequence: r.Sequence, Marked: true})
	})
	promise := costOf(func() {
		witness.Promise(lease.PromiseRequest{Holder: 2, SetVersion: 2, Claimant: 9, Witness: 1}, now)
	})
	return []named{
		{"lease step: 3 renewals, overdue holders", step}, {"witness answers a renewal", answer},
		{"holder takes in an answer", answered}, {"witness answers a promise request", promise},
	}, nil
}

// planDecisions measures the plans and checks that depend on the size of the fleet.
func planDecisions(p *population) []named {
	m := p.sorted()[len(p.state.Members)/2]
	group := keyspace.Group{Service: m.Service}
	me := self(numberOf(m), m.Incarnation)
	policy := p.policy(group)
	policies := func(keyspace.Group) placement.Policy { return policy }
	document := []byte(largeDocument())
	return []named{
		{"own slices from the state (each page)", costOf(func() { p.state.Owned(m.Incarnation) })},
		{"planner rank (each page)", costOf(func() { placement.PlannerRank(p.state, group, m.Incarnation) })},
		{"plan of unowned slices, none (each page)", costOf(func() { placement.PlanAssign(p.state, group, policy) })},
		{"rebalance plan, none (first planner, each page)", costOf(func() {
			placement.PlanRebalance(p.state, group, policy, placement.DefaultRebalanceLimits)
		})},
		{"witness upkeep, no change (each second)", costOf(func() {
			placement.ReplaceWitnesses(p.state, me, m.WitnessSet.Members, nil)
		})},
		{"choice of witnesses for a join", costOf(func() { placement.ChooseWitnesses(p.state, me, nil) })},
		{"failover plan", costOf(func() { placement.PlanFailover(p.state, m.Incarnation, nil, policies) })},
		{"drain plan", costOf(func() { placement.PlanDrain(p.state, m.Incarnation, 64, policies) })},
		{fmt.Sprintf("decode a configuration (%d B)", len(document)), costOf(func() { _, _ = config.Decode(document) })},
	}
}

// checkpointDecisions measures the copy and the codec of the whole state.
func checkpointDecisions(s *ledger.State) ([]named, error) {
	data, err := s.MarshalJSON()
	if err != nil {
		return nil, err
	}
	return []named{
		{"copy the state", costOf(func() { s.Clone() })},
		{"encode a checkpoint", costOf(func() { _, _ = s.MarshalJSON() })},
		{"decode a checkpoint", costOf(func() {
			var decoded ledger.State
			_ = decoded.UnmarshalJSON(data)
		})},
	}, nil
}
