package lease_test

import (
	"testing"
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
)

// BenchmarkOwns measures the check before every request; it must not allocate.
func BenchmarkOwns(b *testing.B) {
	h := newOwner(b, 3)
	now := start.Add(time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		if !h.Owns(now) {
			b.Fatal("does not own")
		}
	}
}

// BenchmarkAnswer measures how long the holder takes to process one answer, including the computation of both
// deadlines.
func BenchmarkAnswer(b *testing.B) {
	h := newOwner(b, 3)
	a := answer(h.AppendRenewals(nil, start.Add(time.Second))[0], true)
	b.ReportAllocs()
	for b.Loop() {
		h.HandleAnswer(a)
	}
}

// BenchmarkAppendRenewals measures one round of renewals into a reused buffer.
func BenchmarkAppendRenewals(b *testing.B) {
	h := newOwner(b, 3)
	now, buffer := start, make([]lease.Renewal, 0, 3)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(lease.DefaultTiming().RenewalInterval)
		buffer = h.AppendRenewals(buffer[:0], now)
	}
}

// BenchmarkRenew measures answering a renewal as a witness of three holders.
func BenchmarkRenew(b *testing.B) {
	w := lease.NewWitness(parameters(b), witnessA)
	for i := range ledger.Incarnation(3) {
		w.WitnessSetRead(holderID+i, ledger.WitnessSet{Version: version, Members: members}, start)
	}
	r := lease.Renewal{Holder: holderID, SetVersion: version, Sequence: 1, Witness: witnessA}
	b.ReportAllocs()
	for b.Loop() {
		if w.Renew(r, true, start).Refused {
			b.Fatal("refused")
		}
	}
}
