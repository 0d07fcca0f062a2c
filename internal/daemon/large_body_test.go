package daemon

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
)

// largeBodyConfiguration allows bodies of 20 MiB, and half a second for their begin.
const largeBodyConfiguration = `{"version":"r1","routes":{"a":{"host":"h.example","path_prefix":"/","route_type":"non_idempotent",
"timeout_ms":10000,"service":"orders","max_attempts":1}},"services":{"orders":{}},
"limits":{"max_body_bytes":20971520,"header_timeout_ms":500}}`

// receivedBody is what a backend server got of a body.
type receivedBody struct {
	bytes    int64
	complete bool
}

// bodyServer is a backend server that records the bodies of requests by their ids. It answers a request for /early before it
// reads the body, for /close it also closes the connection then, and for /cut it closes the connection without an answer.
type bodyServer struct {
	mu       sync.Mutex
	received map[string]receivedBody
}

func (s *bodyServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *bodyServer) serveConn(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	id := req.Header.Get("Heatherreel-Request-Id")
	answer := "HTTP/1.1 200 OK\r\nHeatherreel-Request-Id: " + id + "\r\nHeatherreel-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
	s.record(id, 0, false)
	switch req.URL.Path {
	case "/early", "/close":
		_, _ = io.WriteString(conn, answer)
	case "/cut":
		_, _ = io.CopyN(io.Discard, req.Body, 1<<20)
	}
	if req.URL.Path == "/close" || req.URL.Path == "/cut" {
		return
	}
	n, err := io.Copy(io.Discard, req.Body)
	s.record(id, n, err == nil)
	_, _ = io.WriteString(conn, answer)
}

func (s *bodyServer) record(id string, bytes int64, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[id] = receivedBody{bytes, complete}
}

func (s *bodyServer) get(id string) (receivedBody, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.received[id]
	return r, found
}

const mebibyte = 1 << 20

// largeRequest returns the begin of a request: its head, and sent bytes of its body, which has the length or is sent in
// chunks if that is negative.
func largeRequest(id, path string, length, sent int64) io.Reader {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nHeatherreel-Request-Id: %s\r\nHeatherreel-Deadline-Ms: 4000\r\n", path, id)
	if length >= 0 {
		return io.MultiReader(strings.NewReader(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, length)), strings.NewReader(strings.Repeat("x", int(sent))))
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", mebibyte, strings.Repeat("x", mebibyte))
	return strings.NewReader(head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, int(sent/mebibyte)))
}

// Guards against a status that claims that a request has not run although its body was passed on, against a body that looks
// complete to the backend server although it is not, against a client that holds a slot until its deadline although it has
// stalled, and against an answer that is lost because it came early.
func TestLargeBodyFailures(t *testing.T) {
	t.Parallel()
	server := &bodyServer{received: map[string]receivedBody{}}
	address := startConfiguredGateway(t, largeBodyConfiguration, serveTCP(t, server.serve))
	const whole = 12 * mebibyte
	cases := []struct {
		id, path     string
		length, sent int64
		end          string
		leaves       bool
		status       int
		// reaches is whether the backend server gets the request, and complete whether it gets the whole body.
		reaches, complete bool
	}{
		{id: "length", path: "/", length: whole, sent: whole, status: 200, reaches: true, complete: true},
		{id: "chunks", path: "/", length: -1, sent: whole, end: "0\r\n\r\n", status: 200, reaches: true, complete: true},
		{id: "chunks of 8 MiB", path: "/", length: -1, sent: 8 * mebibyte, end: "0\r\n\r\n", status: 200, reaches: true, complete: true},
		{id: "length over the limit", path: "/", length: 21 * mebibyte, sent: mebibyte, status: 413},
		{id: "chunks over the limit", path: "/", length: -1, sent: 21 * mebibyte, status: 502, reaches: true},
		{id: "stalls at the begin", path: "/", length: whole, status: 408},
		{id: "stalls in the first chunks", path: "/", length: -1, sent: mebibyte, status: 408},
		{id: "stalls half-way", path: "/", length: whole, sent: 2 << 10, status: 502, reaches: true},
		{id: "stalls later", path: "/", length: whole, sent: 6 * mebibyte, status: 502, reaches: true},
		{id: "stalls later in chunks", path: "/", length: -1, sent: 9 * mebibyte, status: 502, reaches: true},
		{id: "malformed chunk", path: "/", length: -1, sent: whole, end: "zz\r\n", status: 502, reaches: true},
		{id: "leaves", path: "/", length: whole, sent: 6 * mebibyte, leaves: true, reaches: true},
		{id: "leaves in chunks", path: "/", length: -1, sent: 9 * mebibyte, leaves: true, reaches: true},
		{id: "early answer", path: "/early", length: whole, sent: mebibyte, status: 200, reaches: true},
		{id: "early answer and close", path: "/close", length: whole, sent: mebibyte, status: 200, reaches: true},
		{id: "cut by the backend server", path: "/cut", length: whole, sent: whole, status: 502, reaches: true},
	}
	for _, c := range cases {
		id := strings.ReplaceAll(c.id, " ", "-")
		began := time.Now()
		conn := dialCallers(t, address)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = io.Copy(conn, io.MultiReader(largeRequest(id, c.path, c.length, c.sent), strings.NewReader(c.end)))
		}()
		if c.leaves {
			<-sent
			conn.Close()
			await(t, c.id+": the backend server to get the request", func() bool { _, found := server.get(id); return found })
		} else if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Errorf("%s: %v", c.id, err)
		} else if resp.StatusCode != c.status {
			t.Errorf("%s: status %d (%s), want %d", c.id, resp.StatusCode, resp.Header.Get("Heatherreel-Reason"), c.status)
		}
		conn.Close()
		<-sent
		if took := time.Since(began); took > 3*time.Second && c.id != "stalls in the first chunks" {
			t.Errorf("%s: took %v", c.id, took)
		}
	}
	// A body that a client has left may still be on its way.
	<-time.After(500 * time.Millisecond)
	for _, c := range cases {
		got, reached := server.get(strings.ReplaceAll(c.id, " ", "-"))
		if reached != c.reaches || got.complete != c.complete {
			t.Errorf("%s: reached the backend server: %v, got %+v", c.id, reached, got)
		}
	}
}

