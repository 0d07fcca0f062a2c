package limit

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// unit is the unit of the latencies in these tests; it keeps them above minBaseline.
const unit = 2 * ms

var start = time.UnixMilli(1_700_000_000_000)

// finishRequests finishes n requests one after another, each with the latency, and returns the time afterwards.
func finishRequests(l *Limiter, now time.Time, n int, c Class, latency time.Duration) time.Time {
	for range n {
		begun := now
		now = now.Add(latency)
		l.Finish(now, Sample{Class: c, Begun: begun, Running: l.Limit()})
	}
	return now
}

// limiterAtTen returns a limiter that has reached a limit of 10 with reads of 2 units.
func limiterAtTen(t *testing.T) (*Limiter, time.Time) {
	t.Helper()
	l := New()
	l.SetMaxLimit(start, 10)
	now := finishRequests(l, start, 12*windowSamples, Read, 2*unit)
	if l.Limit() != 10 {
		t.Fatalf("limit %d after 12 steady windows", l.Limit())
	}
	return l, now
}

// Guards against a full load for a server that has just started, and against a limit above the announced maximum.
func TestStartsLowAndStaysBounded(t *testing.T) {
	for _, maxLimit := range []int{0, 1, 2, 6, 10} {
		l := New()
		l.SetMaxLimit(start, maxLimit)
		if l.Limit() != min(Initial, maxLimit) {
			t.Errorf("maximum %d: starts at %d", maxLimit, l.Limit())
		}
		if finishRequests(l, start, 500, Read, unit); l.Limit() != maxLimit {
			t.Errorf("maximum %d: rises to %d", maxLimit, l.Limit())
		}
		if l.SetMaxLimit(start.Add(time.Hour), maxLimit/2); l.Limit() != maxLimit/2 {
			t.Errorf("maximum lowered to %d: limit %d", maxLimit/2, l.Limit())
		}
	}
}

// Guards against keeping the limit for a server that became cold, and against lowering it after a single slow request.
func TestFallsWithinOneWindowButNotForOneSlowRequest(t *testing.T) {
	for _, slow := range []int{1, 3, windowSamples / 2} {
		l, now := limiterAtTen(t)
		now = finishRequests(l, now, slow, Read, 40*unit)
		finishRequests(l, now, windowSamples-slow, Read, 2*unit)
		if l.Limit() != 10 {
			t.Errorf("%d of %d slow: limit %d", slow, windowSamples, l.Limit())
		}
	}
	l, now := limiterAtTen(t)
	if finishRequests(l, now, windowSamples/2+1, Read, 40*unit); l.Limit() != Initial {
		t.Errorf("limit %d after %d slow requests", l.Limit(), windowSamples/2+1)
	}
}

// Guards against a limit that oscillates, because after each fall it returns at once to the value that was too high.
func TestRisesSlowlyAfterFall(t *testing.T) {
	l, now := limiterAtTen(t)
	now = finishRequests(l, now, windowSamples/2+1, Read, 5*unit)
	for _, want := range []int{4, 5, 6} {
		if now = finishRequests(l, now, windowSamples, Read, 2*unit); l.Limit() != want {
			t.Errorf("limit %d, want %d", l.Limit(), want)
		}
	}
}

// Guards against a limit that stays at its initial value for a server that became permanently slower, for example
// because of another program on its machine.
func TestRisesFromNewLatency(t *testing.T) {
	l, now := limiterAtTen(t)
	now = finishRequests(l, now, windowSamples, Read, 6*unit)
	if l.Limit() != 3 {
		t.Fatalf("limit %d after a window 3 times slower", l.Limit())
	}
	if finishRequests(l, now, 40*windowSamples, Read, 6*unit); l.Limit() != 10 {
		t.Errorf("limit %d after 40 windows of the new latency", l.Limit())
	}
}

// Guards against lowering the limit twice because of requests that were sent before it fell.
func TestIgnoresRequestsBegunBeforeChange(t *testing.T) {
	l, now := limiterAtTen(t)
	begun := now
	now = finishRequests(l, now, windowSamples, Read, 5*unit)
	fallen := l.Limit()
	for range 3 * windowSamples {
		l.Finish(now.Add(unit), Sample{Begun: begun, Running: 10})
	}
	if fallen != 4 || l.Limit() != fallen {
		t.Errorf("limit fell to %d, then %d", fallen, l.Limit())
	}
}

