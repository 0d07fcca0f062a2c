package lease

import (
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// ClaimStatus says how far a claim is.
type ClaimStatus uint8

// States of a claim.
const (
	// ClaimPending still lacks promises.
	ClaimPending ClaimStatus = iota
	// ClaimSatisfied allows to append the end of the holder.
	ClaimSatisfied
	// ClaimAbandoned has no use any more.
	ClaimAbandoned
)

// Claimant gathers what allows this node to end one holder under one set version.
type Claimant struct {
	parameters Parameters
	self       ledger.Incarnation
	holder     ledger.Incarnation
	version    ledger.Offset
	// setRead is when this node read the set version; it starts the wait for a holder without witnesses.
	setRead   time.Time
	votes     []vote
	abandoned bool
}

// vote is the state of one witness of the holder.
type vote struct {
	witness  ledger.Incarnation
	promised bool
	// countsFrom is when an ended witness counts as promised; zero if the witness is not known to have ended directly.
	countsFrom time.Time
	nextAsk    time.Time
}

// NewClaimant starts a claim against holder. The time setRead is when this node read the record that named or renewed
// the set.
func NewClaimant(
	p Parameters, self, holder ledger.Incarnation, set ledger.WitnessSet, setRead time.Time,
) *Claimant {
	c := &Claimant{parameters: p, self: self, holder: holder, version: set.Version, setRead: setRead}
	for _, m := range set.Members {
		c.votes = append(c.votes, vote{witness: m})
	}
	return c
}

// Holder returns the incarnation that is claimed.
func (c *Claimant) Holder() ledger.Incarnation { return c.holder }

// SetVersion returns the set version that the promises are for.
func (c *Claimant) SetVersion() ledger.Offset { return c.version }

// AppendRequests appends the promise requests to send or resend now. A request to this node itself is to be answered
// by its own Witness. It comes last, when it is the only one missing, because a promise binds: a node that alone lost
// contact with a healthy holder would otherwise stay lost to it as a witness.
func (c *Claimant) AppendRequests(dst []PromiseRequest, now time.Time) []PromiseRequest {
	if c.Status(now) != ClaimPending {
		return dst
	}
	for i := range c.votes {
		v := &c.votes[i]
		if !c.mayAsk(v, now) {
			continue
		}
		v.nextAsk = now.Add(c.parameters.timing.PromiseRetry)
		dst = append(dst, PromiseRequest{
			Holder: c.holder, SetVersion: c.version, Claimant: c.self, Witness: v.witness,
		})
	}
	return dst
}

// mayAsk reports whether a request to the witness is useful and due.
func (c *Claimant) mayAsk(v *vote, now time.Time) bool {
	return c.useful(v, now) && !now.Before(v.nextAsk)
}

// useful reports whether a promise of the witness is missing, and for this node itself whether it would decide.
func (c *Claimant) useful(v *vote, now time.Time) bool {
	if v.promised {
		return false
	}
	return v.witness != c.self || c.count(now)+1 >= majority(len(c.votes))
}

// Answer takes in a witness's answer. A witness that says how long to wait is asked again then.
func (c *Claimant) Answer(a PromiseAnswer, now time.Time) {
	if a.Holder != c.holder || a.SetVersion != c.version || a.Claimant != c.self {
		return
	}
	for i := range c.votes {
		v := &c.votes[i]
		if v.witness != a.Witness {
			continue
		}
		v.promised = v.promised || a.Granted
		if a.Wait > 0 {
			v.nextAsk = now.Add(a.Wait)
		}
	}
}

// WitnessEnded takes in that a witness of the holder was ended. A second call with a direct end replaces an indirect
// one; an indirect end is not counted.
func (c *Claimant) WitnessEnded(witness ledger.Incarnation, e Ended) {
	for i := range c.votes {
		v := &c.votes[i]
		if v.witness == witness && e.Direct && v.countsFrom.IsZero() {
			v.countsFrom = e.Read.Add(c.parameters.witnessLease)
		}
	}
}

// SetRead abandons the claim if the holder's set version moved.
func (c *Claimant) SetRead(version ledger.Offset) {
	c.abandoned = c.abandoned || version != c.version
}

// HolderEnded abandons the claim: the holder ended or left.
func (c *Claimant) HolderEnded() { c.abandoned = true }

// HolderRenewed abandons a claim that is not satisfied, because this node's own Witness granted a renewal.
func (c *Claimant) HolderRenewed(now time.Time) {
	c.abandoned = c.abandoned || c.Status(now) != ClaimSatisfied
}

// Status says whether the end of the holder may be appended.
func (c *Claimant) Status(now time.Time) ClaimStatus {
	switch {
	case c.abandoned:
		return ClaimAbandoned
	case len(c.votes) == 0 && now.Before(c.setRead.Add(c.parameters.witnessLogLease)):
		return ClaimPending
	case len(c.votes) == 0 || c.count(now) >= majority(len(c.votes)):
		return ClaimSatisfied
	default:
		return ClaimPending
	}
}

// Direct reports whether the end rests on promises alone. The end record must state it, for claims against holders
// that the ended incarnation witnessed.
func (c *Claimant) Direct() bool {
	promised := 0
	for _, v := range c.votes {
		if v.promised {
			promised++
		}
	}
	return len(c.votes) == 0 || promised >= majority(len(c.votes))
}

// NextCheck returns when Status or AppendRequests may next give something new without a call that takes something in.
func (c *Claimant) NextCheck(now time.Time) time.Time {
	times := []time.Time{}
	if len(c.votes) == 0 {
		times = append(times, c.setRead.Add(c.parameters.witnessLogLease))
	}
	for i := range c.votes {
		v := &c.votes[i]
		if c.useful(v, now) {
			times = append(times, later(now, v.nextAsk))
		}
		if v.countsFrom.After(now) {
			times = append(times, v.countsFrom)
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	return slices.MinFunc(times, time.Time.Compare)
}

// count returns how many witnesses promised or count as promised.
func (c *Claimant) count(now time.Time) int {
	n := 0
	for _, v := range c.votes {
		if v.promised || !v.countsFrom.IsZero() && !now.Before(v.countsFrom) {
			n++
		}
	}
	return n
}
