package lease_test

import (
	"slices"
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
)

// Intervals of the simulated node.
const (
	// tickInterval is the longest time between two ticks.
	tickInterval = 40 * time.Millisecond
	// retryInterval is the time after which an append without a known outcome is repeated.
	retryInterval = 400 * time.Millisecond
	// maintenanceInterval is the time between two looks at the own witness set.
	maintenanceInterval = 500 * time.Millisecond
	// emptySetStays is the mean number of looks for which an empty set is kept, so that renewals through the log occur.
	emptySetStays = 20
)

// pendingAppend is a record whose outcome the process has not read.
type pendingAppend struct {
	entry entry
	sent  time.Time
}

// claim is a claim of a process, with the end record once it is satisfied.
type claim struct {
	claimant *lease.Claimant
	end      *pendingAppend
}

// process is one simulated node. It plays the part of the engine: it feeds the decision types and carries out what
// they decide.
type process struct {
	fleet       *fleet
	machine     *machine
	state       *ledger.State
	incarnation ledger.Incarnation
	joinID      string
	joinSent    time.Time
	lastJoin    time.Time
	holder      *lease.Holder
	witness     *lease.Witness
	claims      []*claim
	changes     []*pendingAppend
	wish        []ledger.Incarnation
	ended       map[ledger.Incarnation]lease.Ended
	endedHome   map[ledger.Incarnation]string
	newest      map[string]ledger.Incarnation
	setRead     map[ledger.Incarnation]time.Time
	owned       []uint32
	others      []ledger.Incarnation
	maintained  time.Time
	assigned    time.Time
}

func newProcess(f *fleet, m *machine) *process {
	p := &process{
		fleet: f, machine: m, state: ledger.NewState(),
		ended:     map[ledger.Incarnation]lease.Ended{},
		endedHome: map[ledger.Incarnation]string{},
		newest:    map[string]ledger.Incarnation{},
		setRead:   map[ledger.Incarnation]time.Time{},
	}
	m.process = p
	return p
}

// start begins the timers of the process.
func (p *process) start() {
	p.fleet.onProcess(p, time.Duration(p.fleet.random.IntN(int(tickInterval))), p.tick)
	p.fleet.onProcess(p, time.Duration(p.fleet.random.IntN(int(tickInterval))), p.poll)
}

// clock reads the machine's clock.
func (p *process) clock() time.Time {
	return p.machine.clockStart.Add(time.Duration(float64(p.fleet.now) * p.machine.clockRate))
}

// poll reads the log if it is reachable, sometimes not up to its end.
func (p *process) poll() {
	f := p.fleet
	if f.logReachable(p.machine) && f.now >= p.machine.readCutUntil {
		p.read(len(f.log))
	}
	next := time.Duration(1+f.random.IntN(40)) * time.Millisecond
	if !f.healed && f.random.IntN(30) == 0 {
		next = time.Duration(f.random.IntN(1200)) * time.Millisecond
	}
	f.onProcess(p, next, p.poll)
}

// read replays the log up to an offset.
func (p *process) read(until int) {
	if int(p.state.Offset) >= until {
		return
	}
	for p.machine.process == p && int(p.state.Offset) < until {
		offset := p.state.Offset + 1
		e := p.fleet.log[offset-1]
		if p.state.Apply(offset, e.record) == ledger.Accepted {
			p.observe(offset, e)
		} else {
			p.observeRejected(e.record)
		}
	}
	p.refresh()
}

// refresh recomputes what depends on the replayed state alone.
func (p *process) refresh() {
	p.others = p.others[:0]
	for i, m := range p.state.Members {
		if i != p.incarnation && m.Instance != p.machine.name {
			p.others = append(p.others, i)
		}
	}
	slices.Sort(p.others)
	p.owned = p.owned[:0]
	for _, s := range p.state.Owned(p.incarnation) {
		if p.incarnation != 0 {
			p.owned = append(p.owned, s.Slice.Index)
		}
	}
}

// observe tells the decision types of a record that took effect.
func (p *process) observe(offset ledger.Offset, e entry) {
	switch r := e.record; r.Kind {
	case ledger.KindJoin:
		p.observeJoin(ledger.Incarnation(offset), r)
	case ledger.KindWitnesses:
		p.observeSet(r.Witnesses.Incarnation, r.ID)
	case ledger.KindRenewed:
		p.observeSet(r.Renewed.Incarnation, r.ID)
	case ledger.KindEnd:
		p.observeEnd(r.End.Incarnation, e.direct)
	}
}

