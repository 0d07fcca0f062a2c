package lease

import (
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// ClaimStatus is the state of a claim.
type ClaimStatus uint8

// States of a claim.
const (
	// ClaimPending means that promises are missing or a wait has not elapsed.
	ClaimPending ClaimStatus = iota
	// ClaimSatisfied means that the end record of the holder may be appended.
	ClaimSatisfied
	// ClaimAbandoned means that the claim is obsolete: the holder ended, renewed or changed its witness set.
	ClaimAbandoned
)

// Claimant collects the promises that this node needs to append the end record of one holder, under one version of the
// holder's witness set.
type Claimant struct {
	parameters Parameters
	self       ledger.Incarnation
	holder     ledger.Incarnation
	version    ledger.Offset
	// setReadAt is when this node read the set version. For a holder without witnesses, the wait starts then.
	setReadAt time.Time
	votes     []vote
	abandoned bool
}

// vote is the state of one witness of the holder in a claim.
type vote struct {
	witness  ledger.Incarnation
	promised bool
	// countsFrom is when an ended witness starts to count as promised; zero if no direct end of the witness is known.
	countsFrom time.Time
	// nextRequest is when the next request to the witness is due; zero if none was sent.
	nextRequest time.Time
}

// NewClaimant starts a claim against holder. setReadAt is when this node read the record that named or renewed the set.
func NewClaimant(
	p Parameters, self, holder ledger.Incarnation, set ledger.WitnessSet, setReadAt time.Time,
) *Claimant {
	c := &Claimant{parameters: p, self: self, holder: holder, version: set.Version, setReadAt: setReadAt}
	for _, m := range set.Members {
		c.votes = append(c.votes, vote{witness: m})
	}
	return c
}

// Holder returns the incarnation that the claim is against.
func (c *Claimant) Holder() ledger.Incarnation { return c.holder }

// SetVersion returns the version of the witness set to which the promises apply.
func (c *Claimant) SetVersion() ledger.Offset { return c.version }

// AppendRequests appends to dst the promise requests that are due now, including retries. The caller passes a request
// that is addressed to this node to its own Witness. AppendRequests makes that request only when the promise would
// complete the majority, because a promise is binding: otherwise a node that alone lost contact with a healthy holder
// could not grant that holder's renewals any more.
func (c *Claimant) AppendRequests(dst []PromiseRequest, now time.Time) []PromiseRequest {
	if c.Status(now) != ClaimPending {
		return dst
	}
	for i := range c.votes {
		v := &c.votes[i]
		if !c.requestDue(v, now) {
			continue
		}
		v.nextRequest = now.Add(c.parameters.timing.PromiseRetry)
		dst = append(dst, PromiseRequest{
			Holder: c.holder, SetVersion: c.version, Claimant: c.self, Witness: v.witness,
		})
	}
	return dst
}

// requestDue reports whether a request for the witness's promise must be sent now.
func (c *Claimant) requestDue(v *vote, now time.Time) bool {
	return c.needed(v, now) && !now.Before(v.nextRequest)
}

// needed reports whether the promise of the witness is missing and, for this node itself, whether it would complete the
// majority.
func (c *Claimant) needed(v *vote, now time.Time) bool {
	if v.promised {
		return false
	}
	return v.witness != c.self || c.promiseCount(now)+1 >= majority(len(c.votes))
}

// HandleAnswer processes a witness's answer. If the answer states a wait, the next request to that witness is sent
// after it.
func (c *Claimant) HandleAnswer(a PromiseAnswer, now time.Time) {
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
			v.nextRequest = now.Add(a.Wait)
		}
	}
}

// WitnessEnded processes the end of a witness of the holder. Only a direct end counts. A second call may report an
// indirect end as direct, once the witness's process is known to have stopped answering.
func (c *Claimant) WitnessEnded(witness ledger.Incarnation, e Ended) {
	for i := range c.votes {
		v := &c.votes[i]
		if v.witness == witness && e.Direct && v.countsFrom.IsZero() {
			v.countsFrom = e.ReadAt.Add(c.parameters.witnessLease)
		}
	}
}

// WitnessSetRead abandons the claim if the version of the holder's witness set has changed.
func (c *Claimant) WitnessSetRead(version ledger.Offset) {
	c.abandoned = c.abandoned || version != c.version
}

// HolderEnded abandons the claim because the holder ended or left.
func (c *Claimant) HolderEnded() { c.abandoned = true }

// HolderRenewed abandons the claim unless it is satisfied. It is called when this node, as a witness, has granted the
// holder a renewal.
func (c *Claimant) HolderRenewed(now time.Time) {
	c.abandoned = c.abandoned || c.Status(now) != ClaimSatisfied
}

// Status returns the state of the claim, and thereby whether the end record of the holder may be appended.
func (c *Claimant) Status(now time.Time) ClaimStatus {
	switch {
	case c.abandoned:
		return ClaimAbandoned
	case len(c.votes) == 0 && now.Before(c.setReadAt.Add(c.parameters.witnessLogLease)):
		return ClaimPending
	case len(c.votes) == 0 || c.promiseCount(now) >= majority(len(c.votes)):
		return ClaimSatisfied
	default:
		return ClaimPending
	}
}

// Direct reports whether the end of the holder needs no ended witness to be counted: a majority of its witnesses
// promised, or it has no witnesses. The end record must state this, because claims against holders of which the ended
// incarnation is a witness depend on it.
func (c *Claimant) Direct() bool {
	promised := 0
	for _, v := range c.votes {
		if v.promised {
			promised++
		}
	}
	return len(c.votes) == 0 || promised >= majority(len(c.votes))
}

// NextCheck returns the next time at which the result of Status or AppendRequests may change without further input;
// zero if there is none.
func (c *Claimant) NextCheck(now time.Time) time.Time {
	times := []time.Time{}
	if len(c.votes) == 0 {
		times = append(times, c.setReadAt.Add(c.parameters.witnessLogLease))
	}
	for i := range c.votes {
		v := &c.votes[i]
		if c.needed(v, now) {
			times = append(times, later(now, v.nextRequest))
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

// promiseCount returns the number of witnesses that promised or count as promised.
func (c *Claimant) promiseCount(now time.Time) int {
	n := 0
	for _, v := range c.votes {
		if v.promised || !v.countsFrom.IsZero() && !now.Before(v.countsFrom) {
			n++
		}
	}
	return n
}
