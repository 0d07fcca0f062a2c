package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
)

func hashText(text string) uint64 { return xxhash.Sum64String(text) }

func hashGroup(g keyspace.Group) uint64 {
	return mix(hashText(g.Service), hashText(string(g.Home)))
}

// mix combines two hashes with the finalizer of splitmix64. Mixed versions need not agree on it: it orders proposals,
// and the log decides among them.
func mix(a, b uint64) uint64 {
	x := a + 0x9e3779b97f4a7c15*(b+1)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// sortByRank puts members into the rendezvous order of key, highest score first.
func sortByRank(members []*ledger.Member, key uint64) {
	slices.SortFunc(members, func(a, b *ledger.Member) int {
		return cmp.Or(
			cmp.Compare(mix(key, uint64(b.Incarnation)), mix(key, uint64(a.Incarnation))),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
}

// serves reports whether the member may own slices of the group.
func serves(m *ledger.Member, g keyspace.Group) bool {
	return m.Service == g.Service && g.Home.Allows(m.Region)
}

// PlannerRank returns the position of self in the rendezvous order of planners of the group: zero plans at once, others
// after a delay. ok is false if self is not a living node of the group's service in an allowed region.
func PlannerRank(state *ledger.State, group keyspace.Group, self ledger.Incarnation) (rank int, ok bool) {
	m := state.Members[self]
	if m == nil || !serves(m, group) {
		return 0, false
	}
	key := hashGroup(group)
	score := mix(key, uint64(self))
	for i, other := range state.Members {
		if serves(other, group) && mix(key, uint64(i)) > score {
			rank++
		}
	}
	return rank, true
}

// DutyRank returns the position of self in the rendezvous order of all living members for a duty that any of them can
// do; zero is first. Different duties give different orders. ok is false if self is not a member.
func DutyRank(state *ledger.State, duty uint64, self ledger.Incarnation) (rank int, ok bool) {
	if state.Members[self] == nil {
		return 0, false
	}
	score := mix(duty, uint64(self))
	for i := range state.Members {
		if mix(duty, uint64(i)) > score {
			rank++
		}
	}
	return rank, true
}
