package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait of the tests.
const testTimeout = 10 * time.Second

// holdingHandler holds each request until it is released, and records which have arrived.
type holdingHandler struct {
	mu sync.Mutex
	// started are the requests that the handler got, and arrived those whose body was read.
	started  map[string]bool
	arrived  map[string]bool
	canceled map[string]bool
	released map[string]chan struct{}
	changed  chan struct{}
}

func newHoldingHandler() *holdingHandler {
	return &holdingHandler{started: map[string]bool{}, arrived: map[string]bool{}, canceled: map[string]bool{}, released: map[string]chan struct{}{}, changed: make(chan struct{}, 1000)}
}

// release lets the requests with the paths be answered.
func (h *holdingHandler) release(paths ...string) {
	for _, path := range paths {
		close(h.gate(path))
	}
}

func (h *holdingHandler) gate(path string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released[path] == nil {
		h.released[path] = make(chan struct{})
	}
	return h.released[path]
}

func (h *holdingHandler) set(m map[string]bool, path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m[path] = true
	h.changed <- struct{}{}
}

// ServeHTTP answers with the path and the body. A path with "close" ends the connection.
func (h *holdingHandler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h.set(h.started, req.URL.Path)
	body, err := io.ReadAll(req.Body)
	h.set(h.arrived, req.URL.Path)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case <-h.gate(req.URL.Path):
	case <-req.Context().Done():
		h.set(h.canceled, req.URL.Path)
	}
	if strings.Contains(req.URL.Path, "close") {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, req.URL.Path+string(body))
}

// Classify takes GET as idempotent.
func (h *holdingHandler) Classify(req *http.Request) Class {
	return Class{Idempotent: req.Method == http.MethodGet}
}

// await waits until all paths are in the set.
func (h *holdingHandler) await(t *testing.T, m map[string]bool, paths ...string) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		h.mu.Lock()
		missing := ""
		for _, path := range paths {
			if !m[path] {
				missing = path
			}
		}
		h.mu.Unlock()
		if missing == "" {
			return
		}
		select {
		case <-h.changed:
		case <-timeout:
			t.Fatalf("waited for %s", missing)
		}
	}
}

// isolated checks that a request does not arrive, for a moment in which it would.
func (h *holdingHandler) isolated(t *testing.T, path string) {
	t.Helper()
	<-time.After(100 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.arrived[path] {
		t.Errorf("%s was handled too early", path)
	}
}

// testClient is a connection of a caller.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

// startServer serves the handler until the end of the test and returns the server and its address.
func startServer(t testing.TB, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-served
	})
	return listener.Addr().String()
}

func dial(t testing.TB, address string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &testClient{conn, bufio.NewReader(conn)}
}

