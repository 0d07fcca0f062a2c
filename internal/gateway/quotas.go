package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/quota"
	"heatherreel/internal/request"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
	"heatherreel/internal/worker"
)

// Limits of loans.
const (
	// maxLoanWait is how long a request without credit waits for a loan: the time between two asks, and a call.
	maxLoanWait = 300 * time.Millisecond
	// loanWaitDivisor bounds that wait to a fraction of the caller's time: a third, as long as the wait of 300 ms for
	// a caller that waits a second.
	loanWaitDivisor = 3
	// maxLoanWaiters bounds the requests that wait for loans, each of which occupies a worker of the ingress pool. Further
	// ones are refused at once.
	maxLoanWaiters = 32
	// loanCallTimeout bounds a call for loans. It is above two round trips between regions, and a later answer is of no use.
	loanCallTimeout = 300 * time.Millisecond
	// lenderRetryAfter is when a lender that gave no answer for a tenant is expected to, or another one to have taken over.
	lenderRetryAfter = 500 * time.Millisecond
	// loanWorkers and loanQueue are the sizes of the pool for these calls.
	loanWorkers = 8
	loanQueue   = 64
)

// quotaTable holds the credit of tenants at this node, and what the node lends. mu guards the fields after it; it has rank
// lockorder.Quotas.
type quotaTable struct {
	// askTrigger runs askLoans, and pool makes the calls.
	askTrigger *worker.Trigger
	pool       *worker.Pool

	mu     *lockorder.Mutex
	node   *quota.Node
	lender *quota.Lender
	limits map[string]quota.Limit
	// service is the service whose owners lend; empty if there is none.
	service string
	// configured is set once a configuration is in force.
	configured bool
	// askAt is when each lender may be asked again.
	askAt map[string]keyrange.Instant
	// waiting is the number of requests that wait for a loan.
	waiting int
	// granted is closed and replaced when there may be more credit.
	granted chan struct{}
}

func newQuotaTable(instance string) *quotaTable {
	return &quotaTable{mu: lockorder.New(lockorder.Quotas), node: quota.NewNode(instance), lender: quota.NewLender(),
		askAt: map[string]keyrange.Instant{}, granted: make(chan struct{})}
}

func (q *quotaTable) start(g *Gateway) {
	q.pool = worker.NewPool("loans", loanWorkers, loanQueue)
	q.askTrigger = worker.NewTrigger(g.controlPool, g.askLoans)
}

func (q *quotaTable) stop() {
	q.askTrigger.Stop()
	q.pool.Stop()
}

func (q *quotaTable) setMembers(members []string, now keyrange.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.SetMembers(members, now)
}

// applyQuotas puts the limits of a configuration in force.
func (g *Gateway) applyQuotas(table *route.Table) {
	limits, service := map[string]quota.Limit{}, ""
	if table.Tenants != nil {
		for _, t := range table.Tenants.Tenants() {
			if t.Rate > 0 {
				limits[t.Name] = quota.Limit{Rate: t.Rate, Burst: t.Burst}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(table.Services)) {
		if table.Services[name].Keyed {
			service = name
			break
		}
	}
	q := g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	// The first configuration of a process is no change; the process has lent nothing.
	if q.configured && service != q.service {
		q.lender.ChangeService(g.deps.Now())
	}
	q.limits, q.service, q.configured = limits, service, true
	q.node.SetLimits(limits, service != "", g.deps.Now())
}

// names returns the instances of all members.
func (t *memberTable) names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.peers))
}

// lends reports whether this node may lend by a key of a service, and under which fence: it may grant that key, and no write
// of its own that may still take effect gives it away.
func (t *rangeTable) lends(self Self, service string, key uint16, now keyrange.Instant) (fence uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	table := t.tables[service]
	if table == nil || t.lease.Remaining(now) <= 0 {
		return 0, false
	}
	r, found := table.Find(key)
	if !found || r.Owner.Instance != self.Instance || r.Next != "" ||
		slices.ContainsFunc(t.pendingWrites, func(next *keyrange.Table) bool { return !next.StillGrants(r) }) {
		return 0, false
	}
	return r.Fence, true
}

