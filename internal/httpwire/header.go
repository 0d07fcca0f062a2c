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
