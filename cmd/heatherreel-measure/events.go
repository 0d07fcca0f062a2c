package main

import (
	"context"
	"fmt"
	"slices"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/placement"
)

// Events on an ordinary day at the target size.
const (
	restartsPerDay       = 47
	failuresPerDay       = 2
	configurationsPerDay = 860
	secondsPerDay        = 24 * 60 * 60
	// logAppends is "several hundred a second", of which an ordinary day stays under a tenth.
	logAppends = 300
)

// sorted returns the members in the order of their incarnations.
func (p *population) sorted() []*ledger.Member {
	list := make([]*ledger.Member, 0, len(p.state.Members))
	for _, m := range p.state.Members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *ledger.Member) int { return int(a.Incarnation) - int(b.Incarnation) })
	return list
}

// move applies a move and one settled record of each new owner, as the new owners append them.
func (p *population) move(m ledger.Move) error {
	if err := p.apply(&ledger.Record{Kind: ledger.KindMove, Move: &m}); err != nil {
		return err
	}
	fence := p.state.Offset
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
		if err := p.apply(&ledger.Record{Kind: ledger.KindSettled, Settled: settled}); err != nil {
			return err
		}
	}
	return nil
}

// rebalance moves slices until the plan is empty and returns the number of moved slices.
func (p *population) rebalance(id keyspace.Group) (moved int, err error) {
	for {
		plan := placement.PlanRebalance(p.state, id, p.policy(id), placement.DefaultRebalanceLimits)
		if len(plan) == 0 {
			return moved, nil
		}
		moved += len(plan[0].Slices)
		if err := p.move(plan[0]); err != nil {
			return moved, err
		}
	}
}

// replaceWitnesses lets every member replace its witnesses where that is needed.
func (p *population) replaceWitnesses(excluded map[ledger.Incarnation]bool) error {
	for _, m := range p.sorted() {
		if excluded[m.Incarnation] || !needsWitnesses(p.state, m) {
			continue
		}
		next, changed := placement.ReplaceWitnesses(p.state, self(numberOf(m), m.Incarnation), m.WitnessSet.Members, excluded)
		if !changed {
			continue
		}
		err := p.apply(&ledger.Record{Kind: ledger.KindWitnesses, Witnesses: &ledger.Witnesses{
			Incarnation: m.Incarnation, Base: m.WitnessSet.Version, Witnesses: next,
		}})
		if err != nil {
			return err
		}
	}
	return nil
}

// fullSet is the size of a complete witness set.
const fullSet = 3

// needsWitnesses reports whether a witness of the member has ended or is missing.
func needsWitnesses(s *ledger.State, m *ledger.Member) bool {
	return len(m.WitnessSet.Members) < fullSet || slices.ContainsFunc(m.WitnessSet.Members, func(w ledger.Incarnation) bool { return s.Members[w] == nil })
}

// restart is a planned stop of a member and the join of its replacement. It returns the slices that moved.
func (p *population) restart(m *ledger.Member) (moved int, err error) {
	i := m.Incarnation
	moved = len(p.state.Owned(i))
	if err := p.apply(&ledger.Record{Kind: ledger.KindDrain, Drain: &ledger.Drain{Incarnation: i, Draining: true}}); err != nil {
		return 0, err
	}
	const maxDrainSlices = 64
	for {
		plan := placement.PlanDrain(p.state, i, maxDrainSlices, p.policy)
		if len(plan) == 0 {
			break
		}
		if err := p.move(plan[0]); err != nil {
			return 0, err
		}
	}
	if err := p.apply(&ledger.Record{Kind: ledger.KindLeave, Leave: &ledger.Leave{Incarnation: i, AtUnixMS: 1}}); err != nil {
		return 0, err
	}
	return p.comeBack(m, moved)
}

// comeBack replaces the ended member as witness, adds its successor and gives that its share.
func (p *population) comeBack(m *ledger.Member, moved int) (int, error) {
	if err := p.replaceWitnesses(nil); err != nil {
		return 0, err
	}
	if _, err := p.join(numberOf(m)); err != nil {
		return 0, err
	}
	back, err := p.rebalance(keyspace.Group{Service: m.Service})
	return moved + back, err
}

// end is the loss of a member. It returns the number of slices that got new owners.
func (p *population) end(m *ledger.Member, suspected map[ledger.Incarnation]bool) (int, error) {
	successors := placement.PlanFailover(p.state, m.Incarnation, suspected, p.policy)
	return len(successors), p.apply(&ledger.Record{Kind: ledger.KindEnd, End: &ledger.End{
		Incarnation: m.Incarnation, SetVersion: p.state.Members[m.Incarnation].WitnessSet.Version,
		Claimant: m.WitnessSet.Members[0], Direct: true, AtUnixMS: 1, Successors: successors,
	}})
}

// fail is the loss of a member and the join of its replacement.
func (p *population) fail(m *ledger.Member) (moved int, err error) {
	moved, err = p.end(m, nil)
	if err != nil {
		return 0, err
	}
	return p.comeBack(m, moved)
}

