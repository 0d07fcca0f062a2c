package main

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs/v2"

	"heatherreel/internal/problem"
)

// exitCode is the exit status of the program.
type exitCode int

// Exit codes. docs/heatherreelctl.md lists them for scripts that check them.
const (
	exitDone           exitCode = 0
	exitInternal       exitCode = 1
	exitUsage          exitCode = 2
	exitRefused        exitCode = 3
	exitUnreachable    exitCode = 4
	exitConflict       exitCode = 5
	exitUnknownOutcome exitCode = 6
)

// exitCodes describes each exit code. The help text prints the list, and a test compares it with
// docs/heatherreelctl.md.
var exitCodes = []struct {
	code    exitCode
	name    string
	meaning string
}{
	{exitDone, "done", "the command succeeded"},
	{exitInternal, "internal", "a bug in the tool; report it"},
	{exitUsage, "usage", "a wrong command, flag or argument, or a file that cannot be read"},
	{exitRefused, "refused", "the document is invalid or changes a value that cannot be changed, or the command names something that does not exist; nothing was published"},
	{exitUnreachable, "unreachable", "a node or the log does not answer; nothing was published"},
	{exitConflict, "conflict", "another revision took effect first; nothing was published"},
	{exitUnknownOutcome, "unknown outcome", "the record was sent, but neither it nor a competing record was read from the log in time; it may still take effect"},
}

// errUsage marks an invalid command line: a wrong command, flag or argument, or a file that cannot be read.
const errUsage = errs.Tag("usage")

// errUnknownOutcome marks a publication whose record was sent but not read back in time; it may still take effect.
const errUnknownOutcome = errs.Tag("unknown_outcome")

// usageError returns an error of kind errUsage that refers to the help text.
func usageError(format string, args ...any) error {
	return problem.New(errUsage, "see `heatherreelctl help`", format, args...)
}

// exitCodeFor returns the exit code for err. An error without a problem kind is taken for a usage error, because cobra
// returns such errors for command lines that it cannot parse.
func exitCodeFor(err error) exitCode {
	switch problem.KindOf(err) {
	case "":
		if err == nil {
			return exitDone
		}
		return exitUsage
	case errUsage:
		return exitUsage
	case problem.Invalid, problem.Malformed, problem.TooLarge, problem.UnknownService, problem.UnknownTenant,
		problem.NotFound, problem.PastRetention:
		return exitRefused
	case problem.Unavailable, problem.NotSent, problem.Overloaded:
		return exitUnreachable
	case problem.Conflict:
		return exitConflict
	case errUnknownOutcome:
		return exitUnknownOutcome
	default:
		return exitInternal
	}
}

// printError writes err to stderr as text. The remedy has a line of its own, because the detail may span several lines.
func (t *tool) printError(err error) {
	var typed *problem.Error
	if !errors.As(err, &typed) {
		fmt.Fprintf(t.stderr, "heatherreelctl: %s\n", err)
		return
	}
	fmt.Fprintf(t.stderr, "heatherreelctl: %s: %s\nremedy: %s\n", string(typed.Kind), typed.Detail, typed.Remedy)
}
