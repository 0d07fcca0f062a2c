package retry

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/request"
)

// TestMain sets a fixed seed for the property tests unless one is given, so that a normal run is reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestAllowed guards against repeating a non-idempotent request that may have run, and against retries after the
// deadline.
func TestAllowed(t *testing.T) {
	cases := []struct {
		left       time.Duration
		outcome    request.Outcome
		idempotent bool
		want       bool
	}{
		{time.Second, request.NotRun, false, true},
		{time.Second, request.NotRun, true, true},
		{time.Second, request.Unknown, false, false},
		{time.Second, request.Unknown, true, true},
		{time.Second, request.Done, true, false},
		{0, request.NotRun, true, false},
		{-time.Second, request.Unknown, true, false},
	}
	for _, c := range cases {
		if got := Allowed(start, start.Add(c.left), c.outcome, c.idempotent); got != c.want {
			t.Errorf("%+v: got %t", c, got)
		}
	}
}

// TestBudgetBoundsRetries guards against retries that multiply the load: in any sequence of requests and retries, the
// retries stay below the ratio of the requests plus the fixed rate.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio, floor := rapid.Float64Range(0, 0.5).Draw(t, "ratio"), rapid.Float64Range(0, 20).Draw(t, "floor")
		b := NewBudget(ratio, floor)
		now := start
		var requests, retries float64
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				requests++
				continue
			}
			if b.Take(now) {
				retries++
			}
		}
		if bound := ratio*requests + floor*now.Sub(start).Seconds() + max(1, floor) + 1e-6; retries > bound {
			t.Fatalf("%.0f retries for %.0f requests, more than %.2f", retries, requests, bound)
		}
	})
}

// TestBudgetFloorAndBurst guards against a service with few requests that may never retry, and against a burst of
// retries from a large balance.
func TestBudgetFloorAndBurst(t *testing.T) {
	b := NewBudget(0.1, 1)
	if !b.Take(start) || b.Take(start) || !b.Take(start.Add(time.Second)) {
		t.Error("a service without requests does not get one retry per second")
	}
	for range 1_000_000 {
		b.CountRequest(time.Time{})
	}
	taken := 0
	for b.Take(start.Add(time.Second)) {
		taken++
	}
	if taken != maxBurst {
		t.Errorf("%d retries at once, want %d", taken, maxBurst)
	}
}

// TestDelayStaysWithinDeadline guards against a retry after the deadline, one without any delay, and an overflow.
func TestDelayStaysWithinDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		left := time.Duration(rapid.IntRange(-5, 2000).Draw(t, "left")) * time.Millisecond
		attempt := rapid.IntRange(0, 100).Draw(t, "attempt")
		delay, ok := DefaultBackoff.Delay(attempt, start, start.Add(left), random)
		if ok != (left > DefaultBackoff.MinRemaining) {
			t.Fatalf("%v left: ok is %t", left, ok)
		}
		if ok && (delay <= 0 || delay > left-DefaultBackoff.MinRemaining || delay > DefaultBackoff.Max) {
			t.Fatalf("%v left, attempt %d: delay %v", left, attempt, delay)
		}
	})
}

// TestDelayGrowsWithJitter guards against nodes that retry at the same time.
func TestDelayGrowsWithJitter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for attempt := range 8 {
		highest := min(DefaultBackoff.Max, DefaultBackoff.Base<<attempt)
		seen := map[time.Duration]bool{}
		for range 100 {
			delay, _ := DefaultBackoff.Delay(attempt, start, start.Add(time.Minute), random)
			if delay < highest/2 || delay > highest {
				t.Fatalf("attempt %d: delay %v outside of %v to %v", attempt, delay, highest/2, highest)
			}
			seen[delay] = true
		}
		if len(seen) < 90 {
			t.Errorf("attempt %d: only %d different delays of 100", attempt, len(seen))
		}
	}
}

// Guards against a balance that is kept for longer than the window, so that after a long time without failures more
// retries are made than the ratio of the requests of one window.
func TestWindowBudgetDecays(t *testing.T) {
	const ratio, perSecond, window = 0.1, 20, 10 * time.Second
	b := NewWindowBudget(ratio, 0, window)
	now := time.Unix(0, 0)
	for range 120 * perSecond {
		now = now.Add(time.Second / perSecond)
		b.CountRequest(now)
	}
	taken := 0
	for b.Take(now) {
		taken++
	}
	// The floor gives one more.
	if most := int(ratio*perSecond*window.Seconds()) + 1; taken > most || taken < most/2 {
		t.Errorf("%d retries at once, the window allows %d", taken, most)
	}
}
