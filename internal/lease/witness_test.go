package lease_test

import (
	"testing"
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
)

// newWitness returns a witness that read the set at start; self is witness A or another member of the set.
func newWitness(t testing.TB, self ledger.Incarnation) *lease.Witness {
	t.Helper()
	w := lease.NewWitness(parameters(t), self)
	w.WitnessSetRead(holderID, ledger.WitnessSet{Version: version, Members: members}, start)
	return w
}

func renewal(v ledger.Offset) lease.Renewal {
	return lease.Renewal{Holder: holderID, SetVersion: v, Sequence: 7, Witness: witnessA}
}

func promiseRequest(v ledger.Offset) lease.PromiseRequest {
	return lease.PromiseRequest{Holder: holderID, SetVersion: v, Claimant: witnessB, Witness: witnessA}
}

// Guards against a mark that does not match the first-level lease, and against an answer that does not identify its
// renewal.
func TestWitnessAnswersRenewal(t *testing.T) {
	w := newWitness(t, witnessA)
	for _, firstLevel := range []bool{true, false} {
		want := lease.RenewalAnswer{
			Holder: holderID, Witness: witnessA, SetVersion: version, Sequence: 7, Marked: firstLevel,
		}
		if got := w.Renew(renewal(version), firstLevel, start); got != want {
			t.Errorf("answer %+v, want %+v", got, want)
		}
	}
}

// Guards against extending a lease under a set version other than the one that promises are requested for, or for
// another holder or witness.
func TestWitnessRefusesOtherVersions(t *testing.T) {
	w := newWitness(t, witnessA)
	misdirected := renewal(version)
	misdirected.Witness = witnessB
	foreign := renewal(version)
	foreign.Holder++
	for _, r := range []lease.Renewal{renewal(version - 1), renewal(version + 1), misdirected, foreign} {
		if a := w.Renew(r, true, start); !a.Refused || a.Marked {
			t.Errorf("renewal %+v answered with %+v", r, a)
		}
	}
}

// Guards against a promise before the lease of every granted renewal has expired, and against granting a renewal after
// a promise.
func TestWitnessPromisesAfterLease(t *testing.T) {
	w := newWitness(t, witnessA)
	if a := w.Promise(promiseRequest(version), start.Add(100*time.Millisecond)); a.Granted ||
		a.Wait != witnessLease-100*time.Millisecond {
		t.Errorf("promise after learning the set: %+v", a)
	}
	w.Renew(renewal(version), true, start.Add(200*time.Millisecond))
	due := start.Add(200*time.Millisecond + witnessLease)
	if a := w.Promise(promiseRequest(version), due.Add(-1)); a.Granted || a.Wait != 1 {
		t.Errorf("promise before the lease expired: %+v", a)
	}
	if a := w.Promise(promiseRequest(version), due); !a.Granted || a.Wait != 0 {
		t.Errorf("promise after the lease expired: %+v", a)
	}
	if a := w.Renew(renewal(version), true, due); !a.Refused || a.Marked {
		t.Errorf("renewal after the promise: %+v", a)
	}
	if a := w.Promise(promiseRequest(version), start); !a.Granted {
		t.Errorf("repeated promise: %+v", a)
	}
}

// Guards against a promise that still binds after its set version changed, or that is lost when the same version is
// read again.
func TestWitnessPromiseBindsVersion(t *testing.T) {
	w := newWitness(t, witnessA)
	late := start.Add(time.Second)
	w.Promise(promiseRequest(version), late)
	w.WitnessSetRead(holderID, ledger.WitnessSet{Version: version, Members: members}, late)
	if !w.Renew(renewal(version), true, late).Refused {
		t.Error("reading the version again dropped the promise")
	}
	w.WitnessSetRead(holderID, ledger.WitnessSet{Version: version + 1, Members: members}, late)
	if w.Renew(renewal(version+1), true, late).Refused {
		t.Error("the promise still binds under a later version")
	}
	if a := w.Promise(promiseRequest(version), late.Add(time.Hour)); a.Granted || a.Wait != 0 {
		t.Errorf("promise for an outdated version: %+v", a)
	}
	if a := w.Promise(promiseRequest(version+1), late); a.Granted || a.Wait != witnessLease {
		t.Errorf("promise right after learning the version: %+v", a)
	}
}

// Guards against keeping the state of holders that ended or changed to other witnesses, and against granting renewals
// after Stop.
func TestWitnessDropsHolders(t *testing.T) {
	w := newWitness(t, witnessA)
	w.RemoveHolder(holderID)
	if !w.Renew(renewal(version), true, start).Refused || !w.NextOverdue().IsZero() {
		t.Error("state of an ended holder kept")
	}
	w = newWitness(t, witnessA)
	w.WitnessSetRead(holderID, ledger.WitnessSet{Version: version + 1, Members: []ledger.Incarnation{witnessB}}, start)
	if !w.Renew(renewal(version), true, start).Refused || !w.NextOverdue().IsZero() {
		t.Error("state of a holder with other witnesses kept")
	}
	w = newWitness(t, witnessA)
	w.Stop()
	if !w.Renew(renewal(version), true, start).Refused {
		t.Error("renewal granted after Stop")
	}
}

// Guards against claims before the lease expired, and against claims of all witnesses at the same time.
func TestWitnessClaimsByRank(t *testing.T) {
	for rank, self := range members {
		w := newWitness(t, self)
		due := start.Add(witnessLease + time.Duration(rank)*50*time.Millisecond)
		if !w.NextOverdue().Equal(due) {
			t.Errorf("rank %d is due at start%+v", rank, w.NextOverdue().Sub(start))
		}
		if early := w.AppendOverdue(nil, due.Add(-1)); len(early) != 0 {
			t.Errorf("rank %d claims early: %+v", rank, early)
		}
		want := lease.Overdue{Holder: holderID, SetVersion: version}
		if got := w.AppendOverdue(nil, due); len(got) != 1 || got[0] != want {
			t.Errorf("rank %d claims %+v", rank, got)
		}
	}
}
