package lease

import (
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// sendsRemembered is the number of renewals to one witness whose send times are kept. A lease time spans three
// renewal intervals; the rest allows for renewals sent early after a change of the set.
const sendsRemembered = 8

// Holder is the lease of this node's own incarnation.
type Holder struct {
	parameters Parameters
	self       ledger.Incarnation
	// current is the last set that this node has read from the log.
	current witnessSet
	// proposals are sets that may be in force without this node having read it.
	proposals []witnessSet
	links     []link
	sequence  uint64
	ended     bool
	// firstLevelUntil and ownsUntil are computed on each change, so that the check before a request is one comparison.
	firstLevelUntil, ownsUntil time.Time
}

// link is what the holder knows of one witness of the current set.
type link struct {
	witness ledger.Incarnation
	sends   [sendsRemembered]send
	// granted and marked are the send times of the latest renewals that were answered, and answered with the mark.
	granted, marked time.Time
	// firstSend is when the first renewal under the current set version was sent; zero if none was.
	firstSend, nextSend time.Time
}

// send is a renewal that is on its way or was answered; sequence zero is none.
type send struct {
	sequence uint64
	at       time.Time
}

// NewHolder returns the lease of an incarnation that has read its join record.
// The time joinSent was taken before the first append of that record.
func NewHolder(p Parameters, self ledger.Incarnation, set ledger.WitnessSet, joinSent time.Time) *Holder {
	h := &Holder{parameters: p, self: self}
	h.adopt(witnessSet{version: set.Version, members: slices.Clone(set.Members), sent: joinSent})
	return h
}

// OwnsUntil returns the time before which this incarnation owns its slices; zero if it does not.
func (h *Holder) OwnsUntil() time.Time { return h.ownsUntil }

// Owns reports whether this incarnation owns its slices at the time.
func (h *Holder) Owns(now time.Time) bool { return now.Before(h.ownsUntil) }

// FirstLevelUntil returns the time before which the first-level lease holds; zero if it does not.
func (h *Holder) FirstLevelUntil() time.Time { return h.firstLevelUntil }

// FirstLevel reports whether the first-level lease holds at the time. A witness marks its answers by it.
func (h *Holder) FirstLevel(now time.Time) bool { return now.Before(h.firstLevelUntil) }

// Version returns the version of the last witness set that was read.
func (h *Holder) Version() ledger.Offset { return h.current.version }

// AppendRenewals appends the renewals that are due to dst and remembers now as their send time.
// They must be sent after now was read.
func (h *Holder) AppendRenewals(dst []Renewal, now time.Time) []Renewal {
	if h.ended {
		return dst
	}
	for i := range h.links {
		l := &h.links[i]
		if now.Before(l.nextSend) {
			continue
		}
		h.sequence++
		l.remember(h.sequence, now)
		l.nextSend = now.Add(h.parameters.timing.RenewalInterval)
		dst = append(dst, Renewal{
			Holder: h.self, SetVersion: h.current.version, Sequence: h.sequence, Witness: l.witness,
		})
	}
	return dst
}

// NextRenewal returns when the next renewal is due; zero if there is none.
func (h *Holder) NextRenewal() time.Time {
	if h.ended || len(h.links) == 0 {
		return time.Time{}
	}
	next := h.links[0].nextSend
	for i := range h.links {
		next = earlier(next, h.links[i].nextSend)
	}
	return next
}

// Answer takes in a witness's answer. An answer that the holder did not ask for, or asked for too long ago, has no
// effect. An answer to a renewal under an earlier set version counts: the witness had not learned the later version
// when it answered, and will count the lease time anew when it does.
func (h *Holder) Answer(a RenewalAnswer) {
	if h.ended || a.Holder != h.self || a.Refused {
		return
	}
	l := h.link(a.Witness)
	if l == nil {
		return
	}
	at, found := l.sentAt(a.Sequence)
	if !found {
		return
	}
	l.granted = later(l.granted, at)
	if a.Marked {
		l.marked = later(l.marked, at)
	}
	h.recompute()
}

// End stops the lease for good. It is called when the node reads the end of its incarnation.
func (h *Holder) End() {
	h.ended = true
	h.recompute()
}

// Forget drops all answers, so that nothing is owned until witnesses answer renewals that are sent from now on. It is
// called when the clock cannot be trusted for the time since the last answers, as after a suspend of the machine.
func (h *Holder) Forget() {
	h.current.sent = time.Time{}
	for i := range h.proposals {
		h.proposals[i].sent = time.Time{}
	}
	for i := range h.links {
		h.links[i] = link{witness: h.links[i].witness}
	}
	h.recompute()
}

// AppendStale appends the witnesses of the current set that granted no renewal sent in the last lease time, although
// renewals were sent for longer. They should be replaced if this persists. A witness that promised stays stale until the set version changes.
func (h *Holder) AppendStale(dst []ledger.Incarnation, now time.Time) []ledger.Incarnation {
	for i := range h.links {
		l := &h.links[i]
		if !l.firstSend.IsZero() && now.Sub(later(l.granted, l.firstSend)) > h.parameters.timing.LeaseTime {
			dst = append(dst, l.witness)
		}
	}
	return dst
}

// link returns the link to the witness, or nil if it is not in the current set.
func (h *Holder) link(witness ledger.Incarnation) *link {
	for i := range h.links {
		if h.links[i].witness == witness {
			return &h.links[i]
		}
	}
	return nil
}

func (l *link) remember(sequence uint64, at time.Time) {
	if l.firstSend.IsZero() {
		l.firstSend = at
	}
	copy(l.sends[1:], l.sends[:sendsRemembered-1])
	l.sends[0] = send{sequence: sequence, at: at}
}

func (l *link) sentAt(sequence uint64) (time.Time, bool) {
	for _, s := range l.sends {
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

// WitnessStatus is what the holder knows of one witness, for operators.
type WitnessStatus struct {
	Witness ledger.Incarnation
	// Answered is the send time of the latest renewal that was answered; zero if none was.
	Answered time.Time
	// Marked tells that an answer with the mark counts at present.
	Marked bool
}

// Witnesses describes the witnesses of the current set.
func (h *Holder) Witnesses(now time.Time) []WitnessStatus {
	list := make([]WitnessStatus, 0, len(h.links))
	for i := range h.links {
		l := &h.links[i]
		marked := !l.marked.IsZero() && now.Before(l.marked.Add(h.parameters.holderLease))
		list = append(list, WitnessStatus{Witness: l.witness, Answered: l.granted, Marked: marked})
	}
	return list
}
