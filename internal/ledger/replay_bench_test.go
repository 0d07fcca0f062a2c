package ledger

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
)

// randomizeState makes the state of a fleet of n members about as hard to compress as a real one: random instance
// names, addresses and witnesses, and slices that were moved one by one.
func randomizeState(s *State, n int) *State {
	random := rand.New(rand.NewPCG(1, 2))
	for _, m := range s.Members {
		m.Instance = fmt.Sprintf("i-%016x", random.Uint64())
		ip := fmt.Sprintf("10.%d.%d.%d", random.IntN(8), random.IntN(256), random.IntN(256))
		m.Addresses = Addresses{Nodes: ip + ":7401", Leases: ip + ":7402", Callers: ip + ":7400", Operators: ip + ":7404"}
		for w, drawn := range random.Perm(n)[:len(m.WitnessSet.Members)] {
			m.WitnessSet.Members[w] = Incarnation(drawn + 1)
		}
	}
	for i := range s.Groups[orders].Slices {
		slice := &s.Groups[orders].Slices[i]
		slice.Owner, slice.Fence = Incarnation(random.IntN(n)+1), Offset(random.IntN(1_000_000))
	}
	s.Offset = 1_000_000
	return s
}

// BenchmarkReplay measures decoding and replaying one record of the mix that a fleet of 840 members writes: moves of
// one slice, the settled records that follow, and changes of witness sets.
func BenchmarkReplay(b *testing.B) {
	s := newFleetState(b, 840)
	before := s.Clone()
	var encoded [][]byte
	size := 0
	for i := range 1000 {
		encoded = append(encoded, applyAndEncode(b, s, i)...)
	}
	for _, data := range encoded {
		size += len(data)
	}
	s = before.Clone()
	for i := 0; b.Loop(); i++ {
		if i%len(encoded) == 0 {
			b.StopTimer()
			s = before.Clone()
			b.StartTimer()
		}
		var r Record
		if err := json.Unmarshal(encoded[i%len(encoded)], &r); err != nil {
			b.Fatal(err)
		}
		if got := s.Apply(s.Offset+1, &r); got != Accepted {
			b.Fatal(got)
		}
	}
	b.ReportMetric(float64(size)/float64(len(encoded)), "B/record")
}

// applyAndEncode applies a move, its settled record and a change of a witness set, and returns the encoded records.
func applyAndEncode(b *testing.B, s *State, i int) [][]byte {
	slice := &s.Groups[orders].Slices[i]
	from, to := slice.Owner, slice.Owner%840+1
	moved := []MovedSlice{{Index: uint32(i), Fence: slice.Fence, To: to}}
	fence := SliceFence{Slice: firstSlice, Fence: s.Offset + 1}
	fence.Slice.Index = uint32(i)
	holder := Incarnation(i%800 + 20)
	var encoded [][]byte
	for _, r := range []*Record{
		{Kind: KindMove, Move: &Move{Group: orders, From: from, Slices: moved}},
		{Kind: KindSettled, Settled: &Settled{Incarnation: to, Slices: []SliceFence{fence}}},
		{Kind: KindWitnesses, Witnesses: &Witnesses{Incarnation: holder, Base: s.Members[holder].WitnessSet.Version,
			Witnesses: []Incarnation{1, 2, 3}}},
	} {
		r.ID = fmt.Sprintf("0193a1b2-0000-7000-8000-%012d", s.Offset)
		if got := s.Apply(s.Offset+1, r); got != Accepted {
			b.Fatal(r.Kind, got)
		}
		data, _ := json.Marshal(r)
		encoded = append(encoded, data)
	}
	return encoded
}

// BenchmarkPackedCheckpoint measures encoding a checkpoint record, its size, decoding it with its state (unpack) and
// decoding it without (pass).
func BenchmarkPackedCheckpoint(b *testing.B) {
	for _, n := range []int{53, 210, 840} {
		s := randomizeState(newFleetState(b, n), n)
		plain, _ := json.Marshal(s)
		record := &Record{Kind: KindCheckpoint, Checkpoint: &Checkpoint{Offset: s.Offset, State: s}}
		data, _ := json.Marshal(record)
		b.Run(fmt.Sprintf("pack/%d", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = json.Marshal(record)
			}
			b.ReportMetric(float64(len(plain)), "plain-B")
			b.ReportMetric(float64(len(data)), "record-B")
		})
		b.Run(fmt.Sprintf("unpack/%d", n), func(b *testing.B) {
			for b.Loop() {
				var r Record
				if err := json.Unmarshal(data, &r); err != nil {
					b.Fatal(err)
				}
				if _, err := r.Checkpoint.Unpack(); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("pass/%d", n), func(b *testing.B) {
			for b.Loop() {
				var r Record
				_ = json.Unmarshal(data, &r)
			}
		})
	}
}
