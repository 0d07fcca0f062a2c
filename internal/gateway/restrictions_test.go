package gateway

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
)

// dispatchedRequest returns a request as another node sends it to the owner of its key.
func dispatchedRequest(id string, key uint16, homes ...string) routed.Request {
	return routed.Request{ID: id, Host: "h", Path: "/keyed/", Method: "GET", Service: "keyed", Keyed: true, Key: key, HomeRegions: homes,
		Idempotent: true, Deadline: time.Now().Add(time.Second)}
}

// Guards against a node that runs a request outside its home regions because another node sent it there.
func TestOwnerRefusesRequestOutsideHomeRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		table, _ := sim.instances["f0"].gateway.ranges.get("keyed")
		r, _ := table.Find(10)
		inst := sim.instances[r.Owner.Instance]
		a := inst.gateway.Dispatch(t.Context(), dispatchedRequest("foreign", 10, "elsewhere"), node.DispatchProgress{})
		if a.Reason != request.WrongRegion || sim.runs["foreign"] != 0 {
			t.Errorf("got %v %q, ran %d times", a.Outcome, a.Reason, sim.runs["foreign"])
		}
		if a = inst.gateway.Dispatch(t.Context(), dispatchedRequest("home", 10, inst.self.Region), node.DispatchProgress{}); a.Outcome != request.Done {
			t.Errorf("in its home region: got %v %q", a.Outcome, a.Reason)
		}
	})
}

// Guards against a request that leaves its home regions because its key has its owner elsewhere. That owner would
// refuse it, but the body would already have left the region.
func TestKeyedRequestStaysInHomeRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		table, err := route.Build(2, []route.Route{{Name: "confined", Host: "h", Prefix: "/keyed/", Idempotent: true, MaxAttempts: 2,
			Services: []route.WeightedService{{Service: "keyed", Weight: 1}}, HomeRegions: []string{"r1"}}}, []route.Service{{Name: "keyed", Keyed: true}, {Name: "free"}}, route.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		sim.mu.Lock()
		sim.tables = append(sim.tables, table)
		n := len(sim.tables) - 1
		var sent atomic.Int64
		sim.onDispatch = func(to string, r routed.Request) {
			if sim.instances[to].self.Region != "r1" {
				sent.Add(1)
			}
		}
		sim.mu.Unlock()
		sim.writeOperatorRecord("config", fmt.Sprint(n))
		time.Sleep(time.Second)
		refused := 0
		for i := range 16 {
			if a := sim.sendRequest("f0", fmt.Sprintf("confined-%d", i), "/keyed/", i*4096, time.Second); a.Outcome != request.Done {
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

// Guards against a request that runs after the drain time of a backend server because the backend server still holds
// the key.
func TestNoRequestsAfterDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		table, _ := sim.instances["f0"].gateway.ranges.get("keyed")
		r, _ := table.Find(10)
		g := sim.instances[r.Owner.Instance].gateway
		g.server.mu.Lock()
		g.server.lastHeartbeat.Draining = true
		g.server.drainUntil = g.deps.Now().Add(50 * time.Millisecond)
		g.server.holds.GrantByReply(keyhold.Spans([]keyrange.Range{r}), g.deps.Now().Add(time.Minute), g.deps.Now(), g.deps.Now())
		g.server.mu.Unlock()
		if a := g.Dispatch(t.Context(), dispatchedRequest("before", 10), node.DispatchProgress{}); a.Outcome != request.Done {
			t.Errorf("before the end: got %v %q", a.Outcome, a.Reason)
		}
		g.server.mu.Lock()
		g.server.lastHeartbeat.Draining = true
		g.server.drainUntil = g.deps.Now()
		g.server.holds.GrantByReply(keyhold.Spans([]keyrange.Range{r}), g.deps.Now().Add(time.Minute), g.deps.Now(), g.deps.Now())
		g.server.mu.Unlock()
		if a := g.Dispatch(t.Context(), dispatchedRequest("after", 10), node.DispatchProgress{}); a.Reason != request.Draining || sim.runs["after"] != 0 {
			t.Errorf("after the end: got %v %q, ran %d times", a.Outcome, a.Reason, sim.runs["after"])
		}
	})
}
