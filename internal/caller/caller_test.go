package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"heatherreel/internal/config"
	"heatherreel/internal/httpwire"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testID = "0190a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b"

// stubHandler records the requests that it receives, and returns a fixed answer.
type stubHandler struct {
	received []request.Request
	answer   request.Answer
	// canceled, if not nil, makes Serve wait until its context ends. Serve then closes it.
	canceled chan struct{}
}

func (s *stubHandler) Limits(service, tenant string) (Limits, error) {
	switch {
	case service == "absent":
		return Limits{}, problem.New(problem.UnknownService, "configure it", "no such service")
	case tenant == "":
		return Limits{}, problem.New(problem.Malformed, "send it", "no tenant")
	case tenant == "absent":
		return Limits{}, problem.New(problem.UnknownTenant, "configure it", "no such tenant")
	case service == "unconfigured":
		return Limits{}, problem.New(problem.Unavailable, "wait", "no configuration")
	}
	return Limits{
		DefaultDeadline: time.Second, MaxDeadline: 10 * time.Second, MaxBody: 16,
		IdempotentMethods: config.NewMethods("GET"), Class: request.Lookup,
	}, nil
}

func (s *stubHandler) Serve(ctx context.Context, r request.Request) request.Answer {
	s.received = append(s.received, r)
	if s.canceled != nil {
		<-ctx.Done()
		close(s.canceled)
	}
	return s.answer
}

func startServer(t *testing.T, h RequestHandler) string {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(NewHandler(h))
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against passing malformed requests to the handler, and against refusals without a type, remedy or outcome.
func TestMalformedRequests(t *testing.T) {
	cases := []struct {
		name, method, path string
		headers            map[string]string
		body               string
		status             int
		reason             request.Reason
	}{
		{name: "no tenant", path: "s/keys/k", headers: map[string]string{"Tenant": ""}, status: 400, reason: request.Malformed},
		{name: "unknown service", path: "absent/keys/k", status: 404, reason: request.UnknownService},
		{name: "unknown tenant", path: "s/keys/k", headers: map[string]string{"Tenant": "absent"}, status: 404, reason: request.UnknownTenant},
		{name: "not configured", path: "unconfigured/keys/k", status: 503, reason: request.NotConfigured},
		{name: "no key", path: "s/keys/", status: 400, reason: request.Malformed},
		{name: "two segments", path: "s/keys/a/b", status: 400, reason: request.Malformed},
		{name: "query", path: "s/keys/k?a=b", status: 400, reason: request.Malformed},
		{name: "not UTF-8", path: "s/keys/%ff", status: 400, reason: request.Malformed},
		{name: "long key", path: "s/keys/" + strings.Repeat("k", 1025), status: 413, reason: request.TooLarge},
		{name: "no id", method: "POST", path: "s/keys/k", status: 400, reason: request.Malformed},
		{name: "UUIDv4", method: "POST", path: "s/keys/k", headers: map[string]string{"Request-Id": uuid.NewString()}, status: 400, reason: request.Malformed},
		{name: "braced id", path: "s/keys/k", headers: map[string]string{"Request-Id": "{" + testID + "}"}, status: 400, reason: request.Malformed},
		{name: "bad idempotent", path: "s/keys/k", headers: map[string]string{"Idempotent": "yes"}, status: 400, reason: request.Malformed},
		{name: "negative deadline", path: "s/keys/k", headers: map[string]string{"Deadline-Ms": "-1"}, status: 400, reason: request.Malformed},
		{name: "zero deadline", path: "s/keys/k", headers: map[string]string{"Deadline-Ms": "0"}, status: 400, reason: request.Malformed},
		{name: "bad class", path: "s/keys/k", headers: map[string]string{"Class": "urgent"}, status: 400, reason: request.Malformed},
		{name: "large body", path: "s/keys/k", body: strings.Repeat("b", 17), status: 413, reason: request.TooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &stubHandler{}
			r := httptest.NewRequest(c.method, "/v1/services/"+c.path, strings.NewReader(c.body))
			r.Header.Set(httpwire.HeaderTenant, "t")
			for name, value := range c.headers {
				r.Header.Set("Heatherreel-"+name, value)
			}
			w := httptest.NewRecorder()
			NewHandler(s).ServeHTTP(w, r)
			var body httpwire.Problem
			if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
				t.Fatal(err)
			}
			if w.Code != c.status || body.Status != c.status || body.Reason != string(c.reason) || body.Outcome != "not-run" {
				t.Errorf("status %d, body %+v", w.Code, body)
			}
			if body.Remedy == "" || body.Title == "" || body.Type == "" || w.Header().Get("Content-Type") != httpwire.ContentTypeProblem {
				t.Errorf("incomplete problem %+v", body)
			}
			if w.Header().Get(httpwire.HeaderOutcome) != "not-run" || len(s.received) != 0 {
				t.Errorf("outcome %q, %d requests reached the handler", w.Header().Get(httpwire.HeaderOutcome), len(s.received))
			}
		})
	}
}

