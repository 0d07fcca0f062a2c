package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/caller"
	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/serving"
	"heatherreel/internal/worker"
)

// Sizes of the worker pools that are not configurable.
const (
	// appendWorkers is the maximum number of concurrent appends. A slow log blocks these workers, not the replay.
	appendWorkers = 4
	// appendQueue is the maximum number of queued appends.
	appendQueue = 256
	// controlWorkers run releases, grants and plans, which wait for peers.
	controlWorkers = 8
	// controlQueue is the maximum number of queued control jobs.
	controlQueue = 256
	// forwardShareDivisor limits the forwards to one owner to this fraction of the ingress workers: one in four.
	forwardShareDivisor = 4
)

// Engine is one node: it owns the shared tables and the pools whose jobs work on them.
type Engine struct {
	options Options
	deps    Dependencies
	// ctx ends when the engine is closed; calls to peers use it.
	ctx    context.Context
	cancel context.CancelFunc

	ingressPool, ownerPool, leasePool, ledgerPool, appendPool, controlPool *worker.Pool

	ledger       *ledgerTable
	leases       *leaseTable
	handover     *handoverTable
	serving      *servingTable
	backend      *backendTable
	admission    *admissionTable
	outcomes     *outcomeTable
	retryBudgets *retryBudgets

	proposals            *proposals
	waitingJobs          *waitingJobs
	releaseRequests      *releaseRequests
	confirmationRequests *releaseRequests
	releaseWaiters       *releaseWaiters
	pendingPlans         *pendingPlans
	forwardLimiter       *forwardLimiter
	checkpointSchedule   *checkpointSchedule

	// Triggers of the recurring jobs.
	ownershipTrigger, grantTrigger, releaseTrigger, membershipTrigger, planningTrigger, checkpointTrigger, leaseTrigger,
	backendTrigger, expiryTrigger, handoverTrigger *worker.Trigger

	// readers counts the goroutines that block on reading the log.
	readers        sync.WaitGroup
	logUnreachable atomic.Bool
	stopping       atomic.Bool
	// requestsEnded is closed when all requests in progress are to be answered at once.
	requestsEnded   chan struct{}
	endRequestsOnce sync.Once
}

var (
	_ caller.RequestHandler             = (*Engine)(nil)
	_ node.Service                      = (*Engine)(nil)
	_ backendserver.AnnouncementHandler = (*Engine)(nil)
)

// New returns an engine whose worker pools are running. It does nothing else until Start.
func New(o Options, d Dependencies) *Engine {
	e := &Engine{
		options:              o,
		deps:                 d,
		ingressPool:          worker.NewPool("ingress", o.Ingress.Workers, o.Ingress.Queue),
		ownerPool:            worker.NewPool("owner", o.Owner.Workers, o.Owner.Queue),
		leasePool:            worker.NewPool("lease", o.Lease.Workers, o.Lease.Queue),
		ledgerPool:           worker.NewPool("ledger", o.Ledger.Workers, o.Ledger.Queue),
		appendPool:           worker.NewPool("append", appendWorkers, appendQueue),
		controlPool:          worker.NewPool("control", controlWorkers, controlQueue),
		ledger:               newLedgerTable(),
		leases:               newLeaseTable(o.Timing),
		handover:             newHandoverTable(),
		serving:              newServingTable(),
		backend:              newBackendTable(),
		admission:            newAdmissionTable(),
		outcomes:             newOutcomeTable(o.RequestIDSkew),
		retryBudgets:         newRetryBudgets(),
		proposals:            newProposals(),
		releaseRequests:      newReleaseRequests(),
		confirmationRequests: newReleaseRequests(),
		releaseWaiters:       newReleaseWaiters(),
		pendingPlans:         newPendingPlans(),
		forwardLimiter:       newForwardLimiter(max(1, o.Ingress.Workers/forwardShareDivisor)),
		checkpointSchedule:   newCheckpointSchedule(o.LogRetention),
		requestsEnded:        make(chan struct{}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.waitingJobs = newWaitingJobs(e.ingressPool)
	e.ownershipTrigger = worker.NewTrigger(e.controlPool, e.stepOwnership)
	e.grantTrigger = worker.NewTrigger(e.controlPool, e.grantSlices)
	e.releaseTrigger = worker.NewTrigger(e.controlPool, e.wakeReleaseWaiters)
	e.membershipTrigger = worker.NewTrigger(e.controlPool, e.stepMembership)
	e.planningTrigger = worker.NewTrigger(e.controlPool, e.stepPlanning)
	e.checkpointTrigger = worker.NewTrigger(e.controlPool, e.stepCheckpoint)
	e.leaseTrigger = worker.NewTrigger(e.leasePool, e.stepLeases)
	e.backendTrigger = worker.NewTrigger(e.controlPool, e.checkBackendSilence)
	e.expiryTrigger = worker.NewTrigger(e.ownerPool, e.expireQueuedCalls)
	e.handoverTrigger = worker.NewTrigger(e.controlPool, e.stepHandover)
	return e
}

// Start begins to read the log. From now on peers may deliver messages.
func (e *Engine) Start() {
	e.deps.Events.Emit(eventlog.Started)
	e.readers.Add(1)
	go e.readLog(e.ctx)
	e.membershipTrigger.Fire()
}

// incarnation returns the incarnation of this node; zero if it is not a member.
func (e *Engine) incarnation() ledger.Incarnation { return e.leases.incarnation() }

// backendSettings returns the settings for the backend server of a service in this node's data centre; ok is false
// before the first configuration.
func (e *Engine) backendSettings(service string) (s config.BackendSettings, ok bool) {
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		if c != nil {
			s, ok = c.ResolveBackend(service, e.options.Self.DataCentre), true
		}
	})
	return s, ok
}

