package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// probeState belongs to the probe job, which never runs twice at once.
type probeState struct {
	// instance is the instance that was probed last, and failures the number of its consecutive failed probes.
	instance string
	failures int
	// ends are the ends up to which the ownership records were read at the last probes, the older one first. An end that
	// the instance has not read two probes later was missed; it may collect newer ones.
	ends [2]int64
}

// probeSuccessor probes the next instance of the service. After repeated failures it has reconcile open a suspicion
// against that instance.
func (g *Gateway) probeSuccessor() {
	if !g.serviceKeyed() {
		return
	}
	table, _ := g.ranges.get(g.self.Service)
	next, ok := g.successor(table)
	if !ok {
		return
	}
	if next.Instance != g.successorProbe.instance {
		g.successorProbe = probeState{instance: next.Instance, ends: g.successorProbe.ends}
	}
	defer func(end int64) { g.successorProbe.ends = [2]int64{g.successorProbe.ends[1], end} }(g.ranges.currentEnd())
	err := g.probeMember(next)
	// An instance that does not answer in time is probed again at once: a process that is merely restarting refuses
	// connections instead.
	for err != nil && g.successorProbe.failures < suspectAfterFailures && problem.KindOf(err) != problem.Invalid && g.isTimeout(err) {
		err = g.probeMember(next)
	}
	if err == nil {
		g.suspect.Store(nil)
		return
	}
	if g.successorProbe.failures < suspectAfterFailures {
		return
	}
	g.successorProbe.failures = 0
	g.events.Emit(eventlog.OwnerSuspected, eventlog.Name("peer_instance", next.Instance), eventlog.Cause(err))
	g.suspect.Store(&next.Instance)
	g.reconcileTrigger.Fire()
}

// probeMember asks an instance whether it runs, and counts consecutive failures.
func (g *Gateway) probeMember(m registry.Member) error {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	instance, load, err := g.deps.Peers.Probe(ctx, m.Address, g.successorProbe.ends[0])
	if err == nil && instance != m.Instance {
		err = problem.New(problem.Invalid, "wait until the record of the instance is removed", "instance %s answers at the address of instance %s", instance, m.Instance)
	}
	if err != nil {
		g.successorProbe.failures++
		return err
	}
	g.successorProbe.failures = 0
	g.members.recordLoad(instance, load, time.Now())
	return nil
}

// isTimeout reports whether a probe failed by a timeout rather than by an answer from the other machine.
func (g *Gateway) isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return g.ctx.Err() == nil && (errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout())
}

// successor returns the member of the service that follows this node in the ring of instance names and is neither
// suspected nor lost.
func (g *Gateway) successor(table *keyrange.Table) (registry.Member, bool) {
	if !table.Initialized() {
		return registry.Member{}, false
	}
	var others []registry.Member
	for _, m := range g.members.ofService(g.self.Service) {
		_, suspected := table.Suspicions[m.Instance]
		if m.Instance != g.self.Instance && !suspected && !table.Lost[m.Instance] && (m.Server.Ready || table.Owns(m.Instance)) {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return registry.Member{}, false
	}
	slices.SortFunc(others, func(a, b registry.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, m := range others {
		if m.Instance > g.self.Instance {
			return m, true
		}
	}
	return others[0], true
}
