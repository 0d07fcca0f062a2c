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

// Maximum lengths of parts of a request, in bytes.
const (
	maxNameBytes        = 128
	maxMethodBytes      = 32
	maxContentTypeBytes = 256
)

// requestIDVersion is the UUID version of request ids. Version 7 holds the time of creation.
const requestIDVersion = 7

// uuidTextLength is the length of a UUID in its hyphenated form, the only one accepted.
const uuidTextLength = 36

// traceparentPattern matches a traceparent header of version 00.
var traceparentPattern = regexp.MustCompile(`^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$`)

// decodeRequest decodes the HTTP request r, including its body. Errors are of package problem.
func decodeRequest(w http.ResponseWriter, r *http.Request, h RequestHandler) (request.Request, error) {
	arrival := time.Now()
	decoded, err := decodeTarget(r)
	if err != nil {
		return request.Request{}, err
	}
	limits, err := h.Limits(decoded.Service, decoded.Tenant)
	if err != nil {
		return request.Request{}, err
	}
	if err := decodeHeaders(r.Header, limits, arrival, &decoded); err != nil {
		return request.Request{}, err
	}
	decoded.Body, err = readBody(w, r, limits.MaxBody, decoded.Deadline)
	return decoded, err
}

// decodeTarget returns a request with service, tenant, key and method.
func decodeTarget(r *http.Request) (request.Request, error) {
	var decoded request.Request
	if r.URL.RawQuery != "" {
		return decoded, malformedError("send no query", "the request has a query")
	}
	if len(r.Method) > maxMethodBytes {
		return decoded, malformedError("use a shorter method", "the method is over %d bytes", maxMethodBytes)
	}
	key, err := httpwire.UnescapeKey(mux.Vars(r)[varKey])
	if err != nil {
		return decoded, err
	}
	service, err := httpwire.UnescapeKey(mux.Vars(r)[varService])
	if err != nil || len(service) > maxNameBytes {
		return decoded, malformedError("name a configured service", "the service name is not valid")
	}
	tenant, err := httpwire.SingleHeader(r.Header, httpwire.HeaderTenant)
	if err != nil {
		return decoded, err
	}
	if len(tenant) > maxNameBytes {
		return decoded, malformedError("name a configured tenant in the header "+httpwire.HeaderTenant, "the tenant is over %d bytes", maxNameBytes)
	}
	return request.Request{Service: service, Tenant: tenant, Key: key, Method: r.Method}, nil
}

// decodeHeaders sets the fields of decoded that headers carry. The deadline counts from arrival.
func decodeHeaders(h http.Header, limits Limits, arrival time.Time, decoded *request.Request) error {
	values, err := singleHeaders(h)
	if err != nil {
		return err
	}
	if decoded.Idempotent, err = parseIdempotent(values[httpwire.HeaderIdempotent], decoded.Method, limits); err != nil {
		return err
	}
	if decoded.ID, err = parseID(values[httpwire.HeaderRequestID], decoded.Idempotent); err != nil {
		return err
	}
	deadline, err := parseDeadline(values[httpwire.HeaderDeadline], limits)
	if err != nil {
		return err
	}
	decoded.Deadline = arrival.Add(deadline)
	if decoded.Class, err = parseClass(values[httpwire.HeaderClass], limits.Class); err != nil {
		return err
	}
	decoded.ContentType = values[httpwire.HeaderContentType]
	if len(decoded.ContentType) > maxContentTypeBytes {
		return malformedError("use a shorter content type", "the content type is over %d bytes", maxContentTypeBytes)
	}
	decoded.Traceparent = parseTraceparent(values[httpwire.HeaderTraceparent])
	return nil
}

// singleHeaders returns the values of requestHeaders, or an error if one of them is repeated.
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

// parseIdempotent returns the value of the header, or if it is empty what the configuration declares for the method.
func parseIdempotent(text, method string, limits Limits) (bool, error) {
	switch text {
	case "":
		return limits.IdempotentMethods.Has(method), nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, malformedError("send true or false", "header %s has another value", httpwire.HeaderIdempotent)
	}
}

// parseID returns the request id in lower case. Only an idempotent request may have none.
func parseID(text string, idempotent bool) (string, error) {
	const remedy = "send a UUIDv7 in the header " + httpwire.HeaderRequestID
	if text == "" {
		if idempotent {
			return "", nil
		}
		return "", malformedError(remedy, "a request that is not idempotent needs a request id")
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) != uuidTextLength || id.Version() != requestIDVersion || id.Variant() != uuid.RFC4122 {
		return "", malformedError(remedy, "the request id is not a UUIDv7")
	}
	return id.String(), nil
}

// parseDeadline returns the time allowed for the request: that of the header, or the default, but at most the maximum.
func parseDeadline(text string, limits Limits) (time.Duration, error) {
	if text == "" {
		return min(limits.DefaultDeadline, limits.MaxDeadline), nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, malformedError("send a positive whole number of milliseconds", "header %s is not valid", httpwire.HeaderDeadline)
	}
	return min(time.Duration(ms)*time.Millisecond, limits.MaxDeadline), nil
}

// parseClass returns the class that the header names, or defaultClass if the header is empty.
func parseClass(text string, defaultClass request.Class) (request.Class, error) {
	if text == "" {
		return defaultClass, nil
	}
	class, ok := request.ParseClass(text)
	if !ok {
		return 0, malformedError("send interactive, lookup or background", "header %s names no class", httpwire.HeaderClass)
	}
	return class, nil
}

// parseTraceparent returns a version 00 traceparent, or an empty string for anything else. W3C Trace Context allows a
// receiver to ignore a trace context that it cannot parse, so an invalid one must not fail the request.
func parseTraceparent(text string) string {
	if !traceparentPattern.MatchString(text) {
		return ""
	}
	return text
}

// readBody reads the whole body. It fails if the body is over limit bytes or incomplete at the deadline.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLargeError(limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	setReadDeadline(w, deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var maxBytesError *http.MaxBytesError
	if errors.As(err, &maxBytesError) {
		return nil, tooLargeError(limit)
	}
	if err != nil {
		return nil, malformedError("send the whole body before the deadline", "the body is incomplete")
	}
	return body, nil
}

// setReadDeadline sets the deadline for reads from the caller's connection; the zero time removes it.
func setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	// The error is ignored: only writers without a connection, as in tests, support no deadline, and these cannot
	// block.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// tooLargeError returns the error for a body over limit bytes.
func tooLargeError(limit int64) error {
	return problem.New(problem.TooLarge, "send a smaller body", "the body is over %d bytes", limit)
}

// malformedError returns a problem.Malformed error.
func malformedError(remedy, format string, args ...any) error {
	return problem.New(problem.Malformed, remedy, format, args...)
}
