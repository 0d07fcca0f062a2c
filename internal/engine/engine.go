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

// Sizes of the pools that no setting names.
const (
	// appendWorkers are the appends in flight. A slow log holds them, not the replay.
	appendWorkers = 4
	appendQueue   = 256
	// controlWorkers run releases, grants and plans, which wait for peers.
	controlWorkers = 8
	controlQueue   = 256
	// forwardShare is the part of the ingress workers that one owner may hold.
	forwardShare = 4
)

// Engine is one node: it owns the shared tables and the pools whose jobs work on them.
type Engine struct {
	options Options
	deps    Dependencies
	// ctx ends when the engine is closed; calls to peers run under it.
	ctx    context.Context
	cancel context.CancelFunc

	ingressPool, ownerPool, leasePool, ledgerPool, appendPool, controlPool *worker.Pool

	ledger    *ledgerTable
	leases    *leaseTable
	handover  *handoverTable
	serving   *servingTable
	backend   *backendTable
	admission *admissionTable
	outcomes  *outcomeTable
	retries   *retries

	proposals      *proposals
	waiting        *waiting
	asking         *asking
	confirming     *asking
	releaseWaiters *releaseWaiters
	plans          *plans
	forwards       *forwards
	checkpoints    *checkpoints

	// Triggers of the control jobs.
	ownership, granting, releases, membership, planning, checkpointing, leaseStep, backendWatch, expiry,
	handovers *worker.Trigger

	// readers counts the blocking readers.
	readers  sync.WaitGroup
	logDown  atomic.Bool
	stopping atomic.Bool
}

var (
	_ caller.Service         = (*Engine)(nil)
	_ node.Service           = (*Engine)(nil)
	_ backendserver.Listener = (*Engine)(nil)
)

// New returns an engine whose pools run but that does nothing until Start.
func New(o Options, d Dependencies) *Engine {
	e := &Engine{
		options:        o,
		deps:           d,
		ingressPool:    worker.NewPool("ingress", o.Ingress.Workers, o.Ingress.Queue),
		ownerPool:      worker.NewPool("owner", o.Owner.Workers, o.Owner.Queue),
		leasePool:      worker.NewPool("lease", o.Lease.Workers, o.Lease.Queue),
		ledgerPool:     worker.NewPool("ledger", o.Ledger.Workers, o.Ledger.Queue),
		appendPool:     worker.NewPool("append", appendWorkers, appendQueue),
		controlPool:    worker.NewPool("control", controlWorkers, controlQueue),
		ledger:         newLedgerTable(),
		leases:         newLeaseTable(o.Timing),
		handover:       newHandoverTable(),
		serving:        newServingTable(),
		backend:        newBackendTable(),
		admission:      newAdmissionTable(),
		outcomes:       newOutcomeTable(o.RequestIDSkew),
		retries:        newRetries(),
		proposals:      newProposals(),
		asking:         newAsking(),
		confirming:     newAsking(),
		releaseWaiters: newReleaseWaiters(),
		plans:          newPlans(),
		forwards:       newForwards(max(1, o.Ingress.Workers/forwardShare)),
		checkpoints:    newCheckpoints(o.LogRetention),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.waiting = newWaiting(e.ingressPool)
	e.ownership = worker.NewTrigger(e.controlPool, e.stepOwnership)
	e.granting = worker.NewTrigger(e.controlPool, e.grant)
	e.releases = worker.NewTrigger(e.controlPool, e.checkReleases)
	e.membership = worker.NewTrigger(e.controlPool, e.stepMembership)
	e.planning = worker.NewTrigger(e.controlPool, e.stepPlanning)
	e.checkpointing = worker.NewTrigger(e.controlPool, e.stepCheckpoint)
	e.leaseStep = worker.NewTrigger(e.leasePool, e.stepLeases)
	e.backendWatch = worker.NewTrigger(e.controlPool, e.watchBackend)
	e.expiry = worker.NewTrigger(e.ownerPool, e.expireCalls)
	e.handovers = worker.NewTrigger(e.controlPool, e.stepHandover)
	return e
}

// Start begins to read the log. The peers may deliver messages from now on.
func (e *Engine) Start() {
	e.deps.Events.Emit(eventlog.Started)
	e.readers.Add(1)
	go e.readLog(e.ctx)
	e.membership.Fire()
}

// incarnation returns the own incarnation; zero if this node is not a member.
func (e *Engine) incarnation() ledger.Incarnation { return e.leases.incarnation() }

// backendSettings resolves the settings of a service's backend server on this node; ok is false before the first
// configuration.
func (e *Engine) backendSettings(service string) (s config.BackendSettings, ok bool) {
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		if c != nil {
			s, ok = c.ResolveBackend(service, e.options.Self.DataCentre), true
		}
	})
	return s, ok
}

