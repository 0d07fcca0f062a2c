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
}

// share returns the part of the parents whose calls are expected to be served.
func (c *callResults) share(now time.Time) float64 {
	if c.cutAt.IsZero() {
		return 1
	}
	return math.Min(1, c.cutShare*math.Exp(growthPerSecond*max(0, now.Sub(c.cutAt)-holdTime).Seconds()))
}

// RecordRefusal records that a call of the route was refused.
func (r *Room) RecordRefusal(now time.Time, route string) {
	a := r.routes[route]
	if a == nil || now.Sub(a.results.cutAt) < cutInterval {
		return
	}
	a.results.cutShare, a.results.cutAt = math.Max(minAdmitted, cutFactor*a.results.share(now)), now
}

// AdmitParent reports whether a request of the route is to be admitted. It refuses a part of the requests of a route
// whose calls were refused recently, so that about as many are admitted as can have their calls served.
func (r *Room) AdmitParent(now time.Time, route string) bool {
	share := 1.0
	for call := range r.CallsPerRun(route) {
		share = math.Min(share, r.routes[call].results.share(now))
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
