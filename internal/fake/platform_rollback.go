package fake

import (
	"context"
	"time"

	"heatherreel/internal/registry"
)

// RollBack restores the store from a copy that is age old: the records written since are lost, their offsets are assigned
// again, and the era grows by one. Writes that are late still take effect if their condition holds. It returns the number of
// lost records of each topic.
func (s *PlatformStore) RollBack(age time.Duration) map[string]int {
	since := time.Now().Add(-age)
	return s.rollBack(func(t *storeTopic, i int) bool { return t.written[i].After(since) })
}

// RollBackRecords does the same as RollBack with a copy that lacks the last n records of each topic.
func (s *PlatformStore) RollBackRecords(n int) map[string]int {
	return s.rollBack(func(t *storeTopic, i int) bool { return i >= len(t.records)-n })
}

// rollBack loses the records of each topic from the first one on for which lost is true.
func (s *PlatformStore) rollBack(lost func(t *storeTopic, i int) bool) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	s.era++
	for name, t := range s.topics {
		kept := 0
		for kept < len(t.records) && !lost(t, kept) {
			kept++
		}
		counts[name] = len(t.records) - kept
		// The capacity ends with the kept records, so that pages which hold the lost ones do not change.
		t.records, t.written = t.records[:kept:kept], t.written[:kept:kept]
		t.wake()
	}
	return counts
}

// SetStaleEra makes the answers to an instance carry a lower era, as from a process of the store that was not restored;
// the current one ends that.
func (s *PlatformStore) SetStaleEra(instance string, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleEras[instance] = era
	for _, t := range s.topics {
		t.wake()
	}
}

// Era returns the era.
func (s *PlatformStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// setEra records the era of an answer. The caller holds PlatformStore.mu.
func (c *platformStoreClient) setEra(ctx context.Context) {
	era := c.store.era
	if stale, found := c.store.staleEras[c.instance]; found {
		era = min(era, stale)
	}
	registry.TransferOf(ctx).SetEra(era)
}

// End returns the end offset of a topic.
func (s *PlatformStore) End(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(topic).records)
}

// WrittenAt returns when the record at an offset of a topic was written.
func (s *PlatformStore) WrittenAt(topic string, offset int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topic).written[offset]
}
