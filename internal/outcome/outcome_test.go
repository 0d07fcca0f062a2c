package outcome

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

var (
	start      = time.UnixMilli(1_700_000_000_000)
	testSlice  = keyspace.SliceID{Group: keyspace.Group{Service: "s"}, Index: 1}
	doneAnswer = request.Answer{Outcome: request.Done, Status: 200, Body: []byte("answer"), ContentType: "text/x"}
)

func testOptions() Options {
	return Options{
		Retention: time.Minute, CallerLead: 100 * time.Millisecond, NodeSkew: 50 * time.Millisecond,
		MaxBytes: 1 << 20, AnswerReserve: 100,
	}
}

// newID returns a UUIDv7 issued at the time, distinct for each n.
func newID(issued time.Time, n int) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(issued.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	id[6], id[8] = 0x70, 0x80
	return id
}

func newRef(issued time.Time, n int) Ref {
	return Ref{Slice: testSlice, Tenant: "t", ID: newID(issued, n)}
}

var fingerprint1 = NewFingerprint(request.Request{Method: "POST", Key: "k", Body: []byte("b")})

// Guards against running a repeated request a second time, and against giving it the answer of another request.
func TestRequestRunsOnce(t *testing.T) {
	table := NewTable(testOptions())
	ref := newRef(start, 1)
	if d := table.Admit(start, ref, fingerprint1); d.Verdict != Run {
		t.Fatalf("first: %+v", d)
	}
	if d := table.Admit(start, ref, fingerprint1); d.Verdict != Wait {
		t.Errorf("while running: %+v", d)
	}
	if !table.Complete(start.Add(time.Second), ref, doneAnswer) || table.Complete(start, ref, doneAnswer) {
		t.Error("a request completes once")
	}
	if d := table.Admit(start.Add(59*time.Second), ref, fingerprint1); d.Verdict != Answer || string(d.Answer.Body) != "answer" || d.Answer.Status != 200 {
		t.Errorf("repeated: %+v", d)
	}
	other := ref
	other.Tenant = "u"
	if d := table.Admit(start, other, fingerprint1); d.Verdict != Run {
		t.Errorf("another tenant's request with the same id: %+v", d)
	}
}

// Guards against answering a request with the outcome of a different request that had the same id.
func TestReusedIDIsRefused(t *testing.T) {
	base := request.Request{Method: "POST", Key: "k", Body: []byte("b")}
	for name, change := range map[string]func(*request.Request){
		"key":      func(r *request.Request) { r.Key = "l" },
		"method":   func(r *request.Request) { r.Method = "PUT" },
		"body":     func(r *request.Request) { r.Body = []byte("c") },
		"boundary": func(r *request.Request) { r.Key, r.Body = "kb", nil },
	} {
		table := NewTable(testOptions())
		ref := newRef(start, 1)
		table.Admit(start, ref, NewFingerprint(base))
		changed := base
		change(&changed)
		d := table.Admit(start, ref, NewFingerprint(changed))
		if d.Verdict != Answer || d.Answer.Outcome != request.NotRun || d.Answer.Reason != request.IDReused {
			t.Errorf("%s: %+v", name, d)
		}
	}
}

