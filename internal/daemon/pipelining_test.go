package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heatherreel/internal/heartbeat"
)

// startConfiguredGateway starts a gateway with the configuration and a backend server that sends heartbeats, and waits until
// it is ready. It returns the address for callers.
func startConfiguredGateway(t *testing.T, configuration, backend string) string {
	t.Helper()
	callers := freeAddress(t)
	d, stopServing := startDaemonAt(t, callers, backend, newConfiguredStore(t, configuration))
	t.Cleanup(func() { d.close(stopServing) })
	beat := func(sequence int64) error {
		_, err := d.gateway.Heartbeat(heartbeat.Message{Server: "s", Service: "orders", Address: backend, Slots: 8, StartedUnixMS: 1, Sequence: sequence})
		return err
	}
	if err := beat(1); err != nil {
		t.Fatal(err)
	}
	over, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for sequence := int64(2); ; sequence++ {
			select {
			case <-time.After(800 * time.Millisecond):
				_ = beat(sequence)
			case <-over:
				return
			}
		}
	}()
	t.Cleanup(func() {
		close(over)
		<-ended
	})
	await(t, "the gateway to be ready", d.gateway.Ready)
	return callers
}

// dialCallers opens a connection of a caller.
func dialCallers(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	return conn
}

// Guards against a gateway that sends pipelined requests to its backend server one after the other, or two that are not
// idempotent at the same time, and against limits of the configuration in force that do not reach its server.
func TestGatewayPipelinesIdempotentRequests(t *testing.T) {
	t.Parallel()
	const configuration = `{"version":"r1","routes":{
"read":{"host":"h.example","path_prefix":"/read","route_type":"idempotent","timeout_ms":8000,"service":"orders","max_attempts":1},
"write":{"host":"h.example","path_prefix":"/write","route_type":"non_idempotent","timeout_ms":8000,"service":"orders","max_attempts":1}},
"services":{"orders":{}},"limits":{"max_header_bytes":2000,"max_body_bytes":100}}`
	var reads, writes atomic.Int64
	both := make(chan struct{})
	backend := serveTCP(t, func(l net.Listener) {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if strings.HasPrefix(req.URL.Path, "/read") {
				if reads.Add(1) == 2 {
					close(both)
				}
				select {
				case <-both:
				case <-req.Context().Done():
				}
			} else {
				if writes.Add(1) > 1 {
					t.Error("two requests that are not idempotent run together")
				}
				<-time.After(20 * time.Millisecond)
				writes.Add(-1)
			}
			w.Header().Set("Heatherreel-Request-Id", req.Header.Get("Heatherreel-Request-Id"))
			w.Header().Set("Heatherreel-Response-Signature", "s")
			_, _ = io.WriteString(w, req.URL.Path)
		}))
	})
	address := startConfiguredGateway(t, configuration, backend)
	conn := dialCallers(t, address)
	paths := []string{"/read/1", "/read/2", "/write/3", "/write/4", "/read/5"}
	for i, path := range paths {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nHeatherreel-Request-Id: r%d\r\nHeatherreel-Deadline-Ms: 8000\r\n\r\n", path, i)
	}
	reader := bufio.NewReader(conn)
	for _, path := range paths {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if body, _ := io.ReadAll(response.Body); response.StatusCode != 200 || string(body) != path {
			t.Fatalf("%s: status %d %s, body %q", path, response.StatusCode, response.Header.Get("Heatherreel-Reason"), body)
		}
	}
	for request, status := range map[string]int{
		"GET /read HTTP/1.1\r\nHost: h.example\r\nX-A: " + strings.Repeat("a", 2000) + "\r\n\r\n":             431,
		"POST /write HTTP/1.1\r\nHost: h.example\r\nHeatherreel-Request-Id: x\r\nContent-Length: 101\r\n\r\n": 413,
		"POST /none HTTP/1.1\r\nHost: h.example\r\nHeatherreel-Request-Id: x\r\nContent-Length: 99\r\n\r\n":   404,
	} {
		conn := dialCallers(t, address)
		_, _ = io.WriteString(conn, request)
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != status {
			t.Errorf("%.40q: %+v, %v; want status %d", request, response, err, status)
		}
	}
}
