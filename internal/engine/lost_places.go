package engine

import (
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/ledger"
	"heatherreel/internal/outcome"
)

// lostPlace is where a node was lost. The data centre is empty if it is not known any more.
type lostPlace struct{ service, dataCentre string }

// lostPlaces holds when nodes were last lost. The lock of the ledger table guards it.
type lostPlaces map[lostPlace]time.Time

// note takes in a loss by the wall clock of the node that stated it, but not later than it was read.
func (l *lostPlaces) note(p lostPlace, atUnixMS int64, read time.Time) {
	if *l == nil {
		*l = lostPlaces{}
	}
	at := time.UnixMilli(atUnixMS).Add(outcome.DefaultNodeSkew)
	if at.After(read) {
		at = read
	}
	if at.After((*l)[p]) {
		(*l)[p] = at
	}
}

// restore takes in the losses that a checkpoint tells of.
func (l *lostPlaces) restore(s *ledger.State, now time.Time) {
	for id, g := range s.Groups {
		for i := range g.Slices {
			if at := g.Slices[i].LostUnixMS; at != 0 {
				l.note(lostPlace{service: id.Service}, at, now)
			}
		}
	}
}

// until returns when no request of a lost node of the service can run any more. Fences do not stop requests for keys
// that changed their group, because slices of different groups cannot be compared. So the longest deadline counts where
// the in-flight bound does not shorten it.
func (l lostPlaces) until(c *config.Configuration, service string) time.Time {
	var until time.Time
	for p, at := range l {
		if c == nil || p.service != service {
			continue
		}
		s := c.ResolveBackend(service, p.dataCentre)
		bound := s.InFlightBound
		if s.ChecksGrants {
			bound = max(bound, c.LongestDeadline(service))
		}
		if end := at.Add(bound); end.After(until) {
			until = end
		}
	}
	return until
}
