// Package capacity estimates up to what concurrency a backend server takes more requests without becoming slower in
// proportion.
//
// The logarithm of a service time is the sum of the usual one of the route, the present speed of the backend server, and
// a term for the concurrency. The estimator follows all three at once: the speed within a few requests, the others
// slowly. A backend server that becomes slow at all concurrencies changes the speed only; its limit stays. The
// difference between concurrencies shows because the number of requests in progress varies, and because the limit is
// raised by one from time to time. The package does no I/O and reads no clock; callers must serialize access. See
// docs/design/capacity.md.
package capacity

import (
	"math"
	"time"

	"heatherreel/internal/limit"
)

const (
	// speedGain, routeGain and levelGain are the parts of the error of an estimate by which one request corrects the speed,
	// the usual time of the route, and the term of the concurrency. First requests have a larger part.
	speedGain = 0.2
	routeGain = 0.02
	levelGain = 0.04
	// speedTime is the time constant with which the speed returns to the usual one without requests: after it, a backend
	// server that was slow gets requests as before, and shows how fast it is.
	speedTime = 10 * time.Second
	// levelHalfLife is the time after which a request counts half for its concurrency, and minLevelCount the number from
	// which a concurrency is known. One that is not known counts as fast as the next lower one, so that it is tried again.
	levelHalfLife = 30 * time.Second
	minLevelCount = 6
	// sufficientPart is the part of the highest throughput that the limit keeps. The last few percent of it would cost
	// every request a longer time.
	sufficientPart = 0.95
	// maxError bounds the error that one request may show, in logarithms: single requests are up to ten times as slow.
	maxError = 1.2
	// maxLevelError is lower: when the speed falls, requests that begin meanwhile are slow and meet more others, which is
	// the effect and not the cause.
	maxLevelError = 0.2
	// shedError is the error that a shed request shows for its concurrency.
	shedError = 0.7
	// stepInterval is the shortest time between two changes of the limit by one.
	stepInterval = 250 * time.Millisecond
	// A probe changes the limit for minProbeTime, or for probeServiceTimes times the service time if that is longer: with a
	// shorter one, few requests would begin at the other concurrency. Between probes passes minProbePause times that
	// time; the factor grows by pauseGrowth with each probe up to maxProbePause, and starts again when the limit changes.
	// Probes raise the limit by one, or lower it while the concurrency does not vary by itself. With a constant factor of 5
	// they cost 4% of what a full server answers in time, with these 2%.
	minProbeTime      = 300 * time.Millisecond
	probeServiceTimes = 1.5
	minProbePause     = 3
	maxProbePause     = 24
	pauseGrowth       = 1.3
	// steadyVariance is the variance of the concurrency below which it counts as constant.
	steadyVariance = 0.5
	// concurrencyGain and serviceTimeGain are the parts by which one request corrects the mean and the variance of the
	// concurrency, and the mean service time.
	concurrencyGain = 0.05
	serviceTimeGain = 0.1
	// maxRoutes bounds the routes whose usual times are kept. Requests of further routes are not used.
	maxRoutes = 64
	// maxLevels bounds the concurrencies that are told apart.
	maxLevels = 256
)

// Sample is the measurement of one request that ended.
type Sample struct {
	Route string
	// Result is how it ended. A request that its caller abandoned counts as limit.TimedOut: it would have taken longer.
	Result limit.Result
	// Failed is set for an answer that reports an error. Backend servers answer errors without doing the work.
	Failed bool
	// Began is when it was sent.
	Began time.Time
	// RunningAtBegin and RunningAtEnd are the requests in progress, this one included.
	RunningAtBegin, RunningAtEnd int
}

// level is what is known of one concurrency.
type level struct {
	// slowness is the logarithm of the service time at this concurrency, without a common term of all concurrencies.
	slowness float64
	count    float64
}

// usual is the logarithm of the usual service time of a route, in seconds.
type usual struct {
	time  float64
	count int
}

