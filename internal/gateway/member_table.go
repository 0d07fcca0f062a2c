package gateway

import (
	"maps"
	"slices"
	"time"

	"heatherreel/internal/choice"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/quota"
	"heatherreel/internal/registry"
	"heatherreel/internal/retry"
	"heatherreel/internal/routed"
)

// peer is what a node knows of one instance.
type peer struct {
	registry.Member
	load            routed.Load
	loadReportedAt  time.Time
	pendingRequests int
	failures        int
	// retryAt is when a peer that could not be reached may be tried again.
	retryAt time.Time
	// shedsUntil is until when requests go to other instances because the backend server of this one sheds all.
	shedsUntil time.Time
	// stoppingSince is when this node read in the record of this incarnation that it stops. If a refusal or a snapshot showed
	// that, it is stopAnnounceTime before, because a node refuses requests only that long after its announcement. It is zero
	// if the incarnation does not stop.
	stoppingSince time.Time
	// storedRecord is the record that the store held when it was last read.
	storedRecord registry.Member
	// feedFailures counts the failures in a row of the peer as a feed, and feedRetryAt is when it may be used as one
	// again.
	feedFailures int
	feedRetryAt  time.Time
	// seenInSnapshot is set for the peers whose records are in the snapshot that is being applied.
	seenInSnapshot bool
}

// memberTable holds the instances of the fleet and the retry budgets. mu guards all fields; it has rank
// lockorder.Members.
type memberTable struct {
	mu    *lockorder.Mutex
	self  Self
	peers map[string]*peer
	// removed are the instances whose records were removed because another instance has their address.
	removed          map[string]bool
	synced           bool
	applyingSnapshot bool
	// firstSync happens with the first completed read.
	firstSync signal
	// readEnd is the end offset of the topic up to which the records are read.
	readEnd int64
	// keepMissingUntil is until when instances are kept that the snapshot of a new era of the store does not show, and
	// missingKept is set while there may be such instances.
	keepMissingUntil time.Time
	missingKept      bool
	limits           RetryLimits
	budgets          map[string]*retry.Budget
	// floorMembers are the members, in the order of their names, between which the retry floor is split.
	floorMembers []string
}

func newMemberTable(self Self, limits RetryLimits) *memberTable {
	return &memberTable{mu: lockorder.New(lockorder.Members), firstSync: newSignal(), self: self, peers: map[string]*peer{}, removed: map[string]bool{},
		limits: limits, budgets: map[string]*retry.Budget{}}
}

// setRetryLimits changes the retry limits. It discards the current budgets, with the retries that they have saved up.
func (t *memberTable) setRetryLimits(limits RetryLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limits != t.limits {
		t.limits, t.budgets = limits, map[string]*retry.Budget{}
	}
}

func (t *memberTable) isSynced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

// beginSnapshot prepares for the newest records of all instances, which are put next.
func (t *memberTable) beginSnapshot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyingSnapshot = true
	for _, p := range t.peers {
		p.seenInSnapshot = false
	}
}

// confirmRead records a completed read. If it was a snapshot, the peers without a record in it are removed.
func (t *memberTable) confirmRead(readEnd int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced, t.readEnd = true, readEnd
	t.firstSync.set()
	if !t.applyingSnapshot {
		return
	}
	t.applyingSnapshot = false
	if time.Now().Before(t.keepMissingUntil) {
		t.missingKept = true
		return
	}
	t.removeMissing()
}

// removeMissing removes the instances whose records were not in the last snapshot and have not been read since. The caller
// holds mu.
func (t *memberTable) removeMissing() {
	for name, p := range t.peers {
		if !p.seenInSnapshot {
			delete(t.peers, name)
		}
	}
}

// put sets the record of an instance. A record of an earlier incarnation is out of date and is ignored.
func (t *memberTable) put(m registry.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.Instance]
	if p == nil {
		p = &peer{}
		t.peers[m.Instance] = p
	}
	p.seenInSnapshot = true
	delete(t.removed, m.Instance)
	if m.Incarnation < p.Incarnation {
		return
	}
	if m.Incarnation != p.Incarnation || m.Server != p.Server {
		// The failures and the load of an earlier incarnation of the node or its backend server do not apply to the new
		// one.
		p.failures, p.retryAt, p.load = 0, time.Time{}, routed.Load{}
	}
	if m.Incarnation != p.Incarnation {
		p.stoppingSince = time.Time{}
		p.feedFailures, p.feedRetryAt = 0, time.Time{}
	}
	if m.Stopping && p.stoppingSince.IsZero() {
		p.stoppingSince = time.Now()
		if t.applyingSnapshot {
			// A snapshot does not tell how long ago the record was written.
			p.stoppingSince = p.stoppingSince.Add(-stopAnnounceTime)
		}
	}
	p.Member = m
}

