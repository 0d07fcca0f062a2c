package engine

import (
	"slices"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/operator"
	"heatherreel/internal/telemetry"
	"heatherreel/internal/worker"
)

var _ operator.Source = (*Engine)(nil)

// Health implements operator.Source. A node accepts requests when it has a configuration; without a lease it still
// forwards.
func (e *Engine) Health() operator.Health {
	switch {
	case e.stopping.Load():
		return operator.Health{Reason: "the node is stopping"}
	case e.ledger.revision() == 0:
		return operator.Health{Reason: "no configuration is in force"}
	}
	return operator.Health{Ready: true}
}

// position returns how far this node has replayed the log.
func (e *Engine) position() operator.Position {
	f := e.ledger.freshness(time.Now())
	p := operator.Position{Offset: f.offset, HighestKnown: max(f.offset, f.highestPeerOffset), Freshness: operator.FreshnessCurrent}
	switch {
	case !f.complete:
		// The log has dropped records that this node lacks, so no offset shows what it misses.
		p.Freshness = operator.FreshnessUnknown
	case f.highestPeerOffset > f.offset:
		p.Freshness = operator.FreshnessBehind
	case !f.upToDate():
		p.Freshness = operator.FreshnessUnknown
	}
	return p
}

// Status implements operator.Source.
func (e *Engine) Status() operator.Status {
	s := operator.Status{
		Incarnation: e.incarnation(),
		Instance:    e.options.Self.Instance,
		DataCentre:  e.options.Self.DataCentre,
		Region:      e.options.Self.Region,
		Service:     e.backend.service(),
		Draining:    e.shouldDrain(),
		Ledger:      e.position(),
		Revision:    e.ledger.revision(),
		Lease:       e.leases.status(time.Now()),
	}
	e.ledger.read(func(state *ledger.State, c *config.Configuration) {
		s.Members = describeMembers(state, c)
		s.Groups = describeGroups(state)
	})
	return s
}

// describeMembers lists the live members, ordered by incarnation.
func describeMembers(s *ledger.State, c *config.Configuration) []operator.Member {
	owned := map[ledger.Incarnation]int{}
	for _, g := range s.Groups {
		for i := range g.Slices {
			owned[g.Slices[i].Owner]++
		}
	}
	list := make([]operator.Member, 0, len(s.Members))
	for _, m := range s.Members {
		list = append(list, describeMember(m, c, owned[m.Incarnation]))
	}
	slices.SortFunc(list, func(a, b operator.Member) int { return int(a.Incarnation) - int(b.Incarnation) })
	return list
}

// describeMember describes one member.
func describeMember(m *ledger.Member, c *config.Configuration, owned int) operator.Member {
	return operator.Member{
		Incarnation: m.Incarnation,
		Instance:    m.Instance,
		DataCentre:  m.DataCentre,
		Region:      m.Region,
		Service:     m.Service,
		Addresses:   m.Addresses,
		Weight:      m.Weight,
		Slices:      owned,
		TakenOut:    c != nil && c.TakenOut(m.DataCentre),
	}
}

// describeGroups summarizes the assignment of each group, in group order.
func describeGroups(s *ledger.State) []operator.Group {
	list := make([]operator.Group, 0, len(s.Groups))
	for _, g := range s.Groups {
		list = append(list, describeGroup(s, g))
	}
	slices.SortFunc(list, func(a, b operator.Group) int {
		return keyspace.Group{Service: a.Service, Home: keyspace.NewHome(a.Home)}.Compare(
			keyspace.Group{Service: b.Service, Home: keyspace.NewHome(b.Home)})
	})
	return list
}

// describeGroup summarizes the assignment of one group.
func describeGroup(s *ledger.State, g *ledger.Group) operator.Group {
	summary := operator.Group{Service: g.ID.Service, Home: g.ID.Home.Regions(), Version: g.Version, Slices: len(g.Slices)}
	shares := map[ledger.Incarnation]int{}
	for i := range g.Slices {
		slice := &g.Slices[i]
		if len(slice.Sources) > 0 {
			summary.Unsettled++
		}
		if slice.Owner == 0 {
			summary.Unowned++
			continue
		}
		shares[slice.Owner]++
	}
	for owner, count := range shares {
		share := operator.Share{Owner: owner, Slices: count}
		if m := s.Members[owner]; m != nil {
			share.Instance = m.Instance
		}
		summary.Owners = append(summary.Owners, share)
	}
	slices.SortFunc(summary.Owners, func(a, b operator.Share) int { return int(a.Owner) - int(b.Owner) })
	return summary
}

