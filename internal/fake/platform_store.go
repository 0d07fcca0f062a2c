package fake

import (
	"context"
	"maps"
	"sync"
	"time"

	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// PlatformStore is an in-memory fake of the platform's store. Unlike the real store, it compacts no records away. Its
// methods are safe for concurrent use.
//
// mu guards the other fields and the topics.
type PlatformStore struct {
	mu     sync.Mutex
	topics map[string]*storeTopic
	down   bool
	// unreachable holds the instances whose calls fail.
	unreachable map[string]bool
	// silent holds the instances whose calls get no answer until storeSilenceLimit after their wait.
	silent map[string]bool
	// loseReplies makes appends take effect but return an error.
	loseReplies bool
	// lateAppend, if set, decides for each append under a condition by how much it is late: it gets no answer and takes
	// effect that much later if its condition still holds. Zero is an append as usual.
	lateAppend func(instance, topic string) time.Duration
	// missWakeups makes waiting reads miss the records that are appended meanwhile.
	missWakeups bool
	// links holds the link to each instance that does not get its answers at once.
	links     map[string]*storeLink
	callCount int
	// calls counts the calls by kind; see CallKind.
	calls map[CallKind]int
	// era is the number in all answers, and staleEras are lower ones in the answers to some instances.
	era       uint64
	staleEras map[string]uint64
	// maxPageRecords bounds the records of a read; 0 for no bound.
	maxPageRecords int
}

// storeLink is a link that carries the answers to several instances at a limited rate. busyUntil is when it has carried
// what was sent so far, and carried the number of bytes; PlatformStore.mu guards both.
type storeLink struct {
	bytesPerSecond int
	segmentBytes   int
	busyUntil      time.Time
	carried        int
}

// storeTopic holds the records of partition 0 of a topic. changed is closed and replaced when a record is appended.
type storeTopic struct {
	records []registry.Record
	// written holds the time of each record.
	written []time.Time
	changed chan struct{}
}

// NewPlatformStore returns an empty store.
func NewPlatformStore() *PlatformStore {
	return &PlatformStore{topics: map[string]*storeTopic{}, unreachable: map[string]bool{}, silent: map[string]bool{}, links: map[string]*storeLink{}, staleEras: map[string]uint64{}, calls: map[CallKind]int{}}
}

// SetDown sets whether the calls of all instances fail.
func (s *PlatformStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetUnreachable sets whether the calls of one instance fail.
func (s *PlatformStore) SetUnreachable(instance string, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable[instance] = unreachable
}

// SetSilent sets whether the calls of one instance, also reads in progress, get no answer. Appends have no effect.
func (s *PlatformStore) SetSilent(instance string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[instance] = silent
}

// storeSilenceLimit is the time after which a client gives up a read that gets no answer, in addition to its wait.
const storeSilenceLimit = 1500 * time.Millisecond

// SetLoseReplies sets whether appends take effect but return an error, as if the reply was lost.
func (s *PlatformStore) SetLoseReplies(loseReplies bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReplies = loseReplies
}

// SetLateAppend sets which appends under a condition get no answer and take effect later if the condition still holds.
func (s *PlatformStore) SetLateAppend(late func(instance, topic string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateAppend = late
}

// SetMissWakeups sets whether waiting reads miss the records appended meanwhile and return nothing until their wait is
// over.
func (s *PlatformStore) SetMissWakeups(missWakeups bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missWakeups = missWakeups
}

// SetMaxPageRecords bounds the number of records that a read returns.
func (s *PlatformStore) SetMaxPageRecords(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxPageRecords = n
}

// SetLink makes the answers to the instances share one link with the rate. They are sent in turn, in segments of the size:
// what one connection has under way. An answer whose call is canceled has used the link for the segments sent so far.
func (s *PlatformStore) SetLink(bytesPerSecond, segmentBytes int, instances ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	link := &storeLink{bytesPerSecond: bytesPerSecond, segmentBytes: segmentBytes}
	for _, instance := range instances {
		s.links[instance] = link
	}
}

// CarriedBytes returns how many bytes of answers the link to an instance has carried.
func (s *PlatformStore) CarriedBytes(instance string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[instance].carried
}

// CallCount returns the number of calls so far.
func (s *PlatformStore) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// CallKind is a kind of calls: the operation and the topic. Polling is set for reads that wait for records.
type CallKind struct {
	Operation registry.Operation
	Topic     string
	Polling   bool
}

// Calls returns the number of calls of each kind so far. A call that is given up before it reaches the store is not
// counted.
func (s *PlatformStore) Calls() map[CallKind]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// ClientFor returns a client that makes its calls as the instance.
func (s *PlatformStore) ClientFor(instance string) registry.Store {
	return &platformStoreClient{store: s, instance: instance}
}

// platformStoreClient is the registry.Store of one instance.
type platformStoreClient struct {
	store    *PlatformStore
	instance string
}

// storeLatency is the duration of each call.
const storeLatency = 4 * time.Millisecond

// beginCall waits for storeLatency and returns an error if ctx ends or the instance cannot reach the store. It returns
// with store.mu locked in all cases; the caller must unlock it.
func (c *platformStoreClient) beginCall(ctx context.Context, kind CallKind) error {
	timer := time.NewTimer(storeLatency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		c.store.mu.Lock()
		return ctx.Err()
	}
	c.store.mu.Lock()
	c.store.callCount++
	c.store.calls[kind]++
	if c.store.down || c.store.unreachable[c.instance] {
		// No answer of the store itself.
		return problem.New(problem.Overloaded, "wait for the store", "the store is down")
	}
	return nil
}

// topic returns a topic, which it creates if needed. The caller holds mu.
func (s *PlatformStore) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// transfer carries an answer over the link to the instance.
func (c *platformStoreClient) transfer(ctx context.Context, page registry.Page) (registry.Page, error) {
	remaining := 0
	for _, r := range page.Records {
		remaining += len(r.Key) + len(r.Value)
	}
	for remaining > 0 {
		sent, ok := c.sendSegment(ctx, remaining)
		if !ok {
			return registry.Page{}, ctx.Err()
		}
		registry.TransferOf(ctx).Add(sent)
		remaining -= sent
	}
	return page, nil
}

// sendSegment waits until the link to the instance has carried the next segment of an answer, and returns its size. ok is
// false if ctx ends first. Without a link, the whole answer is one segment.
func (c *platformStoreClient) sendSegment(ctx context.Context, remaining int) (sent int, ok bool) {
	c.store.mu.Lock()
	link := c.store.links[c.instance]
	if link == nil {
		c.store.mu.Unlock()
		return remaining, true
	}
	sent = min(remaining, link.segmentBytes)
	if now := time.Now(); link.busyUntil.Before(now) {
		link.busyUntil = now
	}
	link.busyUntil = link.busyUntil.Add(time.Duration(sent) * time.Second / time.Duration(link.bytesPerSecond))
	link.carried += sent
	timer := time.NewTimer(time.Until(link.busyUntil))
	c.store.mu.Unlock()
	defer timer.Stop()
	select {
	case <-timer.C:
		return sent, true
	case <-ctx.Done():
		return 0, false
	}
}

// Newest implements registry.Store.
func (c *platformStoreClient) Newest(ctx context.Context, topic string) (registry.Page, error) {
	silentUntil := time.Now().Add(storeSilenceLimit)
	page, err := c.newest(ctx, topic)
	if c.isSilent() {
		return c.awaitSilence(ctx, silentUntil)
	}
	if err != nil {
		return page, err
	}
	return c.transfer(ctx, page)
}

// newest returns the answer to Newest before its transfer.
func (c *platformStoreClient) newest(ctx context.Context, topic string) (registry.Page, error) {
	err := c.beginCall(ctx, CallKind{Operation: registry.OperationNewest, Topic: topic})
	defer c.store.mu.Unlock()
	if err != nil {
		return registry.Page{}, err
	}
	c.setEra(ctx)
	t := c.store.topic(topic)
	newest, order := map[string]registry.Record{}, []string{}
	for _, r := range t.records {
		if _, known := newest[r.Key]; !known {
			order = append(order, r.Key)
		}
		newest[r.Key] = r
	}
	page := registry.Page{End: int64(len(t.records))}
	for _, key := range order {
		if r := newest[key]; len(r.Value) > 0 {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// Read implements registry.Store.
func (c *platformStoreClient) Read(ctx context.Context, topic string, from int64, wait time.Duration) (registry.Page, error) {
	silentUntil := time.Now().Add(wait + storeSilenceLimit)
	waitTimer := time.NewTimer(wait)
	defer waitTimer.Stop()
	for first := true; ; first = false {
		if first {
			if err := c.beginCall(ctx, CallKind{Operation: registry.OperationRead, Topic: topic, Polling: wait > 0}); err != nil {
				c.store.mu.Unlock()
				return registry.Page{}, err
			}
		} else {
			c.store.mu.Lock()
		}
		t := c.store.topic(topic)
		if from > int64(len(t.records)) && !c.store.down && !c.store.unreachable[c.instance] && !c.store.silent[c.instance] {
			c.setEra(ctx)
			c.store.mu.Unlock()
			return registry.Page{}, problem.New(problem.PastRetention, "read the newest records", "there is no offset %d", from)
		}
		page := registry.Page{End: int64(len(t.records))}
		page.Records = append(page.Records, t.records[min(from, page.End):]...)
		if n := c.store.maxPageRecords; n > 0 && len(page.Records) > n {
			page = registry.Page{Records: page.Records[:n], End: from + int64(n), Partial: true}
		}
		silent := c.store.silent[c.instance]
		failing, changed := c.store.down || c.store.unreachable[c.instance], t.changed
		if !failing && !silent {
			c.setEra(ctx)
		}
		if c.store.missWakeups {
			changed = nil
		}
		c.store.mu.Unlock()
		if failing {
			return registry.Page{}, problem.New(problem.Unavailable, "wait for the store", "the store went down")
		}
		if silent {
			return c.awaitSilence(ctx, silentUntil)
		}
		if len(page.Records) > 0 {
			return c.transfer(ctx, page)
		}
		select {
		case <-changed:
		case <-waitTimer.C:
			if c.isSilent() {
				return c.awaitSilence(ctx, silentUntil)
			}
			return page, nil
		case <-ctx.Done():
			return registry.Page{}, ctx.Err()
		}
	}
}

func (c *platformStoreClient) isSilent() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.silent[c.instance]
}

// awaitSilence returns the error of a read that gets no answer and is given up at the time.
func (c *platformStoreClient) awaitSilence(ctx context.Context, until time.Time) (registry.Page, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return registry.Page{}, problem.New(problem.Unavailable, "wait for the store", "the store is silent")
	case <-ctx.Done():
		return registry.Page{}, ctx.Err()
	}
}

// Append implements registry.Store.
func (c *platformStoreClient) Append(ctx context.Context, topic string, at int64, r registry.Record) (int64, error) {
	started := time.Now()
	end, unanswered, err := c.append(ctx, topic, at, r)
	if unanswered {
		_, err = c.awaitSilence(ctx, started.Add(storeSilenceLimit))
	}
	return end, err
}

// append makes an append. unanswered is set if it gets no answer.
func (c *platformStoreClient) append(ctx context.Context, topic string, at int64, r registry.Record) (end int64, unanswered bool, err error) {
	err = c.beginCall(ctx, CallKind{Operation: registry.OperationAppend, Topic: topic})
	defer c.store.mu.Unlock()
	if err != nil {
		return 0, false, err
	}
	if c.store.silent[c.instance] {
		return 0, true, nil
	}
	c.setEra(ctx)
	t := c.store.topic(topic)
	if at != registry.AnyOffset && at != int64(len(t.records)) {
		return 0, false, problem.New(problem.Conflict, "read again", "the end of the partition is %d", len(t.records))
	}
	if at != registry.AnyOffset && c.store.lateAppend != nil {
		if delay := c.store.lateAppend(c.instance, topic); delay > 0 {
			time.AfterFunc(delay, func() { c.store.appendLate(t, at, r) })
			return 0, true, nil
		}
	}
	t.append(r)
	if c.store.loseReplies {
		return 0, false, problem.New(problem.Unavailable, "read again", "the reply was lost")
	}
	return int64(len(t.records)), false, nil
}

// appendLate makes an append that got no answer, if its condition still holds.
func (s *PlatformStore) appendLate(t *storeTopic, at int64, r registry.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at == int64(len(t.records)) {
		t.append(r)
	}
}

// append adds a record and wakes the reads that wait. The caller holds PlatformStore.mu.
func (t *storeTopic) append(r registry.Record) {
	t.records, t.written = append(t.records, r), append(t.written, time.Now())
	t.wake()
}

// wake wakes the reads that wait. The caller holds PlatformStore.mu.
func (t *storeTopic) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}
