package outcome

import (
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// Table holds the outcomes of the slices that a node owns. It is not safe for concurrent use.
type Table struct {
	options Options
	slices  map[keyspace.SliceID]*sliceTable
	// expiry orders the completed entries by the start of their retention period.
	expiry expiryHeap
	// tenants interns the names of tenants.
	tenants map[string]string
	// unknownBefore is the issue time before which request ids without an entry are unknown, for all slices. It
	// advances when the retention is extended.
	unknownBefore time.Time
	entries       int
	bytes         int64
	trimmed       uint64
}

// sliceTable holds the outcomes of one slice.
type sliceTable struct {
	entries map[entryKey]*entry
	// unknownBefore is the issue time before which request ids without an entry are unknown.
	unknownBefore time.Time
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{options: o, slices: map[keyspace.SliceID]*sliceTable{}, tenants: map[string]string{}}
}

// Usage returns the memory usage.
func (t *Table) Usage() Usage { return Usage{Entries: t.entries, Bytes: t.bytes, Trimmed: t.trimmed} }

// SetRetention changes the retention. When it is extended, ids whose outcomes may have been dropped under the shorter
// retention stay unknown.
func (t *Table) SetRetention(now time.Time, retention time.Duration) {
	if retention > t.options.Retention {
		t.unknownBefore = later(t.unknownBefore, t.horizon(now))
	}
	t.options.Retention = retention
}

// horizon returns the issue time from which on no outcome has been dropped under the current retention.
func (t *Table) horizon(now time.Time) time.Time {
	return now.Add(-t.options.Retention)
}

// MarkUnknown makes the request ids of a slice unknown that an earlier owner may have run before it was lost at lostAt,
// because its outcomes were lost with it.
func (t *Table) MarkUnknown(lostAt time.Time, slice keyspace.SliceID) {
	s := t.slice(slice)
	s.unknownBefore = later(s.unknownBefore, lostAt.Add(t.options.CallerLead+t.options.NodeSkew))
}

// Admit decides whether a request may run. It refuses a request only if no attempt with this id and content has run.
func (t *Table) Admit(now time.Time, ref Ref, f Fingerprint) Decision {
	return t.AdmitAfter(now, time.Time{}, ref, f)
}

// AdmitAfter is like Admit, for a key that other nodes may have served until servedElsewhereUntil and whose outcomes
// there are not known here. If servedElsewhereUntil is zero, it does the same as Admit.
func (t *Table) AdmitAfter(now, servedElsewhereUntil time.Time, ref Ref, f Fingerprint) Decision {
	s := t.slice(ref.Slice)
	if e := s.entries[entryKey{tenant: ref.Tenant, id: ref.ID}]; e != nil {
		return decideRepeated(e, f)
	}
	issued := IssuedAt(ref.ID)
	lost := !servedElsewhereUntil.IsZero() && issued.Before(servedElsewhereUntil.Add(t.options.CallerLead+t.options.NodeSkew))
	if lost || t.mayBeLost(now, s, issued) {
		return answerWith(request.Uncertain(request.MayHaveRun, "read the key to see whether it ran; use a new request id for a new request"))
	}
	if issued.After(now.Add(t.options.CallerLead)) {
		return answerWith(request.Refuse(request.Malformed, "set the caller's clock; the request id is issued in the future"))
	}
	t.Expire(now, expirePerAdmit)
	if t.bytes+t.runningBytes() > t.options.MaxBytes {
		return answerWith(request.Refuse(request.QueueFull, "retry after a pause; the retained outcomes fill their memory"))
	}
	t.addRunning(s, ref, f)
	return Decision{Verdict: Run}
}

// expirePerAdmit is the maximum number of expired outcomes that each Admit removes. Two removals per addition shrink
// the table while it is in use, at bounded cost.
const expirePerAdmit = 2

// decideRepeated returns the decision for a request whose id has an entry.
func decideRepeated(e *entry, f Fingerprint) Decision {
	switch {
	case e.fingerprint != f:
		return answerWith(request.Refuse(request.IDReused, "use a new request id for each request"))
	case e.running():
		return Decision{Verdict: Wait}
	default:
		return answerWith(e.answer())
	}
}

// answerWith returns the decision to give an answer.
func answerWith(a request.Answer) Decision { return Decision{Verdict: Answer, Answer: a} }

// mayBeLost reports whether the outcome of a request id without an entry may have been dropped or lost.
func (t *Table) mayBeLost(now time.Time, s *sliceTable, issued time.Time) bool {
	return issued.Before(t.horizon(now)) || issued.Before(s.unknownBefore) || issued.Before(t.unknownBefore)
}

// Complete records the answer of a running request. The entry of a request that did not run is removed, so that its id
// may run later. It returns false if the request is not running here, for example because Forget dropped its slice.
func (t *Table) Complete(now time.Time, ref Ref, a request.Answer) bool {
	s := t.slices[ref.Slice]
	if s == nil {
		return false
	}
	e := s.entries[entryKey{tenant: ref.Tenant, id: ref.ID}]
	if e == nil || !e.running() {
		return false
	}
	if a.Outcome == request.NotRun {
		t.remove(e)
		return true
	}
	t.bytes -= t.options.AnswerReserve
	t.retain(e, later(now, IssuedAt(ref.ID)), a)
	return true
}

// Expire drops at most limit outcomes whose retention period has passed, and returns how many it dropped.
func (t *Table) Expire(now time.Time, limit int) int {
	horizon := t.horizon(now).UnixNano()
	for n := range limit {
		if len(t.expiry) == 0 || t.expiry[0].retainedSince >= horizon {
			return n
		}
		t.remove(t.expiry[0])
	}
	return limit
}

// Forget drops all data of a slice, after its new owner has imported it.
func (t *Table) Forget(slice keyspace.SliceID) {
	s := t.slices[slice]
	if s == nil {
		return
	}
	for _, e := range s.entries {
		t.remove(e)
	}
	delete(t.slices, slice)
}

// slice returns the table of a slice and creates it if needed.
func (t *Table) slice(id keyspace.SliceID) *sliceTable {
	s := t.slices[id]
	if s == nil {
		s = &sliceTable{entries: map[entryKey]*entry{}}
		t.slices[id] = s
	}
	return s
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
