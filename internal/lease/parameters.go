package lease

import (
	"time"

	"heatherreel/internal/problem"
)

// Timing holds the durations of the lease protocol. All nodes of a fleet must use equal values.
type Timing struct {
	// LeaseTime is the time for which a witness's answer counts.
	LeaseTime time.Duration
	// RenewalInterval is the time between two renewals to one witness.
	RenewalInterval time.Duration
	// DriftPPM bounds how far the rate of a clock is from true time, in parts per million.
	DriftPPM int64
	// LogLeaseTime is the lease time of a holder without witnesses, which renews through the log.
	LogLeaseTime time.Duration
	// LogRenewalInterval is the time between two renewals through the log.
	LogRenewalInterval time.Duration
	// ClaimStagger is the delay of a claim for each rank of the witness, so that normally one claim runs.
	ClaimStagger time.Duration
	// PromiseRetry is the time after which an unanswered promise request is sent again.
	PromiseRetry time.Duration
	// OutsideClaimDelay is the time that a holder has to replace an ended witness before nodes that are not its
	// witnesses may claim it.
	OutsideClaimDelay time.Duration
}

// DefaultTiming returns the timing of the design page: one lost datagram does not cost the lease, and detection,
// promises and one append fit in 1 s.
func DefaultTiming() Timing {
	return Timing{
		LeaseTime:          600 * time.Millisecond,
		RenewalInterval:    250 * time.Millisecond,
		DriftPPM:           10_000,
		LogLeaseTime:       6 * time.Second,
		LogRenewalInterval: 2 * time.Second,
		ClaimStagger:       50 * time.Millisecond,
		PromiseRetry:       50 * time.Millisecond,
		OutsideClaimDelay:  5 * time.Second,
	}
}

const (
	// partsPerMillion is the scale of Timing.DriftPPM.
	partsPerMillion = 1_000_000
	// maxDriftPPM is 10%; a greater bound points to a wrong unit.
	maxDriftPPM = 100_000
	// maxTiming keeps the products of durations and parts per million within int64.
	maxTiming = time.Hour
)

// Parameters are validated timings with the lease times of each role derived from them. Use NewParameters; the zero
// value is not valid.
type Parameters struct {
	timing Timing
	// holderLease and holderLogLease are shortened by the drift bound.
	holderLease, holderLogLease time.Duration
	// witnessLease and witnessLogLease are lengthened by the drift bound.
	witnessLease, witnessLogLease time.Duration
}

// NewParameters checks the timing and derives the lease times. Errors are of kind problem.Invalid.
func NewParameters(t Timing) (Parameters, error) {
	if err := t.validate(); err != nil {
		return Parameters{}, err
	}
	return Parameters{
		timing:          t,
		holderLease:     t.LeaseTime - t.drift(t.LeaseTime),
		holderLogLease:  t.LogLeaseTime - t.drift(t.LogLeaseTime),
		witnessLease:    t.LeaseTime + t.drift(t.LeaseTime),
		witnessLogLease: t.LogLeaseTime + t.drift(t.LogLeaseTime),
	}, nil
}

// Timing returns the values that the parameters were made from.
func (p Parameters) Timing() Timing { return p.timing }

// OutsideClaimAt returns when a node that is no witness of a holder may claim it, given when it read the end of a
// witness that the holder still names, and its own rank among the nodes that may do so.
func (p Parameters) OutsideClaimAt(endRead time.Time, rank int) time.Time {
	return endRead.Add(p.timing.OutsideClaimDelay).Add(time.Duration(rank) * p.timing.ClaimStagger)
}

// drift returns the greatest error in measuring d with one clock, rounded up.
func (t Timing) drift(d time.Duration) time.Duration {
	return (d*time.Duration(t.DriftPPM) + partsPerMillion - 1) / partsPerMillion
}

func (t Timing) validate() error {
	if t.DriftPPM < 0 || t.DriftPPM > maxDriftPPM {
		return problem.New(problem.Invalid, "set a drift bound from 0 to 100000 ppm",
			"drift bound of %d ppm", t.DriftPPM)
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"lease time", t.LeaseTime},
		{"renewal interval", t.RenewalInterval},
		{"log lease time", t.LogLeaseTime},
		{"log renewal interval", t.LogRenewalInterval},
		{"claim stagger", t.ClaimStagger},
		{"promise retry", t.PromiseRetry},
		{"outside claim delay", t.OutsideClaimDelay},
	} {
		if d.value <= 0 || d.value > maxTiming {
			return problem.New(problem.Invalid, "set a positive duration of at most 1h", "%s is %v", d.name, d.value)
		}
	}
	return t.validateRatios()
}

// validateRatios requires that one lost renewal never costs a lease, and that claims start within a lease time.
func (t Timing) validateRatios() error {
	if 2*t.RenewalInterval >= t.LeaseTime-t.drift(t.LeaseTime) {
		return problem.New(problem.Invalid, "set the renewal interval below half of the shortened lease time",
			"renewal interval %v is too long for lease time %v", t.RenewalInterval, t.LeaseTime)
	}
	if 2*t.LogRenewalInterval >= t.LogLeaseTime-t.drift(t.LogLeaseTime) {
		return problem.New(problem.Invalid, "set the log renewal interval below half of the shortened log lease time",
			"log renewal interval %v is too long for log lease time %v", t.LogRenewalInterval, t.LogLeaseTime)
	}
	if t.ClaimStagger >= t.LeaseTime || t.PromiseRetry >= t.LeaseTime {
		return problem.New(problem.Invalid, "set claim stagger and promise retry below the lease time",
			"claim stagger %v and promise retry %v against lease time %v", t.ClaimStagger, t.PromiseRetry, t.LeaseTime)
	}
	return nil
}

// majority returns how many of n witnesses decide; n is not zero.
func majority(n int) int { return n/2 + 1 }