// Guards against more bodies in progress than the limit, against a refusal without Retry-After or with a connection that goes
// on, and against a slot that is not returned.
func TestLargeBodyLimit(t *testing.T) {
	t.Parallel()
	server := &bodyServer{received: map[string]receivedBody{}}
	address := startConfiguredGateway(t, largeBodyConfiguration, serveTCP(t, server.serve))
	var open []net.Conn
	for i := range 2 {
		conn := dialCallers(t, address)
		open = append(open, conn)
		id := fmt.Sprintf("open-%d", i)
		_, _ = io.Copy(conn, largeRequest(id, "/", 9*mebibyte, 8*mebibyte))
		await(t, "the body to be passed on", func() bool { _, found := server.get(id); return found })
	}
	send := func(id string) *http.Response {
		conn := dialCallers(t, address)
		go func() { _, _ = io.Copy(conn, largeRequest(id, "/", 9*mebibyte, 9*mebibyte)) }()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	resp := send("third")
	if _, reached := server.get("third"); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close || reached {
		t.Errorf("third body: status %d, header %v, reached the backend server: %v", resp.StatusCode, resp.Header, reached)
	}
	for _, conn := range open {
		conn.Close()
	}
	for began := time.Now(); send("later").StatusCode != 200; {
		if time.Since(began) > 5*time.Second {
			t.Fatal("no body is accepted after the others have ended")
		}
	}
}

// Guards against a client that waits for the interim answer in vain, or that is asked for a body which is then refused.
func TestLargeBodyIsAskedFor(t *testing.T) {
	t.Parallel()
	server := &bodyServer{received: map[string]receivedBody{}}
	address := startConfiguredGateway(t, largeBodyConfiguration, serveTCP(t, server.serve))
	for size, want := range map[int64]int{9 * mebibyte: 200, 21 * mebibyte: 413} {
		conn := dialCallers(t, address)
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nHeatherreel-Request-Id: r-%d\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", size, size)
		answers := bufio.NewReader(conn)
		resp, err := http.ReadResponse(answers, nil)
		asked := err == nil && resp.StatusCode == http.StatusContinue
		if asked {
			_, _ = io.WriteString(conn, strings.Repeat("x", int(size)))
			resp, err = http.ReadResponse(answers, nil)
		}
		if err != nil || resp.StatusCode != want || asked != (want == 200) {
			t.Errorf("%d bytes: %+v, %v, asked for the body: %v, want status %d", size, resp, err, asked, want)
		}
	}
}
