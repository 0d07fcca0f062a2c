// Package worker runs jobs on fixed pools of workers with bounded queues.
//
// All work of a node runs here: peers' handlers decode a message, submit a job and wait; timers submit jobs.
package worker

import (
	"sync"
	"time"

	"heatherreel/internal/lockorder"
	"heatherreel/internal/problem"
)

// ErrQueueFull is returned when the queue of a pool has no room.
var ErrQueueFull = problem.New(problem.Overloaded, "retry later or enlarge the pool's queue", "worker queue is full")

// ErrStopped is returned when a pool accepts no more jobs.
var ErrStopped = problem.New(problem.Unavailable, "send the work to another node", "worker pool is stopped")

// Job is one unit of work. It must not submit to its own pool and wait for that job.
type Job func()

// Pool is a fixed number of workers that take jobs from one bounded queue in order of submission.
//
// mu guards jobs, stopped and idle; it has rank lockorder.Queue.
type Pool struct {
	name string
	mu   *lockorder.Mutex
	wake chan struct{}
	jobs []Job
	// head is the index of the oldest job in the ring.
	head, length int
	stopped      bool
	workers      sync.WaitGroup
}

// NewPool starts a pool of workers goroutines whose queue holds at most capacity jobs. Both must be positive.
func NewPool(name string, workers, capacity int) *Pool {
	p := &Pool{
		name: name,
		mu:   lockorder.New(lockorder.Queue),
		wake: make(chan struct{}, capacity),
		jobs: make([]Job, capacity),
	}
	p.workers.Add(workers)
	for range workers {
		go p.work()
	}
	return p
}

// Name returns the name of the pool, for logs and metrics.
func (p *Pool) Name() string { return p.name }

// Depth returns the number of queued jobs.
func (p *Pool) Depth() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.length
}

// Submit queues job. It returns ErrQueueFull or ErrStopped, and then job never runs.
func (p *Pool) Submit(job Job) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return ErrStopped
	}
	if p.length == len(p.jobs) {
		return ErrQueueFull
	}
	p.jobs[(p.head+p.length)%len(p.jobs)] = job
	p.length++
	p.wake <- struct{}{}
	return nil
}

// work runs queued jobs until the pool stops and its queue is empty.
func (p *Pool) work() {
	defer p.workers.Done()
	for range p.wake {
		p.next()()
	}
}

// next removes the oldest job. The caller holds a wake token, so that one exists.
func (p *Pool) next() Job {
	p.mu.Lock()
	defer p.mu.Unlock()
	job := p.jobs[p.head]
	p.jobs[p.head] = nil
	p.head = (p.head + 1) % len(p.jobs)
	p.length--
	return job
}

// Stop accepts no more jobs, runs those queued, and returns when all workers have ended.
func (p *Pool) Stop() {
	p.mu.Lock()
	if !p.stopped {
		p.stopped = true
		close(p.wake)
	}
	p.mu.Unlock()
	p.workers.Wait()
}

// Timer submits a job to a pool after a delay.
type Timer struct {
	timer *time.Timer
}

// After submits job to the pool once, after delay. A full queue delays it by retryDelay at a time.
func (p *Pool) After(delay time.Duration, job Job) *Timer {
	t := &Timer{}
	var fire func()
	fire = func() {
		if p.Submit(job) == ErrQueueFull {
			time.AfterFunc(retryDelay, fire)
		}
	}
	t.timer = time.AfterFunc(delay, fire)
	return t
}

// retryDelay is how long a timer waits when the queue of its pool is full.
const retryDelay = 10 * time.Millisecond

// Stop prevents the job from being submitted, if it has not been yet.
func (t *Timer) Stop() { t.timer.Stop() }

// Every submits job to the pool each interval until stop is called. A tick is skipped while the previous job of
// this ticker is queued or running.
func (p *Pool) Every(interval time.Duration, job Job) (stop func()) {
	mu := lockorder.New(lockorder.Timers)
	var timer *time.Timer
	done := false
	rearm := func() {
		mu.Lock()
		defer mu.Unlock()
		if !done {
			timer.Reset(interval)
		}
	}
	fire := func() {
		if p.Submit(func() { defer rearm(); job() }) != nil {
			rearm()
		}
	}
	mu.Lock()
	timer = time.AfterFunc(interval, fire)
	mu.Unlock()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		done = true
		timer.Stop()
	}
}
