// Package serving decides which slices a node serves right now, and when it may release one that moved away.
//
// A slice that the ledger gives to this node passes through the states Waiting (sources have not released, or a bound
// for requests still in flight has not passed), Granting (the backend server has not confirmed the grant) and Serving.
// A slice that the ledger takes away is Draining until its running requests have finished, and is then forgotten.
package serving

import (
	"slices"
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
)

// State is how far a slice is.
type State uint8

// States of a slice.
const (
	// Waiting means that an earlier owner may still run requests for the slice.
	Waiting State = iota
	// Granting means that the backend server has not confirmed the grant.
	Granting
	// Serving means that requests may begin.
	Serving
	// Draining means that the slice belongs to another node and requests still run here.
	Draining
)

// stateNames are the names of the states for operators.
var stateNames = [...]string{"waiting", "granting", "serving", "draining"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Owned is a slice that the ledger gives to this node.
type Owned struct {
	ledger.SliceFence
	Sources []ledger.Incarnation
	// NotBefore is the time before which requests of a lost owner may still be in flight; zero if there are none.
	NotBefore time.Time
}

// slice is the state of one slice.
type slice struct {
	state     State
	fence     ledger.Offset
	sources   []ledger.Incarnation
	notBefore time.Time
	running   int
	// settled tells that the sources were cleared here and the ledger may be told.
	settled bool
}

// Table is what a node knows of the slices that it serves or served. It is not safe for concurrent use.
type Table struct {
	slices map[keyspace.SliceID]*slice
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{slices: map[keyspace.SliceID]*slice{}} }

// Sync adopts what the ledger gives to this node. It returns the number of slices gained and lost.
func (t *Table) Sync(owned []Owned) (gained, lost int) {
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

// adopt takes in one owned slice and reports whether this node did not own it under this fence before.
func (t *Table) adopt(o Owned) bool {
	s := t.slices[o.Slice]
	if s != nil && s.fence == o.Fence && s.state != Draining {
		s.keepSources(o.Sources)
		if s.state == Waiting && o.NotBefore.After(s.notBefore) {
			s.notBefore = o.NotBefore
		}
		return false
	}
	next := &slice{fence: o.Fence, sources: slices.Clone(o.Sources), notBefore: o.NotBefore}
	if s != nil {
		// Requests that began under the earlier fence still run here and count until they finish.
		next.running = s.running
	}
	t.slices[o.Slice] = next
	return true
}

// keepSources drops sources that the ledger no longer lists. Sources that released here stay dropped.
func (s *slice) keepSources(listed []ledger.Incarnation) {
	s.sources = slices.DeleteFunc(s.sources, func(i ledger.Incarnation) bool { return !slices.Contains(listed, i) })
}

// drain takes a slice away; it is forgotten at once if nothing runs.
func (t *Table) drain(id keyspace.SliceID, s *slice) {
	s.state = Draining
	s.sources = nil
	if s.running == 0 {
		delete(t.slices, id)
	}
}

// Clear drains all slices; the incarnation has ended.
func (t *Table) Clear() { t.Sync(nil) }

// Advance moves slices from Waiting to Granting when nothing holds them back, and reports whether any moved.
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

// NextAdvance returns when Advance may next move a slice because time has passed; zero if no slice waits for time.
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

// Grants returns the slices that the backend server must know: those in Granting or Serving.
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

// Granting reports whether a slice waits for the backend server to confirm its grant.
func (t *Table) Granting() bool {
	for _, s := range t.slices {
		if s.state == Granting {
			return true
		}
	}
	return false
}

// Granted moves the slices whose grant the backend server confirmed to Serving, and reports whether there were any.
func (t *Table) Granted(grants []ledger.SliceFence) bool {
	moved := false
	for _, g := range grants {
		if s := t.slices[g.Slice]; s != nil && s.fence == g.Fence && s.state == Granting {
			s.state = Serving
			moved = true
		}
	}
	return moved
}

// Regrant moves all served slices back to Granting, because the backend server is a new one.
func (t *Table) Regrant() {
	for _, s := range t.slices {
		if s.state == Serving {
			s.state = Granting
		}
	}
}

// Pending is a source that has not released some slices.
type Pending struct {
	Source ledger.Incarnation
	Slices []ledger.SliceFence
}

// PendingReleases returns what to ask the sources for, ordered by source and slice.
func (t *Table) PendingReleases() []Pending {
	bySource := map[ledger.Incarnation][]ledger.SliceFence{}
	for id, s := range t.slices {
		if s.state != Waiting {
			continue
		}
		for _, source := range s.sources {
			bySource[source] = append(bySource[source], ledger.SliceFence{Slice: id, Fence: s.fence})
		}
	}
	pending := make([]Pending, 0, len(bySource))
	for source, list := range bySource {
		sortFences(list)
		pending = append(pending, Pending{Source: source, Slices: list})
	}
	slices.SortFunc(pending, func(a, b Pending) int { return int(a.Source) - int(b.Source) })
	return pending
}

// SourceReleased takes in the answer of a source.
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

// Settled returns the slices whose sources were cleared here and that the ledger does not know to be settled.
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

// SettledRead notes that the ledger knows these slices to be settled.
func (t *Table) SettledRead(list []ledger.SliceFence) {
	for _, f := range list {
		if s := t.slices[f.Slice]; s != nil && s.fence == f.Fence {
			s.settled = false
		}
	}
}

// Begin starts a request on a slice if it is served under the fence, and reports whether it did.
// Each successful Begin needs one Finish.
func (t *Table) Begin(id keyspace.SliceID, fence ledger.Offset) bool {
	s := t.slices[id]
	if s == nil || s.state != Serving || s.fence != fence {
		return false
	}
	s.running++
	return true
}

// Finish ends a request on a slice and reports whether the last one of a draining slice finished.
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

// StateOf returns the state of a slice; ok is false if this node neither serves it nor runs requests for it.
func (t *Table) StateOf(id keyspace.SliceID) (state State, fence ledger.Offset, ok bool) {
	s := t.slices[id]
	if s == nil {
		return 0, 0, false
	}
	return s.state, s.fence, true
}

// Running returns the number of running requests.
func (t *Table) Running() int {
	n := 0
	for _, s := range t.slices {
		n += s.running
	}
	return n
}

// Releasable returns those of the asked slices for which this node runs nothing and will begin nothing.
// The offset is how far this node has replayed: a move that it has not read cannot be answered.
func (t *Table) Releasable(asked []ledger.SliceFence, offset ledger.Offset) []ledger.SliceFence {
	var free []ledger.SliceFence
	for _, f := range asked {
		s := t.slices[f.Slice]
		if f.Fence > offset || s != nil && s.blocks() {
			continue
		}
		free = append(free, f)
	}
	return free
}

// blocks reports whether the slice cannot be released: requests run here, this node has not yet read that the slice
// moved away, or it owns the slice again under a later fence.
func (s *slice) blocks() bool { return s.running > 0 || s.state != Draining }

// sortFences orders by slice.
func sortFences(list []ledger.SliceFence) {
	slices.SortFunc(list, func(a, b ledger.SliceFence) int { return a.Slice.Compare(b.Slice) })
}