// putStored sets a record that was read from the store.
func (t *memberTable) putStored(m registry.Member) {
	t.put(m)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[m.Instance].storedRecord = m
}

// remove deletes an instance whose record was removed from the store.
func (t *memberTable) remove(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, instance)
	t.removed[instance] = true
}

// isRemoved reports whether the record of an instance was removed and has not come back.
func (t *memberTable) isRemoved(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.removed[instance]
}

// predecessor returns another instance whose record has the address of this node, and the end offset of the topic up to
// which the records are read.
func (t *memberTable) predecessor() (instance string, readEnd int64, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readEnd < 0 {
		return "", 0, false
	}
	for name, p := range t.peers {
		if name != t.self.Instance && p.Address == t.self.Address {
			return name, t.readEnd, true
		}
	}
	return "", 0, false
}

// storedAs reports whether the store is known to hold exactly this record.
func (t *memberTable) storedAs(m registry.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.Instance]
	return p != nil && p.storedRecord == m
}

func (t *memberTable) get(instance string) (registry.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[instance]
	if p == nil {
		return registry.Member{}, false
	}
	return p.Member, true
}

// ofService returns the members of a service, in no particular order.
func (t *memberTable) ofService(service string) []registry.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []registry.Member
	for _, p := range t.peers {
		if p.Service == service {
			members = append(members, p.Member)
		}
	}
	return members
}

// requestSent counts a pending request to an instance, until requestAnswered is called for it.
func (t *memberTable) requestSent(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[instance]; p != nil {
		p.pendingRequests++
	}
}

// requestAnswered records the end of a request to an instance, with the load report of the answer. reached is false if
// the call to the instance failed; the instance is then not called again until its backoff has passed.
func (t *memberTable) requestAnswered(instance string, load routed.Load, reached bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[instance]
	if p == nil {
		return
	}
	p.pendingRequests = max(0, p.pendingRequests-1)
	if load.Known {
		p.load, p.loadReportedAt = load, now
	}
	if reached {
		p.failures, p.retryAt = 0, time.Time{}
		return
	}
	p.recordFailure(now)
}

// requestAbandoned records the end of a request to an instance whose answer is not needed any more.
func (t *memberTable) requestAbandoned(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[instance]; p != nil {
		p.pendingRequests = max(0, p.pendingRequests-1)
	}
}

// recordFailure records that an instance does not answer a request whose answer is still awaited. It is not called again
// until its backoff has passed.
func (t *memberTable) recordFailure(instance string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[instance]; p != nil {
		p.recordFailure(now)
	}
}

// recordFailureAt does the same as recordFailure for the instance whose node has the address.
func (t *memberTable) recordFailureAt(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.Address == address {
			p.recordFailure(now)
		}
	}
}

func (p *peer) recordFailure(now time.Time) {
	p.failures++
	p.retryAt = now.Add(min(minUnreachableBackoff<<min(p.failures-1, 4), maxUnreachableBackoff))
}

// Backoff after an instance could not be reached. The first delay is about the time that a process takes to restart.
const (
	minUnreachableBackoff = 300 * time.Millisecond
	maxUnreachableBackoff = 2 * time.Second
)

// unreachableFor returns for how long an instance that could not be reached must not be tried; zero if it may be tried
// now.
func (t *memberTable) unreachableFor(instance string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[instance]
	if p == nil {
		return 0
	}
	return max(0, p.retryAt.Sub(now))
}

// maxRestartWait bounds the time for which requests wait for the next process of an instance that stopped accepting
// them: the rest of the usual shutdown time of 6 s, and a start. A process that the store turns away is then called
// although its record is not known.
const maxRestartWait = 4 * time.Second

