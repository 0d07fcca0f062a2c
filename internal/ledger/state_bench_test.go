package ledger

import (
	"encoding/json"
	"fmt"
	"testing"

	"heatherreel/internal/keyspace"
)

const slicesPerMember = 16

// newFleetState returns a state of one service with n members that have up to three witnesses and 16 slices each.
func newFleetState(tb testing.TB, n int) *State {
	tb.Helper()
	s := NewState()
	for i := range n {
		j := &Join{
			Instance: fmt.Sprintf("i-%08x", i), DataCentre: fmt.Sprintf("region-%d-a", i%6), Region: fmt.Sprintf("region-%d", i%3),
			Addresses: Addresses{Nodes: "10.0.0.1:7001", Leases: "10.0.0.1:7002", Callers: "10.0.0.1:7003", Operators: "10.0.0.1:7004"},
			Service:   "orders", Weight: 100,
		}
		for w := max(0, i-3); w < i; w++ {
			j.Witnesses = append(j.Witnesses, Incarnation(w+1))
		}
		s.Apply(Offset(i+1), &Record{Kind: KindJoin, ID: fmt.Sprintf("0193a1b2-0000-7000-8000-%012d", i), Join: j})
	}
	a := &Assign{Group: orders, Count: uint32(n * slicesPerMember)}
	for i := range a.Count {
		a.Placements = append(a.Placements, Placement{Index: i, Owner: Incarnation(i%uint32(n) + 1)})
	}
	if got := s.Apply(s.Offset+1, &Record{Kind: KindAssign, Assign: a}); got != Accepted {
		tb.Fatal(got)
	}
	return s
}

// BenchmarkApplyMove measures the replay of one move of one slice.
func BenchmarkApplyMove(b *testing.B) {
	for _, n := range []int{53, 210, 840} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFleetState(b, n)
			for i := 0; b.Loop(); i++ {
				index := uint32(i % (n * slicesPerMember))
				slice := &s.Groups[orders].Slices[index]
				slice.Sources = nil
				to := Incarnation(int(slice.Owner)%n + 1)
				m := &Move{Group: orders, From: slice.Owner, Slices: []MovedSlice{{Index: index, Fence: slice.Fence, To: to}}}
				if got := s.Apply(s.Offset+1, &Record{Kind: KindMove, Move: m}); got != Accepted {
					b.Fatal(got)
				}
			}
		})
	}
}

// BenchmarkApplyEnd measures the replay of the end of a member with 16 slices and of a join.
func BenchmarkApplyEnd(b *testing.B) {
	for _, n := range []int{53, 210, 840} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFleetState(b, n)
			last := Incarnation(n)
			for i := 0; b.Loop(); i++ {
				e := &End{Incarnation: last, SetVersion: s.Members[last].WitnessSet.Version}
				for index := range uint32(slicesPerMember) {
					id := keyspace.SliceID{Group: orders, Index: (index+1)*uint32(n) - 1}
					e.Successors = append(e.Successors, Successor{Slice: id, Owner: Incarnation(index + 1)})
				}
				if got := s.Apply(s.Offset+1, &Record{Kind: KindEnd, End: e}); got != Accepted {
					b.Fatal(got)
				}
				s.Apply(s.Offset+1, &Record{Kind: KindJoin, ID: fmt.Sprint("again", i), Join: &Join{Service: "orders"}})
				last = Incarnation(s.Offset)
				for index := range uint32(slicesPerMember) {
					s.Groups[orders].Slices[(index+1)*uint32(n)-1].Owner = last
				}
			}
		})
	}
}

// BenchmarkCheckpoint measures the encoding of a state, as in a checkpoint before compression, and reports its size.
func BenchmarkCheckpoint(b *testing.B) {
	for _, n := range []int{53, 210, 840} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFleetState(b, n)
			var data []byte
			for b.Loop() {
				data, _ = json.Marshal(s)
			}
			b.ReportMetric(float64(len(data)), "encoded-B")
			b.ReportMetric(float64(len(data))/float64(n), "encoded-B/member")
		})
	}
}

// BenchmarkClone measures copying a state, as is done to take a snapshot.
func BenchmarkClone(b *testing.B) {
	for _, n := range []int{53, 210, 840} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFleetState(b, n)
			for b.Loop() {
				s.Clone()
			}
		})
	}
}
