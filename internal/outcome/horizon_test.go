package outcome

import (
	"testing"
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// tableAfterRun returns a table in which the request ran at start.
func tableAfterRun(o Options, ref Ref) *Table {
	table := NewTable(o)
	table.Admit(start, ref, fingerprint1)
	table.Complete(start, ref, doneAnswer)
	return table
}

// wantUnknown fails the test unless the request is answered with "unknown".
func wantUnknown(t *testing.T, table *Table, now time.Time, ref Ref) {
	t.Helper()
	if d := table.Admit(now, ref, fingerprint1); d.Verdict != Answer || d.Answer.Reason != request.MayHaveRun {
		t.Errorf("%+v, want unknown", d)
	}
}

// Guards against a second run of a request whose id was issued by a caller with a clock that is ahead: the outcome must
// be retained until the id is too old.
func TestFutureIDIsRetainedLonger(t *testing.T) {
	ref := newRef(start.Add(90*time.Millisecond), 1)
	table := tableAfterRun(testOptions(), ref)
	now := start.Add(time.Minute + 50*time.Millisecond)
	if n := table.Expire(now, 1); n != 0 {
		t.Error("dropped while its id may still run")
	}
	if d := table.Admit(now, ref, fingerprint1); d.Answer.Outcome != request.Done {
		t.Errorf("%+v", d)
	}
}

// Guards against a second run of a request whose outcome was dropped under a shorter retention and whose id is admitted
// under a longer one, at the same node and after a move.
func TestLongerRetention(t *testing.T) {
	ref := newRef(start, 1)
	table := tableAfterRun(testOptions(), ref)
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

// Guards against a second run of a request after a move to a node with a longer retention or a clock that is behind.
func TestMoveTransfersHorizon(t *testing.T) {
	ref := newRef(start, 1)
	old := tableAfterRun(testOptions(), ref)
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

// Guards against an imported outcome that expires before its id is too old at a node with a longer retention.
func TestImportedOutcomeIsRetainedUntilIDIsTooOld(t *testing.T) {
	ref := newRef(start, 1)
	o := testOptions()
	o.Retention = 2 * time.Minute
	next := NewTable(o)
	next.Import(start, tableAfterRun(testOptions(), ref).Export(start, []keyspace.SliceID{testSlice}))
	now := start.Add(2 * time.Minute)
	next.Expire(now, 1)
	if d := next.Admit(now, ref, fingerprint1); d.Answer.Outcome != request.Done {
		t.Errorf("%+v", d)
	}
}

// Guards against an outdated "unknown" that hides the outcome known to a later owner.
func TestImportReplacesUnknown(t *testing.T) {
	ref := newRef(start, 1)
	table := NewTable(testOptions())
	table.Admit(start, ref, fingerprint1)
	table.Complete(start, ref, request.Uncertain(request.ConnectionLost, "r"))
	known := tableAfterRun(testOptions(), ref)
	table.Import(start, known.Export(start, []keyspace.SliceID{testSlice}))
	if d := table.Admit(start, ref, fingerprint1); d.Answer.Outcome != request.Done {
		t.Errorf("%+v", d)
	}
	stale := NewTable(testOptions())
	stale.Admit(start, ref, fingerprint1)
	table.Import(start, stale.Export(start, []keyspace.SliceID{testSlice}))
	if d := table.Admit(start, ref, fingerprint1); d.Answer.Outcome != request.Done {
		t.Errorf("a known outcome was replaced by an unknown one: %+v", d)
	}
	if u := table.Usage(); u.Entries != 1 {
		t.Errorf("usage %+v", u)
	}
}
