package engine

import (
	"testing"
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
)

// Guards against a request that waits in a queue while its incarnation ends, and is then sent under the lease of the
// next incarnation although its slice may have another owner.
func TestLeaseOfLaterIncarnationIsNotUsed(t *testing.T) {
	parameters, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	leases := newLeaseTable(parameters)
	leases.join(5, ledger.WitnessSet{Version: 5}, now)
	if _, ok := leases.ownsAs(5, now); !ok {
		t.Fatal("the first incarnation does not own")
	}
	leases.endIncarnation()
	leases.join(9, ledger.WitnessSet{Version: 9}, now)
	if _, ok := leases.ownsAs(5, now); ok {
		t.Error("a request of the ended incarnation may be sent")
	}
	if _, ok := leases.ownsAs(9, now); !ok {
		t.Error("the second incarnation does not own")
	}
}

// Guards against a lease that appears to hold after the machine was suspended, because the monotonic clock stood still
// meanwhile.
func TestClockPauseDetection(t *testing.T) {
	for _, c := range []struct {
		name            string
		monotonic, wall time.Duration
		paused          bool
	}{
		{"same rate", 250 * time.Millisecond, 250 * time.Millisecond, false},
		{"slewed clock", 250 * time.Millisecond, 251 * time.Millisecond, false},
		{"suspended for a second", 250 * time.Millisecond, 1250 * time.Millisecond, true},
		{"wall clock set back", 250 * time.Millisecond, -time.Second, false},
	} {
		if got := exceedsClockTolerance(c.monotonic, c.wall); got != c.paused {
			t.Errorf("%s: paused %v, want %v", c.name, got, c.paused)
		}
	}
	if now := time.Now(); clockPaused(now, now.Add(time.Hour)) || clockPaused(time.Time{}, now) {
		t.Error("a running clock is reported as paused")
	}
}