// status describes this node's lease.
func (t *leaseTable) status(now time.Time) operator.Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holder == nil {
		return operator.Lease{State: operator.LeaseNotJoined}
	}
	l := operator.Lease{State: operator.LeaseExpired, WitnessSetVersion: t.holder.Version()}
	switch {
	case t.holder.Owns(now):
		l.State = operator.LeaseOwning
		l.RemainingMS = t.holder.OwnsUntil().Sub(now).Milliseconds()
	case t.holder.FirstLevel(now):
		l.State = operator.LeaseFirstLevel
	}
	for _, w := range t.holder.Witnesses(now) {
		l.Witnesses = append(l.Witnesses, describeWitness(w, now))
	}
	return l
}

// describeWitness describes one witness.
func describeWitness(w lease.WitnessStatus, now time.Time) operator.Witness {
	status := operator.Witness{Incarnation: w.Witness, AnswerAgeMS: -1, Marked: w.Marked}
	if !w.Answered.IsZero() {
		status.AnswerAgeMS = now.Sub(w.Answered).Milliseconds()
	}
	return status
}

// Explain implements operator.Source.
func (e *Engine) Explain(query operator.ExplainQuery) (operator.Explanation, error) {
	if _, err := e.Limits(query.Service, query.Tenant); err != nil {
		return operator.Explanation{}, err
	}
	explanation := operator.Explanation{Service: query.Service, Tenant: query.Tenant, Ledger: e.position()}
	explanation.Revision = e.ledger.revision()
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		settingsSubject := e.subject(query.Service, query.Tenant, query.Key)
		home := c.Resolve(settingsSubject).HomeRegions
		explanation.Home = home.Regions()
		explanation.Settings = c.Explain(settingsSubject)
		id := keyspace.Group{Service: query.Service, Home: home}
		index, slice, known := s.Lookup(id, keyspace.Hash(query.Key))
		if !known {
			return
		}
		explanation.Slice, explanation.Slices = index, uint32(len(s.Groups[id].Slices))
		explanation.Fence, explanation.Sources = slice.Fence, slice.Sources
		if m := s.Members[slice.Owner]; m != nil {
			owner := describeMember(m, c, len(s.Owned(slice.Owner)))
			explanation.Owner = &owner
		}
	})
	return explanation, nil
}

// Configuration implements operator.Source.
func (e *Engine) Configuration() operator.Configuration {
	c := operator.Configuration{Ledger: e.position()}
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		if s.Configuration != nil {
			current := *s.Configuration
			c.Current = &current
		}
		c.History = slices.Clone(s.History)
	})
	return c
}

// Gauges returns the values of the gauge metrics.
func (e *Engine) Gauges() telemetry.Snapshot {
	now := time.Now()
	freshness := e.ledger.freshness(now)
	admissionUsage := e.admission.usage()
	s := telemetry.Snapshot{
		LedgerOffset:     uint64(freshness.offset),
		HighestOffset:    uint64(max(freshness.highestPeerOffset, freshness.offset)),
		LogSilence:       freshness.logSilence,
		Revision:         uint64(e.ledger.revision()),
		RetainedOutcomes: e.outcomes.usage().Entries,
		RunningRequests:  admissionUsage.Running,
		ConcurrencyLimit: admissionUsage.Limit,
		Lease:            telemetry.LeaseNone,
	}
	switch lease := e.leases.status(now); lease.State {
	case operator.LeaseOwning:
		s.Lease = telemetry.LeaseOwning
		s.LeaseLeft = time.Duration(lease.RemainingMS) * time.Millisecond
	case operator.LeaseFirstLevel:
		s.Lease = telemetry.LeaseFirstLevel
	}
	self := e.incarnation()
	e.ledger.read(func(state *ledger.State, _ *config.Configuration) {
		s.Members = len(state.Members)
		s.OwnedSlices = []telemetry.ServiceCount{{Service: e.backend.service(), Count: len(state.Owned(self))}}
	})
	for _, p := range e.pools() {
		s.Pools = append(s.Pools, telemetry.PoolDepth{Pool: p.Name(), Depth: p.Depth()})
	}
	return s
}

// pools lists all worker pools.
func (e *Engine) pools() []*worker.Pool {
	return []*worker.Pool{e.ingressPool, e.ownerPool, e.leasePool, e.ledgerPool, e.appendPool, e.controlPool}
}

// ControlPool returns the pool that answers operators' requests.
func (e *Engine) ControlPool() *worker.Pool { return e.controlPool }
