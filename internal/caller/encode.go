package caller

import (
	"net/http"
	"strconv"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// refusalAnswer returns the answer to a request that is refused before it reaches RequestHandler.Serve, and the detail
// for its problem body.
func refusalAnswer(err error) (request.Answer, string) {
	reason, ok := refusalReason(err)
	if !ok {
		return request.Refuse(request.NotConfigured, "retry when a configuration is in force"), ""
	}
	return request.Refuse(reason, problem.RemedyOf(err)), problem.DetailOf(err)
}

// refusalReason returns the reason that corresponds to the kind of a decoding error; false if there is none.
func refusalReason(err error) (request.Reason, bool) {
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

// writeAnswer writes an answer as the HTTP response. path is the percent-encoded path of the request, which a redirect
// repeats; detail may be empty.
func writeAnswer(w http.ResponseWriter, path string, a request.Answer, detail string) {
	if a.Outcome == request.Done && !httpwire.IsFinalStatus(a.Status) {
		a = request.Uncertain(request.ConnectionLost, "report the backend server: its answer has no valid status")
	}
	w.Header().Set(httpwire.HeaderOutcome, a.Outcome.String())
	if a.Outcome == request.Done {
		writeBackendAnswer(w, a)
		return
	}
	w.Header().Set(httpwire.HeaderReason, string(a.Reason))
	if a.Location != "" {
		w.Header().Set(httpwire.HeaderLocation, "http://"+a.Location+path)
	}
	body := httpwire.NewProblem(httpStatus(a), string(a.Reason), detail, a.Remedy)
	body.Outcome = a.Outcome.String()
	httpwire.WriteProblem(w, body)
}

// writeBackendAnswer passes on the response of the backend server.
func writeBackendAnswer(w http.ResponseWriter, a request.Answer) {
	h := w.Header()
	if a.ContentType != "" {
		h.Set(httpwire.HeaderContentType, a.ContentType)
	} else {
		// A nil value keeps net/http from detecting a content type.
		h[httpwire.HeaderContentType] = nil
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	// A failed write means that the caller has closed the connection, so the error cannot be reported to it.
	_, _ = w.Write(a.Body)
}

// httpStatus returns the HTTP status for an answer whose outcome is not Done.
func httpStatus(a request.Answer) int {
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
