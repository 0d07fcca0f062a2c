// Package keyload measures the request rate of the keys of a backend server, and decides which keys to move to other
// ones.
//
// It handles two load patterns: backend servers of unequal speed that own equally many keys, and a few adjacent keys
// that receive much of a service's traffic for some seconds. The package does no I/O and reads no clock.
package keyload

import (
	"math"
	"time"

	"heatherreel/internal/keyrange"
)

// keysPerBucket is the number of adjacent keys that are counted together. With 8, busy spans of 60 keys are found;
// smaller buckets would use more memory.
const keysPerBucket = 8

const bucketCount = keyrange.KeyCount / keysPerBucket

// averagingTime is the time constant of the exponential moving average of rates. It is long enough for several requests
// of a busy key, and short enough to react to a span that is busy for a few seconds.
const averagingTime = 1500 * time.Millisecond

// Meter counts the requests of a node by key. It is not safe for concurrent use.
type Meter struct {
	// counts are the requests of each bucket since the last update of the rates.
	counts [bucketCount]uint16
	// rates are the averaged requests per second of each bucket, and total is their sum, before correction by warmup.
	rates [bucketCount]float32
	total float64
	// updatedAt is the time of the last update.
	updatedAt time.Time
	// startedAt is when averaging started. Rates start at zero and approach their full value with averagingTime.
	startedAt time.Time
}

// Count counts one request for the key.
func (m *Meter) Count(key uint16) {
	if c := &m.counts[int(key)/keysPerBucket]; *c < math.MaxUint16 {
		*c++
	}
}

// minUpdateInterval is the minimum time between two updates of the rates.
const minUpdateInterval = 100 * time.Millisecond

// Update recalculates the rates with the requests counted since the last update. The first call, or one after a long
// pause, discards all counts and starts to average anew.
func (m *Meter) Update(now time.Time) {
	elapsed := now.Sub(m.updatedAt)
	if m.updatedAt.IsZero() || elapsed > 10*averagingTime {
		m.updatedAt, m.startedAt = now, now
		m.counts = [bucketCount]uint16{}
		m.rates = [bucketCount]float32{}
		m.total = 0
		return
	}
	if elapsed < minUpdateInterval {
		return
	}
	m.updatedAt = now
	decay := float32(math.Exp(-float64(elapsed) / float64(averagingTime)))
	scale := (1 - decay) / float32(elapsed.Seconds())
	m.total = 0
	for i, n := range m.counts {
		r := m.rates[i]*decay + float32(n)*scale
		// A rate that has decayed to almost nothing becomes zero, so that PickSpan skips the bucket.
		if r < 0.001 {
			r = 0
		}
		m.rates[i] = r
		m.total += float64(r)
	}
	m.counts = [bucketCount]uint16{}
}

// warmup returns the fraction of the full rates that the averages have reached since they started at zero.
func (m *Meter) warmup() float64 {
	return max(1-math.Exp(-float64(m.updatedAt.Sub(m.startedAt))/float64(averagingTime)), minWarmup)
}

// minWarmup is the lower bound of warmup. It limits the correction just after the start, when few requests were
// counted.
const minWarmup = 0.1

// Rate returns the number of requests per second for all keys.
func (m *Meter) Rate() float64 { return m.total / m.warmup() }

// Span is a span of adjacent keys with its requests per second; From and To are its first and last key.
type Span struct {
	From, To uint16
	Rate     float64
}

// PickSpan returns the span inside one of the ranges whose rate is closest to want without exceeding limit; among
// equally good spans, the first one. It starts and ends at keys that have requests. ok is false if no span has at least
// half of the wanted rate.
func (m *Meter) PickSpan(ranges []keyrange.Range, want, limit float64) (best Span, ok bool) {
	warmup := m.warmup()
	want, limit = want*warmup, limit*warmup
	defer func() { best.Rate /= warmup }()
	for _, r := range ranges {
		from := (int(r.From) + keysPerBucket - 1) / keysPerBucket
		to := (int(r.To)+1)/keysPerBucket - 1
		sum, start := 0.0, from
		for i := from; i <= to; i++ {
			sum += float64(m.rates[i])
			for sum > limit && start <= i {
				sum -= float64(m.rates[start])
				start++
			}
			for start < i && m.rates[start] == 0 {
				start++
			}
			if start <= i && m.rates[i] > 0 && closer(sum, want, best.Rate) {
				best = Span{From: uint16(start * keysPerBucket), To: uint16(i*keysPerBucket + keysPerBucket - 1), Rate: sum}
			}
		}
	}
	return best, best.Rate >= want/2
}

// closer reports whether rate is closer to want than other is.
func closer(rate, want, other float64) bool { return math.Abs(rate-want) < math.Abs(other-want)-1e-9 }

// Load is the load of one backend server.
type Load struct {
	Instance string
	// Rate is the number of requests per second that arrive, and ServiceTime the time for which a request takes a slot.
	Rate        float64
	ServiceTime time.Duration
	Slots       int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
}

// Utilization returns the share of the slots that the arriving requests need. Above 1, they exceed the capacity.
func (l Load) Utilization() float64 { return l.Rate * l.utilizationPerRate() }

// utilizationPerRate returns the share of the slots that one request per second needs.
func (l Load) utilizationPerRate() float64 {
	if l.Slots <= 0 {
		return math.Inf(1)
	}
	return l.ServiceTime.Seconds() / float64(l.Slots)
}

// Thresholds for a move. The requests of moved keys wait for about a second, so a move must bring a clear gain.
const (
	// minBusyUtilization is the utilization above which a backend server may count as busy.
	minBusyUtilization = 0.6
	// minExcessUtilization is how far the utilization must be above the overall utilization of all backend servers.
	minExcessUtilization = 0.15
	// minMoveRate is the smallest rate, in requests per second, that justifies a move.
	minMoveRate = 0.7
)

// ShouldOffload reports whether a backend server has so much load that some of it should move: requests wait, and its
// utilization shows that this is not only a short burst.
func ShouldOffload(own Load) bool { return own.Waiting > 0 && own.Utilization() > minBusyUtilization }

// Move is the number of requests per second that another backend server should take over.
type Move struct {
	To   string
	Rate float64
}

// PlanOffload returns the load that the other backend servers should take over so that all have the same utilization.
// If several busy backend servers decide at the same time, they do not use the same spare capacity twice: each uses a
// share of it that is proportional to its share of the total surplus.
func PlanOffload(own Load, others []Load) []Move {
	if !ShouldOffload(own) {
		return nil
	}
	rate, capacity := own.Rate, 1/own.utilizationPerRate()
	for _, o := range others {
		if o.Slots > 0 {
			rate += o.Rate
			capacity += 1 / o.utilizationPerRate()
		}
	}
	meanUtilization := rate / capacity
	if own.Utilization()-meanUtilization < minExcessUtilization {
		return nil
	}
	surplus := own.Rate - meanUtilization/own.utilizationPerRate()
	totalSurplus := surplus
	for _, o := range others {
		if o.Slots > 0 {
			totalSurplus += max(0, o.Rate-meanUtilization/o.utilizationPerRate())
		}
	}
	var moves []Move
	for _, o := range others {
		if o.Slots <= 0 {
			continue
		}
		if m := (Move{To: o.Instance, Rate: (meanUtilization/o.utilizationPerRate() - o.Rate) * surplus / totalSurplus}); m.Rate >= minMoveRate {
			moves = append(moves, m)
		}
	}
	return moves
}
