package lease_test

import (
	"slices"
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
)

// claim is a claim of a process; end is set once the claim is satisfied and the end record was appended.
type claim struct {
	claimant *lease.Claimant
	end      *pendingAppend
}

// scheduleClaims runs the claims at the moment at which they can make progress, if that is before the next tick.
// Claims that always ran some milliseconds late would hide errors of the order of the clock drift.
func (p *process) scheduleClaims(now time.Time, next time.Duration) {
	if p.holder == nil {
		return
	}
	times := []time.Time{p.witness.NextOverdue()}
	for _, c := range p.claims {
		times = append(times, c.claimant.NextCheck(now))
	}
	for _, at := range times {
		if wait := at.Sub(now); wait > 0 && wait < next {
			p.fleet.onProcess(p, p.realTime(wait), p.advanceClaims)
		}
	}
}

// advanceClaims starts the claims that are due, and sends the requests and end records of the running ones.
func (p *process) advanceClaims() {
	if p.holder == nil {
		return
	}
	p.startClaims(p.clock())
	p.runClaims(p.clock())
}

// claimFor returns the running claim against the holder, or nil.
func (p *process) claimFor(holder ledger.Incarnation) *claim {
	for _, c := range p.claims {
		if c.claimant.Holder() == holder {
			return c
		}
	}
	return nil
}

// startClaims starts the claims that are due: as a witness against overdue holders, and as any other member against
// holders without witnesses or with an ended witness.
func (p *process) startClaims(now time.Time) {
	for _, o := range p.witness.AppendOverdue(nil, now) {
		p.startClaim(o.Holder)
	}
	for _, holder := range p.otherMembers {
		if at, may := p.nonWitnessClaimAt(holder); may && !now.Before(at) {
			p.startClaim(holder)
		}
	}
}

// nonWitnessClaimAt returns when a member that is not a witness of the holder may claim it.
func (p *process) nonWitnessClaimAt(holder ledger.Incarnation) (time.Time, bool) {
	set := p.state.Members[holder].WitnessSet
	if len(set.Members) == 0 {
		return p.setReadAt[holder].Add(p.fleet.parameters.Timing().LogLeaseTime), true
	}
	for _, m := range set.Members {
		if e, ended := p.ended[m]; ended {
			return p.fleet.parameters.NonWitnessClaimAt(e.ReadAt, p.machine.index), true
		}
	}
	return time.Time{}, false
}

func (p *process) startClaim(holder ledger.Incarnation) {
	member := p.state.Members[holder]
	if member == nil || p.claimFor(holder) != nil {
		return
	}
	c := lease.NewClaimant(p.fleet.parameters, p.incarnation, holder, member.WitnessSet, p.setReadAt[holder])
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
			c.advanceClaims()
		})
	})
}

func (p *process) promise(r lease.PromiseRequest) lease.PromiseAnswer {
	now := p.clock()
	if p.fleet.injectedBugs.promiseWithoutWait {
		now = now.Add(time.Minute)
	}
	a := p.witness.Promise(r, now)
	if a.Granted {
		p.fleet.stats.promises++
	}
	if p.fleet.injectedBugs.renewAfterPromise {
		p.witness.ClearPromise(r.Holder)
	}
	return a
}

func (p *process) onPromiseAnswer(a lease.PromiseAnswer) {
	if c := p.claimFor(a.Holder); c != nil {
		c.claimant.HandleAnswer(a, p.clock())
	}
}

// appendEnd appends the end record of a claimed holder, and appends it again until it is read.
func (p *process) appendEnd(c *claim, now time.Time) {
	if c.end != nil && now.Sub(c.end.sentAt) < retryInterval {
		return
	}
	holder := c.claimant.Holder()
	end := &ledger.End{Incarnation: holder, SetVersion: c.claimant.SetVersion(), Claimant: p.incarnation}
	successors := slices.DeleteFunc(append(p.peers(), p.incarnation), func(i ledger.Incarnation) bool { return i == holder })
	for _, s := range p.state.Owned(holder) {
		owner := successors[p.fleet.random.IntN(len(successors))]
		end.Successors = append(end.Successors, ledger.Successor{Slice: s.Slice, Owner: owner})
	}
	e := entry{
		record: &ledger.Record{Kind: ledger.KindEnd, ID: p.fleet.newID("end"), End: end},
		direct: c.claimant.Direct(),
	}
	c.end = &pendingAppend{entry: e, sentAt: now}
	p.fleet.appendRecord(p.machine, e)
}
