package lease

import (
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// maxProposals bounds the changes whose outcome is unknown. Resending one of them settles all, since each names the
// same base and the log accepts at most one.
const maxProposals = 4

// maxMembers is the number of witnesses of a set for which no memory is allocated when deadlines are computed.
const maxMembers = 8

// witnessSet is a set that is or may be in force.
type witnessSet struct {
	// recordID is the id of the proposed record; empty in a set that was read.
	recordID string
	// version is zero in a proposal.
	version ledger.Offset
	members []ledger.Incarnation
	// sent was taken before the first append of the record that names or renews the set; zero if unknown.
	// Nobody can have learned the set earlier, and a witness takes the moment it learns it for the last renewal, so
	// sent stands for a renewal that every member answered.
	sent time.Time
}

// Propose is called before the first append of a record that changes or renews this incarnation's witness set on the
// base Version. Until SetRead or Void settles it, ownership needs a majority of the proposed set too. Resending the
// record needs no further call. It returns false, and the record must not be appended, if too many proposals are open
// or the incarnation is ended.
func (h *Holder) Propose(recordID string, members []ledger.Incarnation, now time.Time) bool {
	if h.ended || len(h.proposals) == maxProposals {
		return false
	}
	h.proposals = append(h.proposals, witnessSet{recordID: recordID, members: slices.Clone(members), sent: now})
	h.recompute()
	return true
}

// Pending returns the number of proposals whose outcome has not been read.
func (h *Holder) Pending() int { return len(h.proposals) }

// Void drops a proposal whose record was read and did not take effect.
func (h *Holder) Void(recordID string) {
	h.proposals = slices.DeleteFunc(h.proposals, func(s witnessSet) bool { return s.recordID == recordID })
	h.recompute()
}

// SetRead adopts a set that a record put in force, as read from the log; the recordID is empty if it was read from a
// checkpoint. All proposals are settled by it: they name an outdated base.
func (h *Holder) SetRead(recordID string, set ledger.WitnessSet) {
	if set.Version <= h.current.version {
		return
	}
	adopted := witnessSet{version: set.Version, members: slices.Clone(set.Members)}
	for _, p := range h.proposals {
		if p.recordID == recordID {
			adopted.sent = p.sent
		}
	}
	h.proposals = nil
	h.adopt(adopted)
}

// adopt makes the set the current one. Links to witnesses that stay keep their answers.
func (h *Holder) adopt(s witnessSet) {
	links := make([]link, 0, len(s.members))
	for _, m := range s.members {
		l := link{witness: m}
		if old := h.link(m); old != nil {
			l = *old
		}
		l.firstSend, l.nextSend = time.Time{}, time.Time{}
		links = append(links, l)
	}
	h.current, h.links = s, links
	h.recompute()
}

// LogRenewalDue reports whether the holder has no witnesses and must append a `renewed` record now, after a call of
// Propose with an empty set.
func (h *Holder) LogRenewalDue(now time.Time) bool {
	if h.ended || len(h.current.members) != 0 || len(h.proposals) == maxProposals {
		return false
	}
	last := h.current.sent
	for _, p := range h.proposals {
		last = later(last, p.sent)
	}
	return now.Sub(last) >= h.parameters.timing.LogRenewalInterval
}

// recompute derives both deadlines: every set that may be in force must allow them.
func (h *Holder) recompute() {
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

// deadline returns the time before which no claimant can have ended this incarnation by the set.
func (h *Holder) deadline(s *witnessSet, marked bool) time.Time {
	if len(s.members) == 0 {
		return after(s.sent, h.parameters.holderLogLease)
	}
	return after(later(s.sent, h.majorityAnswered(s, marked)), h.parameters.holderLease)
}

// majorityAnswered returns the latest time since which a majority of the set answered; zero if never.
func (h *Holder) majorityAnswered(s *witnessSet, marked bool) time.Time {
	var buffer [maxMembers]time.Time
	times := buffer[:0]
	for _, m := range s.members {
		times = append(times, h.answered(m, marked))
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority(len(times))-1]
}

// answered returns the send time of the latest renewal that the witness answered.
func (h *Holder) answered(witness ledger.Incarnation, marked bool) time.Time {
	l := h.link(witness)
	switch {
	case l == nil:
		return time.Time{}
	case marked:
		return l.marked
	default:
		return l.granted
	}
}

// after returns t plus d, and zero for an unknown t.
func after(t time.Time, d time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(d)
}
