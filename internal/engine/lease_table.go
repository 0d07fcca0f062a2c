package engine

import (
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
)

// leaseTable is this node's state in the lease protocol: its own lease, the leases that it witnesses, and its claims.
//
// mu guards all fields; it has rank lockorder.Lease.
type leaseTable struct {
	mu         *lockorder.Mutex
	parameters lease.Parameters
	// self is zero before the node has joined and after its incarnation has ended; holder and witness are nil then.
	self    ledger.Incarnation
	holder  *lease.Holder
	witness *lease.Witness
	claims  map[ledger.Incarnation]*lease.Claimant
	// ended records how this node learned of the end of incarnations that a witness set may still name.
	ended map[ledger.Incarnation]endedIncarnation
	// unresponsiveSince is the time since which a witness has granted no renewal within a lease time.
	unresponsiveSince map[ledger.Incarnation]time.Time
	// avoidUntil is the time until which a witness that did not answer is not chosen again.
	avoidUntil map[ledger.Incarnation]time.Time
	// firstLevelSince is the time since which this node's first-level lease has held without interruption; zero while
	// it does not hold.
	firstLevelSince time.Time
	// lastClockCheck is when the monotonic clock was last compared with the wall clock.
	lastClockCheck time.Time
	// owning is the last reported state of the lease, to detect changes.
	owning bool
}

func newLeaseTable(p lease.Parameters) *leaseTable {
	return &leaseTable{
		mu:                lockorder.New(lockorder.Lease),
		parameters:        p,
		claims:            map[ledger.Incarnation]*lease.Claimant{},
		ended:             map[ledger.Incarnation]endedIncarnation{},
		unresponsiveSince: map[ledger.Incarnation]time.Time{},
		avoidUntil:        map[ledger.Incarnation]time.Time{},
	}
}

// endedIncarnation is how this node learned of the end of an incarnation.
type endedIncarnation struct {
	lease.Ended
	instance string
}

// incarnation returns the incarnation of this node; zero if it is not a member.
func (t *leaseTable) incarnation() ledger.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// owns reports whether this node owns its slices at the time, and until when.
func (t *leaseTable) owns(now time.Time) (until time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holder == nil || clockPaused(t.lastClockCheck, now) {
		return time.Time{}, false
	}
	return t.holder.OwnsUntil(), t.holder.Owns(now)
}

// ownsAs does the same as owns for one incarnation. A request that began under an earlier incarnation must not be sent
// under the lease of a later one, because its slice may have another owner by then.
func (t *leaseTable) ownsAs(self ledger.Incarnation, now time.Time) (until time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self != self || self == 0 || clockPaused(t.lastClockCheck, now) {
		return time.Time{}, false
	}
	return t.holder.OwnsUntil(), t.holder.Owns(now)
}

// firstLevel reports whether this node's first-level lease holds, provided that the clock did not pause. The caller
// holds mu.
func (t *leaseTable) firstLevel(now time.Time) bool {
	return t.holder.FirstLevel(now) && !clockPaused(t.lastClockCheck, now)
}

// clockTolerance is how much more wall time than monotonic time may pass between two comparisons. It is below 12 ms, by
// which the lease time of a witness exceeds that of a holder with the default timing, and above what a slewed clock
// gains in a renewal interval. If the wall clock is set forward by more than this, the lease is lost until witnesses
// answer new renewals.
const clockTolerance = 5 * time.Millisecond

// clockPaused reports whether the monotonic clock missed time since an earlier reading, as it does while the machine is
// suspended. A lease measured by such a clock would appear to hold after its witnesses have let it expire.
func clockPaused(earlier, now time.Time) bool {
	if earlier.IsZero() {
		return false
	}
	// Round strips the monotonic reading, so that the difference is one of wall times.
	return exceedsClockTolerance(now.Sub(earlier), now.Round(0).Sub(earlier.Round(0)))
}

// exceedsClockTolerance reports whether the wall time exceeds the monotonic time by more than the tolerance.
func exceedsClockTolerance(monotonic, wall time.Duration) bool {
	return wall-monotonic > clockTolerance
}

// join starts the lease of a new incarnation. joinSent is a time before the first append of the join record.
func (t *leaseTable) join(self ledger.Incarnation, set ledger.WitnessSet, joinSent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = self
	t.holder = lease.NewHolder(t.parameters, self, set, joinSent)
	t.witness = lease.NewWitness(t.parameters, self)
	clear(t.claims)
	clear(t.unresponsiveSince)
	clear(t.avoidUntil)
	t.owning, t.firstLevelSince, t.lastClockCheck = false, time.Time{}, time.Time{}
}

// endIncarnation ends this node's incarnation and drops its claims.
func (t *leaseTable) endIncarnation() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holder != nil {
		t.holder.End()
	}
	t.self, t.holder, t.witness = 0, nil, nil
	clear(t.claims)
}

