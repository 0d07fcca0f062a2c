package gateway

import (
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"

	"heatherreel/internal/admission"
	"heatherreel/internal/callroom"
	"heatherreel/internal/capacity"
	"heatherreel/internal/contention"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyload"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// queueLimitPerSlot bounds the requests that wait for the backend server, per slot. A longer queue would hold requests
// for longer than most deadlines.
const queueLimitPerSlot = 6

// heartbeatTimeout is how long a backend server counts as alive without a heartbeat: three intervals of 870 ms and a
// late one.
const heartbeatTimeout = 3500 * time.Millisecond

// serverTracker holds the state of the local backend server: its heartbeats, queue, granted ranges and the speed of its
// machine. mu guards all fields; it has rank lockorder.Backend.
type serverTracker struct {
	mu *lockorder.Mutex
	// lastHeartbeat is the last heartbeat of the current incarnation; its Server is empty before the first one.
	lastHeartbeat   heartbeat.Message
	lastHeartbeatAt keyrange.Instant
	// ended is set when the current incarnation has ended.
	ended bool
	// startedAt is when the current incarnation started, by the steady clock: its first heartbeat follows at once.
	startedAt time.Time
	// superseded is the incarnation before the current one. rival is one that may have succeeded the current one although
	// its start time is earlier, with the first of its heartbeats that is considered.
	superseded incarnation
	rival      struct {
		incarnation
		sequence int64
		at       keyrange.Instant
	}
	// coldUntil is when the backend server stops being cold. Until then coldLimiter limits its requests to coldRate per
	// second.
	coldUntil   time.Time
	coldLimiter *rate.Limiter
	coldRate    float64
	// restartSuspected is set when nothing accepted connections at the address of the backend server, until its next
	// heartbeat. It may have started again, cold and under its former ID, which requests name.
	restartSuspected bool
	// drainUntil is when the backend server must get no more requests; zero while it does not drain.
	drainUntil keyrange.Instant
	// departures holds the departures that backend servers have announced, by server ID.
	departures map[string]departure
	// holds are the keys that were granted to the current incarnation.
	holds keyhold.Tracker
	// version grows with each heartbeat and each grant. reconcileRanges compares it to detect a grant that was made
	// while it computed the next table.
	version uint64
	// rangesChanged is closed and replaced when the ranges that may be served change.
	rangesChanged chan struct{}
	queue         *admission.Queue
	keyMeter      keyload.Meter
	// slowdownMonitor estimates whether the machine of the backend server is temporarily slow.
	slowdownMonitor contention.Monitor
	// queryingWorkFigure is set while a query for the work figure is in progress; the last query for a request began at
	// workFigureQueriedAt.
	queryingWorkFigure  bool
	workFigureQueriedAt time.Time
	// speedProbes counts the queries of measureSpeed in the current incarnation.
	speedProbes int
	waiters     map[admission.Ticket]chan request.Reason
	// calls knows the calls of the backend server, shedGate leaves it alone while it sheds all requests, and appointments
	// spreads the times at which refused callers return.
	calls        *callroom.Room
	shedGate     admission.ShedGate
	appointments admission.Appointments
	// estimator learns the concurrency limit; nil unless the node is to learn it.
	estimator    *capacity.Estimator
	queueOptions admission.Options
}

// departure is the announced end, or start of draining, of one incarnation of a backend server. It stays in force for
// that incarnation, whatever its later heartbeats say.
type departure struct {
	// startedUnixMS is the start time of the incarnation in Unix milliseconds. The departure does not apply to one that
	// started later.
	startedUnixMS int64
	// serveUntil is when the backend server must get no more requests.
	serveUntil keyrange.Instant
	// stored is set when the member record in the store shows it, so that the next process of the node knows of it.
	stored bool
}

// recordDeparture records that a backend server leaves, unless that is known already, and returns the departure. The
// caller holds mu.
func (t *serverTracker) recordDeparture(server string, serveUntil keyrange.Instant, startedUnixMS int64) departure {
	d, known := t.departures[server]
	if !known {
		d = departure{startedUnixMS: startedUnixMS, serveUntil: serveUntil}
		t.departures[server] = d
	}
	return d
}

// restoreDeparture takes over a departure that an earlier process of the node has acknowledged.
func (t *serverTracker) restoreDeparture(s registry.Server, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.ID == "" || !s.Draining || t.lastHeartbeat.Server == s.ID && t.lastHeartbeat.StartedUnixMS != s.StartedUnixMS {
		return
	}
	d := t.recordDeparture(s.ID, now, s.StartedUnixMS)
	if t.lastHeartbeat.Server == s.ID {
		t.drainUntil = d.serveUntil
		t.lastHeartbeat.Draining = true
	}
}

func newServerTracker() *serverTracker {
	return &serverTracker{mu: lockorder.New(lockorder.Backend), departures: map[string]departure{}, rangesChanged: make(chan struct{}),
		queue: admission.NewQueue(admission.Options{}), waiters: map[admission.Ticket]chan request.Reason{},
		calls: callroom.New()}
}

// registryServer returns the part of the member record that describes the backend server.
func (t *serverTracker) registryServer(now keyrange.Instant) registry.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastHeartbeat.Server == "" || !t.ended && now.Sub(t.lastHeartbeatAt) > heartbeatTimeout {
		return registry.Server{}
	}
	// The record of an incarnation that has ended stays, so that a new process of the node knows of its end.
	s := registry.Server{ID: t.lastHeartbeat.Server, StartedUnixMS: t.lastHeartbeat.StartedUnixMS, Ready: !t.ended, Draining: t.lastHeartbeat.Draining || t.ended, Slots: t.lastHeartbeat.Slots}
	// The speed is used to assign keys only. Every change of the record is read by all nodes, so that nodes of services
	// without keys do not publish it.
	if t.queueOptions.HoldWhenSlow && t.slowdownMonitor.SampleCount() > 0 {
		s.WorkPercent = int(math.Round(t.slowdownMonitor.Minimum() * 100))
	}
	return s
}

