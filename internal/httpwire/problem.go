package httpwire

import (
	"encoding/json"
	"net/http"

	"heatherreel/internal/problem"
)

// ContentTypeProblem is the media type of problem bodies (RFC 9457).
const ContentTypeProblem = "application/problem+json"

// ContentTypeJSON is the media type of other JSON bodies.
const ContentTypeJSON = "application/json"

// problemTypePrefix is the type URI of a problem without the reason, which follows it.
const problemTypePrefix = "urn:heatherreel:problem:"

// Problem is the body of a problem response (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Remedy string `json:"remedy,omitempty"`
	// Outcome is the outcome of the caller's request; empty if the response is to another kind of request.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason"`
}

// NewProblem returns a problem body. Its type is derived from reason, and its title from status.
func NewProblem(status int, reason, detail, remedy string) Problem {
	return Problem{
		Type:   problemTypePrefix + reason,
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Remedy: remedy,
		Reason: reason,
	}
}

// ErrorProblem returns the problem body for err. It includes the detail and remedy only of errors of package problem.
func ErrorProblem(err error) Problem {
	kind := string(problem.KindOf(err))
	if kind == "" {
		kind = "internal"
	}
	return NewProblem(problem.HTTPStatus(err), kind, problem.DetailOf(err), problem.RemedyOf(err))
}

// WriteProblem writes p as the response. Headers that are already set on w are kept.
func WriteProblem(w http.ResponseWriter, p Problem) {
	w.Header().Set(HeaderContentType, ContentTypeProblem)
	w.WriteHeader(p.Status)
	// A failed write means that the peer has closed the connection, so the error cannot be reported to it.
	_ = json.NewEncoder(w).Encode(p)
}