// stopWitness makes this node refuse all renewals. It is called before the leave record is appended.
func (t *leaseTable) stopWitness() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.witness != nil {
		t.witness.Stop()
	}
}

// recordReplayed updates the lease state from a replayed record. Records are passed in log order.
func (t *leaseTable) recordReplayed(replayed replayedRecord, now time.Time) {
	if replayed.rejection != ledger.Accepted {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := replayed.record
	switch r.Kind {
	case ledger.KindJoin:
		t.instanceReplaced(r.Join.Instance, now)
		t.observeWitnessSet(ledger.Incarnation(replayed.offset), r.ID, ledger.WitnessSet{Version: replayed.offset, Members: r.Join.Witnesses}, now)
	case ledger.KindWitnesses:
		t.observeWitnessSet(r.Witnesses.Incarnation, r.ID, ledger.WitnessSet{Version: replayed.offset, Members: r.Witnesses.Witnesses}, now)
	case ledger.KindRenewed:
		t.observeWitnessSet(r.Renewed.Incarnation, r.ID, ledger.WitnessSet{Version: replayed.offset}, now)
	case ledger.KindEnd:
		t.incarnationEnded(replayed.ended, lease.Ended{ReadAt: now, Direct: r.End.Direct})
	case ledger.KindLeave:
		t.incarnationEnded(replayed.ended, lease.Ended{ReadAt: now, Direct: true})
	}
}

// observeWitnessSet updates the lease state from the witness set of a holder. The caller holds mu.
func (t *leaseTable) observeWitnessSet(holder ledger.Incarnation, recordID string, set ledger.WitnessSet, now time.Time) {
	if t.witness != nil {
		t.witness.WitnessSetRead(holder, set, now)
	}
	if t.holder != nil && holder == t.self {
		t.holder.WitnessSetRead(recordID, set)
	}
	if claim := t.claims[holder]; claim != nil {
		claim.WitnessSetRead(set.Version)
	}
}

// instanceReplaced records that an instance runs a new process, so that its earlier incarnations can no longer answer
// as witnesses with a valid first-level lease. The caller holds mu.
func (t *leaseTable) instanceReplaced(instance string, now time.Time) {
	for i, e := range t.ended {
		if e.instance != instance || e.Direct {
			continue
		}
		e.Ended = lease.Ended{ReadAt: now, Direct: true}
		t.ended[i] = e
		for _, claim := range t.claims {
			claim.WitnessEnded(i, e.Ended)
		}
	}
}

// incarnationEnded records the end of a member. The caller holds mu.
func (t *leaseTable) incarnationEnded(m *ledger.Member, e lease.Ended) {
	i := m.Incarnation
	t.ended[i] = endedIncarnation{Ended: e, instance: m.Instance}
	if t.witness != nil {
		t.witness.RemoveHolder(i)
	}
	delete(t.claims, i)
	for _, claim := range t.claims {
		claim.WitnessEnded(i, e)
	}
}

// observeWitnessSets applies the witness sets of all members, after a join or a restored state.
func (t *leaseTable) observeWitnessSets(members []*ledger.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		t.observeWitnessSet(m.Incarnation, "", m.WitnessSet, now)
	}
}

// pruneEnded drops the ended incarnations that no witness set names any more.
func (t *leaseTable) pruneEnded(named map[ledger.Incarnation]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.ended {
		if !named[i] {
			delete(t.ended, i)
		}
	}
}

// claim starts a claim against a holder unless one is already running, and reports whether it did. setReadAt is when
// this node read the witness set; it matters only for a holder without witnesses.
func (t *leaseTable) claim(holder ledger.Incarnation, set ledger.WitnessSet, setReadAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self == 0 || holder == t.self || t.claims[holder] != nil {
		return false
	}
	claim := lease.NewClaimant(t.parameters, t.self, holder, set, setReadAt)
	for _, m := range set.Members {
		if e, ok := t.ended[m]; ok {
			claim.WitnessEnded(m, e.Ended)
		}
	}
	t.claims[holder] = claim
	return true
}

// leaseStep is the result of one step of the lease protocol: the messages to send and the changes to act on.
type leaseStep struct {
	renewals  []lease.Renewal
	requests  []lease.PromiseRequest
	overdue   []lease.Overdue
	satisfied []satisfiedClaim
	abandoned []ledger.Incarnation
	// gained and lost report that the lease began or ceased to hold since the last step.
	gained, lost bool
	// next is when the next step is due.
	next time.Time
}

// satisfiedClaim is a claim that permits appending the end of its holder. It is a copy taken under the lock, because
// late answers to promise requests still change the claim itself.
type satisfiedClaim struct {
	holder     ledger.Incarnation
	setVersion ledger.Offset
	// direct is true if the end rests on promises alone.
	direct bool
}

