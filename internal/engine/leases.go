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

// LeaseMessage queues a message of the lease protocol for the lease pool. A message that finds the queue full is
// dropped, as the network may drop messages too.
func (e *Engine) LeaseMessage(m node.LeaseMessage) {
	if e.leasePool.Submit(func() { e.handleLeaseMessage(m) }) != nil {
		e.deps.Events.Emit(eventlog.QueueFull, eventlog.Pool(e.leasePool.Name()))
	}
}

// handleLeaseMessage dispatches a message by its type.
func (e *Engine) handleLeaseMessage(m node.LeaseMessage) {
	switch {
	case m.Renewal != nil:
		e.handleRenewal(*m.Renewal)
	case m.RenewalAnswer != nil:
		e.handleRenewalAnswer(*m.RenewalAnswer)
	case m.PromiseRequest != nil:
		e.handlePromiseRequest(*m.PromiseRequest)
	case m.PromiseAnswer != nil:
		e.handlePromiseAnswer(*m.PromiseAnswer)
	}
}

// handleRenewal answers the renewal of a holder that this node witnesses.
func (e *Engine) handleRenewal(r lease.Renewal) {
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
	e.sendLeaseMessage(r.Holder, node.LeaseMessage{RenewalAnswer: &answer})
}

// handleRenewalAnswer processes the answer of a witness to a renewal.
func (e *Engine) handleRenewalAnswer(a lease.RenewalAnswer) {
	e.ledger.observePeerOffset(a.LedgerOffset)
	t := e.leases
	t.mu.Lock()
	if t.holder == nil {
		t.mu.Unlock()
		return
	}
	t.holder.HandleAnswer(a)
	gained := !t.owning && t.holder.Owns(time.Now())
	t.mu.Unlock()
	if gained {
		e.leaseTrigger.Fire()
	}
}

// handlePromiseRequest answers a claimant.
func (e *Engine) handlePromiseRequest(r lease.PromiseRequest) {
	t := e.leases
	t.mu.Lock()
	if t.witness == nil {
		t.mu.Unlock()
		return
	}
	answer := t.answerPromiseRequest(r, time.Now())
	t.mu.Unlock()
	e.sendLeaseMessage(r.Claimant, node.LeaseMessage{PromiseAnswer: &answer})
}

// handlePromiseAnswer processes the answer to a promise request of this node.
func (e *Engine) handlePromiseAnswer(a lease.PromiseAnswer) {
	t := e.leases
	t.mu.Lock()
	claim := t.claims[a.Holder]
	if claim != nil {
		claim.HandleAnswer(a, time.Now())
	}
	t.mu.Unlock()
	if claim != nil {
		e.leaseTrigger.Fire()
	}
}

// sendLeaseMessage sends a message to a member. It does nothing if the member has ended.
func (e *Engine) sendLeaseMessage(to ledger.Incarnation, m node.LeaseMessage) {
	member := e.ledger.member(to)
	if member == nil {
		return
	}
	// A message that cannot be sent counts as lost on the network; the protocol repeats what matters.
	_ = e.deps.Leases.SendLeaseMessage(member.Addresses.Leases, m)
}

// stepLeases runs one step of the lease protocol: renewals, claims, and the check for overdue holders.
func (e *Engine) stepLeases() {
	step := e.leases.step(time.Now())
	for i := range step.renewals {
		e.sendLeaseMessage(step.renewals[i].Witness, node.LeaseMessage{Renewal: &step.renewals[i]})
	}
	for i := range step.requests {
		e.sendLeaseMessage(step.requests[i].Witness, node.LeaseMessage{PromiseRequest: &step.requests[i]})
	}
	e.reportLease(step)
	if len(step.renewals) > 0 {
		// The grants carry the end of the lease, which the answers to the last renewals have extended.
		e.grantTrigger.Fire()
	}
	for _, holder := range step.abandoned {
		e.deps.Events.Emit(eventlog.ClaimAbandoned, eventlog.Peer(holder))
		e.deps.Metrics.CountClaimStep(telemetry.ClaimAbandoned)
	}
	for _, o := range step.overdue {
		e.startClaim(o.Holder, o.SetVersion, time.Time{})
	}
	for _, claim := range step.satisfied {
		e.proposeEnd(claim.holder, claim.setVersion, claim.direct, e.suspected())
	}
	e.leaseTrigger.FireAt(step.next)
}

// reportLease emits events for a change of this node's lease and starts the jobs that depend on it.
func (e *Engine) reportLease(step leaseStep) {
	if step.lost {
		e.deps.Events.Emit(eventlog.LeaseLost)
		e.membershipTrigger.Fire()
	}
	if step.gained {
		e.deps.Events.Emit(eventlog.LeaseGained)
		e.ownershipTrigger.Fire()
		e.waitingJobs.resumeAll()
	}
}

