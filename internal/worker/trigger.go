package worker

import (
	"time"

	"heatherreel/internal/lockorder"
)

// Trigger runs one job on a pool on request, never twice at once. Requests that arrive while the job is queued are
// merged; a request that arrives while it runs makes it run once more.
//
// mu guards the other fields; it has rank lockorder.Timers.
type Trigger struct {
	pool *Pool
	job  Job
	mu   *lockorder.Mutex
	// queued and running describe the job; again asks for one more run.
	queued, running, again bool
	stopped                bool
	timer                  *time.Timer
	// due is when the timer fires; zero if it is not armed.
	due time.Time
}

// NewTrigger returns a trigger of the job.
func NewTrigger(pool *Pool, job Job) *Trigger {
	return &Trigger{pool: pool, job: job, mu: lockorder.New(lockorder.Timers)}
}

// Fire requests a run as soon as a worker is free.
func (t *Trigger) Fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fire()
}

// fire queues the job unless a run that has not begun covers the request. The caller holds mu.
func (t *Trigger) fire() {
	switch {
	case t.stopped || t.queued:
		return
	case t.running:
		t.again = true
		return
	}
	t.queued = true
	if t.pool.Submit(t.run) == ErrQueueFull {
		t.queued = false
		t.arm(time.Now().Add(retryDelay))
	}
}

// run runs the job on a worker.
func (t *Trigger) run() {
	t.mu.Lock()
	t.queued, t.running = false, true
	t.mu.Unlock()
	t.job()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = false
	if t.again {
		t.again = false
		t.fire()
	}
}

// FireAt requests a run at a time. Of several requests only the earliest is kept. A zero time is ignored.
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

// FireAfter requests a run after a delay, as FireAt does.
func (t *Trigger) FireAfter(delay time.Duration) { t.FireAt(time.Now().Add(delay)) }

// arm sets the timer unless it fires earlier already. The caller holds mu.
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

// expire is called by the timer.
func (t *Trigger) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = time.Time{}
	t.fire()
}

// Stop prevents further runs. A run that has begun goes on.
func (t *Trigger) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}
