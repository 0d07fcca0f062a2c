package lease

import (
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// maxProposals is the maximum number of set changes whose outcome is unknown. It need not be large: all of them name
// the same base version, so that at most one can take effect, and resending any one of them resolves them all.
const maxProposals = 4

// deadlineBufferSize is the largest number of witnesses of a set for which the deadlines are computed without a heap
// allocation.
const deadlineBufferSize = 8

// witnessSet is a witness set that is or may be in force.
type witnessSet struct {
	// recordID is the id of the record that proposes the set; empty for a set that was read from the log.
	recordID string
	// version is zero for a proposal.
	version ledger.Offset
	members []ledger.Incarnation
	// sentAt is a clock reading from before the first append of the record that names or renews the set; zero if
	// unknown. No node can have read the set earlier, and a witness counts the time at which it reads the set as the
	// last renewal. So sentAt counts as the send time of a renewal that every member answered.
	sentAt time.Time
}

// Propose must be called before the first append of a record that changes or renews this incarnation's witness set and
// names Version as its base. Until WitnessSetRead or ProposalRejected resolves the proposal, ownership also requires a
// majority of the proposed set. Resending the record needs no further call. Propose returns false, and the record must
// not be appended, if too many proposals are unresolved or the incarnation has ended.
func (h *Holder) Propose(recordID string, members []ledger.Incarnation, now time.Time) bool {
	if h.ended || len(h.proposals) == maxProposals {
		return false
	}
	h.proposals = append(h.proposals, witnessSet{recordID: recordID, members: slices.Clone(members), sentAt: now})
	h.recomputeDeadlines()
	return true
}

// PendingProposals returns the number of proposals whose outcome has not been read.
func (h *Holder) PendingProposals() int { return len(h.proposals) }

// ProposalRejected removes a proposal whose record was read and did not take effect.
func (h *Holder) ProposalRejected(recordID string) {
	h.proposals = slices.DeleteFunc(h.proposals, func(s witnessSet) bool { return s.recordID == recordID })
	h.recomputeDeadlines()
}

// WitnessSetRead adopts the witness set that is now in force, as read from the log. recordID identifies the record that
// put it in force; it is empty if the set was read from a checkpoint. All pending proposals are removed, because a
// version later than their base is now in force.
func (h *Holder) WitnessSetRead(recordID string, set ledger.WitnessSet) {
	if set.Version <= h.current.version {
		return
	}
	adopted := witnessSet{version: set.Version, members: slices.Clone(set.Members)}
	for _, p := range h.proposals {
		if p.recordID == recordID {
			adopted.sentAt = p.sentAt
		}
	}
	h.proposals = nil
	h.adopt(adopted)
}

// adopt makes the set the current one. Witnesses that remain in the set keep their recorded answers.
func (h *Holder) adopt(s witnessSet) {
	witnesses := make([]witnessState, 0, len(s.members))
	for _, m := range s.members {
		w := witnessState{witness: m}
		if old := h.witnessState(m); old != nil {
			w = *old
		}
		w.firstSend, w.nextSend = time.Time{}, time.Time{}
		witnesses = append(witnesses, w)
	}
	h.current, h.witnesses = s, witnesses
	h.recomputeDeadlines()
}

// LogRenewalDue reports whether the holder has no witnesses and must append a `renewed` record now. Before that, the
// caller must call Propose with an empty set.
func (h *Holder) LogRenewalDue(now time.Time) bool {
	if h.ended || len(h.current.members) != 0 || len(h.proposals) == maxProposals {
		return false
	}
	last := h.current.sentAt
	for _, p := range h.proposals {
		last = later(last, p.sentAt)
	}
	return now.Sub(last) >= h.parameters.timing.LogRenewalInterval
}

// recomputeDeadlines recomputes both deadlines as the earliest over all sets that may be in force.
func (h *Holder) recomputeDeadlines() {
	h.firstLevelUntil, h.ownsUntil = time.Time{}, time.Time{}
	if h.ended {
		return
	}
	h.firstLevelUntil, h.ownsUntil = h.deadline(&h.current, false), h.deadline(&h.current, true)
	for i := range h.proposals {
		h.firstLevelUntil = earlier(h.firstLevelUntil, h.deadline(&h.proposals[i], false))
		h.ownsUntil = earlier(h.ownsUntil, h.deadline(&h.proposals[i], true))
	}
}

// deadline returns the time until which the set grants the first-level lease or, if marked is true, ownership. Until
// the deadline for ownership, no claimant can have ended this incarnation under the set.
func (h *Holder) deadline(s *witnessSet, marked bool) time.Time {
	if len(s.members) == 0 {
		return addUnlessZero(s.sentAt, h.parameters.holderLogLease)
	}
	return addUnlessZero(later(s.sentAt, h.majorityAnsweredAt(s, marked)), h.parameters.holderLease)
}

// majorityAnsweredAt returns the latest time such that a majority of the set has answered renewals sent at or after it;
// zero if there is none.
func (h *Holder) majorityAnsweredAt(s *witnessSet, marked bool) time.Time {
	var buffer [deadlineBufferSize]time.Time
	times := buffer[:0]
	for _, m := range s.members {
		times = append(times, h.answeredAt(m, marked))
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority(len(times))-1]
}

// answeredAt returns the send time of the latest renewal that the witness granted or, if marked is true, answered with
// a mark; zero if there is none.
func (h *Holder) answeredAt(witness ledger.Incarnation, marked bool) time.Time {
	w := h.witnessState(witness)
	switch {
	case w == nil:
		return time.Time{}
	case marked:
		return w.markedSentAt
	default:
		return w.grantedSentAt
	}
}

// addUnlessZero returns t plus d, or zero if t is zero.
func addUnlessZero(t time.Time, d time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(d)
}