// Estimator estimates the concurrency of one backend server. It is not safe for concurrent use.
type Estimator struct {
	slots int
	limit int
	// steppedAt is when the limit last changed.
	steppedAt time.Time
	levels    []level
	decayedAt time.Time
	routes    map[string]*usual
	// speed is the logarithm of the present service time relative to the usual one, and updatedAt its time.
	speed     float64
	updatedAt time.Time
	// mean and variance are those of the concurrency of requests outside of probes, and serviceTime the mean service time.
	mean, variance float64
	serviceTime    time.Duration
	// probe is the change of the limit until probeEnd; the next probe begins at nextProbe. lowered alternates between probes
	// upwards and downwards.
	probe, lowerProbes  int
	probePause          float64
	lowered             bool
	probeEnd, nextProbe time.Time
}

// New returns an estimator for a backend server that has not told its slots yet.
func New() *Estimator { return &Estimator{routes: map[string]*usual{}} }

// SetSlots sets the slots of the backend server, the highest limit.
func (e *Estimator) SetSlots(slots int) {
	slots = min(max(slots, 0), maxLevels)
	if slots == e.slots {
		return
	}
	if e.limit == e.slots || e.limit > slots {
		e.limit = slots
	}
	e.slots = slots
	e.limit = min(max(e.limit, limit.Initial), slots)
	for len(e.levels) <= slots {
		e.levels = append(e.levels, level{})
	}
}

// Reset forgets all measurements, because another incarnation of the backend server runs.
func (e *Estimator) Reset() {
	slots := e.slots
	*e = *New()
	e.SetSlots(slots)
}

// Measured returns the concurrency up to which the backend server keeps its speed, from limit.Initial to its slots.
func (e *Estimator) Measured() int { return e.limit }

// Limit returns the concurrency limit at present: the measured one, or during a probe another one near it.
func (e *Estimator) Limit(now time.Time) int {
	if now.Before(e.probeEnd) {
		return min(max(e.limit+e.probe, limit.Initial), e.slots)
	}
	return e.limit
}

// probeDepths are the parts of the limit by which probes lower it in turn. A server that is as slow at the next lower
// concurrencies shows only in a deep probe that it is fast below them.
var probeDepths = [...]float64{1.0 / 3, 1.0 / 6, 1.0 / 2, 1.0 / 6}

// planProbe begins a probe when it is time. Requests that begin at different concurrencies within a short time show the
// effect of the concurrency, whatever the speed is at the time.
func (e *Estimator) planProbe(now time.Time) {
	if now.Before(e.nextProbe) {
		return
	}
	length := max(minProbeTime, time.Duration(probeServiceTimes*float64(e.serviceTime)))
	e.probePause = min(max(e.probePause*pauseGrowth, minProbePause), maxProbePause)
	e.probeEnd, e.nextProbe = now.Add(length), now.Add(time.Duration((1+e.probePause)*float64(length)))
	lower := e.variance < steadyVariance && e.mean > float64(e.limit)-1
	if e.probe = 1; lower && (e.limit == e.slots || e.lowered) {
		e.probe = -max(1, int(float64(e.limit)*probeDepths[e.lowerProbes%len(probeDepths)]))
		e.lowerProbes++
	}
	e.lowered = !e.lowered
}

// ServiceTime returns the mean service time at the measured concurrency; 0 before the first request. A backend server
// that has few requests does not count as faster for that.
func (e *Estimator) ServiceTime() time.Duration { return e.serviceTime }

func (e *Estimator) currentSpeed(now time.Time) float64 {
	return e.speed * math.Exp(-max(0, now.Sub(e.updatedAt).Seconds())/speedTime.Seconds())
}

// Observe adds a request that ended, and reports whether the measured concurrency changed.
func (e *Estimator) Observe(now time.Time, s Sample) bool {
	n := min((s.RunningAtBegin+s.RunningAtEnd+1)/2, e.slots)
	took := now.Sub(s.Began).Seconds()
	if n < 1 || took <= 0 || s.Failed {
		return false
	}
	route := e.routes[s.Route]
	if route == nil {
		if len(e.routes) >= maxRoutes || s.Result != limit.Answered {
			return false
		}
		route = &usual{time: math.Log(took)}
		e.routes[s.Route] = route
	}
	l := &e.levels[n]
	speed := e.currentSpeed(now)
	difference := math.Log(took) - route.time - speed - l.slowness
	switch {
	case s.Result == limit.Shed:
		// The time says nothing about the speed.
		l.slowness += max(levelGain, 1/(l.count+1)) * shedError / 2
		l.count++
		return e.step(now)
	case s.Result == limit.TimedOut && difference <= 0:
		return false
	}
	difference = min(max(difference, -maxError), maxError)
	if s.Result == limit.Answered {
		route.count++
		route.time += max(routeGain, 1/float64(route.count+1)/2) * difference
	}
	e.observeServiceTime(now.Sub(s.Began), l)
	if !now.Before(e.probeEnd) {
		deviation := float64(n) - e.mean
		e.mean += concurrencyGain * deviation
		e.variance += concurrencyGain * (deviation*deviation - e.variance)
	}
	e.planProbe(now)
	e.speed, e.updatedAt = speed+speedGain*difference, now
	l.slowness += max(levelGain, 0.5/(l.count+1)) * min(max(difference, -maxLevelError), maxLevelError)
	l.count++
	return e.step(now)
}

