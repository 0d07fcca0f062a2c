// Package placement plans which members own the slices of each group: initial assignment, failover, drain and
// rebalancing. It also chooses the witnesses of each node.
//
// All functions are pure. They read a ledger.State and return values or record bodies that are not appended yet. Two
// nodes with the same state compute the same plan; if their states differ, the log accepts only one of two conflicting
// records.
package placement

import (
	"cmp"
	"slices"

	"heatherreel/internal/ledger"
)

const (
	// witnessCount is the size of a full witness set: the smallest of which a majority remains after the loss of one.
	witnessCount = 3
	// witnessesInRegion is how many witnesses of a full set are in the holder's region, so that a majority stays
	// reachable when the link to other regions is down.
	witnessesInRegion = 2
	// witnessChoices is the number of nodes whose load is compared for each witness: the first equally good ones in the
	// rendezvous order of the holder. With 840 nodes the busiest witness has 5 holders with four choices, 8 with two
	// and 20 with one. Comparing all nodes gives 3, but then holders that choose at the same time all choose the same
	// new node, which had 49 holders after 47 restarts.
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

// quality rates a witness set. Qualities are compared field by field in this order; higher is better.
type quality struct {
	// count is the number of witnesses.
	count int
	// dataCentres is the number of different data centres.
	dataCentres int
	// regionFit is zero when exactly witnessesInRegion witnesses are in the holder's region, else the negated
	// difference.
	regionFit int
	// inDataCentre is the negated number of witnesses in the holder's own data centre, which fail together with the
	// holder.
	inDataCentre int
}

func (q quality) compare(other quality) int {
	return cmp.Or(
		cmp.Compare(q.count, other.count),
		cmp.Compare(q.dataCentres, other.dataCentres),
		cmp.Compare(q.regionFit, other.regionFit),
		cmp.Compare(q.inDataCentre, other.inDataCentre),
	)
}

// rate returns the quality of a witness set of the node.
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
			q.inDataCentre--
		}
	}
	q.regionFit = -max(inRegion-witnessesInRegion, witnessesInRegion-inRegion)
	return q
}

// witnessChooser chooses the members of a witness set one by one.
type witnessChooser struct {
	self Self
	// candidates are the nodes that may be witnesses, in the rendezvous order of the holder.
	candidates []*ledger.Member
	// load is the number of holders for which each member is a witness.
	load map[ledger.Incarnation]int
}

func newWitnessChooser(state *ledger.State, self Self, excluded map[ledger.Incarnation]bool) *witnessChooser {
	c := &witnessChooser{self: self, load: make(map[ledger.Incarnation]int, len(state.Members))}
	for i, m := range state.Members {
		for _, w := range m.WitnessSet.Members {
			c.load[w]++
		}
		// An earlier incarnation on the same instance has stopped, even if its end is not in the log yet.
		if i == self.Incarnation || m.Instance == self.Instance || excluded[i] {
			continue
		}
		c.candidates = append(c.candidates, m)
	}
	key := hashString(self.Instance) + uint64(self.Incarnation)
	sortByScore(c.candidates, key)
	return c
}

// fill adds members to set until it is full or no candidate is left.
func (c *witnessChooser) fill(set []*ledger.Member) []*ledger.Member {
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

// next returns the candidate that improves set most; nil if there is none. Of the first witnessChoices equally good
// candidates it returns the one with the least load.
func (c *witnessChooser) next(set []*ledger.Member) *ledger.Member {
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
// Different data centres take precedence over the number in the region. With two data centres per region, one witness
// is in the region's other data centre, one in the node's own, and one in another region. The loss of any one data
// centre then leaves a majority: if the node's own data centre is lost, the node is lost too, and the other two
// witnesses can end it. If only two data centres exist, two witnesses are in the other one: if that one is lost, the
// holder continues by changing its witnesses, whereas two witnesses that are lost together with the holder could not
// end it. A witness in the holder's data centre comes last, since the first in the list is the first claimant.
func ChooseWitnesses(state *ledger.State, self Self, excluded map[ledger.Incarnation]bool) []ledger.Incarnation {
	c := newWitnessChooser(state, self, excluded)
	return c.order(c.fill(nil))
}

// ReplaceWitnesses returns the witness set that should replace current, and whether it differs. It replaces members
// that have ended or are excluded. It replaces others only if that raises the quality of the set, and then as few as
// possible.
func ReplaceWitnesses(
	state *ledger.State, self Self, current []ledger.Incarnation, excluded map[ledger.Incarnation]bool,
) ([]ledger.Incarnation, bool) {
	c := newWitnessChooser(state, self, excluded)
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

// improve returns the best set that can be formed with some of the kept members, and the number of these: among sets of
// equal quality it takes the one that keeps most.
func (c *witnessChooser) improve(kept []*ledger.Member) (best []*ledger.Member, bestKept int) {
	var bestQuality quality
	// Each bit mask selects the kept members of one trial; there are at most witnessCount of them.
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
func (c *witnessChooser) order(set []*ledger.Member) []ledger.Incarnation {
	var elsewhere, inDataCentre []ledger.Incarnation
	for _, m := range set {
		if m.DataCentre == c.self.DataCentre {
			inDataCentre = append(inDataCentre, m.Incarnation)
			continue
		}
		elsewhere = append(elsewhere, m.Incarnation)
	}
	return append(elsewhere, inDataCentre...)
}
