package ledger

import (
	"encoding/json"
	"testing"

	"heatherreel/internal/keyspace"
)

var (
	orders     = keyspace.Group{Service: "orders"}
	firstSlice = keyspace.SliceID{Group: orders}
)

// newTestState returns a state with members 1, 2 and 3 (2 is the witness of 3), slice 0 owned by 1, slice 1 moved from
// 1 to 2 and not settled, slice 2 unowned, and configuration revision 6.
func newTestState(t *testing.T) *State {
	t.Helper()
	s := NewState()
	records := []*Record{
		{Kind: KindJoin, ID: "a", Join: &Join{}},
		{Kind: KindJoin, ID: "b", Join: &Join{}},
		{Kind: KindJoin, ID: "c", Join: &Join{Witnesses: []Incarnation{2}}},
		{Kind: KindAssign, Assign: &Assign{Group: orders, Count: 3, Placements: []Placement{{0, 1}, {1, 1}}}},
		{Kind: KindMove, Move: &Move{Group: orders, From: 1, Slices: []MovedSlice{{Index: 1, Fence: 4, To: 2}}}},
		{Kind: KindConfiguration, Configuration: &Configuration{Document: "one"}},
	}
	for i, r := range records {
		if got := s.Apply(Offset(i+1), r); got != Accepted {
			t.Fatalf("record %d: %s", i+1, got)
		}
	}
	return s
}

// TestRejections guards against a record that takes effect, or changes the state, although its precondition is not met.
func TestRejections(t *testing.T) {
	move := func(fence Offset, index uint32, from, to Incarnation) *Record {
		moved := []MovedSlice{{Index: index, Fence: fence, To: to}}
		return &Record{Kind: KindMove, Move: &Move{Group: orders, From: from, Slices: moved}}
	}
	moveTwice := func(second MovedSlice) *Record {
		moved := []MovedSlice{{Index: 0, Fence: 4, To: 2}, second}
		return &Record{Kind: KindMove, Move: &Move{Group: orders, From: 1, Slices: moved}}
	}
	assign := func(base Offset, count uint32, p ...Placement) *Record {
		return &Record{Kind: KindAssign, Assign: &Assign{Group: orders, Base: base, Count: count, Placements: p}}
	}
	witnesses := func(of Incarnation, base Offset, set ...Incarnation) *Record {
		return &Record{Kind: KindWitnesses, Witnesses: &Witnesses{Incarnation: of, Base: base, Witnesses: set}}
	}
	join := func(id string, set ...Incarnation) *Record {
		return &Record{Kind: KindJoin, ID: id, Join: &Join{Witnesses: set}}
	}
	end := func(of Incarnation, set Offset, owner Incarnation) *Record {
		next := []Successor{{Slice: firstSlice, Owner: owner}}
		return &Record{Kind: KindEnd, End: &End{Incarnation: of, SetVersion: set, Successors: next}}
	}
	checkpoint := func(offset Offset, s *State) *Record {
		return &Record{Kind: KindCheckpoint, Checkpoint: &Checkpoint{Offset: offset, State: s}}
	}
	fences := func(f Offset) []SliceFence { return []SliceFence{{Slice: firstSlice, Fence: f}} }
	other := keyspace.Group{Service: "pricing"}
	cases := []struct {
		name   string
		record *Record
		want   Rejection
	}{
		{"unknown kind", &Record{Kind: "split"}, UnknownKind},
		{"no body", &Record{Kind: KindMove}, MalformedRecord},
		{"join twice", join("a"), Duplicate},
		{"join with an unknown witness", join("d", 9), NotAMember},
		{"join with a repeated witness", join("d", 1, 1), MalformedRecord},
		{"witnesses of an unknown node", witnesses(9, 3, 1), NotAMember},
		{"unknown witness", witnesses(3, 3, 9), NotAMember},
		{"witnesses on a stale base", witnesses(3, 2, 1), StaleBase},
		{"its own witness", witnesses(3, 3, 3), MalformedRecord},
		{"repeated witness", witnesses(3, 3, 1, 1), MalformedRecord},
		{"renewed by an unknown node", &Record{Kind: KindRenewed, Renewed: &Renewed{Incarnation: 9}}, NotAMember},
		{"renewed twice", &Record{Kind: KindRenewed, Renewed: &Renewed{Incarnation: 1}}, StaleBase},
		{"renewed with witnesses", &Record{Kind: KindRenewed, Renewed: &Renewed{Incarnation: 3, Base: 3}}, WitnessSetInUse},
		{"assign to an unknown node", assign(5, 3, Placement{2, 9}), NotAMember},
		{"assign on a stale base", assign(4, 3, Placement{2, 1}), StaleBase},
		{"assign to a group that exists", assign(0, 3, Placement{2, 1}), StaleBase},
		{"assign of an owned slice", assign(5, 3, Placement{0, 2}), AlreadyOwned},
		{"assign outside of the group", assign(5, 3, Placement{3, 2}), OutsideOfGroup},
		{"assign of one slice to two owners", assign(5, 3, Placement{2, 1}, Placement{2, 2}), MalformedRecord},
		{"assign with too many slices", assign(0, MaxSlices+1), MalformedRecord},
		{"create with a placement outside of the group", &Record{Kind: KindAssign, Assign: &Assign{Group: other, Count: 1, Placements: []Placement{{1, 1}}}}, OutsideOfGroup},
		{"create without slices", &Record{Kind: KindAssign, Assign: &Assign{Group: other}}, StaleBase},
		{"move to an unknown node", move(4, 0, 1, 9), NotAMember},
		{"move from an unknown node", move(4, 0, 9, 1), NotAMember},
		{"move to itself", move(4, 0, 1, 1), NotAMember},
		{"move under a stale fence", move(3, 0, 1, 2), StaleBase},
		{"move by another owner", move(4, 0, 2, 3), NotTheOwner},
		{"move of an unsettled slice", move(5, 1, 2, 3), NotSettled},
		{"move outside of the group", move(4, 3, 1, 2), OutsideOfGroup},
		{"move of one slice to two owners", moveTwice(MovedSlice{Index: 0, Fence: 4, To: 3}), MalformedRecord},
		{"move of which one slice is not owned", moveTwice(MovedSlice{Index: 2, To: 3}), NotTheOwner},
		{"move in an unknown group", &Record{Kind: KindMove, Move: &Move{Group: other, From: 1}}, OutsideOfGroup},
		{"settled under an old fence", &Record{Kind: KindSettled, Settled: &Settled{Incarnation: 1, Slices: fences(3)}}, NotTheOwner},
		{"settled by another node", &Record{Kind: KindSettled, Settled: &Settled{Incarnation: 2, Slices: fences(4)}}, NotTheOwner},
		{"released under an old fence", &Record{Kind: KindReleased, Released: &Released{Incarnation: 1, Slices: fences(3)}}, StaleBase},
		{"released without being a source", &Record{Kind: KindReleased, Released: &Released{Incarnation: 1, Slices: fences(4)}}, StaleBase},
		{"end of an unknown node", end(9, 9, 2), NotAMember},
		{"end after the witnesses changed", end(1, 0, 2), StaleBase},
		{"end with an unknown successor", end(1, 1, 9), NotAMember},
		{"end with itself as successor", end(1, 1, 1), NotAMember},
		{"leave of an unknown node", &Record{Kind: KindLeave, Leave: &Leave{Incarnation: 9}}, NotAMember},
		{"leave of an owner", &Record{Kind: KindLeave, Leave: &Leave{Incarnation: 1}}, StillOwning},
		{"configuration on a stale base", &Record{Kind: KindConfiguration, Configuration: &Configuration{Base: 5}}, StaleBase},
		{"checkpoint without a state", checkpoint(3, nil), MalformedRecord},
		{"checkpoint that covers nothing", checkpoint(0, &State{}), OutdatedCheckpoint},
		{"checkpoint with another offset than its state", checkpoint(3, &State{Offset: 2}), MalformedRecord},
		{"checkpoint of a later offset than its record", checkpoint(50, &State{Offset: 50}), MalformedRecord},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestState(t)
			before := encode(t, s)
			if got := s.Apply(7, c.record); got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
			s.Offset = 6
			if after := encode(t, s); after != before {
				t.Fatalf("a rejected record changed the state:\n%s\n%s", before, after)
			}
		})
	}
}

