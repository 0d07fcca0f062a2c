package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/fake"
	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
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

// fakeBackendServer holds the ranges that heartbeat replies grant, by a clock that runs 2% slow.
type fakeBackendServer struct {
	id            string
	startedUnixMS int64
	sequence      int64
	draining      bool
	held          map[[2]uint16]heldRange
	released      []keyhold.Released
	serviceTime   time.Duration
	// workFigure is the work figure that it reports; 0 for none.
	workFigure float64
	// highestFence is the highest fence under which it has held each 1024th key.
	highestFence [64]uint64
	// running are the keys of the requests in progress, and idle is closed and replaced when one of them ends.
	running []uint16
	idle    chan struct{}
	// granted are the spans that calls granted; seen are the highest fences of the spans that it was ever granted.
	granted []grantedSpan
	seen    []keyhold.Span
	// ended is closed when the incarnation ends.
	ended chan struct{}
}

type heldRange struct {
	fence uint64
	until time.Time
}

// Intervals of the fake backend server's heartbeats.
const (
	heartbeatInterval         = 870 * time.Millisecond
	releasedHeartbeatInterval = 100 * time.Millisecond
	// replyDelay is the time from a reply until the backend server holds the ranges that it grants.
	replyDelay = 5 * time.Millisecond
)

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

// publishCold publishes a configuration in which backend servers are cold for 5 s and limited to 5 requests per second
// during that time.
func (sim *simulation) publishCold(revision uint64) {
	sim.publishWith(revision, true, route.Service{Name: "free", ColdFor: 5 * time.Second, ColdRate: 5})
}

// publish publishes a configuration; see publishWith.
func (sim *simulation) publish(revision uint64, idempotent bool) {
	sim.publishWith(revision, idempotent, route.Service{Name: "free"})
}

// publishWith publishes a configuration with the routes /keyed/ and /free/, and /home/, which is confined to region r1.
func (sim *simulation) publishWith(revision uint64, idempotent bool, free route.Service) {
	sim.t.Helper()
	table, err := route.Build(revision, []route.Route{
		{Name: "keyed", Host: "h", Prefix: "/keyed/", Services: []route.WeightedService{{Service: "keyed", Weight: 1}}, Idempotent: idempotent, MaxAttempts: 2},
		{Name: "free", Host: "h", Prefix: "/free/", Services: []route.WeightedService{{Service: "free", Weight: 1}}, Idempotent: idempotent, MaxAttempts: 2},
		{Name: "home", Host: "h", Prefix: "/home/", Services: []route.WeightedService{{Service: "free", Weight: 1}}, HomeRegions: []string{"r1"}, MaxAttempts: 2},
	}, []route.Service{{Name: "keyed", Keyed: true}, free}, route.Limits{})
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.mu.Lock()
	sim.tables = append(sim.tables, table)
	content := fmt.Sprint(len(sim.tables) - 1)
	content += strings.Repeat(" ", max(0, sim.configurationBytes-len(content)))
	sim.mu.Unlock()
	sim.writeOperatorRecord("config", content)
}

// writeOperatorRecord writes a record of the operators.
func (sim *simulation) writeOperatorRecord(key, value string) {
	if _, err := sim.store.ClientFor("operator").Append(context.Background(), "operators", registry.AnyOffset, registry.Record{Key: key, Value: []byte(value)}); err != nil {
		sim.t.Error(err)
	}
}

