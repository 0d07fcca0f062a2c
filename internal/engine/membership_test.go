package engine

import (
	"context"
	"testing"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/fake"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/request"
	"heatherreel/internal/settings"
	"heatherreel/internal/telemetry"
)

// noopDependencies implements the peers, the lease sender and the backend server of an engine that runs alone. Its
// methods do nothing.
type noopDependencies struct{}

func (noopDependencies) SendLeaseMessage(string, node.LeaseMessage) error { return nil }

func (noopDependencies) Forward(context.Context, string, node.ForwardedRequest) (request.Answer, error) {
	return request.Answer{}, nil
}

func (noopDependencies) Release(context.Context, string, node.ReleaseRequest) (node.ReleaseResult, error) {
	return node.ReleaseResult{}, nil
}

func (noopDependencies) Snapshot(context.Context, string) (node.Snapshot, error) {
	return node.Snapshot{}, nil
}

func (noopDependencies) Execute(context.Context, string, keyspace.SliceID, ledger.Offset, request.Request) request.Answer {
	return request.Answer{}
}

func (noopDependencies) Grant(context.Context, string, backendserver.Grants) error { return nil }

func (noopDependencies) Drain(context.Context, string) error { return nil }

// newUnstartedEngine returns an engine without peers that uses the log. The caller starts it.
func newUnstartedEngine(t *testing.T, log platformlog.Log) *Engine {
	t.Helper()
	timing, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		t.Fatal(err)
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	tracing, err := telemetry.NewTracing(telemetry.OutputNone, 0, telemetry.Identity{})
	if err != nil {
		t.Fatal(err)
	}
	size := settings.PoolSize{Workers: 2, Queue: 16}
	return New(Options{
		Self:    Self{Instance: "i-1", DataCentre: "a", Region: "r"},
		Ingress: size, Owner: size, Lease: size, Ledger: size, Timing: timing,
	}, Dependencies{
		Log: log, Peers: noopDependencies{}, Leases: noopDependencies{}, Backend: noopDependencies{},
		Events: eventlog.Discard(), Metrics: metrics, Tracing: tracing,
	})
}

// countJoinRecords returns the number of join records in the log.
func countJoinRecords(t *testing.T, log *fake.Log) int {
	t.Helper()
	page, err := log.Read(t.Context(), 1, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	joins := 0
	for _, e := range page.Entries {
		if e.Record.Kind == ledger.KindJoin {
			joins++
		}
	}
	return joins
}

// Guards against a node that joins twice at one start, so that no node serves the slices of the first incarnation until
// its witnesses end it. It happened when the membership job ran after the join record was replayed but before the node
// had adopted the incarnation: the job saw neither an open join proposal nor an incarnation, and joined again.
func TestJoinsOnce(t *testing.T) {
	for range 100 {
		log := fake.NewLog()
		_, err := log.Append(t.Context(), &ledger.Record{Kind: ledger.KindConfiguration, ID: "c", Configuration: &ledger.Configuration{
			Document: "regions:\n  r: {data_centres: [a]}\nservices: [s]\ndefaults: {home_regions: any}\n",
		}})
		if err != nil {
			t.Fatal(err)
		}
		e := newUnstartedEngine(t, log)
		e.Start()
		announcement := backendserver.Announcement{
			Address: "127.0.0.1:1", Service: "s", Incarnation: "b", Slots: 1, Connections: 1, Weight: 100,
		}
		for e.Announce(t.Context(), announcement) != nil {
			<-time.After(time.Millisecond)
		}
		for deadline := time.Now().Add(10 * time.Second); e.incarnation() == 0; e.membershipTrigger.Fire() {
			if time.Now().After(deadline) {
				t.Fatal("the engine did not join")
			}
			<-time.After(50 * time.Microsecond)
		}
		// A second join record would follow within the time of one append.
		<-time.After(5 * time.Millisecond)
		joins := countJoinRecords(t, log)
		e.Close()
		if joins != 1 {
			t.Fatalf("%d join records after one start", joins)
		}
	}
}
