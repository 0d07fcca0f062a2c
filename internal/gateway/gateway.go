// Package gateway routes requests to backend servers: it finds the route of a request, chooses a backend server for it,
// and runs the requests of the local backend server.
//
// Each node accepts requests of the callers on its instance and is the only node that calls the backend server there.
// All limits of a backend server (its slots, draining, evacuation, the request rate while it is cold, the keys that it
// holds) are therefore enforced at its own node; ingress nodes only choose among nodes.
//
// Work runs on several pools: jobs of the ingress pool route a request and wait for its answer, jobs of the pool for second
// sends do so for a request whose first send is silent, jobs of the backend pool make one exchange with the backend
// server, jobs of the control pool keep the records and the ownership of keys up to date, and jobs of the pool for grants
// make the calls that grant and release keys. One reader for each topic
// blocks in a long poll of the store or of another node.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"heatherreel/internal/capacity"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/feed"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/quota"
	"heatherreel/internal/registry"
	"heatherreel/internal/relay"
	"heatherreel/internal/request"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
	"heatherreel/internal/telemetry"
	"heatherreel/internal/worker"
)

// Self describes the instance of a node.
type Self struct {
	Instance    string
	Incarnation int64
	// Address is the drpc address for other nodes.
	Address    string
	DataCentre string
	Region     string
	// Service is the service of the local backend server, and BackendAddress its address.
	Service        string
	BackendAddress string
}

// Options are the settings of a gateway.
type Options struct {
	Self Self
	// IngressWorkers is the number of callers' requests that are routed at once. IngressQueue more may wait.
	IngressWorkers, IngressQueue int
	// BackendWorkers is the number of exchanges with the backend server at once.
	BackendWorkers int
	// LinkMbps is the bandwidth of the link to other instances in Mbit/s; 0 if large answers are not paced.
	LinkMbps float64
	// LearnCapacity makes the node learn the concurrency limit of its backend server.
	LearnCapacity bool
	// IgnoreCalls makes the node handle calls of backend servers, its own and others, like requests of callers.
	IgnoreCalls bool
	// LargeBodies is the number of large request bodies that are streamed at once, for callers and for the local backend
	// server each; 0 if none are.
	LargeBodies int
	Limits      Limits
	// Revocation is the time after the acknowledgement of a configuration from which an API key that it removed admits no
	// request; zero if no such time is guaranteed.
	Revocation time.Duration
}

// RetryLimits bound the retries for each service in any window of length Window: Ratio is the number of retries per
// request at this node, and Floor a number of retries of all nodes together that is always allowed. A retry counts only if
// the send before it reached a backend server.
type RetryLimits struct {
	Ratio, Floor float64
	Window       time.Duration
}

// Limits are the settings that may change while a gateway runs.
type Limits struct {
	Retry RetryLimits
	// DrainTime is how long a backend server still serves after its draining was acknowledged.
	DrainTime time.Duration
}

// SetLimits puts limits in force.
func (g *Gateway) SetLimits(l Limits) {
	g.drainTime.Store(int64(l.DrainTime))
	g.members.setRetryLimits(l.Retry)
}

// Backend runs requests at the local backend server.
type Backend interface {
	// Exchange sends the request once. The answer is NotRun only if it is proved that the request did not run.
	Exchange(ctx context.Context, e routed.Exchange) routed.Answer
	// WorkFigure asks the backend server for its work figure: the service time of requests that start now, relative to
	// the usual one (see routed.Answer). It returns a problem.Unavailable error if the backend server reports none.
	WorkFigure(ctx context.Context, address, healthPath string) (float64, error)
	// CloseIdleConnections closes idle connections.
	CloseIdleConnections()
}

// KeyCalls grants keys to the local backend server, and releases them, by calls.
type KeyCalls interface {
	// Grant sends one grant, and Release one release. The release is answered when the requests for the keys have ended.
	Grant(ctx context.Context, c keyhold.Call) keyhold.Reply
	Release(ctx context.Context, c keyhold.Call) keyhold.Reply
}

// StreamMemory accounts for memory.
type StreamMemory interface {
	// Hold reserves bytes. It returns false if there are not as many.
	Hold(bytes int64) bool
	// Drop returns them.
	Drop(bytes int64)
}

