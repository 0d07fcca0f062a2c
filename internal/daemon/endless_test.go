package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherreel/internal/heartbeat"
	"heatherreel/platform/store/storetest"
)

// newConfiguredStore starts a store whose only record is the configuration, and returns its address.
func newConfiguredStore(t *testing.T, configuration string) string {
	t.Helper()
	return storetest.Start(t, configuration)
}

// newEndlessBackend starts a backend server that answers each request with begin and then repeat again and again, with a
// pause between them. In begin and repeat, ID stands for the id of the request. received reports whether a request with the
// id has arrived.
func newEndlessBackend(t *testing.T, begin, repeat string, pause time.Duration) (address string, received func(id string) bool) {
	t.Helper()
	var ids sync.Map
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
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				id := request.Header.Get("Heatherreel-Request-Id")
				ids.Store(id, true)
				_, err = io.WriteString(conn, strings.ReplaceAll(begin, "ID", id))
				for err == nil {
					_, err = io.WriteString(conn, repeat)
					<-time.After(pause)
				}
			}()
		}
	}()
	return listener.Addr().String(), func(id string) bool {
		_, found := ids.Load(id)
		return found
	}
}

// Guards against a caller that gets no answer, a late one or one that looks complete, because its backend server sends
// bytes without end.
func TestCallerIsAnsweredWhenBackendServerSendsWithoutEnd(t *testing.T) {
	t.Parallel()
	const configuration = `{"version":"r1","routes":{"a":{"host":"h.example","path_prefix":"/","route_type":"non_idempotent","timeout_ms":1000,
"service":"orders","max_attempts":1}},"services":{"orders":{}}}`
	// A request must be answered half a second after the timeout of its route.
	const limit = 1500 * time.Millisecond
	const head = "HTTP/1.1 200 OK\r\nHeatherreel-Request-Id: ID\r\nHeatherreel-Response-Signature: s\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	const trickle = 50 * time.Millisecond
	// maxUnsent is how many requests of a case may be refused because they could not be sent.
	const maxUnsent = 5
	flood := strings.Repeat("x", 16<<10)
	for name, c := range map[string]struct {
		begin, repeat string
		pause         time.Duration
		statuses      []int
		body          string
	}{
		"no protocol":           {"", flood, 0, []int{502}, ""},
		"header line":           {head + "X-A: ", flood, 0, []int{502}, ""},
		"header lines":          {head, strings.Repeat("X-A: x\r\n", 2000), 0, []int{502}, ""},
		"interim answers":       {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 500), 0, []int{502}, ""},
		"other protocol":        {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", flood, 0, []int{502}, ""},
		"body until close":      {head + "\r\n", flood, 0, []int{502, 504}, ""},
		"chunks":                {head + chunked, "4000\r\n" + flood + "\r\n", 0, []int{502, 504}, ""},
		"chunk extension":       {head + chunked + "1;", flood, 0, []int{502}, ""},
		"trailer":               {head + chunked + "1\r\nx\r\n0\r\nX-A: ", flood, 0, []int{502}, ""},
		"another request":       {strings.Replace(head, "ID", "other", 1) + "\r\n", flood, 0, []int{502}, ""},
		"after an answer":       {head + "Content-Length: 2\r\n\r\nok", flood, 0, []int{200}, "ok"},
		"slow header":           {head + "X-A: ", "x", trickle, []int{504}, ""},
		"slow interim answers":  {"", "HTTP/1.1 102 Processing\r\n\r\n", trickle, []int{504}, ""},
		"slow body until close": {head + "\r\n", "x", trickle, []int{504}, ""},
		"slow chunks":           {head + chunked, "1\r\nx\r\n", trickle, []int{504}, ""},
		"slow trailer":          {head + chunked + "1\r\nx\r\n0\r\nX-A: ", "x", trickle, []int{502, 504}, ""},
		"slow, another request": {strings.Replace(head, "ID", "other", 1) + "\r\n", "x", trickle, []int{502}, ""},
		"slow, after an answer": {head + "Content-Length: 2\r\n\r\nok", "x", trickle, []int{200}, "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			backend, received := newEndlessBackend(t, c.begin, c.repeat, c.pause)
			callers := freeAddress(t)
			d, stopServing := startDaemonAt(t, callers, backend, newConfiguredStore(t, configuration))
			defer d.close(stopServing)
			if _, err := d.gateway.Heartbeat(heartbeat.Message{Server: "s", Service: "orders", Address: backend, Slots: 8, StartedUnixMS: 1, Sequence: 1}); err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(10 * time.Second); !d.gateway.Ready() && time.Now().Before(deadline); {
				<-time.After(10 * time.Millisecond)
			}
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i, unsent := 0, 0; i < 2; i++ {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+callers+"/a", strings.NewReader("body"))
				if err != nil {
					t.Fatal(err)
				}
				req.Host = "h.example"
				req.Header.Set("Heatherreel-Request-Id", "r"+strconv.Itoa(i))
				began := time.Now()
				response, err := client.Do(req)
				if err != nil {
					t.Fatalf("request %d: no answer: %v", i, err)
				}
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				if response.StatusCode == http.StatusServiceUnavailable && !received("r"+strconv.Itoa(i)) && unsent < maxUnsent {
					// The machine was too busy to open a connection within the time for that. The refusal is true.
					i, unsent = i-1, unsent+1
					continue
				}
				known := false
				for _, status := range c.statuses {
					known = known || response.StatusCode == status
				}
				if took := time.Since(began); !known || string(body) != c.body || err != nil || took > limit {
					t.Errorf("request %d: status %d (%s), body of %d bytes, error %v after %v; want %v within %v", i, response.StatusCode,
						response.Header.Get("Heatherreel-Reason"), len(body), err, took, c.statuses, limit)
				}
			}
		})
	}
}
