package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyload"
	"heatherreel/internal/keyrange"
)

// Intervals and assumptions of load balancing.
const (
	balanceInterval = 300 * time.Millisecond
	// balanceCooldown lets a move take effect and show in the load before the same node makes the next one.
	balanceCooldown = 1800 * time.Millisecond
	// defaultServiceTime is assumed for a backend server that has not run a request yet.
	defaultServiceTime = 200 * time.Millisecond
)

// keyMove is a span of keys that the node wants to move to another instance.
type keyMove struct {
	span keyload.Span
	to   string
}

// balance moves busy keys to backend servers of the service with more free capacity. Each node moves its own keys only.
func (g *Gateway) balance() {
	now := time.Now()
	g.server.mu.Lock()
	g.server.keyMeter.Update(now)
	g.server.mu.Unlock()
	if !g.serviceKeyed() || now.Sub(g.lastMoveAt) < balanceCooldown {
		return
	}
	ownLoad := g.localKeyLoad()
	table, _ := g.ranges.get(g.self.Service)
	if !keyload.ShouldOffload(ownLoad) || !table.Initialized() || len(table.Outgoing(g.self.Instance)) > 0 {
		return
	}
	moves := g.pickMoves(table, keyload.PlanOffload(ownLoad, g.peerKeyLoads(table, ownLoad.ServiceTime)))
	if len(moves) == 0 {
		return
	}
	g.lastMoveAt = now
	for _, m := range moves {
		g.events.Emit(eventlog.KeysOffloaded, eventlog.Name("to_instance", m.to), eventlog.Count("from", int(m.span.From)),
			eventlog.Count("to", int(m.span.To)), eventlog.Count("use_percent", int(ownLoad.Utilization()*100)), eventlog.Count("moved_per_second", int(m.span.Rate)))
	}
	g.plannedMoves.Store(&moves)
	g.reconcileTrigger.Fire()
}

// pickMoves returns a span of keys for each wanted move for which a suitable one exists.
func (g *Gateway) pickMoves(table *keyrange.Table, wanted []keyload.Move) []keyMove {
	var moves []keyMove
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	remaining := table.Grants(keyrange.Owner{Instance: g.self.Instance, Server: g.server.lastHeartbeat.Server, StartedUnixMS: g.server.lastHeartbeat.StartedUnixMS})
	for _, m := range wanted {
		span, found := g.server.keyMeter.PickSpan(remaining, m.Rate, m.Rate*maxSpanRateFactor)
		if !found {
			continue
		}
		moves = append(moves, keyMove{span: span, to: m.To})
		remaining = keyrange.Without(remaining, span.From, span.To)
	}
	return moves
}

// maxSpanRateFactor is the highest rate of a moved span, as a multiple of the wanted rate.
const maxSpanRateFactor = 1.3

// localKeyLoad returns the load of the local backend server.
func (g *Gateway) localKeyLoad() keyload.Load {
	l := g.server.load(time.Now())
	serviceTime := l.ServiceTime
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	return keyload.Load{Instance: g.self.Instance, Rate: l.KeyRate, ServiceTime: serviceTime, Slots: l.Slots, Waiting: l.Waiting}
}

// maxLoadProbes is the number of other owners that are asked for their load before keys move. They are asked one after the
// other, within probeTimeout in all; 8 in another region take 0.13 s.
const maxLoadProbes = 8

// sampleOwners returns up to count of the candidates, chosen at random, without the instance self. Of many owners a fixed
// order would always ask, and load, the first ones.
func sampleOwners(candidates []keyrange.Candidate, self string, count int, shuffle func(n int, swap func(i, j int))) []keyrange.Candidate {
	others := slices.DeleteFunc(slices.Clone(candidates), func(c keyrange.Candidate) bool { return c.Owner.Instance == self })
	shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}

// peerKeyLoads asks a sample of the other candidates of the service for their load. It leaves out those that do not answer,
// are cold or have not read the range tables recently. For a backend server that has not run a request yet it assumes
// serviceTime.
func (g *Gateway) peerKeyLoads(table *keyrange.Table, serviceTime time.Duration) []keyload.Load {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	var loads []keyload.Load
	for _, c := range sampleOwners(g.ownerCandidates(table), g.self.Instance, maxLoadProbes, rand.Shuffle) {
		member, known := g.members.get(c.Owner.Instance)
		if !known {
			continue
		}
		_, load, err := g.deps.Peers.Probe(ctx, member.Address, g.ranges.currentEnd())
		if err != nil || !load.Known || load.ColdFor > 0 || !load.OwnershipCurrent {
			continue
		}
		g.members.recordLoad(member.Instance, load, time.Now())
		if load.ServiceTime <= 0 {
			load.ServiceTime = serviceTime
		}
		loads = append(loads, keyload.Load{Instance: member.Instance, Rate: load.KeyRate, ServiceTime: load.ServiceTime, Slots: load.Slots})
	}
	return loads
}