// Guards against a limit that rises although it is not reached, or although requests without a known latency are in the
// window.
func TestRisesOnlyIfLimitIsReachedAndLatencyKnown(t *testing.T) {
	cases := map[string]Sample{
		"unused":    {Running: 1},
		"timed out": {Running: 10, Result: TimedOut},
		"shed":      {Running: 10, Result: Shed},
	}
	for name, s := range cases {
		l := New()
		l.SetMaxLimit(start, 10)
		now := finishRequests(l, start, 2*windowSamples, Read, 2*unit)
		limitBefore := l.Limit()
		for n := range 20 * windowSamples {
			answered := Sample{Running: 1, Begun: now}
			s.Begun, now = now, now.Add(2*unit)
			l.Finish(now, answered)
			if n%4 == 0 {
				l.Finish(now.Add(2*unit), s)
			}
		}
		if l.Limit() != limitBefore {
			t.Errorf("%s: limit rose from %d to %d", name, limitBefore, l.Limit())
		}
	}
}

// Guards against a rise when most requests of a window are slow, but no class has enough samples to show it.
func TestSlowRequestsOfTwoClassesPreventRise(t *testing.T) {
	l := New()
	l.SetMaxLimit(start, 10)
	now := finishRequests(l, start, windowSamples, Write, 2*unit)
	now = finishRequests(l, now, windowSamples, Read, 2*unit)
	now = finishRequests(l, now, 6, Read, 2*unit)
	now = finishRequests(l, now, 5, Read, 9*unit)
	if finishRequests(l, now, minClassSamples-1, Write, 9*unit); l.Limit() != 4 {
		t.Errorf("limit %d, want 4 as before", l.Limit())
	}
}

// Guards against lowering the limit because of callers with short deadlines, whose requests time out before the usual
// latency.
func TestShortDeadlinesDoNotLower(t *testing.T) {
	l, now := limiterAtTen(t)
	for range 100 {
		l.Finish(now.Add(unit), Sample{Begun: now, Result: TimedOut, Running: 10})
	}
	if l.Limit() != 10 {
		t.Errorf("limit %d", l.Limit())
	}
}

// Guards against keeping the limit of a server that answers no request in time, or sheds load.
func TestFallsWithoutAnswers(t *testing.T) {
	for _, result := range []Result{TimedOut, Shed} {
		l, now := limiterAtTen(t)
		for range windowSamples {
			l.Finish(now.Add(100*unit), Sample{Begun: now, Result: result, Running: 10})
		}
		if l.Limit() >= 10 {
			t.Errorf("result %d: limit %d", result, l.Limit())
		}
	}
}

// Guards against lowering the limit because expensive writes are compared with cheap reads.
func TestClassesAreComparedSeparately(t *testing.T) {
	l, now := limiterAtTen(t)
	for range 20 {
		now = finishRequests(l, now, 10, Read, 2*unit)
		now = finishRequests(l, now, 10, Write, 30*unit)
	}
	if l.Limit() != 10 {
		t.Errorf("limit %d with mixed requests", l.Limit())
	}
	if finishRequests(l, now, windowSamples, Write, 300*unit); l.Limit() != Initial {
		t.Errorf("limit %d with slow writes", l.Limit())
	}
}

// Guards against applying the limit and the baseline of an earlier incarnation to a new one.
func TestReset(t *testing.T) {
	l, now := limiterAtTen(t)
	l.Reset(now)
	if l.Limit() != Initial {
		t.Errorf("limit %d after a reset", l.Limit())
	}
	for range windowSamples {
		l.Finish(now.Add(unit), Sample{Begun: now.Add(-unit), Running: 10})
	}
	if l.window.count != 0 {
		t.Error("requests of the earlier incarnation count")
	}
	if finishRequests(l, now, windowSamples, Read, 50*unit); l.Limit() != Initial+1 {
		t.Errorf("limit %d for an incarnation that is slower and steady", l.Limit())
	}
}

// Guards against a baseline that never expires, so that a small permanent slowdown keeps the limit from rising.
func TestBaselineExpires(t *testing.T) {
	b := baseline{}
	b.recordMedian(start, 2*unit)
	if got := b.recordMedian(start.Add(baselinePeriod), 3*unit); got != 1.5 {
		t.Errorf("ratio %v after one baseline period", got)
	}
	if got := b.recordMedian(start.Add(2*baselinePeriod), 3*unit); got != 1 {
		t.Errorf("ratio %v after two baseline periods", got)
	}
}

// Guards against a limit that falls because threads wait a millisecond or two to be scheduled, and against missing a
// slow server because of that tolerance.
func TestToleratesSchedulingDelaysBelowMinBaseline(t *testing.T) {
	l := New()
	l.SetMaxLimit(start, 10)
	now := finishRequests(l, start, 12*windowSamples, Read, ms)
	if now = finishRequests(l, now, 4*windowSamples, Read, minBaseline); l.Limit() != 10 {
		t.Errorf("limit %d at a latency of %v", l.Limit(), minBaseline)
	}
	if finishRequests(l, now, windowSamples, Read, 2*minBaseline); l.Limit() != 5 {
		t.Errorf("limit %d at a latency of %v", l.Limit(), 2*minBaseline)
	}
}
