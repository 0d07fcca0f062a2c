package admission

import "time"

const (
	// minShedRequests and minShedTime are the requests in a row that a backend server must have shed, and the time from the
	// first to the last, before it is left alone. A backend server that is only full sheds some and answers others.
	minShedRequests = 8
	minShedTime     = 100 * time.Millisecond
	// shedProbeInterval is the time between two requests that find out whether the backend server still sheds all.
	shedProbeInterval = 200 * time.Millisecond
	// maxShedRetryAfter bounds the time after which callers are told to return.
	maxShedRetryAfter = 2 * time.Second
)

// ShedGate leaves a backend server alone that sheds every request, except for probes. The zero value is open. It is not
// safe for concurrent use.
type ShedGate struct {
	// count is the number of requests shed in a row, and since the time of the first; closed is set while the backend
	// server is left alone, and probeAt is when the next request is let through.
	count          int
	since, probeAt time.Time
	closed         bool
}

// Record records the result of a request that reached the backend server.
func (g *ShedGate) Record(now time.Time, shed bool) {
	if !shed {
		*g = ShedGate{}
		return
	}
	if g.count++; g.count == 1 {
		g.since = now
	}
	if !g.closed && g.count >= minShedRequests && now.Sub(g.since) >= minShedTime {
		g.closed, g.probeAt = true, now.Add(shedProbeInterval)
	}
}

// Allow reports whether a request may be sent to the backend server.
func (g *ShedGate) Allow(now time.Time) bool {
	if !g.closed {
		return true
	}
	if now.Before(g.probeAt) {
		return false
	}
	g.probeAt = now.Add(shedProbeInterval)
	return true
}

// Closed reports whether the backend server is left alone.
func (g *ShedGate) Closed() bool { return g.closed }

// RetryAfter returns when a refused caller is to return: the longer the backend server has shed, the longer it is
// expected to continue.
func (g *ShedGate) RetryAfter(now time.Time) time.Duration {
	return min(max(now.Sub(g.since), shedProbeInterval), maxShedRetryAfter)
}