// limitsInForce returns the limits, which are not modified, and the service whose owners lend.
func (q *quotaTable) limitsInForce() (map[string]quota.Limit, string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limits, q.service
}

// observeLending records of which tenants this node has become the lender.
func (g *Gateway) observeLending() {
	limits, service := g.quotas.limitsInForce()
	now := g.deps.Now()
	for tenant := range limits {
		if fence, ok := g.ranges.lends(g.self, service, quota.LenderKey(tenant), now); ok {
			g.quotas.observe(tenant, fence, now)
		}
	}
}

func (q *quotaTable) observe(tenant string, fence uint64, now keyrange.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lender.Observe(tenant, fence, now)
}

// Lend implements node.RouterService.
func (g *Gateway) Lend(borrower string, asks []quota.Ask) []quota.Grant {
	limits, service := g.quotas.limitsInForce()
	var grants []quota.Grant
	for _, ask := range asks {
		limit, limited := limits[ask.Tenant]
		if !limited {
			continue
		}
		now := g.deps.Now()
		if fence, ok := g.ranges.lends(g.self, service, quota.LenderKey(ask.Tenant), now); ok {
			grants = append(grants, g.quotas.lend(borrower, ask, limit, fence, now))
		}
	}
	return grants
}

func (q *quotaTable) lend(borrower string, ask quota.Ask, limit quota.Limit, fence uint64, now keyrange.Instant) quota.Grant {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lender.Lend(borrower, ask, limit, fence, now)
}

// takeQuota takes the credit of a tenant for a request, or returns the answer to a request that is refused. It waits for a
// loan if one is expected soon.
func (g *Gateway) takeQuota(ctx context.Context, tenant string, deadline time.Time) (quota.Credit, *routed.Answer) {
	if tenant == "" {
		return quota.Credit{}, nil
	}
	q := g.quotas
	credit, ok, granted := q.take(tenant, false, g.deps.Now())
	if ok {
		return credit, nil
	}
	g.quotas.askTrigger.Fire()
	if retryAfter, waits := q.beginWait(tenant, g.deps.Now()); !waits {
		answer := routed.NotRun(request.QuotaExceeded, retryAfter)
		return quota.Credit{}, &answer
	}
	defer q.endWait(tenant)
	timer := time.NewTimer(min(maxLoanWait, time.Until(deadline)/loanWaitDivisor))
	defer timer.Stop()
	for waits := true; waits; {
		select {
		case <-granted:
		case <-timer.C:
			waits = false
		case <-ctx.Done():
			waits = false
		}
		if credit, ok, granted = q.take(tenant, true, g.deps.Now()); ok {
			return credit, nil
		}
		waits = waits && q.retryAfter(tenant, g.deps.Now()) <= maxLoanWait
	}
	answer := routed.NotRun(request.QuotaExceeded, q.retryAfter(tenant, g.deps.Now()))
	return quota.Credit{}, &answer
}

// take takes credit. granted is closed when there may be more.
func (q *quotaTable) take(tenant string, repeated bool, now keyrange.Instant) (credit quota.Credit, ok bool, granted <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	credit, ok = q.node.Take(tenant, repeated, now)
	return credit, ok, q.granted
}

// giveBack returns the credit of a request that did not run.
func (q *quotaTable) giveBack(c *quota.Credit, now keyrange.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.GiveBack(c, now)
}

func (q *quotaTable) retryAfter(tenant string, now keyrange.Instant) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.node.RetryAfter(tenant, now)
}

// beginWait reports whether a request waits for a loan. Otherwise it returns when the request is to be repeated.
func (q *quotaTable) beginWait(tenant string, now keyrange.Instant) (retryAfter time.Duration, waits bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	retryAfter = q.node.RetryAfter(tenant, now)
	if q.service == "" || q.waiting >= maxLoanWaiters || retryAfter > maxLoanWait {
		return retryAfter, false
	}
	q.waiting++
	q.node.Wait(tenant, 1)
	return 0, true
}