// Guards against accepting a repeated header, of which another hop might use the second value.
func TestRepeatedHeader(t *testing.T) {
	r := httptest.NewRequest("GET", "/v1/services/s/keys/k", nil)
	r.Header.Add(httpwire.HeaderTenant, "t")
	r.Header.Add(httpwire.HeaderTenant, "u")
	w := httptest.NewRecorder()
	NewHandler(&stubHandler{}).ServeHTTP(w, r)
	if w.Code != http.StatusBadRequest {
		t.Errorf("status %d, want 400", w.Code)
	}
}

// Guards against accepting a body over the limit when the request does not declare a length.
func TestChunkedBodyOverLimit(t *testing.T) {
	s := &stubHandler{}
	r := httptest.NewRequest("GET", "/v1/services/s/keys/k", io.LimitReader(strings.NewReader(strings.Repeat("b", 40)), 40))
	r.ContentLength = -1
	r.Header.Set(httpwire.HeaderTenant, "t")
	w := httptest.NewRecorder()
	NewHandler(s).ServeHTTP(w, r)
	if w.Code != http.StatusRequestEntityTooLarge || len(s.received) != 0 {
		t.Errorf("status %d, %d requests reached the handler", w.Code, len(s.received))
	}
}

// Guards against a caller that keeps a connection open by never sending the rest of its body.
func TestSlowBodyIsCutOff(t *testing.T) {
	for name, head := range map[string]string{
		"at the deadline":  "/v1/services/s/keys/k HTTP/1.1\r\nHeatherreel-Tenant: t\r\nHeatherreel-Deadline-Ms: 50\r\n",
		"refused headers":  "/v1/services/s/keys/k HTTP/1.1\r\n",
		"refused path":     "/v1 HTTP/1.1\r\n",
		"refused for size": "/v1/services/s/keys/k HTTP/1.1\r\nHeatherreel-Tenant: t\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := &stubHandler{}
			conn, err := net.Dial("tcp", startServer(t, s))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			length := 4
			if name == "refused for size" {
				length = 400
			}
			fmt.Fprintf(conn, "GET %sHost: h\r\nContent-Length: %d\r\n\r\nab", head, length)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			answer.Body.Close()
			if answer.StatusCode < 400 || answer.StatusCode > 499 || len(s.received) != 0 {
				t.Errorf("status %d, %d requests reached the handler", answer.StatusCode, len(s.received))
			}
		})
	}
}

// Guards against a read deadline that is still set after the body is read: it would cancel a request that runs longer.
func TestSlowHandlerIsNotCanceled(t *testing.T) {
	s := &slowHandler{stubHandler{answer: request.Answer{Outcome: request.Done, Status: 200}}}
	client := NewClient(1)
	defer client.Close()
	address := startServer(t, s)
	for _, body := range []string{"", "body"} {
		answer, err := client.Do(t.Context(), address, request.Request{
			Service: "s", Tenant: "t", Key: "k", Method: "POST", ID: testID, Body: []byte(body),
			Deadline: time.Now().Add(5 * time.Second),
		})
		if err != nil || answer.Outcome != request.Done {
			t.Errorf("answer %+v, error %v", answer, err)
		}
	}
}

