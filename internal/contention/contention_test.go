package contention

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a temporary slowdown that is not detected, on machines of different usual speeds, and against one that
// is still reported after its end.
func TestTemporarySlowdownIsDetected(t *testing.T) {
	for _, usual := range []float64{0.5, 1, 1.5} {
		var m Monitor
		for ms := 0; ms < 1000; ms += 50 {
			m.Observe(after(ms), usual)
		}
		if got := m.Slowdown(after(1000)); got != 1 {
			t.Errorf("usual %.1f: slowdown %.2f before it begins", usual, got)
		}
		m.Observe(after(1010), 3*usual)
		if got := m.Slowdown(after(1020)); got < 2.9 || got > 3.1 {
			t.Errorf("usual %.1f: slowdown %.2f while it lasts", usual, got)
		}
		m.Observe(after(1400), usual)
		if got := m.Slowdown(after(1410)); got != 1 {
			t.Errorf("usual %.1f: slowdown %.2f after its end", usual, got)
		}
	}
}

// Guards against requests that are held back for ever because a machine that stays slow, such as that of a cold backend
// server, counts as temporarily slow.
func TestPermanentSlowdownBecomesUsual(t *testing.T) {
	var m Monitor
	m.Observe(after(0), 1)
	for ms := 100; ms <= 2000; ms += 100 {
		m.Observe(after(ms), 4)
	}
	if got := m.Slowdown(after(2000)); got != 1 {
		t.Errorf("slowdown %.2f after two seconds of the same figure", got)
	}
}

// Guards against outdated or invalid figures that count, and against a division by zero.
func TestOutdatedFiguresAreIgnored(t *testing.T) {
	var m Monitor
	if m.Slowdown(after(0)) != 1 || m.HasSamples() {
		t.Error("a monitor without figures reports a slowdown or a figure")
	}
	m.Observe(after(0), 0)
	m.Observe(after(0), -1)
	if m.HasSamples() {
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