func (p *process) observeJoin(incarnation ledger.Incarnation, r *ledger.Record) {
	if r.ID == p.joinID {
		p.incarnation = incarnation
		p.holder = lease.NewHolder(p.fleet.parameters, incarnation, p.state.Members[incarnation].WitnessSet, p.joinSent)
		p.witness = lease.NewWitness(p.fleet.parameters, incarnation)
	}
	p.newest[r.Join.Instance] = incarnation
	for old, instance := range p.endedHome {
		// A process that joined on the instance shows that the one before it no longer answers.
		if instance == r.Join.Instance && !p.ended[old].Direct {
			p.learnEnd(old, lease.Ended{Read: p.clock(), Direct: true})
		}
	}
	p.observeSet(incarnation, r.ID)
}

func (p *process) observeSet(holder ledger.Incarnation, recordID string) {
	set := p.state.Members[holder].WitnessSet
	p.setRead[holder] = p.clock()
	for _, c := range p.claims {
		if c.claimant.Holder() == holder {
			c.claimant.SetRead(set.Version)
		}
	}
	if p.holder == nil {
		return
	}
	p.witness.Learn(holder, set, p.clock())
	if holder == p.incarnation {
		p.holder.SetRead(recordID, set)
		p.changes = nil
	}
}

func (p *process) observeEnd(ended ledger.Incarnation, direct bool) {
	instance := p.fleet.home[ended].name
	p.endedHome[ended] = instance
	direct = direct || p.newest[instance] > ended || p.fleet.slips.countIndirectEnds
	p.learnEnd(ended, lease.Ended{Read: p.clock(), Direct: direct})
	for _, c := range p.claims {
		if c.claimant.Holder() == ended {
			c.claimant.HolderEnded()
		}
	}
	if p.holder == nil {
		return
	}
	p.witness.Forget(ended)
	if ended == p.incarnation {
		p.holder.End()
		p.rejoin()
	}
}

func (p *process) learnEnd(ended ledger.Incarnation, e lease.Ended) {
	p.ended[ended] = e
	for _, c := range p.claims {
		c.claimant.WitnessEnded(ended, e)
	}
}

// rejoin continues as a new process on the machine, which has yet to join.
func (p *process) rejoin() {
	next := newProcess(p.fleet, p.machine)
	next.start()
}

func (p *process) observeRejected(r *ledger.Record) {
	switch {
	case r.Kind == ledger.KindJoin && r.ID == p.joinID && p.holder == nil:
		p.joinID = ""
	case r.Kind == ledger.KindWitnesses && r.Witnesses.Incarnation == p.incarnation && p.holder != nil,
		r.Kind == ledger.KindRenewed && r.Renewed.Incarnation == p.incarnation && p.holder != nil:
		p.holder.Void(r.ID)
		p.changes = slices.DeleteFunc(p.changes, func(c *pendingAppend) bool { return c.entry.record.ID == r.ID })
	}
}

// tick does what is due.
func (p *process) tick() {
	now := p.clock()
	if p.holder == nil {
		p.join(now)
	} else {
		p.sendRenewals(now)
		p.workOnClaims()
		p.maintain(now)
		p.assign(now)
	}
	next := time.Duration(1 + p.fleet.random.IntN(int(tickInterval)))
	p.wakeForClaims(now, next)
	p.fleet.onProcess(p, next, p.tick)
}

// wakeForClaims runs claims at the moment they can make progress if that comes before the next tick. Claims that
// always came some milliseconds late would hide errors of the order of the clock drift.
func (p *process) wakeForClaims(now time.Time, next time.Duration) {
	if p.holder == nil {
		return
	}
	times := []time.Time{p.witness.NextOverdue()}
	for _, c := range p.claims {
		times = append(times, c.claimant.NextCheck(now))
	}
	for _, at := range times {
		if wait := at.Sub(now); wait > 0 && wait < next {
			p.fleet.onProcess(p, p.realTime(wait), p.workOnClaims)
		}
	}
}

func (p *process) workOnClaims() {
	if p.holder == nil {
		return
	}
	p.startClaims(p.clock())
	p.runClaims(p.clock())
}

// realTime returns the real time in which the machine's clock advances by d, rounded up.
func (p *process) realTime(d time.Duration) time.Duration {
	return time.Duration(float64(d)/p.machine.clockRate) + 2
}

// join appends the join record, and again until it is read.
func (p *process) join(now time.Time) {
	if now.Sub(p.lastJoin) < retryInterval || int(p.state.Offset) == 0 {
		return
	}
	p.lastJoin = now
	if p.joinID == "" {
		p.joinID, p.joinSent = p.fleet.newID("join"), now
	}
	set := p.draw(nil, p.living())
	p.fleet.appendRecord(p.machine, entry{record: joinRecord(p.joinID, p.machine.name, set)})
}

// living returns the other living members in order, except earlier incarnations on this machine.
func (p *process) living() []ledger.Incarnation { return slices.Clone(p.others) }

