// Package problem holds the typed error kinds that all packages share.
//
// Every error of this package names what to do about it. Kinds are errs tags, so that errors.Is works with them
// after wrapping.
package problem

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/zeebo/errs/v2"
)

// Kinds of errors. The text of a kind is its stable code in problem bodies and logs.
const (
	// Malformed marks input that cannot be decoded.
	Malformed = errs.Tag("malformed")
	// TooLarge marks input over a size limit.
	TooLarge = errs.Tag("too_large")
	// UnknownService marks a service that the configuration does not name.
	UnknownService = errs.Tag("unknown_service")
	// UnknownTenant marks a tenant that the configuration does not name.
	UnknownTenant = errs.Tag("unknown_tenant")
	// Conflict marks a change that builds on an outdated revision.
	Conflict = errs.Tag("conflict")
	// Invalid marks a setting or configuration that contradicts itself or a rule.
	Invalid = errs.Tag("invalid")
	// Unavailable marks a peer that did not answer; nothing is known about the effect of the call.
	Unavailable = errs.Tag("unavailable")
	// NotSent marks a call that failed before any byte of it was sent.
	NotSent = errs.Tag("not_sent")
	// Overloaded marks work refused because a queue or limit is full.
	Overloaded = errs.Tag("overloaded")
	// Forgotten marks log offsets that retention has passed.
	Forgotten = errs.Tag("forgotten")
	// NotFound marks a thing that does not exist.
	NotFound = errs.Tag("not_found")
)

// Error is an error with a remedy for the person who reads it.
type Error struct {
	Kind   errs.Tag
	Detail string
	// Remedy says what to do, in the imperative.
	Remedy string
	cause  error
}

// New returns an error of the kind with the remedy and a formatted detail.
// A %w verb in format keeps the cause.
func New(kind errs.Tag, remedy, format string, args ...any) error {
	formatted := fmt.Errorf(format, args...)
	return &Error{Kind: kind, Detail: formatted.Error(), Remedy: remedy, cause: errors.Unwrap(formatted)}
}

// Error returns kind, detail and remedy on one line.
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

// KindOf returns the kind of err, or an empty tag for a foreign error.
func KindOf(err error) errs.Tag {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// RemedyOf returns the remedy of err, or an empty string for a foreign error.
func RemedyOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Remedy
	}
	return ""
}

// HTTPStatus returns the status code that stands for the kind of err.
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
	case Forgotten:
		return http.StatusGone
	default:
		return http.StatusInternalServerError
	}
}
