// Package choice selects the backend server of a request among those that may serve it.
//
// It answers three load patterns: neighbours on a machine that slow it for a fraction of a second, bursts that reach all
// ingress nodes at once, and data centres of unequal load. The package does no I/O and reads no clock.
package choice

import (
	"time"

	"heatherreel/internal/routed"
)

// Distance is how far a candidate is from the ingress node.
type Distance uint8

// Distances from near to far.
const (
	SameInstance Distance = iota
	SameDataCentre
	SameRegion
	OtherRegion
)

// Costs of a distance in time that a caller would wait instead. Round trips are 0.2 ms in a data centre, 2 ms in a region
// and 16 ms between regions.
var distanceCost = [...]time.Duration{0, time.Millisecond, 4 * time.Millisecond, 30 * time.Millisecond}

// Costs of a byte between data centres and between regions. Traffic between regions shares links of 30 Mbit/s and is
// billed; an answer of 5 KB there is worth about 200 ms of waiting.
const (
	zoneByteCost   = 3 * time.Microsecond
	regionByteCost = 40 * time.Microsecond
)

// transferCost returns the cost of the bytes of a request and its answer.
func transferCost(d Distance, bytes int) time.Duration {
	switch d {
	case SameRegion:
		return time.Duration(bytes) * zoneByteCost
	case OtherRegion:
		return time.Duration(bytes) * regionByteCost
	default:
		return 0
	}
}

// Defaults for a backend server that has not reported yet.
const (
	unknownServiceTime = 100 * time.Millisecond
	unknownSlots       = 4
)

// reportLife is the age at which a report says nothing any more of what runs and waits. It is several times the mean time
// of a request, after which other requests run.
const reportLife = time.Second

// slowdownLife is the age at which a report says nothing any more of a machine that was slow at the moment.
const slowdownLife = 400 * time.Millisecond

// failurePenalty is added for each failure in a row; a second makes any backend server without failures the better one.
const failurePenalty = time.Second

// coldPenalty is added for a cold backend server, which takes about twice as long and refuses what exceeds a low rate.
const coldPenalty = 300 * time.Millisecond

// scarceCost is added for a scarce backend server in proportion to its load, so that confined requests find room there.
const scarceCost = 80 * time.Millisecond

// Candidate is one backend server that may serve a request.
type Candidate struct {
	Instance string
	Distance Distance
	// Load is the last report, and Age its age.
	Load routed.Load
	Age  time.Duration
	// Pending is the number of requests that this node has sent there since the report and that are not answered.
	Pending int
	// Failures is the number of failures in a row.
	Failures int
	// Scarce marks a backend server that other requests are confined to, while this one is not.
	Scarce bool
	// Bytes is the expected size of the request and its answer.
	Bytes int
}

// Cost returns the expected time until an answer of the candidate.
func (c Candidate) Cost() time.Duration {
	service, slots := c.Load.ServiceTime, c.Load.Slots
	if service <= 0 {
		service = unknownServiceTime
	}
	if slots <= 0 {
		slots = unknownSlots
	}
	cost := distanceCost[c.Distance] + transferCost(c.Distance, c.Bytes) + time.Duration(c.Failures)*failurePenalty
	if c.Load.ColdFor > c.Age {
		cost += coldPenalty
	}
	if c.Load.Slowdown > 1 {
		remaining := 1 - float64(min(c.Age, slowdownLife))/float64(slowdownLife)
		service = time.Duration(float64(service) * (1 + (c.Load.Slowdown-1)*remaining))
	}
	fresh := 1 - float64(min(c.Age, reportLife))/float64(reportLife)
	ahead := float64(c.Load.Running+c.Load.Waiting)*fresh + float64(c.Pending)
	load := (ahead + 1) / float64(slots)
	if c.Scarce {
		cost += time.Duration(float64(scarceCost) * load)
	}
	// Backend servers slow down when they are nearly full, so that load counts before all slots are taken.
	return cost + time.Duration(float64(service)*(1+max(0, load-1)+load*load/4))
}

// Choose returns the index of the candidate to take, or -1 without candidates. It takes one drawn at random if that costs at
// most a tenth more than the cheapest, and else the cheapest, so that nodes with the same reports do not
// all choose the same one. draw returns a number from 0 to n-1.
func Choose(candidates []Candidate, draw func(n int) int) int {
	if len(candidates) == 0 {
		return -1
	}
	best := 0
	for i := range candidates {
		if candidates[i].Cost() < candidates[best].Cost() {
			best = i
		}
	}
	other := draw(len(candidates))
	if limit := candidates[best].Cost(); candidates[other].Cost() <= limit+limit/10 {
		return other
	}
	return best
}
