// Package choice selects the backend server for a request by comparing the expected response time of those that may
// serve it.
//
// It handles three load patterns: other programs on a machine that slow it down for a fraction of a second, bursts that
// reach all ingress nodes at once, and data centres with unequal load. The package does no I/O and reads no clock.
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

// distanceCost is the cost of each Distance, expressed as the time that a caller would wait instead. Round trips take
// 0.2 ms in a data centre, 2 ms in a region and 16 ms between regions.
var distanceCost = [...]time.Duration{0, time.Millisecond, 4 * time.Millisecond, 30 * time.Millisecond}

// Costs of one byte between data centres of a region and between regions, expressed as waiting time. Traffic between
// regions shares links of 30 Mbit/s and is billed, so that a wait of about 200 ms is better than sending an answer of
// 5 KB there.
const (
	dataCentreByteCost = 3 * time.Microsecond
	regionByteCost     = 40 * time.Microsecond
)

// transferCost returns the cost of transferring the bytes of a request and its answer over a distance.
func transferCost(d Distance, bytes int) time.Duration {
	switch d {
	case SameRegion:
		return time.Duration(bytes) * dataCentreByteCost
	case OtherRegion:
		return time.Duration(bytes) * regionByteCost
	default:
		return 0
	}
}

// Defaults for a backend server that has not reported its load yet.
const (
	defaultServiceTime = 100 * time.Millisecond
	defaultSlots       = 4
)

// reportValidity is the age at which a load report no longer counts for the running and waiting requests; until then
// its weight decreases linearly. It is several times the mean duration of a request, so that by then other requests
// run.
const reportValidity = time.Second

// slowdownValidity is the age at which a reported temporary slowdown no longer counts; until then its weight decreases
// linearly.
const slowdownValidity = 400 * time.Millisecond

// failurePenalty is the cost of each consecutive failure. One second is enough to prefer any backend server without
// failures.
const failurePenalty = time.Second

// coldPenalty is the cost of a cold backend server, which takes about twice as long per request and refuses requests
// above a low rate.
const coldPenalty = 300 * time.Millisecond

// scarceCost is the cost of a scarce backend server at a load of 1, and is scaled by its load. It leaves capacity for
// the requests that are restricted to that backend server's region.
const scarceCost = 80 * time.Millisecond

// Candidate is one backend server that may serve a request.
type Candidate struct {
	Instance string
	Distance Distance
	// Load is the last load report, and Age its age.
	Load routed.Load
	Age  time.Duration
	// Pending is the number of requests that this node has sent there and that are not answered yet.
	Pending int
	// Failures is the number of consecutive failures.
	Failures int
	// Scarce is set if routes restrict other requests to the region of this backend server, but not the present one.
	Scarce bool
	// Bytes is the expected size of the request and its answer.
	Bytes int
}

// Cost returns the expected time until the candidate answers, including penalties.
func (c Candidate) Cost() time.Duration {
	serviceTime, slots := c.Load.ServiceTime, c.Load.Slots
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	if c.Load.MeasuredSlots > 0 {
		slots = c.Load.MeasuredSlots
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	cost := distanceCost[c.Distance] + transferCost(c.Distance, c.Bytes) + time.Duration(c.Failures)*failurePenalty
	if c.Load.ColdFor > c.Age {
		cost += coldPenalty
	}
	if c.Load.Slowdown > 1 {
		remaining := 1 - float64(min(c.Age, slowdownValidity))/float64(slowdownValidity)
		serviceTime = time.Duration(float64(serviceTime) * (1 + (c.Load.Slowdown-1)*remaining))
	}
	freshness := 1 - float64(min(c.Age, reportValidity))/float64(reportValidity)
	ahead := float64(c.Load.Running+c.Load.Waiting)*freshness + float64(c.Pending)
	load := (ahead + 1) / float64(slots)
	if c.Scarce {
		cost += time.Duration(float64(scarceCost) * load)
	}
	// Backend servers become slower when they are nearly full, so load has a cost even before all slots are taken.
	return cost + time.Duration(float64(serviceTime)*(1+max(0, load-1)+load*load/4))
}

// maxScanned is the number of candidates up to which all are compared. An ingress node has recent reports of so many.
const maxScanned = 8

// Numbers of candidates that are compared if there are more than maxScanned. Of many candidates most reports are old, and
// differences between old reports say little: if all were compared, all nodes with the same reports would choose the same
// few. Two are enough to avoid a busy one.
const (
	nearSamples = 2
	farSamples  = 1
)

// Choose returns the index of the candidate to use, or -1 without candidates. Of many candidates it compares a random
// sample, which covers the own region and the others. draw returns a random number from 0 to n-1.
func Choose(candidates []Candidate, draw func(n int) int) int {
	switch {
	case len(candidates) == 0:
		return -1
	case len(candidates) <= maxScanned:
		return chooseOfAll(candidates, draw)
	}
	near, far := usableByDistance(candidates)
	chosen, lowest := -1, time.Duration(0)
	compare := func(from []int, samples int) {
		for range min(samples, len(from)) {
			i := from[draw(len(from))]
			if cost := candidates[i].Cost(); chosen < 0 || cost < lowest {
				chosen, lowest = i, cost
			}
		}
	}
	compare(near, nearSamples)
	compare(far, farSamples)
	return chosen
}

// usableByDistance returns the indexes of the candidates of the own region and of the others, without those that failed or
// are cold if there are others.
func usableByDistance(candidates []Candidate) (near, far []int) {
	for _, all := range []bool{false, true} {
		for i, c := range candidates {
			switch {
			case !all && (c.Failures > 0 || c.Load.ColdFor > c.Age):
			case c.Distance == OtherRegion:
				far = append(far, i)
			default:
				near = append(near, i)
			}
		}
		if len(near)+len(far) > 0 {
			break
		}
	}
	return near, far
}

// chooseOfAll picks a random candidate if that costs at most 10 % more than the cheapest one, and the cheapest one
// otherwise. The random pick keeps nodes with the same reports from all choosing the same candidate.
func chooseOfAll(candidates []Candidate, draw func(n int) int) int {
	cheapest, lowest := 0, candidates[0].Cost()
	for i := range candidates {
		if cost := candidates[i].Cost(); cost < lowest {
			cheapest, lowest = i, cost
		}
	}
	picked := draw(len(candidates))
	if candidates[picked].Cost() <= lowest+lowest/10 {
		return picked
	}
	return cheapest
}
