package outcome

import (
	"testing"
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// ran returns a table in which the request ran at start.
func ran(o Options, ref Ref) *Table {
	table := NewTable(o)
	table.Admit(start, ref, print1)
	table.Complete(start, ref, done)
	return table
}

// wantUnknown fails unless the request is answered unknown.
func wantUnknown(t *testing.T, table *Table, now time.Time, ref Ref) {
	t.Helper()
	if d := table.Admit(now, ref, print1); d.Verdict != Answer || d.Answer.Reason != request.MayHaveRun {
		t.Errorf("%+v, want unknown", d)
	}
}

// Guards against a second run of an id from a caller whose clock is ahead: it must be retained until it is too old.
func TestIDAheadIsRetainedLonger(t *testing.T) {
	ref := newRef(start.Add(90*time.Millisecond), 1)
	table := ran(testOptions(), ref)
	now := start.Add(time.Minute + 50*time.Millisecond)
	if n := table.Expire(now, 1); n != 0 {
		t.Error("dropped while its id may still run")
	}
	if d := table.Admit(now, ref, print1); d.Answer.Outcome != request.Done {
		t.Errorf("%+v", d)
	}
}

// Guards against a second run of an id that the shorter retention dropped and the longer one admits, here and after
// a move.
func TestLongerRetention(t *testing.T) {
	ref := newRef(start, 1)
	table := ran(testOptions(), ref)
	now := start.Add(61 * time.Second)
	table.Expire(now, 1)
	table.SetRetention(now, 2*time.Minute)
	wantUnknown(t, table, now, ref)
	now = now.Add(30 * time.Second)
	o := testOptions()
	o.Retention = 3 * time.Minute
	next := NewTable(o)
	next.Import(now, table.Export(now, []keyspace.SliceID{testSlice}))
	wantUnknown(t, next, now, ref)
}

// Guards against a second run after a move to a node with a longer retention or a clock that is behind.
func TestMoveCarriesHorizon(t *testing.T) {
	ref := newRef(start, 1)
	old := ran(testOptions(), ref)
	now := start.Add(61 * time.Second)
	old.Expire(now, 1)
	o := testOptions()
	o.Retention = 2 * time.Minute
	next := NewTable(o)
	next.Import(now, old.Export(now, []keyspace.SliceID{testSlice}))
	wantUnknown(t, next, now, ref)
	behind := NewTable(testOptions())
	behind.Import(now.Add(-2*time.Second), old.Export(now, []keyspace.SliceID{testSlice}))
	wantUnknown(t, behind, now.Add(-2*time.Second), ref)
}

// Guards against an imported outcome that ends before its id is too old at a node with a longer retention.
func TestImportedOutcomeOutlastsItsID(t *testing.T) {
	ref := newRef(start, 1)
	o := testOptions()
	o.Retention = 2 * time.Minute
	next := NewTable(o)
	next.Import(start, ran(testOptions(), ref).Export(start, []keyspace.SliceID{testSlice}))
	now := start.Add(2 * time.Minute)
	next.Expire(now, 1)
	if d := next.Admit(now, ref, print1); d.Answer.Outcome != request.Done {
		t.Errorf("%+v", d)
	}
}

// Guards against a stale "unknown" that hides the outcome which a later owner knows.
func TestImportReplacesUnknown(t *testing.T) {
	ref := newRef(start, 1)
	table := NewTable(testOptions())
	table.Admit(start, ref, print1)
	table.Complete(start, ref, request.Uncertain(request.ConnectionLost, "r"))
	known := ran(testOptions(), ref)
	table.Import(start, known.Export(start, []keyspace.SliceID{testSlice}))
	if d := table.Admit(start, ref, print1); d.Answer.Outcome != request.Done {
		t.Errorf("%+v", d)
	}
	stale := NewTable(testOptions())
	stale.Admit(start, ref, print1)
	table.Import(start, stale.Export(start, []keyspace.SliceID{testSlice}))
	if d := table.Admit(start, ref, print1); d.Answer.Outcome != request.Done {
		t.Errorf("replaced by less: %+v", d)
	}
	if u := table.Usage(); u.Entries != 1 {
		t.Errorf("usage %+v", u)
	}
}
