// Package keyhold decides what the node may grant to the backend server beside it, and records what that backend server
// may still hold.
//
// Grants travel in one of two ways, which share all rules of this package:
//
//   - in the reply to a heartbeat, which replaces all grants before it (GrantByReply, Freed);
//   - by calls to the backend server, each of which grants one span (Begin, Accept, Fail) or releases one (BeginRelease,
//     EndRelease).
//
// A hold counts from the arrival of its grant and is measured by a clock that may run 2 % slow. A call that was answered
// arrived before the answer. A call without an answer may arrive until its connection is given up, and may be applied
// seconds later, even after a release of the same span; its hold still counts from its arrival. Such a call therefore
// counts as held until that time has passed, whatever was released meanwhile.
//
// The package does no I/O and reads no clock.
package keyhold

import (
	"slices"
	"time"

	"heatherreel/internal/keyrange"
)

// Times of grants by calls.
const (
	// MaxHold is the longest hold of a granted span. It is not longer than the time after which a backend server without
	// heartbeats counts as lost, so that a lost one does not keep its keys for longer because of it.
	MaxHold = 3400 * time.Millisecond
	// renewAfter is the age of a hold at which it is renewed. At CallTimeout per call, 16 calls fit into the rest of the
	// hold: if 30 % of the calls are lost, all of them are lost in one of 230 million renewals.
	renewAfter = 900 * time.Millisecond
	// CallTimeout is the time after which the connection of a grant without an answer is given up. A backend server on
	// the same instance answers within a few milliseconds.
	CallTimeout = 150 * time.Millisecond
	// ReleaseTimeout is the time after which a release without an answer is repeated. The backend server answers when
	// the requests that run on the span have ended.
	ReleaseTimeout = 1500 * time.Millisecond
	// retryDelay is the time until the next call after one that could not be sent.
	retryDelay = 100 * time.Millisecond
	// connectWindow is how long after a heartbeat new connections are opened. It covers a heartbeat interval of 870 ms
	// and a late heartbeat.
	connectWindow = 1500 * time.Millisecond
)

// Span is a contiguous range of keys under one fence.
type Span struct {
	// From and To are the first and last key.
	From, To uint16
	Fence    uint64
	// HandoverToken is the token of the previous owner; empty if there is none.
	HandoverToken string
}

// Overlaps reports whether the span contains a key in [from, to].
func (s Span) Overlaps(from, to uint16) bool { return s.From <= to && from <= s.To }

// Released is a span that the backend server has released, with the token for its next owner.
type Released struct {
	From, To      uint16
	HandoverToken string
}

// CallID identifies a call that has begun and not ended. The zero value is no call.
type CallID uint64

// Tracker records the grants to the current incarnation of a backend server. It is not safe for concurrent use. The zero
// value is ready for use.
type Tracker struct {
	// usable are the spans that the backend server holds for certain from a time on, until another one.
	usable []usableSpan
	// possible are the spans that the backend server may hold.
	possible []possibleSpan
	// calls are the grants by calls that have neither succeeded nor failed, and releases the releases.
	calls, releases map[CallID]Span
	lastCall        CallID
	// overtaken are the grants in progress that a release may have ended.
	overtaken map[CallID]bool
	// settled counts the calls that were answered. releaseBegan is its value when a release began.
	settled      uint64
	releaseBegan map[CallID]uint64
	// released are the spans that were released, until the table shows that they have moved.
	released []Released
	// refused are the spans that the backend server refused because it has seen a higher fence.
	refused []Span
	// anyUntil is until when the backend server may hold any key, by grants of an earlier process of the node.
	anyUntil keyrange.Instant
	// notBefore is when the next call may be made, after one that could not be sent.
	notBefore keyrange.Instant
	// connectUntil is until when new connections may be opened.
	connectUntil keyrange.Instant
	// stats count the calls.
	stats Stats
}

// Stats counts the grants and releases by calls since the start of the process.
type Stats struct {
	Grants, Releases, Refused, Unanswered, NotSent int64
	// MinHoldLeft is the shortest time that was left of a hold when it was renewed; zero before the first renewal.
	MinHoldLeft time.Duration
}

type usableSpan struct {
	Span
	from, until keyrange.Instant
}

// possibleSpan is a span that the backend server may hold until a time. settled is the position of the grant among the
// answered calls; zero for one without an answer, which a release does not end.
type possibleSpan struct {
	Span
	until   keyrange.Instant
	settled uint64
}

// Reset discards what is known about an incarnation that has ended. An earlier process of the node may have granted keys
// to the next incarnation too.
func (t *Tracker) Reset() {
	*t = Tracker{lastCall: t.lastCall, stats: t.stats, anyUntil: t.anyUntil}
}

// AssumeEarlierGrants records that an earlier process of the node may have granted any key until now, for hold at most.
func (t *Tracker) AssumeEarlierGrants(now keyrange.Instant, hold time.Duration) {
	t.anyUntil = max(t.anyUntil, keyrange.HoldExpiry(now, hold))
}

// Usable reports whether the backend server holds a key for certain.
func (t *Tracker) Usable(key uint16, now keyrange.Instant) bool {
	return slices.ContainsFunc(t.usable, func(u usableSpan) bool { return u.from <= now && now < u.until && u.Overlaps(key, key) })
}