// Peers calls the nodes of other instances.
type Peers interface {
	// Dispatch sends a request to a node. It calls onSilent, unless that is nil, once the request should be sent to another
	// node as well because this one is silent, and still awaits the answer. onSilent must not block; it may be called when
	// Dispatch has just returned.
	Dispatch(ctx context.Context, address string, r routed.Request, onSilent func(node.PeerState)) (routed.Answer, error)
	// Probe asks a node for its instance name and load. rangesEnd is the end offset of the topic of range tables up to
	// which this node has read; a node that has read less reads again at once.
	Probe(ctx context.Context, address string, rangesEnd int64) (instance string, load routed.Load, err error)
	// StoreCall calls the store through another node. Errors are those of registry.Store.
	StoreCall(ctx context.Context, address string, c registry.Call) (registry.Page, error)
	// ReadTopic reads a topic through a node that reads it from the store. The error is problem.Overloaded if that node
	// does not serve the topic at present.
	ReadTopic(ctx context.Context, address string, r feed.Request) (feed.Answer, error)
	// Lend asks a node for loans of tenants' quotas to an instance.
	Lend(ctx context.Context, address, borrower string, asks []quota.Ask) ([]quota.Grant, error)
}

// Dependencies are what a gateway calls.
type Dependencies struct {
	Store registry.Store
	// OperatorTopic holds the records of the operators. DecodeOperator decodes one of them; ok is false for a record
	// that does not concern routers.
	OperatorTopic  string
	DecodeOperator func(registry.Record) (decoded registry.OperatorRecord, ok bool, err error)
	Peers          Peers
	Backend        Backend
	// KeyCalls grants keys by calls. If it is nil, keys are granted in the replies to heartbeats.
	KeyCalls KeyCalls
	// Memory accounts for the large bodies that are passed on to the local backend server; nil if nothing does.
	Memory  StreamMemory
	Events  *eventlog.Logger
	Metrics *telemetry.Metrics
	Tracing *telemetry.Tracing
	// Now reads a clock that counts the time during which the machine is suspended.
	Now func() keyrange.Instant
}

// Gateway is the router process of one instance.
type Gateway struct {
	options Options
	deps    Dependencies
	self    Self
	events  *eventlog.Logger

	// incarnation is Self.Incarnation, or a higher number if the record of an earlier process has one that is not below it.
	incarnation atomic.Int64
	routes      *routeTable
	members     *memberTable
	proof       *configurationProof
	quotas      *quotaTable
	// drainTime is Limits.DrainTime in nanoseconds.
	drainTime atomic.Int64
	ranges    *rangeTable
	server    *serverTracker
	// egress is nil if large answers are not paced.
	egress *egressTable
	// streams counts the large bodies that are streamed.
	streams *streamTable

	// era is the era of the platform's store.
	era *storeEra
	// store is the platform's store. Calls go through other nodes while this node cannot reach it.
	store *relay.Store
	// relayedCalls counts the store calls that are in progress for other nodes.
	relayedCalls atomic.Int64
	// served are the topics that this node reads; the map is not modified. servedReads counts the reads in progress that
	// other nodes make through this one.
	served      map[string]*servedTopic
	servedReads atomic.Int64

	ingressPool      *worker.Pool
	backendPool      *worker.Pool
	secondSendPool   *worker.Pool
	controlPool      *worker.Pool
	reconcileTrigger *worker.Trigger
	// grantPool makes the calls that grant and release keys, and grantTrigger runs scheduleKeyCalls on it; both are nil if
	// keys are granted in the replies to heartbeats.
	grantPool    *worker.Pool
	grantTrigger *worker.Trigger
	// slowdownTrigger runs pollSlowdown, which queries whether the machine of the backend server is still slow.
	slowdownTrigger *worker.Trigger
	// storeProbeTrigger runs relay.Store.Probe while the store is unreachable.
	storeProbeTrigger *worker.Trigger
	// reconciled belongs to the reconcile job.
	reconciled reconcileState
	// successorProbe belongs to the probe job. suspect is the instance that reconcile is to open a suspicion against.
	successorProbe probeState
	// lastMoveAt belongs to the balance job. plannedMoves are the moves that reconcile is to start.
	lastMoveAt   time.Time
	plannedMoves atomic.Pointer[[]keyMove]
	suspect      atomic.Pointer[string]

	// stopping is set when a planned stop begins, stoppingAnnounced when other nodes must not choose this node any
	// more, and closed when it accepts no more requests for its backend server and refuses those that wait for it.
	stopping, stoppingAnnounced atomic.Bool
	closed                      signal
	// requestsEndAt is when a planned stop ends the requests in progress; nil before a stop. requestsEnded is set then.
	requestsEndAt    atomic.Pointer[time.Time]
	requestsEnded    signal
	topicReaders     []*topicReader
	readerGoroutines sync.WaitGroup
	stop             context.CancelFunc
	stopTickers      []func()
	ctx              context.Context
	started          time.Time
}

// signal is an event that happens once.
type signal struct {
	once     *sync.Once
	happened chan struct{}
}

func newSignal() signal { return signal{once: new(sync.Once), happened: make(chan struct{})} }

func (s signal) set() { s.once.Do(func() { close(s.happened) }) }

func (s signal) isSet() bool {
	select {
	case <-s.happened:
		return true
	default:
		return false
	}
}

