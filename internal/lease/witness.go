package lease

import (
	"cmp"
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// Witness is this node's part as a witness of other incarnations.
type Witness struct {
	parameters Parameters
	self       ledger.Incarnation
	holders    map[ledger.Incarnation]*heldLease
	stopped    bool
}

// heldLease is the lease of one holder under one set version.
type heldLease struct {
	version ledger.Offset
	// rank is this node's place among the witnesses of the holder.
	rank int
	// renewed is when a renewal was last answered, or when the set version was learned.
	renewed time.Time
	// promised tells that no renewal under this version is answered any more.
	promised bool
}

// Overdue names a holder that this node may claim.
type Overdue struct {
	Holder     ledger.Incarnation
	SetVersion ledger.Offset
}

// NewWitness returns a witness that knows no holder yet.
func NewWitness(p Parameters, self ledger.Incarnation) *Witness {
	return &Witness{parameters: p, self: self, holders: map[ledger.Incarnation]*heldLease{}}
}

// Learn takes in the witness set of a holder as read from the log, also if this node is not in it. The moment counts
// as the last renewal, since the holder may count from when it sent the record. A version that is not later than the
// known one has no effect, so that a promise survives a second reading.
func (w *Witness) Learn(holder ledger.Incarnation, set ledger.WitnessSet, now time.Time) {
	known := w.holders[holder]
	if known != nil && set.Version <= known.version {
		return
	}
	rank := slices.Index(set.Members, w.self)
	if rank < 0 {
		delete(w.holders, holder)
		return
	}
	w.holders[holder] = &heldLease{version: set.Version, rank: rank, renewed: now}
}

// Forget drops a holder that ended or left.
func (w *Witness) Forget(holder ledger.Incarnation) { delete(w.holders, holder) }

// Retain drops the holders for which keep returns false. It is for a state that was not replayed record by record.
func (w *Witness) Retain(keep func(ledger.Incarnation) bool) {
	for holder := range w.holders {
		if !keep(holder) {
			delete(w.holders, holder)
		}
	}
}

// Stop makes the witness refuse every renewal from now on. A node calls it before it appends its own leave record, so
// that claimants may count it as ended.
func (w *Witness) Stop() { w.stopped = true }

// Renew answers a renewal. The time now must be read after the renewal arrived; firstLevel tells whether the own
// first-level lease holds at that time.
func (w *Witness) Renew(r Renewal, firstLevel bool, now time.Time) RenewalAnswer {
	a := RenewalAnswer{
		Holder: r.Holder, Witness: w.self, SetVersion: r.SetVersion, Sequence: r.Sequence, Refused: true,
	}
	held := w.known(r.Holder, r.SetVersion)
	if w.stopped || r.Witness != w.self || held == nil || held.promised {
		return a
	}
	held.renewed = later(held.renewed, now)
	a.Refused, a.Marked = false, firstLevel
	return a
}

// Promise answers a promise request. A promise holds until the holder's set version changes, whatever becomes of the
// claim, and is repeated to every claimant that asks.
func (w *Witness) Promise(r PromiseRequest, now time.Time) PromiseAnswer {
	a := PromiseAnswer{Holder: r.Holder, SetVersion: r.SetVersion, Claimant: r.Claimant, Witness: w.self}
	held := w.known(r.Holder, r.SetVersion)
	if r.Witness != w.self || held == nil {
		return a
	}
	if wait := held.renewed.Add(w.parameters.witnessLease).Sub(now); wait > 0 && !held.promised {
		a.Wait = wait
		return a
	}
	held.promised = true
	a.Granted = true
	return a
}

// AppendOverdue appends the holders that this node may claim now, ordered by incarnation.
func (w *Witness) AppendOverdue(dst []Overdue, now time.Time) []Overdue {
	start := len(dst)
	for holder, held := range w.holders {
		if !now.Before(w.claimAt(held)) {
			dst = append(dst, Overdue{Holder: holder, SetVersion: held.version})
		}
	}
	slices.SortFunc(dst[start:], func(a, b Overdue) int { return cmp.Compare(a.Holder, b.Holder) })
	return dst
}

// NextOverdue returns when the next holder becomes overdue if no renewal arrives; zero if there is no holder.
func (w *Witness) NextOverdue() time.Time {
	var next time.Time
	for _, held := range w.holders {
		if at := w.claimAt(held); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// claimAt returns when this node may claim the holder: witnesses named later leave the earlier ones a head start.
func (w *Witness) claimAt(held *heldLease) time.Time {
	return held.renewed.Add(w.parameters.witnessLease).Add(time.Duration(held.rank) * w.parameters.timing.ClaimStagger)
}

// known returns the lease of the holder if its set version is the one that this node has read last.
func (w *Witness) known(holder ledger.Incarnation, version ledger.Offset) *heldLease {
	held := w.holders[holder]
	if held == nil || held.version != version {
		return nil
	}
	return held
}
