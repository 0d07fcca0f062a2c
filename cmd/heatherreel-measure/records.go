package main

import (
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/placement"
)

// sampleRecord is a record, and a state that accepts it.
type sampleRecord struct {
	record *ledger.Record
	state  *ledger.State
}

// sampleUUID is used where a real fleet has a generated id; it has the length of a record id.
const sampleUUID = "0193a1b2-0000-7000-8000-000000000001"

// slicesPerMove is the number of slices of the sample move; a rebalance plan has the same number.
const slicesPerMove = 4

// sampleRecords returns one record of each kind that a running fleet appends.
func sampleRecords(sim *simulatedFleet) []sampleRecord {
	s := sim.state
	members := sim.sortedMembers()
	m, other := members[len(members)/2], members[len(members)/2+1]
	group := keyspace.Group{Service: m.Service}
	policies := func(keyspace.Group) placement.Policy { return sim.policy(group) }
	newSample := func(state *ledger.State, r ledger.Record) sampleRecord {
		r.ID = sampleUUID
		return sampleRecord{record: &r, state: state}
	}
	drain := placement.PlanDrain(s, m.Incarnation, slicesPerMove, policies)[0]
	moved := s.Clone()
	moved.Apply(moved.Offset+1, &ledger.Record{Kind: ledger.KindMove, Move: &drain})
	first := drain.Slices[0]
	settled := []ledger.SliceFence{{Slice: keyspace.SliceID{Group: group, Index: first.Index}, Fence: moved.Offset}}
	unowned := s.Clone()
	unowned.Apply(unowned.Offset+1, &ledger.Record{Kind: ledger.KindEnd, End: &ledger.End{
		Incarnation: m.Incarnation, SetVersion: m.WitnessSet.Version, Direct: true,
	}})
	join := sampleJoin(s)
	joined := s.Clone()
	joined.Apply(joined.Offset+1, &ledger.Record{Kind: ledger.KindJoin, ID: sampleUUID, Join: join})
	return []sampleRecord{
		newSample(s, ledger.Record{Kind: ledger.KindJoin, Join: join}),
		newSample(s, ledger.Record{Kind: ledger.KindWitnesses, Witnesses: &ledger.Witnesses{
			Incarnation: m.Incarnation, Base: m.WitnessSet.Version,
			Witnesses: placement.ChooseWitnesses(
				s, placementSelf(instanceNumber(m), m.Incarnation), map[ledger.Incarnation]bool{other.Incarnation: true}),
		}}),
		newSample(unowned, ledger.Record{Kind: ledger.KindAssign, Assign: placement.PlanAssign(unowned, group, sim.policy(group))}),
		newSample(s, ledger.Record{Kind: ledger.KindMove, Move: &drain}),
		newSample(moved, ledger.Record{Kind: ledger.KindSettled, Settled: &ledger.Settled{Incarnation: first.To, Slices: settled}}),
		newSample(moved, ledger.Record{Kind: ledger.KindReleased, Released: &ledger.Released{
			Incarnation: m.Incarnation, AtUnixMS: 1_800_000_000_000, Slices: settled,
		}}),
		newSample(s, ledger.Record{Kind: ledger.KindEnd, End: &ledger.End{
			Incarnation: m.Incarnation, SetVersion: m.WitnessSet.Version, Claimant: other.Incarnation, Direct: true,
			AtUnixMS:   1_800_000_000_000,
			Successors: placement.PlanFailover(s, m.Incarnation, nil, policies),
		}}),
		newSample(s, ledger.Record{Kind: ledger.KindDrain, Drain: &ledger.Drain{Incarnation: m.Incarnation, Draining: true}}),
		newSample(joined, ledger.Record{Kind: ledger.KindLeave, Leave: &ledger.Leave{
			Incarnation: ledger.Incarnation(joined.Offset), AtUnixMS: 1_800_000_000_000,
		}}),
		newSample(s, ledger.Record{Kind: ledger.KindConfiguration, Configuration: &ledger.Configuration{
			Base: s.Revision(), Document: largeConfiguration(), Author: "operator-17", Note: "limit of one tenant",
		}}),
	}
}

// sampleJoin returns a join of an instance that is not a member yet.
func sampleJoin(s *ledger.State) *ledger.Join {
	number := 2 * targetMembers
	self := placementSelf(number, 0)
	return &ledger.Join{
		Instance: self.Instance, DataCentre: self.DataCentre, Region: self.Region,
		Addresses: ledger.Addresses{
			Nodes: "10.1.2.3:7401", Leases: "10.1.2.3:7402", Callers: "10.1.2.3:7400", Operators: "10.1.2.3:7404",
		},
		Service: serviceGroup(0).Service, Weight: 100, Witnesses: placement.ChooseWitnesses(s, self, nil),
	}
}
