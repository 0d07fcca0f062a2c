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
	"heatherreel/internal/keyspace"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/operator"
	"heatherreel/internal/problem"
	"heatherreel/internal/scenario"
	"heatherreel/internal/serving"
	"heatherreel/internal/settings"
	"heatherreel/internal/telemetry"
)

// fleet is a scenario.World of whole engines with in-memory peers. It runs in a synctest bubble.
//
// mu guards nodes and loads.
type fleet struct {
	t       *testing.T
	network *fake.Network
	log     *fake.Log
	metrics *telemetry.Metrics
	tracing *telemetry.Tracing
	// stores holds the values of each service, which its backend servers share.
	stores map[string]*fake.Store
	// serviceTime is how long a backend server takes for one request.
	serviceTime time.Duration
	events      *eventBuffer
	// backendOf wraps the connection to a backend server, for tests that record it; nil if none does.
	backendOf func(*fleetNode, Backend) Backend

	mu       sync.Mutex
	nodes    map[string]*fleetNode
	order    []string
	loads    map[string]*load
	document []byte
	// homesChanged tells that a published document changed home regions.
	homesChanged bool
	closing      sync.WaitGroup
}

var _ scenario.World = (*fleet)(nil)

// fleetNode is one node with the backend server beside it.
type fleetNode struct {
	scenario.Node
	host    *fake.Host
	engine  *Engine
	backend *fake.BackendServer
	silent  bool
	stop    context.CancelFunc
}

// regions are the places of the first deployment.
var regions = map[string]string{
	"west-a": "emea-west", "west-b": "emea-west", "central-a": "emea-central", "central-b": "emea-central",
}

// eventBuffer collects the events of all nodes, for searches and failure reports.
type eventBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *eventBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *eventBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
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
		t: t, network: fake.NewNetwork(fake.KatodaLatencies, "emea-west"), log: fake.NewLog(),
		metrics: metrics, tracing: tracing, stores: map[string]*fake.Store{}, events: &eventBuffer{},
		nodes: map[string]*fleetNode{}, loads: map[string]*load{}, serviceTime: 2 * time.Millisecond,
	}
	t.Cleanup(f.close)
	return f
}

// close stops all loads and ends all nodes.
func (f *fleet) close() {
	if f.t.Failed() {
		f.t.Logf("events:\n%s", f.events.String())
	}
	for _, l := range f.loads {
		l.end()
	}
	f.log.SetFaults(fake.LogFaults{})
	for _, n := range f.nodes {
		f.kill(n)
	}
	f.closing.Wait()
}

