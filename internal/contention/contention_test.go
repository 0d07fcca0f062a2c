package contention

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a slow spell that is not noticed, on a machine of any usual speed, and against one that is seen for longer
// than it lasts.
func TestSlowSpellIsSeen(t *testing.T) {
	for _, usual := range []float64{0.5, 1, 1.5} {
		var m Monitor
		for ms := 0; ms < 1000; ms += 50 {
			m.Observe(after(ms), usual)
		}
		if got := m.Slowdown(after(1000)); got != 1 {
			t.Errorf("usual %.1f: slowdown %.2f before the spell", usual, got)
		}
		m.Observe(after(1010), 3*usual)
		if got := m.Slowdown(after(1020)); got < 2.9 || got > 3.1 {
			t.Errorf("usual %.1f: slowdown %.2f in the spell", usual, got)
		}
		m.Observe(after(1400), usual)
		if got := m.Slowdown(after(1410)); got != 1 {
			t.Errorf("usual %.1f: slowdown %.2f after the spell", usual, got)
		}
	}
}

// Guards against requests that are held for ever at a machine that stays slow, such as that of a cold backend server.
func TestLastingSlownessBecomesUsual(t *testing.T) {
	var m Monitor
	m.Observe(after(0), 1)
	for ms := 100; ms <= 2000; ms += 100 {
		m.Observe(after(ms), 4)
	}
	if got := m.Slowdown(after(2000)); got != 1 {
		t.Errorf("slowdown %.2f after two seconds of the same figure", got)
	}
}

// Guards against a figure that counts when it says nothing of the present, and against a division by nothing.
func TestUnknownIsUsual(t *testing.T) {
	var m Monitor
	if m.Slowdown(after(0)) != 1 || m.Seen() {
		t.Error("a monitor without figures knows something")
	}
	m.Observe(after(0), 0)
	m.Observe(after(0), -1)
	if m.Seen() {
		t.Error("figures that are not positive count")
	}
	m.Observe(after(0), 1)
	m.Observe(after(100), 3)
	if got := m.Slowdown(after(1000)); got != 1 || m.Fresh(after(1000)) {
		t.Errorf("slowdown %.2f from an old figure", got)
	}
	m.Observe(after(60_000), 2)
	if got := m.Slowdown(after(60_000)); got != 1 {
		t.Errorf("slowdown %.2f against a figure from a minute before", got)
	}
}
