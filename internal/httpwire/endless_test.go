package httpwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherreel/internal/problem"
)

const (
	// endlessTimeout is the deadline of an exchange with a server that sends bytes without end.
	endlessTimeout = 250 * time.Millisecond
	// endlessSlack is the time that an exchange may take after its deadline.
	endlessSlack = 200 * time.Millisecond
	// closeLimit is the time within which the server must notice the close of the connection.
	closeLimit = 500 * time.Millisecond
	// trickle is the pause between single bytes of a slow server.
	trickle = 100 * time.Millisecond
	// headOK begins an answer.
	headOK = "HTTP/1.1 200 OK\r\n"
)

// endlessServer sends bytes without end on its first connection, and an answer on each later one.
type endlessServer struct {
	listener net.Listener
	conns    atomic.Int64
	// requests counts the requests that have arrived.
	requests atomic.Int64
	// closed is closed when the client has closed the first connection.
	closed chan struct{}
}

// endlessBytes are a beginning and bytes that follow again and again, with a pause after each if pause is not zero.
type endlessBytes struct {
	begin, repeat string
	pause         time.Duration
}

func newEndlessServer(t *testing.T, b endlessBytes) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{listener: listener, closed: make(chan struct{})}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, b, s.conns.Add(1) == 1)
		}
	}()
	return s
}

func (s *endlessServer) serve(conn net.Conn, b endlessBytes, endless bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if endless {
			break
		}
		if _, err := io.WriteString(conn, headOK+"Content-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		close(s.closed)
	}()
	repeat := b.repeat
	if b.pause == 0 {
		repeat = strings.Repeat(b.repeat, 1+4096/len(b.repeat))
	}
	// One write, so that the first of the repeated bytes arrives with the beginning, not after a further request.
	_, err := io.WriteString(conn, b.begin+repeat)
	for err == nil {
		<-time.After(b.pause)
		_, err = io.WriteString(conn, repeat)
	}
}

