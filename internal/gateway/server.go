package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"heatherreel/internal/admission"
	"heatherreel/internal/contention"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyload"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// queuePerSlot bounds the requests that wait for the backend server, per slot. A longer queue would hold requests for
// longer than most deadlines.
const queuePerSlot = 6

// silence is how long a backend server without heartbeats counts as alive: three intervals of 870 ms and a late one.
const silence = 3500 * time.Millisecond

// serverTable holds what is known of the backend server beside the node. mu guards all fields; it has rank
// lockorder.Backend.
type serverTable struct {
	mu *lockorder.Mutex
	// beat is the last heartbeat of the present life; beat.Server is empty before the first.
	beat   heartbeat.Message
	beatAt keyrange.Instant
	// ended is set when this life is over.
	ended bool
	// coldUntil, and cold, the bound of requests while it is cold.
	coldUntil time.Time
	cold      *rate.Limiter
	coldRate  float64
	// drainUntil is when the backend server must get no more requests; zero while it does not drain.
	drainUntil keyrange.Instant
	// left are the backend servers that have said that they leave, by their id.
	left map[string]departure
	// granted are the ranges of the last reply, until holdEnds.
	granted  []keyrange.Range
	holdEnds keyrange.Instant
	// outstanding are the grants of all replies that may still last. A reply may reach the backend server after it has sent
	// its next heartbeat, so that a heartbeat without a range does not prove that it holds none of it.
	outstanding []outstandingGrant
	// settling are those of them that the reply before did not grant; the backend server has them from settled on.
	settling []keyrange.Range
	settled  keyrange.Instant
	// released are tokens of ranges that the backend server has freed and whose next owner does not stand in the table.
	released []heartbeat.Freed
	// version grows with each heartbeat and each grant.
	version uint64
	// changed is closed and replaced when the ranges that may be served change.
	changed chan struct{}
	queue   *admission.Queue
	meter   keyload.Meter
	// machine judges whether the machine of the backend server is slow at the moment.
	machine contention.Monitor
	// asking is set while a request asks the backend server for its figure; the last one began at askedAt.
	asking  bool
	askedAt time.Time
	// speedAsks counts the questions after the speed of the machine in this life.
	speedAsks int
	waiting   map[admission.Ticket]chan request.Reason
	limits    admission.Options
}

// departure is the acknowledged end of one life of a backend server. It binds whatever its later heartbeats say.
type departure struct {
	// at is when the node learnt of it, in Unix milliseconds: a life that began later is another one.
	at int64
	// until is when the backend server must get no more requests.
	until keyrange.Instant
	// stored is set when the member record has it, so that the next process of the node knows of it.
	stored bool
}

// outstandingGrant is a granted range that the backend server may hold until ends, unless it has told that it released it.
type outstandingGrant struct {
	keyrange.Range
	ends keyrange.Instant
}

// depart notes that a backend server leaves; the first notice counts. The caller holds mu.
func (t *serverTable) depart(server string, until keyrange.Instant, at time.Time) departure {
	d, known := t.left[server]
	if !known {
		d = departure{at: at.UnixMilli(), until: until}
		t.left[server] = d
	}
	return d
}

// inherit takes over a departure that an earlier process of the node has acknowledged.
func (t *serverTable) inherit(s registry.Server, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.ID == "" || !s.Draining || t.beat.Server == s.ID && t.beat.Born != s.Born {
		return
	}
	d := t.depart(s.ID, now, time.UnixMilli(s.Born))
	if t.beat.Server == s.ID {
		t.drainUntil = d.until
		t.beat.Draining = true
	}
}

func newServerTable() *serverTable {
	return &serverTable{mu: lockorder.New(lockorder.Backend), left: map[string]departure{}, changed: make(chan struct{}),
		queue: admission.NewQueue(admission.Options{}), waiting: map[admission.Ticket]chan request.Reason{}}
}

