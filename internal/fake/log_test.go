package fake_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zeebo/errs/v2"

	"heatherreel/internal/fake"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
)

// leaveRecord returns a leave record with the id.
func leaveRecord(id string) *ledger.Record {
	return &ledger.Record{Kind: ledger.KindLeave, ID: id, Leave: &ledger.Leave{Incarnation: 7}}
}

// storedIDs returns the ids of the records that the log holds.
func storedIDs(t *testing.T, l *fake.Log) []string {
	t.Helper()
	page, err := l.Read(context.Background(), 1, 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, e := range page.Entries {
		ids = append(ids, e.Record.ID)
	}
	return ids
}

// Guards against a fake log that applies append faults in the wrong order, or stores a record that a fault should have
// lost. Tests of lost replies would then test something else.
func TestAppendFaultsInOrder(t *testing.T) {
	l := fake.NewLog()
	l.FailNextAppends(fake.LoseRequest, fake.RefuseConnection)
	l.FailNextAppends(fake.LoseReply)
	want := []errs.Tag{problem.Unavailable, problem.NotSent, problem.Unavailable, ""}
	for i, kind := range want {
		_, err := l.Append(context.Background(), leaveRecord(string(rune('a'+i))))
		if problem.KindOf(err) != kind {
			t.Errorf("append %d: error %v, want kind %q", i, err, string(kind))
		}
	}
	if ids := storedIDs(t, l); !slices.Equal(ids, []string{"c", "d"}) {
		t.Errorf("the log holds %v, want c and d", ids)
	}
	if l.AppendCount() != 2 {
		t.Errorf("%d appends took effect, want 2", l.AppendCount())
	}
}

// Guards against an inserted record that is stored after the append that it should precede, or more than once.
func TestInsertedRecordPrecedesNextAppend(t *testing.T) {
	l := fake.NewLog()
	if err := l.InsertBeforeNextAppend(leaveRecord("rival")); err != nil {
		t.Fatal(err)
	}
	l.SetFaults(fake.LogFaults{Down: true})
	if _, err := l.Append(context.Background(), leaveRecord("refused")); problem.KindOf(err) != problem.NotSent {
		t.Errorf("append to a log that is down: %v", err)
	}
	l.SetFaults(fake.LogFaults{})
	for i, id := range []string{"a", "b"} {
		offset, err := l.Append(context.Background(), leaveRecord(id))
		if want := ledger.Offset(i + 2); err != nil || offset != want {
			t.Errorf("append %s = %d, %v; want offset %d", id, offset, err, want)
		}
	}
	if ids := storedIDs(t, l); !slices.Equal(ids, []string{"rival", "a", "b"}) {
		t.Errorf("the log holds %v, want rival, a, b", ids)
	}
}

// Guards against a long poll that returns early or late, or misses a fault that is set while it waits.
func TestLongPollTiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := fake.NewLog()
		began := time.Now()
		if page, err := l.Read(t.Context(), 1, 10, 3*time.Second); err != nil || len(page.Entries) != 0 || page.Next != 1 {
			t.Errorf("empty poll: %+v, %v", page, err)
		}
		if took := time.Since(began); took != 3*time.Second {
			t.Errorf("the poll took %v, want 3s", took)
		}
		time.AfterFunc(time.Second, func() { l.SetFaults(fake.LogFaults{Down: true}) })
		if _, err := l.Read(t.Context(), 1, 10, time.Minute); problem.KindOf(err) != problem.NotSent {
			t.Errorf("poll of a log that goes down: %v", err)
		}
		l.SetFaults(fake.LogFaults{Silent: true})
		time.AfterFunc(time.Second, func() { l.SetFaults(fake.LogFaults{}) })
		began = time.Now()
		if _, err := l.Append(t.Context(), leaveRecord("a")); err != nil || time.Since(began) != time.Second {
			t.Errorf("append to a log that is silent for 1s: %v after %v", err, time.Since(began))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := l.Read(ctx, 2, 10, time.Minute); problem.KindOf(err) != problem.Unavailable {
			t.Errorf("poll whose context ends: %v", err)
		}
	})
}

// Guards against a renamed field that changes the body of PUT /faults of heatherreel-standin.
func TestLogFaultsFieldNames(t *testing.T) {
	const want = `{"Down":true,"Delay":20000000,"LostReplies":2,"Silent":true}`
	got, err := json.Marshal(fake.LogFaults{Down: true, Delay: 20 * time.Millisecond, LostReplies: 2, Silent: true})
	if err != nil || string(got) != want {
		t.Errorf("encoded as %s, %v; want %s", got, err, want)
	}
}
