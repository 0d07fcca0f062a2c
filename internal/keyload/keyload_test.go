package keyload

import (
	"testing"
	"time"

	"heatherreel/internal/keyrange"
)

// countRequests counts rate requests per second for the given number of seconds. The share hotShare of them goes
// to a busy span of hotKeys keys that starts at firstHotKey, a pattern as in measured traffic; the others are spread
// over all keys.
func countRequests(m *Meter, seconds float64, rate float64, hotShare float64, firstHotKey, hotKeys int) {
	now := time.Unix(0, 0)
	m.Update(now)
	step := 50 * time.Millisecond
	due, n := 0.0, 0
	for t := time.Duration(0); t < time.Duration(seconds*float64(time.Second)); t += step {
		for due += rate * step.Seconds(); due >= 1; due-- {
			n++
			if float64(n%100) < hotShare*100 {
				m.Count(uint16(firstHotKey + n*37%hotKeys))
			} else {
				m.Count(uint16(n * 7919 % keyrange.KeyCount))
			}
		}
		m.Update(now.Add(t + step))
	}
}

var allKeys = []keyrange.Range{{From: 0, To: keyrange.KeyCount - 1}}

// Guards against a busy span of 60 keys that cannot be split after one second of traffic.
func TestBusySpanIsSplit(t *testing.T) {
	for _, keys := range []int{60, 200} {
		m := &Meter{}
		countRequests(m, 1, 40, 0.44, 20000, keys)
		span, ok := m.PickSpan(allKeys, 6, 9)
		if !ok || span.Rate < 3 || span.Rate > 9 {
			t.Fatalf("%d keys: span %+v", keys, span)
		}
		if int(span.To)-int(span.From) > 4*keys {
			t.Errorf("%d keys: the span moves %d keys", keys, int(span.To)-int(span.From)+1)
		}
	}
}

// Guards against measured rates that differ from the actual ones.
func TestRateFollowsRequests(t *testing.T) {
	m := &Meter{}
	countRequests(m, 6, 50, 0, 0, 1)
	if m.Rate() < 40 || m.Rate() > 55 {
		t.Errorf("rate %.1f of 50", m.Rate())
	}
}

// Guards against a move to a backend server without spare capacity, and against a move that gains little.
func TestOffloadEvensUtilization(t *testing.T) {
	slow := Load{Instance: "slow", Rate: 20, ServiceTime: 400 * time.Millisecond, Slots: 9, Waiting: 4}
	fast := Load{Instance: "fast", Rate: 17, ServiceTime: 150 * time.Millisecond, Slots: 9}
	full := Load{Instance: "full", Rate: 40, ServiceTime: 220 * time.Millisecond, Slots: 9}
	moves := PlanOffload(slow, []Load{full, fast})
	if len(moves) != 1 || moves[0].To != "fast" {
		t.Fatalf("moves %+v", moves)
	}
	if moves = PlanOffload(slow, []Load{fast}); len(moves) != 1 {
		t.Fatalf("moves %+v", moves)
	}
	slow.Rate -= moves[0].Rate
	fast.Rate += moves[0].Rate
	if d := slow.Utilization() - fast.Utilization(); d > 0.01 || d < -0.01 {
		t.Errorf("utilization %.2f and %.2f after the move", slow.Utilization(), fast.Utilization())
	}
	if moves := PlanOffload(slow, []Load{fast}); moves != nil {
		t.Error("load moves although the utilization is even")
	}
	if moves := PlanOffload(fast, []Load{{Instance: "idle", Slots: 9, ServiceTime: time.Second}}); moves != nil {
		t.Error("a server that is not busy gives keys away")
	}
}

// Guards against busy backend servers that need several rounds of moves to even out their utilization, or that together
// give another one more than its spare capacity.
func TestConcurrentOffloadsEvenUtilization(t *testing.T) {
	loads := []Load{
		{Instance: "hot", Rate: 45, ServiceTime: 330 * time.Millisecond, Slots: 9, Waiting: 9},
		{Instance: "warm", Rate: 30, ServiceTime: 440 * time.Millisecond, Slots: 9, Waiting: 5},
		{Instance: "cool", Rate: 12, ServiceTime: 220 * time.Millisecond, Slots: 9},
		{Instance: "idle", Rate: 2, ServiceTime: 110 * time.Millisecond, Slots: 9},
	}
	after, rate, capacity := map[string]float64{}, 0.0, 0.0
	for _, l := range loads {
		rate += l.Rate
		capacity += float64(l.Slots) / l.ServiceTime.Seconds()
	}
	for i, own := range loads {
		after[own.Instance] += own.Rate
		var others []Load
		for j, o := range loads {
			if j != i {
				others = append(others, o)
			}
		}
		for _, m := range PlanOffload(own, others) {
			after[own.Instance] -= m.Rate
			after[m.To] += m.Rate
		}
	}
	for _, l := range loads {
		l.Rate = after[l.Instance]
		t.Logf("%s: %.2f", l.Instance, l.Utilization())
		if even := rate / capacity; l.Utilization() < even-0.02 || l.Utilization() > even+0.02 {
			t.Errorf("%s: utilization %.2f after all moves, want %.2f", l.Instance, l.Utilization(), even)
		}
	}
}

// Guards against rates that are underestimated just after the first requests, so that an overload is not detected.
func TestRateIsCorrectedAfterStart(t *testing.T) {
	m := &Meter{}
	countRequests(m, 0.5, 40, 0, 0, 1)
	if m.Rate() < 32 || m.Rate() > 48 {
		t.Errorf("rate %.1f of 40 after half a second", m.Rate())
	}
}
