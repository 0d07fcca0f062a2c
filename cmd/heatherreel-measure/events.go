package main

import (
	"context"
	"fmt"
	"slices"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/placement"
)

// Number of events on an ordinary day at the target size.
const (
	restartsPerDay       = 47
	failuresPerDay       = 2
	configurationsPerDay = 860
	secondsPerDay        = 24 * 60 * 60
	// logAppendsPerSecond is the capacity of the log, "several hundred a second". An ordinary day must stay below a
	// tenth.
	logAppendsPerSecond = 300
)

// sortedMembers returns the members in the order of their incarnations.
func (sim *simulatedFleet) sortedMembers() []*ledger.Member {
	list := make([]*ledger.Member, 0, len(sim.state.Members))
	for _, m := range sim.state.Members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *ledger.Member) int { return int(a.Incarnation) - int(b.Incarnation) })
	return list
}

// moveSlices applies a move, and the settled record that each new owner appends in a real fleet.
func (sim *simulatedFleet) moveSlices(m ledger.Move) error {
	if err := sim.apply(&ledger.Record{Kind: ledger.KindMove, Move: &m}); err != nil {
		return err
	}
	fence := sim.state.Offset
	byOwner := map[ledger.Incarnation][]ledger.SliceFence{}
	var owners []ledger.Incarnation
	for _, s := range m.Slices {
		if byOwner[s.To] == nil {
			owners = append(owners, s.To)
		}
		id := keyspace.SliceID{Group: m.Group, Index: s.Index}
		byOwner[s.To] = append(byOwner[s.To], ledger.SliceFence{Slice: id, Fence: fence})
	}
	for _, owner := range owners {
		settled := &ledger.Settled{Incarnation: owner, Slices: byOwner[owner]}
		if err := sim.apply(&ledger.Record{Kind: ledger.KindSettled, Settled: settled}); err != nil {
			return err
		}
	}
	return nil
}

// rebalance applies rebalance plans until the plan is empty, and returns the number of moved slices.
func (sim *simulatedFleet) rebalance(id keyspace.Group) (moved int, err error) {
	for {
		plan := placement.PlanRebalance(sim.state, id, sim.policy(id), placement.DefaultRebalanceLimits)
		if len(plan) == 0 {
			return moved, nil
		}
		moved += len(plan[0].Slices)
		if err := sim.moveSlices(plan[0]); err != nil {
			return moved, err
		}
	}
}

// replaceWitnesses replaces ended and missing witnesses of every member that is not excluded.
func (sim *simulatedFleet) replaceWitnesses(excluded map[ledger.Incarnation]bool) error {
	for _, m := range sim.sortedMembers() {
		if excluded[m.Incarnation] || !needsWitnesses(sim.state, m) {
			continue
		}
		next, changed := placement.ReplaceWitnesses(
			sim.state, placementSelf(instanceNumber(m), m.Incarnation), m.WitnessSet.Members, excluded)
		if !changed {
			continue
		}
		err := sim.apply(&ledger.Record{Kind: ledger.KindWitnesses, Witnesses: &ledger.Witnesses{
			Incarnation: m.Incarnation, Base: m.WitnessSet.Version, Witnesses: next,
		}})
		if err != nil {
			return err
		}
	}
	return nil
}

// witnessCount is the size of a full witness set, as in package placement.
const witnessCount = 3

// needsWitnesses reports whether the witness set of the member is incomplete or contains a member that has ended.
func needsWitnesses(s *ledger.State, m *ledger.Member) bool {
	return len(m.WitnessSet.Members) < witnessCount ||
		slices.ContainsFunc(m.WitnessSet.Members, func(w ledger.Incarnation) bool { return s.Members[w] == nil })
}

// restartMember drains a member, lets it leave, and adds its replacement. It returns the number of moved slices.
func (sim *simulatedFleet) restartMember(member *ledger.Member) (moved int, err error) {
	incarnation := member.Incarnation
	moved = len(sim.state.Owned(incarnation))
	if err := sim.apply(&ledger.Record{
		Kind: ledger.KindDrain, Drain: &ledger.Drain{Incarnation: incarnation, Draining: true},
	}); err != nil {
		return 0, err
	}
	// The same limit as in package engine.
	const maxDrainSlices = 64
	for {
		plan := placement.PlanDrain(sim.state, incarnation, maxDrainSlices, sim.policy)
		if len(plan) == 0 {
			break
		}
		if err := sim.moveSlices(plan[0]); err != nil {
			return 0, err
		}
	}
	if err := sim.apply(&ledger.Record{
		Kind: ledger.KindLeave, Leave: &ledger.Leave{Incarnation: incarnation, AtUnixMS: 1},
	}); err != nil {
		return 0, err
	}
	return sim.replaceMember(member, moved)
}

