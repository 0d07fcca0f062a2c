package ledger

import (
	"slices"

	"heatherreel/internal/keyspace"
)

// groupFor returns the group if its version equals base and all indexes lie inside it.
func (s *State) groupFor(id keyspace.Group, base Offset, indexes ...uint32) (*Group, Rejection) {
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
	placed := make(map[uint32]bool, len(a.Placements))
	for _, p := range a.Placements {
		if !s.alive(p.Owner) {
			return NotAMember
		}
		if placed[p.Index] {
			return MalformedRecord
		}
		placed[p.Index] = true
		indexes = append(indexes, p.Index)
	}
	if s.Groups[a.Group] == nil && a.Base == 0 && a.Count > 0 {
		return s.createGroup(offset, a, indexes)
	}
	g, rejection := s.groupFor(a.Group, a.Base, indexes...)
	if g == nil {
		return rejection
	}
	for _, i := range indexes {
		if g.Slices[i].Owner != 0 {
			return AlreadyOwned
		}
	}
	g.place(offset, a.Placements)
	return Accepted
}

// createGroup adds a group with all its slices.
func (s *State) createGroup(offset Offset, a *Assign, indexes []uint32) Rejection {
	for _, i := range indexes {
		if i >= a.Count {
			return OutsideOfGroup
		}
	}
	g := &Group{ID: a.Group, Slices: make([]Slice, a.Count)}
	s.Groups[a.Group] = g
	g.place(offset, a.Placements)
	return Accepted
}

// place gives unowned slices to owners. Lost stays as the loss of the last owner left it.
func (g *Group) place(offset Offset, placements []Placement) {
	for _, p := range placements {
		g.Slices[p.Index].giveTo(p.Owner, offset)
	}
	g.Version = offset
}

// giveTo makes an incarnation the owner, or none if it is zero. An owner is not its own source: it knows which
// requests it still runs and has their outcomes.
func (s *Slice) giveTo(owner Incarnation, fence Offset) {
	s.Owner = owner
	s.Fence = fence
	if slices.Contains(s.Sources, owner) {
		s.Sources = without(s.Sources, owner)
	}
}

// lose notes that an owner or source disappeared without releasing the slice.
func (s *Slice) lose(offset Offset, atUnixMS int64) {
	s.Lost = offset
	s.LostUnixMS = atUnixMS
}

func (s *State) applyMove(offset Offset, m *Move) Rejection {
	g := s.Groups[m.Group]
	if g == nil {
		return OutsideOfGroup
	}
	if !s.alive(m.From) {
		return NotAMember
	}
	moved := make(map[uint32]bool, len(m.Slices))
	for _, n := range m.Slices {
		if rejection := s.checkMove(g, m.From, n); rejection != Accepted {
			return rejection
		}
		if moved[n.Index] {
			return MalformedRecord
		}
		moved[n.Index] = true
	}
	for _, n := range m.Slices {
		// Lost is kept: the new owner must still treat older request ids as possibly run.
		g.Slices[n.Index].giveTo(n.To, offset)
		g.Slices[n.Index].Sources = []Incarnation{m.From}
	}
	g.Version = offset
	return Accepted
}

// checkMove returns why one slice of a move cannot be moved, or Accepted.
func (s *State) checkMove(g *Group, from Incarnation, n MovedSlice) Rejection {
	switch {
	case int(n.Index) >= len(g.Slices):
		return OutsideOfGroup
	case n.To == from || !s.alive(n.To):
		return NotAMember
	case g.Slices[n.Index].Owner != from:
		return NotTheOwner
	case g.Slices[n.Index].Fence != n.Fence:
		return StaleBase
	case len(g.Slices[n.Index].Sources) != 0:
		return NotSettled
	}
	return Accepted
}

// slice returns the slice if it exists under the fence.
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

// applySettled clears the sources of the slices that still match; the others changed owner meanwhile.
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
		slice.lose(offset, r.AtUnixMS)
		rejection = Accepted
	}
	return rejection
}

// without returns a copy of list that lacks i; nil if nothing is left.
func without(list []Incarnation, i Incarnation) []Incarnation {
	var kept []Incarnation
	for _, other := range list {
		if other != i {
			kept = append(kept, other)
		}
	}
	return kept
}

// end removes an incarnation from a group and places its slices with their successors.
// A slice that has none, such as one that moved to the incarnation after the claimant looked, becomes unowned.
func (g *Group) end(offset Offset, e *End, successors map[keyspace.SliceID]Incarnation) {
	for i := range g.Slices {
		slice := &g.Slices[i]
		if slices.Contains(slice.Sources, e.Incarnation) {
			slice.Sources = without(slice.Sources, e.Incarnation)
			slice.lose(offset, e.AtUnixMS)
		}
		if slice.Owner != e.Incarnation {
			continue
		}
		slice.giveTo(successors[keyspace.SliceID{Group: g.ID, Index: uint32(i)}], offset)
		slice.lose(offset, e.AtUnixMS)
		g.Version = offset
	}
}

// Owned returns the slices that the incarnation owns, in order.
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

// Lookup returns the slice of a key hash in a group.
func (s *State) Lookup(id keyspace.Group, hash uint64) (uint32, Slice, bool) {
	g := s.Groups[id]
	if g == nil {
		return 0, Slice{}, false
	}
	index := keyspace.Index(hash, uint32(len(g.Slices)))
	return index, g.Slices[index], true
}
