package outcome

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// Export returns the outcomes of slices for their new owner. A request that is still running is exported as one that
// may have run. The table keeps its entries until Forget, so that a repeated release request gets the same answer.
func (t *Table) Export(now time.Time, slices []keyspace.SliceID) []SliceExport {
	exports := make([]SliceExport, 0, len(slices))
	for _, id := range slices {
		exports = append(exports, t.exportSlice(now, id))
	}
	return exports
}

// exportSlice returns the export of one slice.
func (t *Table) exportSlice(now time.Time, id keyspace.SliceID) SliceExport {
	export := SliceExport{Slice: id, UnknownBefore: later(t.unknownBefore, t.horizon(now))}
	s := t.slices[id]
	if s == nil {
		return export
	}
	export.UnknownBefore = later(export.UnknownBefore, s.unknownBefore)
	export.Outcomes = make([]Retained, 0, len(s.entries))
	for _, e := range s.entries {
		export.Outcomes = append(export.Outcomes, t.exportEntry(now, e))
	}
	slices.SortFunc(export.Outcomes, func(a, b Retained) int { return slices.Compare(a.ID[:], b.ID[:]) })
	return export
}

// exportEntry returns one outcome.
func (t *Table) exportEntry(now time.Time, e *entry) Retained {
	retainedSince, answer := time.Unix(0, e.retainedSince), e.answer()
	if e.running() {
		retainedSince = later(now, IssuedAt(e.key.id))
		answer = request.Uncertain(request.MayHaveRun, "read the key to see whether it ran")
	}
	remaining := retainedSince.Add(t.options.Retention).Sub(now)
	return Retained{Tenant: e.key.tenant, ID: e.key.id, Fingerprint: e.fingerprint, Remaining: remaining, Answer: answer}
}

// Import adds the outcomes that an earlier owner of slices exported. Outcomes that exceed the memory limit become
// unknown.
func (t *Table) Import(now time.Time, exports []SliceExport) {
	for _, export := range exports {
		s := t.slice(export.Slice)
		s.unknownBefore = later(s.unknownBefore, export.UnknownBefore)
		for _, r := range export.Outcomes {
			t.importOutcome(now, s, r)
		}
	}
}

// importOutcome adds one outcome. An existing entry, from an earlier ownership, is only replaced if it is completed and
// does not have the outcome Done.
func (t *Table) importOutcome(now time.Time, s *sliceTable, r Retained) {
	if e := s.entries[entryKey{tenant: r.Tenant, id: r.ID}]; e != nil {
		if e.running() || e.outcome == request.Done {
			return
		}
		t.remove(e)
	}
	if t.bytes+EntryBytes > t.options.MaxBytes {
		s.unknownBefore = later(s.unknownBefore, nextIssueTime(r.ID))
		return
	}
	// The retention and the clock of the earlier owner may differ; the entry must not expire before its id is too old
	// here.
	retainedSince := later(now.Add(r.Remaining-t.options.Retention), IssuedAt(r.ID))
	t.retain(t.addEntry(s, r.Tenant, r.ID, r.Fingerprint), retainedSince, r.Answer)
}

// nextIssueTime returns the earliest issue time after that of id.
func nextIssueTime(id uuid.UUID) time.Time { return IssuedAt(id).Add(time.Millisecond) }
