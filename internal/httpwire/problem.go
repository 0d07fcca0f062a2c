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

// problemTypePrefix starts the type URI of a problem; the reason follows.
const problemTypePrefix = "urn:heatherreel:problem:"

// Problem is a problem body.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Remedy string `json:"remedy,omitempty"`
	// Outcome is empty where no request of a caller is concerned.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason"`
}

// NewProblem returns a problem body whose type and title follow from reason and status.
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

// ErrorProblem returns the problem body for err. Only errors of package problem show their detail.
func ErrorProblem(err error) Problem {
	kind := string(problem.KindOf(err))
	if kind == "" {
		kind = "internal"
	}
	return NewProblem(problem.HTTPStatus(err), kind, problem.DetailOf(err), problem.RemedyOf(err))
}

// WriteProblem sends p. Headers that are already set on w are kept.
func WriteProblem(w http.ResponseWriter, p Problem) {
	w.Header().Set(HeaderContentType, ContentTypeProblem)
	w.WriteHeader(p.Status)
	// The peer may be gone; nothing is left to tell it then.
	_ = json.NewEncoder(w).Encode(p)
}
