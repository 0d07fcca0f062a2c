package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/fake"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// fakeNodes are other nodes with their own connection to the store; a node without a store cannot be reached.
type fakeNodes struct {
	addresses []string
	stores    map[string]registry.Store
	calls     int
	// loseAppendAnswers makes appends through a node take effect without an answer.
	loseAppendAnswers bool
}

func (n *fakeNodes) Addresses() []string { return n.addresses }

func (n *fakeNodes) StoreCall(ctx context.Context, address string, c registry.Call) (registry.Page, error) {
	n.calls++
	store := n.stores[address]
	if store == nil {
		return registry.Page{}, problem.New(problem.NotSent, "check the node", "cannot connect to %s", address)
	}
	page, err := c.Do(ctx, store)
	if n.loseAppendAnswers && c.Operation == registry.OperationAppend {
		return registry.Page{}, problem.New(problem.Unavailable, "read again", "the answer was lost")
	}
	return page, err
}

func newTestStore() (*fake.PlatformStore, *fakeNodes, *Store) {
	store := fake.NewPlatformStore()
	n := &fakeNodes{addresses: []string{"gone", "other"}, stores: map[string]registry.Store{"other": store.ClientFor("other")}}
	var s *Store
	s = New(store.ClientFor("self"), n, eventlog.Discard(), func(delay time.Duration) {
		time.AfterFunc(delay, func() { s.Probe(context.Background()) })
	})
	return store, n, s
}

// Guards against a node that cannot continue when the store refuses only its connections, and against one that still
// relays calls when it can reach the store again.
func TestRelaysWhileStoreRefusesNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, n, s := newTestStore()
		ctx := context.Background()
		record := registry.Record{Key: "k", Value: []byte("1")}
		if end, err := s.Append(ctx, "t", 0, record); err != nil || end != 1 || n.calls != 0 {
			t.Fatalf("direct append: end %d, %v, %d calls of nodes", end, err, n.calls)
		}
		store.SetUnreachable("self", true)
		if page, err := s.Read(ctx, "t", 0, time.Second); err != nil || page.End != 1 || len(page.Records) != 1 || !s.Unreachable() {
			t.Errorf("read: %+v, %v", page, err)
		}
		if _, err := s.Append(ctx, "t", 0, record); problem.KindOf(err) != problem.Conflict {
			t.Errorf("append at an old end: %v", err)
		}
		if end, err := s.Append(ctx, "t", 1, record); err != nil || end != 2 {
			t.Errorf("append: end %d, %v", end, err)
		}
		store.SetUnreachable("self", false)
		time.Sleep(2 * directInterval)
		if page, err := s.Newest(ctx, "t"); err != nil || page.End != 2 || s.Unreachable() {
			t.Errorf("newest: %+v, %v, unreachable %v", page, err, s.Unreachable())
		}
	})
}

// Guards against repeating an append that may still take effect, which would then report a wrong outcome.
func TestUnknownAppendIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, n, s := newTestStore()
		ctx := context.Background()
		record := registry.Record{Key: "k", Value: []byte("1")}
		store.SetLoseReplies(true)
		if _, err := s.Append(ctx, "t", 0, record); problem.KindOf(err) != problem.Unavailable || n.calls != 0 {
			t.Errorf("lost direct append: %v, %d calls of nodes", err, n.calls)
		}
		store.SetLoseReplies(false)
		store.SetUnreachable("self", true)
		n.loseAppendAnswers = true
		n.addresses = []string{"other", "other"}
		if _, err := s.Append(ctx, "t", 1, record); problem.KindOf(err) != problem.Unavailable || n.calls != 1 {
			t.Errorf("append lost behind another node: %v, %d calls of nodes", err, n.calls)
		}
	})
}

// Guards against an unbounded number of calls while no node reaches the store.
func TestCallsAreBoundedWhileNoNodeReachesStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, n, s := newTestStore()
		store.SetDown(true)
		if _, err := s.Newest(context.Background(), "t"); err == nil || n.calls > maxNodes {
			t.Errorf("%v after %d calls of nodes", err, n.calls)
		}
		calls := store.CallCount()
		for range 10 {
			_, _ = s.Newest(context.Background(), "t")
		}
		if got := store.CallCount() - calls; got > 11 {
			t.Errorf("10 calls reach the store %d times", got)
		}
	})
}

// failingStore is a store that answers with an error.
type failingStore struct {
	registry.Store
	err error
}

func (s failingStore) Newest(context.Context, string) (registry.Page, error) {
	return registry.Page{}, s.err
}

// Guards against a direct read that is repeated through other nodes although its answer was arriving: they would read
// the same records over the same link.
func TestSlowDirectReadIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, n, _ := newTestStore()
		slow := problem.New(problem.Unavailable, "check the link", "the answer is not complete: %w", context.DeadlineExceeded)
		s := New(failingStore{store.ClientFor("self"), slow}, n, eventlog.Discard(), func(time.Duration) {})
		if _, err := s.Newest(context.Background(), "t"); problem.KindOf(err) != problem.Unavailable || n.calls != 0 || s.Unreachable() {
			t.Errorf("%v, %d calls of nodes, unreachable %v", err, n.calls, s.Unreachable())
		}
	})
}

