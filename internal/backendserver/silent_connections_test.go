package backendserver_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/fake"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// pooledConnections is the number of idle connections to the backend server that stop passing data at the same time.
const pooledConnections = 8

// silentRequestTimeout is short to keep the test short; the code under test does not depend on its length.
const silentRequestTimeout = 200 * time.Millisecond

// execute sends one request and returns the answer and how long it took.
func execute(t *testing.T, client *backendserver.Client, address string, timeout time.Duration) (request.Answer, time.Duration) {
	started := time.Now()
	r := request.Request{Key: "k", Method: http.MethodPost, Body: []byte("b"), Deadline: started.Add(timeout)}
	slice := keyspace.SliceID{Group: keyspace.Group{Service: "s", Home: "north"}}
	return client.Execute(t.Context(), address, slice, 1, r), time.Since(started)
}

// Guards against three faults when all idle connections stop passing data without a reset: a request that waits past
// its deadline, a request reported as not run although it may have run, and further requests that fail because the
// other dead connections stayed in the pool.
func TestSilentConnectionsFailOneRequest(t *testing.T) {
	allArrived := make(chan struct{})
	var arrived sync.WaitGroup
	arrived.Add(pooledConnections)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-allArrived:
		default:
			arrived.Done()
			<-allArrived
		}
		w.Write([]byte("answer"))
	}))
	defer server.Close()
	relay, err := fake.NewRelay(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	client := backendserver.NewClient(pooledConnections, 64)
	defer client.Close()
	var calls sync.WaitGroup
	for range pooledConnections {
		calls.Go(func() { execute(t, client, relay.Address(), 5*time.Second) })
	}
	arrived.Wait()
	close(allArrived)
	calls.Wait()

	relay.Silence(true, true)
	failures := 0
	for range pooledConnections + 2 {
		answer, took := execute(t, client, relay.Address(), silentRequestTimeout)
		if answer.Outcome == request.Done {
			continue
		}
		failures++
		if answer.Outcome != request.Unknown || took > 2*silentRequestTimeout {
			t.Fatalf("outcome %v after %v, want unknown at the deadline of %v", answer.Outcome, took, silentRequestTimeout)
		}
	}
	t.Logf("%d requests in a row failed", failures)
	if failures > 1 {
		t.Errorf("%d requests in a row failed, want at most 1", failures)
	}
}
