package engine

import (
	"testing"
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
)

// Guards against an end record that is built from a claim after the lock of the lease table was released. Late answers
// still change the claim, so the step must return copies of its values.
func TestSatisfiedClaimIsCopiedUnderLock(t *testing.T) {
	p, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		t.Fatal(err)
	}
	const self, holder = ledger.Incarnation(1), ledger.Incarnation(2)
	set := ledger.WitnessSet{Version: 7, Members: []ledger.Incarnation{11, 12, 13}}
	now := time.Now()
	table := newLeaseTable(p)
	table.self = self
	claim := lease.NewClaimant(p, self, holder, set, now.Add(-time.Hour))
	for _, witness := range set.Members[:2] {
		claim.WitnessEnded(witness, lease.Ended{ReadAt: now.Add(-time.Hour), Direct: true})
	}
	table.claims[holder] = claim
	var step leaseStep
	table.stepClaims(&step, now)
	if len(step.satisfied) != 1 || step.satisfied[0].holder != holder || step.satisfied[0].setVersion != set.Version {
		t.Fatalf("satisfied claims %+v", step.satisfied)
	}
	for _, witness := range set.Members {
		claim.HandleAnswer(lease.PromiseAnswer{Holder: holder, SetVersion: set.Version, Claimant: self, Witness: witness, Granted: true}, now)
	}
	if !claim.Direct() {
		t.Fatal("the claim is not direct after promises of all witnesses")
	}
	if step.satisfied[0].direct {
		t.Error("a later answer changed the result of the step")
	}
}
