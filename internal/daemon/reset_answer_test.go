package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// resetAnswers answers each request before it reads the body, with the begin of an answer without a length, and then resets the
// connection.
func resetAnswers(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHeatherreel-Request-Id: %s\r\nHeatherreel-Response-Signature: s\r\nConnection: close\r\n\r\npart of ",
				req.Header.Get("Heatherreel-Request-Id"))
			// The part arrives before the reset, which may discard what is still on its way.
			<-time.After(5 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}()
	}
}

// Guards against a part of an answer that reaches the caller as the whole, because the backend server reset the connection
// while the body of the request was still being written, as a whole or as a stream.
func TestResetDuringUploadReachesNoCaller(t *testing.T) {
	t.Parallel()
	address := startConfiguredGateway(t, largeBodyConfiguration, serveTCP(t, resetAnswers))
	for name, size := range map[string]int64{"kept": 7 * mebibyte, "streamed": 12 * mebibyte} {
		t.Run(name, func(t *testing.T) {
			for n := range 25 {
				conn := dialCallers(t, address)
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					_, _ = io.Copy(conn, largeRequest(fmt.Sprintf("%s-%d", name, n), "/", size, size))
				}()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatalf("request %d: %v", n, err)
				}
				if resp.StatusCode != http.StatusBadGateway {
					body, _ := io.ReadAll(resp.Body)
					t.Fatalf("request %d: status %d (%s), body %q, want 502", n, resp.StatusCode, resp.Header.Get("Heatherreel-Reason"), body)
				}
				conn.Close()
				<-sent
			}
		})
	}
}
