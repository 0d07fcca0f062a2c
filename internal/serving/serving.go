// Package serving decides which slices a node serves at the moment, and when it may release a slice that moved away.
//
// A slice that the ledger assigns to this node passes through three states. It is Waiting while its sources have not
// released it or requests of a lost owner may still be in flight, Granting until the backend server has confirmed the
// grant, and then Serving. A slice that the ledger assigns to another node is Draining until its running requests have
// finished, and is then removed from the table.
package serving

import (
	"slices"
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
)

// State is the state of a slice on this node.
type State uint8

// States of a slice.
const (
	// Waiting means that an earlier owner may still run requests for the slice.
	Waiting State = iota
	// Granting means that the backend server has not confirmed the grant.
	Granting
	// Serving means that requests may begin.
	Serving
	// Draining means that another node owns the slice while requests for it still run here.
	Draining
)

// stateNames are the names of the states that operators see.
var stateNames = [...]string{"waiting", "granting", "serving", "draining"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// OwnedSlice is a slice that the ledger assigns to this node.
type OwnedSlice struct {
	ledger.SliceFence
	// Sources are the earlier owners that have not released the slice.
	Sources []ledger.Incarnation
	// NotBefore is the time until which requests of a lost owner may still be in flight; zero if there is no such
	// owner.
	NotBefore time.Time
}

// slice is the state of one slice.
type slice struct {
	state     State
	fence     ledger.Offset
	sources   []ledger.Incarnation
	notBefore time.Time
	running   int
	// settled states that all sources released the slice to this node and the ledger may not yet record it.
	settled bool
}

// Table holds the state of the slices that a node owns or drains. It is not safe for concurrent use.
type Table struct {
	slices map[keyspace.SliceID]*slice
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{slices: map[keyspace.SliceID]*slice{}} }

// Sync updates the table to the slices that the ledger assigns to this node, and returns the number of slices gained
// and lost.
func (t *Table) Sync(owned []OwnedSlice) (gained, lost int) {
	listed := make(map[keyspace.SliceID]bool, len(owned))
	for _, o := range owned {
		listed[o.Slice] = true
		if t.adopt(o) {
			gained++
		}
	}
	for id, s := range t.slices {
		if listed[id] || s.state == Draining {
			continue
		}
		lost++
		t.drain(id, s)
	}
	return gained, lost
}

// adopt adds or updates an owned slice, and reports whether it is new to this node or has a new fence.
func (t *Table) adopt(o OwnedSlice) bool {
	s := t.slices[o.Slice]
	if s != nil && s.fence == o.Fence && s.state != Draining {
		s.retainSources(o.Sources)
		if s.state == Waiting && o.NotBefore.After(s.notBefore) {
			s.notBefore = o.NotBefore
		}
		return false
	}
	next := &slice{fence: o.Fence, sources: slices.Clone(o.Sources), notBefore: o.NotBefore}
	if s != nil {
		// Requests that began under the earlier fence still run here; they are counted until they finish.
		next.running = s.running
	}
	t.slices[o.Slice] = next
	return true
}

// retainSources removes the sources that the ledger no longer lists. It does not add sources that have already released
// the slice to this node.
func (s *slice) retainSources(listed []ledger.Incarnation) {
	s.sources = slices.DeleteFunc(s.sources, func(i ledger.Incarnation) bool { return !slices.Contains(listed, i) })
}

// drain starts draining a slice, or removes it at once if none of its requests are running.
func (t *Table) drain(id keyspace.SliceID, s *slice) {
	s.state = Draining
	s.sources = nil
	if s.running == 0 {
		delete(t.slices, id)
	}
}

// DrainAll drains all slices, because the incarnation has ended.
func (t *Table) DrainAll() { t.Sync(nil) }

// Advance moves slices from Waiting to Granting if all sources have released them and NotBefore has passed. It reports
// whether any slice changed its state.
func (t *Table) Advance(now time.Time) bool {
	moved := false
	for _, s := range t.slices {
		if s.state == Waiting && len(s.sources) == 0 && !now.Before(s.notBefore) {
			s.state = Granting
			moved = true
		}
	}
	return moved
}

// NextAdvance returns the earliest time at which Advance can move a slice; zero if no slice waits only for its
// NotBefore.
func (t *Table) NextAdvance() time.Time {
	var next time.Time
	for _, s := range t.slices {
		if s.state != Waiting || len(s.sources) > 0 {
			continue
		}
		if next.IsZero() || s.notBefore.Before(next) {
			next = s.notBefore
		}
	}
	return next
}

// Grants returns the slices in the states Granting and Serving, which are the grants of the backend server.
func (t *Table) Grants() []ledger.SliceFence {
	var grants []ledger.SliceFence
	for id, s := range t.slices {
		if s.state == Granting || s.state == Serving {
			grants = append(grants, ledger.SliceFence{Slice: id, Fence: s.fence})
		}
	}
	sortFences(grants)
	return grants
}

// HasGranting reports whether any slice is in the state Granting.
func (t *Table) HasGranting() bool {
	for _, s := range t.slices {
		if s.state == Granting {
			return true
		}
	}
	return false
}

// ConfirmGrants moves the slices whose grants the backend server confirmed from Granting to Serving, and reports
// whether there were any.
func (t *Table) ConfirmGrants(grants []ledger.SliceFence) bool {
	moved := false
	for _, g := range grants {
		if s := t.slices[g.Slice]; s != nil && s.fence == g.Fence && s.state == Granting {
			s.state = Serving
			moved = true
		}
	}
	return moved
}

// Regrant moves all slices from Serving back to Granting, because the backend server is a new one without grants.
func (t *Table) Regrant() {
	for _, s := range t.slices {
		if s.state == Serving {
			s.state = Granting
		}
	}
}

// PendingRelease lists slices that a source has not released.
type PendingRelease struct {
	Source ledger.Incarnation
	Slices []ledger.SliceFence
}

// PendingReleases returns the releases to request from sources, ordered by source and slice.
func (t *Table) PendingReleases() []PendingRelease {
	bySource := map[ledger.Incarnation][]ledger.SliceFence{}
	for id, s := range t.slices {
		if s.state != Waiting {
			continue
		}
		for _, source := range s.sources {
			bySource[source] = append(bySource[source], ledger.SliceFence{Slice: id, Fence: s.fence})
		}
	}
	pending := make([]PendingRelease, 0, len(bySource))
	for source, list := range bySource {
		sortFences(list)
		pending = append(pending, PendingRelease{Source: source, Slices: list})
	}
	slices.SortFunc(pending, func(a, b PendingRelease) int { return int(a.Source) - int(b.Source) })
	return pending
}

// SourceReleased records the slices that a source released.
func (t *Table) SourceReleased(source ledger.Incarnation, released []ledger.SliceFence) {
	for _, r := range released {
		s := t.slices[r.Slice]
		if s == nil || s.fence != r.Fence || s.state != Waiting {
			continue
		}
		s.sources = slices.DeleteFunc(s.sources, func(i ledger.Incarnation) bool { return i == source })
		s.settled = s.settled || len(s.sources) == 0
	}
}

// Settled returns the slices that all sources released to this node and that the ledger does not yet record as settled.
func (t *Table) Settled() []ledger.SliceFence {
	var list []ledger.SliceFence
	for id, s := range t.slices {
		if s.settled && s.state != Draining {
			list = append(list, ledger.SliceFence{Slice: id, Fence: s.fence})
		}
	}
	sortFences(list)
	return list
}

// MarkSettledInLedger records that the ledger lists these slices as settled.
func (t *Table) MarkSettledInLedger(list []ledger.SliceFence) {
	for _, f := range list {
		if s := t.slices[f.Slice]; s != nil && s.fence == f.Fence {
			s.settled = false
		}
	}
}

// Begin starts a request on a slice if the slice is served under the fence, and reports whether it did.
// Each successful Begin must be followed by one Finish.
func (t *Table) Begin(id keyspace.SliceID, fence ledger.Offset) bool {
	s := t.slices[id]
	if s == nil || s.state != Serving || s.fence != fence {
		return false
	}
	s.running++
	return true
}

// Finish ends a request on a slice and reports whether it was the last one of a draining slice.
func (t *Table) Finish(id keyspace.SliceID) bool {
	s := t.slices[id]
	if s == nil || s.running == 0 {
		return false
	}
	s.running--
	if s.state != Draining || s.running > 0 {
		return false
	}
	delete(t.slices, id)
	return true
}

// StateOf returns the state of a slice; ok is false if this node neither owns it nor runs requests for it.
func (t *Table) StateOf(id keyspace.SliceID) (state State, fence ledger.Offset, ok bool) {
	s := t.slices[id]
	if s == nil {
		return 0, 0, false
	}
	return s.state, s.fence, true
}

// Running returns the number of running requests on all slices.
func (t *Table) Running() int {
	n := 0
	for _, s := range t.slices {
		n += s.running
	}
	return n
}

// Releasable returns those of the requested slices for which this node runs no requests and will begin none. The offset
// is the position up to which this node has replayed the log: it cannot release a slice for a move that it has not
// read.
func (t *Table) Releasable(asked []ledger.SliceFence, offset ledger.Offset) []ledger.SliceFence {
	var releasable []ledger.SliceFence
	for _, f := range asked {
		s := t.slices[f.Slice]
		if f.Fence > offset || s != nil && s.blocksRelease() {
			continue
		}
		releasable = append(releasable, f)
	}
	return releasable
}

// blocksRelease reports whether the slice cannot be released because requests run here, this node has not yet read that
// the slice moved away, or it owns the slice again under a later fence.
func (s *slice) blocksRelease() bool { return s.running > 0 || s.state != Draining }

// sortFences sorts a list by slice.
func sortFences(list []ledger.SliceFence) {
	slices.SortFunc(list, func(a, b ledger.SliceFence) int { return a.Slice.Compare(b.Slice) })
}