// step advances all lease state machines to now.
func (t *leaseTable) step(now time.Time) leaseStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s leaseStep
	if t.self == 0 {
		return s
	}
	if clockPaused(t.lastClockCheck, now) {
		t.holder.DiscardAnswers()
	}
	t.lastClockCheck = now
	t.trackFirstLevel(now)
	s.renewals = t.holder.AppendRenewals(nil, now)
	t.stepClaims(&s, now)
	if t.detectionDelay(now) == 0 {
		for _, o := range t.witness.AppendOverdue(nil, now) {
			if t.claims[o.Holder] == nil {
				s.overdue = append(s.overdue, o)
			}
		}
	}
	owning := t.holder.Owns(now)
	s.gained, s.lost = owning && !t.owning, t.owning && !owning
	t.owning = owning
	s.next = t.nextStep(now)
	return s
}

// trackFirstLevel tracks since when this node's first-level lease has held. The caller holds mu.
func (t *leaseTable) trackFirstLevel(now time.Time) {
	switch {
	case !t.holder.FirstLevel(now):
		t.firstLevelSince = time.Time{}
	case t.firstLevelSince.IsZero():
		t.firstLevelSince = now
	}
}

// detectionDelay returns how long this node must still be in contact with its own witnesses before it may suspect other
// holders; zero if it may now. A node that was itself partitioned would consider every holder lost. Without this delay,
// after a fault that expired all leases, the promise requests, which are repeated every 50 ms, reached the witnesses
// before the renewals did. The holders that witnesses had promised against could then not own again until end records
// ended their incarnations. The caller holds mu.
func (t *leaseTable) detectionDelay(now time.Time) time.Duration {
	timing := t.parameters.Timing()
	wait := timing.LeaseTime + timing.RenewalInterval
	if t.firstLevelSince.IsZero() || !t.firstLevel(now) {
		return wait
	}
	return max(t.firstLevelSince.Add(wait).Sub(now), 0)
}

// answerPromiseRequest answers a claimant, or tells it to wait while this node may not suspect other holders. The
// caller holds mu.
func (t *leaseTable) answerPromiseRequest(r lease.PromiseRequest, now time.Time) lease.PromiseAnswer {
	if wait := t.detectionDelay(now); wait > 0 {
		return lease.PromiseAnswer{
			Holder: r.Holder, SetVersion: r.SetVersion, Claimant: r.Claimant, Witness: r.Witness, Wait: wait,
		}
	}
	return t.witness.Promise(r, now)
}

// stepClaims advances the claims. The caller holds mu.
func (t *leaseTable) stepClaims(s *leaseStep, now time.Time) {
	for holder, claim := range t.claims {
		for _, r := range claim.AppendRequests(nil, now) {
			if r.Witness != t.self {
				s.requests = append(s.requests, r)
				continue
			}
			claim.HandleAnswer(t.answerPromiseRequest(r, now), now)
		}
		switch claim.Status(now) {
		case lease.ClaimSatisfied:
			s.satisfied = append(s.satisfied, satisfiedClaim{holder: holder, setVersion: claim.SetVersion(), direct: claim.Direct()})
		case lease.ClaimAbandoned:
			delete(t.claims, holder)
			s.abandoned = append(s.abandoned, holder)
		}
	}
}

// minStepInterval bounds how often steps run while a claim is unresolved.
const minStepInterval = 10 * time.Millisecond

// nextStep returns when the next step is due. The caller holds mu.
func (t *leaseTable) nextStep(now time.Time) time.Time {
	next := earliest(t.holder.NextRenewal(), t.nextOverdue(now))
	for _, claim := range t.claims {
		next = earliest(next, claim.NextCheck(now))
	}
	if t.owning {
		next = earliest(next, t.holder.OwnsUntil())
	}
	if !t.firstLevelSince.IsZero() {
		next = earliest(next, t.holder.FirstLevelUntil())
	}
	if soonest := now.Add(minStepInterval); !next.IsZero() && next.Before(soonest) {
		return soonest
	}
	return next
}

// nextOverdue returns when a holder without a claim may become overdue. The caller holds mu.
func (t *leaseTable) nextOverdue(now time.Time) time.Time {
	next := t.witness.NextOverdue()
	if len(t.claims) > 0 && next.Before(now) {
		// A holder with a claim stays overdue; the other holders are checked again after the next renewal interval.
		return now.Add(t.parameters.Timing().RenewalInterval)
	}
	return next
}

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Time) time.Time {
	switch {
	case a.IsZero():
		return b
	case b.IsZero() || a.Before(b):
		return a
	default:
		return b
	}
}
