// Package handover decides when keys whose home regions a configuration changed may be served again.
//
// A key's group includes its home regions, so a change of them gives the key another owner at once, on each node when
// that node puts the revision in force. The gate of a node stays closed for such keys until each living node of the
// service stated that it has put the revision in force and runs no request under an earlier one.
package handover

import (
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// Gate is the state of one node. It is not safe for concurrent use. The zero value has no revision in force.
//
// An epoch is the revision that last changed the home regions of the service. All revisions from an epoch to the next
// map every key to the same group.
type Gate struct {
	revision, epoch ledger.Offset
	// running counts the requests that run on this node, by epoch.
	running map[ledger.Offset]int
	// unconfirmed are the nodes that may still serve under an earlier epoch.
	unconfirmed map[ledger.Incarnation]bool
	// lossUntil is when no request of a lost node can run any more.
	lossUntil time.Time
	// opened is when the gate opened for the epoch; zero while it is closed.
	opened time.Time
}

// NewGate returns a gate before the first revision.
func NewGate() *Gate {
	return &Gate{running: map[ledger.Offset]int{}, unconfirmed: map[ledger.Incarnation]bool{}}
}

// Adopt puts a revision in force. A new epoch closes the gate until the other nodes of the service have confirmed.
func (g *Gate) Adopt(revision, epoch ledger.Offset, others []ledger.Incarnation) {
	if revision <= g.revision {
		return
	}
	g.revision = revision
	if epoch <= g.epoch {
		return
	}
	g.epoch, g.opened = epoch, time.Time{}
	clear(g.unconfirmed)
	for _, i := range others {
		g.unconfirmed[i] = true
	}
}

// Lost notes that a node of the service was ended: its requests may run until the given time.
func (g *Gate) Lost(until time.Time) {
	if until.After(g.lossUntil) {
		g.lossUntil = until
	}
}

// Keep drops the nodes that are no longer living from those that must confirm.
func (g *Gate) Keep(living []ledger.Incarnation) {
	for i := range g.unconfirmed {
		if !slices.Contains(living, i) {
			delete(g.unconfirmed, i)
		}
	}
}

// Begin starts a request that was resolved under an epoch, and reports whether it may run. changed tells that the key
// may have had other home regions before. Each successful Begin needs one Finish.
func (g *Gate) Begin(epoch ledger.Offset, changed bool) bool {
	if epoch == 0 || epoch != g.epoch || changed && g.opened.IsZero() {
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
	return epoch != g.epoch && !g.runsEarlier()
}

// runsEarlier reports whether a request of an earlier epoch runs.
func (g *Gate) runsEarlier() bool {
	for epoch := range g.running {
		if epoch != g.epoch {
			return true
		}
	}
	return false
}

// Revision returns the revision in force.
func (g *Gate) Revision() ledger.Offset { return g.revision }

// Statement returns the revision that this node may confirm to others: the one in force, or zero while a request of an
// earlier epoch runs.
func (g *Gate) Statement() ledger.Offset {
	if g.runsEarlier() {
		return 0
	}
	return g.revision
}

// Unconfirmed returns the nodes to ask, in ascending order.
func (g *Gate) Unconfirmed() []ledger.Incarnation {
	list := make([]ledger.Incarnation, 0, len(g.unconfirmed))
	for i := range g.unconfirmed {
		list = append(list, i)
	}
	slices.Sort(list)
	return list
}

// Confirmed takes in the statement of another node. A statement of a later revision than this node's does not count,
// because the other node may serve under a later epoch; this node must read that revision first.
func (g *Gate) Confirmed(i ledger.Incarnation, statement ledger.Offset) {
	if statement >= g.epoch && statement <= g.revision {
		delete(g.unconfirmed, i)
	}
}

// Advance opens the gate if nothing holds it closed, and reports whether it opened now. next is when to look again
// because time has passed; it is zero if the gate does not wait for time alone.
func (g *Gate) Advance(now time.Time) (opened bool, next time.Time) {
	if !g.opened.IsZero() || len(g.unconfirmed) > 0 || g.runsEarlier() {
		return false, time.Time{}
	}
	if now.Before(g.lossUntil) {
		return false, g.lossUntil
	}
	g.opened = now
	return true, time.Time{}
}

// Opened returns when the gate opened. Request ids issued earlier may have run elsewhere. It is zero while the gate is
// closed.
func (g *Gate) Opened() time.Time { return g.opened }
