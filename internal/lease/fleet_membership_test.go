package lease_test

import (
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// join appends the join record, and appends it again until it is read.
func (p *process) join(now time.Time) {
	if now.Sub(p.lastJoin) < retryInterval || int(p.state.Offset) == 0 {
		return
	}
	p.lastJoin = now
	if p.joinID == "" {
		p.joinID, p.joinSentAt = p.fleet.newID("join"), now
	}
	set := p.fillWitnessSet(nil, p.peers())
	p.fleet.appendRecord(p.machine, entry{record: joinRecord(p.joinID, p.machine.name, set)})
}

// peers returns the other current members in order, except earlier incarnations of this machine.
func (p *process) peers() []ledger.Incarnation { return slices.Clone(p.otherMembers) }

// fillWitnessSet adds random candidates to a witness set up to a size of three.
func (p *process) fillWitnessSet(set, candidates []ledger.Incarnation) []ledger.Incarnation {
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

// maintain resends changes, renews through the log, and replaces witnesses that ended or stopped answering.
func (p *process) maintain(now time.Time) {
	for _, c := range p.changes {
		if now.Sub(c.sentAt) >= retryInterval {
			c.sentAt = now
			p.fleet.appendRecord(p.machine, c.entry)
		}
	}
	if p.holder.LogRenewalDue(now) {
		p.change(now, nil, &ledger.Record{Kind: ledger.KindRenewed, Renewed: &ledger.Renewed{
			Incarnation: p.incarnation, Base: p.holder.Version(),
		}})
	}
	if p.requestedSet == nil && now.Sub(p.lastMaintenance) < maintenanceInterval {
		return
	}
	p.lastMaintenance = now
	if set, wanted := p.wantedSet(now); wanted && (len(p.changes) == 0 || p.fleet.random.IntN(4) == 0) {
		p.change(now, set, &ledger.Record{Kind: ledger.KindWitnesses, Witnesses: &ledger.Witnesses{
			Incarnation: p.incarnation, Base: p.holder.Version(), Witnesses: set,
		}})
	}
}

// change appends a change or a renewal of the process's own witness set.
func (p *process) change(now time.Time, set []ledger.Incarnation, r *ledger.Record) {
	r.ID = p.fleet.newID("set")
	if !p.fleet.injectedBugs.changeSetWithoutProposal && !p.holder.Propose(r.ID, set, now) {
		return
	}
	c := &pendingAppend{entry: entry{record: r}, sentAt: now}
	p.changes = append(p.changes, c)
	p.fleet.appendRecord(p.machine, c.entry)
}

// wantedSet returns the witness set to change to and whether a change is needed.
func (p *process) wantedSet(now time.Time) ([]ledger.Incarnation, bool) {
	peers := p.peers()
	if requestedSet := p.requestedSet; requestedSet != nil {
		p.requestedSet = nil
		return requestedSet, p.allMembers(requestedSet)
	}
	current := p.state.Members[p.incarnation].WitnessSet.Members
	if len(current) == 0 && p.fleet.random.IntN(emptySetChecks) != 0 {
		return nil, false
	}
	stale := p.holder.AppendStaleWitnesses(nil, now)
	var kept []ledger.Incarnation
	for _, m := range current {
		if slices.Contains(peers, m) && !slices.Contains(stale, m) {
			kept = append(kept, m)
		}
	}
	if len(kept) == len(current) && len(current) == min(3, len(peers)) {
		return nil, false
	}
	candidates := slices.DeleteFunc(slices.Clone(peers), func(i ledger.Incarnation) bool {
		return slices.Contains(current, i)
	})
	return p.fillWitnessSet(p.fillWitnessSet(kept, candidates), peers), true
}

// allMembers reports whether all incarnations of the set are current members.
func (p *process) allMembers(set []ledger.Incarnation) bool {
	for _, m := range set {
		if p.state.Members[m] == nil {
			return false
		}
	}
	return true
}
