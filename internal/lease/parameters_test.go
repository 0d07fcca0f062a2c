package lease_test

import (
	"errors"
	"testing"
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/problem"
)

// Guards against timings under which one lost datagram costs the lease, or which overflow or never pass.
func TestParametersRejectUnusableTimings(t *testing.T) {
	for name, change := range map[string]func(*lease.Timing){
		"no lease time":             func(t *lease.Timing) { t.LeaseTime = 0 },
		"no renewal interval":       func(t *lease.Timing) { t.RenewalInterval = 0 },
		"renewals too seldom":       func(t *lease.Timing) { t.RenewalInterval = 297 * time.Millisecond },
		"log renewals too seldom":   func(t *lease.Timing) { t.LogRenewalInterval = 2970 * time.Millisecond },
		"negative drift":            func(t *lease.Timing) { t.DriftPPM = -1 },
		"drift in another unit":     func(t *lease.Timing) { t.DriftPPM = 1_000_000 },
		"stagger over lease time":   func(t *lease.Timing) { t.ClaimStagger = time.Second },
		"retry over lease time":     func(t *lease.Timing) { t.PromiseRetry = time.Second },
		"log lease over one hour":   func(t *lease.Timing) { t.LogLeaseTime = 2 * time.Hour },
		"no delay of outside nodes": func(t *lease.Timing) { t.OutsideClaimDelay = 0 },
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

// Guards against outside claims that all start at once.
func TestOutsideClaimIsDelayedByRank(t *testing.T) {
	if at := parameters(t).OutsideClaimAt(start, 2); !at.Equal(start.Add(5100 * time.Millisecond)) {
		t.Errorf("outside claim at start%+v", at.Sub(start))
	}
}