// slowHandler answers after refusedBodyTimeout, unless the request is canceled.
type slowHandler struct{ stubHandler }

func (s *slowHandler) Serve(ctx context.Context, r request.Request) request.Answer {
	select {
	case <-ctx.Done():
		return request.Uncertain(request.ConnectionLost, "r")
	case <-time.After(refusedBodyTimeout + 200*time.Millisecond):
		return s.stubHandler.Serve(ctx, r)
	}
}

// Guards against a field of the request that changes or is lost between the client and the handler, for any key.
func TestRequestRoundTrip(t *testing.T) {
	s := &stubHandler{answer: request.Answer{Outcome: request.Done, Status: 201, ContentType: "text/x", Body: []byte("ok")}}
	address := startServer(t, s)
	client := NewClient(2)
	t.Cleanup(client.Close)
	rapid.Check(t, func(t *rapid.T) {
		s.received = nil
		began := time.Now()
		key := rapid.OneOf(rapid.StringN(1, 50, 500), rapid.StringMatching(`[./%+ ?#;]{1,8}`)).Draw(t, "key")
		sent := request.Request{
			Service: "s", Tenant: "t", Key: key, ID: testID,
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Class: request.Class(rapid.IntRange(0, 2).Draw(t, "class")),
			Method: rapid.SampledFrom([]string{"GET", "PUT", "POST", "DELETE", "PATCH"}).Draw(t, "method"),
			Body:   rapid.SliceOfN(rapid.Byte(), 0, 16).Draw(t, "body"), ContentType: "a/b",
			Traceparent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", Deadline: time.Now().Add(5 * time.Second),
		}
		answer, err := client.Do(context.Background(), address, sent)
		if err != nil || answer.Outcome != request.Done || answer.Status != 201 || string(answer.Body) != "ok" || answer.ContentType != "text/x" {
			t.Fatalf("answer %+v, error %v", answer, err)
		}
		received := s.received[0]
		// The remaining time counts from the arrival, and is sent in whole milliseconds.
		if drift := received.Deadline.Sub(sent.Deadline); drift < -2*time.Millisecond || drift > time.Since(began)+2*time.Millisecond {
			t.Fatalf("deadline moved by %v", drift)
		}
		if received.Key != sent.Key || received.ID != sent.ID || received.Idempotent != sent.Idempotent || received.Class != sent.Class ||
			received.Method != sent.Method || string(received.Body) != string(sent.Body) || received.Traceparent != sent.Traceparent ||
			received.Service != "s" || received.Tenant != "t" || received.ContentType != "a/b" {
			t.Fatalf("sent %+v, got %+v", sent, received)
		}
	})
}

// Guards against a client that reports a large answer as one over its size limit.
func TestLargeAnswerReachesClient(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 1<<20)
	address := startServer(t, &stubHandler{answer: request.Answer{Outcome: request.Done, Status: 200, Body: body}})
	client := NewClient(1)
	defer client.Close()
	answer, err := client.Do(t.Context(), address, request.Request{Service: "s", Tenant: "t", Key: "k", Method: "GET", ID: testID, Deadline: time.Now().Add(5 * time.Second)})
	if err != nil || !bytes.Equal(answer.Body, body) {
		t.Errorf("%d bytes of %d arrived, error %v", len(answer.Body), len(body), err)
	}
}

