package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/internal/settings"
)

// acceptTime is how long a stopping node still accepts requests; see gateway.PrepareStop.
const acceptTime = 2500 * time.Millisecond

// startStopping starts a gateway and its stop. It returns the address for other nodes, when the stop began, and a channel
// that receives a value when the process would have ended.
func startStopping(t *testing.T) (address string, began time.Time, ended <-chan time.Time) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = listener.Addr().String()
	listener.Close()
	const anyPort = "127.0.0.1:0"
	d, err := newGatewayDaemon(settings.Gateway{Instance: "i-1", DataCentre: "west-a", Region: "emea-west", Service: "orders", BackendAddress: "127.0.0.1:1",
		CallersAddress: anyPort, NodesAddress: address, HeartbeatsAddress: anyPort, ReadyAddress: anyPort, MetricsAddress: anyPort,
		StoreAddress: "127.0.0.1:1", MemoryMB: 284, CPUShare: 1, DrainMS: 2000, ShutdownS: 6, RetryRatio: 0.2, RetryWindowS: 10, RetryFloor: 62}, &logBuffer{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stopServing := context.WithCancel(context.Background())
	if err := d.listen(ctx); err != nil {
		t.Fatal(err)
	}
	d.gateway.Start()
	end := make(chan time.Time, 1)
	began = time.Now()
	go func() {
		if !d.drain() {
			t.Error("the node stopped while it ran requests")
		}
		end <- time.Now()
		d.close(stopServing)
		close(end)
	}()
	return address, began, end
}

// Guards against an unknown outcome of a request that was sent before its sender could know that the node stops, and
// that arrives after the node has stopped accepting requests.
func TestRequestOnItsWayToStoppingNodeIsRefused(t *testing.T) {
	address, began, ended := startStopping(t)
	relay, err := fake.NewRelay(address)
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
	dispatch := func(id string) {
		answer, err := client.Dispatch(context.Background(), relay.Address(), routed.Request{ID: id, Service: "orders", Idempotent: true, Deadline: time.Now().Add(2 * time.Second)}, nil)
		results <- result{answer, err}
	}
	<-time.After(time.Until(began.Add(acceptTime - 200*time.Millisecond)))
	// The connection that this request opens is used for the next one.
	dispatch("first")
	if r := <-results; r.err != nil {
		t.Fatal(r.err)
	}
	relay.Silence(true, false)
	go dispatch("second")
	<-time.After(time.Until(began.Add(acceptTime + 300*time.Millisecond)))
	relay.Resume()
	arrived := time.Now()
	if r := <-results; r.err != nil || r.answer.Outcome != request.NotRun || r.answer.Reason != request.Draining {
		t.Errorf("got %v %q, error %v; want a refusal as draining", r.answer.Outcome, r.answer.Reason, r.err)
	}
	// A further request may be on its way behind this one.
	end := <-ended
	if after := end.Sub(arrived); after < lingerTime || after > 2*lingerTime {
		t.Errorf("the node stopped %v after the last request, want about %v", after, lingerTime)
	}
	<-ended
}
