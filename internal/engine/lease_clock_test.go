package engine

import (
	"testing"
	"time"
)

// Guards against a lease that seems to hold after the machine was suspended, because the monotonic clock stood still.
func TestMissedTime(t *testing.T) {
	for _, c := range []struct {
		name            string
		monotonic, wall time.Duration
		missed          bool
	}{
		{"same rate", 250 * time.Millisecond, 250 * time.Millisecond, false},
		{"slewed clock", 250 * time.Millisecond, 251 * time.Millisecond, false},
		{"suspended for a second", 250 * time.Millisecond, 1250 * time.Millisecond, true},
		{"wall clock set back", 250 * time.Millisecond, -time.Second, false},
	} {
		if got := missedTime(c.monotonic, c.wall); got != c.missed {
			t.Errorf("%s: missed %v, want %v", c.name, got, c.missed)
		}
	}
	if now := time.Now(); stoodStill(now, now.Add(time.Hour)) || stoodStill(time.Time{}, now) {
		t.Error("a clock that runs is taken for one that stood still")
	}
}
