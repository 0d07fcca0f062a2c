package main

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs/v2"

	"heatherreel/internal/problem"
)

// exitCode is the exit status of the program.
type exitCode int

// Exit codes, as docs/heatherreelctl.md lists them.
const (
	exitDone        exitCode = 0
	exitInternal    exitCode = 1
	exitUsage       exitCode = 2
	exitRefused     exitCode = 3
	exitUnreachable exitCode = 4
	exitConflict    exitCode = 5
	exitUnknown     exitCode = 6
)

// exitCodes describes the exit codes for the reference.
var exitCodes = []struct {
	code    exitCode
	name    string
	meaning string
}{
	{exitDone, "done", "the command did what it says"},
	{exitInternal, "internal", "a fault of the tool; report it"},
	{exitUsage, "usage", "a wrong command, flag or argument, or a file that cannot be read"},
	{exitRefused, "refused", "the document is invalid, changes what is fixed, or names something that does not exist; nothing was published"},
	{exitUnreachable, "unreachable", "a node or the log does not answer; nothing was published"},
	{exitConflict, "conflict", "another revision took effect first; nothing was published"},
	{exitUnknown, "unknown outcome", "the record was sent, but neither it nor a rival was seen in time; it may still take effect"},
}

// errUsage marks errors in how the tool was called.
const errUsage = errs.Tag("usage")

// errUnknownOutcome marks a publication whose record may still take effect.
const errUnknownOutcome = errs.Tag("unknown_outcome")

// usage returns an error in how the tool was called.
func usage(format string, args ...any) error {
	return problem.New(errUsage, "see `heatherreelctl help`", format, args...)
}

// codeOf returns the exit code for the error. Errors without a kind come from the parser of the command line.
func codeOf(err error) exitCode {
	switch problem.KindOf(err) {
	case "":
		if err == nil {
			return exitDone
		}
		return exitUsage
	case errUsage:
		return exitUsage
	case problem.Invalid, problem.Malformed, problem.TooLarge, problem.UnknownService, problem.UnknownTenant,
		problem.NotFound, problem.Forgotten:
		return exitRefused
	case problem.Unavailable, problem.NotSent, problem.Overloaded:
		return exitUnreachable
	case problem.Conflict:
		return exitConflict
	case errUnknownOutcome:
		return exitUnknown
	default:
		return exitInternal
	}
}

// report writes the error for a person. The remedy is on its own line, because details may have several lines.
func (t *tool) report(err error) {
	var typed *problem.Error
	if !errors.As(err, &typed) {
		fmt.Fprintf(t.stderr, "heatherreelctl: %s\n", err)
		return
	}
	fmt.Fprintf(t.stderr, "heatherreelctl: %s: %s\nremedy: %s\n", string(typed.Kind), typed.Detail, typed.Remedy)
}
