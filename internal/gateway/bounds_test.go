package gateway

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
)

// dispatched is a request as another node sends it to the owner of its key.
func dispatched(id string, key uint16, homes ...string) routed.Request {
	return routed.Request{ID: id, Host: "h", Path: "/keyed/", Method: "GET", Service: "keyed", Keyed: true, Key: key, HomeRegions: homes,
		Idempotent: true, Deadline: time.Now().Add(time.Second)}
}

// Guards against a node that runs a request outside its home regions because another node sent it there.
func TestOwnerRefusesForeignHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		table, _ := w.hosts["f0"].gateway.ranges.get("keyed")
		r, _ := table.Find(10)
		h := w.hosts[r.Owner.Instance]
		a := h.gateway.Dispatch(t.Context(), dispatched("foreign", 10, "elsewhere"), node.DispatchProgress{})
		if a.Reason != request.WrongRegion || w.runs["foreign"] != 0 {
			t.Errorf("got %v %q, ran %d times", a.Outcome, a.Reason, w.runs["foreign"])
		}
		if a = h.gateway.Dispatch(t.Context(), dispatched("home", 10, h.self.Region), node.DispatchProgress{}); a.Outcome != request.Done {
			t.Errorf("in its home region: %v %q", a.Outcome, a.Reason)
		}
	})
}

// Guards against a request that leaves its home regions because its key is owned elsewhere: the owner would refuse it, but its
// body would have been sent.
func TestKeyedRequestStaysInItsHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		table, err := route.Build(2, []route.Route{{Name: "confined", Host: "h", Prefix: "/keyed/", Idempotent: true, MaxAttempts: 2,
			Parts: []route.Part{{Service: "keyed", Weight: 1}}, HomeRegions: []string{"r1"}}}, []route.Service{{Name: "keyed", Keyed: true}, {Name: "free"}}, route.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		w.mu.Lock()
		w.tables = append(w.tables, table)
		n := len(w.tables) - 1
		var sent atomic.Int64
		w.onDispatch = func(to string, r routed.Request) {
			if w.hosts[to].self.Region != "r1" {
				sent.Add(1)
			}
		}
		w.mu.Unlock()
		w.operate("config", fmt.Sprint(n))
		time.Sleep(time.Second)
		refused := 0
		for i := range 16 {
			if a := w.ask("f0", fmt.Sprintf("confined-%d", i), "/keyed/", i*4096, time.Second); a.Outcome != request.Done {
				refused++
			}
		}
		if sent.Load() != 0 {
			t.Errorf("%d requests left their home regions", sent.Load())
		}
		if refused == 0 || refused == 16 {
			t.Errorf("%d of 16 keys are refused, with owners in two regions", refused)
		}
	})
}

// Guards against a request for a key that a leaving backend server still holds, after the time for which it serves.
func TestNothingAfterTheEndOfDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		table, _ := w.hosts["f0"].gateway.ranges.get("keyed")
		r, _ := table.Find(10)
		g := w.hosts[r.Owner.Instance].gateway
		g.server.mu.Lock()
		g.server.beat.Draining = true
		g.server.drainUntil = g.deps.Now().Add(50 * time.Millisecond)
		g.server.granted, g.server.holdEnds = []keyrange.Range{r}, g.deps.Now().Add(time.Minute)
		g.server.mu.Unlock()
		if a := g.Dispatch(t.Context(), dispatched("before", 10), node.DispatchProgress{}); a.Outcome != request.Done {
			t.Errorf("before the end: %v %q", a.Outcome, a.Reason)
		}
		g.server.mu.Lock()
		g.server.beat.Draining = true
		g.server.drainUntil = g.deps.Now()
		g.server.granted, g.server.holdEnds = []keyrange.Range{r}, g.deps.Now().Add(time.Minute)
		g.server.mu.Unlock()
		if a := g.Dispatch(t.Context(), dispatched("after", 10), node.DispatchProgress{}); a.Reason != request.Draining || w.runs["after"] != 0 {
			t.Errorf("after the end: %v %q, ran %d times", a.Outcome, a.Reason, w.runs["after"])
		}
	})
}
