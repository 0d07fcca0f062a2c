package feed

import (
	"bytes"
	"cmp"
	"slices"

	"heatherreel/internal/registry"
)

// Bounds of the records that are held of one topic.
const (
	// maxRemoved bounds the removed keys. A follower that may have missed an older removal gets all records.
	maxRemoved = 256
	// maxBytes bounds keys and values. A larger topic is not served.
	maxBytes = 8 << 20
)

// entry is the newest record of a key. A removed key has no value.
type entry struct {
	value []byte
	// pageEnd is the end of the page in which the record was read, which is after the offset of the record.
	pageEnd int64
}

// Topic holds the newest record of each key of a topic. The zero value holds none. A Topic is not safe for concurrent
// use.
type Topic struct {
	entries map[string]entry
	// from is the end from which on all changes are known, and end the one up to which they are. Both are zero while
	// entries is nil.
	from, end      int64
	bytes, removed int
}

// Held reports whether the topic can be served.
func (t *Topic) Held() bool { return t.entries != nil }

// End returns the end up to which the records are held.
func (t *Topic) End() int64 { return t.end }

// Apply adds the records of a page. snapshot is set if the page holds the newest records of all keys. Other pages are
// ignored until there is a snapshot.
func (t *Topic) Apply(page registry.Page, snapshot bool) {
	if snapshot {
		*t = Topic{entries: map[string]entry{}, from: page.End}
	}
	if t.entries == nil {
		return
	}
	t.end = page.End
	for _, r := range page.Records {
		t.put(r)
	}
	if t.bytes > maxBytes {
		*t = Topic{}
	}
	t.dropRemoved()
}

// put sets the record of a key. The value is copied, as it may be part of a larger buffer.
func (t *Topic) put(r registry.Record) {
	if previous, known := t.entries[r.Key]; known {
		t.bytes -= len(r.Key) + len(previous.value)
		if len(previous.value) == 0 {
			t.removed--
		}
	}
	t.entries[r.Key] = entry{value: bytes.Clone(r.Value), pageEnd: t.end}
	t.bytes += len(r.Key) + len(r.Value)
	if len(r.Value) == 0 {
		t.removed++
	}
}

// dropRemoved discards the oldest removed keys while there are more than maxRemoved.
func (t *Topic) dropRemoved() {
	if t.removed <= maxRemoved {
		return
	}
	var ends []int64
	for _, e := range t.entries {
		if len(e.value) == 0 {
			ends = append(ends, e.pageEnd)
		}
	}
	slices.Sort(ends)
	// Half of them are discarded, so that this is done rarely.
	t.from = ends[len(ends)-maxRemoved/2-1]
	for key, e := range t.entries {
		if len(e.value) == 0 && e.pageEnd <= t.from {
			delete(t.entries, key)
			t.bytes -= len(key)
			t.removed--
		}
	}
}

// Since returns the records that changed after a reader has read up to the end from, or all records, as a snapshot, if
// changes before that are not known any more. It must not be called if the topic is not held.
func (t *Topic) Since(from int64) (page registry.Page, snapshot bool) {
	snapshot = from < t.from
	type changed struct {
		key string
		entry
	}
	var found []changed
	for key, e := range t.entries {
		if snapshot && len(e.value) > 0 || !snapshot && e.pageEnd > from {
			found = append(found, changed{key, e})
		}
	}
	slices.SortFunc(found, func(a, b changed) int { return cmp.Or(cmp.Compare(a.pageEnd, b.pageEnd), cmp.Compare(a.key, b.key)) })
	page.End = t.end
	for _, c := range found {
		page.Records = append(page.Records, registry.Record{Key: c.key, Value: c.value})
	}
	return page, snapshot
}
