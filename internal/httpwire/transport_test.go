package httpwire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"heatherreel/internal/problem"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawServer responds to requests with scripted bytes, and counts requests and connections.
type rawServer struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// newRawServer starts a server that calls respond for each request, with the number of the request on its connection
// and the connection. It closes the connection when respond returns false.
func newRawServer(t *testing.T, respond func(n int, c net.Conn) bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, respond)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, respond func(n int, c net.Conn) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		buffer := make([]byte, 1)
		for err == nil {
			_, err = request.Body.Read(buffer)
		}
		s.requests.Add(1)
		if !respond(n, conn) {
			return
		}
	}
}

func (s *rawServer) address() string { return s.listener.Addr().String() }

func newTestTransport(t *testing.T) *Transport {
	t.Helper()
	transport := NewTransport(Options{MaxConnections: 2, DialTimeout: time.Second, IdleTimeout: time.Minute})
	t.Cleanup(transport.Close)
	return transport
}

func newCall(method, address string, body []byte) Call {
	return Call{Method: method, Address: address, Path: "/keys/k", Body: body, MaxResponseBytes: 1024}
}

// Guards against running a request twice: net/http on its own sends a GET again when a persistent connection closes
// without a response, and an empty POST when the connection fails before the first byte.
func TestRequestIsSentAtMostOnce(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "DELETE"} {
		for _, body := range [][]byte{nil, []byte("x")} {
			s := newRawServer(t, func(n int, c net.Conn) bool {
				if n == 2 {
					return false
				}
				c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				return true
			})
			transport := newTestTransport(t)
			if _, err := transport.Do(t.Context(), newCall(method, s.address(), body)); err != nil {
				t.Fatalf("%s: first exchange: %v", method, err)
			}
			_, err := transport.Do(t.Context(), newCall(method, s.address(), body))
			if !errors.Is(err, problem.Unavailable) {
				t.Errorf("%s with %d bytes: error %v, want unavailable", method, len(body), err)
			}
			if got := s.requests.Load(); got != 2 {
				t.Errorf("%s with %d bytes: server received %d requests, want 2", method, len(body), got)
			}
		}
	}
}

// Shows the retry by net/http that type exchange prevents. If this test fails, net/http has changed its behaviour.
func TestNetHTTPAloneSendsTwice(t *testing.T) {
	s := newRawServer(t, func(n int, c net.Conn) bool {
		if n == 2 {
			return false
		}
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		return true
	})
	transport := newTestTransport(t)
	for range 2 {
		request, err := newCall("GET", s.address(), nil).request()
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.rt.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
	if got := s.requests.Load(); got != 3 {
		t.Errorf("server received %d requests, want 3", got)
	}
}

// Guards against reporting a request as not sent although it may have run: only a failure before the first byte is
// problem.NotSent.
func TestNotSentOnlyWithoutConnection(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	transport := newTestTransport(t)
	if _, err := transport.Do(t.Context(), newCall("POST", closed.Addr().String(), nil)); !errors.Is(err, problem.NotSent) {
		t.Errorf("refused connection: %v, want not_sent", err)
	}
	s := newRawServer(t, func(int, net.Conn) bool { return false })
	if _, err := transport.Do(t.Context(), newCall("POST", s.address(), nil)); !errors.Is(err, problem.Unavailable) {
		t.Errorf("closed after sending: %v, want unavailable", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := transport.Do(ctx, newCall("POST", s.address(), nil)); !errors.Is(err, problem.NotSent) {
		t.Errorf("ended before the call: %v, want not_sent", err)
	}
}

// Guards against returning a truncated response as complete.
func TestIncompleteResponseIsRefused(t *testing.T) {
	cases := map[string]string{
		"short body":    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
		"short chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"no length":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12345",
		"half a header": "HTTP/1.1 200 OK\r\nContent-Le",
		"large header":  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n",
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(_ int, c net.Conn) bool {
				c.Write([]byte(bytes))
				return false
			})
			if _, err := newTestTransport(t).Do(t.Context(), newCall("GET", s.address(), nil)); !errors.Is(err, problem.Unavailable) {
				t.Errorf("error %v, want unavailable", err)
			}
		})
	}
}

// Guards against delivering a late response to the next request on the connection, and against waiting past the
// deadline for a peer that sends nothing.
func TestConnectionThatMissesDeadlineIsNotReused(t *testing.T) {
	missed := make(chan struct{})
	s := newRawServer(t, func(n int, c net.Conn) bool {
		if n == 1 {
			<-missed
		}
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"))
		return true
	})
	transport := newTestTransport(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := transport.Do(ctx, newCall("GET", s.address(), nil))
	close(missed)
	if !errors.Is(err, problem.Unavailable) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want unavailable by deadline", err)
	}
	if _, err := transport.Do(t.Context(), newCall("GET", s.address(), nil)); err != nil {
		t.Fatal(err)
	}
	if got := s.conns.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// Guards against unbounded memory for one response, and against reporting a request that was executed as not sent.
func TestResponseOverLimit(t *testing.T) {
	s := newRawServer(t, func(_ int, c net.Conn) bool {
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"))
		c.Write(make([]byte, 2000))
		return true
	})
	if _, err := newTestTransport(t).Do(t.Context(), newCall("GET", s.address(), nil)); !errors.Is(err, problem.TooLarge) {
		t.Errorf("error %v, want too_large", err)
	}
}

// Guards against running a request twice: net/http lets the next exchange take the connection of an answer without a
// body before it returns that answer.
func TestAnswerWithoutBodyIsNotTakenForUnsent(t *testing.T) {
	const callers, requestsPerCaller = 8, 300
	s := newRawServer(t, func(_ int, c net.Conn) bool {
		_, err := c.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	})
	transport := newTestTransport(t)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range requestsPerCaller {
				if _, err := transport.Do(t.Context(), newCall("POST", s.address(), []byte("x"))); err != nil {
					t.Errorf("exchange: %v", err)
				}
			}
		})
	}
	group.Wait()
	if got := s.requests.Load(); got != callers*requestsPerCaller {
		t.Errorf("the server received %d requests, want %d", got, callers*requestsPerCaller)
	}
}
