package backendserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testSlice = keyspace.SliceID{Group: keyspace.Group{Service: "s", Home: "north"}, Index: 7}

func testRequest() request.Request {
	return request.Request{
		Service: "s", Tenant: "t", Key: "a/b ..%", ID: "0190a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b", Method: "POST",
		Body: []byte("body"), ContentType: "text/x", Class: request.Lookup, Deadline: time.Now().Add(time.Second),
	}
}

func startBackend(t *testing.T, h http.HandlerFunc) (*Client, string) {
	t.Helper()
	server := httptest.NewServer(h)
	client := NewClient(2, 64)
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server.Listener.Addr().String()
}

// Guards against a request that reaches the backend server without its key, fence, slice, deadline or body.
func TestExecuteCarriesRequest(t *testing.T) {
	client, address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body := make([]byte, 4)
		r.Body.Read(body)
		got := strings.Join([]string{r.Method, r.URL.EscapedPath(), string(body), r.Header.Get(httpwire.HeaderFence),
			r.Header.Get(httpwire.HeaderSlice), r.Header.Get(httpwire.HeaderTenant), r.Header.Get(httpwire.HeaderClass),
			r.Header.Get(httpwire.HeaderRequestID)}, "|")
		if want := "POST|/keys/a%2Fb%20..%25|body|42|s@north/7|t|lookup|" + testRequest().ID; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		if ms := r.Header.Get(httpwire.HeaderDeadline); len(ms) != 3 {
			t.Errorf("deadline %s ms, want just under 1000", ms)
		}
		w.Header().Set(httpwire.HeaderContentType, "text/y")
		w.WriteHeader(http.StatusTeapot)
		w.Write([]byte("answer"))
	})
	a := client.Execute(t.Context(), address, testSlice, 42, testRequest())
	if a.Outcome != request.Done || a.Status != http.StatusTeapot || a.ContentType != "text/y" || string(a.Body) != "answer" {
		t.Errorf("answer %+v", a)
	}
}

// Guards against reporting a request as not run or done when that is not certain. Each case is one way in which an
// exchange can end.
func TestExecuteOutcomes(t *testing.T) {
	hijack := func(w http.ResponseWriter, text string) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		conn.Write([]byte(text))
		conn.Close()
	}
	refuse := func(status int, value string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(httpwire.HeaderRefused, value)
			w.WriteHeader(status)
		}
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		outcome request.Outcome
		reason  request.Reason
	}{
		{"fence", refuse(409, "fence"), request.NotRun, request.BackendRefused},
		{"overload", refuse(503, "overload"), request.NotRun, request.QueueFull},
		{"conflict of the service", refuse(409, ""), request.Done, ""},
		{"unavailable of the service", refuse(503, ""), request.Done, ""},
		{"refusal with another status", refuse(200, "fence"), request.Done, ""},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/keys/other", http.StatusTemporaryRedirect)
		}, request.Done, ""},
		{"closed", func(w http.ResponseWriter, _ *http.Request) { hijack(w, "") }, request.Unknown, request.ConnectionLost},
		{"cut short", func(w http.ResponseWriter, _ *http.Request) {
			hijack(w, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
		}, request.Unknown, request.ConnectionLost},
		{"no length", func(w http.ResponseWriter, _ *http.Request) {
			hijack(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc")
		}, request.Unknown, request.ConnectionLost},
		{"too large", func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, 65)) }, request.Unknown, request.AnswerTooLarge},
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, request.Unknown, request.DeadlineExceeded},
		{"another id", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(httpwire.HeaderRequestID, "other")
		}, request.Unknown, request.ConnectionLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client, address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/keys/other" {
					t.Error("a redirect was followed")
				}
				// The server notices a closed connection only after it has read the body.
				r.Body.Read(make([]byte, 16))
				r.Body.Read(make([]byte, 16))
				c.handler(w, r)
			})
			r := testRequest()
			if c.name == "silent" {
				r.Deadline = time.Now().Add(30 * time.Millisecond)
			}
			a := client.Execute(t.Context(), address, testSlice, 1, r)
			if a.Outcome != c.outcome || a.Reason != c.reason || (a.Outcome == request.Done) != (a.Remedy == "") {
				t.Errorf("answer %+v, want %s %s", a, c.outcome, c.reason)
			}
		})
	}
}

// Guards against reporting a request as possibly run that was never sent.
func TestExecuteNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	client := NewClient(1, 64)
	defer client.Close()
	if a := client.Execute(t.Context(), listener.Addr().String(), testSlice, 1, testRequest()); a.Outcome != request.NotRun || a.Reason != request.BackendUnreachable {
		t.Errorf("refused connection: %+v", a)
	}
	late := testRequest()
	late.Deadline = time.Now()
	if a := client.Execute(t.Context(), listener.Addr().String(), testSlice, 1, late); a.Outcome != request.NotRun || a.Reason != request.DeadlineTooClose {
		t.Errorf("passed deadline: %+v", a)
	}
}

