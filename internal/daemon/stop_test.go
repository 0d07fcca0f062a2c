package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/heartbeat"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/internal/settings"
	"heatherreel/internal/stream"
)

// acceptTime is how long a stopping node still accepts requests; see gateway.PrepareStop.
const acceptTime = 2500 * time.Millisecond

// startDaemon starts a gateway and returns it and what stops its server for other nodes.
func startDaemon(t *testing.T, backendAddress string) (d *gatewayDaemon, stopServing func()) {
	t.Helper()
	return startDaemonAt(t, "127.0.0.1:0", backendAddress, "127.0.0.1:1")
}

// startDaemonAt does the same, with the addresses for callers and of the store.
func startDaemonAt(t *testing.T, callersAddress, backendAddress, storeAddress string) (d *gatewayDaemon, stopServing func()) {
	t.Helper()
	address := freeAddress(t)
	const anyPort = "127.0.0.1:0"
	d, err := newGatewayDaemon(settings.Gateway{Instance: "i-1", DataCentre: "west-a", Region: "emea-west", Service: "orders", BackendAddress: backendAddress,
		CallersAddress: callersAddress, NodesAddress: address, HeartbeatsAddress: anyPort, ReadyAddress: anyPort, MetricsAddress: anyPort,
		StoreAddress: storeAddress, MemoryMB: 284, CPUShare: 1, DrainMS: 2000, ShutdownS: 6, RetryRatio: 0.2, RetryWindowS: 10, RetryFloor: 62, NestedCalls: true, LargeBodies: stream.DefaultLimit}, &logBuffer{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stopServing := context.WithCancel(context.Background())
	if err := d.listen(ctx); err != nil {
		t.Fatal(err)
	}
	d.gateway.Start()
	return d, stopServing
}

// Guards against an unknown outcome of a request that was sent before its sender could know that the node stops, and
// that arrives after the node has stopped accepting requests.
func TestRequestOnItsWayToStoppingNodeIsRefused(t *testing.T) {
	t.Parallel()
	d, stopServing := startDaemon(t, "127.0.0.1:1")
	defer d.close(stopServing)
	ended := make(chan time.Time, 1)
	go func() {
		if !d.drain() {
			t.Error("the node stopped while it ran requests")
		}
		// The process ends.
		ended <- time.Now()
		stopServing()
	}()
	relay, err := fake.NewRelay(d.settings.NodesAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	client := node.NewClient()
	defer client.Close()
	type result struct {
		answer routed.Answer
		err    error
	}
	results := make(chan result, 1)
	dispatch := func(id, address string) (routed.Answer, error) {
		return client.Dispatch(context.Background(), address, routed.Request{ID: id, Service: "orders", Idempotent: true, Deadline: time.Now().Add(2 * acceptTime)}, nil)
	}
	// The connection that this request opens is used for the next one.
	if _, err := dispatch("first", relay.Address()); err != nil {
		t.Fatal(err)
	}
	relay.Silence(true, false)
	go func() {
		answer, err := dispatch("second", relay.Address())
		results <- result{answer, err}
	}()
	// The node refuses requests as stopping from when it has stopped accepting them.
	for refused := false; !refused; {
		<-time.After(20 * time.Millisecond)
		answer, err := dispatch("other", d.settings.NodesAddress)
		if err != nil {
			t.Fatal(err)
		}
		refused = answer.Reason == request.Stopping
	}
	relay.Resume()
	arrived := time.Now()
	if r := <-results; r.err != nil || r.answer.Outcome != request.NotRun || r.answer.Reason != request.Stopping {
		t.Errorf("got %v %q, error %v; want a refusal as stopping", r.answer.Outcome, r.answer.Reason, r.err)
	}
	// A further request may be on its way behind this one.
	end := <-ended
	if after := end.Sub(arrived); after < lingerTime || after > 2*lingerTime {
		t.Errorf("the node stopped %v after the last request, want about %v", after, lingerTime)
	}
}

// runningRequest is a request of another node on which the backend server works.
type runningRequest struct {
	daemon      *gatewayDaemon
	stopServing context.CancelFunc
	// backend is the connection on which the backend server owes the answer.
	backend net.Conn
	answers <-chan dispatchResult
}

type dispatchResult struct {
	answer routed.Answer
	err    error
}

// startRequest starts a gateway and a request with the id "r" that its backend server receives and does not answer.
func startRequest(t *testing.T) runningRequest {
	t.Helper()
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { backend.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := backend.Accept(); err == nil {
			accepted <- conn
		}
	}()
	d, stopServing := startDaemon(t, backend.Addr().String())
	if _, err := d.gateway.Heartbeat(heartbeat.Message{Server: "s", Service: "orders", Address: backend.Addr().String(), Slots: 8, StartedUnixMS: 1, Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	answers := make(chan dispatchResult, 1)
	go func() {
		client := node.NewClient()
		defer client.Close()
		r := routed.Request{ID: "r", Method: "GET", Path: "/", Service: "orders", Deadline: time.Now().Add(20 * time.Second)}
		answer, err := client.Dispatch(context.Background(), d.settings.NodesAddress, r, nil)
		answers <- dispatchResult{answer, err}
	}()
	return runningRequest{daemon: d, stopServing: stopServing, backend: <-accepted, answers: answers}
}

// Guards against a request without an answer because the backend server needs longer for it than a stopping node has.
func TestLongRequestIsAnsweredBeforeStopEnds(t *testing.T) {
	t.Parallel()
	r := startRequest(t)
	defer r.daemon.close(r.stopServing)
	// The exchange ends when the backend server closes the connection.
	defer r.backend.Close()
	began := time.Now()
	if r.daemon.drain() {
		t.Error("the node reports that no request was in progress")
	}
	if took := time.Since(began); took > r.daemon.settings.ShutdownTimeout()-shutdownMargin+100*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
	// The process ends.
	r.stopServing()
	if got := <-r.answers; got.err != nil || got.answer.Outcome != request.Unknown {
		t.Errorf("got %v %q, error %v; want an answer with an unknown outcome", got.answer.Outcome, got.answer.Reason, got.err)
	}
}

// Guards against a stop that ends once no requests arrive any more, although the backend server still works on one.
func TestStopAwaitsRunningRequest(t *testing.T) {
	t.Parallel()
	r := startRequest(t)
	defer r.daemon.close(r.stopServing)
	defer r.backend.Close()
	go func() {
		<-time.After(acceptTime + lingerTime + 500*time.Millisecond)
		_, _ = io.WriteString(r.backend, "HTTP/1.1 200 OK\r\nHeatherreel-Request-Id: r\r\nHeatherreel-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok")
	}()
	if !r.daemon.drain() {
		t.Error("the stop did not await the request")
	}
	// The process ends.
	r.stopServing()
	if got := <-r.answers; got.err != nil || got.answer.Outcome != request.Done || string(got.answer.Body) != "ok" {
		t.Errorf("got %v %q, error %v; want the answer of the backend server", got.answer.Outcome, got.answer.Reason, got.err)
	}
}

// Guards against a stop that takes the whole shutdown time, and ends as if requests had been running, because a caller
// opened a connection and sent nothing on it.
func TestUnusedConnectionDoesNotDelayStop(t *testing.T) {
	t.Parallel()
	address := freeAddress(t)
	d, stopServing := startDaemonAt(t, address, "127.0.0.1:1", "127.0.0.1:1")
	defer d.close(stopServing)
	began := time.Now()
	opened := make(chan net.Conn, 1)
	time.AfterFunc(acceptTime-time.Second, func() {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Error(err)
		}
		opened <- conn
	})
	if !d.drain() {
		t.Error("the stop ended as if requests had been running")
	}
	if took := time.Since(began); took > acceptTime+2*lingerTime {
		t.Errorf("the stop took %v, want at most %v", took, acceptTime+2*lingerTime)
	}
	if conn := <-opened; conn != nil {
		conn.Close()
	}
}

// Guards against a caller whose connection is closed without an answer because its request runs longer than a stopping
// node has.
func TestCallerOfLongRequestIsAnsweredBeforeStopEnds(t *testing.T) {
	t.Parallel()
	checkLongRequestsAtStop(t, 0)
}

// Guards against the same on a busy machine, which takes longer to write the last answers.
func TestLastAnswersAreAwaitedOnBusyMachine(t *testing.T) {
	t.Parallel()
	checkLongRequestsAtStop(t, 2*finalAnswersTime)
}

// checkLongRequestsAtStop stops a node while requests run, each of whose answers is written with a delay.
func checkLongRequestsAtStop(t *testing.T, delay time.Duration) {
	t.Helper()
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := backend.Accept(); err == nil {
			accepted <- conn
		}
	}()
	const configuration = `{"version":"r1","routes":{"a":{"host":"h.example","path_prefix":"/","route_type":"non_idempotent","timeout_ms":20000,
"service":"orders","max_attempts":1}},"services":{"orders":{}}}`
	callers := freeAddress(t)
	d, stopServing := startDaemonAt(t, callers, backend.Addr().String(), newConfiguredStore(t, configuration))
	defer d.close(stopServing)
	handler := d.requestServers.callers.Handler
	d.requestServers.callers.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		handler.ServeHTTP(w, req)
		// The answer is written when the handler returns.
		<-time.After(delay)
	})
	if _, err := d.gateway.Heartbeat(heartbeat.Message{Server: "s", Service: "orders", Address: backend.Addr().String(), Slots: 8, StartedUnixMS: 1, Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); !d.gateway.Ready() && time.Now().Before(deadline); {
		<-time.After(10 * time.Millisecond)
	}
	const requests = 32
	var answered sync.WaitGroup
	for i := range requests {
		answered.Go(func() {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+callers+"/a", strings.NewReader("body"))
			if err != nil {
				t.Error(err)
				return
			}
			req.Host = "h.example"
			req.Header.Set("Heatherreel-Request-Id", "r"+strconv.Itoa(i))
			req.Header.Set("Heatherreel-Deadline-Ms", "20000")
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Do(req)
			if err != nil {
				t.Errorf("request %d: no answer: %v", i, err)
				return
			}
			response.Body.Close()
			if response.StatusCode < 500 {
				t.Errorf("request %d: status %d", i, response.StatusCode)
			}
		})
	}
	conn := <-accepted
	began := time.Now()
	if d.drain() {
		t.Error("the node reports that no request was in progress")
	}
	if took := time.Since(began); took > d.settings.ShutdownTimeout()-shutdownMargin/4 {
		t.Errorf("the stop took %v of %v", took, d.settings.ShutdownTimeout())
	}
	// The process ends.
	d.requestServers.callers.Close()
	answered.Wait()
	// The exchanges end, also those on connections that were not accepted.
	conn.Close()
	backend.Close()
}
