package serving_test

import (
	"testing"
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/serving"
)

var start = time.Unix(1_000, 0)

func sliceFence(index uint32, fence ledger.Offset) ledger.SliceFence {
	group := keyspace.Group{Service: "orders"}
	return ledger.SliceFence{Slice: keyspace.SliceID{Group: group, Index: index}, Fence: fence}
}

// serve makes the table serve one slice.
func serve(t *testing.T, table *serving.Table, f ledger.SliceFence) {
	t.Helper()
	table.Sync([]serving.OwnedSlice{{SliceFence: f}})
	table.Advance(start)
	table.ConfirmGrants(table.Grants())
	if state, _, _ := table.StateOf(f.Slice); state != serving.Serving {
		t.Fatalf("state = %s, want serving", state)
	}
}

// Guards against two owners that run requests for the same slice, because it is released before the last request
// finished.
func TestMovedSliceIsReleasedAfterLastRequest(t *testing.T) {
	table := serving.NewTable()
	serve(t, table, sliceFence(1, 10))
	if !table.Begin(sliceFence(1, 10).Slice, 10) {
		t.Fatal("Begin refused on a served slice")
	}
	table.Sync(nil)
	if table.Begin(sliceFence(1, 10).Slice, 10) {
		t.Fatal("Begin accepted after the slice moved away")
	}
	asked := []ledger.SliceFence{sliceFence(1, 20)}
	if releasable := table.Releasable(asked, 20); len(releasable) != 0 {
		t.Fatal("released while a request runs")
	}
	if !table.Finish(sliceFence(1, 10).Slice) {
		t.Fatal("Finish did not report the last request")
	}
	if releasable := table.Releasable(asked, 20); len(releasable) != 1 {
		t.Fatal("not released after the last request")
	}
}

// Guards against a release by a node that has not read the move in the log and would still begin requests.
func TestUnreadMoveIsNotReleased(t *testing.T) {
	table := serving.NewTable()
	serve(t, table, sliceFence(1, 10))
	asked := []ledger.SliceFence{sliceFence(1, 20)}
	if releasable := table.Releasable(asked, 19); len(releasable) != 0 {
		t.Fatal("released before the move was read")
	}
	if releasable := table.Releasable(asked, 20); len(releasable) != 0 {
		t.Fatal("released while the table still serves the slice")
	}
}

// Guards against serving a slice while a source may still run requests for it.
func TestNewOwnerWaitsForEverySource(t *testing.T) {
	table := serving.NewTable()
	f := sliceFence(1, 20)
	owned := []serving.OwnedSlice{{SliceFence: f, Sources: []ledger.Incarnation{3, 4}}}
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

// Guards against waiting forever for a source that has ended, and against serving while its requests may be in flight.
func TestEndedSourceIsDropped(t *testing.T) {
	table := serving.NewTable()
	f := sliceFence(1, 20)
	table.Sync([]serving.OwnedSlice{{SliceFence: f, Sources: []ledger.Incarnation{3}}})
	later := start.Add(time.Second)
	table.Sync([]serving.OwnedSlice{{SliceFence: f, NotBefore: later}})
	if table.Advance(start) {
		t.Fatal("granted before requests of the lost source can have finished")
	}
	if !table.Advance(later) {
		t.Fatal("not granted after the bound")
	}
}

// Guards against sending requests to a restarted backend server that has not received the grants.
func TestRestartedBackendIsGrantedAnew(t *testing.T) {
	table := serving.NewTable()
	f := sliceFence(1, 10)
	serve(t, table, f)
	table.Regrant()
	if table.Begin(f.Slice, 10) {
		t.Fatal("request began before the new backend server confirmed the grant")
	}
	table.ConfirmGrants(table.Grants())
	if !table.Begin(f.Slice, 10) {
		t.Fatal("request refused after the grant was confirmed")
	}
}

// Guards against a wrong number of running requests when a slice moves away and back while requests run.
func TestReturnedSliceKeepsRunningRequests(t *testing.T) {
	table := serving.NewTable()
	serve(t, table, sliceFence(1, 10))
	table.Begin(sliceFence(1, 10).Slice, 10)
	table.Sync(nil)
	table.Sync([]serving.OwnedSlice{{SliceFence: sliceFence(1, 30), Sources: []ledger.Incarnation{5}}})
	if table.Running() != 1 {
		t.Fatalf("running = %d, want 1", table.Running())
	}
	table.Finish(sliceFence(1, 30).Slice)
	if table.Running() != 0 {
		t.Fatalf("running = %d, want 0", table.Running())
	}
}

// Guards against releasing a slice to an outdated owner after this node became its owner again.
func TestSliceOwnedAgainIsNotReleasedToOutdatedOwner(t *testing.T) {
	table := serving.NewTable()
	serve(t, table, sliceFence(1, 30))
	if releasable := table.Releasable([]ledger.SliceFence{sliceFence(1, 20)}, 30); len(releasable) != 0 {
		t.Fatal("released a slice that this node serves under a later fence")
	}
}
