package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"heatherreel/internal/request"
)

// pollInterval is the time between two looks at the world. It is short against the lease time of 600 ms.
const pollInterval = 10 * time.Millisecond

// poll calls check until it reports success, and fails with its last complaint once within has passed. An error ends
// it at once.
func (r *run) poll(within time.Duration, check func() (complaint string, err error)) error {
	end := r.world.Now().Add(within)
	for {
		complaint, err := check()
		late := r.world.Now().After(end)
		if err != nil {
			return err
		}
		if complaint == "" && !late {
			return nil
		}
		if late {
			return fmt.Errorf("not within %s: %s", within, orLate(complaint))
		}
		r.world.Advance(pollInterval)
	}
}

// orLate returns the complaint, or says that the check succeeded too late.
func orLate(complaint string) string {
	if complaint == "" {
		return "it held only afterwards"
	}
	return complaint
}

// expectServed runs "expect served".
func expectServed(r *run, within time.Duration, args []string) error {
	return r.poll(within, func() (string, error) {
		return r.probe(args[0], args[1], func(a request.Answer) bool { return a.Outcome == request.Done })
	})
}

// expectRefused runs "expect refused".
func expectRefused(r *run, args []string) error {
	complaint, err := r.probe(args[0], args[1], func(a request.Answer) bool {
		return a.Outcome == request.NotRun && a.Reason == request.Reason(args[2])
	})
	return complaintError(complaint, err)
}

// probe sends a request to each slice and complains about answers that are not wanted.
func (r *run) probe(service, dataCentre string, wanted func(request.Answer) bool) (string, error) {
	answers, err := r.world.Probe(service, dataCentre)
	if err != nil {
		return "", err
	}
	if len(answers) == 0 {
		return "the service has no slices", nil
	}
	others := 0
	var example request.Answer
	for _, a := range answers {
		if !wanted(a) {
			others++
			example = a
		}
	}
	if others == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d of %d slices answer otherwise, such as %s %s", others, len(answers), example.Outcome,
		example.Reason), nil
}

// expectOwners runs "expect owners". A slice that two nodes serve is an error at whichever moment it is seen.
func expectOwners(r *run, within time.Duration, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil || want < 0 {
		return fmt.Errorf("%q is not a number of owners", args[1])
	}
	return r.poll(within, func() (string, error) {
		o, err := r.world.Ownership(args[0])
		if err != nil {
			return "", err
		}
		if o.Shared > 0 {
			return "", fmt.Errorf("%d slices of %s have more than one owner", o.Shared, args[0])
		}
		if o.Owners != want || (want > 0 && (o.Unserved > 0 || o.Slices == 0)) {
			return fmt.Sprintf("%d owners, %d of %d slices unserved", o.Owners, o.Unserved, o.Slices), nil
		}
		return "", nil
	})
}

// errNoWrites tells that "expect once" would hold without saying anything.
var errNoWrites = errors.New("no non-idempotent request ran")

// expectOnce runs "expect once".
func expectOnce(r *run, _ []string) error {
	ran, twice := r.world.Executions()
	if ran == 0 {
		return errNoWrites
	}
	if len(twice) > 0 {
		return fmt.Errorf("%d requests ran more than once, such as %s", len(twice), twice[0])
	}
	return nil
}

// wholePercent is the share of all requests.
const wholePercent = 100

// expectDone runs "expect done".
func expectDone(r *run, args []string) error {
	least, err := strconv.ParseFloat(args[1], 64)
	if err != nil || !(least >= 0 && least <= wholePercent) {
		return fmt.Errorf("%q is not a percentage", args[1])
	}
	report, err := r.report(args[0])
	if err != nil {
		return err
	}
	if share := wholePercent * float64(report.Done) / float64(report.Sent); share < least {
		return fmt.Errorf("%.3f%% of %d requests were done; %d not run, %d unknown", share, report.Sent, report.NotRun,
			report.Unknown)
	}
	return nil
}

// expectGap runs "expect gap".
func expectGap(r *run, most time.Duration, args []string) error {
	report, err := r.report(args[0])
	if err != nil {
		return err
	}
	if report.LongestGap > most {
		return fmt.Errorf("a slice went %s without a request done", report.LongestGap)
	}
	return nil
}

// report returns the counts of a load that sent requests. One that sent none would pass every expectation.
func (r *run) report(name string) (Report, error) {
	report, err := r.world.Report(name)
	if err == nil && report.Sent == 0 {
		err = fmt.Errorf("load %s sent no request", name)
	}
	return report, err
}

// complaintError returns err, or the complaint as an error, or nil.
func complaintError(complaint string, err error) error {
	if err == nil && complaint != "" {
		return errors.New(complaint)
	}
	return err
}
