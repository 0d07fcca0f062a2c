package daemon

import (
	"testing"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Guards against gateways that no longer pack the heads of requests to one another, because the client or the server of nodes
// is made without a table.
func TestGatewaysPackHeads(t *testing.T) {
	t.Parallel()
	d, stopServing := startDaemon(t, "127.0.0.1:1")
	defer d.close(stopServing)
	relay, err := fake.NewRelay(d.settings.NodesAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	header := []routed.Field{{Name: "Heatherreel-Request-Id", Value: "r"}, {Name: "Accept-Encoding", Value: "identity"}, {Name: "Heatherreel-Shard-Key", Value: "52174"}}
	var sizes [2]int
	for i := range sizes {
		before, _ := relay.Traffic()
		r := routed.Request{ID: "r", Method: "GET", Host: "orders.example", Path: "/", Header: header, Keyed: true, Key: 52174, Service: "orders", Deadline: time.Now().Add(5 * time.Second)}
		answer, err := d.peers.Dispatch(t.Context(), relay.Address(), r, nil)
		if err != nil || answer.Outcome != request.NotRun {
			t.Fatalf("request %d: %+v, error %v; want a refusal, as there is no backend server", i, answer, err)
		}
		after, _ := relay.Traffic()
		sizes[i] = after.Bytes - before.Bytes
	}
	if sizes[1] > sizes[0]/2 {
		t.Errorf("requests take %d bytes, want the second one to take at most half", sizes)
	}
}