// record returns what the member record says of the backend server.
func (t *serverTable) record(now keyrange.Instant) registry.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.beat.Server == "" || !t.ended && now.Sub(t.beatAt) > silence {
		return registry.Server{}
	}
	// The record of an ended life stays, so that a new process of the node knows of it.
	s := registry.Server{ID: t.beat.Server, Born: t.beat.Born, Ready: !t.ended, Draining: t.beat.Draining || t.ended, Slots: t.beat.Slots}
	// Only keys are given out by speed. All nodes read each change of the record, so that those of other services do not tell it.
	if t.limits.HoldWhenSlow && t.machine.Samples() > 0 {
		s.WorkPercent = int(math.Round(t.machine.Best() * 100))
	}
	return s
}

// versionNow returns the version.
func (t *serverTable) versionNow() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// load returns the report of the backend server.
func (t *serverTable) load(now time.Time) routed.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.queue.Usage()
	return routed.Load{Known: t.beat.Server != "" && !t.ended, Running: u.Running, Waiting: u.Waiting, Slots: u.Limit,
		ServiceTime: u.ServiceTime, ColdFor: max(0, t.coldUntil.Sub(now)), KeyRate: t.meter.Rate(),
		Slowdown: t.machine.Slowdown(now)}
}

// setSlots changes the limits of the queue. The caller holds mu.
func (t *serverTable) setSlots(now time.Time, slots int, keyed bool) {
	// A request for a key has no other backend server to go to, so that it waits until the machine is fast again.
	o := admission.Options{Limit: slots, QueueLimit: slots * queuePerSlot, HoldWhenSlow: keyed}
	if o == t.limits {
		return
	}
	t.limits = o
	t.settle(t.queue.SetLimits(now, o))
}

// settle tells waiting requests what became of them. The caller holds mu.
func (t *serverTable) settle(c admission.Change) {
	for _, ticket := range c.Start {
		t.tell(ticket, "")
	}
	for _, refusal := range c.Refuse {
		t.tell(refusal.Ticket, refusal.Reason)
	}
}

func (t *serverTable) tell(ticket admission.Ticket, reason request.Reason) {
	if waiter, ok := t.waiting[ticket]; ok {
		delete(t.waiting, ticket)
		waiter <- reason
	}
}

// holds reports whether the last reply granted a key of which the grant still lasts. The caller holds mu.
func (t *serverTable) holds(key uint16, now keyrange.Instant) bool {
	covers := func(r keyrange.Range) bool { return r.Overlaps(key, key) }
	if now >= t.holdEnds || now < t.settled && slices.ContainsFunc(t.settling, covers) {
		return false
	}
	return slices.ContainsFunc(t.granted, covers)
}

// Heartbeat takes a heartbeat of the backend server and returns what it is to hold.
func (g *Gateway) Heartbeat(b heartbeat.Message) (heartbeat.Reply, error) {
	if !b.Ended && (b.Service != g.self.Service || b.Address != g.self.BackendAddress) {
		g.events.Emit(eventlog.HeartbeatRefused, eventlog.Name("server", b.Server), eventlog.Name("service", b.Service))
		return heartbeat.Reply{}, problem.New(problem.Invalid, "send heartbeats to the node beside the backend server",
			"the heartbeat names service %q at %q", b.Service, b.Address)
	}
	now := g.deps.Now()
	news, fresh := g.server.take(b, now, time.Duration(g.drainTime.Load()))
	if !fresh {
		g.events.Emit(eventlog.HeartbeatLate, eventlog.Name("server", b.Server), eventlog.Count("sequence", int(b.Sequence)))
		return heartbeat.Reply{}, nil
	}
	if news {
		g.events.Emit(eventlog.ServerStateChanged, eventlog.Name("server", b.Server), eventlog.Count("born", int(b.Born)),
			eventlog.Count("draining", boolCount(b.Draining)), eventlog.Count("ended", boolCount(b.Ended)),
			eventlog.Duration("cold", b.ColdFor))
		g.applySlots()
	}
	if news || len(b.Freed) > 0 || g.moving() {
		g.upkeep.Fire()
	}
	if b.Ended || b.Draining {
		if err := g.storeDeparture(b.Server); err != nil {
			return heartbeat.Reply{}, err
		}
	}
	g.measureSpeed()
	if !b.Ended && !b.Draining {
		g.awaitRanges(b)
	}
	return g.grant(b, now), nil
}

// departureTimeout bounds the write of a departure: a reply counts as acknowledgement for 1 s.
const departureTimeout = 800 * time.Millisecond

