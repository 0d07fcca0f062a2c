package ledger

import (
	"slices"

	"heatherreel/internal/keyspace"
)

// areMembers reports whether all given incarnations are members.
func (s *State) areMembers(incarnations ...Incarnation) bool {
	for _, i := range incarnations {
		if s.Members[i] == nil {
			return false
		}
	}
	return true
}

// hasDuplicates reports whether an incarnation is listed twice. A repeated witness would count twice in a majority.
func hasDuplicates(list []Incarnation) bool {
	for i, incarnation := range list {
		if slices.Contains(list[:i], incarnation) {
			return true
		}
	}
	return false
}

func (s *State) applyJoin(offset Offset, id string, j *Join) Rejection {
	if slices.Contains(s.recentJoinIDs, id) {
		return Duplicate
	}
	if hasDuplicates(j.Witnesses) {
		return MalformedRecord
	}
	if !s.areMembers(j.Witnesses...) {
		return NotAMember
	}
	s.recentJoinIDs = append(s.recentJoinIDs, id)
	if len(s.recentJoinIDs) > maxRecentJoins {
		s.recentJoinIDs = slices.Delete(s.recentJoinIDs, 0, len(s.recentJoinIDs)-maxRecentJoins)
	}
	incarnation := Incarnation(offset)
	s.Members[incarnation] = &Member{
		Incarnation: incarnation,
		Join:        *j,
		WitnessSet:  WitnessSet{Version: offset, Members: slices.Clone(j.Witnesses)},
	}
	return Accepted
}

func (s *State) applyWitnesses(offset Offset, w *Witnesses) Rejection {
	m := s.Members[w.Incarnation]
	if m == nil || !s.areMembers(w.Witnesses...) {
		return NotAMember
	}
	if m.WitnessSet.Version != w.Base {
		return StaleBase
	}
	if slices.Contains(w.Witnesses, w.Incarnation) || hasDuplicates(w.Witnesses) {
		return MalformedRecord
	}
	s.replaceWitnessSet(m, WitnessSet{Version: offset, Members: slices.Clone(w.Witnesses)})
	return Accepted
}

func (s *State) applyRenewed(offset Offset, r *Renewed) Rejection {
	m := s.Members[r.Incarnation]
	if m == nil {
		return NotAMember
	}
	if m.WitnessSet.Version != r.Base {
		return StaleBase
	}
	if len(m.WitnessSet.Members) != 0 {
		return WitnessSetInUse
	}
	s.replaceWitnessSet(m, WitnessSet{Version: offset})
	return Accepted
}

// replaceWitnessSet replaces the member by a copy with the new witness set. A stored Member is never modified, so that
// readers may keep a *Member without a lock.
func (s *State) replaceWitnessSet(m *Member, set WitnessSet) {
	changed := *m
	changed.WitnessSet = set
	s.Members[m.Incarnation] = &changed
}

func (s *State) applyDrain(d *Drain) Rejection {
	m := s.Members[d.Incarnation]
	if m == nil {
		return NotAMember
	}
	changed := *m
	changed.Draining = d.Draining
	s.Members[m.Incarnation] = &changed
	return Accepted
}

func (s *State) applyEnd(offset Offset, e *End) Rejection {
	m := s.Members[e.Incarnation]
	if m == nil {
		return NotAMember
	}
	if m.WitnessSet.Version != e.SetVersion {
		return StaleBase
	}
	successors := make(map[keyspace.SliceID]Incarnation, len(e.Successors))
	for _, successor := range e.Successors {
		if successor.Owner == e.Incarnation || !s.areMembers(successor.Owner) {
			return NotAMember
		}
		successors[successor.Slice] = successor.Owner
	}
	delete(s.Members, e.Incarnation)
	for _, g := range s.Groups {
		g.endIncarnation(offset, e, successors)
	}
	return Accepted
}

func (s *State) applyLeave(offset Offset, l *Leave) Rejection {
	if !s.areMembers(l.Incarnation) {
		return NotAMember
	}
	for _, g := range s.Groups {
		for i := range g.Slices {
			if g.Slices[i].Owner == l.Incarnation {
				return StillOwning
			}
		}
	}
	for _, g := range s.Groups {
		for i := range g.Slices {
			slice := &g.Slices[i]
			if slices.Contains(slice.Sources, l.Incarnation) {
				slice.Sources = without(slice.Sources, l.Incarnation)
				// The new owner has not settled the slice, so it may lack the request outcomes that the leaving node
				// retained.
				slice.recordLoss(offset, l.AtUnixMS)
			}
		}
	}
	delete(s.Members, l.Incarnation)
	return Accepted
}
