// Package limit adapts the concurrency limit of a node for its local backend server.
//
// The limit starts low and follows the latency of finished requests. It rises by one after a window of requests that
// reached the limit and whose latency was close to the baseline, the lowest recent latency. It falls in proportion to
// the latency when a window was much slower. A window holds only requests that began after the last change of the
// limit, so that each change is judged by its own effect. The package reads no clock and does no I/O; callers must
// serialize access. See docs/limits.md.
package limit

import (
	"slices"
	"time"
)

const (
	// Initial is the limit of a backend server that has just started, and the lowest limit later. With a limit of one,
	// the measurements could not show how the latency depends on concurrency.
	Initial = 2
	// windowSamples is the number of finished requests for one decision; a decision is made earlier once more than half
	// of that number are slow. Of 100,000 windows of service times that vary by a sixth, the median of 8 samples
	// exceeded maxSteadyRatio times the baseline 18,821 times, the median of 16 samples 609 times.
	windowSamples = 16
	// minClassSamples is the number of samples from which the median of a class counts. More than half of a window
	// always contains one class with that many.
	minClassSamples = 5
	// minSamplesAtLimit is the number of samples at the limit that a window needs to raise it. On an idle server, two
	// requests may overlap by chance and give one such sample.
	minSamplesAtLimit = 2
	// maxSteadyRatio is the latency, as a multiple of the baseline, up to which the limit may rise. Above it the limit
	// falls: with an unchanged limit, a cold server with slightly more load than it can handle would remain cold.
	maxSteadyRatio = 1.4
	// minBaseline is the lowest baseline. Below it, thread scheduling on the instance varies the latency by more than
	// maxSteadyRatio: with reads of 1 ms and 32 callers the limit kept falling, and a node served 5,365 requests/s
	// instead of 13,100.
	minBaseline = 3 * time.Millisecond
	// unansweredRatio is the lowest latency, as a multiple of the baseline, that is recorded for an unanswered request,
	// whose latency is unknown. It is above maxSteadyRatio, so that the recorded latency is always slow.
	unansweredRatio = 2.0
	// maxWindowsPerRise is the maximum number of steady windows that are needed for a rise. The number doubles with
	// each fall of the limit and halves with each rise.
	maxWindowsPerRise = 8
	// baselinePeriod is the minimum time for which a baseline counts. It is discarded after twice that time, so that a
	// server that became permanently slower is compared with its own latency.
	baselinePeriod = 30 * time.Second
)

// Class is a cost class; latencies are compared within one class.
type Class uint8

// Cost classes.
const (
	// Read is an idempotent request.
	Read Class = iota
	// Write is a non-idempotent request.
	Write
	classCount
)

// Result is how a request at the backend server ended.
type Result uint8

// Results of requests. Requests that never reached the backend server are not reported: their duration is independent
// of its speed.
const (
	// Answered means that the duration is the latency.
	Answered Result = iota
	// TimedOut means that the request timed out or was lost, so that its latency exceeds the duration.
	TimedOut
	// Shed means that the backend server rejected the request because it was overloaded.
	Shed
)

// Sample is the measurement of one finished request.
type Sample struct {
	Class  Class
	Result Result
	// Begun is when the request was sent.
	Begun time.Time
	// Running is the number of requests at the backend server when this one ended, itself included.
	Running int
}

// Limiter adapts the concurrency limit of one backend server. It is not safe for concurrent use.
type Limiter struct {
	limit, maxLimit int
	// changedAt is when the limit last changed.
	changedAt time.Time
	window    window
	baselines [classCount]baseline
	// windowsPerRise is the number of steady windows needed for a rise; steadyWindows counts those since the last
	// change.
	windowsPerRise, steadyWindows int
}

// New returns a limiter whose limit is zero until SetMaxLimit is called.
func New() *Limiter { return &Limiter{windowsPerRise: 1} }

// Limit returns the current limit.
func (l *Limiter) Limit() int { return l.limit }

// SetMaxLimit sets the maximum limit, which comes from the configuration and the announcement of the backend server.
func (l *Limiter) SetMaxLimit(now time.Time, maxLimit int) {
	l.maxLimit = maxLimit
	l.setLimit(now, max(l.limit, Initial))
}

// Reset discards all measurements, because a new incarnation of the backend server runs or the same one is reachable
// again.
func (l *Limiter) Reset(now time.Time) {
	*l = Limiter{maxLimit: l.maxLimit, windowsPerRise: 1}
	l.setLimit(now, Initial)
	l.changedAt = now
}

// Finish records a finished request and reports whether the limit fell.
func (l *Limiter) Finish(now time.Time, s Sample) (lowered bool) {
	if s.Begun.Before(l.changedAt) || l.limit == 0 {
		return false
	}
	l.addSample(now, s)
	if l.window.count < windowSamples && l.window.slow <= windowSamples/2 {
		return false
	}
	before := l.limit
	l.decide(now)
	l.window = window{}
	return l.limit < before
}

