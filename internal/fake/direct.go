package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/httpwire"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// Direct reaches a backend server without sockets, for tests in virtual time. A paused host sends what it had ready
// when it resumes, as a process does that is frozen between its last check and the write.
type Direct struct {
	Host   *Host
	Server *BackendServer
}

// sendDelay is the time between the node's last check and the write of a request.
const sendDelay = 2 * time.Millisecond

// Execute sends a request as backendserver.Client does.
func (d Direct) Execute(
	ctx context.Context, _ string, slice keyspace.SliceID, fence ledger.Offset, r request.Request,
) request.Answer {
	remaining := time.Until(r.Deadline)
	// The time between the last check and the write is made long enough for a pause to fall into it.
	if pause(ctx, sendDelay) != nil || !d.Host.Pass() {
		return request.Uncertain(request.ConnectionLost, "repeat the request")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(remaining, 0))
	defer cancel()
	q := httptest.NewRequestWithContext(ctx, r.Method, backendserver.KeysPath+httpwire.EscapeKey(r.Key), bytes.NewReader(r.Body))
	q.Header.Set(httpwire.HeaderFence, strconv.FormatUint(uint64(fence), 10))
	q.Header.Set(httpwire.HeaderSlice, slice.String())
	q.Header.Set(httpwire.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	q.Header.Set(httpwire.HeaderNotAfter, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	q.Header.Set(httpwire.HeaderTenant, r.Tenant)
	q.Header.Set(httpwire.HeaderRequestID, r.ID)
	reply, ok := d.serve(q)
	if !d.Host.Pass() || !ok {
		return request.Uncertain(request.ConnectionLost, "repeat the request")
	}
	switch reply.Header().Get(httpwire.HeaderRefused) {
	case httpwire.RefusedFence:
		return request.Refuse(request.BackendRefused, "retry")
	case httpwire.RefusedOverload:
		return request.Refuse(request.QueueFull, "retry")
	}
	return request.Answer{Outcome: request.Done, Status: reply.Code, Body: reply.Body.Bytes()}
}

// serve runs the handler and reports whether it answered; a handler that panics drops the connection.
func (d Direct) serve(q *http.Request) (reply *httptest.ResponseRecorder, answered bool) {
	reply = httptest.NewRecorder()
	defer func() {
		if recovered := recover(); recovered != nil && recovered != http.ErrAbortHandler {
			panic(recovered)
		}
	}()
	d.Server.ServeHTTP(reply, q)
	return reply, true
}

// Grant sends grants.
func (d Direct) Grant(ctx context.Context, _ string, g backendserver.Grants) error {
	body, err := json.Marshal(g)
	if err != nil {
		return err
	}
	return d.control(ctx, backendserver.GrantsPath, body)
}

// Drain tells that the node stops.
func (d Direct) Drain(ctx context.Context, _ string) error {
	return d.control(ctx, backendserver.DrainPath, nil)
}

// control makes one control call.
func (d Direct) control(ctx context.Context, path string, body []byte) error {
	if !d.Host.Pass() {
		return errCut()
	}
	reply, ok := d.serve(httptest.NewRequestWithContext(ctx, http.MethodPut, path, bytes.NewReader(body)))
	if !ok || reply.Code >= http.StatusBadRequest {
		return problem.New(problem.Unavailable, "check the backend server", "the control call failed")
	}
	return nil
}