func (q *quotaTable) endWait(tenant string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting--
	q.node.Wait(tenant, -1)
}

// askLoans asks each lender of which the node needs loans, at most once per quota.AskInterval. While it asks, it runs again
// after that time.
func (g *Gateway) askLoans() {
	limits, service := g.quotas.limitsInForce()
	lenders := map[string]string{}
	if table, _ := g.ranges.get(service); table != nil {
		for tenant := range limits {
			if r, ok := table.Find(quota.LenderKey(tenant)); ok && r.Owner.Instance != "" && r.Next == "" {
				lenders[tenant] = r.Owner.Instance
			}
		}
	}
	now := g.deps.Now()
	calls, next := g.quotas.asks(lenders, now)
	for lender, asks := range calls {
		switch lender {
		case "":
			g.quotas.addLoans(asks, nil, now, now)
			continue
		case g.self.Instance:
			g.quotas.addLoans(asks, g.Lend(lender, asks), now, g.deps.Now())
			continue
		}
		if err := g.quotas.pool.Submit(func() { g.callLender(lender, asks, now) }); err != nil {
			g.events.Emit(eventlog.LoanCallFailed, eventlog.Name("peer_instance", lender), eventlog.Cause(err))
		}
	}
	if next > 0 {
		g.quotas.askTrigger.FireAfter(next)
	}
}

// asks returns what to ask the lenders, by instance. next is the time after which a lender that was asked may be asked again;
// zero if none was. lenders has the instance for each tenant, empty for one without a lender.
func (q *quotaTable) asks(lenders map[string]string, now keyrange.Instant) (calls map[string][]quota.Ask, next time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.askAt, func(_ string, at keyrange.Instant) bool { return now >= at })
	due := func(tenant string) bool {
		_, asked := q.askAt[lenders[tenant]]
		return !asked
	}
	calls = map[string][]quota.Ask{}
	for _, ask := range q.node.Asks(due, now) {
		calls[lenders[ask.Tenant]] = append(calls[lenders[ask.Tenant]], ask)
	}
	if q.waiting > 0 {
		// The even share may have credit again, for which no loan is asked.
		q.notify()
	}
	for lender := range calls {
		q.askAt[lender] = now.Add(quota.AskInterval)
	}
	for _, at := range q.askAt {
		if wait := at.Sub(now); next == 0 || wait < next {
			next = wait
		}
	}
	return calls, next
}

// addLoans adds loans that answer asks that were sent at the time. Those without an answer are not lent anything soon.
func (q *quotaTable) addLoans(asks []quota.Ask, grants []quota.Grant, sent, now keyrange.Instant) {
	for _, ask := range asks {
		if !slices.ContainsFunc(grants, func(g quota.Grant) bool { return g.Tenant == ask.Tenant }) {
			grants = append(grants, quota.Grant{Tenant: ask.Tenant, RetryAfter: lenderRetryAfter})
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.Granted(grants, sent, now)
	q.notify()
}

// notify wakes the requests that wait. The caller holds mu.
func (q *quotaTable) notify() {
	close(q.granted)
	q.granted = make(chan struct{})
}

// callLender makes a call for loans that were asked for at the time.
func (g *Gateway) callLender(lender string, asks []quota.Ask, sent keyrange.Instant) {
	var grants []quota.Grant
	member, known := g.members.get(lender)
	if known && g.members.unreachableFor(lender, time.Now()) == 0 {
		ctx, cancel := context.WithTimeout(g.ctx, loanCallTimeout)
		defer cancel()
		var err error
		if grants, err = g.deps.Peers.Lend(ctx, member.Address, g.self.Instance, asks); err != nil {
			g.events.Emit(eventlog.LoanCallFailed, eventlog.Name("peer_instance", lender), eventlog.Cause(err))
		}
	}
	g.quotas.addLoans(asks, grants, sent, g.deps.Now())
}