// decode decodes a record that writeOperatorRecord wrote: an evacuation, or the number of a published configuration.
func (sim *simulation) decode(r registry.Record) (registry.OperatorRecord, bool, error) {
	if dataCentre, found := strings.CutPrefix(r.Key, "evacuate/"); found {
		return registry.OperatorRecord{DataCentre: dataCentre, Ended: len(r.Value) == 0}, true, nil
	}
	var n int
	if _, err := fmt.Sscan(string(r.Value), &n); err != nil {
		return registry.OperatorRecord{}, false, problem.New(problem.Malformed, "publish again", "the record holds no configuration number: %w", err)
	}
	sim.mu.Lock()
	table, decodeTime := sim.tables[n], sim.decodeTime
	sim.mu.Unlock()
	sleep(context.Background(), decodeTime)
	return registry.OperatorRecord{Table: table}, true, nil
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
	g := New(Options{Self: self, Revocation: sim.revocation, IngressWorkers: 64, IngressQueue: 64, BackendWorkers: 32, LargeBodies: stream.DefaultLimit,
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

// startServer starts a new incarnation of the backend server.
func (sim *simulation) startServer(name string) {
	sim.mu.Lock()
	inst := sim.instances[name]
	s := &fakeBackendServer{id: fmt.Sprintf("s-%s-%d", name, time.Now().UnixMilli()), startedUnixMS: time.Now().UnixMilli(), held: map[[2]uint16]heldRange{},
		serviceTime: 100 * time.Millisecond}
	if sim.reuseServerIDs {
		s.id = "s-" + name
	}
	s.ended = make(chan struct{})
	inst.server = s
	sim.mu.Unlock()
	sim.group.Add(1)
	go func() {
		defer sim.group.Done()
		sim.sendHeartbeats(inst, s)
	}()
}

// stopServer ends the backend server.
func (sim *simulation) stopServer(name string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	inst := sim.instances[name]
	if s := inst.server; s != nil {
		for i := range s.highestFence {
			inst.earlierFence[i] = max(inst.earlierFence[i], s.highestFence[i])
		}
		close(s.ended)
	}
	inst.server = nil
}

// sendHeartbeats sends the heartbeats of one incarnation until it ends.
func (sim *simulation) sendHeartbeats(inst *simulatedInstance, s *fakeBackendServer) {
	for {
		wait := heartbeatInterval
		if sim.sendHeartbeat(inst, s) {
			wait = releasedHeartbeatInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-sim.stop:
			timer.Stop()
			return
		}
		sim.mu.Lock()
		over := inst.server != s
		sim.mu.Unlock()
		if over {
			return
		}
	}
}

// sendHeartbeat sends one heartbeat and applies its reply. It reports whether ranges were released.
func (sim *simulation) sendHeartbeat(inst *simulatedInstance, s *fakeBackendServer) bool {
	sent := time.Now()
	sim.mu.Lock()
	g := inst.gateway
	if inst.server != s || sim.heldHeartbeats[inst.self.Instance] {
		sim.mu.Unlock()
		return false
	}
	m := heartbeatOf(inst)
	sim.mu.Unlock()
	if g == nil {
		return false
	}
	reply, err := g.Heartbeat(m)
	sleep(context.Background(), replyDelay)
	if err != nil {
		// A departure that cannot be stored is not acknowledged; the next heartbeat reports it again.
		if !m.Draining || problem.KindOf(err) != problem.Unavailable {
			sim.t.Errorf("heartbeat of %s: %v", inst.self.Instance, err)
		}
		return false
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s.released = nil
	if reply.Hold == 0 || inst.server != s {
		return false
	}
	kept := map[[2]uint16]heldRange{}
	for _, r := range reply.Spans {
		kept[[2]uint16{r.From, r.To}] = heldRange{fence: r.Fence, until: sent.Add(reply.Hold * 102 / 100)}
		sim.checkFence(inst, s, r)
	}
	for span, held := range s.held {
		if _, stays := kept[span]; !stays && held.until.After(sent) && !slices.ContainsFunc(reply.Spans, func(r keyhold.Span) bool { return r.Overlaps(span[0], span[1]) }) {
			s.released = append(s.released, keyhold.Released{From: span[0], To: span[1], HandoverToken: "from-" + s.id})
		}
	}
	s.held = kept
	sim.checkOwners()
	return len(s.released) > 0
}

// heartbeatOf returns the next heartbeat of a running backend server.
func heartbeatOf(inst *simulatedInstance) heartbeat.Message {
	s := inst.server
	s.sequence++
	m := heartbeat.Message{Server: s.id, Service: inst.self.Service, Address: inst.self.BackendAddress, Draining: s.draining, Slots: 8,
		StartedUnixMS: s.startedUnixMS, Sequence: s.sequence, KeysReported: inst.self.Service == "keyed" && !inst.sim.direct, Freed: s.released}
	for span, held := range s.held {
		if held.until.After(time.Now()) {
			m.Holds = append(m.Holds, heartbeat.Held{From: span[0], To: span[1], Fence: held.fence})
		}
	}
	return m
}

// checkFence fails the test if a backend server takes a range under a fence that is not above all fences that the other
// backend servers had for it. It checks each 1024th key.
func (sim *simulation) checkFence(inst *simulatedInstance, s *fakeBackendServer, r keyhold.Span) {
	for name, other := range sim.instances {
		if other == inst || other.server == nil {
			continue
		}
		for i := int(r.From) / 1024; i <= int(r.To)/1024; i++ {
			key := uint16(i * 1024)
			if r.Overlaps(key, key) && other.server.highestFence[i] >= r.Fence {
				sim.t.Errorf("%s takes key %d with fence %d; %s had %d", inst.self.Instance, key, r.Fence, name, other.server.highestFence[i])
			}
		}
	}
	for i := int(r.From) / 1024; i <= int(r.To)/1024; i++ {
		if key := uint16(i * 1024); r.Overlaps(key, key) {
			if inst.earlierFence[i] >= r.Fence {
				sim.t.Errorf("%s takes key %d with fence %d; its earlier incarnation had %d", inst.self.Instance, key, r.Fence, inst.earlierFence[i])
			}
			s.highestFence[i] = max(s.highestFence[i], r.Fence)
		}
	}
}

// checkOwners fails the test if two running backend servers hold the same key. It checks each 1024th key.
func (sim *simulation) checkOwners() {
	now := time.Now()
	for key := 0; key < keyrange.KeyCount; key += 1024 {
		holder := ""
		for name, inst := range sim.instances {
			if inst.server == nil || !inst.server.holds(uint16(key), now) {
				continue
			}
			if holder != "" {
				sim.t.Errorf("key %d is held by %s and %s", key, holder, name)
			}
			holder = name
		}
	}
}

func (s *fakeBackendServer) holds(key uint16, now time.Time) bool {
	if slices.ContainsFunc(s.granted, func(g grantedSpan) bool { return g.Overlaps(key, key) && g.until.After(now) }) {
		return true
	}
	for span, held := range s.held {
		if span[0] <= key && key <= span[1] && held.until.After(now) {
			return true
		}
	}
	return false
}

// Exchange implements Backend.
func (inst *simulatedInstance) Exchange(ctx context.Context, e routed.Exchange) routed.Answer {
	inst.sim.mu.Lock()
	s := inst.server
	switch {
	case s == nil:
		inst.sim.mu.Unlock()
		refused := routed.NotRun(request.BackendUnreachable, 0)
		refused.ConnectionRefused = true
		return refused
	case s.id != e.Server || inst.self.Service == "keyed" && !s.holds(e.Request.Key, time.Now()):
		inst.sim.misdirected++
		inst.sim.mu.Unlock()
		refused := routed.NotRun(request.BackendChanged, 0)
		refused.ReachedServer = true
		return refused
	}
	inst.sim.runs[e.Request.ID]++
	inst.sim.exchanges++
	s.running = append(s.running, e.Request.Key)
	defer inst.endRun(s, e.Request.Key)
	serviceTime := s.serviceTime
	lost := inst.sim.loseAnswerEvery > 0 && inst.sim.exchanges%inst.sim.loseAnswerEvery == 0
	onRun := inst.sim.onRun
	inst.sim.mu.Unlock()
	if onRun != nil {
		onRun(ctx, inst, e.Request)
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		if lost {
			return routed.OutcomeUnknown(request.ConnectionLost)
		}
		return routed.Answer{Outcome: request.Done, Status: 200, Body: []byte(inst.self.Instance), ReachedServer: true, WorkFigure: inst.sim.workFigure(s)}
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return routed.OutcomeUnknown(request.Canceled)
		}
		return routed.OutcomeUnknown(request.DeadlineExceeded)
	}
}

// WorkFigure implements Backend.
func (inst *simulatedInstance) WorkFigure(context.Context, string, string) (float64, error) {
	inst.sim.mu.Lock()
	s := inst.server
	inst.sim.workFigureQueries++
	inst.sim.mu.Unlock()
	if s == nil {
		return 0, problem.New(problem.Unavailable, "start the backend server", "no backend server")
	}
	if workFigure := inst.sim.workFigure(s); workFigure > 0 {
		return workFigure, nil
	}
	return 0, problem.New(problem.Unavailable, "check the backend server", "no work figure")
}

func (sim *simulation) workFigure(s *fakeBackendServer) float64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return s.workFigure
}

// setWorkFigure sets the speed of a backend server's machine: requests that start from now on take the work figure
// times 100 ms.
func (sim *simulation) setWorkFigure(name string, workFigure float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s := sim.instances[name].server
	s.workFigure, s.serviceTime = workFigure, time.Duration(workFigure*float64(100*time.Millisecond))
}

// CloseIdleConnections implements Backend.
func (inst *simulatedInstance) CloseIdleConnections() {}

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
