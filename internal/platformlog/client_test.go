package platformlog_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeebo/errs/v2"

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

// startServer serves the handler on the loopback interface and returns a client of it.
func startServer(t *testing.T, handler http.HandlerFunc) *platformlog.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := platformlog.NewClient(server.URL, "heatherreel")
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// Guards against a read that is given up and begun again while its page arrives slowly: all nodes of a region read a new
// record at once over one link, and reads that are repeated keep the link full.
func TestSlowPageIsNotRestarted(t *testing.T) {
	t.Parallel()
	const chunks, interval = 15, 200 * time.Millisecond
	record, err := json.Marshal(leaveRecord("a"))
	if err != nil {
		t.Fatal(err)
	}
	requests := 0
	client := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		requests++
		page, err := json.Marshal(map[string]any{"records": []map[string]any{{"offset": 1, "data": record}}, "next": 2, "earliest": 1})
		if err != nil {
			t.Error(err)
		}
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := range chunks {
			_, _ = w.Write(page[i*len(page)/chunks : (i+1)*len(page)/chunks])
			_ = http.NewResponseController(w).Flush()
			<-ticker.C
		}
	})
	started := time.Now()
	page, err := client.Read(t.Context(), 1, 10, 0)
	if took := time.Since(started); err != nil || len(page.Entries) != 1 || requests != 1 {
		t.Errorf("the read ended after %v and %d requests with %d records: %v", took, requests, len(page.Entries), err)
	}
}

// Guards against a call that waits for a log that has become silent, before or in the middle of its reply.
func TestSilentLogEndsCall(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{"no reply": "", "part of a reply": "{"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if head != "" {
					_, _ = io.WriteString(w, head)
					_ = http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
			})
			started := time.Now()
			_, err := client.Read(t.Context(), 1, 10, 0)
			if took := time.Since(started); took > platformlog.SilenceTimeout+time.Second || !errors.Is(err, os.ErrDeadlineExceeded) || problem.KindOf(err) != problem.Unavailable {
				t.Errorf("the read ended after %v: %v", took, err)
			}
		})
	}
}

// Guards against a call that never ends, or reads without bound, because the log sends bytes without end or has switched
// protocols.
func TestReplyWithoutEndEndsCall(t *testing.T) {
	t.Parallel()
	chunk := strings.Repeat(" ", 64<<10)
	// sentOK is the number of bytes that were sent without end with status 200.
	var sentOK atomic.Int64
	endless := func(status int) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			w.WriteHeader(status)
			for {
				if _, err := io.WriteString(w, chunk); err != nil {
					return
				}
				if status == http.StatusOK {
					sentOK.Add(int64(len(chunk)))
				}
			}
		}
	}
	switched := func(w http.ResponseWriter) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
	}
	read := func(ctx context.Context, c *platformlog.Client) error {
		_, err := c.Read(ctx, 1, 10, 0)
		return err
	}
	appendRecord := func(ctx context.Context, c *platformlog.Client) error {
		_, err := c.Append(ctx, leaveRecord("a"))
		return err
	}
	for name, test := range map[string]struct {
		reply func(http.ResponseWriter)
		call  func(context.Context, *platformlog.Client) error
		// within is when the call must have ended; its context ends after 20 s. Reading up to the limit of 64 MiB takes seconds
		// on a busy machine.
		within time.Duration
		kind   errs.Tag
	}{
		"read, body without end":    {endless(http.StatusOK), read, 15 * time.Second, problem.TooLarge},
		"read, error without end":   {endless(http.StatusBadGateway), read, time.Second, problem.Unavailable},
		"read, switched protocol":   {switched, read, time.Second, problem.Unavailable},
		"append, body without end":  {endless(http.StatusCreated), appendRecord, time.Second, problem.Unavailable},
		"append, switched protocol": {switched, appendRecord, time.Second, problem.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := startServer(t, func(w http.ResponseWriter, _ *http.Request) { test.reply(w) })
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			ended := make(chan error, 1)
			started := time.Now()
			go func() { ended <- test.call(ctx, client) }()
			select {
			case err := <-ended:
				if took := time.Since(started); took > test.within || problem.KindOf(err) != test.kind {
					t.Errorf("the call ended after %v: %v", took, err)
				}
				// The buffers of the connection hold some megabytes more than were read.
				if sent := sentOK.Load(); sent > 80<<20 {
					t.Errorf("%d bytes were sent until the call ended, want little more than 64 MiB", sent)
				}
			case <-time.After(23 * time.Second):
				t.Error("the call has not ended 3 s after its deadline")
			}
		})
	}
}

// Guards against a reader that reads without a pause, passes records by or reads them twice, because a reply is that of
// another server or does not continue where the read began.
func TestPageThatDoesNotContinueIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		body   string
	}{
		"other server":         {http.StatusOK, `{}`},
		"earlier next":         {http.StatusOK, `{"records":[],"next":3,"earliest":1}`},
		"earlier record":       {http.StatusOK, `{"records":[{"offset":4,"data":""}],"next":6,"earliest":1}`},
		"next before record":   {http.StatusOK, `{"records":[{"offset":5,"data":""}],"next":5,"earliest":1}`},
		"records out of order": {http.StatusOK, `{"records":[{"offset":6,"data":""},{"offset":5,"data":""}],"next":7,"earliest":1}`},
		"kept record is gone":  {http.StatusGone, `{"earliest":5}`},
		"gone without offset":  {http.StatusGone, `{}`},
	} {
		t.Run(name, func(t *testing.T) {
			client := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			})
			if page, err := client.Read(t.Context(), 5, 10, 0); problem.KindOf(err) != problem.Unavailable {
				t.Errorf("got page %+v, error %v; want an unavailable one", page, err)
			}
		})
	}
}

// Guards against a reader that reads a page again that is too large for the link, instead of fewer records.
func TestPageThatDoesNotArriveInTimeIsTooLarge(t *testing.T) {
	t.Parallel()
	client := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, " ")
			_ = http.NewResponseController(w).Flush()
			<-ticker.C
		}
	})
	client.SetTransferTimeout(time.Second)
	started := time.Now()
	_, err := client.Read(t.Context(), 1, 10, 0)
	if took := time.Since(started); took > 2*time.Second || problem.KindOf(err) != problem.TooLarge {
		t.Errorf("the read ended after %v: %v", took, err)
	}
}
