package gateway

import (
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyrange"
)

// maxReplyDelay is how long a reply is delayed while keys are moving to the backend server. A reply counts as
// acknowledgement only within 1 s. Without the delay the keys would be granted with the next heartbeat, 870 ms later.
const maxReplyDelay = 700 * time.Millisecond

// awaitGrantableRanges waits until the ownership is settled and no keys are about to be assigned to the backend server,
// for at most maxReplyDelay.
func (g *Gateway) awaitGrantableRanges(m heartbeat.Message) {
	if !g.serviceKeyed() {
		return
	}
	timeout := time.NewTimer(maxReplyDelay)
	defer timeout.Stop()
	for {
		changed := g.ranges.changes()
		table, _ := g.ranges.get(g.self.Service)
		if g.ranges.isSettled() && !table.HasIncoming(keyrange.Owner{Instance: g.self.Instance, Server: m.Server, StartedUnixMS: m.StartedUnixMS}) {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-g.ctx.Done():
			return
		}
	}
}

// grantOnHeartbeat returns the reply to a heartbeat. If keys are granted by calls, the reply grants nothing.
func (g *Gateway) grantOnHeartbeat(m heartbeat.Message, now keyrange.Instant) heartbeat.Reply {
	if g.grantsByCalls() {
		g.grantTrigger.Fire()
		return heartbeat.Reply{}
	}
	if !m.Ended && !m.Draining {
		g.awaitGrantableRanges(m)
	}
	return g.grantByReply(m, now)
}

// grantByReply returns the spans that the backend server may hold. It grants nothing without a lease, and nothing to an
// incarnation that the table does not name as an owner.
func (g *Gateway) grantByReply(m heartbeat.Message, now keyrange.Instant) heartbeat.Reply {
	table, _ := g.ranges.get(g.self.Service)
	if m.Ended || table == nil {
		return heartbeat.Reply{}
	}
	// The reply may have been delayed. The hold counts from the arrival of the heartbeat nevertheless.
	holdTime := g.ranges.holdTime(now)
	if holdTime == 0 {
		g.events.Emit(eventlog.GrantWithheld, eventlog.Name("server", m.Server))
		return heartbeat.Reply{}
	}
	g.server.countGrant()
	spans := keyhold.Spans(g.ranges.grantable(keyrange.Owner{Instance: g.self.Instance, Server: m.Server, StartedUnixMS: m.StartedUnixMS}, g.self.Service))
	if g.server.recordGrant(spans, keyrange.HoldExpiry(now, holdTime), g.deps.Now()) {
		g.controlPool.After(grantEffectDelay, g.server.wakeKeyWaiters)
	}
	return heartbeat.Reply{Hold: holdTime, Spans: spans}
}

// countGrant announces a grant to reconcileRanges, which must not write a table that was computed before the grant. It is
// called before the grantable ranges are read: either they already lack what a pending write takes away, or that write
// is dropped.
func (t *serverTracker) countGrant() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
}

// grantEffectDelay is how long a reply takes to reach the backend server and take effect. The backend server would
// refuse a request that arrives earlier, since it does not hold the key yet.
const grantEffectDelay = 15 * time.Millisecond

// recordGrant records the spans of a reply. It reports whether some of them are new to the backend server.
func (t *serverTracker) recordGrant(spans []keyhold.Span, expiresAt, now keyrange.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds.GrantByReply(spans, expiresAt, now.Add(grantEffectDelay), now)
}
