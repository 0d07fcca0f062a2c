package backendserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/request"
)

// Guards against a refusal that a faulty backend server writes once more, and that is taken for the answer to the next
// request on the connection although the backend server runs that.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + httpwire.HeaderRefused + ": " + httpwire.RefusedOverload + "\r\nContent-Length: 0\r\n\r\n"
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for answer := refusal; ; answer += "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" {
				req, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					break
				}
				if !first {
					answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
				}
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	}()
	client := NewClient(1, 64)
	defer func() { client.Close(); _ = listener.Close(); <-ended }()
	address := listener.Addr().String()
	if a := client.Execute(t.Context(), address, testSlice, 42, testRequest()); a.Outcome != request.NotRun {
		t.Fatalf("the refusal: %+v", a)
	}
	if a := client.Execute(t.Context(), address, testSlice, 42, testRequest()); a.Outcome != request.Done {
		t.Errorf("the next request: %+v", a)
	}
}
