package engine

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/fake"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/operator"
	"heatherreel/internal/problem"
	"heatherreel/internal/scenario"
	"heatherreel/internal/settings"
	"heatherreel/internal/telemetry"
)

// fleet is a scenario.Environment of complete engines that are connected through an in-memory network. It runs in a
// synctest bubble.
//
// mu guards nodes and loads.
type fleet struct {
	t       *testing.T
	network *fake.Network
	log     *fake.Log
	metrics *telemetry.Metrics
	tracing *telemetry.Tracing
	// storeByService holds the store that the backend servers of each service share.
	storeByService map[string]*fake.BackendStore
	// serviceTime is how long a backend server takes for one request.
	serviceTime time.Duration
	events      *eventBuffer
	// wrapBackend, if set, wraps the connection to a backend server so that a test can observe it.
	wrapBackend func(*fleetNode, Backend) Backend

	mu                sync.Mutex
	nodes             map[string]*fleetNode
	startOrder        []string
	loads             map[string]*loadGenerator
	publishedDocument []byte
	// homeRegionsChanged is set once a published document has changed home regions.
	homeRegionsChanged bool
	// goroutines are those that announce backend servers and close engines.
	goroutines sync.WaitGroup
}

var _ scenario.Environment = (*fleet)(nil)

// fleetNode is one node with its backend server.
type fleetNode struct {
	scenario.Node
	host    *fake.Host
	engine  *Engine
	backend *fake.BackendServer
	// silent is set while the backend server does not announce itself.
	silent         bool
	stopAnnouncing context.CancelFunc
}

// regionByDataCentre contains the data centres of the first deployment.
var regionByDataCentre = map[string]string{
	"west-a": "emea-west", "west-b": "emea-west", "central-a": "emea-central", "central-b": "emea-central",
}

// eventBuffer collects the events of all nodes for assertions and failure reports.
type eventBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *eventBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *eventBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// newFleet returns a fleet without nodes that is closed at the end of the test.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	tracing, err := telemetry.NewTracing(telemetry.OutputNone, 0, telemetry.Identity{})
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		t: t, network: fake.NewNetwork(fake.FirstDeploymentLatencies, "emea-west"), log: fake.NewLog(),
		metrics: metrics, tracing: tracing, storeByService: map[string]*fake.BackendStore{}, events: &eventBuffer{},
		nodes: map[string]*fleetNode{}, loads: map[string]*loadGenerator{}, serviceTime: 2 * time.Millisecond,
	}
	t.Cleanup(f.close)
	return f
}

// close stops all loads and kills all nodes.
func (f *fleet) close() {
	if f.t.Failed() {
		f.t.Logf("events:\n%s", f.events.String())
	}
	for _, l := range f.loads {
		l.stop()
	}
	f.log.SetFaults(fake.LogFaults{})
	for _, n := range f.nodes {
		f.kill(n)
	}
	f.goroutines.Wait()
}

// kill stops a node at once, without a graceful shutdown.
func (f *fleet) kill(n *fleetNode) {
	if n.host.Killed() {
		return
	}
	n.host.Kill()
	n.stopAnnouncing()
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		n.engine.Close()
	}()
}

// node returns a node that was started.
func (f *fleet) node(name string) (*fleetNode, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	if n == nil {
		return nil, fmt.Errorf("no node %q was started", name)
	}
	return n, nil
}

// liveNodes returns the nodes that were not killed, in the order in which they were first started.
func (f *fleet) liveNodes() []*fleetNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*fleetNode
	for _, name := range f.startOrder {
		if n := f.nodes[name]; !n.host.Killed() {
			live = append(live, n)
		}
	}
	return live
}

