package retry

import (
	"time"

	"heatherreel/internal/request"
)

// waitedDivisor is the fraction of the time of a request, from its arrival to its deadline, after which a refusal for lack of
// room is final. In three quarters of its time the caller can still come back when there is room, and with a third of what
// then remains it honours Retry-After.
const waitedDivisor = 4

// WaitedTooLong reports whether a request that a backend server had no room for is refused, although other servers could be
// asked. It answers a service whose servers are all full: requests went from queue to queue and were refused when
// their callers had no time left to come back.
func WaitedTooLong(now, started, deadline time.Time, reason request.Reason) bool {
	switch reason {
	case request.QueueFull, request.DeadlineTooClose:
		return now.Sub(started) > deadline.Sub(started)/waitedDivisor
	}
	return false
}
