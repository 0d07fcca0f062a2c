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

// DirectClient is a client that calls the handler of a backend server without sockets, for tests in virtual time. A
// request that a host was about to send when it was paused is sent after it resumes, as happens to a process that is
// frozen between its last check of the request and the write.
type DirectClient struct {
	Host   *Host
	Server *BackendServer
}

// checkToWriteDelay is the simulated time between the node's last check of a request and its write. It is long enough
// for a pause of the host to begin in between.
const checkToWriteDelay = 2 * time.Millisecond

// Execute sends a request as backendserver.Client.Execute does. Once the request is sent, ending ctx has no effect.
func (d DirectClient) Execute(
	ctx context.Context, _ string, slice keyspace.SliceID, fence ledger.Offset, r request.Request,
) request.Answer {
	remaining := time.Until(r.Deadline)
	if sleepContext(ctx, checkToWriteDelay) != nil || !d.Host.AwaitRunning() {
		return request.Uncertain(request.ConnectionLost, "repeat the request")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(remaining, 0))
	defer cancel()
	httpRequest := httptest.NewRequestWithContext(ctx, r.Method, backendserver.KeysPath+httpwire.EscapeKey(r.Key), bytes.NewReader(r.Body))
	httpRequest.Header.Set(httpwire.HeaderFence, strconv.FormatUint(uint64(fence), 10))
	httpRequest.Header.Set(httpwire.HeaderSlice, slice.String())
	httpRequest.Header.Set(httpwire.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	httpRequest.Header.Set(httpwire.HeaderNotAfter, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	httpRequest.Header.Set(httpwire.HeaderTenant, r.Tenant)
	httpRequest.Header.Set(httpwire.HeaderRequestID, r.ID)
	response, responded := d.serve(httpRequest)
	if !d.Host.AwaitRunning() || !responded {
		return request.Uncertain(request.ConnectionLost, "repeat the request")
	}
	switch response.Header().Get(httpwire.HeaderRefused) {
	case httpwire.RefusedFence:
		return request.Refuse(request.BackendRefused, "retry")
	case httpwire.RefusedOverload:
		return request.Refuse(request.QueueFull, "retry")
	}
	return request.Answer{Outcome: request.Done, Status: response.Code, Body: response.Body.Bytes()}
}

// serve runs the handler and reports whether it responded. A handler that panics with http.ErrAbortHandler drops the
// connection without a response.
func (d DirectClient) serve(httpRequest *http.Request) (response *httptest.ResponseRecorder, responded bool) {
	response = httptest.NewRecorder()
	defer func() {
		if recovered := recover(); recovered != nil && recovered != http.ErrAbortHandler {
			panic(recovered)
		}
	}()
	d.Server.ServeHTTP(response, httpRequest)
	return response, true
}

// Grant replaces the grants of the backend server.
func (d DirectClient) Grant(ctx context.Context, _ string, g backendserver.Grants) error {
	body, err := json.Marshal(g)
	if err != nil {
		return err
	}
	return d.controlCall(ctx, backendserver.GrantsPath, body)
}

// Drain tells the backend server that the node is stopping.
func (d DirectClient) Drain(ctx context.Context, _ string) error {
	return d.controlCall(ctx, backendserver.DrainPath, nil)
}

// controlCall sends a PUT request with the body to a control path.
func (d DirectClient) controlCall(ctx context.Context, path string, body []byte) error {
	if !d.Host.AwaitRunning() {
		return errNoResponse()
	}
	response, responded := d.serve(httptest.NewRequestWithContext(ctx, http.MethodPut, path, bytes.NewReader(body)))
	if !responded || response.Code >= http.StatusBadRequest {
		return problem.New(problem.Unavailable, "check the backend server", "the control call failed")
	}
	return nil
}
