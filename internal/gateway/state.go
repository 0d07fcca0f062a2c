package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherreel/internal/operator"
)

// State returns the state of the node for operators.
func (g *Gateway) State() operator.GatewayState {
	s := operator.GatewayState{Instance: g.self.Instance, DataCentre: g.self.DataCentre, Region: g.self.Region,
		Service: g.self.Service, Ready: g.Ready(), Evacuated: slices.Sorted(maps.Keys(g.routes.evacuatedDataCentres()))}
	if table := g.routes.current(); table != nil {
		s.Revision, s.Routes = table.Revision, table.RouteCount()
	}
	s.Members = g.members.state(time.Now())
	for topic, served := range g.served {
		served.addState(&s, topic, time.Now())
	}
	if g.grantsByCalls() {
		s.Grants = g.server.grantState(g.deps.Now())
	}
	g.ranges.addState(&s, g.self.Service, g.deps.Now())
	return s
}

// state returns all members ordered by instance name.
func (t *memberTable) state(now time.Time) []operator.GatewayMember {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []operator.GatewayMember
	for _, p := range t.peers {
		m := operator.GatewayMember{Instance: p.Instance, DataCentre: p.DataCentre, Service: p.Service, Server: p.Server.ID,
			Draining: p.Server.Draining, Running: p.load.Running, Waiting: p.load.Waiting, Slots: p.load.Slots, ReportAgeMS: -1, Failures: p.failures}
		if p.load.Known {
			m.ReportAgeMS = now.Sub(p.loadReportedAt).Milliseconds()
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b operator.GatewayMember) int { return cmp.Compare(a.Instance, b.Instance) })
	return members
}
