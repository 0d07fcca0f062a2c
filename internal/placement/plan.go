package placement

import (
	"math"
	"slices"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
)

// Policy is the part of the configuration that placement of one group needs.
type Policy struct {
	// TakenOut holds the data centres that operators took out of service.
	TakenOut map[string]bool
	// Draining holds the incarnations whose node or backend server is stopping.
	Draining map[ledger.Incarnation]bool
	// SliceCount is the number of slices of a new group; with zero, a new group is not assigned.
	SliceCount uint32
}

// PolicyFunc returns the policy of a group. It must be a pure function.
type PolicyFunc func(keyspace.Group) Policy

// eligible reports whether the member may receive slices of the group.
func (p Policy) eligible(m *ledger.Member, g keyspace.Group) bool {
	return serves(m, g) && m.Weight > 0 && !p.TakenOut[m.DataCentre] && !p.Draining[m.Incarnation]
}

// countByOwner counts the slices of a group by owner, including owners that have ended.
func countByOwner(g *ledger.Group) map[ledger.Incarnation]int {
	counts := map[ledger.Incarnation]int{}
	if g == nil {
		return counts
	}
	for i := range g.Slices {
		counts[g.Slices[i].Owner]++
	}
	return counts
}

// Limits for the distribution of the slices of one member that ends or drains.
const (
	// maxShareFactor limits what one successor receives to this multiple of its share by weight, but at least one
	// slice. Without a limit, a member that has just joined, and may be cold, would get all slices of a lost one.
	maxShareFactor = 2
	// minOutsideShare is the minimum share of the eligible weight that must lie outside the ended member's data centre
	// for the members inside to be skipped. When a data centre is lost, all its members are lost, but they are ended
	// one by one; slices assigned to another lost member would be lost again. With less weight outside, too few members
	// would take the load.
	minOutsideShare = 1.0 / 3
	// successorChoices is the number of members per lost slice whose load is compared: the first ones in the rendezvous
	// order of the ended member. When a data centre is lost, its members are ended from nearly the same state; if each
	// plan compared all members, all plans would choose the few with the least load. With 140 of 840 members lost and
	// 40 just joined, the imbalance afterwards is 1.37 with four choices, 1.42 with one, 1.97 with eight and 3.99 with
	// all.
	successorChoices = 4
)

// targetsFor returns the eligible members of a group with their loads, without those for which skip returns true.
func targetsFor(
	state *ledger.State, id keyspace.Group, p Policy, seed uint64, skip func(*ledger.Member) bool,
) *targets {
	t := &targets{}
	counts := countByOwner(state.Groups[id])
	for i, m := range state.Members {
		if !p.eligible(m, id) || skip != nil && skip(m) {
			continue
		}
		t.add(&target{member: m, load: counts[i], tieBreak: combineHashes(seed, uint64(i)), limit: math.MaxInt})
	}
	return t
}

// PlanAssign returns an Assign for a new group or for one with unowned slices; nil if there is nothing to assign or no
// member is eligible. Owned slices stay where they are; each unowned one goes to the member with the least load per
// weight.
func PlanAssign(state *ledger.State, id keyspace.Group, p Policy) *ledger.Assign {
	a := &ledger.Assign{Group: id, Count: min(p.SliceCount, ledger.MaxSlices)}
	g := state.Groups[id]
	if g != nil {
		a.Base, a.Count = g.Version, uint32(len(g.Slices))
	}
	for index := range a.Count {
		if g == nil || g.Slices[index].Owner == 0 {
			a.Placements = append(a.Placements, ledger.Placement{Index: index})
		}
	}
	if len(a.Placements) == 0 {
		return nil
	}
	t := targetsFor(state, id, p, hashGroup(id), nil)
	for i := range a.Placements {
		next := t.assignNext()
		if next == nil {
			return nil
		}
		a.Placements[i].Owner = next.member.Incarnation
	}
	return a
}

// PlanFailover returns successors for all slices that a member owns, in all groups. Slices without an eligible
// successor are omitted and become unowned. Excluded incarnations, such as others that are suspected, receive nothing.
func PlanFailover(
	state *ledger.State, ended ledger.Incarnation, excluded map[ledger.Incarnation]bool, policies PolicyFunc,
) []ledger.Successor {
	var plan []ledger.Successor
	lost := state.Members[ended]
	if lost == nil {
		return nil
	}
	for _, id := range sortedGroups(state) {
		owned := ownedIndexes(state.Groups[id], ended)
		if len(owned) == 0 {
			continue
		}
		p := policies(id)
		skip := func(m *ledger.Member) bool { return m.Incarnation == ended || excluded[m.Incarnation] }
		if outsideWeightShare(state, id, p, lost.DataCentre, skip) >= minOutsideShare {
			skip = func(m *ledger.Member) bool { return excluded[m.Incarnation] || m.DataCentre == lost.DataCentre }
		}
		t := targetsFor(state, id, p, combineHashes(hashGroup(id), uint64(ended)), skip)
		t.keepFirst(successorChoices * len(owned))
		t.limitShares(len(owned))
		for _, index := range owned {
			next := t.assignNext()
			if next == nil {
				break
			}
			slice := keyspace.SliceID{Group: id, Index: index}
			plan = append(plan, ledger.Successor{Slice: slice, Owner: next.member.Incarnation})
		}
	}
	return plan
}

