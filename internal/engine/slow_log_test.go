package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/ledger"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
)

// slowUploadLog is a log behind a link on which a record takes uploadTime.
type slowUploadLog struct {
	platformlog.Log
	uploadTime time.Duration
	appends    atomic.Int32
}

func (l *slowUploadLog) Append(ctx context.Context, r *ledger.Record) (ledger.Offset, error) {
	l.appends.Add(1)
	if !sleep(ctx, l.uploadTime) {
		return 0, ctx.Err()
	}
	return l.Log.Append(ctx, r)
}

// Guards against a record that is given up and sent again while it is on a slow link, so that its copies keep the link
// full and none arrives.
func TestSlowAppendIsNotRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		stored := fake.NewLog()
		log := &slowUploadLog{Log: stored, uploadTime: 4 * time.Second}
		e := newUnstartedEngine(t, log)
		defer e.Close()
		e.propose(&proposal{
			purpose: purposeLeave,
			record:  &ledger.Record{Kind: ledger.KindLeave, ID: "r", Leave: &ledger.Leave{Incarnation: 7}},
			done:    func(ledger.Offset, ledger.Rejection) {},
		})
		<-time.After(5 * time.Second)
		if n := log.appends.Load(); n != 1 || stored.Len() != 1 {
			t.Errorf("the record was sent %d times and stored %d times within 5 s, want once", n, stored.Len())
		}
	})
}

// largeRecordsLog is a log of which a page may have at most maxRecords records, as they are large.
type largeRecordsLog struct {
	*fake.Log
	maxRecords int
}

func (l largeRecordsLog) Read(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (platformlog.Page, error) {
	page, err := l.Log.Read(ctx, from, max, wait)
	if err == nil && len(page.Entries) > l.maxRecords {
		return platformlog.Page{}, problem.New(problem.TooLarge, "read fewer records at once", "the page is too large")
	}
	return page, err
}

// Guards against a node that reads the same page again and again and gets no further, because its records are too large
// for one reply.
func TestLargePageIsReadInParts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const records = 3 * maxPageRecords
		log := largeRecordsLog{Log: fake.NewLog(), maxRecords: 10}
		for range records {
			if _, err := log.Append(t.Context(), &ledger.Record{Kind: ledger.KindLeave, ID: "r", Leave: &ledger.Leave{Incarnation: 7}}); err != nil {
				t.Fatal(err)
			}
		}
		e := newUnstartedEngine(t, log)
		e.Start()
		defer e.Close()
		<-time.After(5 * time.Second)
		if offset := e.ledger.offset(); offset != records {
			t.Errorf("the node has read up to offset %d of %d after 5 s", offset, records)
		}
	})
}

// slowReadLog is a log whose pages take readTime, but at which records arrive at once.
type slowReadLog struct {
	*fake.Log
	readTime time.Duration
}

func (l slowReadLog) Read(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (platformlog.Page, error) {
	if !sleep(ctx, l.readTime) {
		return platformlog.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, from, max, wait)
}

// Guards against a stored record that is sent again and again because its sender is still reading the records before it,
// so that all nodes read each copy.
func TestStoredRecordIsNotRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		log := slowReadLog{Log: fake.NewLog(), readTime: 18 * time.Second}
		e := newUnstartedEngine(t, log)
		e.Start()
		defer e.Close()
		decided := make(chan struct{})
		e.propose(&proposal{
			purpose: purposeLeave,
			record:  &ledger.Record{Kind: ledger.KindLeave, ID: "r", Leave: &ledger.Leave{Incarnation: 7}},
			done:    func(ledger.Offset, ledger.Rejection) { close(decided) },
		})
		<-decided
		if n := log.Len(); n != 1 {
			t.Errorf("the log holds the record %d times, want once", n)
		}
	})
}
