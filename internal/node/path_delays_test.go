package node

import (
	"math"
	"testing"
	"time"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/routed"
)

// Guards against delays that depend on what the clocks of two machines show, or on a request that was slow itself.
func TestPathDelayIsRelativeToFastestRequest(t *testing.T) {
	for name, offset := range map[string]time.Duration{"receiver ahead": 50 * time.Hour, "sender ahead": -50 * time.Hour, "equal": 0} {
		t.Run(name, func(t *testing.T) {
			p := newPathDelays()
			sent := 100 * time.Hour
			for i, step := range []struct{ took, want time.Duration }{
				{20 * time.Millisecond, 0}, {8 * time.Millisecond, 0}, {908 * time.Millisecond, 900 * time.Millisecond},
				{8 * time.Millisecond, 0}, {508 * time.Millisecond, 500 * time.Millisecond},
			} {
				sent += time.Second
				if got := p.observe(1, sent, 0, sent+offset+step.took); got != step.want {
					t.Errorf("request %d took %v: delay %v, want %v", i, step.took, got, step.want)
				}
			}
		})
	}
}

// Guards against taking the drift of clocks for a delay, and against a path that stays congested for some seconds being
// taken for usual.
func TestPathDelayFollowsClockDrift(t *testing.T) {
	const (
		usual = 8 * time.Millisecond
		// drift is that of two clocks with 100 ppm each, per second.
		drift = 200 * time.Microsecond
		// tolerance is the drift in twice the window.
		tolerance = 12 * time.Millisecond
	)
	for name, direction := range map[string]time.Duration{"receiver fast": drift, "sender fast": -drift} {
		t.Run(name, func(t *testing.T) {
			p := newPathDelays()
			for i := range 1200 {
				sent := time.Duration(i) * time.Second
				received := sent + usual + time.Duration(i)*direction
				if got := p.observe(1, sent, 0, received); got > tolerance {
					t.Fatalf("after %v: delay %v of a usual request, want at most %v", sent, got, tolerance)
				}
			}
			for i := range int(baselineWindow / time.Second) {
				sent := time.Duration(1200+i) * time.Second
				received := sent + time.Second + time.Duration(1200+i)*direction
				if got := p.observe(1, sent, 0, received); got < 900*time.Millisecond {
					t.Fatalf("after %d s of congestion: delay %v, want about 1 s", i, got)
				}
			}
		})
	}
}

// Guards against a first request whose delay counts for nothing, and against an older sender that states no times.
func TestPathDelayWithoutMeasurement(t *testing.T) {
	p := newPathDelays()
	if got := p.observe(7, time.Second, 300*time.Millisecond, time.Hour); got != 300*time.Millisecond {
		t.Errorf("first request: delay %v, want the 300ms that the sender states", got)
	}
	m := &nodepb.DispatchRequest{DeadlineUs: 1_000_000}
	if got := p.observe(m.Clock, decodeDuration(m.SentUs), decodeDuration(m.PathDelayUs), time.Hour); got != 0 {
		t.Errorf("older sender: delay %v, want none", got)
	}
	now := time.Now()
	if r := decodeDispatch(m, now, 0); !r.Deadline.Equal(now.Add(time.Second)) || r.ArriveWithin != 0 {
		t.Errorf("older sender: deadline in %v, to arrive within %v; want 1s and no limit", r.Deadline.Sub(now), r.ArriveWithin)
	}
}

// Guards against a clock reading that does not survive the message on a machine that has run for years: each request would
// seem to be delayed by the time since the first one.
func TestClockReadingOfOldMachine(t *testing.T) {
	const upTime = 5 * 365 * 24 * time.Hour
	p := newPathDelays()
	for i := range 100 {
		now := upTime + time.Duration(i)*time.Second
		m := encodeDispatch(routed.Request{}, time.Now(), sendTimes{clock: 1, sent: now})
		if got := p.observe(m.Clock, decodeReading(m.SentUs), 0, now+time.Millisecond); got != 0 {
			t.Fatalf("request after %d s: delay %v, want none", i, got)
		}
	}
	if got := decodeReading(math.MaxUint64); got < 0 {
		t.Errorf("largest reading: %v", got)
	}
}

// Guards against refusing the requests of a machine whose clock has changed.
func TestPathDelayAfterClockChange(t *testing.T) {
	p := newPathDelays()
	for i, difference := range []time.Duration{time.Hour, 5 * time.Hour, 5 * time.Hour, 0, 0} {
		if got := p.observe(1, 10*time.Hour-difference, 0, 10*time.Hour); got != 0 {
			t.Errorf("request %d: delay %v, want none", i, got)
		}
	}
}

// Guards against a table that grows with each restart of another node.
func TestPathDelaysForgetClocks(t *testing.T) {
	p := newPathDelays()
	for i := range 2 * maxClocks {
		p.observe(uint64(i+1), 0, 0, time.Second)
	}
	if n := len(p.clocks); n != maxClocks {
		t.Errorf("%d clocks are kept, want %d", n, maxClocks)
	}
	p.observe(1, 0, 0, time.Second+3*baselineWindow)
	if n := len(p.clocks); n != 1 {
		t.Errorf("%d clocks are kept after a pause, want 1", n)
	}
}

// Guards against counting the time in which a connection was opened long ago.
func TestOpeningTimeIsDelayOfFirstRequest(t *testing.T) {
	opened := time.Now()
	c := &connection{openedAt: opened, openTime: 400 * time.Millisecond}
	if got := c.pathDelay(opened.Add(time.Millisecond)); got != 200*time.Millisecond {
		t.Errorf("new connection: %v, want half of the round trip", got)
	}
	if got := c.pathDelay(opened.Add(time.Second)); got != 0 {
		t.Errorf("after a second: %v, want none", got)
	}
}
