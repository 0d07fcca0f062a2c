package gateway

import (
	"slices"
	"time"

	"heatherreel/internal/choice"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/registry"
	"heatherreel/internal/retry"
	"heatherreel/internal/routed"
)

// peer is what a node knows of one instance.
type peer struct {
	registry.Member
	load     routed.Load
	loadAt   time.Time
	pending  int
	failures int
	// retryAt is when a peer that could not be reached may be tried again.
	retryAt time.Time
	// stored is the record that the store held when it was last read.
	stored registry.Member
	// seen is set while the records of a snapshot are applied.
	seen bool
}

// memberTable holds the instances of the fleet and the retry budgets. mu guards all fields; it has rank lockorder.Members.
type memberTable struct {
	mu    *lockorder.Mutex
	self  Self
	peers map[string]*peer
	// removed are the instances whose record was removed, because another one has their address.
	removed  map[string]bool
	synced   bool
	snapshot bool
	// end is the end of the topic up to which the records are read.
	end     int64
	limits  RetryLimits
	budgets map[string]*retry.Budget
}

func newMemberTable(self Self, limits RetryLimits) *memberTable {
	return &memberTable{mu: lockorder.New(lockorder.Members), self: self, peers: map[string]*peer{}, removed: map[string]bool{},
		limits: limits, budgets: map[string]*retry.Budget{}}
}

// setRetryLimits puts other limits in force. What was saved is forgotten.
func (t *memberTable) setRetryLimits(limits RetryLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limits != t.limits {
		t.limits, t.budgets = limits, map[string]*retry.Budget{}
	}
}

func (t *memberTable) known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

func (t *memberTable) beginSnapshot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshot = true
	for _, p := range t.peers {
		p.seen = false
	}
}

func (t *memberTable) endSnapshot(end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced, t.end = true, end
	if !t.snapshot {
		return
	}
	t.snapshot = false
	for name, p := range t.peers {
		if !p.seen {
			delete(t.peers, name)
		}
	}
}

// put takes the record of an instance; one of an earlier incarnation is late and changes nothing.
func (t *memberTable) put(m registry.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.Instance]
	if p == nil {
		p = &peer{}
		t.peers[m.Instance] = p
	}
	p.seen = true
	delete(t.removed, m.Instance)
	if m.Incarnation < p.Incarnation {
		return
	}
	if m.Incarnation != p.Incarnation || m.Server != p.Server {
		// A new life of either says nothing of the old one's failures and load.
		p.failures, p.retryAt, p.load = 0, time.Time{}, routed.Load{}
	}
	p.Member = m
}

// putStored takes a record that was read from the store.
func (t *memberTable) putStored(m registry.Member) {
	t.put(m)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[m.Instance].stored = m
}

// drop takes the removal of an instance's record.
func (t *memberTable) drop(instance string) {
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

// predecessor returns another instance that is recorded at the address of this node, and the end of the topic up to which
// that is known.
func (t *memberTable) predecessor() (instance string, end int64, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if name != t.self.Instance && p.Address == t.self.Address {
			return name, t.end, true
		}
	}
	return "", 0, false
}

// storedAs reports whether the store is known to hold exactly this record.
func (t *memberTable) storedAs(m registry.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.Instance]
	return p != nil && p.stored == m
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

// ofService returns the members of a service in the order of their names.
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

// sent counts a request to an instance, and answered ends it with the report that the answer carried.
func (t *memberTable) sent(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[instance]; p != nil {
		p.pending++
	}
}

func (t *memberTable) answered(instance string, load routed.Load, reached bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[instance]
	if p == nil {
		return
	}
	p.pending = max(0, p.pending-1)
	if load.Known {
		p.load, p.loadAt = load, now
	}
	if reached {
		p.failures, p.retryAt = 0, time.Time{}
		return
	}
	p.failures++
	p.retryAt = now.Add(min(unreachablePause<<min(p.failures-1, 4), maxUnreachablePause))
}

// Pauses after an instance could not be reached: the first is about the time a process takes to start again.
const (
	unreachablePause    = 300 * time.Millisecond
	maxUnreachablePause = 2 * time.Second
)

// unreachableFor returns how long an instance that could not be reached is left alone; zero if it may be asked.
func (t *memberTable) unreachableFor(instance string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[instance]
	if p == nil {
		return 0
	}
	return max(0, p.retryAt.Sub(now))
}

// candidateQuery names the members that may serve a request.
type candidateQuery struct {
	service string
	// homes are the regions that may serve it, empty for all; scarce those that others need more.
	homes, scarce []string
	evacuated     map[string]bool
	// tried are the instances that have refused it.
	tried []string
	// bytes is the expected size of the request and its answer.
	bytes int
}

// candidates returns the members that a query names.
func (t *memberTable) candidates(q candidateQuery, now time.Time) []choice.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []choice.Candidate
	for name, p := range t.peers {
		if p.Service != q.service || !p.Server.Ready || p.Server.Draining || p.Stopping || q.evacuated[p.DataCentre] ||
			!allows(q.homes, p.Region) || slices.Contains(q.tried, name) || now.Before(p.retryAt) {
			continue
		}
		found = append(found, choice.Candidate{Instance: name, Distance: t.distance(&p.Member), Load: p.load,
			Age: now.Sub(p.loadAt), Pending: p.pending, Failures: p.failures, Scarce: slices.Contains(q.scarce, p.Region), Bytes: q.bytes})
	}
	return found
}

// reachable returns the addresses of the other nodes that do not stop and could be reached when last called: those of the
// same region and the rest.
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

// sameRegion reports whether an instance is in the region of the node.
func (t *memberTable) sameRegion(instance string) bool {
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

// allows reports whether a region is among homes; no homes allow all.
func allows(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// budget returns the retry budget of a service. The caller holds mu.
func (t *memberTable) budget(service string) *retry.Budget {
	b := t.budgets[service]
	if b == nil {
		b = retry.NewWindowBudget(t.limits.Ratio, t.limits.Floor, t.limits.Window)
		t.budgets[service] = b
	}
	return b
}

// first counts the first send of a request to a service.
func (t *memberTable) first(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(service).Request(now)
}

// mayRepeat takes a second send from the budget of the service.
func (t *memberTable) mayRepeat(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(service).Take(now)
}

// reported notes a load report that came without a request.
func (t *memberTable) reported(instance string, load routed.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[instance]; p != nil && load.Known {
		p.load, p.loadAt = load, now
	}
}
