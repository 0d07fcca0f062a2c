package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"heatherreel/internal/problem"
)

// headCloseDelimited is the head of an answer whose body ends with the connection.
const headCloseDelimited = headOK + "Connection: close\r\n\r\n"

// uploadBytes is the size of a body that does not fit into the buffers of a loopback connection, so that its sender is
// still writing when the answer arrives.
const uploadBytes = 32 << 20

// resetAttempts is how often an exchange is repeated: whether the reader or the writer of a connection learns first that it
// was reset is up to the scheduler.
const resetAttempts = 60

// startEarlyAnswers starts a server that reads the head of each request, sends answer without reading the body, and then
// calls end, which ends the connection.
func startEarlyAnswers(t *testing.T, answer string, end func(*net.TCPConn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				end(conn.(*net.TCPConn), reader)
			}()
		}
	}()
	return listener.Addr().String()
}

// reset resets the connection after the answer has arrived.
func reset(conn *net.TCPConn, _ *bufio.Reader) {
	<-time.After(5 * time.Millisecond)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// exchangeUpload sends a request with a long body, as a stream or from memory.
func exchangeUpload(t *testing.T, address string, streamed bool, body []byte) (Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	call := newCall(http.MethodPost, address, body)
	call.AllowCloseDelimited = true
	if streamed {
		call.Body, call.Stream, call.StreamLength = nil, bytes.NewReader(body), int64(len(body))
	}
	return newTestTransport(t).Do(ctx, call)
}

// Guards against a part of an answer that counts as the whole: the answer has no length, and the server resets the connection
// while the request is still being written.
func TestResetDuringUploadEndsNoAnswer(t *testing.T) {
	body := make([]byte, uploadBytes)
	for name, streamed := range map[string]bool{"from memory": false, "as a stream": true} {
		t.Run(name, func(t *testing.T) {
			address := startEarlyAnswers(t, headCloseDelimited+"part of ", reset)
			for n := range resetAttempts {
				r, err := exchangeUpload(t, address, streamed, body)
				if problem.KindOf(err) != problem.Unavailable {
					t.Fatalf("attempt %d: status %d, body %q, error %v; want unavailable", n, r.Status, r.Body, err)
				}
			}
		})
	}
}

// Guards against an answer without a length that is refused although the server has ended it, only because the request was
// not sent completely.
func TestEndDuringUploadEndsAnswer(t *testing.T) {
	body := make([]byte, uploadBytes)
	for name, reads := range map[string]bool{"server reads on": true, "server stops reading": false} {
		for kind, streamed := range map[string]bool{"from memory": false, "as a stream": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				address := startEarlyAnswers(t, headCloseDelimited+"whole answer", func(conn *net.TCPConn, reader *bufio.Reader) {
					// The buffers of the connection fill meanwhile, so that the client is blocked in a write.
					<-time.After(50 * time.Millisecond)
					_ = conn.CloseWrite()
					if reads {
						_, _ = io.Copy(io.Discard, reader)
						return
					}
					<-t.Context().Done()
				})
				for n := range 5 {
					r, err := exchangeUpload(t, address, streamed, body)
					if err != nil || string(r.Body) != "whole answer" {
						t.Fatalf("attempt %d: body %q, error %v", n, r.Body, err)
					}
				}
			})
		}
	}
}

// Guards against a reset that a read takes for the end of the connection, because a write was told of it before.
func TestReadAfterFailedWriteIsNoEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := newWriteTrackingConn(client)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(server, "part"); err != nil {
		t.Fatal(err)
	}
	p := make([]byte, 16)
	if n, err := conn.Read(p); string(p[:n]) != "part" || err != nil {
		t.Fatalf("read %q, error %v", p[:n], err)
	}
	reset(server.(*net.TCPConn), nil)
	for err == nil {
		_, err = conn.Write([]byte("x"))
	}
	for range 2 {
		if n, err := conn.Read(p); n > 0 || err == nil || err == io.EOF {
			t.Errorf("read %q, error %v; want another error than the end", p[:n], err)
		}
	}
}
