package gateway

import (
	"time"

	"heatherreel/internal/callroom"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/internal/telemetry"
)

// recognizeCall records a request that arrived at this node, and reports whether it is a call of the local backend
// server.
func (g *Gateway) recognizeCall(route string) bool {
	if g.options.IgnoreCalls {
		return false
	}
	g.server.mu.Lock()
	known := g.server.calls.IsCall(route)
	call := g.server.calls.Arrive(time.Now(), route)
	recognized := !known && g.server.calls.IsCall(route)
	g.server.mu.Unlock()
	if recognized {
		g.events.Emit(eventlog.CallsRecognized, eventlog.Name("route", route))
	}
	return call
}

// recordCallResult records the result of a call of the local backend server.
func (g *Gateway) recordCallResult(r routed.Request, a routed.Answer) {
	if !r.Call {
		return
	}
	result := callroom.Shed
	switch {
	case a.Outcome == request.Done:
		result = callroom.Served
	case a.Reason == request.QueueFull, a.Reason == request.DeadlineTooClose:
		result = callroom.NoCapacity
	case a.Outcome != request.NotRun && a.Reason != request.DeadlineExceeded:
		// The parent has left, or the outcome is unknown.
		return
	}
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	g.server.calls.RecordResult(time.Now(), r.Route, result)
}

// overloadRefusal returns why the backend server is not to get a request now, and when the caller is to return; empty if
// it may get it.
func (g *Gateway) overloadRefusal(r routed.Request) (request.Reason, time.Duration) {
	now := time.Now()
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	switch {
	case !g.server.shedGate.Allow(now):
		return request.ServerShedding, g.server.shedGate.RetryAfter(now)
	case !r.Call && !g.server.calls.AdmitParent(now, r.Route):
		return request.CallsRefused, g.server.retryAfter(now)
	}
	return "", 0
}

// retryAfter returns when a caller that is refused now is to return. Where classes compete or calls are made, callers
// get times of their own. The caller holds mu.
func (t *serverTracker) retryAfter(now time.Time) time.Duration {
	l := t.loadLocked(now)
	wait := expectedSlotWait(l)
	if !t.queue.Contended(now) || l.ServiceTime <= 0 {
		return wait
	}
	return t.appointments.Give(now, wait, l.ServiceTime, l.Slots)
}

// refusalCause returns the cause by which a refusal is counted; false if it is not counted.
func refusalCause(r routed.Request, reason request.Reason) (telemetry.RefusalCause, bool) {
	switch reason {
	case request.CallsRefused:
		return telemetry.RefusedForCalls, true
	case request.BackendFull, request.ServerShedding:
		return telemetry.RefusedByServer, true
	case request.QueueFull, request.DeadlineTooClose:
		switch {
		case r.Call:
			return telemetry.RefusedCall, true
		case reason == request.QueueFull:
			return telemetry.RefusedQueueFull, true
		}
		return telemetry.RefusedLate, true
	}
	return 0, false
}
