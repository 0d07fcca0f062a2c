package checkpoint

import (
	"fmt"
	"testing"
	"time"

	"heatherreel/internal/ledger"
)

var (
	policy = NewPolicy(24 * time.Hour)
	read   = time.UnixMilli(1_800_000_000_000)
)

// last returns a checkpoint of the state at offset 99 that was written so long before read.
func last(before time.Duration) *ledger.LastCheckpoint {
	return &ledger.LastCheckpoint{Record: 100, Covers: 99, AtUnixMS: read.Add(-before).UnixMilli()}
}

// TestDueAt guards against a log whose kept records lack a checkpoint, and against checkpoints one after another.
func TestDueAt(t *testing.T) {
	const hour = time.Hour
	for name, c := range map[string]struct {
		at   Position
		want time.Duration
	}{
		"no record":                 {Position{}, 6 * hour},
		"none yet":                  {Position{Offset: 5, Earliest: 1}, 5 * time.Minute},
		"none, and records lost":    {Position{Offset: 5, Earliest: 2}, 0},
		"just written":              {Position{Offset: 100, Last: last(0)}, 6 * hour},
		"read two hours later":      {Position{Offset: 200, Last: last(2 * hour)}, 4 * hour},
		"nothing follows":           {Position{Offset: 100, Last: last(hour)}, 5 * hour},
		"writer's clock is ahead":   {Position{Offset: 200, Last: last(-40 * hour)}, 6 * hour},
		"writer's clock is late":    {Position{Offset: 200, Last: last(40 * hour)}, 90 * time.Minute},
		"many records":              {Position{Offset: 10_100, Last: last(0)}, 0},
		"almost many records":       {Position{Offset: 10_099, Last: last(0)}, 6 * hour},
		"covers all kept records":   {Position{Offset: 200, Earliest: 100, Last: last(0)}, 6 * hour},
		"records after it are lost": {Position{Offset: 200, Earliest: 101, Last: last(0)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c.at.Read = read
			if got := policy.DueAt(c.at).Sub(read); got != c.want {
				t.Errorf("due after %s, want %s", got, c.want)
			}
		})
	}
}

// TestOneCheckpointPerPeriodIsKept guards against shares of the retention time with which the last checkpoint is
// forgotten before the next: all members but the last in order may be unable to write.
func TestOneCheckpointPerPeriodIsKept(t *testing.T) {
	for _, retention := range []time.Duration{10 * time.Minute, time.Hour, 24 * time.Hour} {
		p := NewPolicy(retention)
		const unable = 3
		if worst := p.Period + p.Pause + unable*p.Stagger; worst > retention/2 {
			t.Errorf("retention %s: the next checkpoint may come after %s", retention, worst)
		}
	}
}

// TestDelay guards against members that all write at once, a member that has to write every time, and one that is no
// member and writes.
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
			t.Fatalf("the delays are %v", delays)
		}
	}
	if len(writers) < 3 {
		t.Errorf("only %v wrote 10 checkpoints", writers)
	}
	if _, ok := policy.Delay(s, 77); ok {
		t.Error("a node that is no member may write")
	}
}
