package lease

import (
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// maxSentRenewals is the number of renewals to one witness whose send times are kept. With the default timing, at most
// three are sent within a lease time; the remainder allows for renewals that are sent early after a change of the
// witness set.
const maxSentRenewals = 8

// Holder is the state of the lease that this node's own incarnation holds.
type Holder struct {
	parameters Parameters
	self       ledger.Incarnation
	// current is the last witness set that this node has read from the log.
	current witnessSet
	// proposals are sets whose records were appended but not yet read back; any of them may be in force.
	proposals []witnessSet
	witnesses []witnessState
	// sequence is the sequence number of the last renewal.
	sequence uint64
	ended    bool
	// firstLevelUntil and ownsUntil are recomputed on each change, so that the check before a request is one
	// comparison.
	firstLevelUntil, ownsUntil time.Time
}

// witnessState is what the holder knows of one witness of the current set.
type witnessState struct {
	witness      ledger.Incarnation
	sentRenewals [maxSentRenewals]sentRenewal
	// grantedSentAt is the send time of the latest renewal that the witness granted; markedSentAt is that of the latest
	// one that it answered with a mark.
	grantedSentAt, markedSentAt time.Time
	// firstSend is when the first renewal under the current set version was sent; zero if none was. nextSend is when
	// the next renewal is due.
	firstSend, nextSend time.Time
}

// sentRenewal is the send time of a renewal. A sequence of zero marks an unused entry.
type sentRenewal struct {
	sequence uint64
	at       time.Time
}

// NewHolder returns the lease of an incarnation that has read its join record. joinSentAt must be a clock reading from
// before the first append of that record.
func NewHolder(p Parameters, self ledger.Incarnation, set ledger.WitnessSet, joinSentAt time.Time) *Holder {
	h := &Holder{parameters: p, self: self}
	h.adopt(witnessSet{version: set.Version, members: slices.Clone(set.Members), sentAt: joinSentAt})
	return h
}

// OwnsUntil returns the time until which this incarnation owns its slices; zero if it does not own them.
func (h *Holder) OwnsUntil() time.Time { return h.ownsUntil }

// Owns reports whether this incarnation owns its slices at the given time.
func (h *Holder) Owns(now time.Time) bool { return now.Before(h.ownsUntil) }

// FirstLevelUntil returns the time until which the first-level lease is valid; zero if it is not.
func (h *Holder) FirstLevelUntil() time.Time { return h.firstLevelUntil }

// FirstLevel reports whether the first-level lease is valid at the given time. If it is, this node marks the answers
// that it gives as a witness.
func (h *Holder) FirstLevel(now time.Time) bool { return now.Before(h.firstLevelUntil) }

// Version returns the version of the last witness set that this node has read from the log.
func (h *Holder) Version() ledger.Offset { return h.current.version }

// AppendRenewals appends to dst the renewals that are due and records now as their send time. The caller must not send
// them before the clock reading now.
func (h *Holder) AppendRenewals(dst []Renewal, now time.Time) []Renewal {
	if h.ended {
		return dst
	}
	for i := range h.witnesses {
		w := &h.witnesses[i]
		if now.Before(w.nextSend) {
			continue
		}
		h.sequence++
		w.recordSend(h.sequence, now)
		w.nextSend = now.Add(h.parameters.timing.RenewalInterval)
		dst = append(dst, Renewal{
			Holder: h.self, SetVersion: h.current.version, Sequence: h.sequence, Witness: w.witness,
		})
	}
	return dst
}

// NextRenewal returns when the next renewal is due; zero if there is none.
func (h *Holder) NextRenewal() time.Time {
	if h.ended || len(h.witnesses) == 0 {
		return time.Time{}
	}
	next := h.witnesses[0].nextSend
	for i := range h.witnesses {
		next = earlier(next, h.witnesses[i].nextSend)
	}
	return next
}

// HandleAnswer processes a witness's answer. An answer to an unknown renewal, or to one so old that its send time is no
// longer kept, has no effect. An answer to a renewal under an earlier set version counts: the witness had not read the
// later version when it answered, and restarts the lease time when it does.
func (h *Holder) HandleAnswer(a RenewalAnswer) {
	if h.ended || a.Holder != h.self || a.Refused {
		return
	}
	w := h.witnessState(a.Witness)
	if w == nil {
		return
	}
	at, found := w.sendTime(a.Sequence)
	if !found {
		return
	}
	w.grantedSentAt = later(w.grantedSentAt, at)
	if a.Marked {
		w.markedSentAt = later(w.markedSentAt, at)
	}
	h.recomputeDeadlines()
}

// End terminates the lease permanently. It is called when the node reads the end of its incarnation.
func (h *Holder) End() {
	h.ended = true
	h.recomputeDeadlines()
}

// DiscardAnswers discards all answers, so that the node owns nothing until witnesses answer renewals that are sent from
// now on. It is called when the clock may have missed time since the last answers, for example after a suspend of the
// machine.
func (h *Holder) DiscardAnswers() {
	h.current.sentAt = time.Time{}
	for i := range h.proposals {
		h.proposals[i].sentAt = time.Time{}
	}
	for i := range h.witnesses {
		h.witnesses[i] = witnessState{witness: h.witnesses[i].witness}
	}
	h.recomputeDeadlines()
}

// AppendStaleWitnesses appends to dst the witnesses of the current set that granted no renewal sent within the last
// lease time, although renewals have been sent for longer. They should be replaced if this persists. A witness that
// promised stays stale until the set version changes.
func (h *Holder) AppendStaleWitnesses(dst []ledger.Incarnation, now time.Time) []ledger.Incarnation {
	for i := range h.witnesses {
		w := &h.witnesses[i]
		if !w.firstSend.IsZero() && now.Sub(later(w.grantedSentAt, w.firstSend)) > h.parameters.timing.LeaseTime {
			dst = append(dst, w.witness)
		}
	}
	return dst
}

// witnessState returns the state of the witness, or nil if it is not in the current set.
func (h *Holder) witnessState(witness ledger.Incarnation) *witnessState {
	for i := range h.witnesses {
		if h.witnesses[i].witness == witness {
			return &h.witnesses[i]
		}
	}
	return nil
}

// recordSend adds a renewal and drops the oldest one.
func (w *witnessState) recordSend(sequence uint64, at time.Time) {
	if w.firstSend.IsZero() {
		w.firstSend = at
	}
	copy(w.sentRenewals[1:], w.sentRenewals[:maxSentRenewals-1])
	w.sentRenewals[0] = sentRenewal{sequence: sequence, at: at}
}

// sendTime returns when the renewal was sent, or false if it is unknown or no longer kept.
func (w *witnessState) sendTime(sequence uint64) (time.Time, bool) {
	for _, s := range w.sentRenewals {
		if s.sequence == sequence && sequence != 0 {
			return s.at, true
		}
	}
	return time.Time{}, false
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// WitnessStatus is the state of one witness as shown to operators.
type WitnessStatus struct {
	Witness ledger.Incarnation
	// Answered is the send time of the latest renewal that the witness granted; zero if it granted none.
	Answered time.Time
	// Marked is true if a marked answer of the witness currently counts towards ownership.
	Marked bool
}

// Witnesses returns the status of each witness of the current set.
func (h *Holder) Witnesses(now time.Time) []WitnessStatus {
	list := make([]WitnessStatus, 0, len(h.witnesses))
	for i := range h.witnesses {
		w := &h.witnesses[i]
		marked := !w.markedSentAt.IsZero() && now.Before(w.markedSentAt.Add(h.parameters.holderLease))
		list = append(list, WitnessStatus{Witness: w.witness, Answered: w.grantedSentAt, Marked: marked})
	}
	return list
}
