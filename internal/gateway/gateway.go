// Package gateway serves the requests of routes: it finds the route, chooses a backend server, and runs the requests of
// the one beside the node.
//
// Each node takes requests of the callers on its instance and is the only one to reach the backend server there. What
// binds a backend server (its slots, draining, evacuation, the rate that it bears while cold, the keys that it holds) is
// therefore decided at its own node; ingress nodes only choose among nodes.
//
// Work runs on three pools: ingress jobs route a request and wait for its answer, backend jobs make one exchange with the
// backend server, and upkeep keeps records and ownership in step. One reader blocks in the long poll of each topic.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/relay"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/internal/telemetry"
	"heatherreel/internal/worker"
)

// Self is what a node knows of its instance.
type Self struct {
	Instance    string
	Incarnation int64
	// Address is the drpc address for other nodes.
	Address    string
	DataCentre string
	Region     string
	// Service is the service of the backend server beside the node, and BackendAddress its address.
	Service        string
	BackendAddress string
}

// Options are the settings of a gateway.
type Options struct {
	Self Self
	// IngressWorkers is the number of requests of callers that are routed at once; IngressQueue may wait.
	IngressWorkers, IngressQueue int
	// BackendWorkers is the number of exchanges with the backend server at once.
	BackendWorkers int
	Limits         Limits
}

// RetryLimits bound second sends for each service in any span of the length Window: Ratio is a share of its requests, and
// Floor a number a second.
type RetryLimits struct {
	Ratio, Floor float64
	Window       time.Duration
}

// Limits are the settings that may change while a gateway runs.
type Limits struct {
	Retry RetryLimits
	// DrainTime is how long a backend server serves after its draining was acknowledged.
	DrainTime time.Duration
}

// Apply puts limits in force.
func (g *Gateway) Apply(l Limits) {
	g.drainTime.Store(int64(l.DrainTime))
	g.members.setRetryLimits(l.Retry)
}

// Backend runs requests at the backend server beside the node.
type Backend interface {
	// Exchange sends the request once. The answer is NotRun only where that is proved.
	Exchange(ctx context.Context, e routed.Exchange) routed.Answer
	// WorkFigure asks the backend server how long work takes that starts now; see routed.Answer. It returns a
	// problem.Unavailable error if the backend server does not tell.
	WorkFigure(ctx context.Context, address, healthPath string) (float64, error)
	// DropIdle closes kept connections.
	DropIdle()
}

// Peers calls the nodes of other instances.
type Peers interface {
	Dispatch(ctx context.Context, address string, r routed.Request) (routed.Answer, error)
	// Probe asks a node for its name and load, and tells it up to where the ownership records are known here.
	Probe(ctx context.Context, address string, rangesEnd int64) (instance string, load routed.Load, err error)
	// StoreCall calls the store through another node. Errors are those of registry.Store.
	StoreCall(ctx context.Context, address string, c registry.Call) (registry.Page, error)
}

// Dependencies are what a gateway calls.
type Dependencies struct {
	Store registry.Store
	// OperatorTopic holds the records of the operators, and DecodeOperator returns what one says; ok is false for a
	// record that concerns no router.
	OperatorTopic  string
	DecodeOperator func(registry.Record) (word registry.OperatorWord, ok bool, err error)
	Peers          Peers
	Backend        Backend
	Events         *eventlog.Logger
	Metrics        *telemetry.Metrics
	Tracing        *telemetry.Tracing
	// Now reads a clock that counts the time during which the machine is suspended.
	Now func() keyrange.Instant
}

// Gateway is one node's part in serving routes.
type Gateway struct {
	options Options
	deps    Dependencies
	self    Self
	events  *eventlog.Logger

	routes  *routeTable
	members *memberTable
	// drainTime is that of the limits in force, in nanoseconds.
	drainTime atomic.Int64
	ranges    *rangeTable
	server    *serverTable

	// store is the platform's store, through other nodes while this one does not reach it.
	store *relay.Store
	// relayed counts the calls of the store that are in progress for other nodes.
	relayed atomic.Int64

	ingress *worker.Pool
	backend *worker.Pool
	control *worker.Pool
	upkeep  *worker.Trigger
	// slowness asks the backend server whether its machine is still slow.
	slowness *worker.Trigger
	// state belongs to the upkeep job.
	state upkeepState
	// watched belongs to the watch job; suspect is the instance that it wants suspected.
	watched watchState
	// movedAt belongs to the balance job; offload are the moves that it wants made.
	movedAt time.Time
	offload atomic.Pointer[[]keyMove]
	suspect atomic.Pointer[string]

	// stopping is set when the node is to end, leaving when other nodes must not choose it any more, and closed when it takes
	// no more requests for its backend server.
	stopping, leaving, closed atomic.Bool
	followers                 []*follower
	readers                   sync.WaitGroup
	stop                      context.CancelFunc
	stopTicks                 []func()
	ctx                       context.Context
	started                   time.Time
	// inProgress counts requests of callers and of other nodes.
	inProgress atomic.Int64
}

// Sizes of the control pool, whose jobs are rare.
const (
	controlWorkers = 4
	controlQueue   = 64
)

