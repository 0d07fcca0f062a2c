package limit

import (
	"math"
	"math/rand/v2"
	"time"
)

// serverModel is a scripted backend server. While it is cold it bears few requests at once. Above that number the
// service time grows with the square of the excess, and requests warm it less or, from half as many again, not at all,
// so that a full load keeps it cold.
type serverModel struct {
	slots int
	warm  time.Duration
	// coldFactor is how much slower a cold request is that runs alone.
	coldFactor float64
	// coldBears is the number of requests that the server bears while it is cold.
	coldBears float64
	// warmAfter is the number of requests within what it bears that make a cold server warm.
	warmAfter int
	// coldness falls from 1 to 0 as the server becomes warm.
	coldness float64
	// slowdown is above 1 while a neighbour uses the machine.
	slowdown float64
	rng      *rand.Rand
}

// bears returns the number of requests that the server bears at once.
func (m *serverModel) bears() float64 {
	return m.coldBears + (float64(m.slots)-m.coldBears)*(1-m.coldness)
}

// begin returns the service time of a request with running ones at once, itself included, and how many times more they
// are than the server bears, at least 1.
func (m *serverModel) begin(running int) (took time.Duration, excess float64) {
	factor := (1 + m.coldness*(m.coldFactor-1)) * max(m.slowdown, 1)
	excess = max(float64(running)/m.bears(), 1)
	// Service times vary by a factor of about 1.3 either way.
	vary := math.Exp(0.15 * m.rng.NormFloat64())
	return time.Duration(float64(m.warm) * factor * excess * excess * vary), excess
}

// finish notes a request that began with the excess and ended after a share of its work. A cancelled request fills a
// part of the caches.
func (m *serverModel) finish(excess, share float64) {
	warms := max(1-2*(excess-1), 0) * share
	m.coldness = max(m.coldness-warms/float64(m.warmAfter), 0)
}
