package outcome

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// Export returns what the new owner of each slice must know. A request that is still running is stated as one that
// may have run. The table keeps its entries, so that a release can be answered again, until Forget.
func (t *Table) Export(now time.Time, slices []keyspace.SliceID) []SliceExport {
	exports := make([]SliceExport, 0, len(slices))
	for _, id := range slices {
		exports = append(exports, t.exportSlice(now, id))
	}
	return exports
}

// exportSlice returns what is known of one slice.
func (t *Table) exportSlice(now time.Time, id keyspace.SliceID) SliceExport {
	out := SliceExport{Slice: id, UnknownBefore: later(t.unknownBefore, t.horizon(now))}
	s := t.slices[id]
	if s == nil {
		return out
	}
	out.UnknownBefore = later(out.UnknownBefore, s.unknownBefore)
	out.Outcomes = make([]Retained, 0, len(s.entries))
	for _, e := range s.entries {
		out.Outcomes = append(out.Outcomes, t.exportEntry(now, e))
	}
	slices.SortFunc(out.Outcomes, func(a, b Retained) int { return slices.Compare(a.ID[:], b.ID[:]) })
	return out
}

// exportEntry returns one outcome.
func (t *Table) exportEntry(now time.Time, e *entry) Retained {
	since, answer := time.Unix(0, e.since), e.answer()
	if e.running() {
		since = later(now, IssuedAt(e.key.id))
		answer = request.Uncertain(request.MayHaveRun, "read the key to see whether it ran")
	}
	remaining := since.Add(t.options.Retention).Sub(now)
	return Retained{Tenant: e.key.tenant, ID: e.key.id, Fingerprint: e.fingerprint, Remaining: remaining, Answer: answer}
}

// Import adds what an earlier owner of slices knows. Outcomes for which there is no room become unknown.
func (t *Table) Import(now time.Time, exports []SliceExport) {
	for _, export := range exports {
		s := t.slice(export.Slice)
		s.unknownBefore = later(s.unknownBefore, export.UnknownBefore)
		for _, r := range export.Outcomes {
			t.importOutcome(now, s, r)
		}
	}
}

// importOutcome adds one outcome. An entry that is known here, from an earlier ownership, stays unless it knows less.
func (t *Table) importOutcome(now time.Time, s *sliceTable, r Retained) {
	if e := s.entries[entryKey{tenant: r.Tenant, id: r.ID}]; e != nil {
		if e.running() || e.outcome == request.Done {
			return
		}
		t.remove(e)
	}
	if t.bytes+EntryBytes > t.options.MaxBytes {
		s.unknownBefore = later(s.unknownBefore, afterIssue(r.ID))
		return
	}
	// Retention and clock of the earlier owner may differ; the entry must not end before its id is too old here.
	since := later(now.Add(r.Remaining-t.options.Retention), IssuedAt(r.ID))
	t.retain(t.add(s, r.Tenant, r.ID, r.Fingerprint), since, r.Answer)
}

// afterIssue returns the first time of issue after that of id.
func afterIssue(id uuid.UUID) time.Time { return IssuedAt(id).Add(time.Millisecond) }
