package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/fake"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
	"heatherreel/internal/settings"
	"heatherreel/internal/telemetry"
)

const retentionDocument = "regions: {r: {data_centres: [d]}}\nservices: [s]\n" +
	"defaults: {home_regions: any, slices: 8, checks_grants: true}\n"

// retentionFleet is a log with nodes that call each other directly. Its methods run in a synctest bubble.
type retentionFleet struct {
	t   *testing.T
	log *fake.Log
	ctx context.Context
	// mu guards nodes. Their keys are the addresses for calls between nodes.
	mu    sync.Mutex
	nodes map[string]*retentionNode
}

// retentionNode is a node with its connections to the log and to the other nodes.
type retentionNode struct {
	*Engine
	fleet   *retentionFleet
	address string
	// cutFromLog and cutFromPeers break these connections; logReadOnly breaks only appends.
	cutFromLog, cutFromPeers, logReadOnly atomic.Bool
}

func newRetentionFleet(t *testing.T) *retentionFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &retentionFleet{t: t, log: fake.NewLog(), ctx: ctx, nodes: map[string]*retentionNode{}}
	t.Cleanup(func() {
		cancel()
		for _, n := range f.nodes {
			n.Close()
		}
	})
	return f
}

// start starts a node. If joins is set, it has a backend server that announces itself, so that the node joins.
func (f *retentionFleet) start(name string, joins bool, peers ...string) *retentionNode {
	timing, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		f.t.Fatal(err)
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		f.t.Fatal(err)
	}
	tracing, err := telemetry.NewTracing(telemetry.OutputNone, 0, telemetry.Identity{})
	if err != nil {
		f.t.Fatal(err)
	}
	n := &retentionNode{fleet: f, address: name}
	pool := settings.PoolSize{Workers: 2, Queue: 64}
	n.Engine = New(Options{
		Self: Self{Instance: name, DataCentre: "d", Region: "r", Addresses: ledger.Addresses{
			Nodes: name, Leases: name, Callers: name, Operators: name,
		}},
		Ingress: pool, Owner: pool, Lease: pool, Ledger: pool,
		RequestIDSkew: time.Second, LogRetention: settings.MinLogRetention, PeerAddresses: peers, Timing: timing,
	}, Dependencies{
		Log: retentionLog{n}, Peers: retentionPeers{n}, Leases: n, Backend: retentionBackend{},
		Events: eventlog.Discard(), Metrics: metrics, Tracing: tracing,
	})
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	n.Start()
	if joins {
		go n.announce()
	}
	return n
}

// announce announces a backend server every second.
func (n *retentionNode) announce() {
	a := backendserver.Announcement{Address: "b", Service: "s", Incarnation: "1", Slots: 9, Connections: 9, Weight: 100}
	for sleep(n.fleet.ctx, time.Second) {
		_ = n.Announce(n.fleet.ctx, a)
	}
}

// retentionLog is the connection of a node to the log.
type retentionLog struct{ *retentionNode }

func (n retentionLog) Append(ctx context.Context, r *ledger.Record) (ledger.Offset, error) {
	if n.cutFromLog.Load() || n.logReadOnly.Load() {
		return 0, problem.New(problem.NotSent, "", "cut from the log")
	}
	return n.fleet.log.Append(ctx, r)
}

func (n retentionLog) Read(
	ctx context.Context, from ledger.Offset, max int, wait time.Duration,
) (platformlog.Page, error) {
	page, err := n.fleet.log.Read(ctx, from, max, wait)
	if n.cutFromLog.Load() {
		// A long poll that began before the cut returns no records either.
		return platformlog.Page{}, problem.New(problem.NotSent, "", "cut from the log")
	}
	return page, err
}

// peer returns the node at the address, unless one of the two nodes is cut off.
func (n *retentionNode) peer(address string) (*retentionNode, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	p := n.fleet.nodes[address]
	if p == nil || p.cutFromPeers.Load() || n.cutFromPeers.Load() {
		return nil, problem.New(problem.NotSent, "", "cut from the node")
	}
	return p, nil
}

