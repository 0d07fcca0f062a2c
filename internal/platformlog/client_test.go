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

// start serves a fake log on loopback and returns a client of it.
func start(t *testing.T) (*fake.Log, *platformlog.Client) {
	t.Helper()
	l := fake.NewLog()
	server := httptest.NewServer(fake.NewLogHandler(l))
	t.Cleanup(server.Close)
	client := platformlog.NewClient(server.URL, "heatherreel")
	t.Cleanup(client.Close)
	return l, client
}

func leave(id string) *ledger.Record {
	return &ledger.Record{Kind: ledger.KindLeave, ID: id, Leave: &ledger.Leave{Incarnation: 7}}
}

// Guards against records that change on their way through the log.
func TestAppendedRecordIsReadBack(t *testing.T) {
	_, client := start(t)
	ctx := context.Background()
	offset, err := client.Append(ctx, leave("a"))
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

// Guards against taking a lost reply for a failed append.
func TestLostReplyIsUnavailableAndRecordIsStored(t *testing.T) {
	l, client := start(t)
	l.SetFaults(fake.LogFaults{LostReplies: 1})
	_, err := client.Append(context.Background(), leave("a"))
	if problem.KindOf(err) != problem.Unavailable {
		t.Fatalf("err = %v, want %s", err, string(problem.Unavailable))
	}
	if l.Len() != 1 {
		t.Fatalf("log holds %d records, want 1", l.Len())
	}
}

// Guards against a long poll that misses a record appended while it waits.
func TestLongPollReturnsNewRecord(t *testing.T) {
	l, client := start(t)
	go func() { _, _ = l.Append(context.Background(), leave("a")) }()
	page, err := client.Read(context.Background(), 1, 10, 5*time.Second)
	if err != nil || len(page.Entries) != 1 {
		t.Fatalf("Read = %+v, %v", page, err)
	}
}

// Guards against a reader that treats forgotten records as an empty log.
func TestReadBeforeRetentionIsForgotten(t *testing.T) {
	l, client := start(t)
	for range 5 {
		if _, err := l.Append(context.Background(), leave("a")); err != nil {
			t.Fatal(err)
		}
	}
	l.Forget(4)
	page, err := client.Read(context.Background(), 1, 10, 0)
	if problem.KindOf(err) != problem.Forgotten || page.Earliest != 4 {
		t.Fatalf("Read = %+v, %v", page, err)
	}
}

// Guards against one malformed record that stops every reader.
func TestMalformedRecordKeepsItsOffset(t *testing.T) {
	l, client := start(t)
	if _, err := l.AppendBytes(context.Background(), []byte("{")); err != nil {
		t.Fatal(err)
	}
	page, err := client.Read(context.Background(), 1, 10, 0)
	if err != nil || len(page.Entries) != 1 || page.Entries[0].Record != nil || page.Next != 2 {
		t.Fatalf("Read = %+v, %v", page, err)
	}
}

// Guards against calling an append unknown that was never sent.
func TestUnreachableLogIsNotSent(t *testing.T) {
	server := httptest.NewServer(nil)
	address := server.URL
	server.Close()
	client := platformlog.NewClient(address, "heatherreel")
	_, err := client.Append(context.Background(), leave("a"))
	if problem.KindOf(err) != problem.NotSent {
		t.Fatalf("err = %v, want %s", err, string(problem.NotSent))
	}
}

// Guards against log traffic that is missing from the control bytes of a node, or counted without headers.
func TestTrafficCountsBothDirections(t *testing.T) {
	_, client := start(t)
	if _, err := client.Append(context.Background(), leave("a")); err != nil {
		t.Fatal(err)
	}
	sent, received := client.Traffic().Sent.Load(), client.Traffic().Received.Load()
	// The smallest call has a request line and a status line of over 100 bytes and four segments of 52 bytes.
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