// Sizes of the control pool, whose jobs are rare.
const (
	controlWorkers = 6
	controlQueue   = 64
)

// New returns a gateway that is not started.
func New(o Options, d Dependencies) *Gateway {
	g := &Gateway{options: o, deps: d, self: o.Self, events: d.Events, started: time.Now(), closed: newSignal(), requestsEnded: newSignal(), era: newStoreEra()}
	g.deps.Store = eraStore{observedStore{d.Store, d.Events, d.Metrics}, g}
	g.incarnation.Store(o.Self.Incarnation)
	g.routes = newRouteTable()
	g.proof = newConfigurationProof()
	g.members = newMemberTable(o.Self, o.Limits.Retry)
	g.drainTime.Store(int64(o.Limits.DrainTime))
	g.ranges = newRangeTable()
	g.quotas = newQuotaTable(o.Self.Instance)
	g.server = newServerTracker()
	g.streams = newStreamTable(o.LargeBodies, d.Metrics, d.Memory)
	if o.LinkMbps > 0 {
		g.egress = newEgressTable(o.LinkMbps)
	}
	if o.LearnCapacity {
		g.server.estimator = capacity.New()
	}
	g.served = map[string]*servedTopic{d.OperatorTopic: newServedTopic(), registry.MembersTopic: newServedTopic(), registry.RangesTopic: newServedTopic()}
	g.store = relay.New(g.deps.Store, relayNodes{g}, d.Events, func(delay time.Duration) { g.storeProbeTrigger.FireAfter(delay) })
	return g
}

// reconcileInterval is how often reconcile runs without an event. A claim may be made up to this interval after it
// becomes possible.
const reconcileInterval = 250 * time.Millisecond

// Start starts the pools and the readers.
func (g *Gateway) Start() {
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.ingressPool = worker.NewPool("ingress", g.options.IngressWorkers, g.options.IngressQueue)
	g.backendPool = worker.NewPool("backend", g.options.BackendWorkers, g.options.BackendWorkers)
	g.secondSendPool = worker.NewPool("second-sends", secondSendWorkers, secondSendQueue)
	g.controlPool = worker.NewPool("control", controlWorkers, controlQueue)
	g.reconcileTrigger = worker.NewTrigger(g.controlPool, g.reconcile)
	g.slowdownTrigger = worker.NewTrigger(g.controlPool, g.pollSlowdown)
	g.quotas.start(g)
	g.storeProbeTrigger = worker.NewTrigger(g.controlPool, func() { g.store.Probe(g.ctx) })
	if g.grantsByCalls() {
		g.grantPool = worker.NewPool("grants", 1+maxGrantCalls+maxReleaseCalls, grantQueue)
		g.grantTrigger = worker.NewTrigger(g.grantPool, g.scheduleKeyCalls)
	}
	g.server.assumeEarlierGrants(g.deps.Now(), g.maxHold())
	g.events.Emit(eventlog.Started)
	ranges := &topicReader{g: g, topic: registry.RangesTopic, ownRecords: true, wait: g.rangesWait, batchDelay: g.rangesBatchDelay, onSnapshot: func() {}}
	ranges.apply = func(r registry.Record) { g.applyRanges(r, ranges.era) }
	ranges.synced = func(asOf keyrange.Instant, end int64) { g.rangesSynced(ranges.era, asOf, end) }
	g.topicReaders = []*topicReader{
		{g: g, topic: g.deps.OperatorTopic, wait: operatorWait, batchDelay: func() time.Duration { return 0 }, onSnapshot: g.routes.beginSnapshot, apply: g.applyOperator, synced: g.operatorSynced},
		{g: g, topic: registry.MembersTopic, ownRecords: true, wait: memberWait, batchDelay: func() time.Duration { return memberBatchDelay }, onSnapshot: g.members.beginSnapshot, apply: g.applyMember, synced: g.membersSynced},
		ranges,
	}
	for _, tr := range g.topicReaders {
		tr.served = g.served[tr.topic]
		g.startReader(tr)
	}
	g.stopTickers = []func(){
		g.controlPool.Every(reconcileInterval, g.reconcileTrigger.Fire),
		g.controlPool.Every(probeInterval, g.probeSuccessor),
		g.controlPool.Every(balanceInterval, g.balance),
	}
}

// startReader runs a topic reader until the gateway closes.
func (g *Gateway) startReader(tr *topicReader) {
	g.readerGoroutines.Add(1)
	go func() {
		defer g.readerGoroutines.Done()
		tr.run(g.ctx)
	}()
}

// Ready reports whether the node accepts new callers.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.routes.current() != nil && g.members.isSynced()
}