// applyServiceSettings updates the tables that depend on the settings of the services.
func (e *Engine) applyServiceSettings() {
	ratios := map[string]float64{}
	var services []string
	var retention time.Duration
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		services = c.Services()
		for _, service := range services {
			settings := c.Resolve(config.Subject{Service: service, DataCentre: e.options.Self.DataCentre})
			ratios[service] = settings.RetryRatio
			retention = max(retention, settings.OutcomeRetention)
		}
	})
	e.deps.Metrics.SetServices(services)
	e.retryBudgets.setRatios(ratios)
	if retention > 0 {
		e.outcomes.setRetention(time.Now(), retention)
	}
	e.applyBackendLimits()
}

// stopCheckInterval is how often Drain checks whether the last slice has moved and the last request has finished.
const stopCheckInterval = 20 * time.Millisecond

// Drain is a planned stop: all slices move to other nodes, running requests finish, and the node leaves. It waits until
// ctx ends at the latest, and reports whether the node left with nothing running.
func (e *Engine) Drain(ctx context.Context) bool {
	e.deps.Events.Emit(eventlog.Stopping)
	e.stopping.Store(true)
	e.membershipTrigger.Fire()
	e.planningTrigger.Fire()
	e.drainBackend(ctx)
	for !e.idle() {
		if !sleep(ctx, stopCheckInterval) {
			e.deps.Events.Emit(eventlog.ShutdownTimedOut)
			return false
		}
	}
	return e.leave(ctx)
}

// drainTimeout is the time that the backend server has to confirm that this node stops. It runs on the same instance.
const drainTimeout = time.Second

// drainBackend tells the backend server that this node stops. One that does not answer is drained all the same, because
// this node sends it no more requests.
func (e *Engine) drainBackend(ctx context.Context) {
	address, ok := e.backend.address()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := e.deps.Backend.Drain(ctx, address); err != nil {
		e.deps.Events.Emit(eventlog.BackendDrainUnanswered, eventlog.Cause(err))
	}
}

// idle reports whether this node owns no slice, is not a source of any slice, and runs no request.
func (e *Engine) idle() bool {
	running := 0
	e.serving.withLock(func(t *serving.Table) { running = t.Running() })
	if running > 0 {
		return false
	}
	self := e.incarnation()
	if self == 0 {
		return true
	}
	ownsNothing := false
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		ownsNothing = len(s.Owned(self)) == 0 && len(slicesWithSource(s, self)) == 0
	})
	return ownsNothing
}

// leave appends the leave record and waits until it is replayed or ctx ends. It reports whether the node left.
func (e *Engine) leave(ctx context.Context) bool {
	self := e.incarnation()
	if self == 0 {
		return true
	}
	// From now on this node grants no renewals as a witness, so that claimants may count it as ended.
	e.leases.stopWitness()
	accepted := make(chan bool, 1)
	record := &ledger.Record{Kind: ledger.KindLeave, ID: newRecordID(), Leave: &ledger.Leave{
		Incarnation: self, AtUnixMS: time.Now().UnixMilli(),
	}}
	e.propose(&proposal{
		purpose:  purposeLeave,
		record:   record,
		outdated: func(s *ledger.State) bool { return s.Members[self] == nil },
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countRecordOutcome(record.Kind, offset, rejection)
			accepted <- rejection == ledger.Accepted
		},
	})
	select {
	case ok := <-accepted:
		if ok {
			e.deps.Events.Emit(eventlog.Left, eventlog.Incarnation(self))
			e.leases.endIncarnation()
		}
		return ok
	case <-ctx.Done():
		e.deps.Events.Emit(eventlog.ShutdownTimedOut)
		return false
	}
}

// EndRequests answers all requests in progress at once, as the process is about to end: as not run where that is certain,
// otherwise with an unknown outcome. Later requests are answered in the same way.
func (e *Engine) EndRequests() {
	e.endRequestsOnce.Do(func() { close(e.requestsEnded) })
}

// Close stops all work immediately. Running requests are canceled. It returns when all workers have ended.
func (e *Engine) Close() {
	e.stopping.Store(true)
	e.EndRequests()
	e.cancel()
	for _, t := range []*worker.Trigger{
		e.ownershipTrigger, e.grantTrigger, e.releaseTrigger, e.membershipTrigger, e.planningTrigger,
		e.checkpointTrigger, e.leaseTrigger, e.backendTrigger, e.expiryTrigger, e.handoverTrigger,
	} {
		t.Stop()
	}
	e.readers.Wait()
	for _, p := range e.pools() {
		p.Stop()
	}
	e.deps.Events.Emit(eventlog.Stopped)
}
