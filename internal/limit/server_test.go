package limit

import (
	"math"
	"math/rand/v2"
	"time"
)

// serverModel is a model of a backend server with caches. While it is cold, it can handle few concurrent requests.
// Above that capacity, the service time grows with the square of the overload, and each request warms the server less;
// from one and a half times the capacity on, not at all. A full load therefore keeps it cold.
type serverModel struct {
	// slots is the number of concurrent requests that the server can handle when warm.
	slots int
	// warm is the median service time of a single request on a warm server.
	warm time.Duration
	// coldFactor is the service time of a single request on a cold server, as a multiple of the one on a warm server.
	coldFactor float64
	// coldCapacity is the number of concurrent requests that the server can handle while it is cold.
	coldCapacity float64
	// warmAfter is the number of requests within the capacity that warm up a cold server.
	warmAfter int
	// coldness falls from 1 to 0 as the server becomes warm.
	coldness float64
	// slowdown is above 1 while another program uses the machine.
	slowdown float64
	rng      *rand.Rand
}

// capacity returns the number of concurrent requests that the server can handle.
func (m *serverModel) capacity() float64 {
	return m.coldCapacity + (float64(m.slots)-m.coldCapacity)*(1-m.coldness)
}

// begin returns the service time of a request that starts when running requests, itself included, are at the server.
// The excess is their number as a multiple of the capacity, at least 1.
func (m *serverModel) begin(running int) (serviceTime time.Duration, excess float64) {
	factor := (1 + m.coldness*(m.coldFactor-1)) * max(m.slowdown, 1)
	excess = max(float64(running)/m.capacity(), 1)
	// Service times vary by a factor of about 1.3 either way.
	jitter := math.Exp(0.15 * m.rng.NormFloat64())
	return time.Duration(float64(m.warm) * factor * excess * excess * jitter), excess
}

// finish warms the server by a request that began at the excess and did a fraction of its work: a canceled request
// fills only a part of the caches.
func (m *serverModel) finish(excess, fraction float64) {
	warming := max(1-2*(excess-1), 0) * fraction
	m.coldness = max(m.coldness-warming/float64(m.warmAfter), 0)
}
