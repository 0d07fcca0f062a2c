package caller

import (
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// Bounds of the parts of a request, in bytes.
const (
	maxNameBytes   = 128
	maxMethodBytes = 32
	maxTypeBytes   = 256
)

// requestIDVersion is the UUID version that carries the time of issue.
const requestIDVersion = 7

// uuidTextLength is the length of a UUID in its hyphenated form, the only one accepted.
const uuidTextLength = 36

// traceparentForm is the form of a version 00 traceparent.
var traceparentForm = regexp.MustCompile(`^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$`)

// decode returns the request that r stands for, with its body. Errors are of package problem.
func decode(w http.ResponseWriter, r *http.Request, s Service) (request.Request, error) {
	arrival := time.Now()
	out, err := decodeTarget(r)
	if err != nil {
		return request.Request{}, err
	}
	limits, err := s.Limits(out.Service, out.Tenant)
	if err != nil {
		return request.Request{}, err
	}
	if err := decodeHeaders(r.Header, limits, arrival, &out); err != nil {
		return request.Request{}, err
	}
	out.Body, err = readBody(w, r, limits.MaxBody, out.Deadline)
	return out, err
}

// decodeTarget returns service, tenant, key and method.
func decodeTarget(r *http.Request) (request.Request, error) {
	var out request.Request
	if r.URL.RawQuery != "" {
		return out, malformed("send no query", "the request has a query")
	}
	if len(r.Method) > maxMethodBytes {
		return out, malformed("use a shorter method", "the method is over %d bytes", maxMethodBytes)
	}
	key, err := httpwire.UnescapeKey(mux.Vars(r)[varKey])
	if err != nil {
		return out, err
	}
	service, err := httpwire.UnescapeKey(mux.Vars(r)[varService])
	if err != nil || len(service) > maxNameBytes {
		return out, malformed("name a configured service", "the service name is not valid")
	}
	tenant, err := httpwire.SingleHeader(r.Header, httpwire.HeaderTenant)
	if err != nil {
		return out, err
	}
	if len(tenant) > maxNameBytes {
		return out, malformed("name a configured tenant in the header "+httpwire.HeaderTenant, "the tenant is over %d bytes", maxNameBytes)
	}
	return request.Request{Service: service, Tenant: tenant, Key: key, Method: r.Method}, nil
}

// decodeHeaders fills the fields of out that headers carry.
func decodeHeaders(h http.Header, l Limits, arrival time.Time, out *request.Request) error {
	values, err := singleHeaders(h)
	if err != nil {
		return err
	}
	if out.Idempotent, err = parseIdempotent(values[httpwire.HeaderIdempotent], out.Method, l); err != nil {
		return err
	}
	if out.ID, err = parseID(values[httpwire.HeaderRequestID], out.Idempotent); err != nil {
		return err
	}
	deadline, err := parseDeadline(values[httpwire.HeaderDeadline], l)
	if err != nil {
		return err
	}
	out.Deadline = arrival.Add(deadline)
	if out.Class, err = parseClass(values[httpwire.HeaderClass], l.Class); err != nil {
		return err
	}
	out.ContentType = values[httpwire.HeaderContentType]
	if len(out.ContentType) > maxTypeBytes {
		return malformed("use a shorter content type", "the content type is over %d bytes", maxTypeBytes)
	}
	out.Traceparent = parseTraceparent(values[httpwire.HeaderTraceparent])
	return nil
}

// singleHeaders returns the headers that may occur once.
func singleHeaders(h http.Header) (map[string]string, error) {
	values := make(map[string]string, len(requestHeaders))
	for _, name := range requestHeaders {
		value, err := httpwire.SingleHeader(h, name)
		if err != nil {
			return nil, err
		}
		values[name] = value
	}
	return values, nil
}

// requestHeaders are the headers of a request besides the tenant.
var requestHeaders = []string{
	httpwire.HeaderIdempotent, httpwire.HeaderRequestID, httpwire.HeaderDeadline, httpwire.HeaderClass,
	httpwire.HeaderContentType, httpwire.HeaderTraceparent,
}

// parseIdempotent returns what the caller states, or what the configuration states for the method.
func parseIdempotent(text, method string, l Limits) (bool, error) {
	switch text {
	case "":
		return l.IdempotentMethods.Has(method), nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, malformed("send true or false", "header %s has another value", httpwire.HeaderIdempotent)
	}
}

// parseID returns the request id in lower case. Only an idempotent request may have none.
func parseID(text string, idempotent bool) (string, error) {
	const remedy = "send a UUIDv7 in the header " + httpwire.HeaderRequestID
	if text == "" {
		if idempotent {
			return "", nil
		}
		return "", malformed(remedy, "a request that is not idempotent needs a request id")
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) != uuidTextLength || id.Version() != requestIDVersion || id.Variant() != uuid.RFC4122 {
		return "", malformed(remedy, "the request id is not a UUIDv7")
	}
	return id.String(), nil
}

// parseDeadline returns the time that the caller gives, shortened to the maximum.
func parseDeadline(text string, l Limits) (time.Duration, error) {
	if text == "" {
		return min(l.DefaultDeadline, l.MaxDeadline), nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, malformed("send a positive whole number of milliseconds", "header %s is not valid", httpwire.HeaderDeadline)
	}
	return min(time.Duration(ms)*time.Millisecond, l.MaxDeadline), nil
}

// parseClass returns the class that the caller names, or the configured one.
func parseClass(text string, configured request.Class) (request.Class, error) {
	if text == "" {
		return configured, nil
	}
	class, ok := request.ParseClass(text)
	if !ok {
		return 0, malformed("send interactive, lookup or background", "header %s names no class", httpwire.HeaderClass)
	}
	return class, nil
}

// parseTraceparent returns a version 00 traceparent, or an empty text for anything else: W3C Trace Context lets a
// receiver ignore a trace context that it cannot read, so that tracing never fails a request.
func parseTraceparent(text string) string {
	if !traceparentForm.MatchString(text) {
		return ""
	}
	return text
}

// readBody reads the whole body, at most limit bytes, until the deadline of the request.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	setReadDeadline(w, deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, malformed("send the whole body before the deadline", "the body is incomplete")
	}
	return body, nil
}

// setReadDeadline bounds reading from the caller's connection; the zero time removes the bound.
func setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	// Writers without a connection, as in tests, support no read deadline and cannot block.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// tooLarge returns the error for a body over limit bytes.
func tooLarge(limit int64) error {
	return problem.New(problem.TooLarge, "send a smaller body", "the body is over %d bytes", limit)
}

// malformed returns a problem.Malformed error.
func malformed(remedy, format string, args ...any) error {
	return problem.New(problem.Malformed, remedy, format, args...)
}
