package engine

import (
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/retry"
	"heatherreel/internal/worker"
)

// parked is a job that waits for a ledger offset, for a change of ownership, or for a delay.
type parked struct {
	offset ledger.Offset
	resume worker.Job
	timer  *worker.Timer
}

// waiting holds parked jobs, so that no worker is held while a request waits.
//
// mu guards jobs; it has rank lockorder.Calls.
type waiting struct {
	pool *worker.Pool
	mu   *lockorder.Mutex
	jobs map[*parked]struct{}
}

func newWaiting(pool *worker.Pool) *waiting {
	return &waiting{pool: pool, mu: lockorder.New(lockorder.Calls), jobs: map[*parked]struct{}{}}
}

// park submits the job when the delay has passed, or earlier when resume is called with the offset or a later one.
func (w *waiting) park(offset ledger.Offset, delay time.Duration, resume worker.Job) {
	p := &parked{offset: offset, resume: resume}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[p] = struct{}{}
	p.timer = w.pool.After(delay, func() {
		if w.take(p) {
			p.resume()
		}
	})
}

// take removes a job and reports whether it was still parked.
func (w *waiting) take(p *parked) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.jobs[p]
	delete(w.jobs, p)
	return ok
}

// resume submits the jobs that wait for the offset or an earlier one. A job that finds no room in the queue stays
// parked until its delay has passed.
func (w *waiting) resume(offset ledger.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.jobs {
		if p.offset > offset || w.pool.Submit(p.resume) != nil {
			continue
		}
		delete(w.jobs, p)
		p.timer.Stop()
	}
}

// resumeAll submits all jobs, because this node may serve more than before.
func (w *waiting) resumeAll() { w.resume(ledger.Offset(^uint64(0))) }

// asking notes to which sources a release request is open.
//
// mu guards sources; it has rank lockorder.Calls.
type asking struct {
	mu      *lockorder.Mutex
	sources map[ledger.Incarnation]bool
}

func newAsking() *asking {
	return &asking{mu: lockorder.New(lockorder.Calls), sources: map[ledger.Incarnation]bool{}}
}

// begin notes a question and reports whether none was open.
func (a *asking) begin(source ledger.Incarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sources[source] {
		return false
	}
	a.sources[source] = true
	return true
}

func (a *asking) end(source ledger.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sources, source)
}

// releaseWaiter is a new owner that waits for this node to release slices.
type releaseWaiter struct {
	slices []ledger.SliceFence
	// ready is closed at most once, when all slices are free.
	ready chan struct{}
}

// releaseWaiters are the open release requests of other nodes.
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

// list returns the open requests.
func (r *releaseWaiters) list() []*releaseWaiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*releaseWaiter, 0, len(r.set))
	for w := range r.set {
		list = append(list, w)
	}
	return list
}

// wake ends the wait. Only the releases trigger calls it, which never runs twice at once.
func (w *releaseWaiter) wake() {
	select {
	case <-w.ready:
	default:
		close(w.ready)
	}
}

// plans notes for which groups a plan is pending.
//
// mu guards pending; it has rank lockorder.Calls.
type plans struct {
	mu      *lockorder.Mutex
	pending map[keyspace.Group]bool
}

func newPlans() *plans {
	return &plans{mu: lockorder.New(lockorder.Calls), pending: map[keyspace.Group]bool{}}
}

// begin notes a pending plan and reports whether none was pending.
func (p *plans) begin(id keyspace.Group) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[id] {
		return false
	}
	p.pending[id] = true
	return true
}

func (p *plans) end(id keyspace.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

// forwards counts the requests that are on their way to each owner.
//
// mu guards running; it has rank lockorder.Calls.
type forwards struct {
	mu      *lockorder.Mutex
	running map[ledger.Incarnation]int
	// limit bounds the requests to one owner, so that one that answers slowly cannot hold all ingress workers.
	limit int
}

func newForwards(limit int) *forwards {
	return &forwards{mu: lockorder.New(lockorder.Calls), running: map[ledger.Incarnation]int{}, limit: limit}
}

// begin counts a request and reports whether it is within the limit.
func (f *forwards) begin(owner ledger.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[owner] >= f.limit {
		return false
	}
	f.running[owner]++
	return true
}

func (f *forwards) end(owner ledger.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[owner]--
	if f.running[owner] == 0 {
		delete(f.running, owner)
	}
}

// retries holds the retry budget of each service.
//
// mu guards all fields; it has rank lockorder.Retry.
type retries struct {
	mu      *lockorder.Mutex
	ratios  map[string]float64
	budgets map[string]*retry.Budget
}

// retryFloor is the number of retries a second that a service may always make.
const retryFloor = 10

func newRetries() *retries {
	return &retries{
		mu:      lockorder.New(lockorder.Retry),
		ratios:  map[string]float64{},
		budgets: map[string]*retry.Budget{},
	}
}

// configure sets the ratios of the services of a configuration and drops the budgets of others.
func (r *retries) configure(ratios map[string]float64) {
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
func (r *retries) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.NewBudget(r.ratios[service], retryFloor)
		r.budgets[service] = b
	}
	return b
}

// request counts a first attempt.
func (r *retries) request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Request(time.Now())
}

// take counts a retry if the budget allows it, and reports whether it does.
func (r *retries) take(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Take(now)
}
