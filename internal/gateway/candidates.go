package gateway

import (
	"slices"
	"time"

	"heatherreel/internal/choice"
)

// candidateQuery selects the members that may serve a request.
type candidateQuery struct {
	service string
	// homeRegions are the regions that may serve the request, empty for all. scarceRegions are those that are to be
	// left to other requests if possible.
	homeRegions, scarceRegions []string
	evacuated                  map[string]bool
	// tried are the instances that have refused it.
	tried []string
	// transferBytes is the expected size of the request and its answer.
	transferBytes int
}

// candidates returns the members that a query selects.
func (t *memberTable) candidates(q candidateQuery, now time.Time) []choice.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found, shedding []choice.Candidate
	for name, p := range t.peers {
		if p.Service != q.service || !p.Server.Ready || p.Server.Draining || p.Stopping || p.nextProcessWait(now) > 0 || q.evacuated[p.DataCentre] ||
			!regionAllowed(q.homeRegions, p.Region) || slices.Contains(q.tried, name) || now.Before(p.retryAt) {
			continue
		}
		c := choice.Candidate{Instance: name, Distance: t.distance(&p.Member), Load: p.load,
			Age: now.Sub(p.loadReportedAt), Pending: p.pendingRequests, Failures: p.failures, Scarce: slices.Contains(q.scarceRegions, p.Region), Bytes: q.transferBytes}
		if now.Before(p.shedsUntil) {
			shedding = append(shedding, c)
			continue
		}
		found = append(found, c)
	}
	if len(found) == 0 {
		return shedding
	}
	return found
}

// maxShedAvoidance bounds the time for which an instance is avoided whose backend server sheds all requests. The instance
// needs requests as probes to find out that it no longer does.
const maxShedAvoidance = time.Second

// recordShedding records that an instance has refused a request because its backend server sheds all. It seems idle by its
// load reports.
func (t *memberTable) recordShedding(instance string, retryAfter time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[instance]; p != nil {
		p.shedsUntil = now.Add(min(retryAfter, maxShedAvoidance))
	}
}
