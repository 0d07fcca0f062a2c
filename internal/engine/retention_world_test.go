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

// retentionWorld is a log with nodes that call each other directly. Its methods run in a synctest bubble.
type retentionWorld struct {
	t   *testing.T
	log *fake.Log
	ctx context.Context
	// mu guards nodes, by their drpc address.
	mu    sync.Mutex
	nodes map[string]*retentionNode
}

// retentionNode is a node with its route to the log and to the other nodes.
type retentionNode struct {
	*Engine
	world   *retentionWorld
	address string
	// cutFromLog and cutFromNodes break the routes; readOnly breaks appends.
	cutFromLog, cutFromNodes, readOnly atomic.Bool
}

func newRetentionWorld(t *testing.T) *retentionWorld {
	ctx, cancel := context.WithCancel(context.Background())
	w := &retentionWorld{t: t, log: fake.NewLog(), ctx: ctx, nodes: map[string]*retentionNode{}}
	t.Cleanup(func() {
		cancel()
		for _, n := range w.nodes {
			n.Close()
		}
	})
	return w
}

// start runs a node. A joining one has a backend server that announces itself.
func (w *retentionWorld) start(name string, joins bool, peers ...string) *retentionNode {
	timing, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		w.t.Fatal(err)
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		w.t.Fatal(err)
	}
	tracing, err := telemetry.NewTracing(telemetry.OutputNone, 0, telemetry.Identity{})
	if err != nil {
		w.t.Fatal(err)
	}
	n := &retentionNode{world: w, address: name}
	pool := settings.PoolSize{Workers: 2, Queue: 64}
	n.Engine = New(Options{
		Self: Self{Instance: name, DataCentre: "d", Region: "r", Addresses: ledger.Addresses{
			Nodes: name, Leases: name, Callers: name, Operators: name,
		}},
		Ingress: pool, Owner: pool, Lease: pool, Ledger: pool,
		RequestIDSkew: time.Second, LogRetention: settings.MinLogRetention, PeerAddresses: peers, Timing: timing,
	}, Dependencies{
		Log: retentionRoute{n}, Peers: retentionCalls{n}, Leases: n, Backend: retentionBackend{},
		Events: eventlog.Discard(), Metrics: metrics, Tracing: tracing,
	})
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
	n.Start()
	if joins {
		go n.announce()
	}
	return n
}

// announce is the backend server that announces itself each second.
func (n *retentionNode) announce() {
	a := backendserver.Announcement{Address: "b", Service: "s", Incarnation: "1", Slots: 9, Connections: 9, Weight: 100}
	for sleep(n.world.ctx, time.Second) {
		_ = n.Announce(n.world.ctx, a)
	}
}

// retentionRoute is the route of a node to the log.
type retentionRoute struct{ *retentionNode }

func (n retentionRoute) Append(ctx context.Context, r *ledger.Record) (ledger.Offset, error) {
	if n.cutFromLog.Load() || n.readOnly.Load() {
		return 0, problem.New(problem.NotSent, "", "cut from the log")
	}
	return n.world.log.Append(ctx, r)
}

func (n retentionRoute) Read(
	ctx context.Context, from ledger.Offset, max int, wait time.Duration,
) (platformlog.Page, error) {
	page, err := n.world.log.Read(ctx, from, max, wait)
	if n.cutFromLog.Load() {
		// A long poll that began before the cut delivers nothing either.
		return platformlog.Page{}, problem.New(problem.NotSent, "", "cut from the log")
	}
	return page, err
}

// peer returns the node at the address if both are reachable.
func (n *retentionNode) peer(address string) (*retentionNode, error) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	p := n.world.nodes[address]
	if p == nil || p.cutFromNodes.Load() || n.cutFromNodes.Load() {
		return nil, problem.New(problem.NotSent, "", "cut from the node")
	}
	return p, nil
}

// retentionCalls makes a node the peer of another one under the names of node.Peers, which the engine has too.
type retentionCalls struct{ *retentionNode }

func (c retentionCalls) Forward(ctx context.Context, address string, f node.Forwarded) (request.Answer, error) {
	p, err := c.peer(address)
	if err != nil {
		return request.Answer{}, err
	}
	return p.Engine.Forward(ctx, f), nil
}

func (c retentionCalls) Release(
	ctx context.Context, address string, r node.ReleaseRequest,
) (node.ReleaseResult, error) {
	p, err := c.peer(address)
	if err != nil {
		return node.ReleaseResult{}, err
	}
	return p.Engine.Release(ctx, r)
}

func (c retentionCalls) Snapshot(ctx context.Context, address string) (node.Snapshot, error) {
	p, err := c.peer(address)
	if err != nil {
		return node.Snapshot{}, err
	}
	return p.Engine.Snapshot(ctx)
}

// SendLease implements node.LeaseSender.
func (n *retentionNode) SendLease(address string, m node.LeaseMessage) error {
	p, err := n.peer(address)
	if err == nil {
		p.LeaseMessage(m)
	}
	return err
}

// retentionBackend is a backend server that runs everything.
type retentionBackend struct{}

func (retentionBackend) Execute(
	context.Context, string, keyspace.SliceID, ledger.Offset, request.Request,
) request.Answer {
	return request.Answer{Outcome: request.Done, Status: 200}
}
func (retentionBackend) Grant(context.Context, string, backendserver.Grants) error { return nil }
func (retentionBackend) Drain(context.Context, string) error                       { return nil }

// publish appends a configuration on a base and returns its revision.
func (w *retentionWorld) publish(id string, base ledger.Offset) ledger.Offset {
	offset, err := w.log.Append(w.ctx, &ledger.Record{Kind: ledger.KindConfiguration, ID: id,
		Configuration: &ledger.Configuration{Base: base, Document: retentionDocument}})
	if err != nil {
		w.t.Fatal(err)
	}
	return offset
}

// pass lets virtual time pass, with a log that forgets records after the retention time if forgets is set.
func (w *retentionWorld) pass(d time.Duration, forgets bool) {
	const step = 10 * time.Second
	var lengths []int
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		lengths = append(lengths, w.log.Len())
		if old := len(lengths) - int(settings.MinLogRetention/step); forgets && old > 0 {
			w.log.Forget(ledger.Offset(lengths[old-1] + 1))
		}
	}
	synctest.Wait()
}

// forgetAll drops all records, as a retention time that passed in an idle log does.
func (w *retentionWorld) forgetAll() { w.log.Forget(ledger.Offset(w.log.Len() + 1)) }

// checkpoints returns the number of checkpoint records.
func (w *retentionWorld) checkpoints() int {
	n := 0
	for _, data := range w.log.Bytes() {
		if r, err := platformlog.Decode(data); err == nil && r.Kind == ledger.KindCheckpoint {
			n++
		}
	}
	return n
}

// wantWholeState fails unless the node has the state of a reader of all records ever appended.
func (w *retentionWorld) wantWholeState(n *retentionNode) {
	w.t.Helper()
	whole := ledger.NewState()
	for i, data := range w.log.Bytes() {
		r, err := platformlog.Decode(data)
		if err != nil {
			whole.Skip(ledger.Offset(i + 1))
			continue
		}
		whole.Apply(ledger.Offset(i+1), r)
	}
	want, _ := json.Marshal(whole)
	got, _ := n.Snapshot(w.ctx)
	if !bytes.Equal(got.State, want) {
		w.t.Fatalf("node %s has\n%s\na reader of all records has\n%s", n.address, got.State, want)
	}
}