// TestOwnerIsNotItsOwnSource guards against an owner that waits for its own release. This happens if a slice returns to
// its source because the new owner ended before it settled the slice.
func TestOwnerIsNotItsOwnSource(t *testing.T) {
	s := newTestState(t)
	back := []Successor{{Slice: keyspace.SliceID{Group: orders, Index: 1}, Owner: 1}}
	if got := s.Apply(7, &Record{Kind: KindEnd, End: &End{Incarnation: 2, SetVersion: 2, Successors: back}}); got != Accepted {
		t.Fatal(got)
	}
	if slice := s.Groups[orders].Slices[1]; slice.Owner != 1 || len(slice.Sources) != 0 || slice.Lost == 0 {
		t.Fatalf("%+v", slice)
	}
}

// TestLeaveBeforeRelease guards against a request that is executed twice: its outcome is lost if a source leaves before
// the new owner has fetched the retained outcomes.
func TestLeaveBeforeRelease(t *testing.T) {
	s := newTestState(t)
	s.Apply(7, &Record{Kind: KindMove, Move: &Move{Group: orders, From: 1, Slices: []MovedSlice{{Index: 0, Fence: 4, To: 3}}}})
	if got := s.Apply(8, &Record{Kind: KindLeave, Leave: &Leave{Incarnation: 1}}); got != Accepted {
		t.Fatal(got)
	}
	if slice := s.Groups[orders].Slices[0]; len(slice.Sources) != 0 || slice.Lost == 0 {
		t.Fatalf("%+v", slice)
	}
}

// TestDecodeRejectsIncompleteState guards against every reader crashing on a checkpoint with empty entries.
func TestDecodeRejectsIncompleteState(t *testing.T) {
	for _, text := range []string{`{"members":[null]}`, `{"groups":[null]}`, `{"groups":[{"id":{"service":"a"}}]}`} {
		if err := json.Unmarshal([]byte(text), new(State)); err == nil {
			t.Errorf("%s was decoded", text)
		}
	}
}
