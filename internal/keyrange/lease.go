package keyrange

import "time"

// LeaseDuration and MaxHold bound ownership. LeaseDuration is how long a node may grant keys after its last read of the
// table: ownership survives a store outage of about that length, and the keys of a lost instance have no owner for as
// long. MaxHold is how long a grant lasts at the backend server at most; at the usual heartbeat interval of 870 ms it
// survives two lost heartbeats.
const (
	LeaseDuration = 8 * time.Second
	MaxHold       = 2600 * time.Millisecond
	// minHold is the shortest grant that is given; a shorter one would end before the next heartbeat.
	minHold = 300 * time.Millisecond
	// claimMargin covers the inaccuracy of two clocks: that of the owner's node, which measures the lease, and that of
	// the claimant, which measures ClaimWait.
	claimMargin = 250 * time.Millisecond
)

// clockDriftFactor is the factor by which a hold may last longer because the clock of the backend server is slow: it
// may be up to 2 % slow.
const clockDriftFactor = 1.02

// Instant is a reading of a monotonic clock that also counts the time during which the machine is suspended.
type Instant time.Duration

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant that is d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Lease is the right of a node to grant the ranges that the table assigns to its instance. The zero value has expired.
type Lease struct {
	expires Instant
}

// Extend renews the lease after a read of the table that showed no suspicion against the node. The lease counts from
// the time at which the read was sent.
func (l *Lease) Extend(sent Instant) { l.expires = max(l.expires, sent.Add(LeaseDuration)) }

// Remaining returns the remaining time of the lease; zero if it has expired.
func (l *Lease) Remaining(now Instant) time.Duration { return max(0, l.expires.Sub(now)) }

// Hold returns the duration of a grant that answers a heartbeat received now; zero means no grant. The hold ends before
// the lease does, even when a slow clock measures it.
func (l *Lease) Hold(now Instant) time.Duration { return l.HoldWithin(now, MaxHold, 0) }

// HoldWithin returns the duration of a grant of at most limit that arrives at the backend server within delay; zero means
// no grant. The hold ends before the lease does, even when it begins at the end of the delay.
func (l *Lease) HoldWithin(now Instant, limit, delay time.Duration) time.Duration {
	hold := min(limit, time.Duration(float64(l.Remaining(now)-delay)/clockDriftFactor))
	if hold < minHold {
		return 0
	}
	return hold.Truncate(time.Millisecond)
}

// HoldExpiry returns the time by which a hold that was granted now has ended for certain, even on a slow clock.
func HoldExpiry(now Instant, hold time.Duration) Instant {
	return now.Add(time.Duration(float64(hold) * clockDriftFactor))
}

// ClaimWait is how long a suspicion must stay open before the ranges of the suspected instance may be reassigned. It
// counts from the time at which the claimant read the suspicion in the table.
const ClaimWait = LeaseDuration + claimMargin
