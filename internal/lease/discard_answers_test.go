package lease

import (
	"testing"
	"time"

	"heatherreel/internal/ledger"
)

// Guards against a node that owns slices because of answers from before a suspend, during which its clock stood still.
func TestDiscardedAnswersDoNotCount(t *testing.T) {
	p, err := NewParameters(DefaultTiming())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_000, 0)
	set := ledger.WitnessSet{Version: 9, Members: []ledger.Incarnation{1, 2, 3}}
	h := NewHolder(p, 9, set, now)
	before := h.AppendRenewals(nil, now)
	answer := func(r Renewal) {
		h.HandleAnswer(RenewalAnswer{Holder: 9, Witness: r.Witness, SetVersion: 9, Sequence: r.Sequence, Marked: true})
	}
	answer(before[0])
	answer(before[1])
	if !h.Owns(now) {
		t.Fatal("does not own after marked answers from a majority")
	}
	h.DiscardAnswers()
	answer(before[2])
	answer(before[0])
	if h.Owns(now) || h.FirstLevel(now) {
		t.Fatal("owns after answers to renewals sent before the answers were discarded")
	}
	for _, r := range h.AppendRenewals(nil, now) {
		answer(r)
	}
	if !h.Owns(now) {
		t.Fatal("does not own after answers to renewals sent after the answers were discarded")
	}
}
