package lease

import (
	"cmp"
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// Witness is this node's state as a witness of other incarnations.
type Witness struct {
	parameters Parameters
	self       ledger.Incarnation
	holders    map[ledger.Incarnation]*heldLease
	stopped    bool
}

// heldLease is what a witness knows of the lease of one holder under one version of the holder's witness set.
type heldLease struct {
	version ledger.Offset
	// rank is this node's index in the holder's witness set.
	rank int
	// renewedAt is when this node last granted a renewal, or when it read the set version if that is later.
	renewedAt time.Time
	// promised means that all further renewals under this version are refused.
	promised bool
}

// Overdue identifies a holder that this node may claim because its lease was not renewed in time.
type Overdue struct {
	Holder     ledger.Incarnation
	SetVersion ledger.Offset
}

// NewWitness returns a witness that knows no holder yet.
func NewWitness(p Parameters, self ledger.Incarnation) *Witness {
	return &Witness{parameters: p, self: self, holders: map[ledger.Incarnation]*heldLease{}}
}

// WitnessSetRead processes the witness set of a holder as read from the log. The caller passes every set, including
// those of which this node is not a member. The time now counts as the last renewal, since the holder may count its
// lease from when it sent the record. A version that is not later than the known one has no effect, so that a promise
// is not lost if the same version is read again.
func (w *Witness) WitnessSetRead(holder ledger.Incarnation, set ledger.WitnessSet, now time.Time) {
	known := w.holders[holder]
	if known != nil && set.Version <= known.version {
		return
	}
	rank := slices.Index(set.Members, w.self)
	if rank < 0 {
		delete(w.holders, holder)
		return
	}
	w.holders[holder] = &heldLease{version: set.Version, rank: rank, renewedAt: now}
}

// RemoveHolder removes a holder that ended or left.
func (w *Witness) RemoveHolder(holder ledger.Incarnation) { delete(w.holders, holder) }

// RetainHolders removes the holders for which keep returns false. It is used after the state was loaded from a
// checkpoint or a snapshot, when the end and leave records were not replayed.
func (w *Witness) RetainHolders(keep func(ledger.Incarnation) bool) {
	for holder := range w.holders {
		if !keep(holder) {
			delete(w.holders, holder)
		}
	}
}

// Stop makes the witness refuse all further renewals. A node calls it before it appends its own leave record, because
// claimants may count a witness that left as ended.
func (w *Witness) Stop() { w.stopped = true }

// Renew answers a renewal. The caller must read now after the renewal arrived; firstLevel states whether this node's
// own first-level lease is valid at that time.
func (w *Witness) Renew(r Renewal, firstLevel bool, now time.Time) RenewalAnswer {
	a := RenewalAnswer{
		Holder: r.Holder, Witness: w.self, SetVersion: r.SetVersion, Sequence: r.Sequence, Refused: true,
	}
	held := w.lookup(r.Holder, r.SetVersion)
	if w.stopped || r.Witness != w.self || held == nil || held.promised {
		return a
	}
	held.renewedAt = later(held.renewedAt, now)
	a.Refused, a.Marked = false, firstLevel
	return a
}

// Promise answers a promise request. A promise is binding until the holder's set version changes, whatever the outcome
// of the claim, and is granted to every claimant that asks.
func (w *Witness) Promise(r PromiseRequest, now time.Time) PromiseAnswer {
	a := PromiseAnswer{Holder: r.Holder, SetVersion: r.SetVersion, Claimant: r.Claimant, Witness: w.self}
	held := w.lookup(r.Holder, r.SetVersion)
	if r.Witness != w.self || held == nil {
		return a
	}
	if wait := held.renewedAt.Add(w.parameters.witnessLease).Sub(now); wait > 0 && !held.promised {
		a.Wait = wait
		return a
	}
	held.promised = true
	a.Granted = true
	return a
}

// AppendOverdue appends to dst the holders that this node may claim now, ordered by incarnation.
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

// NextOverdue returns when the next holder becomes overdue if no renewal arrives; zero if this node witnesses no
// holder.
func (w *Witness) NextOverdue() time.Time {
	var next time.Time
	for _, held := range w.holders {
		if at := w.claimAt(held); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// claimAt returns when this node may claim the holder. Witnesses of a higher rank wait longer, see Timing.ClaimStagger.
func (w *Witness) claimAt(held *heldLease) time.Time {
	return held.renewedAt.Add(w.parameters.witnessLease).Add(time.Duration(held.rank) * w.parameters.timing.ClaimStagger)
}

// lookup returns the lease of the holder, or nil unless the set version is the one that this node read last.
func (w *Witness) lookup(holder ledger.Incarnation, version ledger.Offset) *heldLease {
	held := w.holders[holder]
	if held == nil || held.version != version {
		return nil
	}
	return held
}
