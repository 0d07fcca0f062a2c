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
	// retryInterval is the time after which an append of unknown outcome is retried.
	retryInterval = 400 * time.Millisecond
	// maintenanceInterval is the time between two checks of the process's own witness set.
	maintenanceInterval = 500 * time.Millisecond
	// emptySetChecks is the mean number of such checks for which an empty set is kept, so that renewals through the log
	// occur.
	emptySetChecks = 20
)

// pendingAppend is an appended record whose outcome the process has not read.
type pendingAppend struct {
	entry  entry
	sentAt time.Time
}

// process is one simulated node. It stands in for package engine: it passes input to the state machines of package
// lease and carries out their decisions.
type process struct {
	fleet   *fleet
	machine *machine
	// state is the state up to the last record that the process has read.
	state *ledger.State
	// incarnation is zero, and holder and witness are nil, until the process has read its join record.
	incarnation ledger.Incarnation
	joinID      string
	joinSentAt  time.Time
	lastJoin    time.Time
	holder      *lease.Holder
	witness     *lease.Witness
	claims      []*claim
	// changes are the changes and renewals of the process's own witness set whose outcome it has not read.
	changes []*pendingAppend
	// requestedSet is the witness set to which a fault makes the process change next; nil if there is none.
	requestedSet []ledger.Incarnation
	// ended and endedInstance hold, for each ended incarnation, what is known of its end and its instance.
	ended         map[ledger.Incarnation]lease.Ended
	endedInstance map[ledger.Incarnation]string
	// latestIncarnation holds the last incarnation that joined on each instance.
	latestIncarnation map[string]ledger.Incarnation
	// setReadAt holds, for each holder, when the process read the current version of its witness set.
	setReadAt map[ledger.Incarnation]time.Time
	// owned are the slices that the process owns by its state, if its lease is valid.
	owned           []uint32
	otherMembers    []ledger.Incarnation
	lastMaintenance time.Time
	lastAssign      time.Time
}

func newProcess(f *fleet, m *machine) *process {
	p := &process{
		fleet: f, machine: m, state: ledger.NewState(),
		ended:             map[ledger.Incarnation]lease.Ended{},
		endedInstance:     map[ledger.Incarnation]string{},
		latestIncarnation: map[string]ledger.Incarnation{},
		setReadAt:         map[ledger.Incarnation]time.Time{},
	}
	m.process = p
	return p
}

// start schedules the first tick and the first poll of the process.
func (p *process) start() {
	p.fleet.onProcess(p, time.Duration(p.fleet.random.IntN(int(tickInterval))), p.tick)
	p.fleet.onProcess(p, time.Duration(p.fleet.random.IntN(int(tickInterval))), p.poll)
}

// clock reads the machine's clock.
func (p *process) clock() time.Time {
	return p.machine.clockStart.Add(time.Duration(float64(p.fleet.now) * p.machine.clockRate))
}

// poll reads the log up to its end if it is reachable, and schedules the next poll, sometimes after a long delay.
func (p *process) poll() {
	f := p.fleet
	if f.logReachable(p.machine) && f.now >= p.machine.readCutUntil {
		p.replayTo(len(f.log))
	}
	next := time.Duration(1+f.random.IntN(40)) * time.Millisecond
	if !f.faultsStopped && f.random.IntN(30) == 0 {
		next = time.Duration(f.random.IntN(1200)) * time.Millisecond
	}
	f.onProcess(p, next, p.poll)
}

