package retry

import (
	"testing"
	"time"

	"heatherreel/internal/request"
)

// Guards against requests that go from one full queue to the next until their callers have no time left to come back, and
// against refusals after one short wait although other servers may have room.
func TestRefusalIsFinalAfterLongWait(t *testing.T) {
	start := time.Unix(0, 0)
	deadline := start.Add(2 * time.Second)
	for _, c := range []struct {
		after  time.Duration
		reason request.Reason
		want   bool
	}{
		{100 * time.Millisecond, request.QueueFull, false},
		{600 * time.Millisecond, request.QueueFull, true},
		{600 * time.Millisecond, request.DeadlineTooClose, true},
		{600 * time.Millisecond, request.OwnerUnreachable, false},
		{600 * time.Millisecond, request.Stopping, false},
	} {
		if got := WaitedTooLong(start.Add(c.after), start, deadline, c.reason); got != c.want {
			t.Errorf("%v after %v: got %v, want %v", c.reason, c.after, got, c.want)
		}
	}
}
