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

// announcementTimeout is the time without an announcement after which a backend server counts as silent. Backend
// servers announce themselves every second.
const announcementTimeout = 3500 * time.Millisecond

// backendTable is what this node knows of the backend server beside it.
//
// mu guards all fields; it has rank lockorder.Backend.
type backendTable struct {
	mu *lockorder.Mutex
	// latest is the most recent announcement; its Address is empty before the first one.
	latest      backendserver.Announcement
	announcedAt time.Time
	// silent is set from the expiry of the announcement timeout until the next announcement.
	silent bool
}

func newBackendTable() *backendTable {
	return &backendTable{mu: lockorder.New(lockorder.Backend)}
}

// announcementChange is how an announcement differs from the previous one. returned is true if the backend server
// announces itself again after it was silent, or no longer drains.
type announcementChange struct {
	first, restarted, startedDraining, returned bool
}

// recordAnnouncement stores an announcement and returns what changed.
func (t *backendTable) recordAnnouncement(a backendserver.Announcement, now time.Time) announcementChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.latest.Address != ""
	change := announcementChange{
		first:           !known,
		restarted:       known && (t.latest.Incarnation != a.Incarnation || t.latest.Address != a.Address),
		startedDraining: a.Draining && !t.latest.Draining,
		returned:        t.silent || !a.Draining && t.latest.Draining,
	}
	t.latest, t.announcedAt, t.silent = a, now, false
	return change
}

// address returns the address at which the backend server accepts requests.
func (t *backendTable) address() (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest.Address, t.latest.Address != ""
}

// service returns the service that the backend server announced, or an empty string.
func (t *backendTable) service() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest.Service
}

// latestAnnouncement returns the most recent announcement and whether the backend server accepts new slices.
func (t *backendTable) latestAnnouncement() (a backendserver.Announcement, acceptsSlices bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest, t.latest.Address != "" && !t.silent && !t.latest.Draining
}

// checkSilence detects a backend server that stopped announcing itself. It returns whether the announcement timeout
// expired now, and when to check again; zero before the first announcement and while the backend server is silent.
func (t *backendTable) checkSilence(now time.Time) (becameSilent bool, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest.Address == "" || t.silent {
		return false, time.Time{}
	}
	if due := t.announcedAt.Add(announcementTimeout); now.Before(due) {
		return false, due
	}
	t.silent = true
	return true, time.Time{}
}

// Announce implements backendserver.AnnouncementHandler.
func (e *Engine) Announce(_ context.Context, a backendserver.Announcement) error {
	if err := e.checkAnnouncement(a); err != nil {
		e.deps.Events.Emit(eventlog.AnnouncementRefused, eventlog.Cause(err))
		return err
	}
	change := e.backend.recordAnnouncement(a, time.Now())
	e.reportAnnouncement(a, change)
	if change.restarted || change.returned {
		e.handleDequeued(e.admission.resetLimit(time.Now()))
	}
	if change.restarted {
		e.serving.withLock(func(t *serving.Table) { t.Regrant() })
		e.grantTrigger.Fire()
	}
	if change.first || change.startedDraining || change.returned {
		e.membershipTrigger.Fire()
		e.planningTrigger.Fire()
	}
	if change.first || change.returned {
		e.checkBackendSilence()
	}
	return nil
}

// checkAnnouncement refuses a service that is not in the configuration. It also refuses a change of the service, which
// would leave slices of the previous service without a backend server.
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

// reportAnnouncement emits events for what an announcement changed.
func (e *Engine) reportAnnouncement(a backendserver.Announcement, change announcementChange) {
	if change.first || change.returned {
		e.deps.Events.Emit(eventlog.BackendAnnounced, eventlog.Service(a.Service), eventlog.Count("slots", int(a.Slots)))
	}
	if change.restarted {
		e.deps.Events.Emit(eventlog.BackendRestarted, eventlog.Service(a.Service))
	}
	if change.startedDraining {
		e.deps.Events.Emit(eventlog.BackendDraining, eventlog.Service(a.Service))
	}
}

// checkBackendSilence checks whether the backend server has become silent, and schedules the next check until it is.
func (e *Engine) checkBackendSilence() {
	becameSilent, next := e.backend.checkSilence(time.Now())
	if becameSilent {
		e.deps.Events.Emit(eventlog.BackendSilent)
		e.membershipTrigger.Fire()
		e.planningTrigger.Fire()
	}
	if !next.IsZero() {
		e.backendTrigger.FireAt(next)
	}
}