// loseDataCentre ends all members of a data centre and replaces them as witnesses.
func (p *population) loseDataCentre(dataCentre string) (moved int, err error) {
	lost := map[ledger.Incarnation]bool{}
	for _, m := range p.sorted() {
		if m.DataCentre == dataCentre {
			lost[m.Incarnation] = true
		}
	}
	for _, m := range p.sorted() {
		if !lost[m.Incarnation] {
			continue
		}
		// A claimant knows only its own claims; with all lost members left out the count of records is the same.
		n, err := p.end(m, lost)
		if err != nil {
			return moved, err
		}
		moved += n
	}
	return moved, p.replaceWitnesses(nil)
}

// event is what a sequence of events cost the log.
type event struct {
	name         string
	times        int
	journal      journal
	moved, least int
}

// record runs f on the population and returns what it appended.
func (p *population) record(name string, times int, f func() (moved, least int, err error)) (event, error) {
	before := p.journal
	p.journal = journal{byKind: map[ledger.Kind]int{}}
	moved, least, err := f()
	e := event{name: name, times: times, journal: p.journal, moved: moved, least: least}
	p.journal = before
	return e, err
}

// measuredEvents is the number of restarts and failures of which the mean counts.
const measuredEvents = 20

// measureEvents plans the events of a day at the target size with the functions that the nodes use.
func measureEvents(_ context.Context, o options) error {
	events, err := planEvents(o.seed)
	if err != nil {
		return err
	}
	t := &table{
		title: fmt.Sprintf("Records of events, %d members with %d slices each, %d services (plans of package placement, seed %d)",
			targetMembers, slicesPerMember, serviceCount, o.seed),
		header: []string{"event", "records", "bytes", "moved slices", "least possible", "records by kind"},
	}
	for _, e := range events {
		n := float64(e.times)
		t.add(e.name, number(float64(e.journal.records)/n), number(float64(e.journal.bytes)/n),
			number(float64(e.moved)/n), number(float64(e.least)/n), kinds(e))
	}
	t.print()
	printDay(events)
	return nil
}

// kinds lists the records of an event by kind.
func kinds(e event) string {
	var names []string
	for kind := range e.journal.byKind {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%s %s, ", name, number(float64(e.journal.byKind[ledger.Kind(name)])/float64(e.times)))
	}
	return text[:max(0, len(text)-2)]
}

// planEvents runs the events one after another on one fleet.
func planEvents(seed uint64) ([]event, error) {
	p, err := newPopulation(targetMembers, slicesPerMember, seed)
	if err != nil {
		return nil, err
	}
	repeat := func(one func(*ledger.Member) (int, error)) func() (int, int, error) {
		return func() (moved, least int, err error) {
			for range measuredEvents {
				m := p.anyMember()
				// What the member owns must leave it, and its successor must get as much.
				least += 2 * len(p.state.Owned(m.Incarnation))
				n, err := one(m)
				if err != nil {
					return moved, least, err
				}
				moved += n
			}
			return moved, least, nil
		}
	}
	restart, err := p.record("restart", measuredEvents, repeat(p.restart))
	if err != nil {
		return nil, err
	}
	failure, err := p.record("failure with replacement", measuredEvents, repeat(p.fail))
	if err != nil {
		return nil, err
	}
	configuration, err := p.record("configuration change", 1, func() (int, int, error) {
		return 0, 0, p.publish(largeDocument())
	})
	if err != nil {
		return nil, err
	}
	loss, err := p.record("loss of a data centre (140 members)", 1, func() (int, int, error) {
		least := 0
		for _, m := range p.sorted() {
			if m.DataCentre == lostDataCentre {
				least += len(p.state.Owned(m.Incarnation))
			}
		}
		moved, err := p.loseDataCentre(lostDataCentre)
		return moved, least, err
	})
	return []event{restart, failure, configuration, loss}, err
}

// lostDataCentre is the data centre that the burst loses.
const lostDataCentre = "region-0-a"

// printDay adds up an ordinary day.
func printDay(events []event) {
	perDay := []int{restartsPerDay, failuresPerDay, configurationsPerDay}
	var records, bytes float64
	for i, n := range perDay {
		e := events[i]
		records += float64(n*e.journal.records) / float64(e.times)
		bytes += float64(n*e.journal.bytes) / float64(e.times)
	}
	restart := float64(events[0].journal.records) / float64(events[0].times)
	t := &table{
		title:  "The log on an ordinary day and in bursts, against a tenth of 300 appends a second",
		header: []string{"load", "records", "mean records/s", "share of the tenth", "mean record bytes/s"},
	}
	tenth := float64(logAppends) / 10
	t.add("ordinary day", number(records), number(records/secondsPerDay), percent(records/secondsPerDay/tenth),
		number(bytes/secondsPerDay))
	for _, spread := range []float64{60, 600} {
		t.add(fmt.Sprintf("lost data centre, records spread over %.0f s", spread),
			number(float64(events[3].journal.records)), number(float64(events[3].journal.records)/spread),
			percent(float64(events[3].journal.records)/spread/tenth), number(float64(events[3].journal.bytes)/spread))
	}
	for _, spread := range []float64{3600, 4 * 3600} {
		t.add(fmt.Sprintf("every node restarted in turn over %.0f h", spread/3600), number(restart*targetMembers),
			number(restart*targetMembers/spread), percent(restart*targetMembers/spread/tenth),
			number(float64(events[0].journal.bytes)/float64(events[0].times)*targetMembers/spread))
	}
	t.print()
}
