// Package callroom recognizes calls: requests that the local backend server sends to its node while it executes another
// request, the parent. It also estimates which routes make calls, and decides which parents to refuse because their
// calls are being refused.
//
// Calls carry no mark. They are recognized by when they arrive: a request of a caller arrives at a rate that does not
// depend on what the backend server executes, while the rate of calls is proportional to the number of parents in
// progress. The package does no I/O and reads no clock; callers must serialize access. See docs/design/calls.md.
package callroom

import (
	"math"
	"time"
)

const (
	// maxRoutes bounds the routes for which evidence is kept. Requests of further routes count as requests of callers.
	maxRoutes = 64
	// windowLength is the shortest time over which the arrivals of a route are compared with the requests in progress.
	// The mean of the same window is used, so that changes of load over longer times are no evidence.
	windowLength = time.Second
	// groupTime is the time from another arrival within which an arrival is no evidence. Callers send several requests at
	// once, and the later ones meet the first ones at the backend server; a parent needs longer to send a call.
	groupTime = 3 * time.Millisecond
	// idleCount is added to each number of requests in progress, so that an arrival at an idle backend server has a
	// finite weight.
	idleCount = 0.05
	// recognitionEvidence is the log likelihood ratio from which a route counts as a route of calls. Arrivals that do not
	// depend on the requests in progress reach it with a probability of at most e^-9, about 1 in 8,000.
	recognitionEvidence = 9
	maxEvidence         = 2 * recognitionEvidence
	// maxWindowEvidence bounds the evidence of one window, so that no single burst of a caller is sufficient.
	maxWindowEvidence = 3
	// maxIdlePercent is the highest part of the arrivals, in percent, that may meet an idle backend server. A few calls
	// do, because their parent was canceled. Requests that arrive in groups look like calls otherwise, but the first of
	// a group often meets an idle backend server.
	maxIdlePercent = 2
	// minArrivals is the number of arrivals up to which maxIdlePercent allows none at an idle backend server.
	minArrivals = 8
	// arrivalHalfLife is the time after which an arrival counts half in the share that met an idle backend server.
	arrivalHalfLife = 60 * time.Second
)

// Room is what a node knows of the calls of its local backend server. It is not safe for concurrent use.
type Room struct {
	// running counts the requests in progress at the backend server by route, without those that ended.
	running map[string]int
	total   int
	window  window
	routes  map[string]*arrivals
	parents map[string]*parent
	// arrivedAt is when the last request arrived.
	arrivedAt time.Time
}

// window is the time over which arrivals are compared with the mean number of requests in progress.
type window struct {
	start, updated time.Time
	// busy and busyByRoute are the seconds that requests were in progress, summed over all requests.
	busy        float64
	busyByRoute map[string]float64
}

// arrivals is the evidence on one route.
type arrivals struct {
	// count and logRunning are the arrivals of the window, and the sum of the logarithms of the requests in progress that
	// they met.
	count, logRunning float64
	// evidence is the log likelihood ratio of calls against requests of callers.
	evidence float64
	call     bool
	// total and idle are the arrivals, and those that met an idle backend server; both decay.
	total, idle float64
	// results are those of the recent calls of the route.
	results callResults
}

// New returns a room without evidence.
func New() *Room {
	return &Room{running: map[string]int{}, routes: map[string]*arrivals{}, parents: map[string]*parent{},
		window: window{busyByRoute: map[string]float64{}}}
}

// Begin records that the backend server began to execute a request of the route.
func (r *Room) Begin(now time.Time, route string) {
	r.advance(now)
	r.running[route]++
	r.total++
	if p := r.parentOf(route); p != nil {
		p.runs++
	}
}

// End records that the backend server ended a request of the route.
func (r *Room) End(now time.Time, route string) {
	r.advance(now)
	if r.running[route] == 0 {
		return
	}
	r.total--
	if r.running[route]--; r.running[route] == 0 {
		delete(r.running, route)
	}
}

// Arrive records a request that arrived at the node for the route, and reports whether it is a call.
func (r *Room) Arrive(now time.Time, route string) bool {
	r.advance(now)
	a := r.routes[route]
	if a == nil {
		if len(r.routes) >= maxRoutes {
			return false
		}
		a = &arrivals{}
		r.routes[route] = a
	}
	// Requests of the route itself are left out: they make no calls of their own route, and requests of callers that
	// arrive in groups would otherwise seem to depend on each other.
	others := r.total - r.running[route]
	if now.Sub(r.arrivedAt) >= groupTime {
		a.count++
		a.logRunning += math.Log(float64(others) + idleCount)
		a.total++
		if others == 0 {
			a.idle++
		}
	}
	r.arrivedAt = now
	if !a.call || others == 0 {
		return false
	}
	r.countCall(route)
	return true
}

// IsCall reports whether the route counts as a route of calls.
func (r *Room) IsCall(route string) bool {
	a := r.routes[route]
	return a != nil && a.call
}

// advance integrates the requests in progress up to now and ends the window if it is long enough.
func (r *Room) advance(now time.Time) {
	w := &r.window
	if w.start.IsZero() {
		w.start, w.updated = now, now
	}
	if elapsed := now.Sub(w.updated).Seconds(); elapsed > 0 {
		w.busy += float64(r.total) * elapsed
		for route, n := range r.running {
			w.busyByRoute[route] += float64(n) * elapsed
		}
		r.integrateRuns(elapsed)
		w.updated = now
	}
	if length := w.updated.Sub(w.start); length >= windowLength {
		r.endWindow(length)
	}
}

// endWindow adds the evidence of the window. Given the number of arrivals of a route and the course of the requests in
// progress, the likelihood of the arrival times is the product of n/mean(n) over the arrivals if they are calls, and 1
// if they are independent of it.
func (r *Room) endWindow(length time.Duration) {
	w := &r.window
	seconds := length.Seconds()
	keep := math.Exp2(-seconds / arrivalHalfLife.Seconds())
	for route, a := range r.routes {
		if a.count > 0 {
			mean := (w.busy-w.busyByRoute[route])/seconds + idleCount
			ratio := a.logRunning - a.count*math.Log(mean)
			a.evidence += math.Max(-2*maxWindowEvidence, math.Min(ratio, maxWindowEvidence))
			a.evidence = math.Max(-recognitionEvidence, math.Min(a.evidence, maxEvidence))
		}
		a.count, a.logRunning = 0, 0
		idleAllowed := a.idle*100 <= maxIdlePercent*a.total || a.idle < 1 && a.total < minArrivals
		switch {
		case a.evidence >= recognitionEvidence && idleAllowed:
			a.call = true
		case a.evidence < 0 || a.idle*100 > 2*maxIdlePercent*a.total+100:
			a.call = false
		}
		a.total *= keep
		a.idle *= keep
		if a.total < 0.01 && !a.call {
			delete(r.routes, route)
		}
	}
	r.endParentWindow(seconds)
	*w = window{start: w.updated, updated: w.updated, busyByRoute: map[string]float64{}}
}
