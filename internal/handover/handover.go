// Package handover decides when keys may be served again after a configuration changed their home regions.
//
// The group of a key includes its home regions. A change of the home regions therefore gives the key another owner, and
// each node applies the change at the time when it puts the revision in force. The gate of a node stays closed for such
// keys until each live node of the service has confirmed that the revision is in force there and that it runs no
// request under an earlier one.
package handover

import (
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// Gate blocks keys with changed home regions on one node until the change is complete. It is not safe for concurrent
// use. Create it with NewGate.
//
// An epoch is the revision that last changed the home regions of the service. All revisions from an epoch to the next
// map every key to the same group.
type Gate struct {
	revision, epoch ledger.Offset
	// running is the number of requests that run on this node, by epoch.
	running map[ledger.Offset]int
	// unconfirmed holds the nodes that may still serve under an earlier epoch.
	unconfirmed map[ledger.Incarnation]bool
	// lostRequestsUntil is the time from which on no request of a lost node can be running.
	lostRequestsUntil time.Time
	// openedAt is when the gate opened for the epoch; zero while it is closed.
	openedAt time.Time
}

// NewGate returns a gate without a revision in force.
func NewGate() *Gate {
	return &Gate{running: map[ledger.Offset]int{}, unconfirmed: map[ledger.Incarnation]bool{}}
}

// Adopt puts a revision in force. A new epoch closes the gate until the other nodes of the service have confirmed it.
func (g *Gate) Adopt(revision, epoch ledger.Offset, others []ledger.Incarnation) {
	if revision <= g.revision {
		return
	}
	g.revision = revision
	if epoch <= g.epoch {
		return
	}
	g.epoch, g.openedAt = epoch, time.Time{}
	clear(g.unconfirmed)
	for _, i := range others {
		g.unconfirmed[i] = true
	}
}

// NodeLost records that requests of a lost node of the service may run until the given time.
func (g *Gate) NodeLost(until time.Time) {
	if until.After(g.lostRequestsUntil) {
		g.lostRequestsUntil = until
	}
}

// RetainNodes removes the nodes that are not live from those that must confirm.
func (g *Gate) RetainNodes(live []ledger.Incarnation) {
	for i := range g.unconfirmed {
		if !slices.Contains(live, i) {
			delete(g.unconfirmed, i)
		}
	}
}

// Begin starts a request whose group was determined under an epoch, and reports whether it may run. homesMayHaveChanged
// states that the key may have had other home regions before. Each successful Begin must be followed by one Finish.
func (g *Gate) Begin(epoch ledger.Offset, homesMayHaveChanged bool) bool {
	if epoch == 0 || epoch != g.epoch || homesMayHaveChanged && g.openedAt.IsZero() {
		return false
	}
	g.running[epoch]++
	return true
}

// Finish ends a request and reports whether it was the last one of an earlier epoch.
func (g *Gate) Finish(epoch ledger.Offset) bool {
	g.running[epoch]--
	if g.running[epoch] > 0 {
		return false
	}
	delete(g.running, epoch)
	return epoch != g.epoch && !g.runsEarlierEpoch()
}

// runsEarlierEpoch reports whether a request of an earlier epoch is running.
func (g *Gate) runsEarlierEpoch() bool {
	for epoch := range g.running {
		if epoch != g.epoch {
			return true
		}
	}
	return false
}

// Revision returns the revision in force.
func (g *Gate) Revision() ledger.Offset { return g.revision }

// ConfirmableRevision returns the revision that this node can confirm to other nodes: the revision in force, or zero
// while a request of an earlier epoch is running.
func (g *Gate) ConfirmableRevision() ledger.Offset {
	if g.runsEarlierEpoch() {
		return 0
	}
	return g.revision
}

// Unconfirmed returns the nodes that must still confirm the epoch, in ascending order.
func (g *Gate) Unconfirmed() []ledger.Incarnation {
	list := make([]ledger.Incarnation, 0, len(g.unconfirmed))
	for i := range g.unconfirmed {
		list = append(list, i)
	}
	slices.Sort(list)
	return list
}

// Confirm records the result of ConfirmableRevision on another node. A revision that is later than the one in force on
// this node does not count, because the other node may serve under a later epoch; this node must read that revision
// first.
func (g *Gate) Confirm(i ledger.Incarnation, confirmed ledger.Offset) {
	if confirmed >= g.epoch && confirmed <= g.revision {
		delete(g.unconfirmed, i)
	}
}

// TryOpen opens the gate if all conditions are met, and reports whether it opened it. next is when to call it again if
// only requests of a lost node keep the gate closed; it is zero otherwise.
func (g *Gate) TryOpen(now time.Time) (opened bool, next time.Time) {
	if !g.openedAt.IsZero() || len(g.unconfirmed) > 0 || g.runsEarlierEpoch() {
		return false, time.Time{}
	}
	if now.Before(g.lostRequestsUntil) {
		return false, g.lostRequestsUntil
	}
	g.openedAt = now
	return true, time.Time{}
}

// OpenedAt returns when the gate opened, or zero while it is closed. Request ids that were issued earlier may have run
// on other nodes.
func (g *Gate) OpenedAt() time.Time { return g.openedAt }
