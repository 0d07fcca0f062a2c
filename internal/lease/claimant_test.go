package lease_test

import (
	"testing"
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
)

func newClaimant(t testing.TB, self ledger.Incarnation) *lease.Claimant {
	t.Helper()
	return lease.NewClaimant(parameters(t), self, holderID, ledger.WitnessSet{Version: version, Members: members}, start)
}

func promise(witness, claimant ledger.Incarnation) lease.PromiseAnswer {
	return lease.PromiseAnswer{
		Holder: holderID, SetVersion: version, Claimant: claimant, Witness: witness, Granted: true,
	}
}

// asked returns the witnesses that are to be asked at a time after start.
func asked(c *lease.Claimant, at time.Duration) []ledger.Incarnation {
	var witnesses []ledger.Incarnation
	for _, r := range c.AppendRequests(nil, start.Add(at)) {
		witnesses = append(witnesses, r.Witness)
	}
	return witnesses
}

func expectAsked(t *testing.T, c *lease.Claimant, at time.Duration, want ...ledger.Incarnation) {
	t.Helper()
	got := asked(c, at)
	if len(got) != len(want) {
		t.Fatalf("at %v asks %v, want %v", at, got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("at %v asks %v, want %v", at, got, want)
		}
	}
}

func expectStatus(t *testing.T, c *lease.Claimant, at time.Duration, want lease.ClaimStatus) {
	t.Helper()
	if got := c.Status(start.Add(at)); got != want {
		t.Fatalf("at %v status %v, want %v", at, got, want)
	}
}

// Guards against a claimant that binds itself although the holder reaches the other witnesses, asks too often or too
// seldom, or ends the holder without a majority.
func TestClaimantGathersMajority(t *testing.T) {
	c := newClaimant(t, witnessA)
	expectAsked(t, c, 0, witnessB, witnessC)
	expectAsked(t, c, 49*time.Millisecond)
	expectAsked(t, c, 50*time.Millisecond, witnessB, witnessC)
	c.Answer(promise(witnessB, witnessA), start.Add(60*time.Millisecond))
	expectStatus(t, c, 60*time.Millisecond, lease.ClaimPending)
	expectAsked(t, c, 60*time.Millisecond, witnessA)
	c.Answer(promise(witnessA, witnessA), start.Add(60*time.Millisecond))
	expectStatus(t, c, 60*time.Millisecond, lease.ClaimSatisfied)
	expectAsked(t, c, time.Second)
	if !c.Direct() {
		t.Error("a claim by promises alone is not direct")
	}
}

// Guards against counting promises for another holder, version or claimant, or one promise twice.
func TestClaimantIgnoresForeignAnswers(t *testing.T) {
	c := newClaimant(t, witnessA)
	holder, set, claimant, outside := promise(witnessB, witnessA), promise(witnessB, witnessA),
		promise(witnessB, witnessC), promise(witnessD, witnessA)
	holder.Holder++
	set.SetVersion++
	refused := promise(witnessC, witnessA)
	refused.Granted = false
	for _, a := range []lease.PromiseAnswer{holder, set, claimant, outside, refused} {
		c.Answer(a, start)
		c.Answer(promise(witnessB, witnessA), start)
	}
	expectStatus(t, c, 0, lease.ClaimPending)
}

// Guards against asking a witness every 50 ms that said when it may promise.
func TestClaimantWaitsAsTold(t *testing.T) {
	c := newClaimant(t, witnessA)
	expectAsked(t, c, 0, witnessB, witnessC)
	wait := promise(witnessB, witnessA)
	wait.Granted, wait.Wait = false, 300*time.Millisecond
	c.Answer(wait, start.Add(10*time.Millisecond))
	expectAsked(t, c, 50*time.Millisecond, witnessC)
	if next := c.NextCheck(start.Add(50 * time.Millisecond)); !next.Equal(start.Add(100 * time.Millisecond)) {
		t.Errorf("next check at start%+v", next.Sub(start))
	}
	expectAsked(t, c, 309*time.Millisecond, witnessC)
	expectAsked(t, c, 310*time.Millisecond, witnessB)
}

// Guards against counting an ended witness while its last marked answers may still count at the holder, or at all if
// its own end rested on ended witnesses.
func TestClaimantCountsDirectlyEndedWitnesses(t *testing.T) {
	c := newClaimant(t, witnessA)
	c.Answer(promise(witnessA, witnessA), start)
	c.WitnessEnded(witnessB, lease.Ended{Read: start, Direct: false})
	expectStatus(t, c, time.Hour, lease.ClaimPending)
	c.WitnessEnded(witnessB, lease.Ended{Read: start, Direct: true})
	expectStatus(t, c, witnessLease-1, lease.ClaimPending)
	if next := c.NextCheck(start.Add(-time.Hour)); next.After(start.Add(witnessLease)) {
		t.Errorf("next check at start%+v", next.Sub(start))
	}
	expectStatus(t, c, witnessLease, lease.ClaimSatisfied)
	if c.Direct() {
		t.Error("a claim that counted an ended witness is direct")
	}
}

// Guards against ending a holder without witnesses before its log lease ran out.
func TestClaimantWaitsForLogLease(t *testing.T) {
	c := lease.NewClaimant(parameters(t), witnessA, holderID, ledger.WitnessSet{Version: version}, start)
	expectStatus(t, c, witnessLogLease-1, lease.ClaimPending)
	if next := c.NextCheck(start); !next.Equal(start.Add(witnessLogLease)) {
		t.Errorf("next check at start%+v", next.Sub(start))
	}
	expectStatus(t, c, witnessLogLease, lease.ClaimSatisfied)
	if !c.Direct() {
		t.Error("the end of a holder without witnesses is not direct")
	}
}

// Guards against appending an end that the log would void, or against a holder that is alive.
func TestClaimantAbandons(t *testing.T) {
	for name, abandon := range map[string]func(*lease.Claimant){
		"set version moved": func(c *lease.Claimant) { c.SetRead(version + 1) },
		"holder ended":      func(c *lease.Claimant) { c.HolderEnded() },
		"holder renewed":    func(c *lease.Claimant) { c.HolderRenewed(start) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newClaimant(t, witnessA)
			c.SetRead(version)
			expectStatus(t, c, 0, lease.ClaimPending)
			abandon(c)
			expectStatus(t, c, 0, lease.ClaimAbandoned)
			expectAsked(t, c, time.Second)
		})
	}
}

// Guards against dropping a claim whose promises already bind a majority: the holder cannot own under this version.
func TestClaimantKeepsSatisfiedClaim(t *testing.T) {
	c := newClaimant(t, witnessA)
	c.Answer(promise(witnessB, witnessA), start)
	c.Answer(promise(witnessC, witnessA), start)
	c.HolderRenewed(start)
	expectStatus(t, c, 0, lease.ClaimSatisfied)
}
