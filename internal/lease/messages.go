package lease

import (
	"time"

	"heatherreel/internal/ledger"
)

// Renewal is a request to a witness to extend the lease of a holder.
type Renewal struct {
	Holder     ledger.Incarnation
	SetVersion ledger.Offset
	// Sequence is unique among the renewals of the holder; the answer echoes it.
	Sequence uint64
	Witness  ledger.Incarnation
}

// RenewalAnswer is a witness's answer to a Renewal.
type RenewalAnswer struct {
	Holder     ledger.Incarnation
	Witness    ledger.Incarnation
	SetVersion ledger.Offset
	Sequence   uint64
	// Refused means that the renewal was not granted: the witness has promised or stopped, or it knows another set
	// version or none.
	Refused bool
	// Marked means that the witness's own first-level lease was valid when it answered.
	Marked bool
	// LedgerOffset is the offset up to which the witness has replayed the log. Witness.Renew leaves it zero; the code
	// that sends the answer sets it.
	LedgerOffset ledger.Offset
}

// PromiseRequest is a request to a witness to promise that it will not renew the lease of a holder again under this set
// version.
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
	// Wait is the time until the witness may promise; zero in a refusal means that the witness does not know the set
	// version.
	Wait time.Duration
}

// Ended describes how a node learned that an incarnation was ended.
type Ended struct {
	// ReadAt is when this node read the record that shows the end.
	ReadAt time.Time
	// Direct means that a majority of the incarnation's witnesses themselves promised, that the incarnation had no
	// witnesses, or that its process is known to have stopped answering before the record was written.
	//
	// An end that counted ended witnesses is indirect. If the ended incarnation has not read its end, it may still have
	// a first-level lease from those witnesses and mark its answers. Counting it as promised could then end a holder
	// that still owns its slices because of these answers.
	Direct bool
}
