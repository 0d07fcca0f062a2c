package keyhold

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/keyrange"
)

// grantModel is a grant as the backend server sees it. It applies the grant at appliedAt, and a grant without an answer
// at any time.
type grantModel struct {
	span     Span
	hold     time.Duration
	began    keyrange.Instant
	arrived  keyrange.Instant
	answered bool
	// appliedAt is when an answered grant took effect.
	appliedAt keyrange.Instant
}

// latestEnd is when the hold ends on a clock that is 2 % slow.
func (g *grantModel) latestEnd() keyrange.Instant { return keyrange.HoldExpiry(g.arrived, g.hold) }

// machine drives a Tracker and the backend server that it describes.
type machine struct {
	now      keyrange.Instant
	tracker  Tracker
	grants   []*grantModel
	open     map[CallID]*grantModel
	releases map[CallID]releaseModel
	// moving are the blocks whose release has begun; they are not granted any more until the incarnation ends.
	moving [blocks]bool
	fence  uint64
}

type releaseModel struct {
	span  Span
	began keyrange.Instant
}

// blocks is the number of parts of the key space that the machine grants and releases.
const blocks = 6

func blockSpan(first, last int, fence uint64) Span {
	const size = keyrange.KeyCount / blocks
	return Span{From: uint16(first * size), To: uint16((last+1)*size - 1), Fence: fence}
}

func (m *machine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) begin(t *rapid.T) {
	first := rapid.IntRange(0, blocks-1).Draw(t, "first")
	last := rapid.IntRange(first, blocks-1).Draw(t, "last")
	for i := first; i <= last; i++ {
		if m.moving[i] {
			return
		}
	}
	span := blockSpan(first, last, m.fence)
	g := &grantModel{span: span, hold: time.Duration(rapid.IntRange(300, 3400).Draw(t, "hold")) * time.Millisecond, began: m.now}
	m.open[m.tracker.Begin(span)] = g
}

// anyOf returns one of the calls; ok is false if there is none.
func anyOf[V any](t *rapid.T, calls map[CallID]V) (id CallID, call V, ok bool) {
	var ids []CallID
	for id := CallID(0); len(ids) < len(calls); id++ {
		if _, open := calls[id]; open {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, call, false
	}
	id = rapid.SampledFrom(ids).Draw(t, "call")
	return id, calls[id], true
}

// between draws an instant from first to last.
func between(t *rapid.T, first, last keyrange.Instant) keyrange.Instant {
	return first + keyrange.Instant(rapid.Int64Range(0, int64(last-first)).Draw(t, "instant"))
}

func (m *machine) accept(t *rapid.T) {
	id, g, ok := anyOf(t, m.open)
	if !ok {
		return
	}
	delete(m.open, id)
	g.answered, g.arrived = true, between(t, g.began, m.now)
	g.appliedAt = between(t, g.arrived, m.now)
	m.grants = append(m.grants, g)
	m.tracker.Accept(id, g.began, g.hold, m.now)
}

func (m *machine) fail(t *rapid.T) {
	if id, g, ok := anyOf(t, m.open); ok {
		delete(m.open, id)
		g.arrived = between(t, g.began, m.now)
		m.grants = append(m.grants, g)
		m.tracker.Fail(id, g.hold, m.now)
	}
}

func (m *machine) refuse(t *rapid.T) {
	if id, _, ok := anyOf(t, m.open); ok {
		delete(m.open, id)
		m.tracker.Refuse(id)
	}
}

func (m *machine) notSent(t *rapid.T) {
	if id, _, ok := anyOf(t, m.open); ok {
		delete(m.open, id)
		m.tracker.NotSent(id, m.now)
	}
}

func (m *machine) beginRelease(t *rapid.T) {
	block := rapid.IntRange(0, blocks-1).Draw(t, "block")
	m.moving[block] = true
	var kept []Span
	for i := range blocks {
		if !m.moving[i] {
			kept = append(kept, blockSpan(i, i, m.fence))
		}
	}
	m.tracker.Retain(kept)
	r := blockSpan(block, block, m.fence)
	outgoing := []keyrange.Range{{From: r.From, To: r.To, Fence: r.Fence, Next: "other"}}
	due := m.tracker.DueReleases(outgoing, m.now)
	if rapid.Bool().Draw(t, "early") {
		// A release that does not wait for the grants in progress does not end them.
		due = []Span{r}
	}
	for _, s := range due {
		m.releases[m.tracker.BeginRelease(s)] = releaseModel{s, m.now}
	}
}

// endRelease ends a release. It ends the hold of what was applied before it.
func (m *machine) endRelease(t *rapid.T) {
	id, r, ok := anyOf(t, m.releases)
	if !ok {
		return
	}
	delete(m.releases, id)
	answered := rapid.Bool().Draw(t, "answered")
	if answered {
		at := between(t, r.began, m.now)
		var remaining []*grantModel
		for _, g := range m.grants {
			if !g.answered || g.appliedAt > at || !g.span.Overlaps(r.span.From, r.span.To) {
				remaining = append(remaining, g)
				continue
			}
			for _, part := range without(g.span, r.span.From, r.span.To) {
				rest := *g
				rest.span = part
				remaining = append(remaining, &rest)
			}
		}
		m.grants = remaining
	}
	m.tracker.EndRelease(id, answered, "token")
}

// restart begins another incarnation, which holds nothing. Calls to the former one end later.
func (m *machine) restart(*rapid.T) {
	m.fence++
	m.grants, m.moving = nil, [blocks]bool{}
	m.tracker.Reset()
	for id := range m.open {
		m.tracker.Accept(id, m.now, time.Second, m.now)
	}
	for id := range m.releases {
		m.tracker.EndRelease(id, true, "old")
	}
	m.open, m.releases = map[CallID]*grantModel{}, map[CallID]releaseModel{}
}

// check fails if the tracker lets a key move that the backend server holds or may come to hold, or uses one that it does
// not hold.
func (m *machine) check(t *rapid.T) {
	for i := range blocks {
		s := blockSpan(i, i, m.fence)
		may, holds := false, false
		for _, g := range m.grants {
			if g.span.Overlaps(s.From, s.To) {
				may = may || g.latestEnd() > m.now
				holds = holds || g.answered && g.arrived.Add(g.hold) > m.now
			}
		}
		for _, g := range m.open {
			may = may || g.span.Overlaps(s.From, s.To)
		}
		if may && !m.tracker.MayHold(s.From, s.To, m.now) {
			t.Fatalf("block %d counts as free at %v and may be held: %+v", i, m.now, m.tracker)
		}
		released := m.tracker.Releasable([]keyrange.Range{{From: s.From, To: s.To, Fence: s.Fence, Next: "other"}}, m.now, func(uint16, uint16) bool { return false })
		if may && len(released) > 0 {
			t.Fatalf("block %d is handed over at %v and may be held: %+v", i, m.now, m.tracker)
		}
		if m.tracker.Usable(s.From, m.now) && !holds {
			t.Fatalf("block %d is used at %v and not held: %+v", i, m.now, m.tracker)
		}
	}
	if m.tracker.HoldsNothing(m.now) {
		for _, g := range m.grants {
			if g.latestEnd() > m.now {
				t.Fatalf("nothing counts as held at %v: %+v", m.now, g)
			}
		}
	}
}

// Guards against two owners of a key: a key that moves while a grant of it is in force, is on its way, or was lost and
// may be applied after a release. Also guards against requests for a key that the backend server does not hold.
func TestNoKeyMovesThatMayBeHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: keyrange.Instant(time.Hour), fence: 1, open: map[CallID]*grantModel{}, releases: map[CallID]releaseModel{}}
		t.Repeat(map[string]func(*rapid.T){
			"advance": m.advance, "begin": m.begin, "accept": m.accept, "fail": m.fail, "refuse": m.refuse, "notSent": m.notSent,
			"beginRelease": m.beginRelease, "endRelease": m.endRelease, "restart": m.restart, "": m.check,
		})
	})
}