// replayTo replays the log up to an offset.
func (p *process) replayTo(until int) {
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

// refresh recomputes the fields that depend only on the replayed state.
func (p *process) refresh() {
	p.otherMembers = p.otherMembers[:0]
	for i, m := range p.state.Members {
		if i != p.incarnation && m.Instance != p.machine.name {
			p.otherMembers = append(p.otherMembers, i)
		}
	}
	slices.Sort(p.otherMembers)
	p.owned = p.owned[:0]
	for _, s := range p.state.Owned(p.incarnation) {
		if p.incarnation != 0 {
			p.owned = append(p.owned, s.Slice.Index)
		}
	}
}

// observe passes a record that took effect to the state machines.
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
		p.holder = lease.NewHolder(p.fleet.parameters, incarnation, p.state.Members[incarnation].WitnessSet, p.joinSentAt)
		p.witness = lease.NewWitness(p.fleet.parameters, incarnation)
	}
	p.latestIncarnation[r.Join.Instance] = incarnation
	for old, instance := range p.endedInstance {
		// A new process on the instance proves that the previous one no longer answers.
		if instance == r.Join.Instance && !p.ended[old].Direct {
			p.learnEnd(old, lease.Ended{ReadAt: p.clock(), Direct: true})
		}
	}
	p.observeSet(incarnation, r.ID)
}

func (p *process) observeSet(holder ledger.Incarnation, recordID string) {
	set := p.state.Members[holder].WitnessSet
	p.setReadAt[holder] = p.clock()
	for _, c := range p.claims {
		if c.claimant.Holder() == holder {
			c.claimant.WitnessSetRead(set.Version)
		}
	}
	if p.holder == nil {
		return
	}
	p.witness.WitnessSetRead(holder, set, p.clock())
	if holder == p.incarnation {
		p.holder.WitnessSetRead(recordID, set)
		p.changes = nil
	}
}

func (p *process) observeEnd(ended ledger.Incarnation, direct bool) {
	instance := p.fleet.machineOf[ended].name
	p.endedInstance[ended] = instance
	direct = direct || p.latestIncarnation[instance] > ended || p.fleet.injectedBugs.countIndirectEnds
	p.learnEnd(ended, lease.Ended{ReadAt: p.clock(), Direct: direct})
	for _, c := range p.claims {
		if c.claimant.Holder() == ended {
			c.claimant.HolderEnded()
		}
	}
	if p.holder == nil {
		return
	}
	p.witness.RemoveHolder(ended)
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

// rejoin replaces the process by a new one on the same machine, which has not joined yet.
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
		p.holder.ProposalRejected(r.ID)
		p.changes = slices.DeleteFunc(p.changes, func(c *pendingAppend) bool { return c.entry.record.ID == r.ID })
	}
}

// tick performs the actions that are due and schedules the next tick.
func (p *process) tick() {
	now := p.clock()
	if p.holder == nil {
		p.join(now)
	} else {
		p.sendRenewals(now)
		p.advanceClaims()
		p.maintain(now)
		p.assign(now)
	}
	next := time.Duration(1 + p.fleet.random.IntN(int(tickInterval)))
	p.scheduleClaims(now, next)
	p.fleet.onProcess(p, next, p.tick)
}

// realTime returns the true time in which the machine's clock advances by d, rounded up.
func (p *process) realTime(d time.Duration) time.Duration {
	return time.Duration(float64(d)/p.machine.clockRate) + 2
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
	if p.fleet.injectedBugs.ownOnUnmarkedAnswers {
		a.Marked = !a.Refused
	}
	if p.fleet.injectedBugs.countFromReceipt {
		p.holder.SetSendTime(a.Witness, a.Sequence, p.clock())
	}
	p.holder.HandleAnswer(a)
}

// assign assigns unowned slices to members if this process is the member that joined first.
func (p *process) assign(now time.Time) {
	if len(p.otherMembers) > 0 && p.otherMembers[0] < p.incarnation || now.Sub(p.lastAssign) < retryInterval {
		return
	}
	candidates := append(p.peers(), p.incarnation)
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
	p.lastAssign = now
	p.fleet.appendRecord(p.machine, entry{record: &ledger.Record{
		Kind: ledger.KindAssign, ID: p.fleet.newID("assign"),
		Assign: &ledger.Assign{Group: sliceGroup, Base: group.Version, Placements: placements},
	}})
}
