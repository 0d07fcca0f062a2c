package node

import (
	"time"

	"heatherreel/internal/request"
)

// Intervals of progress reports and the silence that they bound; docs/connections.md has the measurements.
const (
	// maxProgressInterval is above the usual latency, so that only slow requests cost reports.
	maxProgressInterval = 100 * time.Millisecond
	// minProgressInterval bounds the reports of requests with a short deadline.
	minProgressInterval = 25 * time.Millisecond
	// progressShare is the part of the remaining time after which a request with a short deadline is reported, so that
	// a silent connection can be told from a slow request before the deadline.
	progressShare = 4
	// progressMargin is the round trip and scheduling time that a report may take.
	progressMargin = 50 * time.Millisecond
	// silenceLimit is four intervals: a shorter one takes a pause of the peer's process for a lost connection, a longer
	// one leaves no time for a second attempt within 500 ms.
	silenceLimit = 4 * maxProgressInterval
	// uploadRate in bytes per second is about a quarter of the cross-region link. A peer reports only after the whole
	// request has arrived.
	uploadRate = 1 << 20
)

// Progress tells the sender of a request at intervals that it is in progress. The zero value tells nothing.
type Progress struct {
	Interval time.Duration
	Report   func()
}

// Await returns the answer from result and reports at each interval until it comes. ok is false if closed is closed
// first.
func (p Progress) Await(result <-chan request.Answer, closed <-chan struct{}) (answer request.Answer, ok bool) {
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
		case <-closed:
			return request.Answer{}, false
		case <-tick:
			p.Report()
		}
	}
}

// progressInterval is the interval that the sender of a request asks for.
func progressInterval(remaining time.Duration) time.Duration {
	return min(max(remaining/progressShare, minProgressInterval), maxProgressInterval)
}

// firstSilence is the longest silence after a request with a body of this size was sent.
func firstSilence(body int) time.Duration {
	return silenceLimit + time.Duration(body)*time.Second/uploadRate
}

// provesSilence reports whether a call that failed after elapsed without any data should have seen a report.
func provesSilence(elapsed, interval time.Duration) bool {
	return elapsed >= interval+progressMargin
}