// draw fills a witness set up to three from random candidates.
func (p *process) draw(set, candidates []ledger.Incarnation) []ledger.Incarnation {
	set, candidates = slices.Clone(set), slices.Clone(candidates)
	p.fleet.random.Shuffle(len(candidates), func(a, b int) {
		candidates[a], candidates[b] = candidates[b], candidates[a]
	})
	for _, c := range candidates {
		if len(set) < 3 && !slices.Contains(set, c) {
			set = append(set, c)
		}
	}
	return set
}

func (p *process) sendRenewals(now time.Time) {
	for _, r := range p.holder.AppendRenewals(nil, now) {
		p.fleet.send(p.machine, r.Witness, func(w *process) { w.onRenewal(p.machine, r) })
	}
}

func (p *process) onRenewal(from *machine, r lease.Renewal) {
	if p.holder == nil {
		return
	}
	now := p.clock()
	a := p.witness.Renew(r, p.holder.FirstLevel(now), now)
	p.fleet.send(p.machine, r.Holder, func(h *process) { h.onRenewalAnswer(a) })
}

func (p *process) onRenewalAnswer(a lease.RenewalAnswer) {
	if p.holder == nil {
		return
	}
	if p.fleet.slips.ownUnmarked {
		a.Marked = !a.Refused
	}
	if p.fleet.slips.countFromReceipt {
		p.holder.SetSendTime(a.Witness, a.Sequence, p.clock())
	}
	p.holder.Answer(a)
}

// claimFor returns the open claim against the holder, or nil.
func (p *process) claimFor(holder ledger.Incarnation) *claim {
	for _, c := range p.claims {
		if c.claimant.Holder() == holder {
			return c
		}
	}
	return nil
}

// startClaims starts claims as a witness, as any member against a holder without witnesses, and as an outside member.
func (p *process) startClaims(now time.Time) {
	for _, o := range p.witness.AppendOverdue(nil, now) {
		p.startClaim(o.Holder)
	}
	for _, holder := range p.others {
		if at, may := p.outsideClaimAt(holder); may && !now.Before(at) {
			p.startClaim(holder)
		}
	}
}

// outsideClaimAt returns when a member that need not be a witness may claim the holder.
func (p *process) outsideClaimAt(holder ledger.Incarnation) (time.Time, bool) {
	set := p.state.Members[holder].WitnessSet
	if len(set.Members) == 0 {
		return p.setRead[holder].Add(p.fleet.parameters.Timing().LogLeaseTime), true
	}
	for _, m := range set.Members {
		if e, ended := p.ended[m]; ended {
			return p.fleet.parameters.OutsideClaimAt(e.Read, p.machine.index), true
		}
	}
	return time.Time{}, false
}

func (p *process) startClaim(holder ledger.Incarnation) {
	member := p.state.Members[holder]
	if member == nil || p.claimFor(holder) != nil {
		return
	}
	c := lease.NewClaimant(p.fleet.parameters, p.incarnation, holder, member.WitnessSet, p.setRead[holder])
	for _, m := range member.WitnessSet.Members {
		if e, ended := p.ended[m]; ended {
			c.WitnessEnded(m, e)
		}
	}
	p.claims = append(p.claims, &claim{claimant: c})
}

func (p *process) runClaims(now time.Time) {
	for _, c := range p.claims {
		for _, r := range c.claimant.AppendRequests(nil, now) {
			p.requestPromise(r)
		}
		if c.claimant.Status(now) == lease.ClaimSatisfied {
			p.appendEnd(c, now)
		}
	}
	p.claims = slices.DeleteFunc(p.claims, func(c *claim) bool {
		return c.claimant.Status(now) == lease.ClaimAbandoned
	})
}

func (p *process) requestPromise(r lease.PromiseRequest) {
	if r.Witness == p.incarnation {
		p.onPromiseAnswer(p.promise(r))
		return
	}
	p.fleet.send(p.machine, r.Witness, func(w *process) {
		if w.holder == nil {
			return
		}
		a := w.promise(r)
		w.fleet.send(w.machine, r.Claimant, func(c *process) {
			c.onPromiseAnswer(a)
			c.workOnClaims()
		})
	})
}

func (p *process) promise(r lease.PromiseRequest) lease.PromiseAnswer {
	now := p.clock()
	if p.fleet.slips.promiseWithoutWait {
		now = now.Add(time.Minute)
	}
	a := p.witness.Promise(r, now)
	if a.Granted {
		p.fleet.stats.promises++
	}
	if p.fleet.slips.renewAfterPromise {
		p.witness.ClearPromise(r.Holder)
	}
	return a
}

func (p *process) onPromiseAnswer(a lease.PromiseAnswer) {
	if c := p.claimFor(a.Holder); c != nil {
		c.claimant.Answer(a, p.clock())
	}
}