// restartTime is the time from the moment when a stopping node accepts no more requests to the start of its next process:
// it lingers for half a second, and a start takes about 0.6 s.
const restartTime = 1100 * time.Millisecond

// nextProcessWait returns when to try an instance again that has stopped accepting requests for its backend server and
// whose next process is not known yet; zero for other instances. A stopping instance accepts requests for
// stopAnnounceTime after it has announced its stop.
func (t *memberTable) nextProcessWait(instance string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[instance]; p != nil {
		return p.nextProcessWait(now)
	}
	return 0
}

func (p *peer) nextProcessWait(now time.Time) time.Duration {
	if p.stoppingSince.IsZero() {
		return 0
	}
	stopped := now.Sub(p.stoppingSince) - stopAnnounceTime
	if stopped < 0 || stopped >= maxRestartWait {
		return 0
	}
	return max(restartTime-stopped, overloadRetryAfter)
}

// recordStop records that an incarnation of an instance has refused a request because it stops. Its record may not show
// that, or not yet.
func (t *memberTable) recordStop(asked registry.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[asked.Instance]; p != nil && p.Incarnation == asked.Incarnation && p.nextProcessWait(now) == 0 {
		p.stoppingSince = now.Add(-stopAnnounceTime)
	}
}

// reachable returns the addresses of the other nodes that are not stopping and could be reached when last called: those
// of the same region, and the rest.
func (t *memberTable) reachable(now time.Time) (near, far []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		switch {
		case name == t.self.Instance || p.Stopping || now.Before(p.retryAt):
		case p.Region == t.self.Region:
			near = append(near, p.Address)
		default:
			far = append(far, p.Address)
		}
	}
	return near, far
}

// isSameRegion reports whether an instance is in the region of this node.
func (t *memberTable) isSameRegion(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[instance]
	return p != nil && p.Region == t.self.Region
}

func (t *memberTable) distance(m *registry.Member) choice.Distance {
	switch {
	case m.Instance == t.self.Instance:
		return choice.SameInstance
	case m.DataCentre == t.self.DataCentre:
		return choice.SameDataCentre
	case m.Region == t.self.Region:
		return choice.SameRegion
	default:
		return choice.OtherRegion
	}
}

// regionAllowed reports whether a region is among the home regions; an empty list allows all regions.
func regionAllowed(homeRegions []string, region string) bool {
	return len(homeRegions) == 0 || slices.Contains(homeRegions, region)
}

// budget returns the retry budget of a service. The caller holds mu.
func (t *memberTable) budget(service string) *retry.Budget {
	b := t.budgets[service]
	if b == nil {
		b = retry.NewWindowBudget(t.limits.Ratio, t.retryFloor(service), t.limits.Window)
		t.budgets[service] = b
	}
	return b
}

// retryFloor returns the retries per second that are always allowed for a service at this node. Half of the floor is split
// between the members in whole numbers, as a node that may retry at all may do so at once: the retries of a node in a window
// are its number and one more at most, so that those of all nodes are within the floor. The caller holds mu.
func (t *memberTable) retryFloor(service string) float64 {
	if len(t.floorMembers) == 0 || t.limits.Window <= 0 {
		return 0
	}
	return float64(quota.Units(int(t.limits.Floor/2), t.self.Instance, t.floorMembers, service)) / t.limits.Window.Seconds()
}

// splitRetryFloor splits the retry floor between the members as they are now.
func (t *memberTable) splitRetryFloor(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := slices.Sorted(maps.Keys(t.peers))
	if t.peers[t.self.Instance] == nil {
		members = append(members, t.self.Instance)
	}
	if slices.Equal(members, t.floorMembers) {
		return
	}
	t.floorMembers = members
	for service, b := range t.budgets {
		b.SetFloor(t.retryFloor(service), now)
	}
}

// countRequest adds the first send of a request to the retry budget of the service.
func (t *memberTable) countRequest(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(service).CountRequest(now)
}

// takeRetry takes one retry from the retry budget of the service. It returns false if the budget is used up.
func (t *memberTable) takeRetry(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(service).Take(now)
}

// recordLoad records the load report of a probe.
func (t *memberTable) recordLoad(instance string, load routed.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[instance]; p != nil && load.Known {
		p.load, p.loadReportedAt = load, now
	}
}
