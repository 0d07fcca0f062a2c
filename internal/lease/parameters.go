package lease

import (
	"time"

	"heatherreel/internal/problem"
)

// Timing holds the durations of the lease protocol. All nodes of a fleet must use the same values.
type Timing struct {
	// LeaseTime is how long an answer of a witness counts.
	LeaseTime time.Duration
	// RenewalInterval is the time between two renewals to one witness.
	RenewalInterval time.Duration
	// DriftPPM bounds the deviation of a clock's rate from true time, in parts per million.
	DriftPPM int64
	// LogLeaseTime is the lease time of a holder without witnesses, which renews its lease by records in the log.
	LogLeaseTime time.Duration
	// LogRenewalInterval is the time between two such records.
	LogRenewalInterval time.Duration
	// ClaimStagger is the delay per rank of a witness before it starts a claim, so that normally only one claim runs.
	ClaimStagger time.Duration
	// PromiseRetry is the time after which an unanswered promise request is resent.
	PromiseRetry time.Duration
	// NonWitnessClaimDelay is the time that a holder has to replace an ended witness before nodes that are not its
	// witnesses may start a claim against it.
	NonWitnessClaimDelay time.Duration
}

// DefaultTiming returns the timing given in docs/design.md: the loss of one datagram does not lose the lease, and
// failure detection, promises and one append together take less than 1 s.
func DefaultTiming() Timing {
	return Timing{
		LeaseTime:            600 * time.Millisecond,
		RenewalInterval:      250 * time.Millisecond,
		DriftPPM:             10_000,
		LogLeaseTime:         6 * time.Second,
		LogRenewalInterval:   2 * time.Second,
		ClaimStagger:         50 * time.Millisecond,
		PromiseRetry:         50 * time.Millisecond,
		NonWitnessClaimDelay: 5 * time.Second,
	}
}

const (
	// partsPerMillion is the unit of Timing.DriftPPM.
	partsPerMillion = 1_000_000
	// maxDriftPPM is 10%; a larger bound indicates a wrong unit.
	maxDriftPPM = 100_000
	// maxDuration keeps the products of durations and parts per million within int64.
	maxDuration = time.Hour
)

// Parameters are validated timings and the lease times of each role that follow from them. Use NewParameters; the zero
// value is invalid.
type Parameters struct {
	timing Timing
	// holderLease and holderLogLease are the lease times minus the drift bound.
	holderLease, holderLogLease time.Duration
	// witnessLease and witnessLogLease are the lease times plus the drift bound.
	witnessLease, witnessLogLease time.Duration
}

// NewParameters validates the timing and derives the lease times. Errors are of kind problem.Invalid.
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

// Timing returns the values that the parameters were derived from.
func (p Parameters) Timing() Timing { return p.timing }

// NonWitnessClaimAt returns when a node that is not a witness of a holder may start a claim against it. endRead is when
// the node read the end of a witness that the holder's set still names; rank is the node's rank among those that may do
// so.
func (p Parameters) NonWitnessClaimAt(endRead time.Time, rank int) time.Time {
	return endRead.Add(p.timing.NonWitnessClaimDelay).Add(time.Duration(rank) * p.timing.ClaimStagger)
}

// drift returns the maximum error of measuring d with one clock, rounded up.
func (t Timing) drift(d time.Duration) time.Duration {
	return (d*time.Duration(t.DriftPPM) + partsPerMillion - 1) / partsPerMillion
}

// validate checks each value by itself, and then the ratios between them.
func (t Timing) validate() error {
	if t.DriftPPM < 0 || t.DriftPPM > maxDriftPPM {
		return problem.New(problem.Invalid, "set a drift bound from 0 to 100000 ppm",
			"drift bound %d ppm is out of range", t.DriftPPM)
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
		{"non-witness claim delay", t.NonWitnessClaimDelay},
	} {
		if d.value <= 0 || d.value > maxDuration {
			return problem.New(problem.Invalid, "set a positive duration of at most 1h",
				"%s %v is out of range", d.name, d.value)
		}
	}
	return t.validateRatios()
}

// validateRatios checks that the loss of one renewal never loses the lease, and that the claim stagger and the promise
// retry are shorter than the lease time.
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
			"claim stagger %v or promise retry %v is not below lease time %v",
			t.ClaimStagger, t.PromiseRetry, t.LeaseTime)
	}
	return nil
}

// majority returns the size of a majority of n witnesses; n must not be zero.
func majority(n int) int { return n/2 + 1 }
