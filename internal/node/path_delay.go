package node

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of the measurement of path delays.
const (
	// baselineWindow is how long the smallest clock difference counts at least; it counts for twice as long at most.
	// Clocks that differ by 100 ppm drift apart by 6 ms in that time. A shorter window would take the delay of a path
	// that is congested for some seconds for the usual one.
	baselineWindow = 30 * time.Second
	// maxClocks bounds the senders that are measured, at about five times the nodes of a large fleet.
	maxClocks = 4096
	// pathDelayValidity is how long the time to open a connection counts as the delay of the path.
	pathDelayValidity = 100 * time.Millisecond
	// maxPathDelay is above the time that callers wait. A larger difference is not the delay of a request, but a change of
	// one of the clocks, for example of a virtual machine that was moved.
	maxPathDelay = 30 * time.Second
)

// sendTimes are what a sender states about the time of a request.
type sendTimes struct {
	clock uint64
	// sent is the reading of the clock at the send.
	sent time.Duration
	// pathDelay is the delay of the path as the sender measured it just before; zero if it did not.
	pathDelay time.Duration
}

// newClockID returns a random identifier, which is not 0, for the clock of a process.
func newClockID() uint64 { return rand.Uint64() | 1 }

// pathDelays measures how long requests of other nodes are on their way. The clocks of two machines count from different
// times, so that the reading at the arrival minus the reading at the send is an unknown difference of the clocks plus the
// delay. The smallest such value of the last time stands for a request without delay; what a request has above it is its
// delay. This also covers the time in which the receiving process is too busy to read the request.
//
// The readings must be of clocks that advance while the machine is suspended. Otherwise all requests of a machine that was
// suspended would count as delayed.
//
// mu guards the fields below it. No other lock is acquired while it is held.
type pathDelays struct {
	mu      sync.Mutex
	clocks  map[uint64]*clockDifference
	sweptAt time.Duration
}

// clockDifference is the smallest difference to the clock of one sender.
type clockDifference struct {
	// current is the smallest difference since windowStart, and previous that of the window before it.
	current, previous time.Duration
	windowStart       time.Duration
}

func newPathDelays() *pathDelays { return &pathDelays{clocks: map[uint64]*clockDifference{}} }

// observe returns for how long a request was on its way that a sender sent at the reading sent of its clock and that was
// received at the reading received of the local clock. stated is the delay as the sender measured it, which counts if it
// is longer: the first request of a sender may be delayed already.
func (p *pathDelays) observe(clock uint64, sent, stated, received time.Duration) time.Duration {
	measured := time.Duration(0)
	if clock != 0 {
		measured = p.excess(clock, received-sent, received)
	}
	return max(measured, min(stated, maxPathDelay))
}

// excess returns by how much a difference exceeds the smallest one of its clock.
func (p *pathDelays) excess(clock uint64, difference, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	d := p.clocks[clock]
	if d == nil {
		if len(p.clocks) < maxClocks {
			p.clocks[clock] = &clockDifference{current: difference, previous: difference, windowStart: now}
		}
		return 0
	}
	if now-d.windowStart >= baselineWindow {
		d.previous, d.current, d.windowStart = d.current, difference, now
	}
	d.current = min(d.current, difference)
	excess := difference - min(d.current, d.previous)
	if excess > maxPathDelay {
		*d = clockDifference{current: difference, previous: difference, windowStart: now}
		return 0
	}
	return excess
}

// sweep removes the clocks from which no request came for long. The caller holds mu.
func (p *pathDelays) sweep(now time.Duration) {
	if now-p.sweptAt < baselineWindow {
		return
	}
	p.sweptAt = now
	maps.DeleteFunc(p.clocks, func(_ uint64, d *clockDifference) bool { return now-d.windowStart >= 2*baselineWindow })
}
