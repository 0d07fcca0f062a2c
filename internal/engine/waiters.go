package engine

import (
	"context"
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/retry"
	"heatherreel/internal/worker"
)

// waitingJob is a job that waits for a ledger offset, for a change of ownership, or for a delay.
type waitingJob struct {
	offset ledger.Offset
	job    worker.Job
	timer  *worker.Timer
}

// waitingJobs holds the jobs of waiting requests, so that no worker is blocked while a request waits.
//
// mu guards jobs; it has rank lockorder.Calls.
type waitingJobs struct {
	pool *worker.Pool
	mu   *lockorder.Mutex
	jobs map[*waitingJob]struct{}
}

func newWaitingJobs(pool *worker.Pool) *waitingJobs {
	return &waitingJobs{pool: pool, mu: lockorder.New(lockorder.Calls), jobs: map[*waitingJob]struct{}{}}
}

// add submits the job after the delay, or earlier if resume is called with the offset or a later one.
func (w *waitingJobs) add(offset ledger.Offset, delay time.Duration, job worker.Job) {
	waiting := &waitingJob{offset: offset, job: job}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[waiting] = struct{}{}
	waiting.timer = w.pool.After(delay, func() {
		if w.remove(waiting) {
			waiting.job()
		}
	})
}

// remove removes a job and reports whether it was still waiting.
func (w *waitingJobs) remove(waiting *waitingJob) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.jobs[waiting]
	delete(w.jobs, waiting)
	return ok
}

// resume submits the jobs that wait for the offset or an earlier one. A job that finds the pool's queue full keeps
// waiting until its delay has passed.
func (w *waitingJobs) resume(offset ledger.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for waiting := range w.jobs {
		if waiting.offset > offset || w.pool.Submit(waiting.job) != nil {
			continue
		}
		delete(w.jobs, waiting)
		waiting.timer.Stop()
	}
}

// resumeAll submits all jobs, because this node may serve more slices than before.
func (w *waitingJobs) resumeAll() { w.resume(ledger.Offset(^uint64(0))) }

// releaseRequests tracks the peers to which a release request is in flight. A confirmation request is a release request
// without slices; a second table tracks those.
//
// mu guards peers; it has rank lockorder.Calls.
type releaseRequests struct {
	mu    *lockorder.Mutex
	peers map[ledger.Incarnation]bool
}

func newReleaseRequests() *releaseRequests {
	return &releaseRequests{mu: lockorder.New(lockorder.Calls), peers: map[ledger.Incarnation]bool{}}
}

// begin records a request to the peer, and returns false if one is already in flight.
func (r *releaseRequests) begin(peer ledger.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peers[peer] {
		return false
	}
	r.peers[peer] = true
	return true
}

func (r *releaseRequests) end(peer ledger.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, peer)
}

// releaseWaiter is a new owner that waits for this node to release slices.
type releaseWaiter struct {
	slices []ledger.SliceFence
	// ready is closed at most once, when all slices can be released.
	ready chan struct{}
}

// releaseWaiters are the release requests of other nodes that wait on this node.
//
// mu guards set; it has rank lockorder.Calls.
type releaseWaiters struct {
	mu  *lockorder.Mutex
	set map[*releaseWaiter]bool
}

func newReleaseWaiters() *releaseWaiters {
	return &releaseWaiters{mu: lockorder.New(lockorder.Calls), set: map[*releaseWaiter]bool{}}
}

func (r *releaseWaiters) add(slices []ledger.SliceFence) *releaseWaiter {
	w := &releaseWaiter{slices: slices, ready: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set[w] = true
	return w
}

func (r *releaseWaiters) remove(w *releaseWaiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.set, w)
}

// list returns the waiting release requests.
func (r *releaseWaiters) list() []*releaseWaiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*releaseWaiter, 0, len(r.set))
	for w := range r.set {
		list = append(list, w)
	}
	return list
}

// wake ends the wait. Only the release trigger calls it, which never runs concurrently with itself.
func (w *releaseWaiter) wake() {
	select {
	case <-w.ready:
	default:
		close(w.ready)
	}
}

