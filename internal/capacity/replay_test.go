package capacity

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heatherreel/internal/limit"
)

var start = time.UnixMilli(1_700_000_000_000)

const ms = time.Millisecond

// server is a simulated backend server.
type server struct {
	slots int
	work  time.Duration
	sigma float64
	// slowness is the factor of the service time of a request that begins with n in progress, t after the start.
	slowness func(n int, t time.Duration) float64
	// failing is the fraction of the requests that are answered with an error after 2 ms; abandoned is the fraction whose
	// caller leaves after a quarter of the service time. Both may be nil.
	failing, abandoned func(t time.Duration) float64
	// shedding is whether the server sheds all requests at a time; it may be nil.
	shedding func(t time.Duration) bool
}

// policy limits the concurrency and learns from requests that end.
type policy interface {
	limit(now time.Time) int
	observe(now time.Time, s Sample)
}

// learned is the estimator.
type learned struct{ *Estimator }

func (p learned) limit(now time.Time) int         { return p.Limit(now) }
func (p learned) observe(now time.Time, s Sample) { p.Observe(now, s) }

// fixed is a policy with a constant limit.
type fixed int

func newFixed(slots int) policy { return fixed(slots) }

func (p fixed) limit(time.Time) int       { return int(p) }
func (p fixed) observe(time.Time, Sample) {}

// halving is the limit of package limit, which falls whenever requests become slow.
type halving struct{ *limit.Limiter }

func (p halving) limit(time.Time) int { return p.Limit() }
func (p halving) observe(now time.Time, s Sample) {
	if !s.Failed {
		p.Finish(now, limit.Sample{Result: s.Result, Begun: s.Began, Running: s.RunningAtEnd})
	}
}

func newHalving(slots int) policy {
	l := limit.New()
	l.SetMaxLimit(start, slots)
	return halving{l}
}

func newLearned(slots int) policy {
	e := New()
	e.SetSlots(slots)
	return learned{e}
}

// result is the result of a replay.
type result struct {
	// onTime is the fraction of the requests that is answered within the target.
	onTime float64
	// meanLimit is the mean limit of the second half.
	meanLimit float64
}

// replay offers requests at a multiple of the rate that all slots serve at the usual speed for 60 s. A request that
// waits for longer than half of its target is refused. The result is the mean of 8 replays.
func replay(s server, p func(slots int) policy, load float64, target time.Duration) result {
	var mean result
	const seeds = 8
	for seed := range uint64(seeds) {
		r := replaySeed(s, p(s.slots), load, target, seed)
		mean.onTime += r.onTime / seeds
		mean.meanLimit += r.meanLimit / seeds
	}
	return mean
}

// replaySeed makes one replay.
func replaySeed(s server, p policy, load float64, target time.Duration, seed uint64) result {
	type running struct {
		sample  Sample
		arrived time.Time
		end     time.Time
		left    bool
	}
	random := rand.New(rand.NewPCG(seed, 12))
	var waiting []time.Time
	var inProgress []running
	offered, onTime, limits := 0, 0, 0
	for tick := range 60_000 {
		t := time.Duration(tick) * ms
		now := start.Add(t)
		for i := 0; i < len(inProgress); {
			r := inProgress[i]
			if r.end.After(now) {
				i++
				continue
			}
			r.sample.RunningAtEnd = len(inProgress)
			inProgress = slices.Delete(inProgress, i, i+1)
			p.observe(now, r.sample)
			if !r.left && !r.sample.Failed && now.Sub(r.arrived) <= target {
				onTime++
			}
		}
		if random.Float64() < load*float64(s.slots)/float64(s.work/ms) {
			offered++
			waiting = append(waiting, now)
		}
		for len(waiting) > 0 && now.Sub(waiting[0]) > target/2 {
			waiting = waiting[1:]
		}
		bound := p.limit(now)
		if tick >= 30_000 {
			limits += bound
		}
		for len(waiting) > 0 && len(inProgress) < bound {
			n := len(inProgress) + 1
			took := float64(s.work) * s.slowness(n, t) * math.Exp(s.sigma*random.NormFloat64()-s.sigma*s.sigma/2)
			r := running{sample: Sample{Route: "r", Began: now, RunningAtBegin: n}, arrived: waiting[0], end: now.Add(time.Duration(took))}
			if s.shedding != nil && s.shedding(t) {
				r.sample.Result, r.left, r.end = limit.Shed, true, now.Add(2*ms)
			} else if s.failing != nil && random.Float64() < s.failing(t) {
				r.sample.Failed, r.end = true, now.Add(2*ms)
			} else if s.abandoned != nil && random.Float64() < s.abandoned(t) {
				r.sample.Result, r.left, r.end = limit.TimedOut, true, now.Add(time.Duration(took/4))
			}
			waiting = waiting[1:]
			inProgress = append(inProgress, r)
		}
	}
	return result{onTime: float64(onTime) / float64(offered), meanLimit: float64(limits) / 30_000}
}

