package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/fake"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
	"heatherreel/internal/stream"
	"heatherreel/internal/telemetry"
)

// simulation is a fleet of gateways with their backend servers, in virtual time.
type simulation struct {
	t         *testing.T
	store     *fake.PlatformStore
	mu        sync.Mutex
	instances map[string]*simulatedInstance
	// runs counts how often each request began at a backend server.
	runs map[string]int
	// disconnected are the instances that no other instance can reach.
	disconnected map[string]bool
	// withoutPower are the instances that answer no call of another instance; each ends with its timeout.
	withoutPower map[string]bool
	// silentFeeds are the instances that do not answer reads of other instances, and topicDelay delays the request and the
	// answer of each such read; nil for no delay.
	silentFeeds map[string]bool
	topicDelay  func() time.Duration
	// heldHeartbeats are the instances whose backend servers' heartbeats do not arrive.
	heldHeartbeats map[string]bool
	// clockOffsets are what the clocks of instances show more than that of the test.
	clockOffsets map[string]time.Duration
	// loseAnswerEvery makes every n-th answer of a backend server get lost; 0 for none.
	loseAnswerEvery, exchanges int
	// workFigureQueries counts the queries for work figures.
	workFigureQueries int
	// onDispatch is called for each request that one instance sends to another.
	onDispatch func(to string, r routed.Request)
	// dispatchOverNetwork, if set, sends the requests that one instance sends to another.
	dispatchOverNetwork func(ctx context.Context, to string, r routed.Request, onSilent func(node.PeerState)) (routed.Answer, error)
	// onRun is called when a request begins at a backend server, with the context of the exchange.
	onRun func(ctx context.Context, inst *simulatedInstance, r routed.Request)
	// silentAfterRun is an instance that becomes unreachable after it has run a request.
	silentAfterRun string
	// answerDelays are the times by which the path from an instance delays its answers.
	answerDelays map[string]time.Duration
	// deadConnections is the number of open connections to each instance that have lost their path. Each carries one
	// request, and no answer.
	deadConnections map[string]int
	// network carries requests between instances, if it is set.
	network *loadedFleet
	// refusals are the reasons for which instances refuse all requests.
	refusals map[string]request.Reason
	// misdirected counts requests that reached another incarnation, or a backend server that did not hold their key.
	misdirected int
	// configurationBytes is the size of the records of published configurations, if it is above that of their content.
	configurationBytes int
	// direct is set if keys are granted by calls. orderLoss is the probability that such a call gets no answer and takes
	// effect lateBy later; orderRandom decides it.
	direct      bool
	orderLoss   float64
	orderRandom *rand.Rand
	keyCalls    keyCallCounts
	// reuseServerIDs makes a backend server start again under its former ID.
	reuseServerIDs bool
	// rollBacks decides on rollbacks of the store beside the other random faults; nil for none.
	rollBacks *rand.Rand
	// decodeTime is how long a configuration takes to decode.
	decodeTime time.Duration
	// ignoreCalls is Options.IgnoreCalls of the gateways that are started.
	ignoreCalls bool
	// events gets the events of the gateways that are started; they are discarded if it is nil. revocation is
	// Options.Revocation of these gateways.
	events     *eventlog.Logger
	revocation time.Duration
	// lendCalls counts the calls for loans.
	lendCalls atomic.Int64
	// tables are the published configurations, by the number in their record.
	tables []*route.Table
	stop   chan struct{}
	group  sync.WaitGroup
}

// simulatedInstance is one instance: a gateway and its backend server.
type simulatedInstance struct {
	sim         *simulation
	self        Self
	gateway     *Gateway
	server      *fakeBackendServer
	incarnation int64
	// earlierFence is what highestFence was in the earlier incarnations of the backend server.
	earlierFence [64]uint64
	// suspended is the time for which the machine of the instance was suspended, in nanoseconds.
	suspended atomic.Int64
}

func newSimulation(t *testing.T) *simulation {
	return &simulation{t: t, store: fake.NewPlatformStore(), instances: map[string]*simulatedInstance{}, runs: map[string]int{}, disconnected: map[string]bool{},
		silentFeeds: map[string]bool{}, heldHeartbeats: map[string]bool{}, withoutPower: map[string]bool{}, clockOffsets: map[string]time.Duration{}, stop: make(chan struct{})}
}

// close stops everything, so that the synctest bubble of the test can end.
func (sim *simulation) close() {
	close(sim.stop)
	for name := range sim.instances {
		sim.killGateway(name)
	}
	sim.group.Wait()
}

