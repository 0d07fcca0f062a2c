package keyrange

import "time"

// Times of ownership. LeaseTime bounds how long a node may grant keys without having read the table: it bears outages of
// the store of about that length, and is how long the keys of a lost instance stay without an owner. HoldTime is how
// long a grant lasts at the backend server; it bears two lost heartbeats of the usual interval of 870 ms.
const (
	LeaseTime = 8 * time.Second
	HoldTime  = 2600 * time.Millisecond
	// leastHold is the shortest grant worth giving; a shorter one ends before the next heartbeat.
	leastHold = 300 * time.Millisecond
	// claimMargin covers the reading of two clocks at the ends of the lease.
	claimMargin = 250 * time.Millisecond
)

// clockSlow is how much longer a hold may last by the clock of a slow backend server, as a ratio.
const clockSlow = 1.02

// Instant is a reading of a clock that also counts the time during which the machine is suspended.
type Instant time.Duration

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant after d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Lease is the right of a node to grant what the table says. The zero value holds nothing.
type Lease struct {
	until Instant
}

// Confirm extends the lease by a read of the table that was sent at the time and showed no suspicion against the node.
func (l *Lease) Confirm(sent Instant) { l.until = max(l.until, sent.Add(LeaseTime)) }

// Left returns how long the lease still holds.
func (l *Lease) Left(now Instant) time.Duration { return max(0, l.until.Sub(now)) }

// Hold returns how long a grant may last that answers a heartbeat which arrives now; zero for no grant. The whole hold,
// measured by a slow clock, lies inside the lease.
func (l *Lease) Hold(now Instant) time.Duration {
	hold := min(HoldTime, time.Duration(float64(l.Left(now))/clockSlow))
	if hold < leastHold {
		return 0
	}
	return hold.Truncate(time.Millisecond)
}

// HoldEnds returns when a grant of the length that was given now has surely ended.
func HoldEnds(now Instant, hold time.Duration) Instant {
	return now.Add(time.Duration(float64(hold) * clockSlow))
}

// ClaimWait is how long a suspicion must stay open, from when the claimant saw it in the table, until the ranges of the
// suspected instance may be given away.
const ClaimWait = LeaseTime + claimMargin