// storeDeparture writes the member record with the departure of a backend server, unless it is known to be stored. Without
// that the departure must not be acknowledged: the next process of the node would send requests again.
func (g *Gateway) storeDeparture(server string) error {
	own := g.ownRecord()
	g.server.mu.Lock()
	d, known := g.server.left[server]
	g.server.mu.Unlock()
	if !known || d.stored || own.Server.ID != server {
		// The record tells of the present backend server only; an earlier one gets no requests in any case.
		return nil
	}
	var err error
	if !g.members.storedAs(own) {
		var record registry.Record
		if record, err = registry.EncodeMember(own); err == nil {
			ctx, cancel := context.WithTimeout(g.ctx, departureTimeout)
			defer cancel()
			_, err = g.store.Append(ctx, registry.Members, registry.Anywhere, record)
		}
	}
	if err != nil {
		g.events.Emit(eventlog.AnnouncementFailed, eventlog.Cause(err))
		return problem.New(problem.Unavailable, "send the heartbeat again", "the departure of %s is not stored yet: %w", server, err)
	}
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	d.stored = true
	g.server.left[server] = d
	return nil
}

// replyWait is how long a reply is held back while keys are on their way to the backend server. A reply counts as
// acknowledgement for 1 s; without the wait the keys would be granted with the next heartbeat, 870 ms later.
const replyWait = 700 * time.Millisecond

// awaitRanges waits until no keys are about to become the backend server's.
func (g *Gateway) awaitRanges(b heartbeat.Message) {
	if !g.keyed() {
		return
	}
	limit := time.NewTimer(replyWait)
	defer limit.Stop()
	for {
		changed := g.ranges.change()
		table, _ := g.ranges.get(g.self.Service)
		if !table.Expects(keyrange.Owner{Instance: g.self.Instance, Server: b.Server, Born: b.Born}) {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		case <-g.ctx.Done():
			return
		}
	}
}

// take stores a heartbeat. news tells that the state or the life of the backend server changed; fresh is false for a
// heartbeat of an earlier life or one that a later one has overtaken.
func (t *serverTable) take(b heartbeat.Message, now keyrange.Instant, drainTime time.Duration) (news, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	same := b.Server == t.beat.Server && (b.Born == t.beat.Born || b.Ended)
	switch {
	case b.Ended && !same:
		// The message reaches a process that has heard no heartbeat of this life yet.
		t.depart(b.Server, now.Add(drainTime), time.Now())
		return false, true
	case b.Ended:
		if t.ended {
			return false, true
		}
		t.ended = true
		t.drainUntil = t.depart(b.Server, now.Add(drainTime), time.Now()).until
		return true, true
	case !same && t.beat.Server != "" && b.Born <= t.beat.Born, same && b.Sequence <= t.beat.Sequence:
		return false, false
	case !same:
		t.ended, t.drainUntil, t.granted, t.holdEnds, t.released, t.outstanding = false, 0, nil, 0, nil, nil
		t.cold, t.machine, t.speedAsks = nil, contention.Monitor{}, 0
		news = true
	}
	if d, leaving := t.left[b.Server]; leaving && b.Born <= d.at {
		b.Draining = true
	} else if leaving && !b.Draining {
		delete(t.left, b.Server)
	}
	news = news || b.Draining != t.beat.Draining || b.Slots != t.beat.Slots
	t.beat, t.beatAt = b, now
	t.version++
	t.drainUntil = 0
	if b.Draining {
		t.drainUntil = t.depart(b.Server, now.Add(drainTime), time.Now()).until
	}
	t.released = append(t.released, b.Freed...)
	for _, f := range b.Freed {
		t.outstanding = released(t.outstanding, f)
	}
	t.setCold(b.ColdFor)
	return news, true
}

// setCold notes how long the backend server stays cold. The caller holds mu.
func (t *serverTable) setCold(coldFor time.Duration) {
	if coldFor <= 0 {
		return
	}
	t.coldUntil = time.Now().Add(coldFor)
}

