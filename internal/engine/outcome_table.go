package engine

import (
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/outcome"
	"heatherreel/internal/request"
)

// maxOutcomeBytes bounds the memory of retained outcomes. With 16 MB a node retains about 45,000 of them, 750 a second
// at 60 s; requests beyond that are refused as not run.
const maxOutcomeBytes = 16 << 20

// outcomeTable guards an outcome.Table and holds the callbacks of repeated requests that wait for a running one.
//
// mu guards all fields; it has rank lockorder.Outcomes.
type outcomeTable struct {
	mu      *lockorder.Mutex
	table   *outcome.Table
	waiters map[outcome.Ref][]func(request.Answer)
}

func newOutcomeTable(requestIDSkew time.Duration) *outcomeTable {
	return &outcomeTable{
		mu: lockorder.New(lockorder.Outcomes),
		table: outcome.NewTable(outcome.Options{
			Retention:     outcome.DefaultRetention,
			CallerLead:    requestIDSkew,
			NodeSkew:      outcome.DefaultNodeSkew,
			MaxBytes:      maxOutcomeBytes,
			AnswerReserve: outcome.DefaultAnswerReserve,
		}),
		waiters: map[outcome.Ref][]func(request.Answer){},
	}
}

// admit decides whether a request may run. If the same request is already running, done gets its answer later. Other
// nodes may have run requests for the key until servedElsewhereUntil; it is zero if none did.
func (t *outcomeTable) admit(
	now time.Time, ref outcome.Ref, f outcome.Fingerprint, servedElsewhereUntil time.Time, done func(request.Answer),
) outcome.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.table.AdmitAfter(now, servedElsewhereUntil, ref, f)
	if d.Verdict == outcome.Wait {
		t.waiters[ref] = append(t.waiters[ref], done)
	}
	return d
}

// complete records the answer of a running request and passes it to the repetitions that wait for it.
func (t *outcomeTable) complete(now time.Time, ref outcome.Ref, a request.Answer) {
	t.mu.Lock()
	t.table.Complete(now, ref, a)
	callbacks := t.waiters[ref]
	delete(t.waiters, ref)
	t.mu.Unlock()
	for _, done := range callbacks {
		done(a)
	}
}

func (t *outcomeTable) importAll(now time.Time, exports []outcome.SliceExport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Import(now, exports)
}

func (t *outcomeTable) export(now time.Time, released []ledger.SliceFence) []outcome.SliceExport {
	ids := make([]keyspace.SliceID, 0, len(released))
	for _, f := range released {
		ids = append(ids, f.Slice)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Export(now, ids)
}

func (t *outcomeTable) markUnknown(lostAt time.Time, slice keyspace.SliceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.MarkUnknown(lostAt, slice)
}

func (t *outcomeTable) setRetention(now time.Time, retention time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.SetRetention(now, retention)
}

func (t *outcomeTable) usage() outcome.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Usage()
}
