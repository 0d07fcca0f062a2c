package serving_test

import (
	"testing"
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/serving"
)

var start = time.Unix(1_000, 0)

func fenced(index uint32, fence ledger.Offset) ledger.SliceFence {
	group := keyspace.Group{Service: "orders"}
	return ledger.SliceFence{Slice: keyspace.SliceID{Group: group, Index: index}, Fence: fence}
}

// serve brings one slice to Serving.
func serve(t *testing.T, table *serving.Table, f ledger.SliceFence) {
	t.Helper()
	table.Sync([]serving.Owned{{SliceFence: f}})
	table.Advance(start)
	table.Granted(table.Grants())
	if state, _, _ := table.StateOf(f.Slice); state != serving.Serving {
		t.Fatalf("state = %s, want serving", state)
	}
}

// Guards against two owners that run requests for one slice at the same time.
func TestMovedSliceIsReleasedAfterLastRequest(t *testing.T) {
	table := serving.NewTable()
	serve(t, table, fenced(1, 10))
	if !table.Begin(fenced(1, 10).Slice, 10) {
		t.Fatal("Begin refused on a served slice")
	}
	table.Sync(nil)
	if table.Begin(fenced(1, 10).Slice, 10) {
		t.Fatal("Begin accepted after the slice moved away")
	}
	asked := []ledger.SliceFence{fenced(1, 20)}
	if free := table.Releasable(asked, 20); len(free) != 0 {
		t.Fatal("released while a request runs")
	}
	if !table.Finish(fenced(1, 10).Slice) {
		t.Fatal("Finish did not report the last request")
	}
	if free := table.Releasable(asked, 20); len(free) != 1 {
		t.Fatal("not released after the last request")
	}
}

// Guards against a release by a node that has not read the move and would still begin requests.
func TestUnreadMoveIsNotReleased(t *testing.T) {
	table := serving.NewTable()
	serve(t, table, fenced(1, 10))
	asked := []ledger.SliceFence{fenced(1, 20)}
	if free := table.Releasable(asked, 19); len(free) != 0 {
		t.Fatal("released before the move was read")
	}
	if free := table.Releasable(asked, 20); len(free) != 0 {
		t.Fatal("released while the table still serves the slice")
	}
}

// Guards against serving while a source may still run requests.
func TestNewOwnerWaitsForEverySource(t *testing.T) {
	table := serving.NewTable()
	f := fenced(1, 20)
	owned := []serving.Owned{{SliceFence: f, Sources: []ledger.Incarnation{3, 4}}}
	table.Sync(owned)
	table.Advance(start)
	table.SourceReleased(3, []ledger.SliceFence{f})
	if table.Advance(start); len(table.Grants()) != 0 {
		t.Fatal("granted while a source has not released")
	}
	table.Sync(owned)
	table.SourceReleased(4, []ledger.SliceFence{f})
	if !table.Advance(start) || len(table.Settled()) != 1 {
		t.Fatal("not granted and settled after all sources released")
	}
}

// Guards against a source that ended and can never answer.
func TestEndedSourceIsDropped(t *testing.T) {
	table := serving.NewTable()
	f := fenced(1, 20)
	table.Sync([]serving.Owned{{SliceFence: f, Sources: []ledger.Incarnation{3}}})
	later := start.Add(time.Second)
	table.Sync([]serving.Owned{{SliceFence: f, NotBefore: later}})
	if table.Advance(start) {
		t.Fatal("granted before requests of the lost source can have finished")
	}
	if !table.Advance(later) {
		t.Fatal("not granted after the bound")
	}
}

// Guards against serving on a backend server that never received the fence.
func TestRestartedBackendIsGrantedAnew(t *testing.T) {
	table := serving.NewTable()
	f := fenced(1, 10)
	serve(t, table, f)
	table.Regrant()
	if table.Begin(f.Slice, 10) {
		t.Fatal("request began before the new backend server confirmed the grant")
	}
	table.Granted(table.Grants())
	if !table.Begin(f.Slice, 10) {
		t.Fatal("request refused after the grant was confirmed")
	}
}

// Guards against a count that goes wrong when a slice leaves and returns while requests run.
func TestReturnedSliceKeepsRunningRequests(t *testing.T) {
	table := serving.NewTable()
	serve(t, table, fenced(1, 10))
	table.Begin(fenced(1, 10).Slice, 10)
	table.Sync(nil)
	table.Sync([]serving.Owned{{SliceFence: fenced(1, 30), Sources: []ledger.Incarnation{5}}})
	if table.Running() != 1 {
		t.Fatalf("running = %d, want 1", table.Running())
	}
	table.Finish(fenced(1, 30).Slice)
	if table.Running() != 0 {
		t.Fatalf("running = %d, want 0", table.Running())
	}
}

// Guards against an outdated owner that takes the release of a later one for its own.
func TestSliceOwnedAgainIsNotReleasedToOutdatedOwner(t *testing.T) {
	table := serving.NewTable()
	serve(t, table, fenced(1, 30))
	if free := table.Releasable([]ledger.SliceFence{fenced(1, 20)}, 30); len(free) != 0 {
		t.Fatal("released a slice that this node serves under a later fence")
	}
}
