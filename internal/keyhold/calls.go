package keyhold

import (
	"slices"
	"time"

	"heatherreel/internal/keyrange"
)

// Heartbeat records a heartbeat of the current incarnation: until connectWindow later, a new connection reaches that
// incarnation. A later incarnation at the same address announces itself by a heartbeat of its own.
func (t *Tracker) Heartbeat(now keyrange.Instant) { t.connectUntil = now.Add(connectWindow) }

// MayConnect reports whether a new connection reaches the current incarnation.
func (t *Tracker) MayConnect(now keyrange.Instant) bool { return now < t.connectUntil }

// ConnectionEnded records that the backend server closed a connection, or refused one. It may have ended, and another
// incarnation may be at its address, so that no connection is opened before its next heartbeat.
func (t *Tracker) ConnectionEnded() { t.connectUntil = 0 }

// Spans returns one span for each range.
func Spans(ranges []keyrange.Range) []Span {
	var spans []Span
	for _, r := range ranges {
		spans = append(spans, Span{From: r.From, To: r.To, Fence: r.Fence, HandoverToken: r.HandoverToken})
	}
	return spans
}

// Merge returns the ranges as spans, with neighbours under the same fence and without handover tokens joined, so that
// one call grants them.
func Merge(ranges []keyrange.Range) []Span {
	var spans []Span
	for _, s := range Spans(ranges) {
		if n := len(spans); n > 0 && spans[n-1].Fence == s.Fence && int(spans[n-1].To)+1 == int(s.From) &&
			spans[n-1].HandoverToken == "" && s.HandoverToken == "" {
			spans[n-1].To = s.To
			continue
		}
		spans = append(spans, s)
	}
	return spans
}

// Retain makes the keys outside of the spans unusable, and those under another fence: they move away, so that the
// backend server gets no more requests for them.
func (t *Tracker) Retain(spans []Span) {
	var retained []usableSpan
	for _, u := range t.usable {
		for _, s := range spans {
			if u.Fence != s.Fence || !u.Overlaps(s.From, s.To) {
				continue
			}
			part := u
			part.From, part.To = max(u.From, s.From), min(u.To, s.To)
			retained = append(retained, part)
		}
	}
	t.usable = retained
}

// Drop makes the spans with a key unusable, since the backend server has refused the key. It reports whether the key was
// usable. What the backend server may hold does not change.
func (t *Tracker) Drop(key uint16, now keyrange.Instant) bool {
	usable := t.Usable(key, now)
	t.usable = slices.DeleteFunc(t.usable, func(u usableSpan) bool { return u.Overlaps(key, key) })
	return usable
}

// DueGrants returns the spans for which a call is due, the first to expire first. next is when the next one will be due
// if nothing changes; zero if that depends on the calls in progress.
func (t *Tracker) DueGrants(spans []Span, now keyrange.Instant) (due []Span, next keyrange.Instant) {
	t.refused = slices.DeleteFunc(t.refused, func(refused Span) bool { return !slices.Contains(spans, refused) })
	dueAt := map[Span]keyrange.Instant{}
	for _, s := range spans {
		if t.isInProgress(s) || slices.Contains(t.refused, s) {
			continue
		}
		at := t.notBefore
		if until := t.usableUntil(s, now); until > 0 {
			at = max(at, until.Add(renewAfter-MaxHold))
		}
		if at > now {
			if next == 0 || at < next {
				next = at
			}
			continue
		}
		due = append(due, s)
		dueAt[s] = at
	}
	slices.SortStableFunc(due, func(a, b Span) int { return int(min(1, max(-1, dueAt[a]-dueAt[b]))) })
	return due, next
}

// isInProgress reports whether a call for the span is in progress.
func (t *Tracker) isInProgress(s Span) bool {
	for _, called := range t.calls {
		if called.Fence == s.Fence && called.Overlaps(s.From, s.To) {
			return true
		}
	}
	return false
}

// usableUntil returns until when all keys of a span are usable under its fence; zero if they are not.
func (t *Tracker) usableUntil(s Span, now keyrange.Instant) keyrange.Instant {
	var until keyrange.Instant
	for next := int(s.From); next <= int(s.To); {
		i := slices.IndexFunc(t.usable, func(u usableSpan) bool {
			return u.Fence == s.Fence && now < u.until && int(u.From) <= next && next <= int(u.To)
		})
		if i < 0 {
			return 0
		}
		if until == 0 || t.usable[i].until < until {
			until = t.usable[i].until
		}
		next = int(t.usable[i].To) + 1
	}
	return until
}

// Begin records that the call for a span is about to be sent. Until it ends, the backend server may hold the span.
func (t *Tracker) Begin(s Span) CallID {
	t.lastCall++
	if t.calls == nil {
		t.calls = map[CallID]Span{}
	}
	t.calls[t.lastCall] = s
	return t.lastCall
}