// outsideWeightShare returns the share of the eligible weight that lies outside a data centre.
func outsideWeightShare(
	state *ledger.State, id keyspace.Group, p Policy, dataCentre string, skip func(*ledger.Member) bool,
) float64 {
	var outside, total float64
	for _, m := range state.Members {
		if !p.eligible(m, id) || skip(m) {
			continue
		}
		total += float64(m.Weight)
		if m.DataCentre != dataCentre {
			outside += float64(m.Weight)
		}
	}
	if total == 0 {
		return 0
	}
	return outside / total
}

// PlanDrain returns moves that take all settled slices away from a member: one move per group, of at most maxSlices
// slices. Unsettled slices follow in a later plan, once they are settled.
func PlanDrain(state *ledger.State, from ledger.Incarnation, maxSlices int, policies PolicyFunc) []ledger.Move {
	var plan []ledger.Move
	for _, id := range sortedGroups(state) {
		g := state.Groups[id]
		movable := slices.DeleteFunc(ownedIndexes(g, from), func(i uint32) bool { return len(g.Slices[i].Sources) > 0 })
		if len(movable) == 0 {
			continue
		}
		skip := func(m *ledger.Member) bool { return m.Incarnation == from }
		t := targetsFor(state, id, policies(id), combineHashes(hashGroup(id), uint64(from)), skip)
		t.limitShares(len(movable))
		m := newMoves(g, maxSlices)
		for _, index := range movable {
			next := t.assignNext()
			if next == nil {
				break
			}
			m.add(from, next.member.Incarnation, index)
		}
		plan = append(plan, m.list()...)
	}
	return plan
}

// RebalanceLimits limits what PlanRebalance moves.
type RebalanceLimits struct {
	// Threshold is the minimum gain of a move, as a fraction of the mean load per weight: the gap between two members
	// must narrow by more than that. Without it, members whose loads differ only by rounding would exchange slices
	// after each small change.
	Threshold float64
	// MaxSlices is the maximum number of slices per move.
	MaxSlices int
	// MaxPerReceiver is the maximum number of slices per move for one receiver, which may be cold.
	MaxPerReceiver int
}

// DefaultRebalanceLimits keeps members with 16 slices within two slices of each other: 0.1 of 16 is above one slice.
// When a cold backend server receives one slice a second, it refuses an eighth to a third of the requests that it
// refuses with four (docs/limits.md).
var DefaultRebalanceLimits = RebalanceLimits{Threshold: 0.1, MaxSlices: 4, MaxPerReceiver: 1}

// PlanRebalance returns the moves that even out the load per weight of a group, largest first, or none if no move gains
// more than the threshold. It moves one slice at a time from the member with the highest to the one with the lowest
// load per weight, and so moves as few slices as possible.
func PlanRebalance(state *ledger.State, id keyspace.Group, p Policy, limits RebalanceLimits) []ledger.Move {
	g := state.Groups[id]
	if g == nil {
		return nil
	}
	t := targetsFor(state, id, p, hashGroup(id), nil)
	minGap := limits.Threshold * t.meanLoad()
	movable := settledByOwner(g)
	m := newMoves(g, limits.MaxSlices)
	m.maxPerReceiver = limits.MaxPerReceiver
	for {
		from, to := t.extremes(movable)
		if from == nil || from.loadPerWeight(0)-to.loadPerWeight(1) <= minGap {
			break
		}
		indexes := movable[from.member.Incarnation]
		m.add(from.member.Incarnation, to.member.Incarnation, indexes[0])
		movable[from.member.Incarnation] = indexes[1:]
		from.load--
		to.load++
	}
	return m.list()
}

// Imbalance returns the ratio of the highest load per weight to the mean of the eligible members: 1 is even, 0 means
// that the group has no slices or no eligible owner.
func Imbalance(state *ledger.State, id keyspace.Group, p Policy) float64 {
	t := targetsFor(state, id, p, 0, nil)
	mean := t.meanLoad()
	if mean == 0 {
		return 0
	}
	highest := 0.0
	for _, candidate := range t.list {
		highest = max(highest, candidate.loadPerWeight(0))
	}
	return highest / mean
}

func sortedGroups(state *ledger.State) []keyspace.Group {
	ids := make([]keyspace.Group, 0, len(state.Groups))
	for id := range state.Groups {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, keyspace.Group.Compare)
	return ids
}

// ownedIndexes returns the indexes of the slices of a group that a member owns.
func ownedIndexes(g *ledger.Group, owner ledger.Incarnation) []uint32 {
	var indexes []uint32
	for i := range g.Slices {
		if g.Slices[i].Owner == owner {
			indexes = append(indexes, uint32(i))
		}
	}
	return indexes
}

// settledByOwner returns the indexes of the settled slices of a group by owner; only these may be moved.
func settledByOwner(g *ledger.Group) map[ledger.Incarnation][]uint32 {
	settled := map[ledger.Incarnation][]uint32{}
	for i := range g.Slices {
		if s := &g.Slices[i]; len(s.Sources) == 0 {
			settled[s.Owner] = append(settled[s.Owner], uint32(i))
		}
	}
	return settled
}