// UsableFence reports whether the backend server holds all keys of a span under its fence.
func (t *Tracker) UsableFence(s Span, now keyrange.Instant) bool { return t.usableUntil(s, now) > now }

// MayHold reports whether the backend server may hold a key in [from, to].
func (t *Tracker) MayHold(from, to uint16, now keyrange.Instant) bool {
	if now < t.anyUntil {
		return true
	}
	for _, s := range t.calls {
		if s.Overlaps(from, to) {
			return true
		}
	}
	return slices.ContainsFunc(t.possible, func(p possibleSpan) bool { return now < p.until && p.Overlaps(from, to) })
}

// GrantByReply records the spans of a reply to a heartbeat, which replaces all grants before it. New spans are usable
// from effectiveAt on. It reports whether there are any.
func (t *Tracker) GrantByReply(spans []Span, expiresAt, effectiveAt, now keyrange.Instant) (added bool) {
	var usable []usableSpan
	for _, s := range spans {
		u := usableSpan{Span: s, from: effectiveAt, until: expiresAt}
		if i := slices.IndexFunc(t.usable, func(old usableSpan) bool {
			return now < old.until && old.From <= s.From && s.To <= old.To && old.Fence == s.Fence
		}); i >= 0 {
			u.from = t.usable[i].from
		} else {
			added = true
		}
		usable = append(usable, u)
		t.addPossible(possibleSpan{Span: s, until: expiresAt}, now)
	}
	t.usable = usable
	return added
}

// Freed records that a heartbeat reports the release of a span. The backend server held it, so that no earlier grant of
// the span is still on its way.
func (t *Tracker) Freed(r Released) {
	t.released = append(t.released, r)
	t.removePossible(r.From, r.To, func(possibleSpan) bool { return true })
}

// addPossible adds a span that the backend server may hold, and drops the expired ones.
func (t *Tracker) addPossible(added possibleSpan, now keyrange.Instant) {
	t.possible = slices.DeleteFunc(t.possible, func(p possibleSpan) bool { return p.until <= now })
	i := slices.IndexFunc(t.possible, func(p possibleSpan) bool {
		return p.From == added.From && p.To == added.To && (p.settled == 0) == (added.settled == 0)
	})
	if i < 0 {
		t.possible = append(t.possible, added)
		return
	}
	t.possible[i].until = max(t.possible[i].until, added.until)
	t.possible[i].settled = max(t.possible[i].settled, added.settled)
}

// removePossible removes the keys in [from, to] from the chosen spans.
func (t *Tracker) removePossible(from, to uint16, chosen func(possibleSpan) bool) {
	var remaining []possibleSpan
	for _, p := range t.possible {
		if !p.Overlaps(from, to) || !chosen(p) {
			remaining = append(remaining, p)
			continue
		}
		for _, part := range without(p.Span, from, to) {
			remaining = append(remaining, possibleSpan{Span: part, until: p.until, settled: p.settled})
		}
	}
	t.possible = remaining
}

// without returns the parts of s outside of [from, to].
func without(s Span, from, to uint16) []Span {
	if !s.Overlaps(from, to) {
		return []Span{s}
	}
	var parts []Span
	if s.From < from {
		before := s
		before.To = from - 1
		parts = append(parts, before)
	}
	if to < s.To {
		after := s
		after.From = to + 1
		parts = append(parts, after)
	}
	return parts
}

// Releasable returns the parts of the outgoing ranges that the backend server holds no longer and works on no longer,
// with the tokens that it gave for them. reported says whether the last heartbeat reported a key in [from, to].
func (t *Tracker) Releasable(outgoing []keyrange.Range, now keyrange.Instant, reported func(from, to uint16) bool) []Released {
	// A token is kept until the table shows that its range has moved, since the write that passes it on may fail.
	t.released = slices.DeleteFunc(t.released, func(r Released) bool {
		return !slices.ContainsFunc(outgoing, func(o keyrange.Range) bool { return o.Overlaps(r.From, r.To) })
	})
	free := func(from, to uint16) bool { return !t.MayHold(from, to, now) && !reported(from, to) }
	var releasable []Released
	for _, r := range t.released {
		for _, o := range outgoing {
			from, to := max(o.From, r.From), min(o.To, r.To)
			if o.Overlaps(r.From, r.To) && free(from, to) {
				releasable = append(releasable, Released{From: from, To: to, HandoverToken: r.HandoverToken})
			}
		}
	}
	for _, o := range outgoing {
		// The rest of a range of which a part is released is handed over after the table has changed.
		partly := slices.ContainsFunc(releasable, func(r Released) bool { return o.Overlaps(r.From, r.To) })
		if !partly && free(o.From, o.To) {
			releasable = append(releasable, Released{From: o.From, To: o.To})
		}
	}
	return releasable
}

// HoldsNothing reports whether the backend server can hold no key any more.
func (t *Tracker) HoldsNothing(now keyrange.Instant) bool {
	return now >= t.anyUntil && len(t.calls) == 0 && !slices.ContainsFunc(t.possible, func(p possibleSpan) bool { return now < p.until })
}
