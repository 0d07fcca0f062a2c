package ledger

import (
	"slices"

	"heatherreel/internal/keyspace"
)

// groupAtVersion returns the group if its version equals base and all slice indexes are within its range. Otherwise it
// returns nil and the reason.
func (s *State) groupAtVersion(id keyspace.Group, base Offset, indexes ...uint32) (*Group, Rejection) {
	g := s.Groups[id]
	if g == nil || g.Version != base {
		return nil, StaleBase
	}
	for _, i := range indexes {
		if int(i) >= len(g.Slices) {
			return nil, OutsideOfGroup
		}
	}
	return g, Accepted
}

func (s *State) applyAssign(offset Offset, a *Assign) Rejection {
	if a.Count > MaxSlices {
		return MalformedRecord
	}
	indexes := make([]uint32, 0, len(a.Placements))
	seen := make(map[uint32]bool, len(a.Placements))
	for _, p := range a.Placements {
		if !s.areMembers(p.Owner) {
			return NotAMember
		}
		if seen[p.Index] {
			return MalformedRecord
		}
		seen[p.Index] = true
		indexes = append(indexes, p.Index)
	}
	if s.Groups[a.Group] == nil && a.Base == 0 && a.Count > 0 {
		return s.createGroup(offset, a, indexes)
	}
	g, rejection := s.groupAtVersion(a.Group, a.Base, indexes...)
	if g == nil {
		return rejection
	}
	for _, i := range indexes {
		if g.Slices[i].Owner != 0 {
			return AlreadyOwned
		}
	}
	g.assign(offset, a.Placements)
	return Accepted
}

// createGroup adds a group with a.Count slices and applies the placements.
func (s *State) createGroup(offset Offset, a *Assign, indexes []uint32) Rejection {
	for _, i := range indexes {
		if i >= a.Count {
			return OutsideOfGroup
		}
	}
	g := &Group{ID: a.Group, Slices: make([]Slice, a.Count)}
	s.Groups[a.Group] = g
	g.assign(offset, a.Placements)
	return Accepted
}

// assign sets the owners of unowned slices. Slice.Lost is unchanged: it still describes the loss of the last owner.
func (g *Group) assign(offset Offset, placements []Placement) {
	for _, p := range placements {
		g.Slices[p.Index].setOwner(p.Owner, offset)
	}
	g.Version = offset
}

// setOwner makes an incarnation the owner of the slice; zero leaves it unowned. An owner is never its own source,
// because it knows which requests it still runs and has their outcomes.
func (s *Slice) setOwner(owner Incarnation, fence Offset) {
	s.Owner = owner
	s.Fence = fence
	if slices.Contains(s.Sources, owner) {
		s.Sources = without(s.Sources, owner)
	}
}

// recordLoss records that the request outcomes of an owner or source were lost to the current owner: it ended or left,
// or its release was recorded in the log, which does not pass on outcomes.
func (s *Slice) recordLoss(offset Offset, atUnixMS int64) {
	s.Lost = offset
	s.LostUnixMS = atUnixMS
}

func (s *State) applyMove(offset Offset, m *Move) Rejection {
	g := s.Groups[m.Group]
	if g == nil {
		return OutsideOfGroup
	}
	if !s.areMembers(m.From) {
		return NotAMember
	}
	seen := make(map[uint32]bool, len(m.Slices))
	for _, moved := range m.Slices {
		if rejection := s.checkMove(g, m.From, moved); rejection != Accepted {
			return rejection
		}
		if seen[moved.Index] {
			return MalformedRecord
		}
		seen[moved.Index] = true
	}
	for _, moved := range m.Slices {
		// Lost is unchanged: the new owner must still treat older request ids as possibly executed.
		g.Slices[moved.Index].setOwner(moved.To, offset)
		g.Slices[moved.Index].Sources = []Incarnation{m.From}
	}
	g.Version = offset
	return Accepted
}