// replaceMember replaces the ended member in the witness sets, adds its replacement and rebalances. It returns moved
// plus the number of slices that the rebalancing moved.
func (sim *simulatedFleet) replaceMember(member *ledger.Member, moved int) (int, error) {
	if err := sim.replaceWitnesses(nil); err != nil {
		return 0, err
	}
	if _, err := sim.addMember(instanceNumber(member)); err != nil {
		return 0, err
	}
	rebalanced, err := sim.rebalance(keyspace.Group{Service: member.Service})
	return moved + rebalanced, err
}

// endMember ends a member as a claimant does after a failure. It returns the number of slices that got new owners.
func (sim *simulatedFleet) endMember(member *ledger.Member, suspected map[ledger.Incarnation]bool) (int, error) {
	successors := placement.PlanFailover(sim.state, member.Incarnation, suspected, sim.policy)
	return len(successors), sim.apply(&ledger.Record{Kind: ledger.KindEnd, End: &ledger.End{
		Incarnation: member.Incarnation, SetVersion: sim.state.Members[member.Incarnation].WitnessSet.Version,
		Claimant: member.WitnessSet.Members[0], Direct: true, AtUnixMS: 1, Successors: successors,
	}})
}

// failMember ends a member after a failure and adds its replacement. It returns the number of moved slices.
func (sim *simulatedFleet) failMember(member *ledger.Member) (moved int, err error) {
	moved, err = sim.endMember(member, nil)
	if err != nil {
		return 0, err
	}
	return sim.replaceMember(member, moved)
}

// loseDataCentre ends all members of a data centre and replaces them in the witness sets. It returns the number of
// slices that got new owners.
func (sim *simulatedFleet) loseDataCentre(dataCentre string) (moved int, err error) {
	lost := map[ledger.Incarnation]bool{}
	for _, m := range sim.sortedMembers() {
		if m.DataCentre == dataCentre {
			lost[m.Incarnation] = true
		}
	}
	for _, m := range sim.sortedMembers() {
		if !lost[m.Incarnation] {
			continue
		}
		// In a real fleet a claimant excludes only the members that it claims itself. Excluding all lost members gives
		// the same number of records.
		reassigned, err := sim.endMember(m, lost)
		if err != nil {
			return moved, err
		}
		moved += reassigned
	}
	return moved, sim.replaceWitnesses(nil)
}

// eventCost holds the records and moved slices of a number of events of one kind. minMovedSlices is the least number of
// moves that the events require.
type eventCost struct {
	name                        string
	count                       int
	appended                    recordCounts
	movedSlices, minMovedSlices int
}

// recordEvent runs f, which causes count events, and returns what they cost. The records are not added to the counts of
// the fleet.
func (sim *simulatedFleet) recordEvent(
	name string, count int, f func() (moved, minMoved int, err error),
) (eventCost, error) {
	before := sim.appended
	sim.appended = recordCounts{byKind: map[ledger.Kind]int{}}
	moved, minMoved, err := f()
	e := eventCost{name: name, count: count, appended: sim.appended, movedSlices: moved, minMovedSlices: minMoved}
	sim.appended = before
	return e, err
}

// measuredEventCount is the number of restarts and of failures; the table shows their mean.
const measuredEventCount = 20

// measureEvents simulates the events of a day at the target size, with the planning functions that the nodes use, and
// prints the records that they append to the log.
func measureEvents(_ context.Context, o options) error {
	events, err := simulateEvents(o.seed)
	if err != nil {
		return err
	}
	t := &table{
		title: fmt.Sprintf("Records of events, %d members with %d slices each, %d services (plans of package placement, seed %d)",
			targetMembers, slicesPerMember, serviceCount, o.seed),
		header: []string{"event", "records", "bytes", "moved slices", "least possible", "records by kind"},
	}
	for _, e := range events {
		n := float64(e.count)
		t.add(e.name, formatNumber(float64(e.appended.records)/n), formatNumber(float64(e.appended.bytes)/n),
			formatNumber(float64(e.movedSlices)/n), formatNumber(float64(e.minMovedSlices)/n), formatKinds(e))
	}
	t.print()
	printLogLoad(events)
	return nil
}

