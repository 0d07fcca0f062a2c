// Package retry limits the retries of a service with a retry budget and computes back-off delays within the deadline.
package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"heatherreel/internal/request"
)

// Allowed reports whether a request may be retried. An attempt that may have run is repeated only if the request is
// idempotent; otherwise it could run twice.
func Allowed(now, deadline time.Time, outcome request.Outcome, idempotent bool) bool {
	if !now.Before(deadline) {
		return false
	}
	return outcome == request.NotRun || outcome == request.Unknown && idempotent
}

// maxBurst is the maximum balance of a Budget, in retries. Without a bound, hours without failures would allow a burst
// of retries when a backend server fails.
const maxBurst = 100

// Budget limits the retries of one service to a fraction of its requests plus a small fixed rate, so that retries
// cannot multiply the load on servers that already fail. It is not safe for concurrent use.
type Budget struct {
	ratio float64
	// balance is the number of retries that earlier requests allow.
	balance float64
	// floorLimiter allows retries at the fixed rate, whatever the balance.
	floorLimiter *rate.Limiter
	// window is the time constant with which the balance decays; zero if it does not decay. decayedAt is when it was
	// last decayed.
	window    time.Duration
	decayedAt time.Time
}

// NewBudget returns a budget of ratio retries per request, plus floorPerSecond retries per second, so that a service
// with few requests can retry at all.
func NewBudget(ratio, floorPerSecond float64) *Budget {
	return &Budget{ratio: ratio, floorLimiter: rate.NewLimiter(rate.Limit(floorPerSecond), floorBurst(floorPerSecond))}
}

// floorBurst returns the number of retries that a fixed rate allows at once.
func floorBurst(perSecond float64) int {
	if perSecond <= 0 {
		return 0
	}
	return max(1, int(perSecond))
}

// SetFloor changes the fixed rate at the time now.
func (b *Budget) SetFloor(perSecond float64, now time.Time) {
	b.floorLimiter.SetLimitAt(now, rate.Limit(perSecond))
	b.floorLimiter.SetBurstAt(now, floorBurst(perSecond))
}

// NewWindowBudget returns a budget that bounds the retries over any period as long as the window: the balance decays
// exponentially over the window, so that it never exceeds the ratio of the requests of about one window.
func NewWindowBudget(ratio, floorPerSecond float64, window time.Duration) *Budget {
	b := NewBudget(ratio, floorPerSecond)
	b.window = window
	return b
}

// SetRatio changes the ratio; the accumulated balance stays.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// CountRequest adds the ratio to the balance for a first attempt.
func (b *Budget) CountRequest(now time.Time) {
	b.decay(now)
	b.balance = min(b.balance+b.ratio, maxBurst)
}

// decay reduces the balance exponentially according to the time since the last call.
func (b *Budget) decay(now time.Time) {
	if b.window <= 0 {
		return
	}
	if elapsed := now.Sub(b.decayedAt); elapsed > 0 && !b.decayedAt.IsZero() {
		b.balance *= math.Exp(-float64(elapsed) / float64(b.window))
	}
	b.decayedAt = now
}

// Take uses up one retry and returns true, or returns false if the budget is exhausted.
func (b *Budget) Take(now time.Time) bool {
	b.decay(now)
	if b.balance >= 1 {
		b.balance--
		return true
	}
	return b.floorLimiter.AllowN(now, 1)
}

// Backoff computes exponential back-off delays with jitter.
type Backoff struct {
	// Base is the maximum delay before the first retry; it doubles with each further retry.
	Base time.Duration
	// Max is the maximum delay before any retry.
	Max time.Duration
	// MinRemaining is the minimum time that must remain until the deadline for the attempt after the delay.
	MinRemaining time.Duration
}

// DefaultBackoff suits a failover within 1 s: several attempts are made during it.
var DefaultBackoff = Backoff{Base: 10 * time.Millisecond, Max: 250 * time.Millisecond, MinRemaining: time.Millisecond}

// Delay returns the time to wait before a retry; attempt is zero before the first retry. The delay is random within the
// upper half of the range, so that retries come neither immediately nor all at the same time. It is shortened if the
// deadline requires it; ok is false if the deadline leaves too little time for another attempt.
func (b Backoff) Delay(attempt int, now, deadline time.Time, random *rand.Rand) (delay time.Duration, ok bool) {
	available := deadline.Sub(now) - b.MinRemaining
	if available <= 0 {
		return 0, false
	}
	maxDelay := b.Max
	// The shift is bounded, since a large attempt number would overflow the duration.
	if attempt < 16 {
		maxDelay = min(b.Max, b.Base<<attempt)
	}
	half := maxDelay / 2
	delay = half + time.Duration(random.Int64N(int64(maxDelay-half)+1))
	return min(delay, available), true
}