// addSample adds a sample to the window. An unanswered request can only lower the limit. It counts as slow if it was
// shed, or timed out at a latency above maxSteadyRatio; one that timed out earlier is ignored, since its latency is
// unknown.
func (l *Limiter) addSample(now time.Time, s Sample) {
	elapsed := now.Sub(s.Begun)
	baseline := float64(l.baselines[s.Class].latency())
	slow := baseline > 0 && (s.Result == Shed || float64(elapsed) > maxSteadyRatio*baseline)
	if slow {
		l.window.slow++
	}
	if s.Result != Answered {
		if !slow {
			return
		}
		elapsed = max(elapsed, time.Duration(unansweredRatio*baseline))
		l.window.unanswered++
	}
	if s.Running >= l.limit {
		l.window.atLimit++
	}
	l.window.addSample(s.Class, elapsed)
}

// decide adjusts the limit at the end of a window.
func (l *Limiter) decide(now time.Time) {
	ratio := l.latencyRatio(now)
	switch {
	case ratio > maxSteadyRatio:
		l.lower(now, ratio)
	case l.window.slow > windowSamples/2:
		// The slow requests belong to classes with too few samples for a median, so the limit stays.
	case l.window.atLimit >= minSamplesAtLimit && l.window.unanswered == 0:
		l.raise(now)
	}
}

// latencyRatio records the median latencies of the window, and returns the highest one as a multiple of the baseline of
// its class.
func (l *Limiter) latencyRatio(now time.Time) float64 {
	ratio := 0.0
	for c := range classCount {
		if l.window.counts[c] < minClassSamples {
			continue
		}
		median := l.window.median(c)
		ratio = max(ratio, l.baselines[c].recordMedian(now, median))
	}
	return ratio
}

// lower lowers the limit in proportion to the latency, at least by half. At the lowest limit, concurrency cannot be the
// cause of the latency, which therefore becomes the baseline.
func (l *Limiter) lower(now time.Time, ratio float64) {
	if l.limit <= Initial {
		if l.window.unanswered == 0 {
			l.resetBaselines(now)
		}
		return
	}
	l.setLimit(now, min(l.limit/2, int(float64(l.limit)/ratio)))
	l.windowsPerRise = min(2*l.windowsPerRise, maxWindowsPerRise)
}

// resetBaselines replaces the baselines by the median latencies of the window.
func (l *Limiter) resetBaselines(now time.Time) {
	for c := range classCount {
		l.baselines[c] = baseline{}
		if l.window.counts[c] >= minClassSamples {
			l.baselines[c].recordMedian(now, l.window.median(c))
		}
	}
	l.steadyWindows = 0
}

// raise raises the limit by one after enough steady windows.
func (l *Limiter) raise(now time.Time) {
	l.steadyWindows++
	if l.steadyWindows < l.windowsPerRise {
		return
	}
	l.setLimit(now, l.limit+1)
	l.windowsPerRise = max(l.windowsPerRise/2, 1)
}

// setLimit sets the limit to a value between Initial and the maximum limit, or to the maximum if that is below Initial.
func (l *Limiter) setLimit(now time.Time, limit int) {
	next := min(max(limit, Initial), l.maxLimit)
	if next == l.limit {
		return
	}
	l.limit, l.changedAt, l.steadyWindows = next, now, 0
	l.window = window{}
}

// window holds the samples for one decision.
type window struct {
	count   int
	counts  [classCount]int
	samples [classCount][windowSamples]time.Duration
	// atLimit counts the samples that ended while the limit was reached.
	atLimit int
	// slow counts the samples above maxSteadyRatio, and the shed ones.
	slow int
	// unanswered counts the samples of unanswered requests, whose latency is an estimate.
	unanswered int
}

func (w *window) addSample(c Class, elapsed time.Duration) {
	w.samples[c][w.counts[c]] = elapsed
	w.counts[c]++
	w.count++
}

// median returns the median of a class that has samples; of an even number, the lower middle one.
func (w *window) median(c Class) time.Duration {
	sorted := w.samples[c]
	n := w.counts[c]
	slices.Sort(sorted[:n])
	return sorted[(n-1)/2]
}

// baseline is the lowest recent median latency of a class, over one to two periods.
type baseline struct {
	current, previous time.Duration
	// periodStart is when the period of current began.
	periodStart time.Time
}

// latency returns the baseline latency, at least minBaseline; zero if none is known.
func (b *baseline) latency() time.Duration {
	lowest := b.previous
	if b.previous == 0 || b.current != 0 && b.current < b.previous {
		lowest = b.current
	}
	if lowest == 0 {
		return 0
	}
	return max(lowest, minBaseline)
}

// recordMedian records a median latency and returns it as a multiple of the baseline.
func (b *baseline) recordMedian(now time.Time, median time.Duration) float64 {
	if now.Sub(b.periodStart) >= baselinePeriod {
		b.previous, b.current, b.periodStart = b.current, 0, now
	}
	median = max(median, 1)
	if b.current == 0 || median < b.current {
		b.current = median
	}
	return float64(median) / float64(b.latency())
}
