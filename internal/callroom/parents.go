package callroom

import (
	"math"
	"time"
)

const (
	// maxParents and maxCallsOfParent bound the routes that are known to make calls, and the routes of their calls.
	maxParents       = 16
	maxCallsOfParent = 8
	// parentHalfLife is the time after which an observation counts half in the number of calls of a run.
	parentHalfLife = 15 * time.Second
	// minCallsPerRun is the number of calls of a run from which a route counts as one that makes calls. The estimates of
	// routes that make none vary by up to 0.3 on a busy backend server.
	minCallsPerRun = 0.4
	// minCredit is the number of calls during runs of a route from which its calls per run count.
	minCredit = 3
	// solverSweeps is the number of passes in which the rates of the routes are corrected after each window. They start
	// from those of the window before.
	solverSweeps = 20
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
	// runs and busy are the number of runs and the seconds that they took. together is the integral of the product of the
	// runs in progress of this route and another one, and met the sum of those that the calls of a route met. All decay.
	runs, busy    float64
	together, met map[string]float64
	// rate is the number of calls of each route that a run makes in a second.
	rate map[string]float64
	// refusal is the fraction of a parent that is to be refused next.
	refusal float64
}

// parentOf returns the record of a route, nil if there are too many.
func (r *Room) parentOf(route string) *parent {
	p := r.parents[route]
	if p == nil && len(r.parents) < maxParents {
		p = &parent{together: map[string]float64{}, met: map[string]float64{}, rate: map[string]float64{}}
		r.parents[route] = p
	}
	return p
}

// integrateRuns adds the runs in progress for the elapsed seconds.
func (r *Room) integrateRuns(elapsed float64) {
	for route, n := range r.running {
		p := r.parents[route]
		if p == nil {
			continue
		}
		p.busy += float64(n) * elapsed
		for other, m := range r.running {
			if r.parents[other] != nil {
				p.together[other] += float64(n*m) * elapsed
			}
		}
	}
}

// countCall records which runs a call met.
func (r *Room) countCall(call string) {
	for route, n := range r.running {
		p := r.parents[route]
		if p == nil || route == call {
			continue
		}
		if _, known := p.met[call]; known || len(p.met) < maxCallsOfParent {
			p.met[call] += float64(n)
		}
	}
}

// endParentWindow lets observations decay and estimates the rates of calls again.
func (r *Room) endParentWindow(seconds float64) {
	keep := math.Exp2(-seconds / parentHalfLife.Seconds())
	for route, p := range r.parents {
		p.runs *= keep
		p.busy *= keep
		fade(p.together, keep)
		fade(p.met, keep)
		if p.runs < 0.01 && r.running[route] == 0 {
			delete(r.parents, route)
		}
	}
	for call, a := range r.routes {
		if a.call {
			r.solveRates(call)
		}
	}
}

// fade multiplies the values and removes small ones.
func fade(values map[string]float64, keep float64) {
	for key := range values {
		if values[key] *= keep; values[key] < 1e-4 {
			delete(values, key)
		}
	}
}

// solveRates estimates the rates at which the routes make calls of a route, by least squares without negative rates: the
// sum of the runs that the calls met is, for each route, the sum over all routes of their rate times together.
func (r *Room) solveRates(call string) {
	for range solverSweeps {
		for route, p := range r.parents {
			if route == call || p.together[route] == 0 {
				continue
			}
			unexplained := p.met[call]
			for other, q := range r.parents {
				if other != route && other != call {
					unexplained -= q.rate[call] * p.together[other]
				}
			}
			if rate := unexplained / p.together[route]; rate > 0 {
				p.rate[call] = rate
			} else {
				delete(p.rate, call)
			}
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
	for call, rate := range p.rate {
		if perRun := rate * p.busy / p.runs; p.met[call] >= minCredit && perRun >= minCallsPerRun && r.IsCall(call) {
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