// send sends a request for each item, such as "GET /a".
func (c *testClient) send(t testing.TB, requests ...string) {
	t.Helper()
	for _, r := range requests {
		if _, err := io.WriteString(c, r+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
}

// expect reads an answer with the status and body. closes is whether it says that the connection ends.
func (c *testClient) expect(t testing.TB, status int, body string, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("no answer with %q: %v", body, err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status || string(got) != body || response.Close != closes {
		t.Fatalf("got %d %q, close %v, error %v; want %d %q, close %v", response.StatusCode, got, response.Close, err, status, body, closes)
	}
}

// expectEnd checks that the connection ends without another byte.
func (c *testClient) expectEnd(t testing.TB) {
	t.Helper()
	if b, err := c.reader.ReadByte(); err == nil {
		t.Errorf("byte %q instead of the end of the connection", b)
	} else if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		t.Error("the connection is still open")
	}
}

// Guards against requests that wait for earlier ones of their connection, and against answers in another order.
func TestRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	h := newHoldingHandler()
	c := dial(t, startServer(t, &Server{Handler: h, Classifier: h, Depth: 4}))
	c.send(t, "GET /1", "GET /2", "GET /3", "GET /4", "GET /5")
	h.await(t, h.arrived, "/1", "/2", "/3", "/4")
	h.isolated(t, "/5")
	h.release("/4", "/3", "/2", "/5")
	h.isolated(t, "/5")
	h.release("/1")
	for _, path := range []string{"/1", "/2", "/3", "/4", "/5"} {
		c.expect(t, 200, path, false)
	}
}

// Guards against a request that is not idempotent and is forwarded while it may have to be sent again with others of its
// connection, and against requests behind it that are forwarded before its answer is written.
func TestNonIdempotentRequestRunsAlone(t *testing.T) {
	h := newHoldingHandler()
	c := dial(t, startServer(t, &Server{Handler: h, Classifier: h, Depth: 4}))
	c.send(t, "GET /1", "POST /2", "GET /3", "GET /4")
	h.await(t, h.arrived, "/1")
	h.isolated(t, "/2")
	h.release("/1")
	c.expect(t, 200, "/1", false)
	h.await(t, h.arrived, "/2")
	h.isolated(t, "/3")
	h.release("/2")
	h.await(t, h.arrived, "/3", "/4")
	h.release("/3", "/4")
	c.expect(t, 200, "/2", false)
	c.expect(t, 200, "/3", false)
	c.expect(t, 200, "/4", false)
}

// Guards against a connection that closes before forwarded requests are answered, and against requests that are forwarded
// behind an answer that closes it.
func TestClosingAnswerKeepsForwardedRequests(t *testing.T) {
	h := newHoldingHandler()
	c := dial(t, startServer(t, &Server{Handler: h, Classifier: h, Depth: 2}))
	c.send(t, "GET /close", "GET /2", "GET /3")
	h.await(t, h.arrived, "/close", "/2")
	h.release("/close")
	c.expect(t, 200, "/close", false)
	h.isolated(t, "/3")
	h.release("/2")
	c.expect(t, 200, "/2", true)
	c.expectEnd(t)
	h.isolated(t, "/3")
}

// Guards against a closing answer that ends the reading of the body of a forwarded request.
func TestClosingAnswerDoesNotEndBody(t *testing.T) {
	h := newHoldingHandler()
	c := dial(t, startServer(t, &Server{Handler: h, Classifier: h, Depth: 2}))
	_, _ = io.WriteString(c, "GET /close HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	h.await(t, h.started, "/close", "/2")
	h.release("/close", "/2")
	c.expect(t, 200, "/close", false)
	_, _ = io.WriteString(c, "dy")
	c.expect(t, 200, "/2body", true)
	c.expectEnd(t)
}

// Guards against requests that go on running for a caller that has closed its connection, also if more bytes are waiting
// than the server reads ahead.
func TestClosedConnectionCancelsAllRequests(t *testing.T) {
	for _, behind := range []int{0, 3, 500} {
		t.Run(fmt.Sprint(behind, " behind"), func(t *testing.T) {
			h := newHoldingHandler()
			c := dial(t, startServer(t, &Server{Handler: h, Classifier: h, Depth: 2}))
			c.send(t, "GET /1", "GET /2")
			for range behind {
				c.send(t, "GET /behind")
			}
			h.await(t, h.arrived, "/1", "/2")
			c.Close()
			h.await(t, h.canceled, "/1", "/2")
			h.isolated(t, "/behind")
		})
	}
}

// Guards against a stop that waits for idle connections, drops answers, or forwards requests behind them.
func TestShutdownAwaitsAnswers(t *testing.T) {
	h := newHoldingHandler()
	s := &Server{Handler: h, Classifier: h, Depth: 2}
	address := startServer(t, s)
	idle, busy := dial(t, address), dial(t, address)
	h.release("/idle")
	idle.send(t, "GET /idle")
	idle.expect(t, 200, "/idle", false)
	busy.send(t, "GET /1", "GET /2", "GET /3")
	h.await(t, h.arrived, "/1", "/2")
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	idle.expectEnd(t)
	select {
	case <-ended:
		t.Fatal("the stop ended before the answers")
	case <-time.After(50 * time.Millisecond):
	}
	h.release("/1", "/2")
	busy.expect(t, 200, "/1", false)
	busy.expect(t, 200, "/2", true)
	busy.expectEnd(t)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	h.isolated(t, "/3")
}

// Guards against a body that is taken for the next request or sent without the interim answer that its caller awaits.
func TestBodiesAndExpectations(t *testing.T) {
	h := newHoldingHandler()
	h.release("/1", "/2", "/3", "/4")
	c := dial(t, startServer(t, &Server{Handler: h, Classifier: h, Depth: 4}))
	_, _ = io.WriteString(c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"3\r\ntwo\r\n0\r\nX-Trailer: 1\r\n\r\nPOST /3 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	c.expect(t, 200, "/1one", false)
	c.expect(t, 200, "/2two", false)
	if line, err := c.reader.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("interim answer %q, %v", line, err)
	}
	_, _ = c.reader.ReadString('\n')
	_, _ = io.WriteString(c, "three")
	c.expect(t, 200, "/3three", false)
	large := strings.Repeat("X-A: "+strings.Repeat("a", 1000)+"\r\n", 20)
	_, _ = io.WriteString(c, "GET /4 HTTP/1.1\r\nHost: h\r\n"+large+"\r\n")
	c.expect(t, 200, "/4", false)
}

// Guards against an answer of a handler that ended early and looks complete.
func TestBrokenAnswersAreVisible(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"panic": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"short": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
		},
	} {
		c := dial(t, startServer(t, &Server{Handler: handler}))
		c.send(t, "GET /")
		if response, err := http.ReadResponse(c.reader, nil); err == nil {
			t.Errorf("%s: status %d", name, response.StatusCode)
		}
	}
}

// Guards against a caller that does not read its answers and is kept because no rate is required.
func TestCallersThatStopReadingAreCutWithoutRate(t *testing.T) {
	limits := DefaultLimits()
	limits.WriteTimeout, limits.MinBytesPerSecond = 300*time.Millisecond, 0
	ended := make(chan struct{})
	address := startServer(t, &Server{Limits: func() Limits { return limits }, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = w.Write(make([]byte, 16<<20))
		go func() {
			<-req.Context().Done()
			close(ended)
		}()
	})})
	dial(t, address).send(t, "GET /")
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("a caller that does not read is kept")
	}
}

// Guards against a caller that does not read its answers and is kept, and against one that reads slowly and is cut.
func TestOnlyCallersThatStopReadingAreCut(t *testing.T) {
	const size = 16 << 20
	limits := DefaultLimits()
	limits.WriteTimeout = 300 * time.Millisecond
	written := make(chan error, 2)
	s := &Server{Limits: func() Limits { return limits }, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = w.Write(make([]byte, size))
		go func() {
			<-req.Context().Done()
			written <- nil
		}()
	})}
	address := startServer(t, s)
	stopped := dial(t, address)
	stopped.send(t, "GET /")
	select {
	case <-written:
	case <-time.After(testTimeout):
		t.Error("a caller that does not read is kept")
	}
	slow := dial(t, address)
	slow.send(t, "GET /")
	read := 0
	for buffer := make([]byte, size/16); read < size; {
		n, err := slow.Read(buffer)
		read += n
		if err != nil {
			t.Fatalf("cut after %d bytes: %v", read, err)
		}
		<-time.After(20 * time.Millisecond)
	}
}