// constant returns a slowness that does not depend on the concurrency.
func constant(int, time.Duration) float64 { return 1 }

// slowFromTwoThirds returns the slowness of a server that takes up to four times as long when it is full.
func slowFromTwoThirds(slots int) func(int, time.Duration) float64 {
	return func(n int, _ time.Duration) float64 {
		return 1 + 9*max(0, float64(n)/float64(slots)-2.0/3)
	}
}

// shared is slow by a factor of three in a random fifth of the steps of 400 ms.
func shared(_ int, t time.Duration) float64 {
	if (t/(400*ms)*2654435761)%4294967296%5 == 0 {
		return 3
	}
	return 1
}

// slowPeriod is slow by a factor of five for 6 s.
func slowPeriod(_ int, t time.Duration) float64 {
	if t >= 34*time.Second && t < 40*time.Second {
		return 5
	}
	return 1
}

// Guards against a limit that stays at the slots of a server that becomes slow long before it is full.
func TestServerThatSlowsDownBeforeItIsFull(t *testing.T) {
	for _, slots := range []int{6, 12} {
		for _, load := range []float64{0.6, 0.9, 1.5} {
			s := server{slots: slots, work: 140 * ms, sigma: 0.3, slowness: slowFromTwoThirds(slots)}
			plain, got := replay(s, newFixed, load, 500*ms), replay(s, newLearned, load, 500*ms)
			t.Logf("%d slots, load %.1f: on time %.3f with limit %.1f, all slots %.3f", slots, load, got.onTime, got.meanLimit, plain.onTime)
			if got.onTime <= plain.onTime {
				t.Errorf("%d slots, load %.1f: on time %.3f, with all slots %.3f", slots, load, got.onTime, plain.onTime)
			}
		}
	}
}

// Guards against a limit that falls although the concurrency is not the cause: on a steady server, on a machine that is
// shared, in a slow period, with failures, with callers that leave early, and after all was shed. A limit that follows the latency falls.
func TestLimitStaysWhereConcurrencyIsNotTheCause(t *testing.T) {
	some := func(part float64) func(time.Duration) float64 { return func(time.Duration) float64 { return part } }
	for name, s := range map[string]server{
		"steady":      {slowness: constant},
		"shared":      {slowness: shared},
		"slow period": {slowness: slowPeriod},
		"failing":     {slowness: constant, failing: some(0.3)},
		"abandoned":   {slowness: constant, abandoned: some(0.3)},
		"shedding": {slowness: constant, shedding: func(t time.Duration) bool {
			return t >= 30*time.Second && t < 38500*ms
		}},
	} {
		for _, slots := range []int{6, 12} {
			for _, load := range []float64{0.8, 1.4} {
				s.slots, s.work, s.sigma = slots, 140*ms, 0.3
				got, plain := replay(s, newLearned, load, 500*ms), replay(s, newHalving, load, 500*ms)
				all := replay(s, newFixed, load, 500*ms)
				t.Logf("%s, %d slots, load %.1f: on time %.3f with limit %.1f; by latency %.3f with %.1f; all slots %.3f", name, slots, load,
					got.onTime, got.meanLimit, plain.onTime, plain.meanLimit, all.onTime)
				if got.onTime < all.onTime-0.02 {
					t.Errorf("%s, %d slots, load %.1f: on time %.3f, with all slots %.3f", name, slots, load, got.onTime, all.onTime)
				}
				if got.onTime < plain.onTime-0.01 {
					t.Errorf("%s, %d slots, load %.1f: on time %.3f, by latency %.3f", name, slots, load, got.onTime, plain.onTime)
				}
			}
		}
	}
}

// Guards against a limit below 2 or above the slots, and against state that grows with the number of routes.
func TestBounds(t *testing.T) {
	e := New()
	if e.Observe(start, Sample{Began: start.Add(-ms), RunningAtBegin: 1, RunningAtEnd: 1}) || e.Limit(start) != 0 {
		t.Error("a limit without slots")
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * 10 * ms)
		if i%500 == 0 {
			e.SetSlots(random.IntN(20))
		}
		e.Observe(now, Sample{Route: string(rune('a' + i%200)), Began: now.Add(-time.Duration(random.IntN(2000)) * ms),
			Result: limit.Result(random.IntN(3)), RunningAtBegin: random.IntN(30), RunningAtEnd: random.IntN(30)})
		if got := e.Limit(now); got > e.slots || e.Measured() < min(limit.Initial, e.slots) {
			t.Fatalf("limit %d, measured %d, %d slots", got, e.Measured(), e.slots)
		}
	}
	if len(e.routes) > maxRoutes {
		t.Errorf("%d routes", len(e.routes))
	}
}
