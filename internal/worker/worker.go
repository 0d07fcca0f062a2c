// Package worker runs jobs on fixed pools of workers with bounded queues.
//
// All work of a node runs on these pools: the handlers of incoming messages decode a message, submit a job and wait for
// it, and timers submit jobs.
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

// Job is one unit of work. It must not wait for another job of its own pool, as that job may never get a worker.
type Job func()

// Pool is a fixed number of workers that take jobs from one bounded queue in the order of submission.
//
// mu guards jobs, head, length and stopped; it has rank lockorder.Queue.
type Pool struct {
	name string
	mu   *lockorder.Mutex
	// wake holds one token for each queued job; it is closed when the pool stops.
	wake chan struct{}
	// jobs is a ring buffer; head is the index of its oldest job.
	jobs         []Job
	head, length int
	stopped      bool
	workers      sync.WaitGroup
}

// NewPool starts a pool with the given number of worker goroutines, whose queue holds at most capacity jobs. Both
// numbers must be positive.
func NewPool(name string, workers, capacity int) *Pool {
	p := &Pool{
		name: name,
		mu:   lockorder.New(lockorder.Queue),
		wake: make(chan struct{}, capacity),
		jobs: make([]Job, capacity),
	}
	p.workers.Add(workers)
	for range workers {
		go p.runJobs()
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

// Submit queues job. If it returns an error, which is ErrQueueFull or ErrStopped, job never runs.
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

// runJobs is the loop of a worker: it runs queued jobs until the pool is stopped and its queue is empty.
func (p *Pool) runJobs() {
	defer p.workers.Done()
	for range p.wake {
		p.dequeue()()
	}
}

// dequeue removes and returns the oldest job. The caller has received a token from wake, so there is one.
func (p *Pool) dequeue() Job {
	p.mu.Lock()
	defer p.mu.Unlock()
	job := p.jobs[p.head]
	p.jobs[p.head] = nil
	p.head = (p.head + 1) % len(p.jobs)
	p.length--
	return job
}

// Stop makes the pool refuse further jobs, runs the queued ones, and returns when all workers have ended.
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

// After submits job to the pool once, after delay. If the queue is full, it retries every retryDelay.
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

// retryDelay is the time until a timer or trigger submits its job again after the queue of the pool was full.
const retryDelay = 10 * time.Millisecond

// Stop cancels the timer. A job that was already submitted still runs, even if it waits for room in a full queue.
func (t *Timer) Stop() { t.timer.Stop() }

// Every submits job to the pool at the interval until stop is called. The interval restarts when the job has run, so
// the job is never queued or running twice at once. A run is skipped if the queue is full.
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
