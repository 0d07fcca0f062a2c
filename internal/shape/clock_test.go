package shape

import "testing"

// clockReaders are the identifiers of package time that read the clock or wait for it.
var clockReaders = []string{
	"Now", "Since", "Until", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep",
}

// Guards against decisions that read the clock, so that tests cannot choose the time and two steps of one decision
// could see different times.
func TestDecisionPackagesReadNoClock(t *testing.T) {
	report(t, sources(t), decisionClock)
}

func decisionClock(f *sourceFile) []fault {
	if f.isTest() || !f.withinAny(decisionPackages) {
		return nil
	}
	var faults []fault
	for _, use := range f.uses("time", clockReaders...) {
		faults = append(faults, fault{f, use.Pos(), "a decision package takes the time as input: time." + use.Sel.Name})
	}
	for _, use := range f.uses("context", "WithTimeout", "WithDeadline", "WithTimeoutCause", "WithDeadlineCause") {
		faults = append(faults, fault{f, use.Pos(), "a decision package starts no timer: context." + use.Sel.Name})
	}
	return faults
}

// Guards against code that waits for a fixed time instead of for an event; it is slow, or flaky, or both. Tests in
// virtual time may sleep, because there a sleep ends exactly when all goroutines of the bubble wait.
func TestNoSleep(t *testing.T) {
	report(t, sources(t), sleeps)
}

func sleeps(f *sourceFile) []fault {
	if f.isTest() && f.localName("testing/synctest") != "" {
		return nil
	}
	var faults []fault
	for _, use := range f.uses("time", "Sleep") {
		faults = append(faults, fault{f, use.Pos(), "wait for an event with a channel or a timer: no time.Sleep"})
	}
	return faults
}

// Guards against rules on the clock that no longer find anything.
func TestClockRulesFindFaults(t *testing.T) {
	requireFaults(t, "internal/lease/x.go", `package lease
import clock "time"
func f(now clock.Time) clock.Duration {
	clock.AfterFunc(1, nil) // broken
	read := clock.Now // broken
	return now.Sub(read())
}`, decisionClock)
	source := `package engine
import "time"
func f() {
	time.Sleep(1) // broken
}`
	requireFaults(t, "internal/engine/x.go", source, sleeps)
	requireFaults(t, "internal/engine/x_test.go", source, sleeps)
}