// observeServiceTime updates the mean service time with a request at a concurrency.
func (e *Estimator) observeServiceTime(took time.Duration, at *level) {
	if full := e.levels[e.limit]; full.count >= minLevelCount && at.count >= minLevelCount {
		took = time.Duration(float64(took) * math.Exp(min(max(0, full.slowness-at.slowness), maxError)))
	}
	if e.serviceTime == 0 {
		e.serviceTime = took
		return
	}
	e.serviceTime += time.Duration(serviceTimeGain * float64(took-e.serviceTime))
}

// step moves the limit by one towards the best one, and reports whether it changed.
func (e *Estimator) step(now time.Time) bool {
	if now.Sub(e.steppedAt) < stepInterval {
		return false
	}
	e.decay(now)
	best := e.best()
	if best == e.limit {
		return false
	}
	e.steppedAt, e.probePause = now, 0
	if best > e.limit {
		e.limit++
	} else {
		e.limit--
	}
	return true
}

// decay lets the counts of the concurrencies decay.
func (e *Estimator) decay(now time.Time) {
	if !e.decayedAt.IsZero() {
		keep := math.Exp2(-now.Sub(e.decayedAt).Seconds() / levelHalfLife.Seconds())
		for n := range e.levels {
			e.levels[n].count *= keep
		}
	}
	e.decayedAt = now
}

// best returns the lowest concurrency with nearly the highest throughput, but none below the limit unless its throughput
// is higher than that of the limit: errors of the estimates alone do not lower it. A higher concurrency is never faster,
// so that the slowness of each is averaged with those below it that are slower.
func (e *Estimator) best() int {
	lowest := min(limit.Initial, e.slots)
	slowness := e.risingSlowness()
	throughput := func(n int) float64 { return float64(n) * math.Exp(-slowness[n]) }
	highest := 0.0
	for n := lowest; n <= e.slots; n++ {
		highest = max(highest, throughput(n))
	}
	for n := lowest; n < e.slots; n++ {
		if throughput(n) >= sufficientPart*highest && (n >= e.limit || throughput(n) > throughput(e.limit)) {
			return n
		}
	}
	return e.slots
}

// risingSlowness returns the slowness of each concurrency, made to rise with the concurrency by averaging neighbours
// that do not, weighted by their counts (pool adjacent violators).
func (e *Estimator) risingSlowness() []float64 {
	type pool struct {
		sum, weight float64
		levels      int
	}
	var pools []pool
	unknown := 0
	for n := 1; n <= e.slots; n++ {
		l := e.levels[n]
		if l.count < minLevelCount {
			if len(pools) == 0 {
				unknown++
			} else {
				pools[len(pools)-1].levels++
			}
			continue
		}
		pools = append(pools, pool{l.slowness * l.count, l.count, 1 + unknown})
		unknown = 0
		for last := len(pools) - 1; last > 0 && pools[last].sum/pools[last].weight <= pools[last-1].sum/pools[last-1].weight; last-- {
			pools[last-1].sum += pools[last].sum
			pools[last-1].weight += pools[last].weight
			pools[last-1].levels += pools[last].levels
			pools = pools[:last]
		}
	}
	slowness := make([]float64, 1, e.slots+1)
	for _, p := range pools {
		for range p.levels {
			slowness = append(slowness, p.sum/p.weight)
		}
	}
	for len(slowness) <= e.slots {
		slowness = append(slowness, 0)
	}
	return slowness
}
