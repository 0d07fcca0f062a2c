package gateway

import (
	"context"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyload"
	"heatherreel/internal/keyrange"
)

// Times of balancing.
const (
	balanceInterval = 300 * time.Millisecond
	// balancePause lets a move take effect, and the load show it, before the next one of the same node.
	balancePause = 1800 * time.Millisecond
	// usualServiceTime stands for a backend server that has not run a request yet.
	usualServiceTime = 200 * time.Millisecond
)

// keyMove is a stretch of keys that the node wants to move.
type keyMove struct {
	span keyload.Span
	to   string
}

// balance moves busy keys to a backend server of the service with more room. Each node moves its own keys only.
func (g *Gateway) balance() {
	now := time.Now()
	g.server.mu.Lock()
	g.server.meter.Tick(now)
	g.server.mu.Unlock()
	if !g.keyed() || now.Sub(g.movedAt) < balancePause {
		return
	}
	own := g.keyLoad()
	table, _ := g.ranges.get(g.self.Service)
	if !keyload.Busy(own) || !table.Founded() || len(table.Leaving(g.self.Instance)) > 0 {
		return
	}
	moves := g.pickKeys(table, keyload.Shift(own, g.otherLoads(table, own.ServiceTime)))
	if len(moves) == 0 {
		return
	}
	g.movedAt = now
	for _, m := range moves {
		g.events.Emit(eventlog.KeysOffloaded, eventlog.Name("to_instance", m.to), eventlog.Count("from", int(m.span.From)),
			eventlog.Count("to", int(m.span.To)), eventlog.Count("use_percent", int(own.Use()*100)), eventlog.Count("moved_per_second", int(m.span.Rate)))
	}
	g.offload.Store(&moves)
	g.upkeep.Fire()
}

// pickKeys returns a stretch of keys for each wanted move, as far as there are such.
func (g *Gateway) pickKeys(table *keyrange.Table, wanted []keyload.Move) []keyMove {
	var moves []keyMove
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	left := table.Grants(keyrange.Owner{Instance: g.self.Instance, Server: g.server.beat.Server, Born: g.server.beat.Born})
	for _, m := range wanted {
		span, found := g.server.meter.Pick(left, m.Rate, m.Rate*mostOverShift)
		if !found {
			continue
		}
		moves = append(moves, keyMove{span: span, to: m.To})
		left = keyrange.Without(left, span.From, span.To)
	}
	return moves
}

// mostOverShift is how far a moved stretch may be above the wanted rate.
const mostOverShift = 1.3

// keyLoad returns the load of the backend server beside the node.
func (g *Gateway) keyLoad() keyload.Load {
	l := g.server.load(time.Now())
	service := l.ServiceTime
	if service <= 0 {
		service = usualServiceTime
	}
	return keyload.Load{Instance: g.self.Instance, Rate: l.KeyRate, ServiceTime: service, Slots: l.Slots, Waiting: l.Waiting}
}

// otherLoads asks the other candidates of the service for their load. Those that do not answer are left out; usual stands
// for the service time of one that has run nothing yet.
func (g *Gateway) otherLoads(table *keyrange.Table, usual time.Duration) []keyload.Load {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	var loads []keyload.Load
	for _, c := range g.candidates(table) {
		member, known := g.members.get(c.Owner.Instance)
		if !known || member.Instance == g.self.Instance {
			continue
		}
		_, load, err := g.deps.Peers.Probe(ctx, member.Address, g.ranges.knownEnd())
		if err != nil || !load.Known || load.ColdFor > 0 || !load.Current {
			continue
		}
		g.members.reported(member.Instance, load, time.Now())
		if load.ServiceTime <= 0 {
			load.ServiceTime = usual
		}
		loads = append(loads, keyload.Load{Instance: member.Instance, Rate: load.KeyRate, ServiceTime: load.ServiceTime, Slots: load.Slots})
	}
	return loads
}
