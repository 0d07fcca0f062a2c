package caller

import (
	"net/http"
	"strconv"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// refusal returns the answer to a request that was not handed to the service, and the detail for its problem body.
func refusal(err error) (request.Answer, string) {
	reason, ok := reasonOfKind(err)
	if !ok {
		return request.Refuse(request.NotConfigured, "retry when a configuration is in force"), ""
	}
	return request.Refuse(reason, problem.RemedyOf(err)), problem.DetailOf(err)
}

// reasonOfKind returns the reason that stands for the kind of a decoding error.
func reasonOfKind(err error) (request.Reason, bool) {
	switch problem.KindOf(err) {
	case problem.Malformed:
		return request.Malformed, true
	case problem.TooLarge:
		return request.TooLarge, true
	case problem.UnknownService:
		return request.UnknownService, true
	case problem.UnknownTenant:
		return request.UnknownTenant, true
	default:
		return "", false
	}
}

// encode sends an answer. path is the escaped path of the request; detail may be empty.
func encode(w http.ResponseWriter, path string, a request.Answer, detail string) {
	if a.Outcome == request.Done && !passable(a.Status) {
		a = request.Uncertain(request.ConnectionLost, "report the backend server: its answer has no valid status")
	}
	w.Header().Set(httpwire.HeaderOutcome, a.Outcome.String())
	if a.Outcome == request.Done {
		writeDone(w, a)
		return
	}
	w.Header().Set(httpwire.HeaderReason, string(a.Reason))
	if a.Location != "" {
		w.Header().Set(httpwire.HeaderLocation, "http://"+a.Location+path)
	}
	body := httpwire.NewProblem(statusOf(a), string(a.Reason), detail, a.Remedy)
	body.Outcome = a.Outcome.String()
	httpwire.WriteProblem(w, body)
}

// passable reports whether a status of a backend server can be the final status of an answer.
func passable(status int) bool { return status >= http.StatusOK && status <= 599 }

// writeDone passes on the answer of the backend server.
func writeDone(w http.ResponseWriter, a request.Answer) {
	h := w.Header()
	if a.ContentType != "" {
		h.Set(httpwire.HeaderContentType, a.ContentType)
	} else {
		// A nil value keeps net/http from guessing a type.
		h[httpwire.HeaderContentType] = nil
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	// A failed write means that the caller is gone; nothing is left to tell it.
	_, _ = w.Write(a.Body)
}

// statusOf returns the HTTP status of an answer that is not done.
func statusOf(a request.Answer) int {
	if a.Outcome == request.Unknown {
		if a.Reason == request.DeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	if a.Location != "" {
		return http.StatusTemporaryRedirect
	}
	switch a.Reason {
	case request.Malformed:
		return http.StatusBadRequest
	case request.TooLarge:
		return http.StatusRequestEntityTooLarge
	case request.UnknownService, request.UnknownTenant:
		return http.StatusNotFound
	case request.IDReused:
		return http.StatusUnprocessableEntity
	case request.QueueFull:
		return http.StatusTooManyRequests
	case request.DeadlineTooClose:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
