package gateway

import (
	"context"
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/routed"
)

// Times of the questions after the slowness of the backend server's machine. They go to the same instance and take about a
// millisecond.
const (
	// slownessInterval is how often the backend server is asked while requests are held. A slow spell lasts some hundred
	// milliseconds.
	slownessInterval = 60 * time.Millisecond
	slownessTimeout  = 100 * time.Millisecond
	// askAgainAfter is how long a backend server that did not answer is left alone.
	askAgainAfter = 300 * time.Millisecond
)

// observe takes a work figure of the backend server.
func (t *serverTable) observe(figure float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.machine.Observe(now, figure)
	t.settle(t.queue.SetSlowdown(now, t.machine.Slowdown(now)))
}

// refreshSlowness asks the backend server whether its machine is slow, if it has told so before and not recently.
func (g *Gateway) refreshSlowness(ctx context.Context) {
	g.server.mu.Lock()
	now := time.Now()
	m := &g.server.machine
	wanted := m.Seen() && !m.Fresh(now) && !g.server.asking && now.Sub(g.server.askedAt) >= askAgainAfter
	if wanted {
		g.server.asking, g.server.askedAt = true, now
	}
	g.server.mu.Unlock()
	if wanted {
		g.askSlowness(ctx)
	}
}

// speedSamples is how many figures of a life are asked for without a request, so that the speed of its machine is known
// when keys are given out. Other programs slow a machine for about a fifth of the time.
const speedSamples = 3

// mostSpeedAsks bounds the questions of one life: a backend server need not tell a figure.
const mostSpeedAsks = 2 * speedSamples

// speedInterval separates the figures by more than the time for which a slow spell lasts.
const speedInterval = 450 * time.Millisecond

// measureSpeed asks the backend server for a figure if few are known.
func (g *Gateway) measureSpeed() {
	// The routes come before the backend server in the order of locks.
	keyed := g.keyed()
	g.server.mu.Lock()
	wanted := keyed && !g.server.ended && !g.server.asking && g.server.machine.Samples() < speedSamples &&
		g.server.speedAsks < mostSpeedAsks
	if wanted {
		g.server.asking = true
		g.server.speedAsks++
	}
	g.server.mu.Unlock()
	if !wanted {
		return
	}
	err := g.control.Submit(func() {
		g.askSlowness(g.ctx)
		g.control.After(speedInterval, g.measureSpeed)
	})
	if err != nil {
		g.server.mu.Lock()
		g.server.asking = false
		g.server.mu.Unlock()
	}
}

// askSlowness asks the backend server and takes its figure. Without one the last figure counts until it is too old.
func (g *Gateway) askSlowness(ctx context.Context) {
	figure := 0.0
	if table := g.routes.current(); table != nil {
		ctx, cancel := context.WithTimeout(ctx, slownessTimeout)
		defer cancel()
		var err error
		figure, err = g.deps.Backend.WorkFigure(ctx, g.self.BackendAddress, table.Services[g.self.Service].HealthPath)
		if err != nil {
			g.events.Emit(eventlog.WorkFigureMissing, eventlog.Cause(err))
		}
	}
	g.server.observe(figure)
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	g.server.asking = false
}

// diverts reports whether a request that another backend server may serve should go there, because work that starts now
// at this one takes much longer than usual.
func (g *Gateway) diverts(r routed.Request) bool {
	if !r.MayDivert || r.Keyed && g.keyed() {
		return false
	}
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	return g.server.machine.Slowdown(time.Now()) >= admission.HoldAbove
}

// checkSlowness runs while requests are held.
func (g *Gateway) checkSlowness() {
	g.server.mu.Lock()
	waits := g.server.queue.Held() && g.server.queue.Usage().Waiting > 0
	recent := g.server.machine.Age(time.Now()) < slownessInterval
	g.server.mu.Unlock()
	if !waits {
		return
	}
	if !recent {
		g.askSlowness(g.ctx)
	}
	g.slowness.FireAfter(slownessInterval)
}
