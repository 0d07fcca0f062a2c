package backendserver

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// Execute sends r once to the backend server at address, with the fence of its slice, and waits until the earlier of
// r.Deadline and the deadline of ctx. When that passes or ctx is canceled, it closes the connection, which tells the
// backend server to stop working on r.
func (c *Client) Execute(ctx context.Context, address string, slice keyspace.SliceID, fence ledger.Offset, r request.Request) request.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline).Milliseconds()
	if remaining <= 0 {
		return request.Refuse(request.DeadlineTooClose, "allow more time")
	}
	response, err := c.requests.Do(ctx, httpwire.Call{
		Method:           r.Method,
		Address:          address,
		Path:             KeysPath + httpwire.EscapeKey(r.Key),
		Header:           executeHeaders(slice, fence, deadline, remaining, r),
		Body:             r.Body,
		MaxResponseBytes: c.maxResponseBytes,
		CheckHead:        func(_ int, h http.Header) error { return checkHead(r, h) },
		// A refusal need not name its request, so that a copy of it would be taken for the next answer.
		RetireAfter: func(_ int, h http.Header) bool { return h.Get(httpwire.HeaderRefused) != "" },
	})
	if err != nil {
		return failureAnswer(err)
	}
	return decodeAnswer(response)
}

// checkHead returns a problem.Malformed error if the response belongs to another request than r.
func checkHead(r request.Request, h http.Header) error {
	if echoed := h.Get(httpwire.HeaderRequestID); echoed != "" && echoed != r.ID {
		return problem.New(problem.Malformed, "report the backend server", "it answered another request")
	}
	return nil
}

// executeHeaders returns the headers of a request. remaining is in milliseconds. The deadline is also sent as wall
// clock time, which node and backend server share: if only the remaining time were sent, a node that is paused before
// it writes the request would give it the whole remaining time when it resumes, and the request could run concurrently
// with those of a later owner of the slice.
func executeHeaders(
	slice keyspace.SliceID, fence ledger.Offset, deadline time.Time, remaining int64, r request.Request,
) http.Header {
	h := http.Header{}
	h.Set(httpwire.HeaderFence, strconv.FormatUint(uint64(fence), 10))
	h.Set(httpwire.HeaderSlice, slice.String())
	h.Set(httpwire.HeaderDeadline, strconv.FormatInt(remaining, 10))
	h.Set(httpwire.HeaderNotAfter, strconv.FormatInt(deadline.UnixMilli(), 10))
	h.Set(httpwire.HeaderTenant, r.Tenant)
	h.Set(httpwire.HeaderClass, r.Class.String())
	httpwire.SetUnlessEmpty(h, httpwire.HeaderRequestID, r.ID)
	httpwire.SetUnlessEmpty(h, httpwire.HeaderContentType, r.ContentType)
	httpwire.SetUnlessEmpty(h, httpwire.HeaderTraceparent, r.Traceparent)
	return h
}

// failureAnswer returns the answer to a request whose exchange failed with err before a complete response was read.
func failureAnswer(err error) request.Answer {
	const checkWhetherItRan = "repeat the request with the same request id, or read the key to see whether it ran"
	switch {
	case errors.Is(err, problem.NotSent):
		return request.Refuse(request.BackendUnreachable, "retry; the node looks for its backend server")
	case errors.Is(err, problem.TooLarge):
		return request.Uncertain(request.AnswerTooLarge, "ask for less data at once; the request has run")
	case errors.Is(err, problem.Malformed):
		return request.Uncertain(request.ConnectionLost, "report the backend server: what it sent is no answer to the request")
	case errors.Is(err, context.DeadlineExceeded):
		return request.Uncertain(request.DeadlineExceeded, checkWhetherItRan)
	default:
		return request.Uncertain(request.ConnectionLost, checkWhetherItRan)
	}
}

// decodeAnswer decodes a complete response.
func decodeAnswer(response httpwire.Response) request.Answer {
	switch refused := response.Header.Get(httpwire.HeaderRefused); {
	case refused == httpwire.RefusedFence && response.Status == http.StatusConflict:
		return request.Refuse(request.BackendRefused, "retry; the key may have a new owner")
	case refused == httpwire.RefusedOverload && response.Status == http.StatusServiceUnavailable:
		return request.Refuse(request.QueueFull, "retry after a pause")
	}
	return request.Answer{
		Outcome:     request.Done,
		Status:      response.Status,
		ContentType: response.Header.Get(httpwire.HeaderContentType),
		Body:        response.Body,
	}
}
