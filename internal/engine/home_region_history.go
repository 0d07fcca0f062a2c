package engine

import (
	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
)

// maxEarlierHomes bounds the earlier configurations against which each request is resolved. If there are more, all keys
// count as changed. That is safe; it makes unaffected keys wait as well.
const maxEarlierHomes = 8

// homeRegionHistory is what a node knows of earlier home regions. The lock of the ledger table guards it.
type homeRegionHistory struct {
	// epoch is the latest revision that changed the home regions of any service.
	epoch ledger.Offset
	// earlier are configurations with other home regions that may still matter. If incomplete is set, some are missing.
	earlier    []*config.Configuration
	incomplete bool
	// undecoded are the accepted revisions that are not yet decoded, in log order.
	undecoded []*ledger.Revision
	// revisionsMissing is set if earlier revisions are unknown, because a checkpoint replaced the state or a document
	// could not be decoded.
	revisionsMissing bool
}

// epochFor returns the epoch under which this node resolves requests. It is zero, which no gate admits, while a
// revision that is older than the node's own join is not in force yet: other nodes do not ask a node that joined after
// a revision to confirm it.
func (h *homeRegionHistory) epochFor(self ledger.Incarnation) ledger.Offset {
	if len(h.undecoded) > 0 && h.undecoded[0].Revision < ledger.Offset(self) {
		return 0
	}
	return h.epoch
}

// recordChange records that the configuration next replaces last. last is nil before the first configuration; next is
// nil if it cannot be decoded.
func (h *homeRegionHistory) recordChange(last, next *config.Configuration, revision ledger.Offset) {
	switch {
	case next == nil:
		// The previous configuration stays in force on this node; the next one that can be decoded counts as a change.
		h.revisionsMissing = true
	case h.revisionsMissing:
		h.incomplete, h.revisionsMissing, h.epoch = true, false, revision
	case last == nil:
		h.epoch = revision
	case !sameHomeRegions(last, next):
		h.epoch = revision
		h.addEarlier(last)
	}
}

// sameHomeRegions reports whether two configurations have the same home region rules for all services of next.
func sameHomeRegions(last, next *config.Configuration) bool {
	for _, service := range next.Services() {
		if !last.SameHomeRules(next, service) {
			return false
		}
	}
	return true
}

// addEarlier keeps an earlier configuration.
func (h *homeRegionHistory) addEarlier(c *config.Configuration) {
	if len(h.earlier) == maxEarlierHomes {
		h.incomplete = true
		return
	}
	h.earlier = append(h.earlier, c)
}

// anyMayHaveChanged reports whether any key may have had other home regions before.
func (h *homeRegionHistory) anyMayHaveChanged() bool { return h.incomplete || len(h.earlier) > 0 }

// homesMayHaveChanged reports whether the subject, whose home regions are home now, may have had others before.
func (h *homeRegionHistory) homesMayHaveChanged(home keyspace.Home, s config.Subject) bool {
	if h.incomplete {
		return true
	}
	for _, c := range h.earlier {
		if c.Resolve(s).HomeRegions != home {
			return true
		}
	}
	return false
}

// currentHomesOf returns the current home regions of the keys that were recently in the group.
func (h *homeRegionHistory) currentHomesOf(current *config.Configuration, group keyspace.Group) []keyspace.Home {
	if h.incomplete {
		return current.Homes(group.Service)
	}
	var homes []keyspace.Home
	for _, c := range h.earlier {
		homes = append(homes, current.HomesOfEarlierGroup(c, group)...)
	}
	return homes
}

// reset drops the earlier configurations.
func (h *homeRegionHistory) reset() { h.earlier, h.incomplete = nil, false }
