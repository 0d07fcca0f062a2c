// Package limit decides how many requests a node may have at the backend server beside it.
//
// The limit starts low and follows the latency of finished requests. It rises by one after a window of requests that
// used the limit and were about as fast as the best lately, and falls in proportion when a window was much slower. A
// window holds only requests that began after the last change of the limit, so that each change is judged by its own
// effect. The package reads no clock and does no I/O; the caller holds the lock. See docs/limits.md.
package limit

import (
	"slices"
	"time"
)

const (
	// Start is the limit of a backend server about which nothing is known. With one request at a time, nothing would
	// show how the latency depends on concurrency.
	Start = 2
	// windowSamples is the number of finished requests that one decision takes; fewer if more than half are slow. Of
	// 100,000 windows of service times that vary by a sixth, the median of 8 exceeded steadyRatio times the best 18,821
	// times, the median of 16 609 times.
	windowSamples = 16
	// classSamples is the least number of samples of a class whose median counts. More than half of a window always
	// hold one class with so many.
	classSamples = 5
	// usedSamples is the least number of samples at the limit that speak for a higher one. A single one may be a chance
	// meeting of two requests on an idle server.
	usedSamples = 2
	// steadyRatio is the latency, as a multiple of the best lately, up to which the limit may rise. Above it the limit
	// falls: if it stayed, a cold server slightly above what it bears would stay there and remain cold.
	steadyRatio = 1.4
	// leastBest is the lowest latency that others are compared with. Below it the scheduling of threads on the instance
	// varies by more than steadyRatio: with reads of 1 ms and 32 callers the limit kept falling, and a node served 5,365
	// requests/s in place of 13,100.
	leastBest = 3 * time.Millisecond
	// unansweredRatio is the least latency, as a multiple of the best lately, that stands for a request without answer.
	unansweredRatio = 2.0
	// maxPatience bounds the windows that must pass before the limit rises again after falls.
	maxPatience = 8
	// bestAge is the least time for which a best latency counts; it is forgotten after twice that time, so that a
	// server that became slower for good is measured by its own latency.
	bestAge = 30 * time.Second
)

// Class is a class of cost; latencies are compared within one.
type Class uint8

// Classes of cost.
const (
	// Read is an idempotent request.
	Read Class = iota
	// Write is a non-idempotent request.
	Write
	classCount
)

// Result is how a request at the backend server ended.
type Result uint8

// Results of requests. Those that never reached the backend server are not passed on: their duration says nothing
// about its speed.
const (
	// Answered means that the duration is the latency.
	Answered Result = iota
	// TimedOut means that the request was given up or lost, so that its latency is longer than the duration.
	TimedOut
	// Shed means that the backend server refused the request because it was overloaded.
	Shed
)

// Sample is one request that ended.
type Sample struct {
	Class  Class
	Result Result
	// Begun is when the request was sent.
	Begun time.Time
	// Running is the number of requests at the backend server, this one included, when it ended.
	Running int
}

// Limiter is the limit of one backend server. Its methods need one lock around them.
type Limiter struct {
	limit, most int
	// changed is when the limit last changed.
	changed time.Time
	window  window
	best    [classCount]best
	// patience is the number of steady windows needed for a rise; steady counts those since the last change.
	patience, steady int
}

// New returns a limiter with limit zero until SetMost.
func New() *Limiter { return &Limiter{patience: 1} }

// Limit returns the present limit.
func (l *Limiter) Limit() int { return l.limit }

// SetMost sets the highest limit, from the configuration and the announcement of the backend server.
func (l *Limiter) SetMost(now time.Time, most int) {
	l.most = most
	l.set(now, max(l.limit, Start))
}

// Reset forgets what was measured: another incarnation runs, or the same one returns after silence.
func (l *Limiter) Reset(now time.Time) {
	*l = Limiter{most: l.most, patience: 1}
	l.set(now, Start)
	l.changed = now
}

// Finish takes in a request that ended and reports whether the limit fell.
func (l *Limiter) Finish(now time.Time, s Sample) (fell bool) {
	if s.Begun.Before(l.changed) || l.limit == 0 {
		return false
	}
	l.add(now, s)
	if l.window.count < windowSamples && l.window.slow <= windowSamples/2 {
		return false
	}
	before := l.limit
	l.decide(now)
	l.window = window{}
	return l.limit < before
}

