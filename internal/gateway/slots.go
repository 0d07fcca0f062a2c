package gateway

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"heatherreel/internal/admission"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// acquireSlot waits for a slot for as long as the request can still finish in time. With a non-empty reason the request
// has no slot and does not run.
func (g *Gateway) acquireSlot(ctx context.Context, r routed.Request, p *progressReporter) (admission.Ticket, request.Reason) {
	g.server.mu.Lock()
	now := time.Now()
	g.server.applyChange(g.server.queue.SetSlowdown(now, g.server.slowdownMonitor.Slowdown(now)))
	g.server.applyLearnedLimit(now)
	giveUpAt := r.Deadline.Add(-max(minRunTime, g.server.queue.ExpectedServiceTime(r.Route)))
	// A call that waits is not refused before its latest start: its parent has done work that would be lost.
	if waitLimit := now.Add(r.Deadline.Sub(now) * queueWaitPercent / 100); waitLimit.Before(giveUpAt) && !r.Call {
		giveUpAt = waitLimit
	}
	job := admission.Job{Kind: r.Route, Tenant: r.Tenant, Class: request.Class(min(r.Priority, int(request.MaxClass))), Call: r.Call,
		Deadline: r.Deadline, Objective: r.Objective}
	if r.MayDivert {
		job.WaitLimit = admission.WaitLimit(now, r.FinishBy())
	}
	decision := g.server.queue.Offer(now, job)
	var waiter chan request.Reason
	if decision.Verdict == admission.Queued {
		waiter = make(chan request.Reason, 1)
		g.server.waiters[decision.Ticket] = waiter
	}
	g.server.applyChange(decision.Change)
	holdingJobs := g.server.queue.HoldingJobs()
	g.server.mu.Unlock()
	if holdingJobs && decision.Verdict == admission.Queued {
		g.slowdownTrigger.FireAfter(slowdownPollInterval)
	}
	if decision.Verdict == admission.Refused {
		return 0, decision.Reason
	}
	if waiter == nil {
		return decision.Ticket, ""
	}
	ctx, cancel := context.WithDeadline(ctx, giveUpAt)
	defer cancel()
	return decision.Ticket, g.awaitSlot(ctx, decision.Ticket, waiter, p)
}

// allowCold takes one request from the rate limit of a cold backend server and reports whether the limit allows it. The
// caller holds mu.
func (t *serverTracker) allowCold(now time.Time) bool {
	if t.coldRate <= 0 || !now.Before(t.coldUntil) && !t.restartSuspected {
		return true
	}
	if t.coldLimiter == nil {
		t.coldLimiter = rate.NewLimiter(rate.Limit(t.coldRate), coldBurst)
	}
	return t.coldLimiter.AllowN(now, 1)
}

// maxColdTime is above the time for which backend servers are cold, for a node that knows no configuration yet.
const maxColdTime = 10 * time.Second

// mayBeCold reports whether the backend server is cold by its heartbeats or has started less than maxColdTime ago. The
// caller holds mu.
func (t *serverTracker) mayBeCold(now time.Time) bool {
	return now.Before(t.coldUntil) || now.Sub(t.startedAt) < maxColdTime
}

// suspectRestart records that nothing accepted connections at the address of a backend server.
func (t *serverTracker) suspectRestart(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if server == t.lastHeartbeat.Server {
		t.restartSuspected = true
	}
}

// awaitSlot waits until the queue starts or refuses a waiting request. It returns the reason of a refusal, and cancels
// the request if ctx ends first or the node accepts no more requests.
func (g *Gateway) awaitSlot(ctx context.Context, ticket admission.Ticket, waiter <-chan request.Reason, p *progressReporter) request.Reason {
	for {
		select {
		case reason := <-waiter:
			return reason
		case <-p.C:
			p.report()
		case <-g.closed.happened:
			return g.cancelWaiting(ticket, waiter, request.Stopping)
		case <-ctx.Done():
			return g.cancelWaiting(ticket, waiter, request.DeadlineTooClose)
		}
	}
}

// cancelWaiting takes a request out of the queue for the given reason. It returns the reason of its refusal.
func (g *Gateway) cancelWaiting(ticket admission.Ticket, waiter <-chan request.Reason, reason request.Reason) request.Reason {
	g.server.mu.Lock()
	canceled := g.server.queue.Cancel(ticket)
	delete(g.server.waiters, ticket)
	g.server.mu.Unlock()
	if !canceled {
		// The queue decided at the same moment.
		if decided := <-waiter; decided != "" {
			return decided
		}
		g.releaseSlot(ticket, false)
	}
	return reason
}

// releaseSlot returns a slot to the queue. measured says whether the time for which it was taken counts for the
// estimated service time; it is true only for a request that the backend server has answered.
func (g *Gateway) releaseSlot(ticket admission.Ticket, measured bool) {
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	g.server.applyChange(g.server.queue.Release(time.Now(), ticket, measured))
}
