package limit

import (
	"math"
	"slices"
	"time"
)

// policy is an algorithm that limits the concurrent requests at a backend server.
type policy interface {
	// announced is called when the backend server announces itself after a start.
	announced(now time.Time)
	// limit returns the maximum number of concurrent requests at the given time.
	limit(now time.Time) int
	// finish processes the measurement of a finished request.
	finish(now time.Time, s Sample)
}

// policies are the algorithms that are compared, in the order of the table in docs/limits.md.
var policies = []struct {
	name   string
	create func(slots int) policy
}{
	{"fixed", func(slots int) policy { return &fixedPolicy{slots} }},
	{"slow start", func(slots int) policy { return &slowStartPolicy{slots: slots} }},
	{"gradient", func(slots int) policy { return &gradientPolicy{slots: slots} }},
	{"oracle", func(int) policy { return &oraclePolicy{} }},
	{"adaptive", func(slots int) policy { return newAdaptivePolicy(slots) }},
}

// fixedPolicy always allows the announced number of slots.
type fixedPolicy struct{ slots int }

func (p *fixedPolicy) announced(time.Time)      {}
func (p *fixedPolicy) limit(time.Time) int      { return p.slots }
func (p *fixedPolicy) finish(time.Time, Sample) {}

// slowStartPolicy raises the limit linearly over slowStartTime after an announcement.
type slowStartPolicy struct {
	slots int
	since time.Time
}

const slowStartTime = 10 * time.Second

func (p *slowStartPolicy) announced(now time.Time)  { p.since = now }
func (p *slowStartPolicy) finish(time.Time, Sample) {}
func (p *slowStartPolicy) limit(now time.Time) int {
	fraction := min(float64(now.Sub(p.since))/float64(slowStartTime), 1)
	return Initial + int(float64(p.slots-Initial)*fraction)
}

// gradientPolicy multiplies the limit after each window of requests by the ratio of the baseline latency to the current
// one, and adds an allowance for queueing.
type gradientPolicy struct {
	slots    int
	current  float64
	baseline baseline
	window   []time.Duration
}

func (p *gradientPolicy) announced(time.Time) { *p = gradientPolicy{slots: p.slots, current: Initial} }
func (p *gradientPolicy) limit(time.Time) int { return int(p.current) }
func (p *gradientPolicy) finish(now time.Time, s Sample) {
	if p.window = append(p.window, now.Sub(s.Begun)); len(p.window) < windowSamples {
		return
	}
	slices.Sort(p.window)
	gradient := max(min(1.5/p.baseline.recordMedian(now, p.window[windowSamples/2]), 1), 0.5)
	p.window = p.window[:0]
	p.current = max(min(p.current*gradient+math.Sqrt(p.current)/2, float64(p.slots)), 1)
}

// adaptivePolicy is the Limiter.
type adaptivePolicy struct{ limiter *Limiter }

func newAdaptivePolicy(slots int) *adaptivePolicy {
	p := &adaptivePolicy{New()}
	p.limiter.SetMaxLimit(start, slots)
	return p
}

func (p *adaptivePolicy) announced(now time.Time)        { p.limiter.Reset(now) }
func (p *adaptivePolicy) limit(time.Time) int            { return p.limiter.Limit() }
func (p *adaptivePolicy) finish(now time.Time, s Sample) { p.limiter.Finish(now, s) }

// oraclePolicy uses the capacity of the model, which no node can know. It shows the best possible result of a limit.
type oraclePolicy struct{ server *serverModel }

func (p *oraclePolicy) announced(time.Time)      {}
func (p *oraclePolicy) finish(time.Time, Sample) {}
func (p *oraclePolicy) limit(time.Time) int      { return int(p.server.capacity()) }