// Guards against running a request whose outcome may have been dropped or lost, and against refusing other requests.
func TestIssueTimeDecides(t *testing.T) {
	cases := []struct {
		name string
		age  time.Duration
		// afterFailover states that the earlier owner was lost at start.
		afterFailover bool
		verdict       Verdict
		reason        request.Reason
	}{
		{"fresh", 0, false, Run, ""},
		{"at the retention", time.Minute, false, Run, ""},
		{"past the retention", time.Minute + time.Millisecond, false, Answer, request.MayHaveRun},
		{"ahead within the lead", -100 * time.Millisecond, false, Run, ""},
		{"too far ahead", -101 * time.Millisecond, false, Answer, request.Malformed},
		{"before the failover", time.Second, true, Answer, request.MayHaveRun},
		{"within the skew of the failover", -149 * time.Millisecond, true, Answer, request.MayHaveRun},
		{"after the skew of the failover", -150 * time.Millisecond, true, Answer, request.Malformed},
	}
	for i, c := range cases {
		table := NewTable(testOptions())
		if c.afterFailover {
			table.MarkUnknown(start, testSlice)
		}
		d := table.Admit(start, newRef(start.Add(-c.age), i), fingerprint1)
		if d.Verdict != c.verdict || d.Answer.Reason != c.reason {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}

// Guards against a refused request that cannot be repeated with the same id.
func TestNotRunMayRunLater(t *testing.T) {
	table := NewTable(testOptions())
	ref := newRef(start, 1)
	table.Admit(start, ref, fingerprint1)
	table.Complete(start, ref, request.Refuse(request.QueueFull, "r"))
	if d := table.Admit(start, ref, fingerprint1); d.Verdict != Run {
		t.Errorf("%+v", d)
	}
	if u := table.Usage(); u.Entries != 1 || u.Bytes != table.runningBytes() {
		t.Errorf("usage %+v", u)
	}
}

// Guards against a full table that drops outcomes, exceeds its memory limit, or never admits requests again.
func TestFullTableRefuses(t *testing.T) {
	o := testOptions()
	o.MaxBytes = 10 * (EntryBytes + o.AnswerReserve)
	table := NewTable(o)
	for n := range 10 {
		if d := table.Admit(start, newRef(start, n), fingerprint1); d.Verdict != Run {
			t.Fatalf("request %d: %+v", n, d)
		}
	}
	if d := table.Admit(start, newRef(start, 10), fingerprint1); d.Answer.Outcome != request.NotRun || d.Answer.Reason != request.QueueFull {
		t.Errorf("full: %+v", d)
	}
	large := doneAnswer
	large.Body = make([]byte, 2000)
	for n := range 10 {
		table.Complete(start, newRef(start, n), large)
		if u := table.Usage(); u.Bytes > o.MaxBytes {
			t.Fatalf("usage %+v over %d", u, o.MaxBytes)
		}
	}
	if d := table.Admit(start, newRef(start, 0), fingerprint1); d.Verdict != Answer || d.Answer.Outcome == request.NotRun {
		t.Errorf("trimmed answer: %+v", d)
	}
	if table.Usage().Trimmed == 0 {
		t.Error("no answer was trimmed")
	}
	later := start.Add(2 * time.Minute)
	if d := table.Admit(later, newRef(later, 11), fingerprint1); d.Verdict != Run {
		t.Errorf("after the retention: %+v", d)
	}
}

// Guards against a move that loses outcomes, their remaining retention or the unknown ids of an earlier failover.
func TestMoveKeepsOutcomes(t *testing.T) {
	old, next := NewTable(testOptions()), NewTable(testOptions())
	old.MarkUnknown(start, testSlice)
	now := start.Add(time.Second)
	first, running := newRef(now, 1), newRef(now, 2)
	old.Admit(now, first, fingerprint1)
	old.Complete(now, first, doneAnswer)
	old.Admit(now, running, fingerprint1)
	moved := now.Add(20 * time.Second)
	next.Import(moved, old.Export(moved, []keyspace.SliceID{testSlice}))
	old.Forget(testSlice)
	if u := old.Usage(); u.Entries != 0 || u.Bytes != 0 {
		t.Errorf("old table %+v", u)
	}
	if d := next.Admit(moved, first, fingerprint1); string(d.Answer.Body) != "answer" {
		t.Errorf("completed: %+v", d)
	}
	if d := next.Admit(moved, running, fingerprint1); d.Answer.Outcome != request.Unknown || d.Answer.Reason != request.MayHaveRun {
		t.Errorf("running: %+v", d)
	}
	if d := next.Admit(moved, newRef(start, 3), fingerprint1); d.Answer.Reason != request.MayHaveRun {
		t.Errorf("before the old failover: %+v", d)
	}
	if n := next.Expire(now.Add(time.Minute), 10); n != 0 {
		t.Errorf("%d outcomes dropped before their retention", n)
	}
	if n := next.Expire(now.Add(time.Minute+time.Millisecond), 10); n != 1 {
		t.Errorf("%d outcomes dropped after the retention of one", n)
	}
}

// Guards against an import that exceeds the memory limit and drops the fact that a request ran.
func TestImportWithoutRoom(t *testing.T) {
	old := NewTable(testOptions())
	ref := newRef(start, 1)
	old.Admit(start, ref, fingerprint1)
	old.Complete(start, ref, doneAnswer)
	o := testOptions()
	o.MaxBytes = EntryBytes - 1
	next := NewTable(o)
	next.Import(start, old.Export(start, []keyspace.SliceID{testSlice}))
	if d := next.Admit(start, ref, fingerprint1); d.Answer.Outcome != request.Unknown {
		t.Errorf("%+v", d)
	}
}

// Guards against a value of EntryBytes that is below the measured memory per entry.
func TestEntryBytes(t *testing.T) {
	const count = 100_000
	o := testOptions()
	o.MaxBytes = 1 << 30
	table := NewTable(o)
	before := heapBytes()
	for n := range count {
		ref := newRef(start, n)
		table.Admit(start, ref, fingerprint1)
		table.Complete(start, ref, request.Answer{Outcome: request.Done, Status: 204})
	}
	measured := float64(heapBytes()-before) / count
	t.Logf("%.0f bytes per entry measured, %d stated", measured, EntryBytes)
	if measured > EntryBytes {
		t.Errorf("%.0f bytes per entry, stated %d", measured, EntryBytes)
	}
	runtime.KeepAlive(table)
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkAdmitComplete measures Admit and Complete of one request, with the expiry of an older one.
func BenchmarkAdmitComplete(b *testing.B) {
	o := testOptions()
	o.MaxBytes = 1 << 30
	table := NewTable(o)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		// 5,600 requests per second is the load of one node at the target size of the fleet.
		now := start.Add(time.Duration(n) * time.Second / 5600)
		ref := newRef(now, n)
		if table.Admit(now, ref, fingerprint1).Verdict != Run {
			b.Fatal("refused")
		}
		table.Complete(now, ref, doneAnswer)
	}
	b.ReportMetric(float64(table.Usage().Entries), "entries")
}