// Start implements scenario.Environment.
func (f *fleet) Start(spec scenario.Node) error {
	region, ok := regionByDataCentre[spec.DataCentre]
	if !ok {
		return fmt.Errorf("no data centre %q", spec.DataCentre)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if previous := f.nodes[spec.Name]; previous != nil && !previous.host.Killed() {
		return fmt.Errorf("node %s is already running", spec.Name)
	}
	if f.storeByService[spec.Service] == nil {
		f.storeByService[spec.Service] = fake.NewBackendStore()
	}
	n := &fleetNode{Node: spec, host: f.network.AddHost(spec.Name, spec.DataCentre, region)}
	n.backend = fake.NewBackendServer(fake.BackendOptions{
		Service: spec.Service, Incarnation: fmt.Sprint(time.Now().UnixNano()), Slots: 10, Connections: 130, Weight: 100,
		ChecksGrants: f.checksGrants(), ServiceTime: f.serviceTime, Store: f.storeByService[spec.Service],
	})
	n.engine = f.newEngine(n, region)
	n.host.SetHandler(n.engine)
	n.engine.Start()
	if f.nodes[spec.Name] == nil {
		f.startOrder = append(f.startOrder, spec.Name)
	}
	f.nodes[spec.Name] = n
	f.startAnnouncing(n)
	return nil
}

// checksGrants reports whether the published configuration says that backend servers check grants.
func (f *fleet) checksGrants() bool {
	return bytes.Contains(f.publishedDocument, []byte("checks_grants: true"))
}

// newEngine returns the engine of a node.
func (f *fleet) newEngine(n *fleetNode, region string) *Engine {
	timing, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		f.t.Fatal(err)
	}
	var backend Backend = fake.DirectClient{Host: n.host, Server: n.backend}
	if f.wrapBackend != nil {
		backend = f.wrapBackend(n, backend)
	}
	identity := eventlog.Node{Instance: n.Name, DataCentre: n.DataCentre, Region: region}
	return New(Options{
		Self: Self{Instance: n.Name, DataCentre: n.DataCentre, Region: region, Addresses: ledger.Addresses{
			Nodes: n.Name, Leases: n.Name, Callers: n.Name, Operators: n.Name,
		}},
		Ingress:       settings.PoolSize{Workers: settings.DefaultIngressWorkers, Queue: settings.DefaultIngressQueue},
		Owner:         settings.PoolSize{Workers: 16, Queue: 512},
		Lease:         settings.PoolSize{Workers: 2, Queue: 256},
		Ledger:        settings.PoolSize{Workers: 2, Queue: 256},
		RequestIDSkew: settings.DefaultRequestIDSkew,
		Timing:        timing,
	}, Dependencies{
		Log: n.host.Log(f.log), Peers: n.host, Leases: n.host,
		Backend: backend,
		Events:  eventlog.New(f.events, 0, identity),
		Metrics: f.metrics, Tracing: f.tracing,
	})
}

// startAnnouncing announces the backend server of a node at regular intervals until the node is killed.
func (f *fleet) startAnnouncing(n *fleetNode) {
	ctx, stop := context.WithCancel(context.Background())
	n.stopAnnouncing = stop
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		ticker := time.NewTicker(fake.AnnounceInterval / 4)
		defer ticker.Stop()
		for ctx.Err() == nil {
			f.sendAnnouncement(ctx, n)
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
	}()
}

// sendAnnouncement sends one announcement.
func (f *fleet) sendAnnouncement(ctx context.Context, n *fleetNode) {
	f.mu.Lock()
	silent := n.silent
	f.mu.Unlock()
	if silent || !n.host.AwaitRunning() {
		return
	}
	// After a refusal the next announcement tries again.
	_ = n.engine.Announce(ctx, backendserver.Announcement{
		Address: n.Name + "/backend", Service: n.Service, Incarnation: "1", Slots: 10, Connections: 130, Weight: 100,
	})
}

// Publish implements scenario.Environment. It appends the document with the current revision as its base.
func (f *fleet) Publish(document []byte) error {
	next, err := config.Decode(document)
	if err != nil {
		return err
	}
	if last, err := config.Decode(f.publishedDocument); err == nil && !sameHomeRegions(last, next) {
		f.homeRegionsChanged = true
	}
	if err := f.publishUnchecked(document); err != nil {
		return err
	}
	f.publishedDocument = document
	return nil
}

// publishUnchecked appends a document with the current revision as its base, without decoding it.
func (f *fleet) publishUnchecked(document []byte) error {
	state := f.replayLog()
	record := &ledger.Record{Kind: ledger.KindConfiguration, ID: newRecordID(), Configuration: &ledger.Configuration{
		Base: state.Revision(), Document: string(document), Author: "scenario",
	}}
	_, err := f.log.Append(context.Background(), record)
	return err
}

// replayLog returns the state that results from the records of the log.
func (f *fleet) replayLog() *ledger.State {
	state := ledger.NewState()
	page, err := f.log.Read(context.Background(), 1, 1<<20, 0)
	if err != nil {
		return state
	}
	for _, entry := range page.Entries {
		if entry.Record != nil {
			state.Apply(entry.Offset, entry.Record)
		}
	}
	return state
}

// Now implements scenario.Environment.
func (f *fleet) Now() time.Time { return time.Now() }

// Executions implements scenario.Environment.
func (f *fleet) Executions() (executions int, duplicates []string) {
	for service, store := range f.storeByService {
		executions += store.ExecutionsWithID()
		for _, id := range store.Duplicates() {
			duplicates = append(duplicates, service+" "+id)
		}
	}
	return executions, duplicates
}

// status returns the status that a node reports to operators.
func (n *fleetNode) status() operator.Status { return n.engine.Status() }

// unknownLoadError returns the error for a load that was not started.
func unknownLoadError(name string) error {
	return problem.New(problem.NotFound, "start the load", "no load %q", name)
}