// add adds a sample to the window. A request that was not answered can only lower the limit. It counts as slow if it
// was shed, or cut off at a time that is no longer steady; one that was cut off earlier tells nothing.
func (l *Limiter) add(now time.Time, s Sample) {
	took := now.Sub(s.Begun)
	best := float64(l.best[s.Class].latency())
	slow := best > 0 && (s.Result == Shed || float64(took) > steadyRatio*best)
	if slow {
		l.window.slow++
	}
	if s.Result != Answered {
		if !slow {
			return
		}
		took = max(took, time.Duration(unansweredRatio*best))
		l.window.unanswered++
	}
	if s.Running >= l.limit {
		l.window.used++
	}
	l.window.add(s.Class, took)
}

// decide changes the limit according to a full window.
func (l *Limiter) decide(now time.Time) {
	ratio := l.compare(now)
	switch {
	case ratio > steadyRatio:
		l.fall(now, ratio)
	case l.window.slow > windowSamples/2:
		// The slow requests are of a class with too few samples to know.
	case l.window.used >= usedSamples && l.window.unanswered == 0:
		l.rise(now)
	}
}

// compare returns the highest latency of a class in the window, as a multiple of its best lately.
func (l *Limiter) compare(now time.Time) float64 {
	ratio := 0.0
	for c := range classCount {
		if l.window.counts[c] < classSamples {
			continue
		}
		median := l.window.median(c)
		ratio = max(ratio, l.best[c].compare(now, median))
	}
	return ratio
}

// fall lowers the limit in proportion to the latency, at least to a half. At the lowest limit, the latency cannot be
// an effect of the concurrency and becomes what later windows are compared with.
func (l *Limiter) fall(now time.Time, ratio float64) {
	if l.limit <= Start {
		if l.window.unanswered == 0 {
			l.rebase(now)
		}
		return
	}
	l.set(now, min(l.limit/2, int(float64(l.limit)/ratio)))
	l.patience = min(2*l.patience, maxPatience)
}

// rebase takes the latencies of the window as the best.
func (l *Limiter) rebase(now time.Time) {
	for c := range classCount {
		l.best[c] = best{}
		if l.window.counts[c] >= classSamples {
			l.best[c].compare(now, l.window.median(c))
		}
	}
	l.steady = 0
}

// rise raises the limit by one after enough steady windows.
func (l *Limiter) rise(now time.Time) {
	l.steady++
	if l.steady < l.patience {
		return
	}
	l.set(now, l.limit+1)
	l.patience = max(l.patience/2, 1)
}

// set changes the limit within its bounds. At least Start is allowed, unless the highest limit is lower.
func (l *Limiter) set(now time.Time, limit int) {
	next := min(max(limit, Start), l.most)
	if next == l.limit {
		return
	}
	l.limit, l.changed, l.steady = next, now, 0
	l.window = window{}
}

// window collects the samples of one decision.
type window struct {
	count   int
	counts  [classCount]int
	samples [classCount][windowSamples]time.Duration
	// used counts the samples that ended while the limit was reached.
	used int
	// slow counts the samples above steadyRatio.
	slow int
	// unanswered counts the samples whose duration is not a latency.
	unanswered int
}

func (w *window) add(c Class, took time.Duration) {
	w.samples[c][w.counts[c]] = took
	w.counts[c]++
	w.count++
}

// median returns the median of a class with samples, the lower one of two.
func (w *window) median(c Class) time.Duration {
	sorted := w.samples[c]
	n := w.counts[c]
	slices.Sort(sorted[:n])
	return sorted[(n-1)/2]
}

// best is the lowest median of a class lately.
type best struct {
	current, previous time.Duration
	// since is when current began.
	since time.Time
}

// latency returns the best lately, at least leastBest; zero if none is known.
func (b *best) latency() time.Duration {
	lowest := b.previous
	if b.previous == 0 || b.current != 0 && b.current < b.previous {
		lowest = b.current
	}
	if lowest == 0 {
		return 0
	}
	return max(lowest, leastBest)
}

// compare takes in a median and returns it as a multiple of the best lately.
func (b *best) compare(now time.Time, median time.Duration) float64 {
	if now.Sub(b.since) >= bestAge {
		b.previous, b.current, b.since = b.current, 0, now
	}
	median = max(median, 1)
	if b.current == 0 || median < b.current {
		b.current = median
	}
	return float64(median) / float64(b.latency())
}
