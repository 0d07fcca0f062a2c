package outcome

import (
	"container/heap"
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/request"
)

// entryKey identifies an entry within its slice.
type entryKey struct {
	tenant string
	id     uuid.UUID
}

// notInHeap is the heap index of an entry whose request is running.
const notInHeap = -1

// entry is a running or completed request.
type entry struct {
	key         entryKey
	slice       *sliceTable
	fingerprint Fingerprint
	// retainedSince is the time at which the retention period starts, in Unix nanoseconds.
	retainedSince int64
	// heapIndex is the index in Table.expiry; notInHeap while the request is running.
	heapIndex   int32
	status      int32
	outcome     request.Outcome
	reason      request.Reason
	remedy      string
	contentType string
	body        []byte
}

// running reports whether the request is still running.
func (e *entry) running() bool { return e.heapIndex == notInHeap }

// answer returns the retained answer.
func (e *entry) answer() request.Answer {
	return request.Answer{
		Outcome: e.outcome, Reason: e.reason, Remedy: e.remedy,
		Status: int(e.status), ContentType: e.contentType, Body: e.body,
	}
}

// answerBytes returns the memory of the retained answer in addition to EntryBytes.
func (e *entry) answerBytes() int64 { return int64(len(e.contentType) + cap(e.body)) }

// runningBytes returns the memory that is reserved for a running request.
func (t *Table) runningBytes() int64 { return EntryBytes + t.options.AnswerReserve }

// addRunning adds an entry for a running request.
func (t *Table) addRunning(s *sliceTable, ref Ref, f Fingerprint) {
	t.addEntry(s, ref.Tenant, ref.ID, f)
	t.bytes += t.options.AnswerReserve
}

// addEntry adds an entry without an answer.
func (t *Table) addEntry(s *sliceTable, tenant string, id uuid.UUID, f Fingerprint) *entry {
	e := &entry{key: entryKey{tenant: t.intern(tenant), id: id}, slice: s, fingerprint: f, heapIndex: notInHeap}
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

// retain stores the answer of an entry for the retention period, which starts at retainedSince. If the memory limit
// leaves no room for the answer, the entry only records that the outcome is unknown: dropping the entry could run the
// request twice.
func (t *Table) retain(e *entry, retainedSince time.Time, a request.Answer) {
	e.outcome, e.reason, e.remedy = a.Outcome, a.Reason, a.Remedy
	e.status, e.contentType, e.body = int32(a.Status), a.ContentType, a.Body
	if t.bytes+e.answerBytes() > t.options.MaxBytes {
		t.trimmed++
		e.outcome, e.reason = request.Unknown, request.AnswerTooLarge
		e.remedy = "read the key; the answer was not retained"
		e.status, e.contentType, e.body = 0, "", nil
	}
	t.bytes += e.answerBytes()
	e.retainedSince = retainedSince.UnixNano()
	heap.Push(&t.expiry, e)
}

// remove drops an entry.
func (t *Table) remove(e *entry) {
	if e.running() {
		t.bytes -= t.options.AnswerReserve
	} else {
		heap.Remove(&t.expiry, int(e.heapIndex))
		t.bytes -= e.answerBytes()
	}
	t.bytes -= EntryBytes
	t.entries--
	delete(e.slice.entries, e.key)
}

// expiryHeap orders completed entries by retainedSince.
type expiryHeap []*entry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].retainedSince < h[j].retainedSince }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = int32(i), int32(j)
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = int32(len(*h))
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
