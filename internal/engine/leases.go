package engine

import (
	"fmt"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/placement"
	"heatherreel/internal/telemetry"
)

// LeaseMessage takes in a message of the lease protocol; a job on the lease pool works on it. A full queue drops the
// message, as the network may.
func (e *Engine) LeaseMessage(m node.LeaseMessage) {
	if e.leasePool.Submit(func() { e.leaseMessage(m) }) != nil {
		e.deps.Events.Emit(eventlog.QueueFull, eventlog.Pool(e.leasePool.Name()))
	}
}

// leaseMessage dispatches one message.
func (e *Engine) leaseMessage(m node.LeaseMessage) {
	switch {
	case m.Renewal != nil:
		e.answerRenewal(*m.Renewal)
	case m.RenewalAnswer != nil:
		e.renewalAnswered(*m.RenewalAnswer)
	case m.PromiseRequest != nil:
		e.answerPromiseRequest(*m.PromiseRequest)
	case m.PromiseAnswer != nil:
		e.promiseAnswered(*m.PromiseAnswer)
	}
}

// answerRenewal answers a holder that this node witnesses.
func (e *Engine) answerRenewal(r lease.Renewal) {
	offset := e.ledger.offset()
	t := e.leases
	t.mu.Lock()
	if t.witness == nil {
		t.mu.Unlock()
		return
	}
	now := time.Now()
	answer := t.witness.Renew(r, t.firstLevel(now), now)
	if claim := t.claims[r.Holder]; claim != nil && !answer.Refused {
		claim.HolderRenewed(now)
	}
	t.mu.Unlock()
	answer.LedgerOffset = offset
	e.sendLease(r.Holder, node.LeaseMessage{RenewalAnswer: &answer})
}

// renewalAnswered takes in the answer of a witness.
func (e *Engine) renewalAnswered(a lease.RenewalAnswer) {
	e.ledger.heardOffset(a.LedgerOffset)
	t := e.leases
	t.mu.Lock()
	if t.holder == nil {
		t.mu.Unlock()
		return
	}
	t.holder.Answer(a)
	gained := !t.owning && t.holder.Owns(time.Now())
	t.mu.Unlock()
	if gained {
		e.leaseStep.Fire()
	}
}

// answerPromiseRequest answers a claimant.
func (e *Engine) answerPromiseRequest(r lease.PromiseRequest) {
	t := e.leases
	t.mu.Lock()
	if t.witness == nil {
		t.mu.Unlock()
		return
	}
	answer := t.promise(r, time.Now())
	t.mu.Unlock()
	e.sendLease(r.Claimant, node.LeaseMessage{PromiseAnswer: &answer})
}

// promiseAnswered takes in the answer to a promise request of this node.
func (e *Engine) promiseAnswered(a lease.PromiseAnswer) {
	t := e.leases
	t.mu.Lock()
	claim := t.claims[a.Holder]
	if claim != nil {
		claim.Answer(a, time.Now())
	}
	t.mu.Unlock()
	if claim != nil {
		e.leaseStep.Fire()
	}
}

// sendLease sends a message to a member. One that has ended meanwhile gets nothing.
func (e *Engine) sendLease(to ledger.Incarnation, m node.LeaseMessage) {
	member := e.ledger.member(to)
	if member == nil {
		return
	}
	// A message that cannot be sent is lost like one that the network drops; the protocol repeats what matters.
	_ = e.deps.Leases.SendLease(member.Addresses.Leases, m)
}

// stepLeases runs one step of the lease protocol: renewals, claims, and the check of overdue holders.
func (e *Engine) stepLeases() {
	step := e.leases.step(time.Now())
	for i := range step.renewals {
		e.sendLease(step.renewals[i].Witness, node.LeaseMessage{Renewal: &step.renewals[i]})
	}
	for i := range step.requests {
		e.sendLease(step.requests[i].Witness, node.LeaseMessage{PromiseRequest: &step.requests[i]})
	}
	e.reportLease(step)
	if len(step.renewals) > 0 {
		// The grants carry the end of the lease, which the answers to the last renewals have moved.
		e.granting.Fire()
	}
	for _, holder := range step.abandoned {
		e.deps.Events.Emit(eventlog.ClaimAbandoned, eventlog.Peer(holder))
		e.deps.Metrics.Claim(telemetry.ClaimAbandoned)
	}
	for _, o := range step.overdue {
		e.startClaim(o.Holder, o.SetVersion, time.Time{})
	}
	for _, claim := range step.satisfied {
		e.proposeEnd(claim.holder, claim.setVersion, claim.direct, e.suspected())
	}
	e.leaseStep.FireAt(step.next)
}

// reportLease emits the change of the own lease and starts what depends on it.
func (e *Engine) reportLease(step leaseStep) {
	if step.lost {
		e.deps.Events.Emit(eventlog.LeaseLost)
		e.membership.Fire()
	}
	if step.gained {
		e.deps.Events.Emit(eventlog.LeaseGained)
		e.ownership.Fire()
		e.waiting.resumeAll()
	}
}

// startClaim starts a claim against a holder that is a member with the given set version.
func (e *Engine) startClaim(holder ledger.Incarnation, version ledger.Offset, setRead time.Time) {
	m := e.ledger.member(holder)
	if m == nil || m.WitnessSet.Version != version || !e.leases.claim(holder, m.WitnessSet, setRead) {
		return
	}
	e.deps.Events.Emit(eventlog.ClaimStarted, eventlog.Peer(holder), eventlog.Version(version))
	e.deps.Metrics.Claim(telemetry.ClaimStarted)
	e.leaseStep.Fire()
}

