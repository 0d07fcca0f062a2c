package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"heatherreel/internal/request"
)

// pollInterval is the time between two checks of an expectation. It is short compared with the lease duration of
// 600 ms.
const pollInterval = 10 * time.Millisecond

// poll calls check until it returns neither a mismatch nor an error. It fails with the last mismatch once the timeout
// has passed, and at once if check returns an error.
func (r *lineRunner) poll(timeout time.Duration, check func() (mismatch string, err error)) error {
	deadline := r.env.Now().Add(timeout)
	for {
		mismatch, err := check()
		expired := r.env.Now().After(deadline)
		if err != nil {
			return err
		}
		if mismatch == "" && !expired {
			return nil
		}
		if expired {
			return fmt.Errorf("not within %s: %s", timeout, mismatchOrLate(mismatch))
		}
		r.env.Advance(pollInterval)
	}
}

// mismatchOrLate returns the mismatch, or a text for a check that succeeded only after the timeout.
func mismatchOrLate(mismatch string) string {
	if mismatch == "" {
		return "the expectation was met only after the timeout"
	}
	return mismatch
}

// expectServed executes "expect served".
func expectServed(r *lineRunner, timeout time.Duration, args []string) error {
	return r.poll(timeout, func() (string, error) {
		return r.checkProbe(args[0], args[1], func(a request.Answer) bool { return a.Outcome == request.Done })
	})
}

// expectRefused executes "expect refused".
func expectRefused(r *lineRunner, args []string) error {
	mismatch, err := r.checkProbe(args[0], args[1], func(a request.Answer) bool {
		return a.Outcome == request.NotRun && a.Reason == request.Reason(args[2])
	})
	return mismatchError(mismatch, err)
}

// checkProbe sends a request to each slice and describes the answers for which matches returns false.
func (r *lineRunner) checkProbe(service, dataCentre string, matches func(request.Answer) bool) (string, error) {
	answers, err := r.env.Probe(service, dataCentre)
	if err != nil {
		return "", err
	}
	if len(answers) == 0 {
		return "the service has no slices", nil
	}
	mismatches := 0
	var example request.Answer
	for _, a := range answers {
		if !matches(a) {
			mismatches++
			example = a
		}
	}
	if mismatches == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d of %d slices gave another answer, such as %s %s", mismatches, len(answers), example.Outcome,
		example.Reason), nil
}

// expectOwners executes "expect owners". A slice that two nodes serve fails it at once, because no slice may have two
// owners at any moment.
func expectOwners(r *lineRunner, timeout time.Duration, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil || want < 0 {
		return fmt.Errorf("%q is not a number of owners", args[1])
	}
	return r.poll(timeout, func() (string, error) {
		o, err := r.env.Ownership(args[0])
		if err != nil {
			return "", err
		}
		if o.MultiplyOwned > 0 {
			return "", fmt.Errorf("%d slices of %s have more than one owner", o.MultiplyOwned, args[0])
		}
		if o.Owners != want || (want > 0 && (o.Unserved > 0 || o.Slices == 0)) {
			return fmt.Sprintf("%d owners, %d of %d slices unserved", o.Owners, o.Unserved, o.Slices), nil
		}
		return "", nil
	})
}

// errNoWrites is returned by "expect once" if no request ran for which it could fail.
var errNoWrites = errors.New("no non-idempotent request ran")

// expectOnce executes "expect once".
func expectOnce(r *lineRunner, _ []string) error {
	ran, twice := r.env.Executions()
	if ran == 0 {
		return errNoWrites
	}
	if len(twice) > 0 {
		return fmt.Errorf("%d requests ran more than once, such as %s", len(twice), twice[0])
	}
	return nil
}

// maxPercent is the highest percentage, and the factor that converts a ratio to a percentage.
const maxPercent = 100

// expectDone executes "expect done".
func expectDone(r *lineRunner, args []string) error {
	minPercent, err := strconv.ParseFloat(args[1], 64)
	if err != nil || !(minPercent >= 0 && minPercent <= maxPercent) {
		return fmt.Errorf("%q is not a percentage", args[1])
	}
	report, err := r.report(args[0])
	if err != nil {
		return err
	}
	if donePercent := maxPercent * float64(report.Done) / float64(report.Sent); donePercent < minPercent {
		return fmt.Errorf("%.3f%% of %d requests were done; %d not run, %d unknown", donePercent, report.Sent, report.NotRun,
			report.Unknown)
	}
	return nil
}

// expectGap executes "expect gap".
func expectGap(r *lineRunner, maxGap time.Duration, args []string) error {
	report, err := r.report(args[0])
	if err != nil {
		return err
	}
	if report.LongestGap > maxGap {
		return fmt.Errorf("on one slice, no request was done for %s", report.LongestGap)
	}
	return nil
}

// report returns the counts of a load. It returns an error for a load that sent no request, which would meet every
// expectation.
func (r *lineRunner) report(name string) (Report, error) {
	report, err := r.env.Report(name)
	if err == nil && report.Sent == 0 {
		err = fmt.Errorf("load %s sent no request", name)
	}
	return report, err
}

// mismatchError returns err, or else the mismatch as an error, or nil if there is neither.
func mismatchError(mismatch string, err error) error {
	if err == nil && mismatch != "" {
		return errors.New(mismatch)
	}
	return err
}
