package engine

import (
	"context"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/problem"
	"heatherreel/internal/serving"
)

// silentAfter is the time without an announcement after which a backend server is taken for lost. It announces itself
// every second.
const silentAfter = 3500 * time.Millisecond

// backendTable is what this node knows of the backend server beside it.
//
// mu guards all fields; it has rank lockorder.Backend.
type backendTable struct {
	mu *lockorder.Mutex
	// last is the latest announcement; its Address is empty before the first.
	last    backendserver.Announcement
	heardAt time.Time
	silent  bool
}

func newBackendTable() *backendTable {
	return &backendTable{mu: lockorder.New(lockorder.Backend)}
}

// change is what an announcement changed.
type change struct {
	first, restarted, drains, returned bool
}

// announce takes in an announcement.
func (t *backendTable) announce(a backendserver.Announcement, now time.Time) change {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.last.Address != ""
	c := change{
		first:     !known,
		restarted: known && (t.last.Incarnation != a.Incarnation || t.last.Address != a.Address),
		drains:    a.Draining && !t.last.Draining,
		returned:  t.silent || !a.Draining && t.last.Draining,
	}
	t.last, t.heardAt, t.silent = a, now, false
	return c
}

// address returns where the backend server takes requests.
func (t *backendTable) address() (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last.Address, t.last.Address != ""
}

// service returns the service that the backend server announced, or an empty string.
func (t *backendTable) service() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last.Service
}

// announced returns the latest announcement and whether the backend server takes new slices.
func (t *backendTable) announced() (a backendserver.Announcement, usable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last, t.last.Address != "" && !t.silent && !t.last.Draining
}

// checkSilence notes a backend server that stopped announcing itself. It returns whether it just became silent, and
// when to look again; zero before the first announcement.
func (t *backendTable) checkSilence(now time.Time) (becameSilent bool, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last.Address == "" || t.silent {
		return false, time.Time{}
	}
	if due := t.heardAt.Add(silentAfter); now.Before(due) {
		return false, due
	}
	t.silent = true
	return true, time.Time{}
}

// Announce implements backendserver.Listener.
func (e *Engine) Announce(_ context.Context, a backendserver.Announcement) error {
	if err := e.checkAnnouncement(a); err != nil {
		e.deps.Events.Emit(eventlog.AnnouncementRefused, eventlog.Cause(err))
		return err
	}
	c := e.backend.announce(a, time.Now())
	e.reportAnnouncement(a, c)
	if c.restarted || c.returned {
		e.continueCalls(e.admission.resetLimit(time.Now()))
	}
	if c.restarted {
		e.serving.with(func(t *serving.Table) { t.Regrant() })
		e.granting.Fire()
	}
	if c.first || c.drains || c.returned {
		e.membership.Fire()
		e.planning.Fire()
	}
	if c.first || c.returned {
		e.watchBackend()
	}
	return nil
}

// checkAnnouncement refuses a service that the configuration does not name, and a change of the service, which would
// leave slices of the old one without a backend server.
func (e *Engine) checkAnnouncement(a backendserver.Announcement) error {
	if known := e.backend.service(); known != "" && known != a.Service {
		return problem.New(problem.Conflict, "restart the node together with the backend server",
			"the backend server changed its service")
	}
	var err error
	e.ledger.read(func(_ *ledger.State, c *config.Configuration) {
		switch {
		case c == nil:
			err = problem.New(problem.Unavailable, "publish a configuration, or wait until this node has read it",
				"no configuration is in force")
		case !c.HasService(a.Service):
			err = problem.New(problem.UnknownService, "publish a configuration that names the service",
				"the configuration does not name the announced service")
		}
	})
	return err
}

// reportAnnouncement emits what an announcement changed.
func (e *Engine) reportAnnouncement(a backendserver.Announcement, c change) {
	if c.first || c.returned {
		e.deps.Events.Emit(eventlog.BackendAnnounced, eventlog.Service(a.Service), eventlog.Count("slots", int(a.Slots)))
	}
	if c.restarted {
		e.deps.Events.Emit(eventlog.BackendRestarted, eventlog.Service(a.Service))
	}
	if c.drains {
		e.deps.Events.Emit(eventlog.BackendDraining, eventlog.Service(a.Service))
	}
}

// watchBackend looks for silence of the backend server until it is silent.
func (e *Engine) watchBackend() {
	becameSilent, next := e.backend.checkSilence(time.Now())
	if becameSilent {
		e.deps.Events.Emit(eventlog.BackendSilent)
		e.membership.Fire()
		e.planning.Fire()
	}
	if !next.IsZero() {
		e.backendWatch.FireAt(next)
	}
}