func (t *serverTracker) currentVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// load returns the load report of the backend server.
func (t *serverTracker) load(now time.Time) routed.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadLocked(now)
}

// loadLocked does the same for a caller that holds mu.
func (t *serverTracker) loadLocked(now time.Time) routed.Load {
	u := t.queue.Usage()
	l := routed.Load{Known: t.lastHeartbeat.Server != "" && !t.ended, Running: u.Running, Waiting: u.Waiting, Slots: u.Limit,
		ServiceTime: u.ServiceTime, ColdFor: max(0, t.coldUntil.Sub(now)), KeyRate: t.keyMeter.Rate(),
		Slowdown: t.slowdownMonitor.Slowdown(now)}
	if t.estimator != nil {
		l.MeasuredSlots = t.estimator.Measured()
		if measured := t.estimator.ServiceTime(); measured > 0 {
			l.ServiceTime = measured
		}
	}
	return l
}

// setQueueLimits changes the limits of the queue. The caller holds mu.
func (t *serverTracker) setQueueLimits(now time.Time, slots int, keyed bool) {
	// A request for a key has no other backend server to go to. It waits until the machine is fast again.
	o := admission.Options{Limit: slots, QueueLimit: slots * queueLimitPerSlot, HoldWhenSlow: keyed}
	o = t.learnedOptions(now, o)
	if o == t.queueOptions {
		return
	}
	t.queueOptions = o
	t.applyChange(t.queue.SetLimits(now, o))
}

// applyChange tells waiting requests what the queue decided. The caller holds mu.
func (t *serverTracker) applyChange(c admission.Change) {
	for _, ticket := range c.Start {
		t.notifyWaiter(ticket, "")
	}
	for _, refusal := range c.Refuse {
		t.notifyWaiter(refusal.Ticket, refusal.Reason)
	}
}

func (t *serverTracker) notifyWaiter(ticket admission.Ticket, reason request.Reason) {
	if waiter, ok := t.waiters[ticket]; ok {
		delete(t.waiters, ticket)
		waiter <- reason
	}
}

