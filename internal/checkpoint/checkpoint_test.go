package checkpoint

import (
	"fmt"
	"testing"
	"time"

	"heatherreel/internal/ledger"
)

var (
	policy = NewPolicy(24 * time.Hour)
	readAt = time.UnixMilli(1_800_000_000_000)
)

// checkpointWritten returns a checkpoint of the state at offset 99 that was written the given time before readAt.
func checkpointWritten(before time.Duration) *ledger.LastCheckpoint {
	return &ledger.LastCheckpoint{Record: 100, Covers: 99, AtUnixMS: readAt.Add(-before).UnixMilli()}
}

// TestDueAt guards against a log whose retained records contain no checkpoint, and against checkpoints that are written
// one after another.
func TestDueAt(t *testing.T) {
	const hour = time.Hour
	for name, c := range map[string]struct {
		at   Position
		want time.Duration
	}{
		"no record":                 {Position{}, 6 * hour},
		"none yet":                  {Position{Offset: 5, Earliest: 1}, 5 * time.Minute},
		"none, and records dropped": {Position{Offset: 5, Earliest: 2}, 0},
		"just written":              {Position{Offset: 100, Last: checkpointWritten(0)}, 6 * hour},
		"read two hours later":      {Position{Offset: 200, Last: checkpointWritten(2 * hour)}, 4 * hour},
		"nothing follows":           {Position{Offset: 100, Last: checkpointWritten(hour)}, 5 * hour},
		"writer's clock is ahead":   {Position{Offset: 200, Last: checkpointWritten(-40 * hour)}, 6 * hour},
		"writer's clock is behind":  {Position{Offset: 200, Last: checkpointWritten(40 * hour)}, 90 * time.Minute},
		"many records":              {Position{Offset: 10_100, Last: checkpointWritten(0)}, 0},
		"almost many records":       {Position{Offset: 10_099, Last: checkpointWritten(0)}, 6 * hour},
		"covers retained records":   {Position{Offset: 200, Earliest: 100, Last: checkpointWritten(0)}, 6 * hour},
		"records after it dropped":  {Position{Offset: 200, Earliest: 101, Last: checkpointWritten(0)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c.at.ReadAt = readAt
			if got := policy.DueAt(c.at).Sub(readAt); got != c.want {
				t.Errorf("due after %s, want %s", got, c.want)
			}
		})
	}
}

// TestOneCheckpointPerPeriodIsKept guards against intervals so long that the log drops the last checkpoint before the
// next is written, even if the first members in the order of writers cannot write.
func TestOneCheckpointPerPeriodIsKept(t *testing.T) {
	for _, retention := range []time.Duration{10 * time.Minute, time.Hour, 24 * time.Hour} {
		p := NewPolicy(retention)
		const unableWriters = 3
		if worst := p.Period + p.MinInterval + unableWriters*p.Stagger; worst > retention/2 {
			t.Errorf("retention %s: the next checkpoint may come after %s", retention, worst)
		}
	}
}

// TestDelay guards against members that all write at the same time, a member that writes every checkpoint, and a node
// that writes without being a member.
func TestDelay(t *testing.T) {
	s := ledger.NewState()
	for i := range 20 {
		s.Apply(s.Offset+1, &ledger.Record{Kind: ledger.KindJoin, ID: fmt.Sprint(i), Join: &ledger.Join{}})
	}
	writers := map[ledger.Incarnation]bool{}
	for record := range ledger.Offset(10) {
		s.LastCheckpoint = &ledger.LastCheckpoint{Record: record}
		delays := map[time.Duration]bool{}
		for i := range s.Members {
			delay, ok := policy.Delay(s, i)
			if !ok {
				t.Fatalf("member %d may not write", i)
			}
			delays[delay] = true
			if delay == 0 {
				writers[i] = true
			}
		}
		if len(delays) != len(s.Members) || !delays[0] || !delays[19*policy.Stagger] {
			t.Fatalf("unexpected delays %v", delays)
		}
	}
	if len(writers) < 3 {
		t.Errorf("only %v wrote 10 checkpoints", writers)
	}
	if _, ok := policy.Delay(s, 77); ok {
		t.Error("a node that is not a member may write")
	}
}