// endPurpose names the proposal that ends a holder.
func endPurpose(holder ledger.Incarnation) purpose { return purpose(fmt.Sprintf("end %d", holder)) }

// proposeEnd appends the end of a holder with the new owners of its slices. direct says on what the end rests;
// suspected holders receive no slices.
func (e *Engine) proposeEnd(
	holder ledger.Incarnation, version ledger.Offset, direct bool, suspected map[ledger.Incarnation]bool,
) {
	if e.proposals.isOpen(endPurpose(holder)) {
		return
	}
	var successors []ledger.Successor
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		successors = placement.PlanFailover(s, holder, suspected, policies(s, c))
	})
	e.deps.Events.Emit(eventlog.FailoverPlanned, eventlog.Peer(holder), eventlog.Count("slices", len(successors)))
	record := &ledger.Record{Kind: ledger.KindEnd, ID: newRecordID(), End: &ledger.End{
		Incarnation: holder,
		SetVersion:  version,
		Claimant:    e.incarnation(),
		Direct:      direct,
		AtUnixMS:    time.Now().UnixMilli(),
		Successors:  successors,
	}}
	e.propose(&proposal{
		purpose: endPurpose(holder),
		record:  record,
		outdated: func(s *ledger.State) bool {
			m := s.Members[holder]
			return m == nil || m.WitnessSet.Version != version
		},
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.endDecided(holder, record, offset, rejection)
		},
	})
}

// endDecided reports the outcome of an end record. A rejected one, for example because a successor has ended too, is
// planned again by the next step of the claim.
func (e *Engine) endDecided(holder ledger.Incarnation, r *ledger.Record, offset ledger.Offset, rejection ledger.Rejection) {
	e.countOutcome(r.Kind, offset, rejection)
	if rejection == ledger.Accepted {
		e.deps.Events.Emit(eventlog.NodeEnded, eventlog.Peer(holder), eventlog.Count("slices", len(r.End.Successors)))
		e.deps.Metrics.Claim(telemetry.ClaimWon)
	}
	e.leaseStep.Fire()
}

// suspected returns the holders that this node claims. They receive no slices from its plans.
func (e *Engine) suspected() map[ledger.Incarnation]bool {
	t := e.leases
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected := make(map[ledger.Incarnation]bool, len(t.claims))
	for holder := range t.claims {
		suspected[holder] = true
	}
	return suspected
}

// relearnLeases takes in all witness sets after this node joined or the state was replaced.
func (e *Engine) relearnLeases(now time.Time) {
	var members []*ledger.Member
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		for _, m := range s.Members {
			members = append(members, m)
		}
	})
	e.leases.relearn(members, now)
	for _, m := range members {
		if len(m.WitnessSet.Members) == 0 {
			e.watchLogLease(m.Incarnation, m.WitnessSet.Version, now)
		}
	}
}

// followWitnesses arranges the claims that no witness would start: against holders that renew through the log, and
// against holders that still name an ended witness after a while.
func (e *Engine) followWitnesses(a applied, now time.Time) {
	if a.rejection != ledger.Accepted || e.incarnation() == 0 {
		return
	}
	switch a.record.Kind {
	case ledger.KindJoin:
		if len(a.record.Join.Witnesses) == 0 {
			e.watchLogLease(ledger.Incarnation(a.offset), a.offset, now)
		}
	case ledger.KindWitnesses:
		if len(a.record.Witnesses.Witnesses) == 0 {
			e.watchLogLease(a.record.Witnesses.Incarnation, a.offset, now)
		}
	case ledger.KindRenewed:
		e.watchLogLease(a.record.Renewed.Incarnation, a.offset, now)
	case ledger.KindEnd:
		e.watchHoldersOf(a.record.End.Incarnation, now)
	case ledger.KindLeave:
		e.watchHoldersOf(a.record.Leave.Incarnation, now)
	}
}

// watchLogLease claims a holder without witnesses if it does not renew through the log.
func (e *Engine) watchLogLease(holder ledger.Incarnation, version ledger.Offset, read time.Time) {
	if holder == e.incarnation() {
		return
	}
	timing := e.options.Timing.Timing()
	delay := timing.LogLeaseTime + timing.LogRenewalInterval
	e.leasePool.After(delay, func() { e.startClaim(holder, version, read) })
}

// watchHoldersOf claims the holders that still name an ended witness after a while, in the order of their ranks.
func (e *Engine) watchHoldersOf(witness ledger.Incarnation, read time.Time) {
	self := e.incarnation()
	var rank int
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) { rank = rankAmongMembers(s, witness, self) })
	delay := time.Until(e.options.Timing.OutsideClaimAt(read, rank))
	e.leasePool.After(delay, func() { e.claimHoldersOf(witness) })
}

// claimHoldersOf starts claims against the holders that name the witness.
func (e *Engine) claimHoldersOf(witness ledger.Incarnation) {
	var holders []*ledger.Member
	named := map[ledger.Incarnation]bool{}
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		for _, m := range s.Members {
			for _, w := range m.WitnessSet.Members {
				named[w] = true
				if w == witness {
					holders = append(holders, m)
				}
			}
		}
	})
	for _, m := range holders {
		e.startClaim(m.Incarnation, m.WitnessSet.Version, time.Time{})
	}
	e.leases.pruneEnded(named)
}

// rankAmongMembers returns how many members precede self in the circular order of incarnations after a given one, so
// that the duty spreads evenly.
func rankAmongMembers(s *ledger.State, after, self ledger.Incarnation) int {
	distance := func(i ledger.Incarnation) ledger.Incarnation { return i - after }
	rank := 0
	for i := range s.Members {
		if distance(i) < distance(self) {
			rank++
		}
	}
	return rank
}
