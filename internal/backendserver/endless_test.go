package backendserver

import (
	"io"
	"net/http"
	"testing"
	"time"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/request"
)

// Guards against an exchange that lasts until its deadline because a backend server sends bytes without end that their
// head proves to be the answer to another request, and against one that lasts longer.
func TestAnswerWithoutEndEndsTheExchange(t *testing.T) {
	const timeout = time.Second
	for name, c := range map[string]struct {
		head   string
		within time.Duration
		reason request.Reason
	}{
		"another id": {"HTTP/1.1 200 OK\r\n" + httpwire.HeaderRequestID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n",
			300 * time.Millisecond, request.ConnectionLost},
		"this id": {"HTTP/1.1 200 OK\r\n" + httpwire.HeaderRequestID + ": " + testRequest().ID + "\r\nTransfer-Encoding: chunked\r\n\r\n",
			timeout + 200*time.Millisecond, request.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			client, address := startBackend(t, func(w http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				go func() {
					_, _ = io.Copy(io.Discard, conn)
					close(closed)
				}()
				_, err = io.WriteString(conn, c.head)
				for err == nil {
					_, err = io.WriteString(conn, "1\r\nx\r\n")
					<-time.After(100 * time.Millisecond)
				}
			})
			started := time.Now()
			r := testRequest()
			r.Deadline = started.Add(timeout)
			a := client.Execute(t.Context(), address, testSlice, 1, r)
			if took := time.Since(started); a.Outcome != request.Unknown || a.Reason != c.reason || took > c.within {
				t.Errorf("%v %q after %v, want unknown %q within %v", a.Outcome, a.Reason, took, c.reason, c.within)
			}
			select {
			case <-closed:
			case <-time.After(500 * time.Millisecond):
				t.Error("the connection is still open")
			}
		})
	}
}
