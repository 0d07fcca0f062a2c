package ledger

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/keyspace"
)

// TestMain sets a fixed seed for the property tests unless one is given, so that default runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var testGroups = []keyspace.Group{{Service: "orders"}, {Service: "orders", Home: "west"}}

func encode(t rapid.TB, s *State) string {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// decode returns a copy of the state made by encoding and decoding it.
func decode(t rapid.TB, s *State) *State {
	t.Helper()
	var copied State
	if err := json.Unmarshal([]byte(encode(t, s)), &copied); err != nil {
		t.Fatal(err)
	}
	return &copied
}

// recordGenerator draws records based on a state that may be outdated, as a concurrent writer would append them.
type recordGenerator struct {
	t    *rapid.T
	view *State
	next *int
}

func (gen *recordGenerator) member(label string) Incarnation {
	known := []Incarnation{999_999}
	for i := range gen.view.Members {
		known = append(known, i)
	}
	slices.Sort(known)
	return rapid.SampledFrom(known).Draw(gen.t, label)
}

func (gen *recordGenerator) members() []Incarnation {
	drawn := make([]Incarnation, rapid.IntRange(0, 2).Draw(gen.t, "count"))
	for i := range drawn {
		drawn[i] = gen.member("listed")
	}
	return drawn
}

// fences returns a random selection of the slices for which keep returns true in the generator's view.
func (gen *recordGenerator) fences(keep func(Slice) bool) []SliceFence {
	var found []SliceFence
	for _, id := range testGroups {
		g := gen.view.Groups[id]
		for i := 0; g != nil && i < len(g.Slices); i++ {
			if keep(g.Slices[i]) && rapid.Bool().Draw(gen.t, "take") {
				found = append(found, SliceFence{Slice: keyspace.SliceID{Group: id, Index: uint32(i)}, Fence: g.Slices[i].Fence})
			}
		}
	}
	return found
}

func (gen *recordGenerator) setVersion(i Incarnation) Offset {
	if m := gen.view.Members[i]; m != nil {
		return m.WitnessSet.Version
	}
	return 0
}

func (gen *recordGenerator) record() *Record {
	kinds := []Kind{KindJoin, KindJoin, KindWitnesses, KindRenewed, KindAssign, KindMove, KindMove, KindSettled,
		KindReleased, KindEnd, KindLeave, KindConfiguration, KindCheckpoint, "later_version"}
	kind := rapid.SampledFrom(kinds).Draw(gen.t, "kind")
	*gen.next++
	r := &Record{Kind: kind, ID: fmt.Sprint(*gen.next)}
	i := gen.member("incarnation")
	switch kind {
	case KindJoin:
		r.Join = &Join{Instance: r.ID, Service: "orders", Region: "west", Witnesses: gen.members()}
	case KindWitnesses:
		r.Witnesses = &Witnesses{Incarnation: i, Base: gen.setVersion(i), Witnesses: gen.members()}
	case KindRenewed:
		r.Renewed = &Renewed{Incarnation: i, Base: gen.setVersion(i)}
	case KindAssign:
		r.Assign = gen.assign()
	case KindMove:
		r.Move = gen.move()
	case KindSettled:
		r.Settled = &Settled{Incarnation: i, Slices: gen.fences(func(s Slice) bool { return s.Owner == i })}
	case KindReleased:
		r.Released = &Released{Incarnation: i, Slices: gen.fences(func(s Slice) bool { return len(s.Sources) > 0 })}
	case KindEnd:
		r.End = gen.end(i)
	case KindLeave:
		r.Leave = &Leave{Incarnation: i}
	case KindConfiguration:
		r.Configuration = &Configuration{Base: gen.view.Revision(), Document: r.ID, Author: "operator"}
	case KindCheckpoint:
		r.Checkpoint = &Checkpoint{Offset: gen.view.Offset, State: gen.view}
	}
	return r
}

func (gen *recordGenerator) assign() *Assign {
	a := &Assign{Group: rapid.SampledFrom(testGroups).Draw(gen.t, "group"), Count: 4}
	g := gen.view.Groups[a.Group]
	if g != nil {
		a.Base = g.Version
	}
	for i := range a.Count {
		if g == nil || g.Slices[i].Owner == 0 {
			a.Placements = append(a.Placements, Placement{Index: i, Owner: gen.member("owner")})
		}
	}
	return a
}

func (gen *recordGenerator) move() *Move {
	m := &Move{Group: rapid.SampledFrom(testGroups).Draw(gen.t, "group"), Slices: []MovedSlice{{To: gen.member("to")}}}
	if g := gen.view.Groups[m.Group]; g != nil {
		index := uint32(rapid.IntRange(0, len(g.Slices)).Draw(gen.t, "index"))
		slice := g.Slices[index%uint32(len(g.Slices))]
		m.From = slice.Owner
		m.Slices[0].Index, m.Slices[0].Fence = index, slice.Fence
	}
	return m
}

func (gen *recordGenerator) end(i Incarnation) *End {
	e := &End{Incarnation: i, SetVersion: gen.setVersion(i)}
	for _, f := range gen.fences(func(s Slice) bool { return s.Owner == i }) {
		e.Successors = append(e.Successors, Successor{Slice: f.Slice, Owner: gen.member("successor")})
	}
	return e
}

// baseIsStale reports whether the base that r names differs from the state. It implements the rule of docs/design.md
// independently of the code under test.
func baseIsStale(s *State, r *Record) bool {
	version := func(id keyspace.Group) Offset {
		if g := s.Groups[id]; g != nil {
			return g.Version
		}
		return 0
	}
	set := func(i Incarnation) Offset {
		if m := s.Members[i]; m != nil {
			return m.WitnessSet.Version
		}
		return 0
	}
	switch r.Kind {
	case KindWitnesses:
		return r.Witnesses.Base != set(r.Witnesses.Incarnation)
	case KindRenewed:
		return r.Renewed.Base != set(r.Renewed.Incarnation)
	case KindAssign:
		return r.Assign.Base != version(r.Assign.Group)
	case KindMove:
		return fenceIsStale(s, r.Move)
	case KindEnd:
		return r.End.SetVersion != set(r.End.Incarnation)
	case KindConfiguration:
		return r.Configuration.Base != s.Revision()
	}
	return false
}

// fenceIsStale reports whether a slice of the move has another fence than the move names.
func fenceIsStale(s *State, m *Move) bool {
	g := s.Groups[m.Group]
	for _, n := range m.Slices {
		if g == nil || int(n.Index) >= len(g.Slices) || g.Slices[n.Index].Fence != n.Fence {
			return true
		}
	}
	return false
}

// fencedSlice is one slice under one fence, under which it has at most one owner.
type fencedSlice struct {
	slice keyspace.SliceID
	fence Offset
}

// invariantChecker checks the invariants between consecutive states.
type invariantChecker struct {
	owners   map[fencedSlice]Incarnation
	fences   map[keyspace.SliceID]Offset
	revision Offset
}

func (c *invariantChecker) check(t *rapid.T, s *State) {
	if s.Revision() < c.revision {
		t.Fatalf("the revision reverted from %d to %d", c.revision, s.Revision())
	}
	c.revision = s.Revision()
	for id, g := range s.Groups {
		for i, slice := range g.Slices {
			c.checkSlice(t, s, keyspace.SliceID{Group: id, Index: uint32(i)}, slice)
		}
	}
}

func (c *invariantChecker) checkSlice(t *rapid.T, s *State, id keyspace.SliceID, slice Slice) {
	if slice.Fence < c.fences[id] {
		t.Fatalf("%v: fence decreased from %d to %d", id, c.fences[id], slice.Fence)
	}
	c.fences[id] = slice.Fence
	key := fencedSlice{id, slice.Fence}
	if owner, seen := c.owners[key]; seen && owner != slice.Owner {
		t.Fatalf("%v: two owners under the fence %d: %d and %d", id, slice.Fence, owner, slice.Owner)
	}
	c.owners[key] = slice.Owner
	if slice.Owner != 0 && s.Members[slice.Owner] == nil {
		t.Fatalf("%v: the owner %d is not a member", id, slice.Owner)
	}
	if slices.Contains(slice.Sources, slice.Owner) || !s.areMembers(slice.Sources...) {
		t.Fatalf("%v: the owner or an ended incarnation is a source: %+v", id, slice)
	}
}

// TestReplayIsDeterministic guards against two owners under one fence, a record that takes effect on an outdated base,
// effects of rejected records, and replicas that differ, including after a restart from a checkpoint.
func TestReplayIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := NewState(), NewState()
		checker := &invariantChecker{owners: map[fencedSlice]Incarnation{}, fences: map[keyspace.SliceID]Offset{}}
		views := []*State{NewState()}
		var pending, appended []*Record
		var next int
		for offset := Offset(1); offset <= 60; offset++ {
			oldest := max(0, len(views)-4)
			view := rapid.SampledFrom(views[oldest:]).Draw(t, "view")
			pending = append(pending, (&recordGenerator{t: t, view: view, next: &next}).record())
			// Conflicting records reach the log in any order, and a writer that did not receive a reply appends again.
			chosen := rapid.IntRange(max(0, len(pending)-3), len(pending)-1).Draw(t, "chosen")
			record := pending[chosen]
			if rapid.IntRange(0, 4).Draw(t, "again") > 0 {
				pending = slices.Delete(pending, chosen, chosen+1)
			}
			appended = append(appended, record)
			before, stale := encode(t, first), baseIsStale(first, record)
			rejection := first.Apply(offset, record)
			if stale && rejection == Accepted {
				t.Fatalf("a record with a stale base took effect: %+v", record)
			}
			if rejection != Accepted {
				checkUnchanged(t, first, offset, before)
			}
			checker.check(t, first)
			second = advanceReplica(t, second, views, appended, offset)
			if a, b := encode(t, first), encode(t, second); a != b {
				t.Fatalf("replicas differ after %+v:\n%s\n%s", record, a, b)
			}
			views = append(views, first.Clone())
		}
	})
}

func checkUnchanged(t *rapid.T, s *State, offset Offset, before string) {
	restored := s.Clone()
	restored.Offset = offset - 1
	if after := encode(t, restored); after != before {
		t.Fatalf("a rejected record changed the state:\n%s\n%s", before, after)
	}
}

// advanceReplica replays the log on the second replica up to offset. In some cases the replica restarts from a
// checkpoint record at the end of the log that covers an earlier offset, and continues from there.
func advanceReplica(t *rapid.T, s *State, views []*State, appended []*Record, offset Offset) *State {
	if offset > 3 && rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
		covered := views[rapid.IntRange(1, len(views)-1).Draw(t, "covered")]
		s = NewState()
		taken := &Checkpoint{Offset: covered.Offset, State: decode(t, covered)}
		if got := s.Apply(offset+1, &Record{Kind: KindCheckpoint, Checkpoint: taken}); got != Accepted {
			t.Fatalf("a checkpoint was not adopted: %s", got)
		}
	}
	for s.Offset < offset {
		s.Apply(s.Offset+1, appended[s.Offset])
	}
	return s
}
