package gateway

import (
	"sync/atomic"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/request"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
	"heatherreel/internal/storeera"
	"heatherreel/internal/tenantauth"
)

// regionsRetryAfter is when a caller may retry whose tenant and route have no region in common. That changes only with the
// configuration.
const regionsRetryAfter = 5 * time.Second

// tenantPollTimeout is the poll timeout of the operators' topic while the configuration has tenants. The proof is up to two
// polls old when the next read ends. With 700 ms, unknown keys are refused as such in calm conditions, where the proof must
// be at most 2 s old, and known keys are served for 3 s without a path to the store, where it may be 4.5 s old.
const tenantPollTimeout = 700 * time.Millisecond

// configurationProof is the proof of how recent the configuration in force is. mu guards revisions; it has rank
// lockorder.ConfigurationProof.
type configurationProof struct {
	mu        *lockorder.Mutex
	revisions storeera.Revisions
	// stale is set while requests are refused because the proof is too old.
	stale atomic.Bool
	// asking is set while other nodes are asked for their revision.
	asking atomic.Bool
}

func newConfigurationProof() *configurationProof {
	return &configurationProof{mu: lockorder.New(lockorder.ConfigurationProof)}
}

// asOf returns the time at which the configuration in force was the newest. It must be read before the configuration, which
// may then only be newer.
func (p *configurationProof) asOf(now keyrange.Instant) keyrange.Instant {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revisions.ProvedAt(now)
}

// update changes the revisions.
func (p *configurationProof) update(change func(r *storeera.Revisions)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.revisions)
}

// extendProof records that a read that was sent at asOf has been applied.
func (g *Gateway) extendProof(asOf keyrange.Instant) {
	inForce := g.routes.revision()
	g.proof.update(func(r *storeera.Revisions) { r.Extend(asOf, inForce) })
	g.noteProof()
}

// noteProof logs that a proof that was too old is recent again.
func (g *Gateway) noteProof() {
	now := g.deps.Now()
	if now.Sub(g.proof.asOf(now)) <= tenantauth.RefusalProofAge && g.proof.stale.CompareAndSwap(true, false) {
		g.events.Emit(eventlog.ConfigurationProved)
	}
}

// identify sets the tenant of a request and what follows from it, and takes the caller's key out of the request. It returns
// the answer to a request that is refused. asOf is when the configuration was proved to be the newest.
func (g *Gateway) identify(r *routed.Request, tenants *tenantauth.Table, matched *route.Route, asOf keyrange.Instant) *routed.Answer {
	authorization, identity := r.Authorization, r.Identity
	r.Authorization, r.Identity, r.Tenant = nil, nil, ""
	if tenants == nil {
		r.Header = append(r.Header, identity...)
		return nil
	}
	proof := tenantauth.Proof{Age: g.deps.Now().Sub(asOf), Revocation: g.options.Revocation}
	decision := tenants.Decide(tenantauth.Request{Authorization: authorization, Anonymous: matched.AllowAnonymous, Regions: matched.HomeRegions}, proof)
	if decision.Refusal != "" {
		return g.refuseTenant(decision.Refusal)
	}
	r.HomeRegions = decision.Regions
	if t := decision.Tenant; t != nil {
		r.Tenant = t.Name
		if t.HasPriority {
			r.Priority = t.Priority
		}
	}
	return nil
}

// refuseTenant returns the answer to a request that is refused because of its tenant.
func (g *Gateway) refuseTenant(reason request.Reason) *routed.Answer {
	answer := routed.NotRun(reason, 0)
	switch reason {
	case request.ConfigurationStale:
		if g.proof.stale.CompareAndSwap(false, true) {
			g.events.Emit(eventlog.ConfigurationStale)
		}
		// A poll that began before the process was suspended proves nothing when it ends.
		g.refreshTopicLimited(g.deps.OperatorTopic)
		answer.RetryAfter = notConfiguredRetryAfter
	case request.NoCommonRegion:
		answer.RetryAfter = regionsRetryAfter
	}
	return &answer
}

// hasTenants reports whether the configuration has tenants.
func hasTenants(t *route.Table) bool { return t != nil && t.Tenants != nil }
