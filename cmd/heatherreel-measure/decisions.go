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

// fleetSize is a size of a fleet at which decisions are measured.
type fleetSize struct{ members, slicesPerMember int }

// String formats the size for the header of a table.
func (s fleetSize) String() string { return fmt.Sprintf("%d × %d", s.members, s.slicesPerMember) }

// fleetSizes lists the measured sizes. The last but one is the target size; the table shows its allocations.
var fleetSizes = []fleetSize{{53, 16}, {210, 16}, {targetMembers, 16}, {targetMembers, 64}}

// measureDecisions measures the CPU time and allocations of each control decision at each fleet size.
func measureDecisions(_ context.Context, o options) error {
	header := []string{"decision (members × slices each)"}
	var columns [][]namedCost
	for _, s := range fleetSizes {
		header = append(header, s.String())
		sim, err := newSimulatedFleet(s.members, s.slicesPerMember, o.seed)
		if err != nil {
			return err
		}
		column, err := measureAllDecisions(sim)
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
			cells = append(cells, formatDuration(column[i].time))
		}
		reference := columns[len(columns)-2][i]
		t.add(append(cells, formatNumber(reference.allocs), formatNumber(reference.bytes))...)
	}
	t.print()
	return nil
}

// namedCost is the cost of one decision, which is a row of the table.
type namedCost struct {
	name string
	cost
}

// measureAllDecisions measures all decisions on one fleet, in the order of the rows.
func measureAllDecisions(sim *simulatedFleet) ([]namedCost, error) {
	replays, err := measureReplays(sim)
	if err != nil {
		return nil, err
	}
	leases, err := measureLeaseDecisions()
	if err != nil {
		return nil, err
	}
	checkpoint, err := measureCheckpoints(sim.state)
	if err != nil {
		return nil, err
	}
	return slices.Concat(replays, leases, measurePlans(sim), checkpoint), nil
}

// measureReplays measures decoding and replaying one record of each kind.
func measureReplays(sim *simulatedFleet) ([]namedCost, error) {
	var list []namedCost
	for _, sample := range sampleRecords(sim) {
		data, err := platformlog.Encode(sample.record)
		if err != nil {
			return nil, err
		}
		decode := measureCost(func() { _, _ = platformlog.Decode(data) })
		replay, err := measureReplay(sample)
		if err != nil {
			return nil, err
		}
		list = append(list,
			namedCost{fmt.Sprintf("decode %s (%d B)", sample.record.Kind, len(data)), decode},
			namedCost{fmt.Sprintf("replay %s", sample.record.Kind), replay})
	}
	return list, nil
}

// replayRounds is the number of replays of a record; the result is their median.
const replayRounds = 25

// measureReplay measures the replay of a record, each time on a new copy of its state.
func measureReplay(sample sampleRecord) (cost, error) {
	times := make([]time.Duration, 0, replayRounds)
	for range replayRounds {
		state := sample.state.Clone()
		began := time.Now()
		rejection := state.Apply(state.Offset+1, sample.record)
		times = append(times, time.Since(began))
		if rejection != ledger.Accepted {
			return cost{}, fmt.Errorf("a %s record was rejected: %s", sample.record.Kind, rejection)
		}
	}
	slices.Sort(times)
	return cost{time: times[replayRounds/2]}, nil
}

// measureLeaseDecisions measures the lease protocol, whose cost does not depend on the size of the fleet.
func measureLeaseDecisions() ([]namedCost, error) {
	parameters, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	holder := lease.NewHolder(parameters, 1, ledger.WitnessSet{Version: 1, Members: []ledger.Incarnation{2, 3, 4}}, now)
	witness := newWitness(parameters, 3, now)
	interval := lease.DefaultTiming().RenewalInterval
	at := now
	var renewals []lease.Renewal
	var overdue []lease.Overdue
	step := measureCost(func() {
		at = at.Add(interval)
		renewals = holder.AppendRenewals(renewals[:0], at)
		overdue = witness.AppendOverdue(overdue[:0], now)
		witness.NextOverdue()
		holder.NextRenewal()
	})
	answerRenewal := measureCost(func() {
		witness.Renew(lease.Renewal{Holder: 2, SetVersion: 2, Sequence: 9, Witness: 1}, true, now)
	})
	takeAnswer := measureCost(func() {
		r := renewals[0]
		holder.HandleAnswer(lease.RenewalAnswer{Holder: 1, Witness: r.Witness, SetVersion: 1, Sequence: r.Sequence, Marked: true})
	})
	answerPromise := measureCost(func() {
		witness.Promise(lease.PromiseRequest{Holder: 2, SetVersion: 2, Claimant: 9, Witness: 1}, now)
	})
	return []namedCost{
		{"lease step: 3 renewals, overdue holders", step}, {"witness answers a renewal", answerRenewal},
		{"holder takes in an answer", takeAnswer}, {"witness answers a promise request", answerPromise},
	}, nil
}

// measurePlans measures the plans and checks whose cost depends on the size of the fleet.
func measurePlans(sim *simulatedFleet) []namedCost {
	m := sim.sortedMembers()[len(sim.state.Members)/2]
	group := keyspace.Group{Service: m.Service}
	self := placementSelf(instanceNumber(m), m.Incarnation)
	policy := sim.policy(group)
	policies := func(keyspace.Group) placement.Policy { return policy }
	document := []byte(largeConfiguration())
	return []namedCost{
		{"own slices from the state (each page)", measureCost(func() { sim.state.Owned(m.Incarnation) })},
		{"planner rank (each page)", measureCost(func() { placement.PlannerRank(sim.state, group, m.Incarnation) })},
		{"plan of unowned slices, none (each page)", measureCost(func() { placement.PlanAssign(sim.state, group, policy) })},
		{"rebalance plan, none (first planner, each page)", measureCost(func() {
			placement.PlanRebalance(sim.state, group, policy, placement.DefaultRebalanceLimits)
		})},
		{"witness upkeep, no change (each second)", measureCost(func() {
			placement.ReplaceWitnesses(sim.state, self, m.WitnessSet.Members, nil)
		})},
		{"choice of witnesses for a join", measureCost(func() { placement.ChooseWitnesses(sim.state, self, nil) })},
		{"failover plan", measureCost(func() { placement.PlanFailover(sim.state, m.Incarnation, nil, policies) })},
		{"drain plan", measureCost(func() { placement.PlanDrain(sim.state, m.Incarnation, 64, policies) })},
		{fmt.Sprintf("decode a configuration (%d B)", len(document)), measureCost(func() { _, _ = config.Decode(document) })},
	}
}

// measureCheckpoints measures copying, encoding and decoding the whole state.
func measureCheckpoints(s *ledger.State) ([]namedCost, error) {
	data, err := s.MarshalJSON()
	if err != nil {
		return nil, err
	}
	return []namedCost{
		{"copy the state", measureCost(func() { s.Clone() })},
		{"encode a checkpoint", measureCost(func() { _, _ = s.MarshalJSON() })},
		{"decode a checkpoint", measureCost(func() {
			var decoded ledger.State
			_ = decoded.UnmarshalJSON(data)
		})},
	}, nil
}