// Heartbeat processes a heartbeat of the local backend server and returns the ranges that it may hold.
func (g *Gateway) Heartbeat(m heartbeat.Message) (heartbeat.Reply, error) {
	if !m.Ended && (m.Service != g.self.Service || m.Address != g.self.BackendAddress) {
		g.events.Emit(eventlog.HeartbeatRefused, eventlog.Name("server", m.Server), eventlog.Name("service", m.Service))
		return heartbeat.Reply{}, problem.New(problem.Invalid, "send heartbeats to the node beside the backend server",
			"the heartbeat names service %q at %q", m.Service, m.Address)
	}
	// Backend servers that are granted keys by calls do not report them in heartbeats.
	if !g.grantsByCalls() && m.LacksKeys(g.serviceKeyed(), g.server.keysReported()) {
		g.events.Emit(eventlog.HeartbeatRefused, eventlog.Name("server", m.Server), eventlog.Name("service", m.Service))
		return heartbeat.Reply{}, problem.New(problem.Invalid, "correct the heartbeat of the backend server",
			"the heartbeat does not report the keys that the backend server holds and has released")
	}
	now := g.deps.Now()
	changed, accepted := g.server.applyHeartbeat(m, now, time.Duration(g.drainTime.Load()))
	if !accepted {
		g.events.Emit(eventlog.HeartbeatLate, eventlog.Name("server", m.Server), eventlog.Count("sequence", int(m.Sequence)))
		return heartbeat.Reply{}, nil
	}
	if changed {
		g.events.Emit(eventlog.ServerStateChanged, eventlog.Name("server", m.Server), eventlog.Count("born", int(m.StartedUnixMS)),
			eventlog.Count("draining", boolCount(m.Draining)), eventlog.Count("ended", boolCount(m.Ended)),
			eventlog.Duration("cold", m.ColdFor))
		g.applyServiceLimits()
	}
	if changed || len(m.Freed) > 0 || g.hasOutgoingRanges() {
		g.reconcileTrigger.Fire()
	}
	if m.Ended || m.Draining {
		if err := g.storeDeparture(m.Server); err != nil {
			return heartbeat.Reply{}, err
		}
	}
	g.measureSpeed()
	return g.grantOnHeartbeat(m, now), nil
}

// keysReported reports whether the last heartbeat reported keys. Once one has, all accepted ones do.
func (t *serverTracker) keysReported() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastHeartbeat.KeysReported
}

// departureTimeout bounds the write of a departure: a reply counts as acknowledgement only within 1 s.
const departureTimeout = 800 * time.Millisecond

// storeDeparture writes the member record with the departure of a backend server, unless it is known to be stored. The
// departure must not be acknowledged before: the next process of the node would send requests to the backend server
// again.
func (g *Gateway) storeDeparture(server string) error {
	era, member := g.era.current.Load(), g.ownRecord()
	g.server.mu.Lock()
	d, known := g.server.departures[server]
	g.server.mu.Unlock()
	if !known || d.stored || member.Server.ID != server {
		// The record describes the current backend server only; an earlier one gets no requests in any case.
		return nil
	}
	var err error
	if !g.members.storedAs(member) {
		var record registry.Record
		if record, err = registry.EncodeMember(member); err == nil {
			ctx, cancel := context.WithTimeout(g.ctx, departureTimeout)
			defer cancel()
			_, err = g.appendInEra(ctx, era, registry.MembersTopic, registry.AnyOffset, record)
		}
	}
	if err != nil {
		g.events.Emit(eventlog.AnnouncementFailed, eventlog.Cause(err))
		return problem.New(problem.Unavailable, "send the heartbeat again", "the departure of %s is not stored yet: %w", server, err)
	}
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	d.stored = true
	g.server.departures[server] = d
	return nil
}

// applyHeartbeat records a heartbeat. changed reports whether the state or the incarnation of the backend server
// changed; accepted is false for a heartbeat of an earlier incarnation and for one that arrives after a later one.
func (t *serverTracker) applyHeartbeat(m heartbeat.Message, now keyrange.Instant, drainTime time.Duration) (changed, accepted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameIncarnation := m.Server == t.lastHeartbeat.Server && (m.StartedUnixMS == t.lastHeartbeat.StartedUnixMS || m.Ended)
	switch {
	case m.Ended && !sameIncarnation:
		// This process has had no heartbeat of the incarnation that ends. Without a start time it is one that has started by
		// now.
		started := m.StartedUnixMS
		if started == 0 {
			started = time.Now().UnixMilli()
		}
		t.recordDeparture(m.Server, now.Add(drainTime), started)
		return false, true
	case m.Ended:
		if t.ended {
			return false, true
		}
		t.ended = true
		t.drainUntil = t.recordDeparture(m.Server, now.Add(drainTime), t.lastHeartbeat.StartedUnixMS).serveUntil
		return true, true
	case sameIncarnation && m.Sequence <= t.lastHeartbeat.Sequence:
		return false, false
	case !sameIncarnation && t.lastHeartbeat.Server != "" && !t.isFromSuccessor(m, now):
		return false, false
	case !sameIncarnation:
		t.ended, t.drainUntil = false, 0
		t.startedAt = time.Now()
		if t.lastHeartbeat.Server != "" {
			t.holds.Reset()
			t.superseded = incarnation{t.lastHeartbeat.Server, t.lastHeartbeat.StartedUnixMS}
		} else if age := time.Since(time.UnixMilli(m.StartedUnixMS)); age > 0 {
			// A new process of the node does not know how long the backend server has run.
			t.startedAt = t.startedAt.Add(-age)
		}
		t.coldLimiter, t.slowdownMonitor, t.speedProbes = nil, contention.Monitor{}, 0
		if t.estimator != nil {
			t.estimator.Reset()
		}
		changed = true
	}
	if d, leaving := t.departures[m.Server]; leaving && m.StartedUnixMS <= d.startedUnixMS {
		m.Draining = true
	} else if leaving && !m.Draining {
		delete(t.departures, m.Server)
	}
	changed = changed || m.Draining != t.lastHeartbeat.Draining || m.Slots != t.lastHeartbeat.Slots
	t.lastHeartbeat, t.lastHeartbeatAt, t.restartSuspected = m, now, false
	t.version++
	t.drainUntil = 0
	if m.Draining {
		t.drainUntil = t.recordDeparture(m.Server, now.Add(drainTime), m.StartedUnixMS).serveUntil
	}
	t.holds.Heartbeat(now)
	for _, f := range m.Freed {
		t.holds.Freed(f)
	}
	t.setCold(m.ColdFor)
	return changed, true
}

