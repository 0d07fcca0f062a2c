package platformlog_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/ledger"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
)

// startFakeLog serves a fake log on the loopback interface and returns it with a client.
func startFakeLog(t *testing.T) (*fake.Log, *platformlog.Client) {
	t.Helper()
	l := fake.NewLog()
	server := httptest.NewServer(fake.NewLogHandler(l))
	t.Cleanup(server.Close)
	client := platformlog.NewClient(server.URL, "heatherreel")
	t.Cleanup(client.Close)
	return l, client
}

func leaveRecord(id string) *ledger.Record {
	return &ledger.Record{Kind: ledger.KindLeave, ID: id, Leave: &ledger.Leave{Incarnation: 7}}
}

// Guards against records that are changed by encoding and decoding.
func TestAppendedRecordIsReadBack(t *testing.T) {
	_, client := startFakeLog(t)
	ctx := context.Background()
	offset, err := client.Append(ctx, leaveRecord("a"))
	if err != nil || offset != 1 {
		t.Fatalf("Append = %d, %v", offset, err)
	}
	page, err := client.Read(ctx, 1, 10, 0)
	if err != nil || len(page.Entries) != 1 || page.Next != 2 {
		t.Fatalf("Read = %+v, %v", page, err)
	}
	if got := page.Entries[0].Record; got.ID != "a" || got.Leave.Incarnation != 7 {
		t.Fatalf("record = %+v", got)
	}
}

// Guards against reporting an append as failed although only its reply was lost.
func TestLostReplyIsUnavailableAndRecordIsStored(t *testing.T) {
	l, client := startFakeLog(t)
	l.SetFaults(fake.LogFaults{LostReplies: 1})
	_, err := client.Append(context.Background(), leaveRecord("a"))
	if problem.KindOf(err) != problem.Unavailable {
		t.Fatalf("err = %v, want %s", err, string(problem.Unavailable))
	}
	if l.Len() != 1 {
		t.Fatalf("log holds %d records, want 1", l.Len())
	}
}

// Guards against a long poll that misses a record appended while it waits.
func TestLongPollReturnsNewRecord(t *testing.T) {
	l, client := startFakeLog(t)
	go func() { _, _ = l.Append(context.Background(), leaveRecord("a")) }()
	page, err := client.Read(context.Background(), 1, 10, 5*time.Second)
	if err != nil || len(page.Entries) != 1 {
		t.Fatalf("Read = %+v, %v", page, err)
	}
}

// Guards against a reader that mistakes records that are no longer retained for an empty log.
func TestReadBelowEarliestOffsetIsPastRetention(t *testing.T) {
	l, client := startFakeLog(t)
	for range 5 {
		if _, err := l.Append(context.Background(), leaveRecord("a")); err != nil {
			t.Fatal(err)
		}
	}
	l.ApplyRetention(4)
	page, err := client.Read(context.Background(), 1, 10, 0)
	if problem.KindOf(err) != problem.PastRetention || page.Earliest != 4 {
		t.Fatalf("Read = %+v, %v", page, err)
	}
}

// Guards against one malformed record that blocks all readers.
func TestMalformedRecordKeepsItsOffset(t *testing.T) {
	l, client := startFakeLog(t)
	if _, err := l.AppendBytes(context.Background(), []byte("{")); err != nil {
		t.Fatal(err)
	}
	page, err := client.Read(context.Background(), 1, 10, 0)
	if err != nil || len(page.Entries) != 1 || page.Entries[0].Record != nil || page.Next != 2 {
		t.Fatalf("Read = %+v, %v", page, err)
	}
}

// Guards against reporting the outcome of an append as unknown although it was never sent.
func TestUnreachableLogIsNotSent(t *testing.T) {
	server := httptest.NewServer(nil)
	address := server.URL
	server.Close()
	client := platformlog.NewClient(address, "heatherreel")
	_, err := client.Append(context.Background(), leaveRecord("a"))
	if problem.KindOf(err) != problem.NotSent {
		t.Fatalf("err = %v, want %s", err, string(problem.NotSent))
	}
}

// Guards against log traffic that is not counted in the control traffic of a node, or counted without headers.
func TestTrafficCountsBothDirections(t *testing.T) {
	_, client := startFakeLog(t)
	if _, err := client.Append(context.Background(), leaveRecord("a")); err != nil {
		t.Fatal(err)
	}
	sent, received := client.Traffic().Sent.Load(), client.Traffic().Received.Load()
	// The smallest call has a request line and a status line of over 100 bytes, and four segments with 52 bytes of
	// headers each.
	if sent < 200 || sent > 1000 || received < 200 || received > 1000 {
		t.Fatalf("one append: %d bytes sent, %d received", sent, received)
	}
	if _, err := client.Read(context.Background(), 1, 10, 0); err != nil {
		t.Fatal(err)
	}
	if now := client.Traffic().Received.Load(); now <= received {
		t.Fatalf("a read left the count at %d bytes", now)
	}
}
