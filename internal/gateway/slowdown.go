package gateway

import (
	"context"
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/routed"
)

// Intervals of the queries for the work figure of the local backend server. A query stays within the instance and takes
// about a millisecond.
const (
	// slowdownPollInterval is how often the backend server is queried while requests are held because its machine is
	// slow. A slow period lasts some hundred milliseconds.
	slowdownPollInterval = 60 * time.Millisecond
	workFigureTimeout    = 100 * time.Millisecond
	// workFigureRetryInterval is the shortest time between two queries on behalf of requests, so that a backend server
	// that does not answer is not queried for each of them.
	workFigureRetryInterval = 300 * time.Millisecond
)

// observeWorkFigure records a work figure of the backend server.
func (t *serverTracker) observeWorkFigure(figure float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.slowdownMonitor.Observe(now, figure)
	t.applyChange(t.queue.SetSlowdown(now, t.slowdownMonitor.Slowdown(now)))
}

// refreshWorkFigure queries the work figure if the backend server has reported one before, but none recently.
func (g *Gateway) refreshWorkFigure(ctx context.Context) {
	g.server.mu.Lock()
	now := time.Now()
	m := &g.server.slowdownMonitor
	needed := m.HasSamples() && !m.Fresh(now) && !g.server.queryingWorkFigure && now.Sub(g.server.workFigureQueriedAt) >= workFigureRetryInterval
	if needed {
		g.server.queryingWorkFigure, g.server.workFigureQueriedAt = true, now
	}
	g.server.mu.Unlock()
	if needed {
		g.queryWorkFigure(ctx)
	}
}

// minSpeedSamples is how many work figures are queried for each incarnation of the backend server even without
// requests, so that the speed of its machine is known when keys are assigned. Other programs slow a machine for about a
// fifth of the time, so that one figure is not enough.
const minSpeedSamples = 3

// maxSpeedProbes bounds these queries for one incarnation: a backend server need not report work figures.
const maxSpeedProbes = 2 * minSpeedSamples

// speedProbeInterval separates the queries by more than the length of a slow period.
const speedProbeInterval = 450 * time.Millisecond

// measureSpeed queries the work figure if too few are known.
func (g *Gateway) measureSpeed() {
	// serviceKeyed locks the route table, which comes before the server tracker in the lock order.
	serviceKeyed := g.serviceKeyed()
	g.server.mu.Lock()
	needed := serviceKeyed && !g.server.ended && !g.server.queryingWorkFigure && g.server.slowdownMonitor.SampleCount() < minSpeedSamples &&
		g.server.speedProbes < maxSpeedProbes
	if needed {
		g.server.queryingWorkFigure = true
		g.server.speedProbes++
	}
	g.server.mu.Unlock()
	if !needed {
		return
	}
	err := g.controlPool.Submit(func() {
		g.queryWorkFigure(g.ctx)
		g.controlPool.After(speedProbeInterval, g.measureSpeed)
	})
	if err != nil {
		g.server.mu.Lock()
		g.server.queryingWorkFigure = false
		g.server.mu.Unlock()
	}
}

// queryWorkFigure queries the backend server for its work figure and records it. If the query fails, the last figure
// counts until it is too old.
func (g *Gateway) queryWorkFigure(ctx context.Context) {
	figure := 0.0
	if table := g.routes.current(); table != nil {
		ctx, cancel := context.WithTimeout(ctx, workFigureTimeout)
		defer cancel()
		var err error
		figure, err = g.deps.Backend.WorkFigure(ctx, g.self.BackendAddress, table.Services[g.self.Service].HealthPath)
		if err != nil {
			g.events.Emit(eventlog.WorkFigureMissing, eventlog.Cause(err))
		}
	}
	g.server.observeWorkFigure(figure)
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	g.server.queryingWorkFigure = false
}

// shouldDivert reports whether a request that another backend server may serve should go there, because work that
// starts here now takes much longer than usual.
func (g *Gateway) shouldDivert(r routed.Request) bool {
	if !r.MayDivert {
		return false
	}
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	return g.server.slowdownMonitor.Slowdown(time.Now()) >= admission.HoldSlowdown
}

// pollSlowdown queries the work figure at intervals while requests are held.
func (g *Gateway) pollSlowdown() {
	g.server.mu.Lock()
	requestsHeld := g.server.queue.HoldingJobs() && g.server.queue.Usage().Waiting > 0
	figureIsRecent := g.server.slowdownMonitor.Age(time.Now()) < slowdownPollInterval
	g.server.mu.Unlock()
	if !requestsHeld {
		return
	}
	if !figureIsRecent {
		g.queryWorkFigure(g.ctx)
	}
	g.slowdownTrigger.FireAfter(slowdownPollInterval)
}