// PrepareStop begins a planned stop: the node is no longer ready, but still serves requests until callers have noticed
// that. PrepareStop returns after that time, or when ctx ends. The end of ctx bounds the time of the requests that arrive
// from now on.
func (g *Gateway) PrepareStop(ctx context.Context) {
	if end, ok := ctx.Deadline(); ok {
		g.requestsEndAt.Store(&end)
	}
	g.stopping.Store(true)
	g.events.Emit(eventlog.Stopping)
	g.reconcileTrigger.Fire()
	sleep(ctx, stopServeTime-stopAnnounceTime)
	g.stoppingAnnounced.Store(true)
	g.reconcileTrigger.Fire()
	sleep(ctx, stopAnnounceTime)
	g.closed.set()
}

// EndRequests answers all requests in progress at once, as the process is about to end: as not run where that is
// certain, otherwise with an unknown outcome.
func (g *Gateway) EndRequests() {
	g.closed.set()
	g.requestsEnded.set()
}

// limitToStop returns the deadline of a request, or an earlier one if the node ends before it: the request is then
// decided in time for an answer.
func (g *Gateway) limitToStop(deadline time.Time) time.Time {
	if end := g.requestsEndAt.Load(); end != nil && end.Add(-answerGrace).Before(deadline) {
		return end.Add(-answerGrace)
	}
	return deadline
}

const (
	// stopServeTime is how long a stopping node still accepts requests: readiness is checked once a second, and two
	// failed checks count.
	stopServeTime = 2500 * time.Millisecond
	// stopAnnounceTime is how long before the end of that time other nodes learn not to choose this node, so that none
	// of their requests meets the end of the process. It is many times the latency of a record through the store.
	stopAnnounceTime = 400 * time.Millisecond
)

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Close stops the readers, the triggers and the pools.
func (g *Gateway) Close() {
	for _, stop := range g.stopTickers {
		stop()
	}
	g.stop()
	g.readerGoroutines.Wait()
	g.reconcileTrigger.Stop()
	g.slowdownTrigger.Stop()
	g.quotas.stop()
	g.storeProbeTrigger.Stop()
	if g.grantsByCalls() {
		g.grantTrigger.Stop()
		g.grantPool.Stop()
	}
	g.ingressPool.Stop()
	g.secondSendPool.Stop()
	g.controlPool.Stop()
	g.backendPool.Stop()
	g.events.Emit(eventlog.Stopped)
}

// Route serves a request of a caller on a worker of the ingress pool. When ctx ends, the caller has disconnected.
func (g *Gateway) Route(ctx context.Context, r routed.Request) routed.Answer {
	ctx, span := g.deps.Tracing.StartHop(ctx, r.Traceparent, telemetry.HopIngress)
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	result := make(chan routed.Answer, 1)
	answer := routed.NotRun(request.QueueFull, overloadRetryAfter)
	if err := g.ingressPool.Submit(func() { result <- g.route(ctx, r) }); err == nil {
		select {
		case answer = <-result:
		case <-g.requestsEnded.happened:
			cancel(errRequestsEnded)
			answer = <-result
		}
	}
	span.Result(answer.Outcome, answer.Reason)
	return answer
}

// LookUp returns what the configuration in force says about the requests for a host and path.
func (g *Gateway) LookUp(host, path string) routed.Target { return g.routes.lookUp(host, path) }

// ClientLimits returns the limits for clients in the configuration in force; zero values without one.
func (g *Gateway) ClientLimits() route.Limits {
	if table := g.routes.current(); table != nil {
		return table.Limits
	}
	return route.Limits{}
}

// errRequestsEnded is why a request ends at the end of a planned stop.
var errRequestsEnded = problem.New(problem.Unavailable, "raise shutdown_s", "the node was stopped while it ran requests")

// overloadRetryAfter is when a caller may retry after the queue of the ingress pool was full or no node could be asked.
// It also stands for the service time of a backend server that has not run a request yet.
const overloadRetryAfter = 500 * time.Millisecond

// Dispatch implements node.RouterService.
func (g *Gateway) Dispatch(ctx context.Context, r routed.Request, p node.DispatchProgress) routed.Answer {
	r.Deadline = g.limitToStop(r.Deadline)
	if g.egress == nil {
		return g.execute(ctx, r, p)
	}
	return g.executePaced(ctx, r, p)
}

// Probe implements node.RouterService.
func (g *Gateway) Probe(rangesEnd int64) (string, routed.Load) {
	if _, end := g.ranges.get(g.self.Service); rangesEnd > end {
		g.needRecords(registry.RangesTopic, rangesEnd)
	}
	load := g.loadReport()
	load.Store = g.eraReport()
	return g.self.Instance, load
}

// randomIndex returns a random number from 0 to n-1.
func randomIndex(n int) int { return rand.IntN(n) }

// isNotSent reports whether err proves that a request never left the node.
func isNotSent(err error) bool { return problem.KindOf(err) == problem.NotSent }