// Guards against an HTTP status that does not match the outcome, and against fields of the answer that are lost between
// the handler and the client.
func TestAnswerRoundTrip(t *testing.T) {
	cases := []struct {
		answer request.Answer
		status int
	}{
		{request.Refuse(request.NoOwner, "r"), 503},
		{request.Refuse(request.QueueFull, "r"), 429},
		{request.Refuse(request.DeadlineTooClose, "r"), 504},
		{request.Refuse(request.IDReused, "r"), 422},
		{request.Answer{Outcome: request.NotRun, Reason: request.WrongRegion, Remedy: "r", Location: "127.0.0.9:80"}, 307},
		{request.Refuse(request.WrongRegion, "r"), 503},
		{request.Uncertain(request.ConnectionLost, "r"), 502},
		{request.Uncertain(request.MayHaveRun, "r"), 502},
		{request.Uncertain(request.DeadlineExceeded, "r"), 504},
		{request.Answer{Outcome: request.Done, Status: 500, Body: []byte("failed")}, 500},
		{request.Answer{Outcome: request.Done, Status: 204}, 204},
		{request.Answer{Outcome: request.Done, Status: 409, Body: []byte("{}"), ContentType: "application/json"}, 409},
	}
	s := &stubHandler{}
	address := startServer(t, s)
	client := NewClient(2)
	defer client.Close()
	for _, c := range cases {
		s.answer = c.answer
		got, err := client.Do(t.Context(), address, request.Request{
			Service: "s", Tenant: "t", Key: "a/b", Method: "POST", ID: testID, Deadline: time.Now().Add(time.Second),
		})
		if err != nil || got.Status != c.status || got.Outcome != c.answer.Outcome || got.Reason != c.answer.Reason ||
			got.Remedy != c.answer.Remedy || got.Location != c.answer.Location {
			t.Errorf("answer %+v gave %+v, error %v", c.answer, got, err)
		}
	}
}

// Guards against passing on an invalid status of a backend server, which would break the connection of the caller.
func TestInvalidBackendStatusIsUnknown(t *testing.T) {
	for _, status := range []int{0, 101, 999} {
		w := httptest.NewRecorder()
		writeAnswer(w, "/p", request.Answer{Outcome: request.Done, Status: status}, "")
		if w.Code != http.StatusBadGateway || w.Header().Get(httpwire.HeaderOutcome) != "unknown" {
			t.Errorf("status %d gave %d %q", status, w.Code, w.Header().Get(httpwire.HeaderOutcome))
		}
	}
}

// Guards against a handler that goes on working after the caller closed its connection, and against a client that
// reports such a request as not run.
func TestCancellationReachesHandler(t *testing.T) {
	s := &stubHandler{canceled: make(chan struct{})}
	address := startServer(t, s)
	client := NewClient(1)
	defer client.Close()
	answer, err := client.Do(t.Context(), address, request.Request{
		Service: "s", Tenant: "t", Key: "k", Method: "POST", ID: testID, Deadline: time.Now().Add(50 * time.Millisecond),
	})
	if err == nil || answer.Outcome != request.Unknown || answer.Reason != request.DeadlineExceeded {
		t.Errorf("answer %+v, error %v", answer, err)
	}
	<-s.canceled
}

// Guards against a client that refuses the answer to a request because it is larger than the part that needs no shared
// buffers.
func TestLargeAnswerArrives(t *testing.T) {
	body := make([]byte, 15<<20)
	address := startServer(t, &stubHandler{answer: request.Answer{Outcome: request.Done, Status: 200, Body: body}})
	client := NewClient(1)
	defer client.Close()
	answer, err := client.Do(t.Context(), address, request.Request{
		Service: "s", Tenant: "t", Key: "k", Method: "GET", Idempotent: true, Deadline: time.Now().Add(5 * time.Second),
	})
	if err != nil || answer.Outcome != request.Done || len(answer.Body) != len(body) {
		t.Errorf("outcome %v with %d bytes, error %v", answer.Outcome, len(answer.Body), err)
	}
}

// Guards against accepting a response that does not come from a node and so has no outcome header.
func TestAnswerWithoutOutcomeIsUnknown(t *testing.T) {
	answer, err := decodeAnswer(httpwire.Response{Status: 200, Header: http.Header{}})
	if err == nil || answer.Outcome != request.Unknown {
		t.Errorf("answer %+v, error %v", answer, err)
	}
}
