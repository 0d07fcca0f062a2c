package gateway

import (
	"context"
	"maps"
	"sync/atomic"

	"heatherreel/internal/lockorder"
	"heatherreel/internal/registry"
	"heatherreel/internal/storeera"
)

// eraReport returns the answer to other nodes that ask about earlier eras; the zero value unless the store was rolled back.
func (g *Gateway) eraReport() storeera.Report {
	era := g.era.current.Load()
	if era == 0 {
		return storeera.Report{}
	}
	inForce := g.routes.revision()
	r := storeera.Report{Era: era, NoRanges: g.knowsNoRanges()}
	now := g.deps.Now()
	g.proof.update(func(p *storeera.Revisions) { r.Revision, r.Settled = p.Highest(inForce), p.Settled(now) })
	return r
}

// knowsNoRanges reports whether this process knows no table of its service, and no grant of an earlier process of the node
// is in force.
func (g *Gateway) knowsNoRanges() bool {
	table, _ := g.ranges.get(g.self.Service)
	return table == nil && !g.ranges.isUnreadable(g.self.Service) && g.server.grantedNothing(g.deps.Now())
}

// maxReportProbes is the number of members that are asked at once. It leaves workers of the control pool free.
const maxReportProbes = 3

// askForReports asks members for their reports on the control pool. It calls answered with the answers so far, by instance,
// after each answer, or once if there is no member to ask; and end after the last one.
func (g *Gateway) askForReports(members []registry.Member, answered func(answers map[string]storeera.Report), end func()) {
	answers := map[string]storeera.Report{}
	if len(members) == 0 {
		answered(answers)
		end()
		return
	}
	mu := lockorder.New(lockorder.Calls)
	var next, running atomic.Int64
	ask := func() {
		for i := next.Add(1) - 1; i < int64(len(members)); i = next.Add(1) - 1 {
			if report, ok := g.askForReport(members[i]); ok {
				mu.Lock()
				answers[members[i].Instance] = report
				soFar := maps.Clone(answers)
				mu.Unlock()
				answered(soFar)
			}
		}
		if running.Add(-1) == 0 {
			end()
		}
	}
	workers := min(maxReportProbes, len(members))
	running.Store(int64(workers))
	for range workers {
		if g.controlPool.Submit(ask) != nil && running.Add(-1) == 0 {
			end()
		}
	}
}

// askForReport asks a member for its report.
func (g *Gateway) askForReport(m registry.Member) (storeera.Report, bool) {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	// The end is below that of any read, so that the member reads nothing because of the probe.
	instance, load, err := g.deps.Peers.Probe(ctx, m.Address, -1)
	return load.Store, err == nil && instance == m.Instance
}

// confirmNoRanges asks the other nodes of the service whether they know a table of it, which the store does not show.
func (g *Gateway) confirmNoRanges(era uint64) {
	if !g.knowsNoRanges() || !g.ranges.asking.CompareAndSwap(false, true) {
		return
	}
	var others []registry.Member
	for _, m := range g.members.ofService(g.self.Service) {
		if m.Instance != g.self.Instance {
			others = append(others, m)
		}
	}
	asked := witnesses(others)
	g.askForReports(others, func(answers map[string]storeera.Report) {
		if storeera.NoRangesConfirmed(era, asked, answers) {
			g.ranges.confirmNone(era)
			g.reconcileTrigger.Fire()
		}
	}, func() { g.ranges.asking.Store(false) })
}

// witnesses returns the members as package storeera knows them.
func witnesses(members []registry.Member) []storeera.Witness {
	all := make([]storeera.Witness, 0, len(members))
	for _, m := range members {
		all = append(all, storeera.Witness{Instance: m.Instance, Region: m.Region})
	}
	return all
}

// confirmNone records that no node of the service knows a table of it.
func (t *rangeTable) confirmNone(era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownership.ConfirmNone(era)
}
