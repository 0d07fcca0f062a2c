package gateway

import (
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/capacity"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/limit"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// run is one execution of a request at the backend server.
type run struct {
	route string
	began time.Time
	// running is the number of requests in progress when it began, itself included.
	running int
	// streamed is set if the body was streamed, so that the time is that of its sender.
	streamed bool
}

// beginRun records that the backend server begins to execute a request of the route.
func (t *serverTracker) beginRun(route string) run {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.calls.Begin(now, route)
	return run{route: route, began: now, running: t.queue.Usage().Running}
}

// runChange is what the end of a run changed.
type runChange struct {
	// leftAlone is set if the backend server is left alone from now on because it sheds all requests.
	leftAlone bool
	// from and to are the measured concurrency before and after it.
	from, to int
}

// endRun records that the backend server ended a run.
func (t *serverTracker) endRun(r run, a routed.Answer) runChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.calls.End(now, r.route)
	var change runChange
	shed := isShed(a)
	closed := t.shedGate.Closed()
	if shed && (closed || t.estimator != nil || t.queue.Contended(now)) || a.Outcome == request.Done {
		t.shedGate.Record(now, shed)
	}
	change.leftAlone = !closed && t.shedGate.Closed()
	if t.estimator == nil {
		return change
	}
	change.from = t.estimator.Measured()
	if s, useful := capacitySample(r, a); useful {
		s.RunningAtEnd = t.queue.Usage().Running
		t.estimator.Observe(now, s)
	}
	change.to = t.estimator.Measured()
	t.applyLearnedLimit(now)
	return change
}

// isShed reports whether the backend server states that it had no room for a request.
func isShed(a routed.Answer) bool {
	return a.ReachedServer && a.Outcome == request.NotRun && a.Reason == request.BackendFull
}

// capacitySample returns what an answer shows about the speed of the backend server; false if it shows nothing.
func capacitySample(r run, a routed.Answer) (capacity.Sample, bool) {
	s := capacity.Sample{Route: r.route, Began: r.began, RunningAtBegin: r.running}
	switch {
	case r.streamed:
		return s, false
	case a.Outcome == request.Done:
		s.Failed = isServerError(a)
	case isShed(a):
		s.Result = limit.Shed
	case a.Reason == request.DeadlineExceeded || a.Reason == request.Canceled:
		s.Result = limit.TimedOut
	default:
		return s, false
	}
	return s, true
}

// isServerError reports whether the backend server answered with an error, which takes less time than its work.
func isServerError(a routed.Answer) bool { return a.Outcome == request.Done && a.Status >= 500 }

// applyLearnedLimit puts the concurrency limit of the estimator in force. The caller holds mu.
func (t *serverTracker) applyLearnedLimit(now time.Time) {
	if t.estimator == nil {
		return
	}
	o := t.queueOptions
	if o.Limit = t.estimator.Limit(now); o != t.queueOptions {
		t.queueOptions = o
		t.applyChange(t.queue.SetLimits(now, o))
	}
}

// learnedOptions returns the options of the queue with the limit of the estimator, if there is one. The caller holds mu.
func (t *serverTracker) learnedOptions(now time.Time, o admission.Options) admission.Options {
	if t.estimator != nil {
		t.estimator.SetSlots(o.Limit)
		o.Limit = t.estimator.Limit(now)
	}
	return o
}

// reportRunChange logs what the end of a run changed.
func (g *Gateway) reportRunChange(server string, c runChange) {
	if c.leftAlone {
		g.events.Emit(eventlog.ServerShedding, eventlog.Name("server", server))
	}
	if c.from != c.to {
		g.events.Emit(eventlog.CapacityMeasured, eventlog.Name("server", server), eventlog.Count("from", c.from), eventlog.Count("to", c.to))
	}
	if c.to > 0 {
		g.deps.Metrics.SetMeasuredSlots(c.to)
	}
}
