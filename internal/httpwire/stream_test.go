package httpwire

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against an exchange that holds its slot until the sender of its body goes on, although the server has closed the
// connection or the time is over.
func TestPausedStreamDoesNotHoldExchange(t *testing.T) {
	for name, c := range map[string]struct {
		closes  bool
		timeout time.Duration
	}{"connection closed": {true, time.Minute}, "deadline": {false, 200 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			paused := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if c.closes {
					go func() {
						<-paused
						conn.Close()
					}()
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
			body, sender := io.Pipe()
			call := newCall(http.MethodPost, listener.Addr().String(), nil)
			call.Stream, call.StreamLength = body, 1<<20
			call.AbortStream = func() { _ = body.Close() }
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			ended := make(chan error, 1)
			transport := newTestTransport(t)
			go func() {
				_, err := transport.Do(ctx, call)
				ended <- err
			}()
			if _, err := sender.Write(make([]byte, 64<<10)); err != nil {
				t.Fatal(err)
			}
			close(paused)
			select {
			case err := <-ended:
				if err == nil {
					t.Error("the exchange succeeded")
				}
			case <-time.After(2 * time.Second):
				t.Error("the exchange goes on for 2 s")
				sender.Close()
				<-ended
			}
		})
	}
}
