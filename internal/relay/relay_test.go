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

// nodes are other nodes that reach the log, each by its name; a nil view does not.
type nodes struct {
	names []string
	views map[string]registry.Store
	calls int
	// lose makes an append through a node take effect without an answer.
	lose bool
}

func (n *nodes) Addresses() []string { return n.names }

func (n *nodes) StoreCall(ctx context.Context, address string, c registry.Call) (registry.Page, error) {
	n.calls++
	view := n.views[address]
	if view == nil {
		return registry.Page{}, problem.New(problem.NotSent, "check the node", "cannot connect to %s", address)
	}
	page, err := c.Do(ctx, view)
	if n.lose && c.Operation == registry.OperationAppend {
		return registry.Page{}, problem.New(problem.Unavailable, "read again", "the answer was lost")
	}
	return page, err
}

func world() (*fake.KeyedLog, *nodes, *Store) {
	log := fake.NewKeyedLog()
	n := &nodes{names: []string{"gone", "other"}, views: map[string]registry.Store{"other": log.For("other")}}
	return log, n, New(log.For("self"), n, eventlog.Discard())
}

// Guards against a node that stands still when the store turns it away but serves the others, and against one that goes on
// through others when it need not.
func TestRefusedNodeGoesThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, n, s := world()
		ctx := context.Background()
		record := registry.Record{Key: "k", Value: []byte("1")}
		if end, err := s.Append(ctx, "t", 0, record); err != nil || end != 1 || n.calls != 0 {
			t.Fatalf("direct append: end %d, %v, %d calls of nodes", end, err, n.calls)
		}
		log.SetRefused("self", true)
		if page, err := s.Read(ctx, "t", 0, time.Second); err != nil || page.End != 1 || len(page.Records) != 1 || !s.Away() {
			t.Errorf("read: %+v, %v", page, err)
		}
		if _, err := s.Append(ctx, "t", 0, record); problem.KindOf(err) != problem.Conflict {
			t.Errorf("append at an old end: %v", err)
		}
		if end, err := s.Append(ctx, "t", 1, record); err != nil || end != 2 {
			t.Errorf("append: end %d, %v", end, err)
		}
		log.SetRefused("self", false)
		time.Sleep(2 * directInterval)
		if page, err := s.Newest(ctx, "t"); err != nil || page.End != 2 || s.Away() {
			t.Errorf("newest: %+v, %v, away %v", page, err, s.Away())
		}
	})
}

// Guards against an append that is made again although the first may still take effect, and whose outcome is then stated
// wrongly.
func TestUnknownAppendIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, n, s := world()
		ctx := context.Background()
		record := registry.Record{Key: "k", Value: []byte("1")}
		log.SetLost(true)
		if _, err := s.Append(ctx, "t", 0, record); problem.KindOf(err) != problem.Unavailable || n.calls != 0 {
			t.Errorf("lost direct append: %v, %d calls of nodes", err, n.calls)
		}
		log.SetLost(false)
		log.SetRefused("self", true)
		n.lose = true
		n.names = []string{"other", "other"}
		if _, err := s.Append(ctx, "t", 1, record); problem.KindOf(err) != problem.Unavailable || n.calls != 1 {
			t.Errorf("append lost behind another node: %v, %d calls of nodes", err, n.calls)
		}
	})
}

// Guards against calls without end while the store is down for all.
func TestStoreDownForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, n, s := world()
		log.SetDown(true)
		if _, err := s.Newest(context.Background(), "t"); err == nil || n.calls > mostNodes {
			t.Errorf("%v after %d calls of nodes", err, n.calls)
		}
		calls := log.Calls()
		for range 10 {
			_, _ = s.Newest(context.Background(), "t")
		}
		if got := log.Calls() - calls; got > 11 {
			t.Errorf("10 calls reach the store %d times", got)
		}
	})
}
