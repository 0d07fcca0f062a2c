package callroom

import (
	"math"
	"time"
)

const (
	// maxParents and maxCallsOfParent bound the routes that are known to make calls, and the routes of their calls.
	maxParents       = 32
	maxCallsOfParent = 8
	// parentHalfLife is the time after which an observation counts half in the number of calls of a run.
	parentHalfLife = 15 * time.Second
	// minCallsPerRun is the number of calls of a run from which a route counts as one that makes calls. Lower figures
	// remain from calls that were credited to a wrong parent.
	minCallsPerRun = 0.1
	// minCredit is the number of credited calls from which calls per run count.
	minCredit = 3
	// The part of the parents that is admitted falls by cutFactor at a refused call, at most once in cutInterval. It stays
	// for holdTime after that, and then grows by growthPerSecond: from a twentieth to all in 1.7 s. While all calls are
	// refused, about two calls a second find out whether they are served again, whatever the rate of the parents.
	cutFactor       = 0.5
	cutInterval     = 50 * time.Millisecond
	holdTime        = 200 * time.Millisecond
	growthPerSecond = 2.0
	// minAdmitted is the part of the parents that is admitted in any case: their calls find out whether calls are served
	// again.
	minAdmitted = 0.05
	// resultTime is the time constant of the served share of calls. A parent is refused because of that share only if its
	// chance to succeed is below minParentSuccess: a backend server that sheds a part of its requests at random sheds no
	// smaller part if it gets fewer, and refused parents would then be lost for nothing.
	resultTime       = 500 * time.Millisecond
	minParentSuccess = 0.25
)

// parent is what is known of one route as a route that makes calls.
type parent struct {
	// runs and busy are the number of runs and the seconds that they took; calls are the calls credited to the route, by
	// route of the call. All decay.
	runs, busy float64
	calls      map[string]float64
	// refusal is the fraction of a parent that is to be refused next.
	refusal float64
}

// parentOf returns the record of a route, nil if there are too many.
func (r *Room) parentOf(route string) *parent {
	p := r.parents[route]
	if p == nil && len(r.parents) < maxParents {
		p = &parent{calls: map[string]float64{}}
		r.parents[route] = p
	}
	return p
}

// creditParents divides a call among the routes in progress by the rates at which they have made calls of the route so
// far. Repeated for each call, this converges to the rates that explain the arrivals best.
func (r *Room) creditParents(call string) {
	const prior = 0.5
	weights, sum := make(map[string]float64, len(r.running)), 0.0
	for route, n := range r.running {
		if p := r.parents[route]; p != nil && route != call {
			weights[route] = float64(n) * (p.calls[call] + prior) / (p.busy + prior)
			sum += weights[route]
		}
	}
	for route, weight := range weights {
		p := r.parents[route]
		if _, known := p.calls[call]; known || len(p.calls) < maxCallsOfParent {
			p.calls[call] += weight / sum
		}
	}
}

// endParentWindow adds the busy time of a window and lets observations decay.
func (r *Room) endParentWindow(seconds float64) {
	keep := math.Exp2(-seconds / parentHalfLife.Seconds())
	for route, busy := range r.window.busyByRoute {
		if p := r.parents[route]; p != nil {
			p.busy += busy
		}
	}
	for route, p := range r.parents {
		p.runs *= keep
		p.busy *= keep
		for call := range p.calls {
			p.calls[call] *= keep
			if p.calls[call] < 0.01 {
				delete(p.calls, call)
			}
		}
		if p.runs < 0.01 && r.running[route] == 0 {
			delete(r.parents, route)
		}
	}
}

// CallsPerRun returns how many calls of each route a run of the parent route makes; empty if it makes none.
func (r *Room) CallsPerRun(route string) map[string]float64 {
	p := r.parents[route]
	if p == nil || p.runs < 1 {
		return nil
	}
	found := map[string]float64{}
	for call, n := range p.calls {
		if perRun := n / p.runs; n >= minCredit && perRun >= minCallsPerRun && r.IsCall(call) {
			found[call] = perRun
		}
	}
	return found
}

// callResults is the part of the parents whose calls of one route are expected to be served.
type callResults struct {
	// cutShare is that part at cutAt, the last time that it fell; cutAt is zero before the first time.
	cutShare float64
	cutAt    time.Time
	// served and failed count the recent calls by their result; they decay together.
	served, failed float64
	countedAt      time.Time
}

// record counts the result of a call.
func (c *callResults) record(now time.Time, served bool) {
	keep := math.Exp(-max(0, now.Sub(c.countedAt)).Seconds() / resultTime.Seconds())
	c.served, c.failed, c.countedAt = c.served*keep, c.failed*keep, now
	if served {
		c.served++
	} else {
		c.failed++
	}
}

// servedShare returns the share of the recent calls that were served. It returns to 1 when there are none any more.
func (c *callResults) servedShare(now time.Time) float64 {
	keep := math.Exp(-max(0, now.Sub(c.countedAt)).Seconds() / resultTime.Seconds())
	return (c.served*keep + 1) / ((c.served+c.failed)*keep + 1)
}

// share returns the part of the parents whose calls are expected to be served.
func (c *callResults) share(now time.Time) float64 {
	if c.cutAt.IsZero() {
		return 1
	}
	return math.Min(1, c.cutShare*math.Exp(growthPerSecond*max(0, now.Sub(c.cutAt)-holdTime).Seconds()))
}

// Result is how a call ended.
type Result uint8

// Results of calls.
const (
	// Served means that the call got an answer.
	Served Result = iota
	// Shed means that the backend server of the call refused it, or did not answer in time.
	Shed
	// NoCapacity means that the queue before that backend server refused it, so that fewer calls would be served better.
	NoCapacity
)

// RecordResult records the result of a call of the route.
func (r *Room) RecordResult(now time.Time, route string, result Result) {
	a := r.routes[route]
	if a == nil {
		return
	}
	a.results.record(now, result == Served)
	if result == NoCapacity && now.Sub(a.results.cutAt) >= cutInterval {
		a.results.cutShare, a.results.cutAt = math.Max(minAdmitted, cutFactor*a.results.share(now)), now
	}
}

// AdmitParent reports whether a request of the route is to be admitted. It refuses a part of the requests of a route
// whose calls find no capacity, so that about as many are admitted as can have their calls served, and most of those of
// a route whose calls nearly all fail.
func (r *Room) AdmitParent(now time.Time, route string) bool {
	share, success := 1.0, 1.0
	for call, perRun := range r.CallsPerRun(route) {
		results := &r.routes[call].results
		share = math.Min(share, results.share(now))
		success *= math.Pow(results.servedShare(now), perRun)
	}
	if success < minParentSuccess {
		share = math.Min(share, math.Max(minAdmitted, success/minParentSuccess))
	}
	p := r.parents[route]
	if p == nil || share == 1 {
		return true
	}
	if p.refusal += 1 - share; p.refusal < 1 {
		return true
	}
	p.refusal--
	return false
}
