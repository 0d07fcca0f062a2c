package shape

import "testing"

// clockFunctions are the functions of package time that read the clock or wait for a time.
var clockFunctions = []string{
	"Now", "Since", "Until", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep",
}

// Guards against decision packages that read the clock. Tests could then not choose the time, and two steps of one
// decision could see different times.
func TestDecisionPackagesReadNoClock(t *testing.T) {
	reportViolations(t, sourceFiles(t), clockViolations)
}

func clockViolations(f *sourceFile) []violation {
	if f.isTest() || !f.inAnyDir(decisionPackages) {
		return nil
	}
	var violations []violation
	for _, use := range f.references("time", clockFunctions...) {
		violations = append(violations, violation{f, use.Pos(), "a decision package takes the time as input: time." + use.Sel.Name})
	}
	for _, use := range f.references("context", "WithTimeout", "WithDeadline", "WithTimeoutCause", "WithDeadlineCause") {
		violations = append(violations, violation{f, use.Pos(), "a decision package starts no timer: context." + use.Sel.Name})
	}
	return violations
}

// Guards against code that waits for a fixed time instead of for an event, which is slow, flaky or both. Tests that use
// synctest may sleep, because in virtual time a sleep ends as soon as all goroutines of the bubble are blocked.
func TestNoSleep(t *testing.T) {
	reportViolations(t, sourceFiles(t), sleepViolations)
}

func sleepViolations(f *sourceFile) []violation {
	if f.isTest() && f.importName("testing/synctest") != "" {
		return nil
	}
	var violations []violation
	for _, use := range f.references("time", "Sleep") {
		violations = append(violations, violation{f, use.Pos(), "wait for an event with a channel or a timer: no time.Sleep"})
	}
	return violations
}

// Guards against clock rules that no longer detect violations.
func TestClockRulesFindViolations(t *testing.T) {
	requireViolations(t, "internal/lease/x.go", `package lease
import clock "time"
func f(now clock.Time) clock.Duration {
	clock.AfterFunc(1, nil) // violation
	read := clock.Now // violation
	return now.Sub(read())
}`, clockViolations)
	source := `package engine
import "time"
func f() {
	time.Sleep(1) // violation
}`
	requireViolations(t, "internal/engine/x.go", source, sleepViolations)
	requireViolations(t, "internal/engine/x_test.go", source, sleepViolations)
}