// startClaim starts a claim against a holder if it is still a member with the given witness set version. setReadAt is
// when this node read that version; it matters only for a holder without witnesses.
func (e *Engine) startClaim(holder ledger.Incarnation, version ledger.Offset, setReadAt time.Time) {
	m := e.ledger.member(holder)
	if m == nil || m.WitnessSet.Version != version || !e.leases.claim(holder, m.WitnessSet, setReadAt) {
		return
	}
	e.deps.Events.Emit(eventlog.ClaimStarted, eventlog.Peer(holder), eventlog.Version(version))
	e.deps.Metrics.CountClaimStep(telemetry.ClaimStarted)
	e.leaseTrigger.Fire()
}

// endPurpose returns the purpose of the proposal that ends a holder.
func endPurpose(holder ledger.Incarnation) purpose { return purpose(fmt.Sprintf("end %d", holder)) }

// proposeEnd appends the end of a holder with the new owners of its slices. direct is stated in the end record: the end
// rests on promises alone, or the process is known to have ended. Suspected holders receive no slices.
func (e *Engine) proposeEnd(
	holder ledger.Incarnation, version ledger.Offset, direct bool, suspected map[ledger.Incarnation]bool,
) {
	if e.proposals.isOpen(endPurpose(holder)) {
		return
	}
	var successors []ledger.Successor
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		successors = placement.PlanFailover(s, holder, suspected, placementPolicies(s, c))
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
			e.handleEndOutcome(holder, record, offset, rejection)
		},
	})
}

// handleEndOutcome reports the outcome of an end record. After a rejection, for example because a successor has ended
// too, the next step of the claim plans the end again.
func (e *Engine) handleEndOutcome(holder ledger.Incarnation, r *ledger.Record, offset ledger.Offset, rejection ledger.Rejection) {
	e.countRecordOutcome(r.Kind, offset, rejection)
	if rejection == ledger.Accepted {
		e.deps.Events.Emit(eventlog.NodeEnded, eventlog.Peer(holder), eventlog.Count("slices", len(r.End.Successors)))
		e.deps.Metrics.CountClaimStep(telemetry.ClaimWon)
	}
	e.leaseTrigger.Fire()
}

// suspected returns the holders against which this node has claims. This node's plans assign no slices to them.
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

// observeAllWitnessSets applies all witness sets after this node joined or the state was replaced.
func (e *Engine) observeAllWitnessSets(now time.Time) {
	var members []*ledger.Member
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		for _, m := range s.Members {
			members = append(members, m)
		}
	})
	e.leases.observeWitnessSets(members, now)
	for _, m := range members {
		if len(m.WitnessSet.Members) == 0 {
			e.scheduleLogLeaseClaim(m.Incarnation, m.WitnessSet.Version, now)
		}
	}
}

// scheduleClaims schedules the claims that no witness would start: against holders that renew through the log, and
// against holders that still name an ended witness after a delay.
func (e *Engine) scheduleClaims(replayed replayedRecord, now time.Time) {
	if replayed.rejection != ledger.Accepted || e.incarnation() == 0 {
		return
	}
	switch replayed.record.Kind {
	case ledger.KindJoin:
		if len(replayed.record.Join.Witnesses) == 0 {
			e.scheduleLogLeaseClaim(ledger.Incarnation(replayed.offset), replayed.offset, now)
		}
	case ledger.KindWitnesses:
		if len(replayed.record.Witnesses.Witnesses) == 0 {
			e.scheduleLogLeaseClaim(replayed.record.Witnesses.Incarnation, replayed.offset, now)
		}
	case ledger.KindRenewed:
		e.scheduleLogLeaseClaim(replayed.record.Renewed.Incarnation, replayed.offset, now)
	case ledger.KindEnd:
		e.scheduleClaimsAgainstHoldersOf(replayed.record.End.Incarnation, now)
	case ledger.KindLeave:
		e.scheduleClaimsAgainstHoldersOf(replayed.record.Leave.Incarnation, now)
	}
}

// scheduleLogLeaseClaim starts a claim against a holder without witnesses if it does not renew through the log in time.
func (e *Engine) scheduleLogLeaseClaim(holder ledger.Incarnation, version ledger.Offset, setReadAt time.Time) {
	if holder == e.incarnation() {
		return
	}
	timing := e.options.Timing.Timing()
	delay := timing.LogLeaseTime + timing.LogRenewalInterval
	e.leasePool.After(delay, func() { e.startClaim(holder, version, setReadAt) })
}

// scheduleClaimsAgainstHoldersOf schedules claims against the holders that still name an ended witness after a delay.
// The delay depends on this node's rank among the members.
func (e *Engine) scheduleClaimsAgainstHoldersOf(witness ledger.Incarnation, endReadAt time.Time) {
	self := e.incarnation()
	var rank int
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) { rank = claimRank(s, witness, self) })
	delay := time.Until(e.options.Timing.NonWitnessClaimAt(endReadAt, rank))
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

// claimRank returns how many members precede self in the circular order of incarnations that starts after the given
// one. This spreads the claims evenly over the members.
func claimRank(s *ledger.State, after, self ledger.Incarnation) int {
	distance := func(i ledger.Incarnation) ledger.Incarnation { return i - after }
	rank := 0
	for i := range s.Members {
		if distance(i) < distance(self) {
			rank++
		}
	}
	return rank
}