// Guards against renewals that come too late for the number of lost calls that a hold must survive, and against calls
// for each of many neighbouring ranges.
func TestGrantsAreRenewedInTime(t *testing.T) {
	now := keyrange.Instant(time.Hour)
	spans := Merge([]keyrange.Range{{From: 0, To: 99, Fence: 3}, {From: 100, To: 199, Fence: 3}, {From: 200, To: 299, Fence: 4},
		{From: 300, To: 399, Fence: 4, HandoverToken: "t"}, {From: 500, To: 599, Fence: 4}})
	if len(spans) != 4 || spans[0] != (Span{From: 0, To: 199, Fence: 3}) {
		t.Fatalf("merged: %v", spans)
	}
	var tracker Tracker
	for _, s := range spans {
		tracker.Accept(tracker.Begin(s), now, MaxHold, now)
	}
	due, next := tracker.DueGrants(spans, now)
	if len(due) != 0 || next.Sub(now) > time.Second {
		t.Errorf("due at once: %v; next after %v", due, next.Sub(now))
	}
	calls := 0
	for end := now.Add(MaxHold); now < end; now = now.Add(CallTimeout) {
		due, _ = tracker.DueGrants(spans[:1], now)
		for _, s := range due {
			calls++
			tracker.Fail(tracker.Begin(s), MaxHold, now)
		}
	}
	if calls < 15 {
		t.Errorf("%d calls before the hold ends", calls)
	}
	if _, next = tracker.DueGrants(spans[:1], now); next != 0 {
		t.Error("an expired grant is not due at once")
	}
}

// Guards against grants of an earlier process that are forgotten, and against calls that are repeated at once while the
// backend server cannot be reached or after it refused a fence.
func TestCallsWaitAfterFailures(t *testing.T) {
	now := keyrange.Instant(time.Hour)
	s := Span{From: 0, To: 9, Fence: 3}
	var tracker Tracker
	tracker.AssumeEarlierGrants(now, MaxHold)
	if !tracker.MayHold(40000, 40000, now.Add(MaxHold)) || tracker.HoldsNothing(now.Add(MaxHold)) || tracker.MayHold(40000, 40000, keyrange.HoldExpiry(now, MaxHold)) {
		t.Error("the grants of an earlier process do not end with the longest hold")
	}
	tracker.NotSent(tracker.Begin(s), now)
	if due, next := tracker.DueGrants([]Span{s}, now); len(due) > 0 || next <= now {
		t.Errorf("after a call that was not sent: due %v, next %v", due, next)
	}
	now = now.Add(time.Second)
	tracker.Refuse(tracker.Begin(s))
	if due, next := tracker.DueGrants([]Span{s}, now); len(due) > 0 || next != 0 || len(tracker.RefusedSpans()) != 1 {
		t.Errorf("after a refusal: due %v, next %v", due, next)
	}
	s.Fence = 4
	if due, _ := tracker.DueGrants([]Span{s}, now); len(due) != 1 || len(tracker.RefusedSpans()) != 0 {
		t.Errorf("with a higher fence: due %v", due)
	}
	tracker.Heartbeat(now)
	if !tracker.MayConnect(now.Add(time.Second)) || tracker.MayConnect(now.Add(2*time.Second)) {
		t.Error("new connections depend on a recent heartbeat")
	}
	tracker.ConnectionEnded()
	if tracker.MayConnect(now) {
		t.Error("a new connection is opened after one that ended, without another heartbeat")
	}
}
