package engine

import (
	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
)

// maxEarlierHomes bounds the earlier configurations against which each request is resolved. When there are more, all
// keys count as changed, which is safe and makes them wait with the others.
const maxEarlierHomes = 8

// homesHistory is what a node knows of earlier home regions. The lock of the ledger table guards it.
type homesHistory struct {
	// epoch is the revision that last changed the home regions of any service.
	epoch ledger.Offset
	// earlier are configurations with other home regions that may still matter; all tells that some are missing.
	earlier []*config.Configuration
	all     bool
	// published are the accepted revisions that are not decoded yet, in the order of the log.
	published []*ledger.Revision
	// gap tells that earlier revisions are not known, because a checkpoint replaced the state or a document could not
	// be decoded.
	gap bool
}

// epochFor returns the epoch under which this node resolves requests; zero, which no gate admits, while a revision that
// is older than the node's own join is not in force yet. The other nodes do not ask a node that joined after a revision.
func (h *homesHistory) epochFor(self ledger.Incarnation) ledger.Offset {
	if len(h.published) > 0 && h.published[0].Revision < ledger.Offset(self) {
		return 0
	}
	return h.epoch
}

// follow takes in that next replaces last. last is nil before the first configuration, next if it cannot be decoded.
func (h *homesHistory) follow(last, next *config.Configuration, revision ledger.Offset) {
	switch {
	case next == nil:
		// The earlier configuration stays in force here; the next one that can be decoded counts as a change.
		h.gap = true
	case h.gap:
		h.all, h.gap, h.epoch = true, false, revision
	case last == nil:
		h.epoch = revision
	case !sameHomes(last, next):
		h.epoch = revision
		h.remember(last)
	}
}

// sameHomes reports whether the home regions of all services are decided by the same rules.
func sameHomes(last, next *config.Configuration) bool {
	for _, service := range next.Services() {
		if !last.SameHomes(next, service) {
			return false
		}
	}
	return true
}

// remember keeps an earlier configuration.
func (h *homesHistory) remember(c *config.Configuration) {
	if len(h.earlier) == maxEarlierHomes {
		h.all = true
		return
	}
	h.earlier = append(h.earlier, c)
}

// any reports whether any key may have had other home regions than now.
func (h *homesHistory) any() bool { return h.all || len(h.earlier) > 0 }

// changed reports whether the subject, which has the home regions now, may have had others.
func (h *homesHistory) changed(home keyspace.Home, s config.Subject) bool {
	if h.all {
		return true
	}
	for _, c := range h.earlier {
		if c.Resolve(s).HomeRegions != home {
			return true
		}
	}
	return false
}

// present returns the home regions that keys which were in the group lately have now.
func (h *homesHistory) present(now *config.Configuration, group keyspace.Group) []keyspace.Home {
	if h.all {
		return now.Homes(group.Service)
	}
	var homes []keyspace.Home
	for _, c := range h.earlier {
		homes = append(homes, now.HomesOfKeysFrom(c, group)...)
	}
	return homes
}

// forget drops what no longer matters.
func (h *homesHistory) forget() { h.earlier, h.all = nil, false }
