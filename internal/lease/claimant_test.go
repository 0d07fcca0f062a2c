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

func grantedPromise(witness, claimant ledger.Incarnation) lease.PromiseAnswer {
	return lease.PromiseAnswer{
		Holder: holderID, SetVersion: version, Claimant: claimant, Witness: witness, Granted: true,
	}
}

// requestedWitnesses returns the witnesses to which requests are due at a time after start.
func requestedWitnesses(c *lease.Claimant, at time.Duration) []ledger.Incarnation {
	var witnesses []ledger.Incarnation
	for _, r := range c.AppendRequests(nil, start.Add(at)) {
		witnesses = append(witnesses, r.Witness)
	}
	return witnesses
}

func expectRequests(t *testing.T, c *lease.Claimant, at time.Duration, want ...ledger.Incarnation) {
	t.Helper()
	got := requestedWitnesses(c, at)
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

// Guards against a claimant that promises as its own witness although the other witnesses can still reach the holder,
// that repeats requests too often or too rarely, or that ends the holder without a majority.
func TestClaimantGathersMajority(t *testing.T) {
	c := newClaimant(t, witnessA)
	expectRequests(t, c, 0, witnessB, witnessC)
	expectRequests(t, c, 49*time.Millisecond)
	expectRequests(t, c, 50*time.Millisecond, witnessB, witnessC)
	c.HandleAnswer(grantedPromise(witnessB, witnessA), start.Add(60*time.Millisecond))
	expectStatus(t, c, 60*time.Millisecond, lease.ClaimPending)
	expectRequests(t, c, 60*time.Millisecond, witnessA)
	c.HandleAnswer(grantedPromise(witnessA, witnessA), start.Add(60*time.Millisecond))
	expectStatus(t, c, 60*time.Millisecond, lease.ClaimSatisfied)
	expectRequests(t, c, time.Second)
	if !c.Direct() {
		t.Error("a claim by promises alone is not direct")
	}
}

// Guards against counting a promise for another holder, set version or claimant, or one promise twice.
func TestClaimantIgnoresForeignAnswers(t *testing.T) {
	c := newClaimant(t, witnessA)
	holder, set, claimant, outside := grantedPromise(witnessB, witnessA), grantedPromise(witnessB, witnessA),
		grantedPromise(witnessB, witnessC), grantedPromise(witnessD, witnessA)
	holder.Holder++
	set.SetVersion++
	refused := grantedPromise(witnessC, witnessA)
	refused.Granted = false
	for _, a := range []lease.PromiseAnswer{holder, set, claimant, outside, refused} {
		c.HandleAnswer(a, start)
		c.HandleAnswer(grantedPromise(witnessB, witnessA), start)
	}
	expectStatus(t, c, 0, lease.ClaimPending)
}

// Guards against repeating a request every 50 ms to a witness that stated how long to wait.
func TestClaimantWaitsBeforeRepeatingRequest(t *testing.T) {
	c := newClaimant(t, witnessA)
	expectRequests(t, c, 0, witnessB, witnessC)
	wait := grantedPromise(witnessB, witnessA)
	wait.Granted, wait.Wait = false, 300*time.Millisecond
	c.HandleAnswer(wait, start.Add(10*time.Millisecond))
	expectRequests(t, c, 50*time.Millisecond, witnessC)
	if next := c.NextCheck(start.Add(50 * time.Millisecond)); !next.Equal(start.Add(100 * time.Millisecond)) {
		t.Errorf("next check at start%+v", next.Sub(start))
	}
	expectRequests(t, c, 309*time.Millisecond, witnessC)
	expectRequests(t, c, 310*time.Millisecond, witnessB)
}

// Guards against counting an ended witness while its last marked answers may still count at the holder. A witness whose
// own end was indirect must never be counted.
func TestClaimantCountsDirectlyEndedWitnesses(t *testing.T) {
	c := newClaimant(t, witnessA)
	c.HandleAnswer(grantedPromise(witnessA, witnessA), start)
	c.WitnessEnded(witnessB, lease.Ended{ReadAt: start, Direct: false})
	expectStatus(t, c, time.Hour, lease.ClaimPending)
	c.WitnessEnded(witnessB, lease.Ended{ReadAt: start, Direct: true})
	expectStatus(t, c, witnessLease-1, lease.ClaimPending)
	if next := c.NextCheck(start.Add(-time.Hour)); next.After(start.Add(witnessLease)) {
		t.Errorf("next check at start%+v", next.Sub(start))
	}
	expectStatus(t, c, witnessLease, lease.ClaimSatisfied)
	if c.Direct() {
		t.Error("a claim that counted an ended witness is direct")
	}
}

// Guards against ending a holder without witnesses before its log lease has expired.
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

// Guards against appending an end record that would be rejected, or one against a holder that is alive.
func TestClaimantAbandons(t *testing.T) {
	for name, abandon := range map[string]func(*lease.Claimant){
		"set version changed": func(c *lease.Claimant) { c.WitnessSetRead(version + 1) },
		"holder ended":        func(c *lease.Claimant) { c.HolderEnded() },
		"holder renewed":      func(c *lease.Claimant) { c.HolderRenewed(start) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newClaimant(t, witnessA)
			c.WitnessSetRead(version)
			expectStatus(t, c, 0, lease.ClaimPending)
			abandon(c)
			expectStatus(t, c, 0, lease.ClaimAbandoned)
			expectRequests(t, c, time.Second)
		})
	}
}

// Guards against abandoning a claim after a majority has promised: the holder can no longer own under this set version.
func TestClaimantKeepsSatisfiedClaim(t *testing.T) {
	c := newClaimant(t, witnessA)
	c.HandleAnswer(grantedPromise(witnessB, witnessA), start)
	c.HandleAnswer(grantedPromise(witnessC, witnessA), start)
	c.HolderRenewed(start)
	expectStatus(t, c, 0, lease.ClaimSatisfied)
}