// formatKinds lists the mean number of records of an event by kind.
func formatKinds(e eventCost) string {
	var names []string
	for kind := range e.appended.byKind {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%s %s, ", name, formatNumber(float64(e.appended.byKind[ledger.Kind(name)])/float64(e.count)))
	}
	return text[:max(0, len(text)-2)]
}

// simulateEvents runs the events one after another on one fleet.
func simulateEvents(seed uint64) ([]eventCost, error) {
	sim, err := newSimulatedFleet(targetMembers, slicesPerMember, seed)
	if err != nil {
		return nil, err
	}
	repeatOnMembers := func(change func(*ledger.Member) (int, error)) func() (int, int, error) {
		return func() (moved, minMoved int, err error) {
			for range measuredEventCount {
				m := sim.randomMember()
				// The slices of the member must move away, and its replacement must get as many.
				minMoved += 2 * len(sim.state.Owned(m.Incarnation))
				moves, err := change(m)
				if err != nil {
					return moved, minMoved, err
				}
				moved += moves
			}
			return moved, minMoved, nil
		}
	}
	restart, err := sim.recordEvent("restart", measuredEventCount, repeatOnMembers(sim.restartMember))
	if err != nil {
		return nil, err
	}
	failure, err := sim.recordEvent("failure with replacement", measuredEventCount, repeatOnMembers(sim.failMember))
	if err != nil {
		return nil, err
	}
	configuration, err := sim.recordEvent("configuration change", 1, func() (int, int, error) {
		return 0, 0, sim.publishConfiguration(largeConfiguration())
	})
	if err != nil {
		return nil, err
	}
	loss, err := sim.recordEvent("loss of a data centre (140 members)", 1, func() (int, int, error) {
		minMoved := 0
		for _, m := range sim.sortedMembers() {
			if m.DataCentre == lostDataCentre {
				minMoved += len(sim.state.Owned(m.Incarnation))
			}
		}
		moved, err := sim.loseDataCentre(lostDataCentre)
		return moved, minMoved, err
	})
	return []eventCost{restart, failure, configuration, loss}, err
}

// lostDataCentre is the data centre whose loss is simulated.
const lostDataCentre = "region-0-a"

// printLogLoad prints the load of the log on an ordinary day and in bursts.
func printLogLoad(events []eventCost) {
	perDay := []int{restartsPerDay, failuresPerDay, configurationsPerDay}
	var records, bytes float64
	for i, n := range perDay {
		e := events[i]
		records += float64(n*e.appended.records) / float64(e.count)
		bytes += float64(n*e.appended.bytes) / float64(e.count)
	}
	restart := float64(events[0].appended.records) / float64(events[0].count)
	t := &table{
		title:  "The log on an ordinary day and in bursts, against a tenth of 300 appends a second",
		header: []string{"load", "records", "mean records/s", "share of the tenth", "mean record bytes/s"},
	}
	tenth := float64(logAppendsPerSecond) / 10
	t.add("ordinary day", formatNumber(records), formatNumber(records/secondsPerDay),
		formatPercent(records/secondsPerDay/tenth), formatNumber(bytes/secondsPerDay))
	for _, spread := range []float64{60, 600} {
		t.add(fmt.Sprintf("lost data centre, records spread over %.0f s", spread),
			formatNumber(float64(events[3].appended.records)), formatNumber(float64(events[3].appended.records)/spread),
			formatPercent(float64(events[3].appended.records)/spread/tenth), formatNumber(float64(events[3].appended.bytes)/spread))
	}
	for _, spread := range []float64{3600, 4 * 3600} {
		t.add(fmt.Sprintf("every node restarted in turn over %.0f h", spread/3600), formatNumber(restart*targetMembers),
			formatNumber(restart*targetMembers/spread), formatPercent(restart*targetMembers/spread/tenth),
			formatNumber(float64(events[0].appended.bytes)/float64(events[0].count)*targetMembers/spread))
	}
	t.print()
}
