package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/serving"
)

// slowPeers are nodes behind a link on which a snapshot or the outcomes of a release take transferTime.
type slowPeers struct {
	noopDependencies
	transferTime time.Duration
	snapshot     node.Snapshot
	calls        atomic.Int32
}

func (p *slowPeers) Snapshot(ctx context.Context, _ string) (node.Snapshot, error) {
	p.calls.Add(1)
	if !sleep(ctx, p.transferTime) {
		return node.Snapshot{}, ctx.Err()
	}
	return p.snapshot, nil
}

func (p *slowPeers) Release(ctx context.Context, _ string, r node.ReleaseRequest) (node.ReleaseResult, error) {
	p.calls.Add(1)
	if !sleep(ctx, p.transferTime) {
		return node.ReleaseResult{}, ctx.Err()
	}
	return node.ReleaseResult{Released: r.Slices}, nil
}

// newEngineWithPeers returns an engine that has read a join record, and its offset.
func newEngineWithPeers(t *testing.T, p *slowPeers) (*Engine, ledger.Offset) {
	t.Helper()
	e := newUnstartedEngine(t, fake.NewLog())
	e.deps.Peers = p
	e.options.PeerAddresses = []string{"a", "b", "c"}
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	const offset = 5
	e.ledger.state.Apply(offset, &ledger.Record{Kind: ledger.KindJoin, ID: "j", Join: &ledger.Join{
		Instance: "i-2", DataCentre: "a", Region: "r", Service: "s", Addresses: ledger.Addresses{Nodes: "a"},
	}})
	if e.ledger.state.Members[offset] == nil {
		t.Fatal("the join record was rejected")
	}
	return e, offset
}

// Guards against a snapshot that is given up and requested from one node after another, over the link that makes it slow.
func TestSlowSnapshotIsNotRestarted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &slowPeers{transferTime: 4 * time.Second}
		state := ledger.NewState()
		state.Offset = 9
		data, err := state.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		p.snapshot = node.Snapshot{Offset: 9, State: data}
		e, _ := newEngineWithPeers(t, p)
		defer e.Close()
		var limiter snapshotLimiter
		next := e.fetchSnapshot(t.Context(), &limiter, 1)
		if n := p.calls.Load(); next != 10 || n != 1 {
			t.Errorf("after %d requests the node reads on at offset %d; want 1 request and offset 10", n, next)
		}
	})
}

// Guards against keys that are not served because the retained outcomes of their earlier owner arrive slowly and are
// requested again from the start.
func TestSlowReleaseIsNotRestarted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &slowPeers{transferTime: 4 * time.Second}
		e, source := newEngineWithPeers(t, p)
		defer e.Close()
		pending := serving.PendingRelease{Source: ledger.Incarnation(source), Slices: []ledger.SliceFence{{Fence: 6}}}
		if delay := e.requestRelease(pending); delay != 0 {
			t.Errorf("the slices are requested again after %v", delay)
		}
	})
}