// applySlots puts the limits of the configuration and of the backend server in force.
func (g *Gateway) applySlots() {
	now := g.deps.Now()
	table := g.routes.current()
	keyed := false
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	if table != nil {
		service := table.Services[g.self.Service]
		keyed = service.Keyed
		g.server.coldRate = service.ColdRate
		// A life is cold from its start on, whatever the first heartbeats say.
		if until := time.UnixMilli(g.server.beat.Born).Add(service.ColdFor); until.After(g.server.coldUntil) {
			g.server.coldUntil = until
		}
	}
	slots := g.server.beat.Slots
	if g.server.ended && now >= g.server.drainUntil {
		slots = 0
	}
	g.server.setSlots(time.Now(), slots, keyed)
}

// moving reports whether ranges of the instance wait for their release.
func (g *Gateway) moving() bool {
	table, _ := g.ranges.get(g.self.Service)
	return len(table.Leaving(g.self.Instance)) > 0
}

// grant returns what the backend server is to hold. Nothing is granted without a lease, and nothing to a life that the
// table does not name.
func (g *Gateway) grant(b heartbeat.Message, now keyrange.Instant) heartbeat.Reply {
	table, _ := g.ranges.get(g.self.Service)
	if b.Ended || table == nil {
		return heartbeat.Reply{}
	}
	// The reply may have been held back; the hold counts from when the heartbeat came all the same.
	hold := g.ranges.hold(now)
	if hold == 0 {
		g.events.Emit(eventlog.GrantWithheld, eventlog.Name("server", b.Server))
		return heartbeat.Reply{}
	}
	ranges := g.ranges.grants(keyrange.Owner{Instance: g.self.Instance, Server: b.Server, Born: b.Born}, g.self.Service)
	if g.server.granting(ranges, keyrange.HoldEnds(now, hold), g.deps.Now()) {
		g.control.After(grantSettle, g.server.wakeWaiting)
	}
	return heartbeat.Reply{Hold: hold, Ranges: ranges}
}

// grantSettle is how long a reply takes to the backend server and into effect. A request that came before it would be
// refused as not its own.
const grantSettle = 15 * time.Millisecond

// granting notes the ranges of a reply. It reports whether some of them are new to the backend server.
func (t *serverTable) granting(ranges []keyrange.Range, ends, now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.granted
	if now >= t.holdEnds {
		held = nil
	}
	t.settling = nil
	for _, r := range ranges {
		if !slices.ContainsFunc(held, func(h keyrange.Range) bool { return h.From <= r.From && r.To <= h.To && h.Fence == r.Fence }) {
			t.settling = append(t.settling, r)
		}
	}
	t.granted, t.holdEnds, t.settled = ranges, ends, now.Add(grantSettle)
	t.noteOutstanding(ranges, ends, now)
	t.version++
	return len(t.settling) > 0
}

// noteOutstanding adds the grants of a reply to those that may last, and drops those that are over. The caller holds mu.
func (t *serverTable) noteOutstanding(ranges []keyrange.Range, ends, now keyrange.Instant) {
	t.outstanding = slices.DeleteFunc(t.outstanding, func(g outstandingGrant) bool { return g.ends <= now })
	for _, r := range ranges {
		i := slices.IndexFunc(t.outstanding, func(g outstandingGrant) bool { return g.From == r.From && g.To == r.To })
		if i < 0 {
			t.outstanding = append(t.outstanding, outstandingGrant{Range: r, ends: ends})
			continue
		}
		t.outstanding[i].ends = max(t.outstanding[i].ends, ends)
	}
}

// released returns the grants less the keys that the backend server has released.
func released(grants []outstandingGrant, f heartbeat.Freed) []outstandingGrant {
	var left []outstandingGrant
	for _, g := range grants {
		for _, r := range keyrange.Without([]keyrange.Range{g.Range}, f.From, f.To) {
			left = append(left, outstandingGrant{Range: r, ends: g.ends})
		}
	}
	return left
}

// wakeWaiting wakes the requests that wait for a key.
func (t *serverTable) wakeWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// owner returns the present life of the backend server; ok is false without one.
func (g *Gateway) owner() (o keyrange.Owner, ok bool) {
	s := g.server.record(g.deps.Now())
	return keyrange.Owner{Instance: g.self.Instance, Server: s.ID, Born: s.Born}, s.Ready
}