// incarnation identifies one incarnation of a backend server.
type incarnation struct {
	server        string
	startedUnixMS int64
}

// successorInterval is the least time between two heartbeats that show that an incarnation with an earlier start time has
// succeeded the present one.
const successorInterval = 500 * time.Millisecond

// isFromSuccessor reports whether a heartbeat is of a later incarnation than the last one. Usually its start time is later. After
// the time of day jumped back it need not be: then the present incarnation sends no heartbeats any more, and the other one
// sends several. Single heartbeats of an earlier incarnation may arrive late. The caller holds mu.
func (t *serverTracker) isFromSuccessor(m heartbeat.Message, now keyrange.Instant) bool {
	sender := incarnation{m.Server, m.StartedUnixMS}
	if sender != t.superseded && m.StartedUnixMS > t.lastHeartbeat.StartedUnixMS {
		return true
	}
	if now.Sub(t.lastHeartbeatAt) <= heartbeatTimeout {
		return false
	}
	if sender != t.rival.incarnation || m.Sequence <= t.rival.sequence || t.rival.at <= t.lastHeartbeatAt {
		t.rival.incarnation, t.rival.sequence, t.rival.at = sender, m.Sequence, now
		return false
	}
	return now.Sub(t.rival.at) >= successorInterval
}

// setCold records for how long the backend server stays cold. The caller holds mu.
func (t *serverTracker) setCold(coldFor time.Duration) {
	if coldFor <= 0 {
		return
	}
	t.coldUntil = time.Now().Add(coldFor)
}

// applyServiceLimits applies the limits of the configuration and the slots of the backend server.
func (g *Gateway) applyServiceLimits() {
	now := g.deps.Now()
	table := g.routes.current()
	keyed := false
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	if table != nil {
		service := table.Services[g.self.Service]
		keyed = service.Keyed
		g.server.coldRate = service.ColdRate
		// A backend server is cold from its start on, whatever its first heartbeats say.
		if until := g.server.startedAt.Add(service.ColdFor); until.After(g.server.coldUntil) {
			g.server.coldUntil = until
		}
	}
	slots := g.server.lastHeartbeat.Slots
	if g.server.ended && now >= g.server.drainUntil {
		slots = 0
	}
	g.server.setQueueLimits(time.Now(), slots, keyed)
}

// hasOutgoingRanges reports whether ranges are moving away from the instance and wait for their release.
func (g *Gateway) hasOutgoingRanges() bool {
	table, _ := g.ranges.get(g.self.Service)
	return len(table.Outgoing(g.self.Instance)) > 0
}

// wakeKeyWaiters wakes the requests that wait for a key.
func (t *serverTracker) wakeKeyWaiters() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.rangesChanged)
	t.rangesChanged = make(chan struct{})
}

// localOwner returns the current incarnation of the local backend server; ok is false if it cannot be granted keys.
func (g *Gateway) localOwner() (o keyrange.Owner, ok bool) {
	now := g.deps.Now()
	s := g.server.registryServer(now)
	return keyrange.Owner{Instance: g.self.Instance, Server: s.ID, StartedUnixMS: s.StartedUnixMS}, s.Ready || g.grantsByCalls() && g.server.servesAfterEnd(now)
}

// servesAfterEnd reports whether the backend server has announced its end and still serves. Calls reach it then.
func (t *serverTracker) servesAfterEnd(now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended && now < t.drainUntil
}
