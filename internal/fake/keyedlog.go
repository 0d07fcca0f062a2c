package fake

import (
	"context"
	"sync"
	"time"

	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// KeyedLog is a stand-in of the platform's store in memory. It keeps all records. Its methods are safe for concurrent use.
type KeyedLog struct {
	mu      sync.Mutex
	topics  map[string]*keyedTopic
	down    bool
	refused map[string]bool
	// lost makes appends take effect without an answer.
	lost bool
	// deaf makes reads that wait miss the records that come meanwhile.
	deaf  bool
	calls int
}

// keyedTopic is partition 0 of a topic.
type keyedTopic struct {
	records []registry.Record
	changed chan struct{}
}

// NewKeyedLog returns an empty log.
func NewKeyedLog() *KeyedLog {
	return &KeyedLog{topics: map[string]*keyedTopic{}, refused: map[string]bool{}}
}

// SetDown makes all calls fail, or work again.
func (l *KeyedLog) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetRefused makes the calls of one instance fail, or work again.
func (l *KeyedLog) SetRefused(instance string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[instance] = refused
}

// SetLost makes appends take effect without an answer, or be answered again.
func (l *KeyedLog) SetLost(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = lost
}

// SetDeaf makes reads that wait return nothing until their wait is over, whatever is appended.
func (l *KeyedLog) SetDeaf(deaf bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deaf = deaf
}

// Calls returns the number of calls so far.
func (l *KeyedLog) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// For returns the log as one instance reaches it.
func (l *KeyedLog) For(instance string) registry.Store { return &keyedView{log: l, instance: instance} }

// keyedView is the log as one instance reaches it.
type keyedView struct {
	log      *KeyedLog
	instance string
}

// storeDelay is the usual time of an answer.
const storeDelay = 4 * time.Millisecond

// begin waits for the time of a call and reports whether the instance reaches the log. The caller must unlock log.mu.
func (v *keyedView) begin(ctx context.Context) error {
	timer := time.NewTimer(storeDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		v.log.mu.Lock()
		return ctx.Err()
	}
	v.log.mu.Lock()
	v.log.calls++
	if v.log.down || v.log.refused[v.instance] {
		return problem.New(problem.Overloaded, "wait for the store", "the stand-in is away")
	}
	return nil
}

// topic returns a topic. The caller holds mu.
func (l *KeyedLog) topic(name string) *keyedTopic {
	t := l.topics[name]
	if t == nil {
		t = &keyedTopic{changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

// Newest implements registry.Store.
func (v *keyedView) Newest(ctx context.Context, topic string) (registry.Page, error) {
	err := v.begin(ctx)
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
func (v *keyedView) Read(ctx context.Context, topic string, from int64, wait time.Duration) (registry.Page, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for first := true; ; first = false {
		if first {
			if err := v.begin(ctx); err != nil {
				v.log.mu.Unlock()
				return registry.Page{}, err
			}
		} else {
			v.log.mu.Lock()
		}
		t := v.log.topic(topic)
		page := registry.Page{End: int64(len(t.records))}
		page.Records = append(page.Records, t.records[from:]...)
		away, changed := v.log.down || v.log.refused[v.instance], t.changed
		if v.log.deaf {
			changed = nil
		}
		v.log.mu.Unlock()
		if away {
			return registry.Page{}, problem.New(problem.Unavailable, "wait for the store", "the stand-in went away")
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			return page, nil
		case <-ctx.Done():
			return registry.Page{}, ctx.Err()
		}
	}
}

// Append implements registry.Store.
func (v *keyedView) Append(ctx context.Context, topic string, at int64, r registry.Record) (int64, error) {
	err := v.begin(ctx)
	defer v.log.mu.Unlock()
	if err != nil {
		return 0, err
	}
	t := v.log.topic(topic)
	if at != registry.Anywhere && at != int64(len(t.records)) {
		return 0, problem.New(problem.Conflict, "read again", "the partition ends at %d", len(t.records))
	}
	t.records = append(t.records, r)
	close(t.changed)
	t.changed = make(chan struct{})
	if v.log.lost {
		return 0, problem.New(problem.Unavailable, "read again", "the answer was lost")
	}
	return int64(len(t.records)), nil
}
