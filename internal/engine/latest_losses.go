package engine

import (
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/ledger"
	"heatherreel/internal/outcome"
)

// lossLocation is where a node was lost. The data centre is empty if it is no longer known.
type lossLocation struct{ service, dataCentre string }

// latestLosses holds when the last node was lost at each location. The lock of the ledger table guards it.
type latestLosses map[lossLocation]time.Time

// add records a loss at the wall clock time of the node that reported it, with an allowance for clock skew, but not
// later than it was read.
func (l *latestLosses) add(location lossLocation, atUnixMS int64, readAt time.Time) {
	if *l == nil {
		*l = latestLosses{}
	}
	at := time.UnixMilli(atUnixMS).Add(outcome.DefaultNodeSkew)
	if at.After(readAt) {
		at = readAt
	}
	if at.After((*l)[location]) {
		(*l)[location] = at
	}
}

// restore records the losses that the state of a checkpoint contains.
func (l *latestLosses) restore(s *ledger.State, now time.Time) {
	for id, g := range s.Groups {
		for i := range g.Slices {
			if at := g.Slices[i].LostUnixMS; at != 0 {
				l.add(lossLocation{service: id.Service}, at, now)
			}
		}
	}
}

// latestEnd returns when the last request of a lost node of the service must have ended. Fences do not stop requests
// for keys that moved to another group, because slices of different groups cannot be compared. So where the in-flight
// bound does not shorten it, the longest deadline applies.
func (l latestLosses) latestEnd(c *config.Configuration, service string) time.Time {
	var latestEnd time.Time
	for location, at := range l {
		if c == nil || location.service != service {
			continue
		}
		s := c.ResolveBackend(service, location.dataCentre)
		bound := s.InFlightBound
		if s.ChecksGrants {
			bound = max(bound, c.LongestDeadline(service))
		}
		if end := at.Add(bound); end.After(latestEnd) {
			latestEnd = end
		}
	}
	return latestEnd
}