// endlessAnswers are bytes without end that are no answer.
var endlessAnswers = map[string]endlessBytes{
	"no protocol":             {"", "\x00\x01garbage", 0},
	"empty lines":             {"", "\r\n", 0},
	"status line":             {"HTTP/1.1 200 ", "x", 0},
	"header lines":            {headOK, "X-A: x\r\n", 0},
	"header line":             {headOK + "X-A: ", "x", 0},
	"header name":             {headOK, "x", 0},
	"continued header line":   {headOK + "X-A: x\r\n", " x\r\n", 0},
	"interim answers":         {"", "HTTP/1.1 102 Processing\r\n\r\n", 0},
	"early hints":             {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 0},
	"switched protocol":       {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", "x", 0},
	"chunks":                  {headOK + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n", 0},
	"chunk":                   {headOK + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffff\r\n", "x", 0},
	"chunk size":              {headOK + "Transfer-Encoding: chunked\r\n\r\n", "0", 0},
	"chunk extension":         {headOK + "Transfer-Encoding: chunked\r\n\r\n1;", "x", 0},
	"chunk extensions":        {headOK + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 500) + "\r\nx\r\n", 0},
	"trailer lines":           {headOK + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-A: x\r\n", 0},
	"trailer line":            {headOK + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-A: ", "x", 0},
	"until close":             {headOK + "\r\n", "x", 0},
	"length":                  {headOK + "Content-Length: 9223372036854775807\r\n\r\n", "x", 0},
	"slow status line":        {"HTTP/1.1 200 ", "x", trickle},
	"slow header":             {headOK + "X-A: ", "x", trickle},
	"slow interim answers":    {"", "HTTP/1.1 102 Processing\r\n\r\n", trickle},
	"slow switched protocol":  {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", "x", trickle},
	"slow chunks":             {headOK + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", trickle},
	"slow chunk extension":    {headOK + "Transfer-Encoding: chunked\r\n\r\n1;", "x", trickle},
	"slow trailer":            {headOK + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-A: ", "x", trickle},
	"slow body until close":   {headOK + "\r\n", "x", trickle},
	"slow body with a length": {headOK + "Content-Length: 1000\r\n\r\n", "x", trickle},
}

// maxUnsentTries bounds how often checkEndless tries an exchange whose deadline passed before the request was sent.
const maxUnsentTries = 5

// checkEndless makes one exchange with a server that sends b. The exchange must end in time with an error that leaves
// open whether the request ran, and the connection must be closed. If the machine was too busy to send the request before
// the deadline, which is only accepted if no request has arrived, it tries again with a new server.
func checkEndless(t *testing.T, b endlessBytes, closeDelimited bool) {
	t.Helper()
	for range maxUnsentTries {
		if tryEndless(t, b, closeDelimited) {
			return
		}
	}
	t.Errorf("in %d tries no request was sent within %v", maxUnsentTries, endlessTimeout)
}

// awaitExchange returns the result of an exchange; ended is false if there is none endlessSlack after a timer of this process
// noticed that its deadline has passed.
func awaitExchange(result <-chan error) (ended bool, err error) {
	for _, wait := range []time.Duration{endlessTimeout, endlessSlack} {
		select {
		case err := <-result:
			return true, err
		case <-time.After(wait):
		}
	}
	return false, nil
}

// tryEndless reports whether a request was sent.
func tryEndless(t *testing.T, b endlessBytes, closeDelimited bool) bool {
	t.Helper()
	s := newEndlessServer(t, b)
	transport := NewTransport(Options{MaxConnections: 1, DialTimeout: time.Second, IdleTimeout: time.Minute})
	defer transport.Close()
	call := Call{Method: "POST", Address: s.listener.Addr().String(), Path: "/k", Body: []byte("b"),
		MaxResponseBytes: 256 << 10, AllowCloseDelimited: closeDelimited}
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := transport.Do(ctx, call)
		result <- err
	}()
	ended, err := awaitExchange(result)
	switch {
	case !ended:
		t.Fatalf("the exchange has not ended %v after its deadline", endlessSlack)
	case errors.Is(err, problem.NotSent) && errors.Is(err, context.DeadlineExceeded) && s.requests.Load() == 0:
		return false
	case !errors.Is(err, problem.Unavailable) && !errors.Is(err, problem.TooLarge):
		t.Errorf("error %v, want unavailable or too_large", err)
	}
	select {
	case <-s.closed:
	case <-time.After(closeLimit):
		t.Fatalf("the connection is still open %v after the exchange", closeLimit)
	}
	if r, err := transport.Do(t.Context(), call); err != nil || string(r.Body) != "ok" {
		t.Errorf("next exchange: %q, %v", r.Body, err)
	}
	return true
}

// Guards against an exchange that does not end because the server sends bytes without end that are no answer.
func TestBytesWithoutEndEndTheExchange(t *testing.T) {
	for name, b := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			checkEndless(t, b, true)
			checkEndless(t, b, false)
		})
	}
}

// Guards against a request that fails because it is given a connection on which bytes arrived after the last answer, and
// against such bytes being taken for the answer to it.
func TestBytesAfterAnAnswerDoNotReachTheNextRequest(t *testing.T) {
	const rounds = 200
	for name, after := range map[string]string{"garbage": strings.Repeat("x", 64), "another answer": headOK + "Content-Length: 5\r\n\r\nextra"} {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				s := newRawServer(t, func(_ int, c net.Conn) bool {
					_, err := io.WriteString(c, headOK+"Content-Length: 2\r\n\r\nok"+after)
					return err == nil
				})
				transport := NewTransport(Options{MaxConnections: 2, DialTimeout: time.Second, IdleTimeout: time.Minute})
				defer transport.Close()
				var notSent, lost, crossed atomic.Int64
				var callers sync.WaitGroup
				for range 4 {
					callers.Go(func() {
						for range rounds / 4 {
							r, err := transport.Do(t.Context(), newCall(method, s.address(), []byte("b")))
							switch {
							case errors.Is(err, problem.NotSent):
								notSent.Add(1)
							case err != nil:
								lost.Add(1)
							case string(r.Body) != "ok":
								crossed.Add(1)
							}
						}
					})
				}
				callers.Wait()
				if notSent.Load()+lost.Load()+crossed.Load() > 0 {
					t.Errorf("of %d requests %d were not sent, %d were lost, and %d got other bytes", rounds, notSent.Load(), lost.Load(), crossed.Load())
				}
			})
		}
	}
}

// Guards against a connection that stays open, and is used again, while the server sends bytes without end after a
// complete answer.
func TestBytesWithoutEndAfterAnAnswer(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": trickle} {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				s := newEndlessServer(t, endlessBytes{headOK + "Content-Length: 2\r\n\r\nok", "x", pause})
				transport := newTestTransport(t)
				for range 3 {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					r, err := transport.Do(ctx, newCall(method, s.listener.Addr().String(), nil))
					cancel()
					if err != nil || string(r.Body) != "ok" {
						t.Errorf("body %q, error %v", r.Body, err)
					}
				}
				select {
				case <-s.closed:
				case <-time.After(closeLimit):
					t.Errorf("the connection is still open %v after the exchange", closeLimit)
				}
			})
		}
	}
}