// New returns a gateway that does nothing yet.
func New(o Options, d Dependencies) *Gateway {
	g := &Gateway{options: o, deps: d, self: o.Self, events: d.Events, started: time.Now()}
	g.routes = newRouteTable()
	g.members = newMemberTable(o.Self, o.Limits.Retry)
	g.drainTime.Store(int64(o.Limits.DrainTime))
	g.ranges = newRangeTable()
	g.server = newServerTable()
	g.store = relay.New(d.Store, storeNodes{g}, d.Events)
	return g
}

// upkeepInterval is how often upkeep runs without an event. Claims and probes are counted in it.
const upkeepInterval = 250 * time.Millisecond

// Start starts the pools and the readers.
func (g *Gateway) Start() {
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.ingress = worker.NewPool("ingress", g.options.IngressWorkers, g.options.IngressQueue)
	g.backend = worker.NewPool("backend", g.options.BackendWorkers, g.options.BackendWorkers)
	g.control = worker.NewPool("control", controlWorkers, controlQueue)
	g.upkeep = worker.NewTrigger(g.control, g.runUpkeep)
	g.slowness = worker.NewTrigger(g.control, g.checkSlowness)
	g.events.Emit(eventlog.Started)
	g.followers = []*follower{
		{g: g, topic: g.deps.OperatorTopic, wait: operatorWait, rest: func() time.Duration { return 0 }, begin: g.routes.beginSnapshot, apply: g.applyOperator, synced: g.operatorSynced},
		{g: g, topic: registry.Members, wait: memberWait, rest: func() time.Duration { return memberRest }, begin: g.members.beginSnapshot, apply: g.applyMember, synced: g.membersSynced},
		{g: g, topic: registry.Ranges, wait: g.rangesWait, rest: g.rangesRest, begin: func() {}, apply: g.applyRanges, synced: g.rangesSynced},
	}
	for _, f := range g.followers {
		g.startReader(f)
	}
	g.stopTicks = []func(){
		g.control.Every(upkeepInterval, g.upkeep.Fire),
		g.control.Every(probeInterval, g.watch),
		g.control.Every(balanceInterval, g.balance),
	}
}

// startReader runs a follower until the gateway closes.
func (g *Gateway) startReader(f *follower) {
	g.readers.Add(1)
	go func() {
		defer g.readers.Done()
		f.run(g.ctx)
	}()
}

// Ready reports whether the node serves new callers.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.routes.current() != nil && g.members.known()
}

// Leave begins a planned stop: the node is no longer ready, and requests are served until callers have learnt of it. It
// returns after that time, or when ctx ends.
func (g *Gateway) Leave(ctx context.Context) {
	g.stopping.Store(true)
	g.events.Emit(eventlog.Stopping)
	g.upkeep.Fire()
	pause(ctx, leaveTime-leaveNotice)
	g.leaving.Store(true)
	g.upkeep.Fire()
	pause(ctx, leaveNotice)
	g.closed.Store(true)
}

// Finish waits until no request is in progress. It returns false if ctx ends first.
func (g *Gateway) Finish(ctx context.Context) bool {
	for g.inProgress.Load() > 0 {
		if !pause(ctx, finishPoll) {
			return false
		}
	}
	return true
}

const (
	// leaveTime is how long a stopping node still takes requests: readiness is asked once a second, and two misses count.
	leaveTime = 2500 * time.Millisecond
	// leaveNotice is how long before that other nodes learn not to choose this one, so that none of their requests meets the
	// end of the process. It is many times the way of a record through the store.
	leaveNotice = 400 * time.Millisecond
	finishPoll  = 50 * time.Millisecond
)

// pause waits for d; it returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
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

// Close ends all work.
func (g *Gateway) Close() {
	for _, stop := range g.stopTicks {
		stop()
	}
	g.stop()
	g.readers.Wait()
	g.upkeep.Stop()
	g.slowness.Stop()
	g.ingress.Stop()
	g.control.Stop()
	g.backend.Stop()
	g.events.Emit(eventlog.Stopped)
}

// Route serves a request of a caller on a worker of the ingress pool. When ctx ends, the caller has gone.
func (g *Gateway) Route(ctx context.Context, r routed.Request) routed.Answer {
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	ctx, span := g.deps.Tracing.StartHop(ctx, r.Traceparent, telemetry.HopIngress)
	defer span.End()
	result := make(chan routed.Answer, 1)
	answer := routed.Refuse(request.QueueFull, overloadRetry)
	if err := g.ingress.Submit(func() { result <- g.route(ctx, r) }); err == nil {
		answer = <-result
	}
	span.Result(answer.Outcome, answer.Reason)
	return answer
}

// overloadRetry is when a caller may return after the queue of the ingress pool was full.
const overloadRetry = 500 * time.Millisecond

// Dispatch implements node.RouterService.
func (g *Gateway) Dispatch(ctx context.Context, r routed.Request, p node.DispatchProgress) routed.Answer {
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	return g.execute(ctx, r, p)
}

// Probe implements node.RouterService.
func (g *Gateway) Probe(rangesEnd int64) (string, routed.Load) {
	if _, end := g.ranges.get(g.self.Service); rangesEnd > end {
		g.readNow(registry.Ranges)
	}
	return g.self.Instance, g.report()
}

// draw returns a random number from 0 to n-1.
func draw(n int) int { return rand.IntN(n) }

// notSent reports whether err proves that a request never left the node.
func notSent(err error) bool { return problem.KindOf(err) == problem.NotSent }