// addInstance adds an instance with a running gateway and backend server.
func (sim *simulation) addInstance(name, service, region string) *simulatedInstance {
	inst := &simulatedInstance{sim: sim, self: Self{Instance: name, Address: nodeAddress(name), DataCentre: "dc-" + name, Region: region, Service: service,
		BackendAddress: "backend-" + name}}
	sim.mu.Lock()
	sim.instances[name] = inst
	sim.mu.Unlock()
	sim.startServer(name)
	sim.startGateway(name)
	return inst
}

// startGateway starts a new gateway process of an instance, with the next incarnation number.
func (sim *simulation) startGateway(name string) {
	sim.mu.Lock()
	inst := sim.instances[name]
	inst.incarnation++
	self := inst.self
	self.Incarnation = inst.incarnation
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		sim.t.Fatal(err)
	}
	tracing, err := telemetry.NewTracing(telemetry.OutputNone, 0, telemetry.Identity{})
	if err != nil {
		sim.t.Fatal(err)
	}
	clockOffset := sim.clockOffsets[name]
	var keyCalls KeyCalls
	if sim.direct {
		keyCalls = &simulatedKeyCalls{inst: inst}
	}
	events := sim.events
	if events == nil {
		events = eventlog.Discard()
	}
	g := New(Options{Self: self, Revocation: sim.revocation, IgnoreCalls: sim.ignoreCalls, IngressWorkers: 64, IngressQueue: 64, BackendWorkers: 32, LargeBodies: stream.DefaultLimit,
		Limits: Limits{Retry: RetryLimits{Ratio: 0.2, Floor: 120, Window: 10 * time.Second}, DrainTime: 1500 * time.Millisecond}},
		Dependencies{Store: sim.store.ClientFor(name), OperatorTopic: "operators", DecodeOperator: sim.decode, Peers: &peers{sim, name},
			Backend: inst, KeyCalls: keyCalls, Events: events, Metrics: metrics, Tracing: tracing, Now: func() keyrange.Instant {
				return keyrange.Instant(time.Now().UnixNano()).Add(clockOffset + time.Duration(inst.suspended.Load()))
			}})
	sim.mu.Unlock()
	g.Start()
	sim.mu.Lock()
	inst.gateway = g
	sim.mu.Unlock()
}

// killGateway ends the process of the gateway.
func (sim *simulation) killGateway(name string) {
	sim.mu.Lock()
	g := sim.instances[name].gateway
	sim.instances[name].gateway = nil
	sim.mu.Unlock()
	if g != nil {
		g.Close()
	}
}

// checkOwners fails the test if two running backend servers of a service hold the same key. It checks each 1024th key.
func (sim *simulation) checkOwners() {
	now := time.Now()
	for key := 0; key < keyrange.KeyCount; key += 1024 {
		holders := map[string]string{}
		for name, inst := range sim.instances {
			if inst.server == nil || !inst.server.holds(uint16(key), now) {
				continue
			}
			if holder := holders[inst.self.Service]; holder != "" {
				sim.t.Errorf("key %d is held by %s and %s", key, holder, name)
			}
			holders[inst.self.Service] = name
		}
	}
}

// sendRequest sends a request through an instance.
func (sim *simulation) sendRequest(through, id, path string, key int, timeout time.Duration) routed.Answer {
	sim.mu.Lock()
	g := sim.instances[through].gateway
	sim.mu.Unlock()
	if g == nil {
		return routed.NotRun(request.OwnerUnreachable, 0)
	}
	return g.Route(context.Background(), routed.Request{ID: id, Host: "h", Path: path, Method: "GET", Keyed: key >= 0, Key: uint16(max(0, key)),
		Deadline: time.Now().Add(timeout)})
}

// servedShare returns the share of 32 evenly spaced keys that are served through an instance.
func (sim *simulation) servedShare(through string) float64 {
	const probes = 32
	var done atomic.Int64
	var callers sync.WaitGroup
	for i := range probes {
		callers.Go(func() {
			key := i * keyrange.KeyCount / probes
			a := sim.sendRequest(through, fmt.Sprintf("probe-%d-%d", time.Now().UnixNano(), i), "/keyed/", key, time.Second)
			if a.Outcome == request.Done {
				done.Add(1)
				return
			}
			table, _ := sim.instances[through].gateway.ranges.get("keyed")
			r, _ := table.Find(uint16(key))
			sim.t.Logf("key %d: %v %s by %q; range %+v", key, a.Outcome, a.Reason, a.Instance, r)
		})
	}
	callers.Wait()
	return float64(done.Load()) / probes
}
