package node

import (
	"time"

	"heatherreel/internal/request"
)

// Intervals of progress reports, and limits of the time without data that follow from them; docs/connections.md has the
// measurements.
const (
	// maxProgressInterval is above the usual latency, so that reports are sent only for slow requests.
	maxProgressInterval = 100 * time.Millisecond
	// minProgressInterval bounds the rate of reports for requests with a short deadline.
	minProgressInterval = 25 * time.Millisecond
	// progressDivisor divides the remaining time of a request with a short deadline into report intervals, so that a
	// silent connection can be distinguished from a slow request before the deadline.
	progressDivisor = 4
	// progressMargin allows for the round trip and scheduling delay of a report.
	progressMargin = 50 * time.Millisecond
	// silenceLimit is the longest time without data from the peer while a request is in progress. It is four intervals:
	// a shorter limit mistakes a pause of the peer's process for a lost connection, a longer one leaves no time for a
	// second attempt within 500 ms.
	silenceLimit = 4 * maxProgressInterval
	// minUploadRate, in bytes per second, is about a quarter of the cross-region link. The time to send a request is
	// estimated with it, because the peer sends reports only after the whole request has arrived.
	minUploadRate = 1 << 20
)

// Progress reports to the sender of a request at intervals that the request is in progress. The zero value reports
// nothing.
type Progress struct {
	Interval time.Duration
	Report   func()
}

// Await waits for an answer from result, and calls Report at each interval meanwhile. ok is false if done is closed
// first.
func (p Progress) Await(result <-chan request.Answer, done <-chan struct{}) (answer request.Answer, ok bool) {
	var tick <-chan time.Time
	if p.Interval > 0 {
		ticker := time.NewTicker(p.Interval)
		defer ticker.Stop()
		tick = ticker.C
	}
	for {
		select {
		case answer := <-result:
			return answer, true
		case <-done:
			return request.Answer{}, false
		case <-tick:
			p.Report()
		}
	}
}

// progressInterval returns the interval of progress reports that the sender asks for.
func progressInterval(remaining time.Duration) time.Duration {
	return min(max(remaining/progressDivisor, minProgressInterval), maxProgressInterval)
}

// sendTime returns the longest time to send a request with a body of bodySize bytes.
func sendTime(bodySize int) time.Duration {
	return time.Duration(bodySize) * time.Second / minUploadRate
}

// reportOverdue reports whether a progress report should have arrived after the elapsed time. If none did, the
// connection is silent.
func reportOverdue(elapsed, interval time.Duration) bool {
	return elapsed >= interval+progressMargin
}
