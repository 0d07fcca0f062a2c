package worker

import (
	"time"

	"heatherreel/internal/lockorder"
)

// Trigger runs one job on a pool on request, and never twice at the same time. Requests while the job is queued are
// merged into one run; requests while the job runs cause one further run.
//
// mu guards the other fields; it has rank lockorder.Timers.
type Trigger struct {
	pool *Pool
	job  Job
	mu   *lockorder.Mutex
	// queued and running are the state of the job; rerun is set if a run was requested while the job runs.
	queued, running, rerun bool
	stopped                bool
	timer                  *time.Timer
	// due is the time at which the timer fires; zero if it is not set.
	due time.Time
}

// NewTrigger returns a trigger that runs job on pool.
func NewTrigger(pool *Pool, job Job) *Trigger {
	return &Trigger{pool: pool, job: job, mu: lockorder.New(lockorder.Timers)}
}

// Fire requests a run as soon as a worker is free.
func (t *Trigger) Fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fire()
}

// fire queues the job, unless it is queued already. If the job is running, it requests a further run. The caller holds
// mu.
func (t *Trigger) fire() {
	switch {
	case t.stopped || t.queued:
		return
	case t.running:
		t.rerun = true
		return
	}
	t.queued = true
	if t.pool.Submit(t.run) == ErrQueueFull {
		t.queued = false
		t.arm(time.Now().Add(retryDelay))
	}
}

// run is the pool job: it runs the job of the trigger, and queues it again if a run was requested meanwhile.
func (t *Trigger) run() {
	t.mu.Lock()
	t.queued, t.running = false, true
	t.mu.Unlock()
	t.job()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = false
	if t.rerun {
		t.rerun = false
		t.fire()
	}
}

// FireAt requests a run at the given time. Of several requests, only the earliest is kept. A zero time is ignored.
func (t *Trigger) FireAt(at time.Time) {
	if at.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(time.Now()) {
		t.fire()
		return
	}
	t.arm(at)
}

// FireAfter requests a run after the delay, with the rules of FireAt.
func (t *Trigger) FireAfter(delay time.Duration) { t.FireAt(time.Now().Add(delay)) }

// arm sets the timer, unless it is already set to an earlier time. The caller holds mu.
func (t *Trigger) arm(at time.Time) {
	if t.stopped || !t.due.IsZero() && !at.Before(t.due) {
		return
	}
	t.due = at
	delay := max(time.Until(at), 0)
	if t.timer == nil {
		t.timer = time.AfterFunc(delay, t.expire)
		return
	}
	t.timer.Reset(delay)
}

// expire is the function of the timer.
func (t *Trigger) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = time.Time{}
	t.fire()
}

// Stop cancels the timer and ignores further requests. A run that is queued or running still finishes.
func (t *Trigger) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}
