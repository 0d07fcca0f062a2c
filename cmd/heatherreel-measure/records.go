package main

import (
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/placement"
)

// sample is a record with a state in which it takes effect.
type sample struct {
	record *ledger.Record
	state  *ledger.State
}

// sampleID has the length of a record id.
const sampleID = "0193a1b2-0000-7000-8000-000000000001"

// movedPerRecord is the number of slices of a sampled move, as a rebalance plan has.
const movedPerRecord = 4

// sampleRecords returns one record of each kind that a running fleet appends.
func sampleRecords(p *population) []sample {
	s := p.state
	members := p.sorted()
	m, other := members[len(members)/2], members[len(members)/2+1]
	group := keyspace.Group{Service: m.Service}
	policies := func(keyspace.Group) placement.Policy { return p.policy(group) }
	with := func(state *ledger.State, r ledger.Record) sample {
		r.ID = sampleID
		return sample{record: &r, state: state}
	}
	drain := placement.PlanDrain(s, m.Incarnation, movedPerRecord, policies)[0]
	moved := s.Clone()
	moved.Apply(moved.Offset+1, &ledger.Record{Kind: ledger.KindMove, Move: &drain})
	first := drain.Slices[0]
	settled := []ledger.SliceFence{{Slice: keyspace.SliceID{Group: group, Index: first.Index}, Fence: moved.Offset}}
	unowned := s.Clone()
	unowned.Apply(unowned.Offset+1, &ledger.Record{Kind: ledger.KindEnd, End: &ledger.End{
		Incarnation: m.Incarnation, SetVersion: m.WitnessSet.Version, Direct: true,
	}})
	join := joinOf(s)
	joined := s.Clone()
	joined.Apply(joined.Offset+1, &ledger.Record{Kind: ledger.KindJoin, ID: sampleID, Join: join})
	return []sample{
		with(s, ledger.Record{Kind: ledger.KindJoin, Join: join}),
		with(s, ledger.Record{Kind: ledger.KindWitnesses, Witnesses: &ledger.Witnesses{
			Incarnation: m.Incarnation, Base: m.WitnessSet.Version,
			Witnesses: placement.ChooseWitnesses(s, self(numberOf(m), m.Incarnation), map[ledger.Incarnation]bool{other.Incarnation: true}),
		}}),
		with(unowned, ledger.Record{Kind: ledger.KindAssign, Assign: placement.PlanAssign(unowned, group, p.policy(group))}),
		with(s, ledger.Record{Kind: ledger.KindMove, Move: &drain}),
		with(moved, ledger.Record{Kind: ledger.KindSettled, Settled: &ledger.Settled{Incarnation: first.To, Slices: settled}}),
		with(moved, ledger.Record{Kind: ledger.KindReleased, Released: &ledger.Released{
			Incarnation: m.Incarnation, AtUnixMS: 1_800_000_000_000, Slices: settled,
		}}),
		with(s, ledger.Record{Kind: ledger.KindEnd, End: &ledger.End{
			Incarnation: m.Incarnation, SetVersion: m.WitnessSet.Version, Claimant: other.Incarnation, Direct: true,
			AtUnixMS:   1_800_000_000_000,
			Successors: placement.PlanFailover(s, m.Incarnation, nil, policies),
		}}),
		with(s, ledger.Record{Kind: ledger.KindDrain, Drain: &ledger.Drain{Incarnation: m.Incarnation, Draining: true}}),
		with(joined, ledger.Record{Kind: ledger.KindLeave, Leave: &ledger.Leave{
			Incarnation: ledger.Incarnation(joined.Offset), AtUnixMS: 1_800_000_000_000,
		}}),
		with(s, ledger.Record{Kind: ledger.KindConfiguration, Configuration: &ledger.Configuration{
			Base: s.Revision(), Document: largeDocument(), Author: "operator-17", Note: "limit of one tenant",
		}}),
	}
}

// joinOf returns the join of one more instance.
func joinOf(s *ledger.State) *ledger.Join {
	number := 2 * targetMembers
	me := self(number, 0)
	return &ledger.Join{
		Instance: me.Instance, DataCentre: me.DataCentre, Region: me.Region,
		Addresses: ledger.Addresses{
			Nodes: "10.1.2.3:7401", Leases: "10.1.2.3:7402", Callers: "10.1.2.3:7400", Operators: "10.1.2.3:7404",
		},
		Service: groupOf(0).Service, Weight: 100, Witnesses: placement.ChooseWitnesses(s, me, nil),
	}
}
