package lease_test

import (
	"errors"
	"testing"
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/problem"
)

// Guards against timings under which the loss of one datagram loses the lease, and against durations that overflow or
// are not positive.
func TestParametersRejectUnusableTimings(t *testing.T) {
	for name, change := range map[string]func(*lease.Timing){
		"no lease time":           func(t *lease.Timing) { t.LeaseTime = 0 },
		"no renewal interval":     func(t *lease.Timing) { t.RenewalInterval = 0 },
		"renewals too rare":       func(t *lease.Timing) { t.RenewalInterval = 297 * time.Millisecond },
		"log renewals too rare":   func(t *lease.Timing) { t.LogRenewalInterval = 2970 * time.Millisecond },
		"negative drift":          func(t *lease.Timing) { t.DriftPPM = -1 },
		"drift in another unit":   func(t *lease.Timing) { t.DriftPPM = 1_000_000 },
		"stagger over lease time": func(t *lease.Timing) { t.ClaimStagger = time.Second },
		"retry over lease time":   func(t *lease.Timing) { t.PromiseRetry = time.Second },
		"log lease over one hour": func(t *lease.Timing) { t.LogLeaseTime = 2 * time.Hour },
		"no non-witness delay":    func(t *lease.Timing) { t.NonWitnessClaimDelay = 0 },
	} {
		timing := lease.DefaultTiming()
		change(&timing)
		if _, err := lease.NewParameters(timing); !errors.Is(err, problem.Invalid) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := lease.NewParameters(lease.DefaultTiming()); err != nil {
		t.Error(err)
	}
}

// Guards against claims of all nodes that are not witnesses at the same time.
func TestNonWitnessClaimIsDelayedByRank(t *testing.T) {
	if at := parameters(t).NonWitnessClaimAt(start, 2); !at.Equal(start.Add(5100 * time.Millisecond)) {
		t.Errorf("non-witness claim at start%+v", at.Sub(start))
	}
}
