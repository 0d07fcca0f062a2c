package lease

import (
	"time"

	"heatherreel/internal/ledger"
)

// Renewal asks a witness to extend the lease of a holder.
type Renewal struct {
	Holder     ledger.Incarnation
	SetVersion ledger.Offset
	// Sequence is unique among the renewals of the holder; the answer repeats it.
	Sequence uint64
	Witness  ledger.Incarnation
}

// RenewalAnswer is a witness's answer to a Renewal.
type RenewalAnswer struct {
	Holder     ledger.Incarnation
	Witness    ledger.Incarnation
	SetVersion ledger.Offset
	Sequence   uint64
	// Refused tells that the answer extends nothing: the witness has promised, or it knows another set version or
	// none.
	Refused bool
	// Marked tells that the first-level lease of the witness held when it answered.
	Marked bool
	// LedgerOffset is the offset up to which the witness has replayed; the sender of the answer fills it in.
	LedgerOffset ledger.Offset
}

// PromiseRequest asks a witness to renew the lease of a holder no more.
type PromiseRequest struct {
	Holder     ledger.Incarnation
	SetVersion ledger.Offset
	Claimant   ledger.Incarnation
	Witness    ledger.Incarnation
}

// PromiseAnswer is a witness's answer to a PromiseRequest.
type PromiseAnswer struct {
	Holder     ledger.Incarnation
	SetVersion ledger.Offset
	Claimant   ledger.Incarnation
	Witness    ledger.Incarnation
	Granted    bool
	// Wait is the time until the witness may promise; zero in a refusal means that it does not know the set version.
	Wait time.Duration
}

// Ended says how a node learned that an incarnation was ended.
type Ended struct {
	// Read is when this node read the record.
	Read time.Time
	// Direct tells that a majority of the incarnation's witnesses themselves promised, that the incarnation had no
	// witnesses, or that its process is known to have stopped answering before the record was written.
	//
	// An end that counted ended witnesses is not direct. The ended incarnation, if it has not read its end, may then
	// still hold a first-level lease from those witnesses and mark its answers. To count it as promised would let its
	// holder be ended while that holder owns.
	Direct bool
}
