package gateway

import (
	"maps"
	"slices"
	"time"

	"heatherreel/internal/choice"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/operator"
	"heatherreel/internal/registry"
	"heatherreel/internal/retry"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
)

// routeTable holds the configuration in force. mu guards all fields; it has rank lockorder.Routes.
type routeTable struct {
	mu       *lockorder.Mutex
	table    *route.Table
	splitter *route.Splitter
	// evacuated holds when the evacuation of a data centre became known.
	evacuated map[string]time.Time
	// sizes are the average sizes of answers by route, in bytes.
	sizes map[string]int
}

func newRouteTable() *routeTable {
	return &routeTable{mu: lockorder.New(lockorder.Routes), splitter: route.NewSplitter(), evacuated: map[string]time.Time{},
		sizes: map[string]int{}}
}

func (t *routeTable) current() *route.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table
}

// revision returns the revision in force, 0 if none is.
func (t *routeTable) revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table == nil {
		return 0
	}
	return t.table.Revision
}

// put takes a table of a higher revision; a lower one never replaces it.
func (t *routeTable) put(table *route.Table) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table != nil && table.Revision <= t.table.Revision {
		return false
	}
	t.table = table
	t.splitter.Keep(table)
	// Routes come and go; their sizes are soon measured again.
	t.sizes = map[string]int{}
	return true
}

// beginSnapshot forgets evacuations, whose end may have been missed.
func (t *routeTable) beginSnapshot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = map[string]time.Time{}
}

func (t *routeTable) evacuate(dataCentre string, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !on {
		delete(t.evacuated, dataCentre)
		return
	}
	if _, known := t.evacuated[dataCentre]; !known {
		t.evacuated[dataCentre] = time.Now()
	}
}

func (t *routeTable) isEvacuated(dataCentre string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, on := t.evacuated[dataCentre]
	return on
}

// find returns the configuration, the route of a request and the service that gets it; a nil table if none is in force,
// and a nil route if the table has none.
func (t *routeTable) find(host, path string) (*route.Table, *route.Route, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table == nil {
		return nil, nil, ""
	}
	r := t.table.Match(host, path)
	if r == nil {
		return t.table, nil, ""
	}
	return t.table, r, t.splitter.Pick(r)
}

// usualAnswer is the size of an answer that is assumed before the first, in bytes.
const usualAnswer = 1000

// answerSize returns the expected size of an answer of the route.
func (t *routeTable) answerSize(route string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n, known := t.sizes[route]; known {
		return n
	}
	return usualAnswer
}

// measure moves the expected size of a route's answers towards a measured one by 1/8.
func (t *routeTable) measure(route string, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, known := t.sizes[route]
	if !known {
		n = usualAnswer
	}
	t.sizes[route] = n + (size-n)/8
}

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
	mu       *lockorder.Mutex
	self     Self
	peers    map[string]*peer
	synced   bool
	snapshot bool
	ratio    float64
	floor    float64
	budgets  map[string]*retry.Budget
}

func newMemberTable(self Self, ratio, floor float64) *memberTable {
	return &memberTable{mu: lockorder.New(lockorder.Members), self: self, peers: map[string]*peer{},
		ratio: ratio, floor: floor, budgets: map[string]*retry.Budget{}}
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

func (t *memberTable) endSnapshot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced = true
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

func (t *memberTable) drop(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, instance)
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
			!allows(q.homes, p.Region) || contains(q.tried, name) || now.Before(p.retryAt) {
			continue
		}
		found = append(found, choice.Candidate{Instance: name, Distance: t.distance(&p.Member), Load: p.load,
			Age: now.Sub(p.loadAt), Pending: p.pending, Failures: p.failures, Scarce: contains(q.scarce, p.Region), Bytes: q.bytes})
	}
	return found
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
func allows(homes []string, region string) bool { return len(homes) == 0 || contains(homes, region) }

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// budget returns the retry budget of a service. The caller holds mu.
func (t *memberTable) budget(service string) *retry.Budget {
	b := t.budgets[service]
	if b == nil {
		b = retry.NewBudget(t.ratio, t.floor)
		t.budgets[service] = b
	}
	return b
}

// first counts the first send of a request to a service.
func (t *memberTable) first(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(service).Request()
}

// mayRepeat takes a second send from the budget of the service.
func (t *memberTable) mayRepeat(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(service).Take(now)
}

