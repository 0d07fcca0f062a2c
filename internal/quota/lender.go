package quota

import (
	"time"

	"heatherreel/internal/keyrange"
)

// Lender lends the part of limits that is not split evenly. What it has lent is taken from a bucket at once, so that no
// return, message or clock of a borrower can add to it.
type Lender struct {
	accounts map[string]*lent
	// opensAt is when the lenders before a change of the service have ended; zero if there was none.
	opensAt keyrange.Instant
}

// lent is what a lender knows of a tenant.
type lent struct {
	bucket
	// fence is that of the key range by which the node is the lender, and opensAt when the loans of its predecessor are over.
	fence   uint64
	opensAt keyrange.Instant
	// asked are the last asks of the borrowers.
	asked map[string]lastAsk
}

type lastAsk struct {
	wanted int
	at     keyrange.Instant
}

// NewLender returns a lender that has lent nothing.
func NewLender() *Lender { return &Lender{accounts: map[string]*lent{}} }

// configurationSpread is the time by which nodes read a configuration at different moments.
const configurationSpread = 3 * time.Second

// ChangeService records that the owners of another service lend by the configuration in force. Nodes that have not read it
// yet still lend and borrow by the one before. What this node has saved up as an earlier lender does not count: the lenders
// since have lent the same part of the limits.
func (l *Lender) ChangeService(now keyrange.Instant) {
	clear(l.accounts)
	l.opensAt = now.Add(configurationSpread + takeoverWait)
}

// Observe records that the node is the lender of a tenant by a key range with the fence.
func (l *Lender) Observe(tenant string, fence uint64, now keyrange.Instant) {
	l.observe(tenant, fence, now)
}

// observe returns the account of a tenant whose lender the node is. A new one starts from nothing, as the predecessor may
// have lent all that there was.
func (l *Lender) observe(tenant string, fence uint64, now keyrange.Instant) *lent {
	a := l.accounts[tenant]
	if a == nil || a.fence != fence {
		opensAt := max(now.Add(takeoverWait), l.opensAt)
		a = &lent{bucket: bucket{at: opensAt}, fence: fence, opensAt: opensAt, asked: map[string]lastAsk{}}
		l.accounts[tenant] = a
	}
	return a
}

// Lend answers the ask of a borrower. The limit is that of the tenant, and the fence that of the key range by which the
// node is the lender at this moment.
func (l *Lender) Lend(borrower string, ask Ask, limit Limit, fence uint64, now keyrange.Instant) Grant {
	a := l.observe(ask.Tenant, fence, now)
	if now < a.opensAt {
		return Grant{Tenant: ask.Tenant, RetryAfter: a.opensAt.Sub(now)}
	}
	rate := limit.Rate * (1 - evenPart)
	// What comes in between two asks must find room.
	a.set(rate, max(limit.Burst*(1-evenPart)+lenderSlack, rate*AskInterval.Seconds()), now)
	wanted := max(0, ask.Wanted)
	a.asked[borrower] = lastAsk{wanted, now}
	total := 0
	for name, last := range a.asked {
		if now.Sub(last.at) > 2*AskInterval {
			delete(a.asked, name)
			continue
		}
		total += last.wanted
	}
	count := 0
	if wanted > 0 {
		// Each borrower gets its part of what there is and comes in until its next ask. The first of them does not take all,
		// and nothing is left over that finds no room.
		supply := a.level + rate*AskInterval.Seconds()
		count = min(wanted, int(min(a.level, supply*float64(wanted)/float64(total))))
		if count == 0 && a.level >= 1 {
			count = 1
		}
	}
	a.level -= float64(count)
	g := Grant{Tenant: ask.Tenant, Count: count}
	if count < wanted {
		g.RetryAfter = maxRetryAfter
		if rate > 0 {
			g.RetryAfter = time.Duration(min(max(1, float64(total-count)-a.level)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
		}
	}
	return g
}