// retentionPeers implements node.Peers for a node. It is a separate type because the embedded engine has methods of the
// same names.
type retentionPeers struct{ *retentionNode }

func (c retentionPeers) Forward(ctx context.Context, address string, f node.ForwardedRequest) (request.Answer, error) {
	p, err := c.peer(address)
	if err != nil {
		return request.Answer{}, err
	}
	return p.Engine.Forward(ctx, f), nil
}

func (c retentionPeers) Release(
	ctx context.Context, address string, r node.ReleaseRequest,
) (node.ReleaseResult, error) {
	p, err := c.peer(address)
	if err != nil {
		return node.ReleaseResult{}, err
	}
	return p.Engine.Release(ctx, r)
}

func (c retentionPeers) Snapshot(ctx context.Context, address string) (node.Snapshot, error) {
	p, err := c.peer(address)
	if err != nil {
		return node.Snapshot{}, err
	}
	return p.Engine.Snapshot(ctx)
}

// SendLeaseMessage implements node.LeaseSender.
func (n *retentionNode) SendLeaseMessage(address string, m node.LeaseMessage) error {
	p, err := n.peer(address)
	if err == nil {
		p.LeaseMessage(m)
	}
	return err
}

// retentionBackend is a backend server that accepts all requests and grants.
type retentionBackend struct{}

func (retentionBackend) Execute(
	context.Context, string, keyspace.SliceID, ledger.Offset, request.Request,
) request.Answer {
	return request.Answer{Outcome: request.Done, Status: 200}
}
func (retentionBackend) Grant(context.Context, string, backendserver.Grants) error { return nil }
func (retentionBackend) Drain(context.Context, string) error                       { return nil }

// publish appends a configuration with the given base and returns its revision.
func (f *retentionFleet) publish(id string, base ledger.Offset) ledger.Offset {
	offset, err := f.log.Append(f.ctx, &ledger.Record{Kind: ledger.KindConfiguration, ID: id,
		Configuration: &ledger.Configuration{Base: base, Document: retentionDocument}})
	if err != nil {
		f.t.Fatal(err)
	}
	return offset
}

// advance advances the virtual time. If dropOldRecords is set, the log drops records that are older than its retention
// time.
func (f *retentionFleet) advance(d time.Duration, dropOldRecords bool) {
	const step = 10 * time.Second
	var lengths []int
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		lengths = append(lengths, f.log.Len())
		if old := len(lengths) - int(settings.MinLogRetention/step); dropOldRecords && old > 0 {
			f.log.ApplyRetention(ledger.Offset(lengths[old-1] + 1))
		}
	}
	synctest.Wait()
}

// dropAllRecords drops all records of the log, as happens when the log is idle for its retention time.
func (f *retentionFleet) dropAllRecords() { f.log.ApplyRetention(ledger.Offset(f.log.Len() + 1)) }

// countCheckpoints returns the number of checkpoint records ever appended.
func (f *retentionFleet) countCheckpoints() int {
	n := 0
	for _, data := range f.log.EncodedRecords() {
		if r, err := platformlog.Decode(data); err == nil && r.Kind == ledger.KindCheckpoint {
			n++
		}
	}
	return n
}

// requireFullState fails the test unless the node has the state that results from all records ever appended.
func (f *retentionFleet) requireFullState(n *retentionNode) {
	f.t.Helper()
	fullState := ledger.NewState()
	for i, data := range f.log.EncodedRecords() {
		r, err := platformlog.Decode(data)
		if err != nil {
			fullState.Skip(ledger.Offset(i + 1))
			continue
		}
		fullState.Apply(ledger.Offset(i+1), r)
	}
	want, _ := json.Marshal(fullState)
	got, _ := n.Snapshot(f.ctx)
	if !bytes.Equal(got.State, want) {
		f.t.Fatalf("node %s has the state\n%s\nwant that of all records\n%s", n.address, got.State, want)
	}
}