// kill ends a node at once.
func (f *fleet) kill(n *fleetNode) {
	if n.host.Killed() {
		return
	}
	n.host.Kill()
	n.stop()
	f.closing.Add(1)
	go func() {
		defer f.closing.Done()
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

// living returns the nodes that run, in the order in which they were first started.
func (f *fleet) living() []*fleetNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*fleetNode
	for _, name := range f.order {
		if n := f.nodes[name]; !n.host.Killed() {
			list = append(list, n)
		}
	}
	return list
}

// Start implements scenario.World.
func (f *fleet) Start(spec scenario.Node) error {
	region, ok := regions[spec.DataCentre]
	if !ok {
		return fmt.Errorf("no data centre %q", spec.DataCentre)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.nodes[spec.Name]; old != nil && !old.host.Killed() {
		return fmt.Errorf("node %s runs", spec.Name)
	}
	if f.stores[spec.Service] == nil {
		f.stores[spec.Service] = fake.NewStore()
	}
	n := &fleetNode{Node: spec, host: f.network.AddHost(spec.Name, spec.DataCentre, region)}
	n.backend = fake.NewBackendServer(fake.BackendOptions{
		Service: spec.Service, Incarnation: fmt.Sprint(time.Now().UnixNano()), Slots: 10, Connections: 130, Weight: 100,
		ChecksGrants: f.checksGrants(), ServiceTime: f.serviceTime, Store: f.stores[spec.Service],
	})
	n.engine = f.newEngine(n, region)
	n.host.Attach(n.engine)
	n.engine.Start()
	if f.nodes[spec.Name] == nil {
		f.order = append(f.order, spec.Name)
	}
	f.nodes[spec.Name] = n
	f.announce(n)
	return nil
}

// checksGrants reports whether the published configuration says that backend servers check grants.
func (f *fleet) checksGrants() bool { return bytes.Contains(f.document, []byte("checks_grants: true")) }

// newEngine returns the engine of a node.
func (f *fleet) newEngine(n *fleetNode, region string) *Engine {
	timing, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		f.t.Fatal(err)
	}
	var backend Backend = fake.Direct{Host: n.host, Server: n.backend}
	if f.backendOf != nil {
		backend = f.backendOf(n, backend)
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

// announce announces the backend server of a node every second until the node is killed.
func (f *fleet) announce(n *fleetNode) {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	f.closing.Add(1)
	go func() {
		defer f.closing.Done()
		ticker := time.NewTicker(fake.AnnounceInterval / 4)
		defer ticker.Stop()
		for ctx.Err() == nil {
			f.announceOnce(ctx, n)
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
	}()
}

// announceOnce sends one announcement.
func (f *fleet) announceOnce(ctx context.Context, n *fleetNode) {
	f.mu.Lock()
	silent := n.silent
	f.mu.Unlock()
	if silent || !n.host.Pass() {
		return
	}
	// A refusal is repeated by the next announcement.
	_ = n.engine.Announce(ctx, backendserver.Announcement{
		Address: n.Name + "/backend", Service: n.Service, Incarnation: "1", Slots: 10, Connections: 130, Weight: 100,
	})
}

// Stop implements scenario.World.
func (f *fleet) Stop(name string) error {
	n, err := f.node(name)
	if err != nil {
		return err
	}
	f.closing.Add(1)
	go func() {
		defer f.closing.Done()
		ctx, cancel := context.WithTimeout(context.Background(), settings.DefaultShutdownTimeout)
		defer cancel()
		n.engine.Drain(ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.kill(n)
	}()
	return nil
}

// Kill implements scenario.World.
func (f *fleet) Kill(name string) error {
	n, err := f.node(name)
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.kill(n)
	}
	return err
}

// Pause implements scenario.World.
func (f *fleet) Pause(name string) error {
	n, err := f.node(name)
	if err == nil {
		n.host.Pause()
	}
	return err
}

// Resume implements scenario.World.
func (f *fleet) Resume(name string) error {
	n, err := f.node(name)
	if err == nil {
		n.host.Resume()
	}
	return err
}

// Cut implements scenario.World.
func (f *fleet) Cut(a, b string) error {
	f.network.Cut(a, b)
	return nil
}

// Heal implements scenario.World.
func (f *fleet) Heal(a, b string) error {
	f.network.Heal(a, b)
	return nil
}

// SetLog implements scenario.World.
func (f *fleet) SetLog(state scenario.LogState, delay time.Duration) error {
	f.log.SetFaults(fake.LogFaults{Down: state == scenario.LogDown, Delay: delay})
	return nil
}

// LoseReplies implements scenario.World.
func (f *fleet) LoseReplies(n int) error {
	faults := f.log.Faults()
	faults.LostReplies = n
	f.log.SetFaults(faults)
	return nil
}

// Forget implements scenario.World.
func (f *fleet) Forget(n int) error {
	f.log.Forget(ledger.Offset(max(f.log.Len()-n+1, 1)))
	return nil
}

// SetBackend implements scenario.World.
func (f *fleet) SetBackend(name string, state scenario.BackendState) error {
	n, err := f.node(name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	n.silent = state == scenario.BackendFrozen || state == scenario.BackendSilent
	f.mu.Unlock()
	faults := fake.Faults{Frozen: state == scenario.BackendFrozen}
	if state == scenario.BackendCold {
		faults.ColdRequests, faults.ColdMS, faults.ColdSlots = 100, 50, 3
	}
	n.backend.SetFaults(faults)
	return nil
}

// Publish implements scenario.World. It appends the document on the current revision.
func (f *fleet) Publish(document []byte) error {
	next, err := config.Decode(document)
	if err != nil {
		return err
	}
	if last, err := config.Decode(f.document); err == nil && !sameHomeRegions(last, next) {
		f.homesChanged = true
	}
	if err := f.publishUnchecked(document); err != nil {
		return err
	}
	f.document = document
	return nil
}

// publishUnchecked appends a document on the current revision.
func (f *fleet) publishUnchecked(document []byte) error {
	state := f.replayed()
	record := &ledger.Record{Kind: ledger.KindConfiguration, ID: newRecordID(), Configuration: &ledger.Configuration{
		Base: state.Revision(), Document: string(document), Author: "scenario",
	}}
	_, err := f.log.Append(context.Background(), record)
	return err
}

// replayed returns the state that the log holds.
func (f *fleet) replayed() *ledger.State {
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

// Now implements scenario.World.
func (f *fleet) Now() time.Time { return time.Now() }

// checkInterval is how often Advance looks for slices with two owners.
const checkInterval = 10 * time.Millisecond

// Advance implements scenario.World. It looks for slices with two owners all the while.
func (f *fleet) Advance(d time.Duration) {
	end := time.Now().Add(d)
	for {
		f.checkOwners()
		left := time.Until(end)
		if left <= 0 {
			return
		}
		<-time.After(min(left, checkInterval))
	}
}

// checkOwners fails the test if two nodes would serve one slice.
func (f *fleet) checkOwners() {
	for id, owners := range f.owners() {
		if len(owners) > 1 {
			f.t.Errorf("slice %s is served by %v", id, owners)
		}
	}
	if f.homesChanged {
		f.checkKeyOwners()
	}
}

// owners returns the names of the nodes that would serve each slice now.
func (f *fleet) owners() map[keyspace.SliceID][]string {
	owners := map[keyspace.SliceID][]string{}
	for _, n := range f.living() {
		for _, id := range n.served() {
			owners[id] = append(owners[id], n.Name)
		}
	}
	return owners
}

// served returns the slices that a node would serve now. A paused node would serve what its lease still covers when it
// resumes.
func (n *fleetNode) served() []keyspace.SliceID {
	if n.host.Killed() {
		return nil
	}
	if _, owns := n.engine.leases.owns(time.Now()); !owns {
		return nil
	}
	var list []keyspace.SliceID
	n.engine.serving.withLock(func(t *serving.Table) {
		for _, g := range t.Grants() {
			if state, _, _ := t.StateOf(g.Slice); state == serving.Serving {
				list = append(list, g.Slice)
			}
		}
	})
	return list
}

// Ownership implements scenario.World.
func (f *fleet) Ownership(service string) (scenario.Ownership, error) {
	var o scenario.Ownership
	serving := map[string]bool{}
	served := 0
	for id, owners := range f.owners() {
		if id.Service != service {
			continue
		}
		served++
		if len(owners) > 1 {
			o.Shared++
		}
		for _, name := range owners {
			serving[name] = true
		}
	}
	o.Owners = len(serving)
	o.Slices = f.sliceCount(service)
	o.Unserved = o.Slices - served
	return o, nil
}

// sliceCount returns the number of slices of a service over all its groups, as the first node that knows any does.
func (f *fleet) sliceCount(service string) int {
	for _, n := range f.living() {
		count := 0
		n.engine.ledger.read(func(s *ledger.State, _ *config.Configuration) {
			for id, g := range s.Groups {
				if id.Service == service {
					count += len(g.Slices)
				}
			}
		})
		if count > 0 {
			return count
		}
	}
	return 0
}

// Executions implements scenario.World.
func (f *fleet) Executions() (ran int, twice []string) {
	for service, store := range f.stores {
		ran += store.Identified()
		for _, id := range store.Duplicates() {
			twice = append(twice, service+" "+id)
		}
	}
	return ran, twice
}

// status returns what a node tells operators.
func (n *fleetNode) status() operator.Status { return n.engine.Status() }

// errNoLoad is returned for an unknown load.
func errNoLoad(name string) error {
	return problem.New(problem.NotFound, "start the load", "no load %q", name)
}