// pendingPlans tracks the groups for which a plan is scheduled.
//
// mu guards groups; it has rank lockorder.Calls.
type pendingPlans struct {
	mu     *lockorder.Mutex
	groups map[keyspace.Group]bool
}

func newPendingPlans() *pendingPlans {
	return &pendingPlans{mu: lockorder.New(lockorder.Calls), groups: map[keyspace.Group]bool{}}
}

// begin records a scheduled plan, and returns false if one is already scheduled for the group.
func (p *pendingPlans) begin(id keyspace.Group) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.groups[id] {
		return false
	}
	p.groups[id] = true
	return true
}

func (p *pendingPlans) end(id keyspace.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.groups, id)
}

// forwardLimiter tracks the forwards in flight and limits those to each owner.
//
// mu guards inFlight; it has rank lockorder.Calls.
type forwardLimiter struct {
	mu       *lockorder.Mutex
	inFlight map[ledger.Incarnation]map[*forwarding]bool
	// limit is the maximum number of concurrent forwards to one owner, so that a slow owner cannot block all ingress
	// workers.
	limit int
}

// forwarding is a forward in flight.
type forwarding struct {
	owner ledger.Incarnation
	// cancel ends the forward; nil for a request that would not be repeated.
	cancel context.CancelFunc
}

func newForwardLimiter(limit int) *forwardLimiter {
	return &forwardLimiter{mu: lockorder.New(lockorder.Calls), inFlight: map[ledger.Incarnation]map[*forwarding]bool{}, limit: limit}
}

// begin adds a forward, and returns false if its owner is at the limit.
func (f *forwardLimiter) begin(started *forwarding) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.inFlight[started.owner]) >= f.limit {
		return false
	}
	if f.inFlight[started.owner] == nil {
		f.inFlight[started.owner] = map[*forwarding]bool{}
	}
	f.inFlight[started.owner][started] = true
	return true
}

func (f *forwardLimiter) end(ended *forwarding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inFlight[ended.owner], ended)
	if len(f.inFlight[ended.owner]) == 0 {
		delete(f.inFlight, ended.owner)
	}
}

// cancelTo cancels the forwards to the owners for which lost returns true, so that the requests go to the next owners.
func (f *forwardLimiter) cancelTo(lost func(ledger.Incarnation) bool) {
	var cancels []context.CancelFunc
	f.mu.Lock()
	for owner, forwards := range f.inFlight {
		if !lost(owner) {
			continue
		}
		for f := range forwards {
			if f.cancel != nil {
				cancels = append(cancels, f.cancel)
			}
		}
	}
	f.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// retryBudgets holds the retry budget of each service.
//
// mu guards all fields; it has rank lockorder.Retry.
type retryBudgets struct {
	mu      *lockorder.Mutex
	ratios  map[string]float64
	budgets map[string]*retry.Budget
}

// minRetriesPerSecond is the number of retries per second that each service may make whatever its ratio is, so that a
// service with few requests can retry at all.
const minRetriesPerSecond = 10

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{
		mu:      lockorder.New(lockorder.Retry),
		ratios:  map[string]float64{},
		budgets: map[string]*retry.Budget{},
	}
}

// setRatios sets the ratios of the configured services and drops the budgets of other services.
func (r *retryBudgets) setRatios(ratios map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratios = ratios
	for service, budget := range r.budgets {
		ratio, ok := ratios[service]
		if !ok {
			delete(r.budgets, service)
			continue
		}
		budget.SetRatio(ratio)
	}
}

// budget returns the budget of a service. The caller holds mu.
func (r *retryBudgets) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.NewBudget(r.ratios[service], minRetriesPerSecond)
		r.budgets[service] = b
	}
	return b
}

// recordRequest counts a first attempt.
func (r *retryBudgets) recordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).CountRequest(time.Now())
}

// tryRetry counts a retry if the budget allows it, and reports whether it does.
func (r *retryBudgets) tryRetry(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Take(now)
}
