package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Guards against requests that run although there is no memory for their answers, also if that shows only while they wait for
// a slot; against slots that stay taken by them, and against memory that is reserved before the answers of a route are known
// to be large.
func TestRequestsWithoutMemoryForAnswersAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		g := sim.instances["f0"].gateway
		for name, grants := range map[string]int{"at the begin": 0, "at the slot": 1} {
			var sizes []int64
			answer := g.Route(t.Context(), routed.Request{ID: name, Method: "GET", Host: "h", Path: "/home/", Deadline: time.Now().Add(time.Second),
				ReserveAnswer: func(size int64) bool {
					sizes = append(sizes, size)
					return len(sizes) <= grants
				}})
			if answer.Outcome != request.NotRun || answer.Reason != request.QueueFull || answer.RetryAfter <= 0 {
				t.Errorf("%s: %v, %q, retry after %v", name, answer.Outcome, answer.Reason, answer.RetryAfter)
			}
			sim.mu.Lock()
			if sim.runs[name] != 0 {
				t.Errorf("%s: ran %v times", name, sim.runs[name])
			}
			sim.mu.Unlock()
			if len(sizes) <= grants || sizes[0] != defaultAnswerBytes {
				t.Errorf("%s: asked for %v", name, sizes)
			}
		}
		if load := g.loadReport(); load.Running != 0 || load.Waiting != 0 {
			t.Errorf("%d running, %d waiting", load.Running, load.Waiting)
		}
		// Eight answers of 540 KB raise the expected size to over 300 KB.
		for range 8 {
			g.routes.recordAnswerSize("home", 540_000)
		}
		var last int64
		g.Route(t.Context(), routed.Request{ID: "large", Method: "GET", Host: "h", Path: "/home/", Deadline: time.Now().Add(time.Second),
			ReserveAnswer: func(size int64) bool { last = size; return true }})
		if last < 300_000 {
			t.Errorf("%d bytes are reserved for a large answer", last)
		}
	})
}
