package lease_test

import (
	"testing"
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
)

// Incarnations and the set version that the unit tests use.
const (
	holderID ledger.Incarnation = 100
	witnessA ledger.Incarnation = 1
	witnessB ledger.Incarnation = 2
	witnessC ledger.Incarnation = 3
	witnessD ledger.Incarnation = 4
	version  ledger.Offset      = 100
)

// Lease times that follow from the default timing and its drift bound of 1%.
const (
	holderLease     = 594 * time.Millisecond
	witnessLease    = 606 * time.Millisecond
	holderLogLease  = 5940 * time.Millisecond
	witnessLogLease = 6060 * time.Millisecond
)

var (
	start   = time.Unix(1_000_000, 0)
	members = []ledger.Incarnation{witnessA, witnessB, witnessC}
)

func parameters(t testing.TB) lease.Parameters {
	t.Helper()
	p, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// newHolder returns a holder with the first n witnesses. It sent its join a minute before start, so that the join
// itself grants no lease any more.
func newHolder(t testing.TB, n int) *lease.Holder {
	t.Helper()
	set := ledger.WitnessSet{Version: version, Members: members[:n]}
	return lease.NewHolder(parameters(t), holderID, set, start.Add(-time.Minute))
}

// newOwner returns a holder with marked answers of all its witnesses to the renewals sent at start.
func newOwner(t testing.TB, n int) *lease.Holder {
	t.Helper()
	h := newHolder(t, n)
	for _, r := range h.AppendRenewals(nil, start) {
		h.HandleAnswer(answer(r, true))
	}
	return h
}

func answer(r lease.Renewal, marked bool) lease.RenewalAnswer {
	return lease.RenewalAnswer{
		Holder: r.Holder, Witness: r.Witness, SetVersion: r.SetVersion, Sequence: r.Sequence, Marked: marked,
	}
}

// expectUntil fails unless both deadlines are as given, relative to start; a negative value expects no time after
// start.
func expectUntil(t *testing.T, h *lease.Holder, firstLevel, owns time.Duration) {
	t.Helper()
	check := func(name string, got time.Time, want time.Duration) {
		t.Helper()
		if want < 0 && got.After(start) || want >= 0 && !got.Equal(start.Add(want)) {
			t.Errorf("%s until start%+v, want %v", name, got.Sub(start), want)
		}
	}
	check("first level", h.FirstLevelUntil(), firstLevel)
	check("owns", h.OwnsUntil(), owns)
}

// Guards against owning with answers of less than a majority, with unmarked answers, or for longer than the lease time
// minus the drift bound after the send time of the older of the two renewals that make up the majority.
func TestHolderCountsMajorityFromSend(t *testing.T) {
	h := newHolder(t, 3)
	first := h.AppendRenewals(nil, start)
	if len(first) != 3 {
		t.Fatalf("%d renewals at first, want 3", len(first))
	}
	h.HandleAnswer(answer(first[0], true))
	expectUntil(t, h, -1, -1)
	h.HandleAnswer(answer(first[1], false))
	expectUntil(t, h, holderLease, -1)
	later := h.AppendRenewals(nil, start.Add(250*time.Millisecond))
	h.HandleAnswer(answer(later[2], true))
	expectUntil(t, h, holderLease, holderLease)
	h.HandleAnswer(answer(later[0], true))
	expectUntil(t, h, 250*time.Millisecond+holderLease, 250*time.Millisecond+holderLease)
	if !h.Owns(start.Add(843 * time.Millisecond)) {
		t.Error("does not own before the deadline")
	}
	if h.Owns(start.Add(844 * time.Millisecond)) {
		t.Error("owns at the deadline")
	}
}

// Guards against extending the lease by an answer that is a refusal, is for another holder, is from a node that is not
// a witness, or answers a renewal that was never sent or is too old to be known.
func TestHolderIgnoresInvalidAnswers(t *testing.T) {
	h := newHolder(t, 1)
	r := h.AppendRenewals(nil, start)[0]
	refused, foreign, unknown, unrequested := answer(r, true), answer(r, true), answer(r, true), answer(r, true)
	refused.Refused = true
	foreign.Holder++
	unknown.Witness = witnessD
	unrequested.Sequence = 0
	for _, a := range []lease.RenewalAnswer{refused, foreign, unknown, unrequested} {
		h.HandleAnswer(a)
		expectUntil(t, h, -1, -1)
	}
	for i := range 8 {
		h.AppendRenewals(nil, start.Add(time.Duration(i+1)*time.Second))
	}
	h.HandleAnswer(answer(r, true))
	expectUntil(t, h, -1, -1)
}

// Guards against shortening the lease when the answer to an older renewal arrives late.
func TestHolderKeepsLatestAnswer(t *testing.T) {
	h := newHolder(t, 1)
	old := h.AppendRenewals(nil, start)[0]
	recent := h.AppendRenewals(nil, start.Add(300*time.Millisecond))[0]
	h.HandleAnswer(answer(recent, true))
	h.HandleAnswer(answer(old, true))
	expectUntil(t, h, 300*time.Millisecond+holderLease, 300*time.Millisecond+holderLease)
}

// Guards against renewals that are sent too often, which would exceed the byte budget of the lease protocol, and
// against a timer that fires too late.
func TestHolderRenewsPerInterval(t *testing.T) {
	h := newHolder(t, 3)
	h.AppendRenewals(nil, start)
	if n := len(h.AppendRenewals(nil, start.Add(249*time.Millisecond))); n != 0 {
		t.Errorf("%d renewals before the interval has passed", n)
	}
	if next := h.NextRenewal(); !next.Equal(start.Add(250 * time.Millisecond)) {
		t.Errorf("next renewal at start%+v", next.Sub(start))
	}
	if n := len(h.AppendRenewals(nil, start.Add(250*time.Millisecond))); n != 3 {
		t.Errorf("%d renewals after the interval, want 3", n)
	}
}

// Guards against owning while a change of the witness set may already be in force, whose witnesses may have promised to
// a claimant.
func TestHolderNeedsBothSetsWhilePending(t *testing.T) {
	h := newOwner(t, 3)
	sent := start.Add(10 * time.Millisecond)
	if !h.Propose("change", []ledger.Incarnation{witnessA, witnessD}, sent) {
		t.Fatal("proposal refused")
	}
	expectUntil(t, h, holderLease, holderLease)
	for _, r := range h.AppendRenewals(nil, start.Add(300*time.Millisecond)) {
		h.HandleAnswer(answer(r, true))
	}
	// One member of the new set does not answer, so that the set counts from the send time of the record alone.
	expectUntil(t, h, 10*time.Millisecond+holderLease, 10*time.Millisecond+holderLease)
	h.ProposalRejected("change")
	expectUntil(t, h, 300*time.Millisecond+holderLease, 300*time.Millisecond+holderLease)
}

// Guards against losing ownership for a moment when a change is read, against renewals to witnesses that left the set,
// and against replacing the set by an earlier version.
func TestHolderAdoptsReadSet(t *testing.T) {
	h := newOwner(t, 3)
	h.Propose("other", nil, start.Add(50*time.Millisecond))
	h.Propose("change", []ledger.Incarnation{witnessA, witnessD}, start.Add(100*time.Millisecond))
	h.WitnessSetRead("change", ledger.WitnessSet{Version: version + 1, Members: []ledger.Incarnation{witnessA, witnessD}})
	if h.PendingProposals() != 0 || h.Version() != version+1 {
		t.Errorf("pending %d, version %d", h.PendingProposals(), h.Version())
	}
	expectUntil(t, h, 100*time.Millisecond+holderLease, 100*time.Millisecond+holderLease)
	renewals := h.AppendRenewals(nil, start.Add(200*time.Millisecond))
	if len(renewals) != 2 || renewals[1].Witness != witnessD || renewals[1].SetVersion != version+1 {
		t.Fatalf("renewals %+v", renewals)
	}
	h.WitnessSetRead("", ledger.WitnessSet{Version: version, Members: members})
	if h.Version() != version+1 {
		t.Error("an earlier version replaced a later one")
	}
}

// Guards against discarding an answer because the set changed although its witness remains in the set.
func TestHolderKeepsAnswersAcrossVersions(t *testing.T) {
	h := newOwner(t, 3)
	inFlight := h.AppendRenewals(nil, start.Add(250*time.Millisecond))
	h.WitnessSetRead("", ledger.WitnessSet{Version: version + 1, Members: []ledger.Incarnation{witnessA, witnessB, witnessD}})
	expectUntil(t, h, holderLease, holderLease)
	h.HandleAnswer(answer(inFlight[0], true))
	h.HandleAnswer(answer(inFlight[1], true))
	expectUntil(t, h, 250*time.Millisecond+holderLease, 250*time.Millisecond+holderLease)
}

// Guards against more changes of unknown outcome than the holder keeps track of.
func TestHolderBoundsProposals(t *testing.T) {
	h := newOwner(t, 3)
	for _, id := range []string{"1", "2", "3", "4"} {
		if !h.Propose(id, members, start) {
			t.Fatalf("proposal %s refused", id)
		}
	}
	if h.Propose("5", members, start) {
		t.Error("fifth proposal accepted")
	}
}

// Guards against a holder without witnesses that owns beyond its log lease, or renews too rarely or too often.
func TestHolderRenewsThroughLog(t *testing.T) {
	h := lease.NewHolder(parameters(t), holderID, ledger.WitnessSet{Version: version}, start)
	expectUntil(t, h, holderLogLease, holderLogLease)
	if h.LogRenewalDue(start.Add(1999 * time.Millisecond)) {
		t.Error("renewal due too early")
	}
	if !h.LogRenewalDue(start.Add(2 * time.Second)) {
		t.Error("no renewal due after the interval")
	}
	h.Propose("renewed", nil, start.Add(2*time.Second))
	expectUntil(t, h, holderLogLease, holderLogLease)
	if h.LogRenewalDue(start.Add(3 * time.Second)) {
		t.Error("renewal due while one is in flight")
	}
	h.WitnessSetRead("renewed", ledger.WitnessSet{Version: version + 1})
	expectUntil(t, h, 2*time.Second+holderLogLease, 2*time.Second+holderLogLease)
	h.WitnessSetRead("", ledger.WitnessSet{Version: version + 2})
	expectUntil(t, h, -1, -1)
}

// Guards against an ended incarnation that continues to own slices, to renew or to change its witnesses.
func TestHolderStopsWhenEnded(t *testing.T) {
	h := newOwner(t, 3)
	inFlight := h.AppendRenewals(nil, start.Add(250*time.Millisecond))
	h.End()
	for _, r := range inFlight {
		h.HandleAnswer(answer(r, true))
	}
	expectUntil(t, h, -1, -1)
	if len(h.AppendRenewals(nil, start.Add(time.Second))) != 0 || !h.NextRenewal().IsZero() {
		t.Error("an ended incarnation renews")
	}
	if h.Propose("change", nil, start) {
		t.Error("an ended incarnation changes its witnesses")
	}
}

// Guards against never reporting a witness that stopped answering, and against reporting the witnesses of a new set
// before they had time to answer.
func TestHolderReportsStaleWitnesses(t *testing.T) {
	h := newOwner(t, 3)
	for _, r := range h.AppendRenewals(nil, start.Add(500*time.Millisecond))[:2] {
		h.HandleAnswer(answer(r, false))
	}
	if stale := h.AppendStaleWitnesses(nil, start.Add(601*time.Millisecond)); len(stale) != 1 || stale[0] != witnessC {
		t.Errorf("stale witnesses %v, want C", stale)
	}
	h.Propose("change", []ledger.Incarnation{witnessD}, start.Add(500*time.Millisecond))
	h.WitnessSetRead("change", ledger.WitnessSet{Version: version + 1, Members: []ledger.Incarnation{witnessD}})
	h.AppendRenewals(nil, start.Add(700*time.Millisecond))
	if stale := h.AppendStaleWitnesses(nil, start.Add(1300*time.Millisecond)); len(stale) != 0 {
		t.Errorf("stale witnesses %v of a new set", stale)
	}
	if stale := h.AppendStaleWitnesses(nil, start.Add(1301*time.Millisecond)); len(stale) != 1 || stale[0] != witnessD {
		t.Errorf("stale witnesses %v, want D", stale)
	}
}

// Guards against heap allocations in the code that runs for each request and each answer.
func TestHolderChecksWithoutAllocation(t *testing.T) {
	h := newOwner(t, 3)
	a := answer(h.AppendRenewals(nil, start.Add(time.Second))[0], true)
	if n := testing.AllocsPerRun(100, func() { h.Owns(start); h.FirstLevel(start); h.HandleAnswer(a) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
