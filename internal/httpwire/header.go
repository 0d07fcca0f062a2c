// Package httpwire holds what the HTTP protocols of callers and backend servers share: header names, the encoding of
// a key as a path segment, problem bodies (RFC 9457), and a transport that can tell whether any byte of a failed
// request was sent.
package httpwire

import (
	"net/http"

	"heatherreel/internal/problem"
)

// Header names, in canonical form.
const (
	HeaderTenant      = "Heatherreel-Tenant"
	HeaderRequestID   = "Heatherreel-Request-Id"
	HeaderIdempotent  = "Heatherreel-Idempotent"
	HeaderDeadline    = "Heatherreel-Deadline-Ms"
	HeaderNotAfter    = "Heatherreel-Not-After-Unix-Ms"
	HeaderClass       = "Heatherreel-Class"
	HeaderOutcome     = "Heatherreel-Outcome"
	HeaderReason      = "Heatherreel-Reason"
	HeaderFence       = "Heatherreel-Fence"
	HeaderSlice       = "Heatherreel-Slice"
	HeaderRefused     = "Heatherreel-Refused"
	HeaderTraceparent = "Traceparent"
	HeaderContentType = "Content-Type"
	HeaderLocation    = "Location"
)

// Values of HeaderRefused. A backend server sends one of them to state that it did not run the request.
const (
	RefusedFence    = "fence"
	RefusedOverload = "overload"
)

// CheckHead returns a problem.Malformed error if a response with the status and the fields is no final answer. net/http accepts
// any status of three digits, and a field name with a space in it (RFC 9110, section 5.1): a length or a coding before whose
// colon there is a space would be ignored, and the body end elsewhere than its sender meant.
func CheckHead(status int, h http.Header) error {
	const remedy = "correct the server"
	if !IsFinalStatus(status) {
		return problem.New(problem.Malformed, remedy, "status %d is not that of a final answer", status)
	}
	for name := range h {
		if !IsFieldName(name) {
			return problem.New(problem.Malformed, remedy, "the name of a field has bytes that are not allowed in it")
		}
	}
	return nil
}

// IsFieldName reports whether name is valid as that of a field.
func IsFieldName(name string) bool {
	for i := range len(name) {
		if !IsTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
}

// IsTokenByte reports whether b may be part of a token, such as the name of a field (RFC 9110, section 5.6.2).
func IsTokenByte(b byte) bool { return tokenBytes[b] }

// tokenBytes is the set of the bytes of tokens.
var tokenBytes = func() (set [256]bool) {
	for _, b := range []byte("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'*+-.^_`|~") {
		set[b] = true
	}
	return set
}()

// SingleHeader returns the value of a header that may occur at most once, or an empty string if it is absent. It
// returns a problem.Malformed error if the header is repeated.
func SingleHeader(h http.Header, name string) (string, error) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	default:
		return "", problem.New(problem.Malformed, "send the header once", "header %s occurs %d times", name, len(values))
	}
}

// SetUnlessEmpty sets the header if value is not empty.
func SetUnlessEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