// Guards against a node that does not use other nodes while it cannot connect to the store in time.
func TestReadIsRelayedAfterDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, n, _ := newTestStore()
		unreachable := problem.New(problem.NotSent, "check the link", "dial: %w", context.DeadlineExceeded)
		s := New(failingStore{store.ClientFor("self"), unreachable}, n, eventlog.Discard(), func(time.Duration) {})
		if _, err := s.Newest(context.Background(), "t"); err != nil || n.calls == 0 || !s.Unreachable() {
			t.Errorf("%v, %d calls of nodes, unreachable %v", err, n.calls, s.Unreachable())
		}
	})
}

// Guards against a read that never completes because each of several nodes is given up while it still reads the same
// records over the same slow link.
func TestSlowRelayedReadCompletes(t *testing.T) {
	const recordBytes, transferTime = 256 << 10, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store, n, s := newTestStore()
		n.addresses = []string{"other", "third", "fourth"}
		for _, name := range n.addresses {
			n.stores[name] = store.ClientFor(name)
		}
		store.SetLink(recordBytes*int(time.Second)/int(transferTime), 14<<10, n.addresses...)
		ctx := context.Background()
		if _, err := s.Append(ctx, "t", 0, registry.Record{Key: "k", Value: make([]byte, recordBytes)}); err != nil {
			t.Fatal(err)
		}
		store.SetUnreachable("self", true)
		_, err := s.Newest(ctx, "t")
		if err == nil || n.calls != 1 {
			t.Errorf("first read: %v, %d calls of nodes", err, n.calls)
		}
		if page, err := s.Newest(ctx, "t"); err != nil || len(page.Records) != 1 || n.calls != 2 {
			t.Errorf("second read: %d records, %v, %d calls of nodes", len(page.Records), err, n.calls)
		}
		if got := store.CarriedBytes("other"); got > 2*recordBytes {
			t.Errorf("the link carried %d bytes for a record of %d", got, recordBytes)
		}
	})
}

// Guards against a node that keeps to another node that does not answer any more.
func TestSilentNodeIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, n, s := newTestStore()
		n.addresses = []string{"silent", "other"}
		n.stores["silent"] = store.ClientFor("silent")
		store.SetLink(1, 14<<10, "silent")
		ctx := context.Background()
		if _, err := s.Append(ctx, "t", 0, registry.Record{Key: "k", Value: []byte("1")}); err != nil {
			t.Fatal(err)
		}
		store.SetUnreachable("self", true)
		started := time.Now()
		_, _ = s.Newest(ctx, "t")
		if _, err := s.Newest(ctx, "t"); err != nil {
			t.Error(err)
		}
		if took := time.Since(started); took > relayTimeout+100*time.Millisecond {
			t.Errorf("a read through another node completed after %v", took)
		}
	})
}

// Guards against a reader that waits for another node while the store has become reachable again.
func TestReadThroughNodeEndsWhenStoreIsReachable(t *testing.T) {
	for _, outage := range []time.Duration{100 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store, n, s := newTestStore()
			n.addresses = []string{"silent"}
			n.stores["silent"] = store.ClientFor("silent")
			store.SetLink(1, 14<<10, "silent")
			ctx := context.Background()
			record := registry.Record{Key: "k", Value: make([]byte, 100)}
			if _, err := s.Append(ctx, "t", 0, record); err != nil {
				t.Fatal(err)
			}
			if _, err := s.Read(ctx, "t", 0, 0); err != nil {
				t.Fatal(err)
			}
			store.SetUnreachable("self", true)
			for range maxTimeoutDoublings {
				_, _ = s.Newest(ctx, "t")
			}
			if _, err := store.ClientFor("operator").Append(ctx, "t", 1, record); err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(outage, func() { store.SetUnreachable("self", false) })
			started := time.Now()
			page, err := s.Read(ctx, "t", 1, time.Second)
			if took := time.Since(started); err != nil || page.End != 2 || took > outage+directInterval+100*time.Millisecond {
				t.Errorf("an outage of %v: %+v, %v after %v", outage, page, err, took)
			}
		})
	}
}

// Guards against a store that counts as unreachable because a call fails that began before its outage ended.
func TestCallOfBeforeDoesNotMakeStoreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, s := newTestStore()
		lost := problem.New(problem.Unavailable, "check the store", "no answer")
		before := time.Now()
		time.Sleep(time.Millisecond)
		s.recordDirect(t.Context(), time.Now(), nil)
		if !s.recordDirect(t.Context(), before, lost) || !s.Unreachable() {
			t.Error("the store is reachable although a call failed, and there was no outage before")
		}
		began := time.Now()
		time.Sleep(time.Millisecond)
		if s.recordDirect(t.Context(), time.Now(), nil); s.recordDirect(t.Context(), began, lost) || s.Unreachable() {
			t.Error("the store is unreachable after a call was lost in an outage that has ended")
		}
		time.Sleep(time.Millisecond)
		if !s.recordDirect(t.Context(), time.Now(), lost) || !s.Unreachable() {
			t.Error("the store is reachable although the last call failed")
		}
	})
}
