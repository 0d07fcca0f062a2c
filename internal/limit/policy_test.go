package limit

import (
	"math"
	"slices"
	"time"
)

// policy is a way to limit the requests at a backend server.
type policy interface {
	announced(now time.Time)
	limit(now time.Time) int
	finish(now time.Time, s Sample)
}

// policies are the ways that are compared, in the order of the table.
var policies = []struct {
	name   string
	create func(most int) policy
}{
	{"fixed", func(most int) policy { return &fixedPolicy{most} }},
	{"slow start", func(most int) policy { return &slowStartPolicy{most: most} }},
	{"gradient", func(most int) policy { return &gradientPolicy{most: most} }},
	{"oracle", func(int) policy { return &oraclePolicy{} }},
	{"adaptive", func(most int) policy { return newAdaptivePolicy(most) }},
}

// fixedPolicy always gives the announced slots.
type fixedPolicy struct{ most int }

func (p *fixedPolicy) announced(time.Time)      {}
func (p *fixedPolicy) limit(time.Time) int      { return p.most }
func (p *fixedPolicy) finish(time.Time, Sample) {}

// slowStartPolicy rises evenly for slowStartTime after an announcement.
type slowStartPolicy struct {
	most  int
	since time.Time
}

const slowStartTime = 10 * time.Second

func (p *slowStartPolicy) announced(now time.Time)  { p.since = now }
func (p *slowStartPolicy) finish(time.Time, Sample) {}
func (p *slowStartPolicy) limit(now time.Time) int {
	share := min(float64(now.Sub(p.since))/float64(slowStartTime), 1)
	return Start + int(float64(p.most-Start)*share)
}

// gradientPolicy multiplies the limit by the ratio of the best latency to the present one and adds room for a queue,
// after each window of requests.
type gradientPolicy struct {
	most    int
	present float64
	best    best
	window  []time.Duration
}

func (p *gradientPolicy) announced(time.Time) { *p = gradientPolicy{most: p.most, present: Start} }
func (p *gradientPolicy) limit(time.Time) int { return int(p.present) }
func (p *gradientPolicy) finish(now time.Time, s Sample) {
	if p.window = append(p.window, now.Sub(s.Begun)); len(p.window) < windowSamples {
		return
	}
	slices.Sort(p.window)
	gradient := max(min(1.5/p.best.compare(now, p.window[windowSamples/2]), 1), 0.5)
	p.window = p.window[:0]
	p.present = max(min(p.present*gradient+math.Sqrt(p.present)/2, float64(p.most)), 1)
}

// adaptivePolicy is the Limiter.
type adaptivePolicy struct{ limiter *Limiter }

func newAdaptivePolicy(most int) *adaptivePolicy {
	p := &adaptivePolicy{New()}
	p.limiter.SetMost(start, most)
	return p
}

func (p *adaptivePolicy) announced(now time.Time)        { p.limiter.Reset(now) }
func (p *adaptivePolicy) limit(time.Time) int            { return p.limiter.Limit() }
func (p *adaptivePolicy) finish(now time.Time, s Sample) { p.limiter.Finish(now, s) }

// oraclePolicy knows what the model bears. No node can; it shows the best that a limit can reach.
type oraclePolicy struct{ server *serverModel }

func (p *oraclePolicy) announced(time.Time)      {}
func (p *oraclePolicy) finish(time.Time, Sample) {}
func (p *oraclePolicy) limit(time.Time) int      { return int(p.server.bears()) }