// appendEnd appends the end of a claimed holder, and again until it is read.
func (p *process) appendEnd(c *claim, now time.Time) {
	if c.end != nil && now.Sub(c.end.sent) < retryInterval {
		return
	}
	holder := c.claimant.Holder()
	end := &ledger.End{Incarnation: holder, SetVersion: c.claimant.SetVersion(), Claimant: p.incarnation}
	successors := slices.DeleteFunc(append(p.living(), p.incarnation), func(i ledger.Incarnation) bool { return i == holder })
	for _, s := range p.state.Owned(holder) {
		owner := successors[p.fleet.random.IntN(len(successors))]
		end.Successors = append(end.Successors, ledger.Successor{Slice: s.Slice, Owner: owner})
	}
	e := entry{
		record: &ledger.Record{Kind: ledger.KindEnd, ID: p.fleet.newID("end"), End: end},
		direct: c.claimant.Direct(),
	}
	c.end = &pendingAppend{entry: e, sent: now}
	p.fleet.appendRecord(p.machine, e)
}

// maintain renews through the log, resends changes and replaces witnesses that ended or stopped answering.
func (p *process) maintain(now time.Time) {
	for _, c := range p.changes {
		if now.Sub(c.sent) >= retryInterval {
			c.sent = now
			p.fleet.appendRecord(p.machine, c.entry)
		}
	}
	if p.holder.LogRenewalDue(now) {
		p.change(now, nil, &ledger.Record{Kind: ledger.KindRenewed, Renewed: &ledger.Renewed{
			Incarnation: p.incarnation, Base: p.holder.Version(),
		}})
	}
	if p.wish == nil && now.Sub(p.maintained) < maintenanceInterval {
		return
	}
	p.maintained = now
	if set, wanted := p.wantedSet(now); wanted && (len(p.changes) == 0 || p.fleet.random.IntN(4) == 0) {
		p.change(now, set, &ledger.Record{Kind: ledger.KindWitnesses, Witnesses: &ledger.Witnesses{
			Incarnation: p.incarnation, Base: p.holder.Version(), Witnesses: set,
		}})
	}
}

// change appends a change of the own witness set.
func (p *process) change(now time.Time, set []ledger.Incarnation, r *ledger.Record) {
	r.ID = p.fleet.newID("set")
	if !p.fleet.slips.changeWithoutBothSets && !p.holder.Propose(r.ID, set, now) {
		return
	}
	c := &pendingAppend{entry: entry{record: r}, sent: now}
	p.changes = append(p.changes, c)
	p.fleet.appendRecord(p.machine, c.entry)
}

// wantedSet returns the witness set to change to, if the current one is not as it should be.
func (p *process) wantedSet(now time.Time) ([]ledger.Incarnation, bool) {
	living := p.living()
	if wish := p.wish; wish != nil {
		p.wish = nil
		return wish, p.allLiving(wish)
	}
	current := p.state.Members[p.incarnation].WitnessSet.Members
	if len(current) == 0 && p.fleet.random.IntN(emptySetStays) != 0 {
		return nil, false
	}
	stale := p.holder.AppendStale(nil, now)
	var good []ledger.Incarnation
	for _, m := range current {
		if slices.Contains(living, m) && !slices.Contains(stale, m) {
			good = append(good, m)
		}
	}
	if len(good) == len(current) && len(current) == min(3, len(living)) {
		return nil, false
	}
	fresh := slices.DeleteFunc(slices.Clone(living), func(i ledger.Incarnation) bool {
		return slices.Contains(current, i)
	})
	return p.draw(p.draw(good, fresh), living), true
}

func (p *process) allLiving(set []ledger.Incarnation) bool {
	for _, m := range set {
		if p.state.Members[m] == nil {
			return false
		}
	}
	return true
}

// assign gives unowned slices to living members, as the member that joined first.
func (p *process) assign(now time.Time) {
	if len(p.others) > 0 && p.others[0] < p.incarnation || now.Sub(p.assigned) < retryInterval {
		return
	}
	candidates := append(p.living(), p.incarnation)
	group := p.state.Groups[sliceGroup]
	var placements []ledger.Placement
	for i, s := range group.Slices {
		if s.Owner == 0 {
			owner := candidates[p.fleet.random.IntN(len(candidates))]
			placements = append(placements, ledger.Placement{Index: uint32(i), Owner: owner})
		}
	}
	if len(placements) == 0 {
		return
	}
	p.assigned = now
	p.fleet.appendRecord(p.machine, entry{record: &ledger.Record{
		Kind: ledger.KindAssign, ID: p.fleet.newID("assign"),
		Assign: &ledger.Assign{Group: sliceGroup, Base: group.Version, Placements: placements},
	}})
}
