package gateway

import (
	"testing"
	"time"

	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyrange"
)

// Guards against keys that are handed over while their owner may still take them: a reply that grants them can reach the
// backend server after it has sent its next heartbeat, which therefore does not tell of them.
func TestLateReplyStillHolds(t *testing.T) {
	const hold = keyrange.HoldTime
	at := func(d time.Duration) keyrange.Instant { return keyrange.Instant(time.Hour + d) }
	beat := func(sequence int64) heartbeat.Message {
		return heartbeat.Message{Server: "s", Born: 1, Slots: 9, Sequence: sequence}
	}
	leaving := []keyrange.Range{{From: 100, To: 199, Fence: 3, Next: "other"}}
	table := newServerTable()
	table.take(beat(1), at(0), time.Second)
	table.granting([]keyrange.Range{{From: 0, To: 199, Fence: 3}}, keyrange.HoldEnds(at(0), hold), at(700*time.Millisecond))
	// The next heartbeat left before that reply came, and its reply takes the keys away.
	table.take(beat(2), at(870*time.Millisecond), time.Second)
	table.granting([]keyrange.Range{{From: 0, To: 99, Fence: 3}}, keyrange.HoldEnds(at(870*time.Millisecond), hold), at(880*time.Millisecond))
	if free := table.freed(leaving, at(900*time.Millisecond)); len(free) != 0 {
		t.Errorf("%v counts as released", free)
	}
	if !table.lost(at(0).Add(4*hold), time.Now()) || table.lost(at(900*time.Millisecond), time.Now()) {
		t.Error("the end of the grants is not that of the last one")
	}
	// The backend server says so itself.
	released := beat(3)
	released.Freed = []heartbeat.Freed{{From: 100, To: 199, Handover: "token"}}
	table.take(released, at(1740*time.Millisecond), time.Second)
	free := table.freed(leaving, at(1740*time.Millisecond))
	if len(free) != 1 || free[0] != released.Freed[0] {
		t.Errorf("%v counts as released, want %v", free, released.Freed)
	}
}

// Guards against keys that never move because their owner cannot tell that it released what it never took.
func TestUntakenGrantRunsOut(t *testing.T) {
	table := newServerTable()
	start := keyrange.Instant(time.Hour)
	table.take(heartbeat.Message{Server: "s", Born: 1, Slots: 9, Sequence: 1}, start, time.Second)
	table.granting([]keyrange.Range{{From: 0, To: 99, Fence: 3}}, keyrange.HoldEnds(start, keyrange.HoldTime), start)
	leaving := []keyrange.Range{{From: 0, To: 99, Fence: 3, Next: "other"}}
	if free := table.freed(leaving, start.Add(keyrange.HoldTime)); len(free) != 0 {
		t.Errorf("%v counts as released before the grant is over", free)
	}
	if free := table.freed(leaving, keyrange.HoldEnds(start, keyrange.HoldTime)); len(free) != 1 {
		t.Errorf("%v counts as released after the grant is over", free)
	}
}
