// Package placement plans witnesses, initial assignments, failovers, drains and rebalancing.
//
// All functions are pure. They read a ledger.State and return values or unappended record bodies. Two nodes with the
// same state compute the same plan; with different states the log accepts only one of two conflicting records.
package placement

import (
	"cmp"
	"slices"

	"heatherreel/internal/ledger"
)

const (
	// witnessCount is the size of a full witness set: the smallest in which a majority survives one loss.
	witnessCount = 3
	// witnessesInRegion is how many of a full set share the holder's region, so that a majority stays reachable
	// when the link to other regions is cut.
	witnessesInRegion = 2
	// witnessChoices is how many nodes, first in the rendezvous order of the holder, compete for each place by load.
	// With 840 nodes the busiest witness has 5 holders with four choices, 8 with two and 20 with one. Comparing all
	// nodes gives 3, but then holders that choose at the same time choose the same newcomer: 49 after 47 restarts.
	witnessChoices = 4
)

// Self describes the node that needs witnesses.
type Self struct {
	// Incarnation is zero before the node has joined.
	Incarnation ledger.Incarnation
	Instance    string
	DataCentre  string
	Region      string
}

// quality ranks witness sets; the fields are compared in order, higher is better.
type quality struct {
	count       int
	dataCentres int
	// region is zero when exactly witnessesInRegion share the holder's region, and falls with the distance to it.
	region int
	// apart is the negated number in the holder's own data centre, which are lost together with the holder.
	apart int
}

func (q quality) compare(other quality) int {
	return cmp.Or(
		cmp.Compare(q.count, other.count),
		cmp.Compare(q.dataCentres, other.dataCentres),
		cmp.Compare(q.region, other.region),
		cmp.Compare(q.apart, other.apart),
	)
}

func (s Self) rate(set []*ledger.Member) quality {
	q := quality{count: len(set)}
	inRegion := 0
	for i, m := range set {
		if !slices.ContainsFunc(set[:i], func(o *ledger.Member) bool { return o.DataCentre == m.DataCentre }) {
			q.dataCentres++
		}
		if m.Region == s.Region {
			inRegion++
		}
		if m.DataCentre == s.DataCentre {
			q.apart--
		}
	}
	q.region = -max(inRegion-witnessesInRegion, witnessesInRegion-inRegion)
	return q
}

// chooser holds what the choice of each place of a witness set needs.
type chooser struct {
	self       Self
	candidates []*ledger.Member
	// load is the number of holders that name each member as witness.
	load map[ledger.Incarnation]int
}

func newChooser(state *ledger.State, self Self, excluded map[ledger.Incarnation]bool) *chooser {
	c := &chooser{self: self, load: make(map[ledger.Incarnation]int, len(state.Members))}
	for i, m := range state.Members {
		for _, w := range m.WitnessSet.Members {
			c.load[w]++
		}
		// An earlier incarnation on the same instance has stopped, although its end is not in the log yet.
		if i == self.Incarnation || m.Instance == self.Instance || excluded[i] {
			continue
		}
		c.candidates = append(c.candidates, m)
	}
	key := hashText(self.Instance) + uint64(self.Incarnation)
	sortByRank(c.candidates, key)
	return c
}

// fill adds members to set until it is full or no candidate is left.
func (c *chooser) fill(set []*ledger.Member) []*ledger.Member {
	set = slices.Clone(set)
	for len(set) < witnessCount {
		next := c.next(set)
		if next == nil {
			break
		}
		set = append(set, next)
	}
	return set
}

// next returns the least loaded of the first candidates that improve set most; nil if there is no candidate.
func (c *chooser) next(set []*ledger.Member) *ledger.Member {
	var best quality
	var chosen *ledger.Member
	compared := 0
	trial := append(slices.Clone(set), nil)
	for _, m := range c.candidates {
		if slices.Contains(set, m) {
			continue
		}
		trial[len(set)] = m
		q := c.self.rate(trial)
		order := q.compare(best)
		switch {
		case chosen == nil || order > 0:
			best, chosen, compared = q, m, 1
		case order == 0 && compared < witnessChoices:
			compared++
			if c.load[m.Incarnation] < c.load[chosen.Incarnation] {
				chosen = m
			}
		}
	}
	return chosen
}

// ChooseWitnesses returns a witness set for a node: three members in three data centres, two of them in the node's
// region, or as many as exist. It is empty for the first node of a fleet.
//
// Different data centres come before the count in the region. With two data centres per region the set is the sibling
// data centre, the node's own and one of another region: the loss of any one data centre leaves a majority, because
// the own data centre is lost with the node only, and the other two can end it. Where just two data centres exist, the
// sibling holds two witnesses, since the holder survives the loss of the sibling by changing its witnesses, while two
// witnesses lost together with the holder could not end it. A witness in the holder's data centre is named last,
// since the first named is the first claimant.
func ChooseWitnesses(state *ledger.State, self Self, excluded map[ledger.Incarnation]bool) []ledger.Incarnation {
	c := newChooser(state, self, excluded)
	return c.order(c.fill(nil))
}

// ReplaceWitnesses returns the set that follows current, and whether it differs. It replaces members that ended or are
// excluded, and living ones only where that makes the set better at surviving a loss; then it replaces the fewest.
func ReplaceWitnesses(
	state *ledger.State, self Self, current []ledger.Incarnation, excluded map[ledger.Incarnation]bool,
) ([]ledger.Incarnation, bool) {
	c := newChooser(state, self, excluded)
	var kept []*ledger.Member
	for _, i := range current {
		if m := state.Members[i]; m != nil && slices.Contains(c.candidates, m) {
			kept = append(kept, m)
		}
	}
	best, bestKept := c.fill(kept), len(kept)
	if c.self.rate(c.fill(nil)).compare(c.self.rate(best)) > 0 {
		best, bestKept = c.improve(kept)
	}
	if len(best) == len(current) && bestKept == len(current) {
		return current, false
	}
	return c.order(best), true
}

// improve returns the best set that contains some of the kept members, and how many: as many as the quality allows.
func (c *chooser) improve(kept []*ledger.Member) (best []*ledger.Member, bestKept int) {
	var bestQuality quality
	// Each mask selects the kept members of one trial; there are at most witnessCount.
	for mask := range 1 << len(kept) {
		var part []*ledger.Member
		for bit, m := range kept {
			if mask&(1<<bit) != 0 {
				part = append(part, m)
			}
		}
		trial := c.fill(part)
		q := c.self.rate(trial)
		order := q.compare(bestQuality)
		if best == nil || order > 0 || order == 0 && len(part) > bestKept {
			best, bestQuality, bestKept = trial, q, len(part)
		}
	}
	return best, bestKept
}

// order returns the incarnations of a set, those in the holder's own data centre last.
func (c *chooser) order(set []*ledger.Member) []ledger.Incarnation {
	var apart, beside []ledger.Incarnation
	for _, m := range set {
		if m.DataCentre == c.self.DataCentre {
			beside = append(beside, m.Incarnation)
			continue
		}
		apart = append(apart, m.Incarnation)
	}
	return append(apart, beside...)
}