// Accept records the answer to a call that was sent at sentAt and granted its span for hold. It reports whether keys
// became usable. The call is unknown if the incarnation has changed.
func (t *Tracker) Accept(id CallID, sentAt keyrange.Instant, hold time.Duration, now keyrange.Instant) (added bool) {
	s, known := t.calls[id]
	if !known {
		return false
	}
	delete(t.calls, id)
	t.settled++
	t.stats.Grants++
	previous := t.usableUntil(s, now)
	if left := previous.Sub(now); previous > 0 && (t.stats.MinHoldLeft == 0 || left < t.stats.MinHoldLeft) {
		t.stats.MinHoldLeft = left
	}
	t.usable = slices.DeleteFunc(t.usable, func(u usableSpan) bool {
		return u.until <= now || s.From <= u.From && u.To <= s.To
	})
	if !t.overtaken[id] {
		t.usable = append(t.usable, usableSpan{Span: s, until: sentAt.Add(hold)})
	}
	delete(t.overtaken, id)
	t.addPossible(possibleSpan{Span: s, until: keyrange.HoldExpiry(now, hold), settled: t.settled}, now)
	return previous == 0
}

// Fail records that a call got no answer and its connection was given up. It may arrive until now.
func (t *Tracker) Fail(id CallID, hold time.Duration, now keyrange.Instant) {
	if s, known := t.calls[id]; known {
		delete(t.calls, id)
		t.stats.Unanswered++
		t.addPossible(possibleSpan{Span: s, until: keyrange.HoldExpiry(now, hold)}, now)
	}
}

// NotSent records that a grant or a release never left the node. The next call waits for retryDelay.
func (t *Tracker) NotSent(id CallID, now keyrange.Instant) {
	delete(t.calls, id)
	delete(t.releases, id)
	delete(t.releaseBegan, id)
	t.stats.NotSent++
	t.notBefore = now.Add(retryDelay)
}

// InProgress returns the numbers of grants and releases in progress.
func (t *Tracker) InProgress() (grants, releases int) { return len(t.calls), len(t.releases) }

// Refuse records that the backend server has refused a call, because it has seen a higher fence on one of the keys. It
// is not called again for the same span and fence.
func (t *Tracker) Refuse(id CallID) {
	if s, known := t.calls[id]; known {
		delete(t.calls, id)
		t.stats.Refused++
		t.refused = append(t.refused, s)
	}
}

// RefusedSpans returns the spans that the backend server has refused. They need a higher fence.
func (t *Tracker) RefusedSpans() []Span { return slices.Clone(t.refused) }

// DueReleases returns the spans of the outgoing ranges that the backend server may hold and whose release has to be
// called. A release waits for the grants of the span that are in progress, as it would not end them.
func (t *Tracker) DueReleases(outgoing []keyrange.Range, now keyrange.Instant) []Span {
	var due []Span
	for _, r := range outgoing {
		if now < t.notBefore || !t.MayHold(r.From, r.To, now) || overlapsCall(t.calls, r) || overlapsCall(t.releases, r) ||
			slices.ContainsFunc(t.released, func(done Released) bool { return done.From <= r.From && r.To <= done.To }) {
			continue
		}
		due = append(due, Span{From: r.From, To: r.To, Fence: r.Fence})
	}
	return due
}

// overlapsCall reports whether one of the calls concerns keys of a range.
func overlapsCall(calls map[CallID]Span, r keyrange.Range) bool {
	for _, s := range calls {
		if s.Overlaps(r.From, r.To) {
			return true
		}
	}
	return false
}

// BeginRelease records that the release of a span is about to be sent.
func (t *Tracker) BeginRelease(s Span) CallID {
	t.lastCall++
	if t.releases == nil {
		t.releases, t.releaseBegan, t.overtaken = map[CallID]Span{}, map[CallID]uint64{}, map[CallID]bool{}
	}
	t.releases[t.lastCall], t.releaseBegan[t.lastCall] = s, t.settled
	for id, granted := range t.calls {
		if granted.Overlaps(s.From, s.To) {
			t.overtaken[id] = true
		}
	}
	return t.lastCall
}

// EndRelease records the end of a release. An answer ends the holds of all grants that were answered before the release
// was sent; one without an answer may still be applied after the release.
func (t *Tracker) EndRelease(id CallID, answered bool, token string) {
	s, known := t.releases[id]
	if !known {
		return
	}
	began := t.releaseBegan[id]
	delete(t.releases, id)
	delete(t.releaseBegan, id)
	if !answered {
		return
	}
	t.stats.Releases++
	t.removePossible(s.From, s.To, func(p possibleSpan) bool { return p.settled > 0 && p.settled <= began })
	t.released = append(t.released, Released{From: s.From, To: s.To, HandoverToken: token})
}

// Stats returns the counts of calls.
func (t *Tracker) Stats() Stats { return t.stats }

// Usables returns the spans that are usable at a time, ordered by key, and when the first of their holds ends.
func (t *Tracker) Usables(now keyrange.Instant) (spans []Span, until keyrange.Instant) {
	for _, u := range t.usable {
		if u.from <= now && now < u.until {
			spans = append(spans, u.Span)
			if until == 0 || u.until < until {
				until = u.until
			}
		}
	}
	slices.SortFunc(spans, func(a, b Span) int { return int(a.From) - int(b.From) })
	return spans, until
}
