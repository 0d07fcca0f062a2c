// Package keyload measures which keys of a backend server are busy, and decides which of them to move to another one.
//
// It answers two load patterns: backend servers of unequal speed that own equally many keys, and a few neighbouring keys
// that draw much of a service's traffic for some seconds. The package does no I/O and reads no clock.
package keyload

import (
	"math"
	"time"

	"heatherreel/internal/keyrange"
)

// bucketKeys is the number of neighbouring keys that are counted together. Busy stretches of 60 keys are seen; smaller
// buckets cost memory.
const bucketKeys = 8

const buckets = keyrange.Keys / bucketKeys

// memory is the time over which rates are averaged: long enough for some requests of a busy key, and short enough to act
// within a stretch that is busy for a few seconds.
const memory = 1500 * time.Millisecond

// Meter counts the requests of a node by key. It is not safe for concurrent use.
type Meter struct {
	counts [buckets]uint16
	rates  [buckets]float32
	total  float64
	at     time.Time
	// began is when the rates began to be averaged; they grow to their full value within the memory after it.
	began time.Time
}

// Count counts one request for the key.
func (m *Meter) Count(key uint16) {
	if c := &m.counts[int(key)/bucketKeys]; *c < math.MaxUint16 {
		*c++
	}
}

// leastTick is the shortest time between two updates of the rates.
const leastTick = 100 * time.Millisecond

// Tick updates the rates with what was counted since the last call.
func (m *Meter) Tick(now time.Time) {
	passed := now.Sub(m.at)
	if m.at.IsZero() || passed > 10*memory {
		m.at, m.began = now, now
		m.counts = [buckets]uint16{}
		m.rates = [buckets]float32{}
		m.total = 0
		return
	}
	if passed < leastTick {
		return
	}
	m.at = now
	keep := float32(math.Exp(-float64(passed) / float64(memory)))
	scale := (1 - keep) / float32(passed.Seconds())
	m.total = 0
	for i, n := range m.counts {
		r := m.rates[i]*keep + float32(n)*scale
		if r < 0.001 {
			r = 0
		}
		m.rates[i] = r
		m.total += float64(r)
	}
	m.counts = [buckets]uint16{}
}

// part returns which part of the full rates the averages have reached.
func (m *Meter) part() float64 {
	return max(1-math.Exp(-float64(m.at.Sub(m.began))/float64(memory)), leastPart)
}

// leastPart bounds the part that is taken for known shortly after the beginning, when few requests were counted.
const leastPart = 0.1

// Rate returns the requests a second for all keys.
func (m *Meter) Rate() float64 { return m.total / m.part() }

// Span is a stretch of neighbouring keys with its requests a second.
type Span struct {
	From, To uint16
	Rate     float64
}

// Pick returns the stretch inside the ranges whose rate comes nearest to want without being over most; of equally good ones
// the one with the fewest keys. ok is false if no stretch has half of what is wanted.
func (m *Meter) Pick(ranges []keyrange.Range, want, most float64) (best Span, ok bool) {
	part := m.part()
	want, most = want*part, most*part
	defer func() { best.Rate /= part }()
	for _, r := range ranges {
		from := (int(r.From) + bucketKeys - 1) / bucketKeys
		to := (int(r.To)+1)/bucketKeys - 1
		sum, low := 0.0, from
		for i := from; i <= to; i++ {
			sum += float64(m.rates[i])
			for sum > most && low <= i {
				sum -= float64(m.rates[low])
				low++
			}
			for low < i && m.rates[low] == 0 {
				low++
			}
			if low <= i && m.rates[i] > 0 && better(sum, want, best.Rate) {
				best = Span{From: uint16(low * bucketKeys), To: uint16(i*bucketKeys + bucketKeys - 1), Rate: sum}
			}
		}
	}
	return best, best.Rate >= want/2
}

// better reports whether a rate comes nearer to want than another.
func better(rate, want, than float64) bool { return math.Abs(rate-want) < math.Abs(than-want)-1e-9 }

// Load is the load of one backend server.
type Load struct {
	Instance string
	// Rate is the number of requests a second that arrive, and ServiceTime the time of one in a slot.
	Rate        float64
	ServiceTime time.Duration
	Slots       int
	// Waiting is the number of requests without a slot.
	Waiting int
}

// Use returns the share of the slots that the requests take; above 1 they cannot all run.
func (l Load) Use() float64 { return l.Rate * l.perRequest() }

// perRequest returns the share of the slots that one request a second takes.
func (l Load) perRequest() float64 {
	if l.Slots <= 0 {
		return math.Inf(1)
	}
	return l.ServiceTime.Seconds() / float64(l.Slots)
}

// Bounds of a move. A move keeps its requests waiting for about a second, so that it must bring a clear gain.
const (
	busyUse = 0.6
	// leastExcess is how far the use must be above that of all together.
	leastExcess = 0.15
	// leastRate is the smallest rate that is worth a move, in requests a second.
	leastRate = 0.7
)

// Busy reports whether a backend server has so much load that some of it should move: requests wait, and not only for a
// moment.
func Busy(own Load) bool { return own.Waiting > 0 && own.Use() > busyUse }

// Move says how many requests a second another backend server should take.
type Move struct {
	To   string
	Rate float64
}

// Shift returns what the others should take, so that all are used alike. Several busy backend servers that decide at once
// do not give the same room away: each fills its part of it, as large as its part of all that is too much.
func Shift(own Load, others []Load) []Move {
	if !Busy(own) {
		return nil
	}
	rate, capacity := own.Rate, 1/own.perRequest()
	for _, o := range others {
		if o.Slots > 0 {
			rate += o.Rate
			capacity += 1 / o.perRequest()
		}
	}
	even := rate / capacity
	if own.Use()-even < leastExcess {
		return nil
	}
	surplus := own.Rate - even/own.perRequest()
	total := surplus
	for _, o := range others {
		if o.Slots > 0 {
			total += max(0, o.Rate-even/o.perRequest())
		}
	}
	var moves []Move
	for _, o := range others {
		if o.Slots <= 0 {
			continue
		}
		if m := (Move{To: o.Instance, Rate: (even/o.perRequest() - o.Rate) * surplus / total}); m.Rate >= leastRate {
			moves = append(moves, m)
		}
	}
	return moves
}
