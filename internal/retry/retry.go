// Package retry bounds the retries of a service and spaces them within the deadline.
package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"heatherreel/internal/request"
)

// May reports whether a request may be tried again. An attempt that may have run is repeated only if the request is
// idempotent, otherwise it could run twice.
func May(now, deadline time.Time, outcome request.Outcome, idempotent bool) bool {
	if !now.Before(deadline) {
		return false
	}
	return outcome == request.NotRun || outcome == request.Unknown && idempotent
}

// maxBurst is the highest number of saved retries. Without a bound, hours of faultless requests would allow a flood
// of retries when a backend server fails.
const maxBurst = 100

// Budget limits the retries of one service to a share of its requests and a small floor per second, so that retries
// cannot multiply the load on servers that already fail. It is not safe for concurrent use.
type Budget struct {
	ratio float64
	saved float64
	floor *rate.Limiter
	// window is the time over which saved retries fade; zero if they do not. faded is when they last did.
	window time.Duration
	faded  time.Time
}

// NewBudget returns a budget of ratio retries per request, and floorPerSecond retries more, so that a service with few
// requests can retry at all.
func NewBudget(ratio, floorPerSecond float64) *Budget {
	return &Budget{ratio: ratio, floor: rate.NewLimiter(rate.Limit(floorPerSecond), max(1, int(floorPerSecond)))}
}

// NewWindowBudget returns a budget for a bound over any span of a length: what is saved by requests fades over the window,
// so that it is never more than the share of the requests of about one window.
func NewWindowBudget(ratio, floorPerSecond float64, window time.Duration) *Budget {
	b := NewBudget(ratio, floorPerSecond)
	b.window = window
	return b
}

// SetRatio changes the ratio; what is saved stays.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.fade(now)
	b.saved = min(b.saved+b.ratio, maxBurst)
}

// fade forgets what was saved before the window.
func (b *Budget) fade(now time.Time) {
	if b.window <= 0 {
		return
	}
	if passed := now.Sub(b.faded); passed > 0 && !b.faded.IsZero() {
		b.saved *= math.Exp(-float64(passed) / float64(b.window))
	}
	b.faded = now
}

// Take counts a retry if the budget allows it, and reports whether it does.
func (b *Budget) Take(now time.Time) bool {
	b.fade(now)
	if b.saved >= 1 {
		b.saved--
		return true
	}
	return b.floor.AllowN(now, 1)
}

// Backoff is a range of exponential delays with jitter.
type Backoff struct {
	// Base is the highest delay before the first retry; it doubles with each further one.
	Base time.Duration
	// Max bounds the delay.
	Max time.Duration
	// Least is the time that must remain for the attempt after the delay.
	Least time.Duration
}

// DefaultBackoff fits a failover within 1 s: several attempts fall into it.
var DefaultBackoff = Backoff{Base: 10 * time.Millisecond, Max: 250 * time.Millisecond, Least: time.Millisecond}

// Delay returns the time to wait before a retry; attempt is zero before the first. It is drawn from the upper half of
// the range, so that retries neither come at once nor together. ok is false if the deadline leaves too little time; the
// delay is shortened where that leaves enough.
func (b Backoff) Delay(attempt int, now, deadline time.Time, random *rand.Rand) (delay time.Duration, ok bool) {
	available := deadline.Sub(now) - b.Least
	if available <= 0 {
		return 0, false
	}
	highest := b.Max
	// The shift is bounded, since a large attempt number would overflow the duration.
	if attempt < 16 {
		highest = min(b.Max, b.Base<<attempt)
	}
	half := highest / 2
	delay = half + time.Duration(random.Int64N(int64(highest-half)+1))
	return min(delay, available), true
}