// Guards against reporting a request as possibly run whose deadline passed while it waited for a free connection.
func TestWaitingForConnectionIsNotRun(t *testing.T) {
	entered, unblock := make(chan struct{}), make(chan struct{})
	client, address := startBackend(t, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-unblock
	})
	done := make(chan request.Answer, 2)
	for range 2 {
		go func() { done <- client.Execute(context.Background(), address, testSlice, 1, testRequest()) }()
		<-entered
	}
	r := testRequest()
	r.Deadline = time.Now().Add(20 * time.Millisecond)
	if a := client.Execute(t.Context(), address, testSlice, 1, r); a.Outcome != request.NotRun {
		t.Errorf("answer %+v, want not-run", a)
	}
	close(unblock)
	for range 2 {
		if a := <-done; a.Outcome != request.Done {
			t.Errorf("answer %+v, want done", a)
		}
	}
}

// Guards against a backend server that goes on working on a canceled request because its connection stays open.
func TestCancellationClosesConnection(t *testing.T) {
	started, stopped := make(chan struct{}), make(chan struct{})
	client, address := startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		r.Body.Read(make([]byte, 16))
		r.Body.Read(make([]byte, 16))
		close(started)
		<-r.Context().Done()
		close(stopped)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	if a := client.Execute(ctx, address, testSlice, 1, testRequest()); a.Outcome != request.Unknown || a.Reason != request.ConnectionLost {
		t.Errorf("answer %+v", a)
	}
	<-stopped
}

// Guards against grants that the backend server cannot decode, and against control errors that are treated as success.
func TestControlCalls(t *testing.T) {
	client, address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		buffer := make([]byte, 256)
		n, _ := r.Body.Read(buffer)
		switch r.Method + r.URL.Path {
		case "PUT/grants":
			if got, want := string(buffer[:n]), `{"slices":[{"slice":{"service":"s","home":"north","index":7},"fence":9}],"valid_until_unix_ms":77}`; got != want {
				t.Errorf("grants %s, want %s", got, want)
			}
		case "GET/health":
			w.Write([]byte(`{"healthy":true,"warm":true,"later":1}`))
		case "GET/load":
			w.Write([]byte(`{`))
		default:
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	if err := client.Grant(t.Context(), address, Grants{Slices: []ledger.SliceFence{{Slice: testSlice, Fence: 9}}, ValidUntilUnixMS: 77}); err != nil {
		t.Error(err)
	}
	if h, err := client.Health(t.Context(), address); err != nil || !h.Healthy || !h.Warm || h.Draining {
		t.Errorf("health %+v, error %v", h, err)
	}
	if _, err := client.Load(t.Context(), address); !errors.Is(err, problem.Malformed) {
		t.Errorf("load: %v, want malformed", err)
	}
	if err := client.Drain(t.Context(), address); !errors.Is(err, problem.Unavailable) {
		t.Errorf("drain: %v, want unavailable", err)
	}
}

// recorder records the announcements that it receives, and rejects those of service "refused".
type recorder struct{ announcements []Announcement }

func (r *recorder) Announce(_ context.Context, a Announcement) error {
	if a.Service == "refused" {
		return problem.New(problem.Conflict, "announce to its own node", "another backend server uses this node")
	}
	r.announcements = append(r.announcements, a)
	return nil
}

// Guards against accepting an announcement with a misspelt, missing or invalid field.
func TestAnnouncementIsStrict(t *testing.T) {
	const valid = `{"address":"127.0.0.1:80","service":"s","incarnation":"i","slots":10,"connections":130,"weight":100,"draining":true}`
	replace := func(old, new string) string { return strings.Replace(valid, old, new, 1) }
	cases := []struct {
		body   string
		status int
	}{
		{valid, 204},
		{replace(`"slots"`, `"slot"`), 400},
		{replace(`"slots":10`, `"slots":0`), 400},
		{replace(`"slots":10`, `"slots":-1`), 400},
		{replace(`"slots":10`, `"slots":100001`), 400},
		{replace(`"weight":100,`, ``), 400},
		{replace(`127.0.0.1:80`, `host:80`), 400},
		{replace(`127.0.0.1:80`, `0.0.0.0:80`), 400},
		{replace(`127.0.0.1:80`, `127.0.0.1:0`), 400},
		{replace(`"s"`, `""`), 400},
		{replace(`"i"`, `""`), 400},
		{replace(`"s"`, `"refused"`), 409},
		{valid + valid, 400},
		{``, 400},
		{strings.Repeat(" ", 5000) + valid, 413},
	}
	for _, c := range cases {
		r := &recorder{}
		w := httptest.NewRecorder()
		NewHandler(r).ServeHTTP(w, httptest.NewRequest("PUT", AnnouncementPath, strings.NewReader(c.body)))
		if w.Code != c.status || (len(r.announcements) == 1) != (c.status == 204) {
			t.Errorf("%.90s: status %d, want %d; %d accepted", c.body, w.Code, c.status, len(r.announcements))
		}
		if c.status != 204 && w.Header().Get("Content-Type") != httpwire.ContentTypeProblem {
			t.Errorf("%.90s: content type %s", c.body, w.Header().Get("Content-Type"))
		}
	}
}

// Guards against a backend server that keeps a connection open by never sending the rest of its announcement.
func TestServerBoundsReading(t *testing.T) {
	s := NewServer(http.NotFoundHandler())
	if s.ReadTimeout <= 0 || s.IdleTimeout <= 0 || s.MaxHeaderBytes <= 0 {
		t.Errorf("unbounded: %v, %v, %d", s.ReadTimeout, s.IdleTimeout, s.MaxHeaderBytes)
	}
}
