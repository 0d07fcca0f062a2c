package engine

import (
	"context"
	"testing"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/request"
)

// Guards against the answer "not run" to a request of which an earlier attempt may have run. The last attempt can be
// refused before it is routed: by a full queue, for lack of a configuration, or outside the home regions.
func TestRefusalAfterLostAttemptIsUnknown(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		c := newCall(context.Background(), request.Request{Idempotent: true, Deadline: time.Now().Add(time.Second)})
		c.mayHaveRun = mayHaveRun
		c.finish(request.Refuse(request.QueueFull, "repeat"))
		want := request.NotRun
		if mayHaveRun {
			want = request.Unknown
		}
		if a := c.await(nil, node.Progress{}); a.Outcome != want || a.Reason != request.QueueFull {
			t.Errorf("earlier attempt may have run %v: got %s, %s", mayHaveRun, a.Outcome, a.Reason)
		}
	}
}

// Guards against the answer "not run" to a request that was sent before the node ended it, or is sent afterwards.
func TestEndedRequestIsNotRunOnlyIfUnsent(t *testing.T) {
	ended := make(chan struct{})
	close(ended)
	unsent, sent := newCall(context.Background(), request.Request{}), newCall(context.Background(), request.Request{})
	if !sent.sends.beginSend() {
		t.Error("a request that was not ended may not be sent")
	}
	if a := sent.await(ended, node.Progress{}); a.Outcome != request.Unknown {
		t.Errorf("sent request: got %v, want an unknown outcome", a.Outcome)
	}
	if a := unsent.await(ended, node.Progress{}); a.Outcome != request.NotRun {
		t.Errorf("unsent request: got %v, want a refusal", a.Outcome)
	}
	if unsent.sends.beginSend() {
		t.Error("a request that was answered as not run may still be sent")
	}
}
