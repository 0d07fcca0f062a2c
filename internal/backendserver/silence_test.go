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

// pooledCount is the number of idle connections to the backend server that go silent together.
const pooledCount = 8

// silentDeadline is short to keep the test short; nothing on the way to the backend server depends on its length.
const silentDeadline = 200 * time.Millisecond

// execute sends one request through the relay.
func execute(t *testing.T, client *backendserver.Client, address string, deadline time.Duration) (request.Answer, time.Duration) {
	started := time.Now()
	r := request.Request{Key: "k", Method: http.MethodPost, Body: []byte("b"), Deadline: started.Add(deadline)}
	slice := keyspace.SliceID{Group: keyspace.Group{Service: "s", Home: "north"}}
	return client.Execute(t.Context(), address, slice, 1, r), time.Since(started)
}

// Guards against a request that waits past its deadline on a silent connection, is called not run although it may have
// run, or leaves the other silent connections to the requests after it.
func TestSilentConnectionsHitOneRequest(t *testing.T) {
	full := make(chan struct{})
	var arrived sync.WaitGroup
	arrived.Add(pooledCount)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-full:
		default:
			arrived.Done()
			<-full
		}
		w.Write([]byte("answer"))
	}))
	defer server.Close()
	relay, err := fake.NewRelay(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	client := backendserver.NewClient(pooledCount, 64)
	defer client.Close()
	var calls sync.WaitGroup
	for range pooledCount {
		calls.Go(func() { execute(t, client, relay.Address(), 5*time.Second) })
	}
	arrived.Wait()
	close(full)
	calls.Wait()

	relay.Silence(true, true)
	hits := 0
	for range pooledCount + 2 {
		answer, took := execute(t, client, relay.Address(), silentDeadline)
		if answer.Outcome == request.Done {
			continue
		}
		hits++
		if answer.Outcome != request.Unknown || took > 2*silentDeadline {
			t.Fatalf("outcome %v after %v, want unknown at the deadline of %v", answer.Outcome, took, silentDeadline)
		}
	}
	t.Logf("%d requests in a row were hit", hits)
	if hits > 1 {
		t.Errorf("%d requests in a row were hit, want 1", hits)
	}
}
