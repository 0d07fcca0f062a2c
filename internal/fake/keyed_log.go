package fake

import (
	"context"
	"sync"
	"time"

	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// KeyedLog is an in-memory fake of the platform's store. Unlike the real store, it compacts no records away. Its methods
// are safe for concurrent use.
//
// mu guards the other fields and the topics.
type KeyedLog struct {
	mu     sync.Mutex
	topics map[string]*keyedTopic
	down   bool
	// unreachable holds the instances whose calls fail.
	unreachable map[string]bool
	// loseReplies makes appends take effect but return an error.
	loseReplies bool
	// missWakeups makes waiting reads miss the records that are appended meanwhile.
	missWakeups bool
	callCount   int
}

// keyedTopic holds the records of partition 0 of a topic. changed is closed and replaced when a record is appended.
type keyedTopic struct {
	records []registry.Record
	changed chan struct{}
}

// NewKeyedLog returns an empty log.
func NewKeyedLog() *KeyedLog {
	return &KeyedLog{topics: map[string]*keyedTopic{}, unreachable: map[string]bool{}}
}

// SetDown sets whether the calls of all instances fail.
func (l *KeyedLog) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetUnreachable sets whether the calls of one instance fail.
func (l *KeyedLog) SetUnreachable(instance string, unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable[instance] = unreachable
}

// SetLoseReplies sets whether appends take effect but return an error, as if the reply was lost.
func (l *KeyedLog) SetLoseReplies(loseReplies bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseReplies = loseReplies
}

// SetMissWakeups sets whether waiting reads miss the records appended meanwhile and return nothing until their wait is
// over.
func (l *KeyedLog) SetMissWakeups(missWakeups bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missWakeups = missWakeups
}

// CallCount returns the number of calls so far.
func (l *KeyedLog) CallCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.callCount
}

// StoreFor returns a store that reads and writes the log as the instance.
func (l *KeyedLog) StoreFor(instance string) registry.Store {
	return &keyedLogView{log: l, instance: instance}
}

// keyedLogView is the registry.Store of one instance.
type keyedLogView struct {
	log      *KeyedLog
	instance string
}

// storeLatency is the duration of each call.
const storeLatency = 4 * time.Millisecond

// beginCall waits for storeLatency and returns an error if ctx ends or the instance cannot reach the log. It returns
// with log.mu locked in all cases; the caller must unlock it.
func (v *keyedLogView) beginCall(ctx context.Context) error {
	timer := time.NewTimer(storeLatency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		v.log.mu.Lock()
		return ctx.Err()
	}
	v.log.mu.Lock()
	v.log.callCount++
	if v.log.down || v.log.unreachable[v.instance] {
		return problem.New(problem.Overloaded, "wait for the store", "the store is down")
	}
	return nil
}

// topic returns a topic, which it creates if needed. The caller holds mu.
func (l *KeyedLog) topic(name string) *keyedTopic {
	t := l.topics[name]
	if t == nil {
		t = &keyedTopic{changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

// Newest implements registry.Store.
func (v *keyedLogView) Newest(ctx context.Context, topic string) (registry.Page, error) {
	err := v.beginCall(ctx)
	defer v.log.mu.Unlock()
	if err != nil {
		return registry.Page{}, err
	}
	t := v.log.topic(topic)
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
func (v *keyedLogView) Read(ctx context.Context, topic string, from int64, wait time.Duration) (registry.Page, error) {
	waitTimer := time.NewTimer(wait)
	defer waitTimer.Stop()
	for first := true; ; first = false {
		if first {
			if err := v.beginCall(ctx); err != nil {
				v.log.mu.Unlock()
				return registry.Page{}, err
			}
		} else {
			v.log.mu.Lock()
		}
		t := v.log.topic(topic)
		page := registry.Page{End: int64(len(t.records))}
		page.Records = append(page.Records, t.records[from:]...)
		failing, changed := v.log.down || v.log.unreachable[v.instance], t.changed
		if v.log.missWakeups {
			changed = nil
		}
		v.log.mu.Unlock()
		if failing {
			return registry.Page{}, problem.New(problem.Unavailable, "wait for the store", "the store went down")
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-waitTimer.C:
			return page, nil
		case <-ctx.Done():
			return registry.Page{}, ctx.Err()
		}
	}
}

// Append implements registry.Store.
func (v *keyedLogView) Append(ctx context.Context, topic string, at int64, r registry.Record) (int64, error) {
	err := v.beginCall(ctx)
	defer v.log.mu.Unlock()
	if err != nil {
		return 0, err
	}
	t := v.log.topic(topic)
	if at != registry.AnyOffset && at != int64(len(t.records)) {
		return 0, problem.New(problem.Conflict, "read again", "the end of the partition is %d", len(t.records))
	}
	t.records = append(t.records, r)
	close(t.changed)
	t.changed = make(chan struct{})
	if v.log.loseReplies {
		return 0, problem.New(problem.Unavailable, "read again", "the reply was lost")
	}
	return int64(len(t.records)), nil
}
