// Package problem defines the error kinds that all packages share.
//
// Each error of this package carries a remedy for its reader. Kinds are errs tags, so errors.Is recognizes them in
// wrapped errors too.
package problem

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/zeebo/errs/v2"
)

// Kinds of errors. The value of a kind is its stable code in HTTP problem bodies and in logs.
const (
	// Malformed marks input that cannot be decoded.
	Malformed = errs.Tag("malformed")
	// TooLarge marks input over a size limit.
	TooLarge = errs.Tag("too_large")
	// UnknownService marks a service that the configuration does not contain.
	UnknownService = errs.Tag("unknown_service")
	// UnknownTenant marks a tenant that the configuration does not contain.
	UnknownTenant = errs.Tag("unknown_tenant")
	// Conflict marks a change that is based on an outdated revision.
	Conflict = errs.Tag("conflict")
	// Invalid marks a setting or configuration that is inconsistent or breaks a rule.
	Invalid = errs.Tag("invalid")
	// Unavailable marks a call to a peer that got no answer; the call may or may not have taken effect.
	Unavailable = errs.Tag("unavailable")
	// NotSent marks a call that failed before any byte of it was sent, and therefore had no effect.
	NotSent = errs.Tag("not_sent")
	// Overloaded marks work that was refused because a queue is full or a limit is reached.
	Overloaded = errs.Tag("overloaded")
	// PastRetention marks log offsets whose records the retention has deleted.
	PastRetention = errs.Tag("forgotten")
	// NotFound marks a requested resource that does not exist.
	NotFound = errs.Tag("not_found")
)

// Error is an error of one kind with a remedy.
type Error struct {
	Kind   errs.Tag
	Detail string
	// Remedy tells the reader what to do, in the imperative.
	Remedy string
	cause  error
}

// New returns an error of the kind with the remedy and a detail formatted as by fmt.Errorf. An error formatted with %w
// becomes the cause.
func New(kind errs.Tag, remedy, format string, args ...any) error {
	formatted := fmt.Errorf(format, args...)
	return &Error{Kind: kind, Detail: formatted.Error(), Remedy: remedy, cause: errors.Unwrap(formatted)}
}

// Error returns the kind, the detail and the remedy on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; remedy: %s", string(e.Kind), e.Detail, e.Remedy)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Is reports whether target is the kind of this error.
func (e *Error) Is(target error) bool {
	kind, ok := target.(errs.Tag)
	return ok && kind == e.Kind
}

// KindOf returns the kind of the first *Error in the chain of err, or an empty tag if there is none.
func KindOf(err error) errs.Tag {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// RemedyOf returns the remedy of the first *Error in the chain of err, or an empty string if there is none.
func RemedyOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Remedy
	}
	return ""
}

// HTTPStatus returns the HTTP status code for the kind of err.
func HTTPStatus(err error) int {
	switch KindOf(err) {
	case Malformed, Invalid:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case UnknownService, UnknownTenant, NotFound:
		return http.StatusNotFound
	case Conflict:
		return http.StatusConflict
	case Overloaded:
		return http.StatusTooManyRequests
	case Unavailable, NotSent:
		return http.StatusServiceUnavailable
	case PastRetention:
		return http.StatusGone
	default:
		return http.StatusInternalServerError
	}
}
