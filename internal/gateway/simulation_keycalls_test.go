package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"heatherreel/internal/keyhold"
)

// simulatedKeyCalls makes the calls of a node to its backend server. The backend server answers them, refuses a fence
// below one that it has seen, and loses a share of them, which it applies seconds later.
type simulatedKeyCalls struct {
	inst *simulatedInstance
	// connected is the incarnation that the open connection leads to, and label the one that the node expects there.
	connected *fakeBackendServer
	label     int64
}

// grantedSpan is a span that a call granted.
type grantedSpan struct {
	keyhold.Span
	until time.Time
}

// keyCallCounts counts the calls of all nodes.
type keyCallCounts struct{ grants, lost, refused, releases int }

// reach returns the incarnation that a call reaches, or the reply to a call that reaches none. The caller holds sim.mu.
func (k *simulatedKeyCalls) reach(c keyhold.Call) (*fakeBackendServer, keyhold.Reply) {
	notSent := keyhold.Reply{Result: keyhold.NotSent, ConnectionEnded: true, Err: errors.New("no connection")}
	if k.connected != nil && k.label == c.Incarnation {
		if k.connected != k.inst.server {
			k.connected = nil
			return nil, notSent
		}
		return k.connected, keyhold.Reply{}
	}
	k.inst.sim.mu.Unlock()
	mayConnect := c.MayConnect()
	k.inst.sim.mu.Lock()
	if !mayConnect {
		notSent.ConnectionEnded = false
		return nil, notSent
	}
	if k.inst.server == nil {
		return nil, notSent
	}
	k.connected, k.label = k.inst.server, c.Incarnation
	return k.connected, keyhold.Reply{}
}

// Grant implements KeyCalls.
func (k *simulatedKeyCalls) Grant(ctx context.Context, c keyhold.Call) keyhold.Reply {
	sim := k.inst.sim
	sim.mu.Lock()
	s, reply := k.reach(c)
	sim.mu.Unlock()
	if s == nil {
		return reply
	}
	hold := c.Hold()
	if hold == 0 {
		return keyhold.Reply{Result: keyhold.NotSent}
	}
	until := time.Now().Add(hold * 102 / 100)
	sim.mu.Lock()
	if g := k.inst.gateway; g != nil {
		if left := g.ranges.leaseRemaining(g.deps.Now()); hold*102/100 > left {
			sim.t.Errorf("%s grants keys for %v, its lease ends in %v", k.inst.self.Instance, hold, left)
		}
	}
	sim.keyCalls.grants++
	lost := sim.orderLoss > 0 && sim.orderRandom.Float64() < sim.orderLoss
	var lateBy time.Duration
	if lost {
		sim.keyCalls.lost++
		lateBy = 2*time.Second + time.Duration(sim.orderRandom.Int64N(int64(10*time.Second)))
	}
	sim.mu.Unlock()
	if lost {
		sim.applyLater(s, lateBy, func() { k.take(s, c.Span, until, true) })
		<-ctx.Done()
		k.giveUp()
		return keyhold.Reply{Result: keyhold.Unanswered, Err: ctx.Err()}
	}
	sleep(ctx, time.Millisecond)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if k.inst.server != s {
		k.connected = nil
		return keyhold.Reply{Result: keyhold.Unanswered, ConnectionEnded: true}
	}
	if !k.take(s, c.Span, until, false) {
		sim.keyCalls.refused++
		return keyhold.Reply{Result: keyhold.Refused}
	}
	return keyhold.Reply{Result: keyhold.Accepted}
}

// giveUp closes the connection.
func (k *simulatedKeyCalls) giveUp() {
	k.inst.sim.mu.Lock()
	defer k.inst.sim.mu.Unlock()
	k.connected = nil
}

// applyLater runs change after a delay, unless the incarnation or the test has ended by then.
func (sim *simulation) applyLater(s *fakeBackendServer, delay time.Duration, change func()) {
	sim.group.Go(func() {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
			sim.mu.Lock()
			defer sim.mu.Unlock()
			change()
		case <-s.ended:
		case <-sim.stop:
		}
	})
}

// take makes the backend server hold a span until a time, and reports whether it did. late marks a grant that is applied
// late: the platform does not count a short overlap of such a grant with a new owner, but the node avoids it all the
// same. The caller holds sim.mu.
func (k *simulatedKeyCalls) take(s *fakeBackendServer, span keyhold.Span, until time.Time, late bool) bool {
	if slices.ContainsFunc(s.seen, func(seen keyhold.Span) bool { return seen.Fence > span.Fence && seen.Overlaps(span.From, span.To) }) {
		return false
	}
	s.seen = slices.DeleteFunc(s.seen, func(seen keyhold.Span) bool { return span.From <= seen.From && seen.To <= span.To })
	s.seen = append(s.seen, span)
	if late && !until.After(time.Now()) {
		return true
	}
	s.cut(span.From, span.To, span.Fence)
	s.granted = append(s.granted, grantedSpan{Span: span, until: until})
	k.inst.sim.checkFence(k.inst, s, span)
	k.inst.sim.checkOwners()
	return true
}

// cut ends the hold of the keys in [from, to] that were granted under the fence or a lower one.
func (s *fakeBackendServer) cut(from, to uint16, fence uint64) {
	var remaining []grantedSpan
	for _, g := range s.granted {
		if !g.Overlaps(from, to) || g.Fence > fence {
			remaining = append(remaining, g)
			continue
		}
		if g.From < from {
			before := g
			before.To = from - 1
			remaining = append(remaining, before)
		}
		if g.To > to {
			after := g
			after.From = to + 1
			remaining = append(remaining, after)
		}
	}
	s.granted = remaining
}

// Release implements KeyCalls.
func (k *simulatedKeyCalls) Release(ctx context.Context, c keyhold.Call) keyhold.Reply {
	sim := k.inst.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s, reply := k.reach(c)
	if s == nil {
		return reply
	}
	sim.keyCalls.releases++
	if sim.orderLoss > 0 && sim.orderRandom.Float64() < sim.orderLoss {
		sim.keyCalls.lost++
		lateBy := 2*time.Second + time.Duration(sim.orderRandom.Int64N(int64(10*time.Second)))
		sim.applyLater(s, lateBy, func() { s.cut(c.Span.From, c.Span.To, c.Span.Fence) })
		sim.mu.Unlock()
		<-ctx.Done()
		sim.mu.Lock()
		k.connected = nil
		return keyhold.Reply{Result: keyhold.Unanswered, Err: ctx.Err()}
	}
	s.cut(c.Span.From, c.Span.To, c.Span.Fence)
	for slices.ContainsFunc(s.running, func(key uint16) bool { return c.Span.Overlaps(key, key) }) {
		if s.idle == nil {
			s.idle = make(chan struct{})
		}
		idle := s.idle
		sim.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
		}
		sim.mu.Lock()
		if ctx.Err() != nil {
			return keyhold.Reply{Result: keyhold.Unanswered, Err: ctx.Err()}
		}
	}
	return keyhold.Reply{Result: keyhold.Accepted, HandoverToken: fmt.Sprintf("from-%s", s.id)}
}

// endRun records that a request has ended.
func (inst *simulatedInstance) endRun(s *fakeBackendServer, key uint16) {
	inst.sim.mu.Lock()
	defer inst.sim.mu.Unlock()
	if i := slices.Index(s.running, key); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
	}
	if s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}
