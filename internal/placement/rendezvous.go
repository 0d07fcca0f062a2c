package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
)

func hashString(text string) uint64 { return xxhash.Sum64String(text) }

// hashGroup returns the rendezvous key of a group.
func hashGroup(g keyspace.Group) uint64 {
	return combineHashes(hashString(g.Service), hashString(string(g.Home)))
}

// combineHashes combines two hashes with the finalizer of splitmix64. Nodes of different versions need not agree on it:
// it only determines who proposes what and when, and the log decides which proposal takes effect.
func combineHashes(a, b uint64) uint64 {
	x := a + 0x9e3779b97f4a7c15*(b+1)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// sortByScore sorts members into the rendezvous order of key, highest score first.
func sortByScore(members []*ledger.Member, key uint64) {
	slices.SortFunc(members, func(a, b *ledger.Member) int {
		return cmp.Or(
			cmp.Compare(combineHashes(key, uint64(b.Incarnation)), combineHashes(key, uint64(a.Incarnation))),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
}

// serves reports whether the member may own slices of the group.
func serves(m *ledger.Member, g keyspace.Group) bool {
	return m.Service == g.Service && g.Home.Allows(m.Region)
}

// PlannerRank returns the position of self in the rendezvous order of the nodes that may plan for the group: the node
// with rank zero plans immediately, the others after a delay. ok is false if self is not a current member of the
// group's service in an allowed region.
func PlannerRank(state *ledger.State, group keyspace.Group, self ledger.Incarnation) (rank int, ok bool) {
	m := state.Members[self]
	if m == nil || !serves(m, group) {
		return 0, false
	}
	key := hashGroup(group)
	score := combineHashes(key, uint64(self))
	for i, other := range state.Members {
		if serves(other, group) && combineHashes(key, uint64(i)) > score {
			rank++
		}
	}
	return rank, true
}

// TaskRank returns the position of self in the rendezvous order of all current members for a task that any of them can
// do; zero is first. Different tasks give different orders. ok is false if self is not a member.
func TaskRank(state *ledger.State, task uint64, self ledger.Incarnation) (rank int, ok bool) {
	if state.Members[self] == nil {
		return 0, false
	}
	score := combineHashes(task, uint64(self))
	for i := range state.Members {
		if combineHashes(task, uint64(i)) > score {
			rank++
		}
	}
	return rank, true
}