// checkMove returns why a slice cannot be moved, or Accepted.
func (s *State) checkMove(g *Group, from Incarnation, moved MovedSlice) Rejection {
	switch {
	case int(moved.Index) >= len(g.Slices):
		return OutsideOfGroup
	case moved.To == from || !s.areMembers(moved.To):
		return NotAMember
	case g.Slices[moved.Index].Owner != from:
		return NotTheOwner
	case g.Slices[moved.Index].Fence != moved.Fence:
		return StaleBase
	case len(g.Slices[moved.Index].Sources) != 0:
		return NotSettled
	}
	return Accepted
}

// slice returns the slice, or nil if it does not exist or has another fence.
func (s *State) slice(f SliceFence) *Slice {
	g := s.Groups[f.Slice.Group]
	if g == nil || int(f.Slice.Index) >= len(g.Slices) {
		return nil
	}
	if g.Slices[f.Slice.Index].Fence != f.Fence {
		return nil
	}
	return &g.Slices[f.Slice.Index]
}

// applySettled clears the sources of the slices whose owner and fence still match. The others have changed owner since
// the record was written. The record is rejected if no slice matches.
func (s *State) applySettled(r *Settled) Rejection {
	rejection := NotTheOwner
	for _, f := range r.Slices {
		slice := s.slice(f)
		if slice == nil || slice.Owner != r.Incarnation {
			continue
		}
		slice.Sources = nil
		rejection = Accepted
	}
	return rejection
}

// applyReleased removes the incarnation from the sources of the slices whose fence still matches. The record is
// rejected if the incarnation is a source of none of them.
func (s *State) applyReleased(offset Offset, r *Released) Rejection {
	rejection := StaleBase
	for _, f := range r.Slices {
		slice := s.slice(f)
		if slice == nil {
			continue
		}
		if !slices.Contains(slice.Sources, r.Incarnation) {
			continue
		}
		slice.Sources = without(slice.Sources, r.Incarnation)
		slice.recordLoss(offset, r.AtUnixMS)
		rejection = Accepted
	}
	return rejection
}

// without returns a copy of list without i; nil if the result is empty.
func without(list []Incarnation, i Incarnation) []Incarnation {
	var kept []Incarnation
	for _, other := range list {
		if other != i {
			kept = append(kept, other)
		}
	}
	return kept
}

// endIncarnation removes an incarnation from a group and assigns its slices to their successors. A slice without a
// successor becomes unowned, for example one that moved to the incarnation after the claimant read the state.
func (g *Group) endIncarnation(offset Offset, e *End, successors map[keyspace.SliceID]Incarnation) {
	for i := range g.Slices {
		slice := &g.Slices[i]
		if slices.Contains(slice.Sources, e.Incarnation) {
			slice.Sources = without(slice.Sources, e.Incarnation)
			slice.recordLoss(offset, e.AtUnixMS)
		}
		if slice.Owner != e.Incarnation {
			continue
		}
		slice.setOwner(successors[keyspace.SliceID{Group: g.ID, Index: uint32(i)}], offset)
		slice.recordLoss(offset, e.AtUnixMS)
		g.Version = offset
	}
}

// Owned returns the slices that the incarnation owns, sorted by slice.
func (s *State) Owned(i Incarnation) []SliceFence {
	var owned []SliceFence
	for _, g := range s.Groups {
		for index := range g.Slices {
			if g.Slices[index].Owner == i {
				id := keyspace.SliceID{Group: g.ID, Index: uint32(index)}
				owned = append(owned, SliceFence{Slice: id, Fence: g.Slices[index].Fence})
			}
		}
	}
	slices.SortFunc(owned, func(a, b SliceFence) int { return a.Slice.Compare(b.Slice) })
	return owned
}

// Lookup returns the index and the slice to which a key hash maps in a group; false if the group does not exist.
func (s *State) Lookup(id keyspace.Group, hash uint64) (uint32, Slice, bool) {
	g := s.Groups[id]
	if g == nil {
		return 0, Slice{}, false
	}
	index := keyspace.Index(hash, uint32(len(g.Slices)))
	return index, g.Slices[index], true
}
