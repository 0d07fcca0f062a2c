package pipeline

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherreel/internal/intake"
)

// echoHandler answers with the path and the body after a random moment. Paths with "get" are idempotent.
type echoHandler struct{}

func (echoHandler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := w.(interface{ ReadBody(int64) ([]byte, error) }).ReadBody(1 << 20)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(time.Duration(rand.IntN(2000)) * time.Microsecond):
	case <-req.Context().Done():
	}
	_, _ = io.WriteString(w, req.URL.Path+" ")
	_, _ = w.Write(body)
}

func (echoHandler) Classify(req *http.Request) Class {
	return Class{Idempotent: strings.Contains(req.URL.Path, "get")}
}

// randomRequest returns a request and the body of its answer.
func randomRequest(i int) (request, answer string) {
	method, path := "GET", fmt.Sprintf("/get/%d", i)
	if rand.IntN(4) == 0 {
		method, path = "POST", fmt.Sprintf("/post/%d", i)
	}
	head := method + " " + path + " HTTP/1.1\r\nHost: h\r\n"
	if rand.IntN(20) == 0 {
		head += strings.Repeat("X-A: "+strings.Repeat("a", 500)+"\r\n", 20)
	}
	body := strings.Repeat("b", rand.IntN(50))
	if rand.IntN(10) == 0 {
		body = strings.Repeat("B", rand.IntN(100_000))
	}
	switch rand.IntN(3) {
	case 0:
		return head + "\r\n", path + " "
	case 1:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), path + " " + body
	}
	head += "Transfer-Encoding: chunked\r\n\r\n"
	for rest := body; len(rest) > 0; {
		n := 1 + rand.IntN(len(rest))
		head += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return head + "0\r\n\r\n", path + " " + body
}

// Guards against answers that are lost, mixed up or out of order, with heads and bodies of all forms that are split at any
// byte.
func TestRandomPipelinesAreAnswered(t *testing.T) {
	address := startServer(t, &Server{Handler: echoHandler{}, Classifier: echoHandler{}, Depth: 4,
		Governor: NewGovernor(intake.Sizes{MemoryMB: 184}.Limits(), nil)})
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			c := dial(t, address)
			var data strings.Builder
			var answers []string
			for i := range 100 {
				request, answer := randomRequest(i)
				data.WriteString(request)
				answers = append(answers, answer)
			}
			go func() {
				for rest := data.String(); len(rest) > 0; {
					n := min(len(rest), 1+rand.IntN(20_000))
					if rand.IntN(2) == 0 {
						n = min(n, 1+rand.IntN(20))
					}
					if _, err := io.WriteString(c, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}()
			for _, answer := range answers {
				response, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					t.Errorf("no answer for %.20q: %v", answer, err)
					return
				}
				body, err := io.ReadAll(response.Body)
				if err != nil || response.StatusCode != 200 || string(body) != answer {
					t.Errorf("got %d %.20q of %d bytes, %v; want %.20q of %d bytes", response.StatusCode, body, len(body), err, answer, len(answer))
					return
				}
			}
		})
	}
	clients.Wait()
}

// Guards against connections that hang, memory that stays accounted for, and ordinary callers that are kept out, while
// clients end, stall, or stop reading at any point and connections are given up for each other.
func TestRandomMisbehaviorLeavesNothingBehind(t *testing.T) {
	limits := intake.Sizes{MemoryMB: 184, RequestMemoryMB: 1, Connections: 24, ConnectionsPerClient: 24}.Limits()
	governor := NewGovernor(limits, nil)
	connection := DefaultLimits()
	connection.HeaderTimeout, connection.WriteTimeout = 500*time.Millisecond, 500*time.Millisecond
	s := &Server{Handler: echoHandler{}, Classifier: echoHandler{}, Depth: 4, Governor: governor, Limits: func() Limits { return connection }}
	address := startServer(t, s)
	var clients sync.WaitGroup
	end := time.Now().Add(2 * time.Second)
	for range 40 {
		clients.Go(func() {
			for time.Now().Before(end) {
				misbehave(t, address)
			}
		})
	}
	clients.Wait()
	c := dial(t, address)
	c.send(t, "GET /get/last")
	c.expect(t, 200, "/get/last ", false)
	c.Close()
	awaitCondition(t, "all accounts to be closed", func() bool { used, conns := governor.Used(); return used == 0 && conns == 0 })
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}

// misbehave opens a connection, sends a part of some requests, and reads a part of the answers.
func misbehave(t *testing.T, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	var data strings.Builder
	for i := range rand.IntN(30) {
		request, _ := randomRequest(i)
		data.WriteString(request)
	}
	sent := data.String()
	if len(sent) > 0 && rand.IntN(2) == 0 {
		sent = sent[:rand.IntN(len(sent))]
	}
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		if rand.IntN(2) == 0 {
			_, _ = io.CopyN(io.Discard, conn, rand.Int64N(500_000))
		}
	}()
	_, _ = io.WriteString(conn, sent)
	if rand.IntN(3) == 0 {
		<-time.After(time.Duration(rand.IntN(400)) * time.Millisecond)
	}
	if rand.IntN(3) == 0 {
		conn.Close()
	}
	<-reading
}
