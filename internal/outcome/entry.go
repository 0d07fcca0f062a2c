package outcome

import (
	"container/heap"
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/request"
)

// entryKey names an entry within its slice.
type entryKey struct {
	tenant string
	id     uuid.UUID
}

// notQueued is the position of an entry that is running.
const notQueued = -1

// entry is a running or completed request.
type entry struct {
	key         entryKey
	slice       *sliceTable
	fingerprint Fingerprint
	// since is the time from which the retention counts, in nanoseconds since 1970.
	since       int64
	position    int32
	status      int32
	outcome     request.Outcome
	reason      request.Reason
	remedy      string
	contentType string
	body        []byte
}

// running reports whether the request has no answer yet.
func (e *entry) running() bool { return e.position == notQueued }

// answer returns the retained answer.
func (e *entry) answer() request.Answer {
	return request.Answer{
		Outcome: e.outcome, Reason: e.reason, Remedy: e.remedy,
		Status: int(e.status), ContentType: e.contentType, Body: e.body,
	}
}

// answerBytes returns the memory of the retained answer besides EntryBytes.
func (e *entry) answerBytes() int64 { return int64(len(e.contentType) + cap(e.body)) }

// runningBytes returns the memory that a new running request takes.
func (t *Table) runningBytes() int64 { return EntryBytes + t.options.AnswerReserve }

// start adds a running entry.
func (t *Table) start(s *sliceTable, ref Ref, f Fingerprint) {
	t.add(s, ref.Tenant, ref.ID, f)
	t.bytes += t.options.AnswerReserve
}

// add adds an entry without an answer.
func (t *Table) add(s *sliceTable, tenant string, id uuid.UUID, f Fingerprint) *entry {
	e := &entry{key: entryKey{tenant: t.intern(tenant), id: id}, slice: s, fingerprint: f, position: notQueued}
	s.entries[e.key] = e
	t.entries++
	t.bytes += EntryBytes
	return e
}

// intern returns the table's copy of a tenant's name.
func (t *Table) intern(tenant string) string {
	if name, found := t.tenants[tenant]; found {
		return name
	}
	t.tenants[tenant] = tenant
	return tenant
}

// retain gives an entry its answer, to be kept for the retention counted from since. If there is no room for the
// body, the entry states only that the request has run: forgetting the entry could run the request twice.
func (t *Table) retain(e *entry, since time.Time, a request.Answer) {
	e.outcome, e.reason, e.remedy = a.Outcome, a.Reason, a.Remedy
	e.status, e.contentType, e.body = int32(a.Status), a.ContentType, a.Body
	if t.bytes+e.answerBytes() > t.options.MaxBytes {
		t.trimmed++
		e.outcome, e.reason = request.Unknown, request.AnswerTooLarge
		e.remedy = "read the key; the answer was not retained"
		e.status, e.contentType, e.body = 0, "", nil
	}
	t.bytes += e.answerBytes()
	e.since = since.UnixNano()
	heap.Push(&t.expiry, e)
}

// remove drops an entry.
func (t *Table) remove(e *entry) {
	if e.running() {
		t.bytes -= t.options.AnswerReserve
	} else {
		heap.Remove(&t.expiry, int(e.position))
		t.bytes -= e.answerBytes()
	}
	t.bytes -= EntryBytes
	t.entries--
	delete(e.slice.entries, e.key)
}

// expiryHeap orders completed entries by since.
type expiryHeap []*entry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].since < h[j].since }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = int32(i), int32(j)
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.position = int32(len(*h))
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
