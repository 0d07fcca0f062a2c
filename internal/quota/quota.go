// Package quota decides how many requests of a tenant each node admits, so that the limits of the tenant hold over all nodes
// together.
//
// Half of a limit is split evenly between the nodes, without any message. The other half is lent on demand by one node, the
// lender of the tenant. docs/design/quotas.md has the alternatives, the bound and its arithmetic.
//
// The types are not safe for concurrent use.
package quota

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherreel/internal/keyrange"
)

const (
	// window is the time over which the admitted requests of a tenant are bounded.
	window = 5 * time.Second
	// clockDrift is the factor by which the clock of a node may be fast.
	clockDrift = 1.02
	// evenPart is the part of a limit that is split evenly if there is a lender. It is what a tenant keeps while the lender
	// is away, and callers at few nodes cannot use most of it.
	evenPart = 0.5
	// lenderSlack is the number of requests that a lender lends at once beyond its part of the burst. The bound of a tenant
	// has room for 20: without it, tenants of a few requests a second were refused below their limit when callers at
	// several nodes sent at the same moment.
	lenderSlack = 16
	// AskInterval is the least time between two calls of a node to one lender.
	AskInterval = 250 * time.Millisecond
	// useTime is how long a node uses a loan, from when it sent the ask. It is shorter than the second after which the lender
	// counts the loan as over: requests of a loan that was debited before a window may run in it, and with a whole second
	// they would exceed the bound of a tenant with 262 requests a second if all clocks were 2 percent off.
	useTime = 600 * time.Millisecond
	// takeoverWait is how long a new lender waits until the loans of its predecessor are over.
	takeoverWait = 1200 * time.Millisecond
	// smoothing is the time over which the even share of a tenant without a burst may be used at once. Without it, requests
	// that arrive in the same millisecond would be refused below the limit.
	smoothing = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused request is to be repeated.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Limit is the limit of a tenant over all nodes, in requests per second and requests.
type Limit struct {
	Rate, Burst float64
}

// LenderKey returns the key whose owner lends the quota of a tenant.
func LenderKey(tenant string) uint16 { return uint16(xxhash.Sum64String(tenant) % keyrange.KeyCount) }

// loan is a number of requests that may be admitted until a time.
type loan struct {
	number uint64
	left   int
	until  keyrange.Instant
}

// account is what a node knows of a tenant.
type account struct {
	limit Limit
	even  bucket
	// loans are those in force, the oldest first.
	loans []loan
	// arrivals are the requests since periodStart, and arrivedBefore those of the period before. unmet are those that found
	// no credit since the last ask, and waiting those that wait for a loan.
	arrivals, arrivedBefore, unmet, waiting int
	periodStart                             keyrange.Instant
	// retryAt is when the lender expects to have more credit.
	retryAt keyrange.Instant
}

// Node is the credit of all tenants at one node.
type Node struct {
	self    string
	members []string
	// evenPart is the part of the limits that is split evenly.
	evenPart float64
	// lendingEndsAt is when the last loans are over after a configuration without a lender replaced one with a lender. The
	// even shares have all of the limits from then on. It is zero otherwise.
	lendingEndsAt keyrange.Instant
	// configured is set once the limits were set.
	configured bool
	accounts   map[string]*account
	// loanNumber is the number of the last loan.
	loanNumber uint64
}

// NewNode returns a node that admits no request of a tenant with a limit until it knows the members.
func NewNode(self string) *Node {
	return &Node{self: self, accounts: map[string]*account{}, evenPart: evenPart}
}

// SetLimits sets the limits of all tenants that have one, and whether there is a lender. The credit of a new limit starts
// from nothing, since the node may have admitted requests under an earlier process.
func (n *Node) SetLimits(limits map[string]Limit, hasLender bool, now keyrange.Instant) {
	n.setLender(hasLender, now)
	for name := range n.accounts {
		if _, kept := limits[name]; !kept {
			delete(n.accounts, name)
		}
	}
	for name, limit := range limits {
		a := n.accounts[name]
		if a == nil {
			a = &account{even: bucket{at: now}, periodStart: now}
			n.accounts[name] = a
		}
		a.limit = limit
		n.setShare(name, a, now)
	}
}

// setLender sets the part of the limits that is split evenly. If there is no lender any more, the part grows only when all
// nodes have read that and their loans are over. The first configuration of a process is no change.
func (n *Node) setLender(hasLender bool, now keyrange.Instant) {
	switch {
	case hasLender:
		n.evenPart, n.lendingEndsAt = evenPart, 0
	case !n.configured:
		n.evenPart = 1
	case n.evenPart < 1 && n.lendingEndsAt == 0:
		n.lendingEndsAt = now.Add(configurationSpread + useTime)
	}
	n.configured = true
}

// endLending splits all of the limits evenly once the last loans are over.
func (n *Node) endLending(now keyrange.Instant) {
	if n.lendingEndsAt == 0 || now < n.lendingEndsAt {
		return
	}
	n.evenPart, n.lendingEndsAt = 1, 0
	for name, a := range n.accounts {
		n.setShare(name, a, now)
	}
}

// SetMembers sets the names of all nodes. The node counts as one of them.
func (n *Node) SetMembers(members []string, now keyrange.Instant) {
	members = slices.Clone(members)
	if !slices.Contains(members, n.self) {
		members = append(members, n.self)
	}
	slices.Sort(members)
	if slices.Equal(members, n.members) {
		return
	}
	n.members = members
	for name, a := range n.accounts {
		n.setShare(name, a, now)
	}
}

// setShare sets the even share of the node.
func (n *Node) setShare(tenant string, a *account, now keyrange.Instant) {
	rate, capacity := n.share(tenant, a.limit)
	a.even.set(rate, capacity, now)
}

// share returns the rate and the capacity of the even share. The requests that the limit allows in a window are split in
// whole numbers, as a node can admit no part of a request: those that are left over go to the first nodes in an order that
// differs by tenant. Each node admits at most its number in any window, also if its clock is fast.
func (n *Node) share(tenant string, l Limit) (rate, capacity float64) {
	if len(n.members) == 0 {
		return 0, 0
	}
	all := l.Rate*window.Seconds() + l.Burst
	own := Units(int(all*n.evenPart), n.self, n.members, tenant)
	if own == 0 {
		return 0, 0
	}
	part := float64(own) / all
	capacity = max(1, part*l.Burst, part*l.Rate*smoothing.Seconds())
	// A bucket admits less than capacity + rate x window + 1 whole requests, and this many without a remainder of 1.
	most := (float64(own) + 1 - capacity) / (window.Seconds() * clockDrift)
	return min(part*l.Rate, most*(1-1e-6)), capacity
}

// Units returns the part of self when a whole number is split between all members, which include self. What is left over goes
// to the first members in an order that differs by name, so that all members that know the same ones split it alike.
func Units(total int, self string, members []string, name string) int {
	own := total / len(members)
	if rank(self, members, name) < total%len(members) {
		own++
	}
	return own
}

// rank returns the position of self in the order of a name.
func rank(self string, members []string, name string) (before int) {
	position := func(member string) uint64 { return xxhash.Sum64String(name + "\x00" + member) }
	own := position(self)
	for _, m := range members {
		if p := position(m); p < own || p == own && m < self {
			before++
		}
	}
	return before
}

// Credit is the credit that a request took. The zero value is that of a request without a limit.
type Credit struct {
	tenant string
	// account is the account that the credit was taken from; a limit that was removed and set again has another one.
	account *account
	// token is the number of the token of the even share, or loan that of the loan; the other one is 0.
	token, loan uint64
}

// Take takes the credit for a request. repeated is set if the request was counted before. It returns false if there is no
// credit now.
func (n *Node) Take(tenant string, repeated bool, now keyrange.Instant) (Credit, bool) {
	n.endLending(now)
	a := n.accounts[tenant]
	if a == nil {
		return Credit{}, true
	}
	a.roll(now)
	if !repeated {
		a.arrivals++
		if a.waiting > 0 && a.credit(now) <= a.waiting {
			// The credit belongs to requests that wait.
			a.unmet++
			return Credit{}, false
		}
	}
	if a.even.take(now) {
		return Credit{tenant: tenant, account: a, token: a.even.taken}, true
	}
	a.dropExpired(now)
	for i := range a.loans {
		if l := &a.loans[i]; l.left > 0 {
			l.left--
			return Credit{tenant: tenant, account: a, loan: l.number}, true
		}
	}
	if !repeated {
		a.unmet++
	}
	return Credit{}, false
}

// Wait records that a request for which there was no credit begins to wait for a loan, or with -1 that it ends to.
func (n *Node) Wait(tenant string, change int) {
	if a := n.accounts[tenant]; a != nil {
		a.waiting = max(0, a.waiting+change)
	}
}

// GiveBack returns the credit of a request that did not run. It changes c, so that a second call has no effect.
func (n *Node) GiveBack(c *Credit, now keyrange.Instant) {
	given := *c
	*c = Credit{}
	a := n.accounts[given.tenant]
	if given.tenant == "" || a == nil || a != given.account {
		return
	}
	if given.loan == 0 {
		a.even.giveBack(given.token, now)
		return
	}
	a.dropExpired(now)
	for i := range a.loans {
		if a.loans[i].number == given.loan {
			a.loans[i].left++
		}
	}
}

// RetryAfter returns when a request that was refused is to be repeated.
func (n *Node) RetryAfter(tenant string, now keyrange.Instant) time.Duration {
	a := n.accounts[tenant]
	if a == nil {
		return minRetryAfter
	}
	wait := a.even.wait(now)
	if a.retryAt > now {
		wait = min(wait, a.retryAt.Sub(now))
	} else if n.evenPart < 1 {
		wait = min(wait, AskInterval)
	}
	return max(wait, minRetryAfter)
}

// roll begins a new period if the present one is over.
func (a *account) roll(now keyrange.Instant) {
	switch age := now.Sub(a.periodStart); {
	case age >= 2*AskInterval:
		a.arrivedBefore = 0
	case age >= AskInterval:
		a.arrivedBefore = a.arrivals
	default:
		return
	}
	a.arrivals, a.periodStart = 0, now
}

func (a *account) dropExpired(now keyrange.Instant) {
	a.loans = slices.DeleteFunc(a.loans, func(l loan) bool { return now >= l.until })
}

// credit returns the number of requests for which there is credit now.
func (a *account) credit(now keyrange.Instant) int {
	a.dropExpired(now)
	a.even.refill(now)
	credit := int(a.even.level)
	for _, l := range a.loans {
		credit += l.left
	}
	return credit
}

// wanted returns how many requests found no credit, or are expected before the next ask and will find none. The expected
// number is rounded down: a loan for a request that does not come is lost to others, and a request may wait for a loan.
func (a *account) wanted(now keyrange.Instant) int {
	a.roll(now)
	credit := float64(a.credit(now))
	comingIn := math.Floor(a.even.level+a.even.rate*AskInterval.Seconds()) - math.Floor(a.even.level)
	// Requests that wait may be given up before the even share has credit for them.
	missing := float64(max(a.unmet, a.waiting)) - credit
	later := missing + float64((a.arrivals+a.arrivedBefore)/2) - comingIn
	return int(min(max(missing, later), math.Ceil(a.limit.Rate+a.limit.Burst)))
}

// Ask is a request for a loan.
type Ask struct {
	Tenant string
	Wanted int
}

// Grant is the answer to an ask.
type Grant struct {
	Tenant string
	// Count is the number of requests that may be admitted, and RetryAfter when more can be lent if Count is below what was
	// asked for.
	Count      int
	RetryAfter time.Duration
}

// Asks returns what the node asks for the tenants whose lenders may be asked now, in the order of the tenants' names.
func (n *Node) Asks(due func(tenant string) bool, now keyrange.Instant) []Ask {
	var asks []Ask
	for name, a := range n.accounts {
		if !due(name) {
			continue
		}
		if wanted := a.wanted(now); wanted > 0 {
			asks = append(asks, Ask{name, wanted})
		}
		a.unmet = 0
	}
	slices.SortFunc(asks, func(a, b Ask) int { return strings.Compare(a.Tenant, b.Tenant) })
	return asks
}

// Granted adds the loans that answer an ask that was sent at the time.
func (n *Node) Granted(grants []Grant, sent, now keyrange.Instant) {
	for _, g := range grants {
		a := n.accounts[g.Tenant]
		if a == nil {
			continue
		}
		a.retryAt = now.Add(min(max(g.RetryAfter, 0), maxRetryAfter))
		if until := sent.Add(useTime); g.Count > 0 && now < until {
			n.loanNumber++
			a.loans = append(a.loans, loan{number: n.loanNumber, left: g.Count, until: until})
		}
	}
}