// rangeTable holds the ownership of keys as read, and the lease of the node. mu guards all fields; it has rank
// lockorder.KeyRanges.
type rangeTable struct {
	mu     *lockorder.Mutex
	tables map[string]*keyrange.Table
	// seen is when each open suspicion was first read.
	seen  map[suspicionKey]keyrange.Instant
	lease keyrange.Lease
	// changed is closed and replaced when a table changes.
	changed chan struct{}
	// end is the end of the partition up to which the tables are read; -1 before the first read.
	end int64
	// intended are the tables that this node has tried to write at the end intendedAt and that may still take effect. What
	// one of them takes away is not granted any more, since nobody can tell when the write takes effect.
	intended   []*keyrange.Table
	intendedAt int64
}

// suspicionKey names one suspicion of a service.
type suspicionKey struct {
	service, instance string
	number            uint64
}

func newRangeTable() *rangeTable {
	return &rangeTable{mu: lockorder.New(lockorder.KeyRanges), tables: map[string]*keyrange.Table{},
		seen: map[suspicionKey]keyrange.Instant{}, changed: make(chan struct{}), end: -1}
}

// put takes the table of a service. Tables in the map do not change.
func (t *rangeTable) put(table *keyrange.Table, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tables[table.Service] = table
	close(t.changed)
	t.changed = make(chan struct{})
	open := map[suspicionKey]bool{}
	for instance, s := range table.Suspicions {
		key := suspicionKey{table.Service, instance, s.Number}
		open[key] = true
		if _, known := t.seen[key]; !known {
			t.seen[key] = now
		}
	}
	for key := range t.seen {
		if key.service == table.Service && !open[key] {
			delete(t.seen, key)
		}
	}
}

// confirm extends the lease unless the table suspects the instance.
func (t *rangeTable) confirm(self Self, sent keyrange.Instant, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end = end
	if end > t.intendedAt {
		t.intended = nil
	}
	if table := t.tables[self.Service]; table != nil {
		if _, suspected := table.Suspicions[self.Instance]; suspected {
			return
		}
	}
	t.lease.Confirm(sent)
}

// get returns the table of a service, nil if there is none, and the end up to which it was read.
func (t *rangeTable) get(service string) (*keyrange.Table, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tables[service], t.end
}

// intend notes a table before it is written at the end of the partition.
func (t *rangeTable) intend(table *keyrange.Table, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.intendedAt != end {
		t.intended = nil
	}
	t.intended, t.intendedAt = append(t.intended, table), end
}

// abandon notes that the last intended write surely has no effect.
func (t *rangeTable) abandon(end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.intendedAt == end && len(t.intended) > 0 {
		t.intended = t.intended[:len(t.intended)-1]
	}
}

// undecided reports whether a write may still take effect.
func (t *rangeTable) undecided() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.intended) > 0
}

// grants returns the ranges that may be granted to an owner: those of the table that no write of this node takes away.
func (t *rangeTable) grants(o keyrange.Owner, service string) []keyrange.Range {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []keyrange.Range
	for _, r := range t.tables[service].Grants(o) {
		if !slices.ContainsFunc(t.intended, func(next *keyrange.Table) bool { return !next.Keeps(r) }) {
			kept = append(kept, r)
		}
	}
	return kept
}

// change returns a channel that is closed when a table changes.
func (t *rangeTable) change() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// hold returns how long a grant may last that is given now.
func (t *rangeTable) hold(now keyrange.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Hold(now)
}

// openFor returns how long the node has known of a suspicion.
func (t *rangeTable) openFor(service, instance string, number uint64, now keyrange.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, known := t.seen[suspicionKey{service, instance, number}]
	if !known {
		return 0
	}
	return now.Sub(since)
}

// evacuations returns the data centres that get no requests. The map does not change.
func (t *routeTable) evacuations() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]bool, len(t.evacuated))
	for name := range t.evacuated {
		all[name] = true
	}
	return all
}

// evacuatedFor returns how long the evacuation of a data centre has been known.
func (t *routeTable) evacuatedFor(dataCentre string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.evacuated[dataCentre]
	if !ok {
		return 0
	}
	return time.Since(since)
}

// reported notes a load report that came without a request.
func (t *memberTable) reported(instance string, load routed.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[instance]; p != nil && load.Known {
		p.load, p.loadAt = load, now
	}
}

// describe fills in the lease and the ownership of all services.
func (t *rangeTable) describe(s *operator.GatewayState, own string, now keyrange.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.LeaseLeftMS = t.lease.Left(now).Milliseconds()
	for service, table := range t.tables {
		for _, r := range table.Ranges {
			s.Ranges = append(s.Ranges, operator.GatewayRange{Service: service, From: r.From, To: r.To, Fence: r.Fence,
				Instance: r.Owner.Instance, Server: r.Owner.Server, Next: r.Next})
		}
		if service == own {
			s.Suspected = slices.Sorted(maps.Keys(table.Suspicions))
			s.Lost = slices.Sorted(maps.Keys(table.Lost))
		}
	}
}