// configurationChanged brings the tables in line with a new configuration.
func (e *Engine) configurationChanged() {
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
	e.retries.configure(ratios)
	if retention > 0 {
		e.outcomes.setRetention(time.Now(), retention)
	}
	e.adoptLimits()
}

// stopCheckInterval is how often a stop looks whether the last slice has moved and the last request has finished.
const stopCheckInterval = 20 * time.Millisecond

// Drain is a planned stop: all slices move to other nodes, running requests finish, and the node leaves. It waits at
// most until ctx ends and reports whether the node left with nothing running.
func (e *Engine) Drain(ctx context.Context) bool {
	e.deps.Events.Emit(eventlog.Stopping)
	e.stopping.Store(true)
	e.membership.Fire()
	e.planning.Fire()
	if address, ok := e.backend.address(); ok {
		// A backend server that does not answer is drained all the same: it gets no requests from this node.
		_ = e.deps.Backend.Drain(ctx, address)
	}
	for !e.idle() {
		if !pause(ctx, stopCheckInterval) {
			e.deps.Events.Emit(eventlog.ShutdownTimedOut)
			return false
		}
	}
	return e.leave(ctx)
}

// idle reports whether this node owns nothing, is no source of any slice, and runs nothing.
func (e *Engine) idle() bool {
	running := 0
	e.serving.with(func(t *serving.Table) { running = t.Running() })
	if running > 0 {
		return false
	}
	self := e.incarnation()
	if self == 0 {
		return true
	}
	free := false
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		free = len(s.Owned(self)) == 0 && len(sourcedFrom(s, self)) == 0
	})
	return free
}

// leave appends the leave record and waits until it is read or ctx ends. It reports whether the node left.
func (e *Engine) leave(ctx context.Context) bool {
	self := e.incarnation()
	if self == 0 {
		return true
	}
	// From now on this node renews no lease, so that its holders' claimants may count it as ended.
	e.leases.stopWitness()
	left := make(chan bool, 1)
	record := &ledger.Record{Kind: ledger.KindLeave, ID: newRecordID(), Leave: &ledger.Leave{
		Incarnation: self, AtUnixMS: time.Now().UnixMilli(),
	}}
	e.propose(&proposal{
		purpose:  purposeLeave,
		record:   record,
		outdated: func(s *ledger.State) bool { return s.Members[self] == nil },
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countOutcome(record.Kind, offset, rejection)
			left <- rejection == ledger.Accepted
		},
	})
	select {
	case ok := <-left:
		if ok {
			e.deps.Events.Emit(eventlog.Left, eventlog.Incarnation(self))
			e.leases.end()
		}
		return ok
	case <-ctx.Done():
		e.deps.Events.Emit(eventlog.ShutdownTimedOut)
		return false
	}
}

// Close ends all work at once. Requests that still run are cancelled. It returns when all workers have ended.
func (e *Engine) Close() {
	e.stopping.Store(true)
	e.cancel()
	for _, t := range []*worker.Trigger{
		e.ownership, e.granting, e.releases, e.membership, e.planning, e.checkpointing, e.leaseStep, e.backendWatch,
		e.expiry, e.handovers,
	} {
		t.Stop()
	}
	e.readers.Wait()
	for _, p := range e.pools() {
		p.Stop()
	}
	e.deps.Events.Emit(eventlog.Stopped)
}
