package gateway

import (
	"testing"
	"time"

	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyrange"
)

// Guards against keys that are handed over while their owner may still take them. A reply that grants them can reach
// the backend server after it has sent its next heartbeat, which therefore does not report them.
func TestGrantSurvivesNextHeartbeat(t *testing.T) {
	const hold = keyrange.MaxHold
	at := func(d time.Duration) keyrange.Instant { return keyrange.Instant(time.Hour + d) }
	newMessage := func(sequence int64) heartbeat.Message {
		return heartbeat.Message{Server: "s", StartedUnixMS: 1, Slots: 9, Sequence: sequence}
	}
	outgoing := []keyrange.Range{{From: 100, To: 199, Fence: 3, Next: "other"}}
	tracker := newServerTracker()
	tracker.applyHeartbeat(newMessage(1), at(0), time.Second)
	tracker.recordGrant([]keyhold.Span{{From: 0, To: 199, Fence: 3}}, keyrange.HoldExpiry(at(0), hold), at(700*time.Millisecond))
	// This heartbeat was sent before the reply to the first one arrived. Its own reply takes the keys away.
	tracker.applyHeartbeat(newMessage(2), at(870*time.Millisecond), time.Second)
	tracker.recordGrant([]keyhold.Span{{From: 0, To: 99, Fence: 3}}, keyrange.HoldExpiry(at(870*time.Millisecond), hold), at(880*time.Millisecond))
	if releasable := tracker.releasableRanges(outgoing, at(900*time.Millisecond)); len(releasable) != 0 {
		t.Errorf("%v counts as released", releasable)
	}
	if !tracker.holdsNoKeys(at(0).Add(4*hold), time.Now()) || tracker.holdsNoKeys(at(900*time.Millisecond), time.Now()) {
		t.Error("the grants do not end with the last one")
	}
	// The backend server reports the release itself.
	released := newMessage(3)
	released.Freed = []keyhold.Released{{From: 100, To: 199, HandoverToken: "token"}}
	tracker.applyHeartbeat(released, at(1740*time.Millisecond), time.Second)
	releasable := tracker.releasableRanges(outgoing, at(1740*time.Millisecond))
	if len(releasable) != 1 || releasable[0] != released.Freed[0] {
		t.Errorf("%v counts as released, want %v", releasable, released.Freed)
	}
}

// Guards against keys that never move because their owner cannot report the release of keys that it never took.
func TestUnusedGrantExpires(t *testing.T) {
	tracker := newServerTracker()
	start := keyrange.Instant(time.Hour)
	tracker.applyHeartbeat(heartbeat.Message{Server: "s", StartedUnixMS: 1, Slots: 9, Sequence: 1}, start, time.Second)
	tracker.recordGrant([]keyhold.Span{{From: 0, To: 99, Fence: 3}}, keyrange.HoldExpiry(start, keyrange.MaxHold), start)
	outgoing := []keyrange.Range{{From: 0, To: 99, Fence: 3, Next: "other"}}
	if releasable := tracker.releasableRanges(outgoing, start.Add(keyrange.MaxHold)); len(releasable) != 0 {
		t.Errorf("%v counts as released before the grant has expired", releasable)
	}
	if releasable := tracker.releasableRanges(outgoing, keyrange.HoldExpiry(start, keyrange.MaxHold)); len(releasable) != 1 {
		t.Errorf("%v counts as released after the grant has expired", releasable)
	}
}
