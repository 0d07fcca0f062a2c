package engine

import (
	"context"
	"testing"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/request"
)

// Guards against "not run" for a request of which an earlier attempt may have run, when the last attempt is refused
// before it is routed: by a full queue, without a configuration, or outside the home regions.
func TestRefusalAfterLostAttemptIsUnknown(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		c := newCall(context.Background(), request.Request{Idempotent: true, Deadline: time.Now().Add(time.Second)})
		c.mayHaveRun = earlier
		c.finish(request.Refuse(request.QueueFull, "repeat"))
		want := request.NotRun
		if earlier {
			want = request.Unknown
		}
		if a := c.await(nil, node.Progress{}); a.Outcome != want || a.Reason != request.QueueFull {
			t.Errorf("earlier attempt may have run %v: got %s, %s", earlier, a.Outcome, a.Reason)
		}
	}
}
