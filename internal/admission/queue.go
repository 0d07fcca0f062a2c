package admission

import (
	"time"

	"heatherreel/internal/request"
)

// ewmaShift sets the weight of a new measurement in the moving average of the service time to 1/8. The average follows
// a change within about ten requests, and a single slow request changes it little.
const ewmaShift = 3

// Queue admits jobs to one backend server. It is not safe for concurrent use.
type Queue struct {
	options    Options
	lastTicket Ticket
	running    map[Ticket]*job
	waiting    []*job
	tenants    map[string]*jobCounts
	keys       map[tenantKey]*jobCounts
	// startedFromQueue counts the waiting jobs that were started.
	startedFromQueue uint64
	// serviceTime is the estimated service time over all kinds of job; zero before the first measurement.
	serviceTime time.Duration
	// kindServiceTimes are the estimated service times by kind of job.
	kindServiceTimes map[string]time.Duration
	// slowdown is the expected service time of a job that starts now, as a multiple of the usual one; 0 counts as 1.
	// slowSince is when the queue began to hold jobs because of it; zero while jobs are not held.
	slowdown  float64
	slowSince time.Time
	// callNeed is the measured need of calls; runningCalls and waitingCalls count the jobs that are calls.
	callNeed                   callNeed
	runningCalls, waitingCalls int
	// shares are the recent services of the classes of tenants.
	shares map[shareKey]*share
	// classifiedAt is when the shares were last compared.
	classifiedAt time.Time
}

// tenantKey identifies a key of a tenant; equal keys of two tenants are different.
type tenantKey struct {
	tenant, key string
}

// jobCounts counts the jobs of one tenant or key.
type jobCounts struct {
	running, waiting int
}

// job is a running or waiting job.
type job struct {
	Job
	ticket    Ticket
	offered   time.Time
	startedAt time.Time
	// slowdown is the queue's slowdown, at least 1, when the job started.
	slowdown    float64
	tenant, key *jobCounts
	share       *share
}

// NewQueue returns an empty queue.
func NewQueue(o Options) *Queue {
	return &Queue{
		options:          o,
		running:          map[Ticket]*job{},
		tenants:          map[string]*jobCounts{},
		keys:             map[tenantKey]*jobCounts{},
		kindServiceTimes: map[string]time.Duration{},
		shares:           map[shareKey]*share{},
	}
}

// Usage returns the occupancy of the queue.
func (q *Queue) Usage() Usage {
	return Usage{Limit: q.options.Limit, Running: len(q.running), Waiting: len(q.waiting), ServiceTime: q.serviceTime}
}

// Offer starts, queues or refuses a job. A full queue refuses the job that comes first in the order of evictedBefore,
// which may be one that is already waiting.
func (q *Queue) Offer(now time.Time, offered Job) Decision {
	q.lastTicket++
	d := Decision{Ticket: q.lastTicket}
	served := q.shareOf(now, offered)
	if offered.Call {
		q.callNeed.add(now, q.ExpectedServiceTime(offered.Kind))
	}
	q.classify(now)
	if q.cannotFinish(now, offered, served) {
		d.Reason = request.DeadlineTooClose
		return d
	}
	if offered.Call && q.callMustWaitTooLong(now, offered) {
		d.Reason = request.QueueFull
		return d
	}
	if offered.WaitLimit > 0 && q.expectedWait(now, offered) > offered.WaitLimit {
		d.Reason = request.ServerBusy
		return d
	}
	j := q.newJob(now, offered)
	j.share = served
	// Slots are free while jobs wait only if the reserve for calls has just become smaller. The order then decides.
	outranked := len(q.waiting) > 0 && !q.HoldingJobs() && q.next(now) != nil
	if q.hasSlot(now, j.Call) && q.mayStart(now, j) && !outranked {
		q.startJob(now, j)
		d.Verdict = Started
		return d
	}
	q.enqueue(j)
	d.Verdict = Queued
	if outranked {
		d.Change = q.fillSlots(now)
	}
	if len(q.waiting) <= q.options.QueueLimit {
		return d
	}
	evicted := q.evictionCandidate()
	q.dequeue(evicted)
	q.dropUnusedCounts(evicted)
	if evicted == j {
		d.Verdict, d.Reason = Refused, request.QueueFull
		return d
	}
	d.Change.Refuse = append(d.Change.Refuse, Refusal{Ticket: evicted.ticket, Reason: request.QueueFull})
	return d
}

// Release ends a running job and starts waiting ones. If measured is true, the duration of the job updates the
// estimated service time; pass false for jobs that never reached the backend server. An unknown ticket changes nothing.
func (q *Queue) Release(now time.Time, ticket Ticket, measured bool) Change {
	j := q.running[ticket]
	if j == nil {
		return Change{}
	}
	delete(q.running, ticket)
	j.tenant.running--
	j.key.running--
	if j.Call {
		q.runningCalls--
	}
	q.dropUnusedCounts(j)
	if measured {
		q.recordServiceTime(j.Kind, time.Duration(float64(now.Sub(j.startedAt))/j.slowdown))
	}
	return q.fillSlots(now)
}

// SetSlowdown sets the expected service time of a job that starts now, as a multiple of the usual one, and starts the
// jobs that need not be held any longer. The estimated service time excludes the slowdown.
func (q *Queue) SetSlowdown(now time.Time, factor float64) Change {
	q.slowdown = factor
	switch {
	case factor < HoldSlowdown || !q.options.HoldWhenSlow:
		q.slowSince = time.Time{}
	case q.slowSince.IsZero():
		q.slowSince = now
	}
	return q.fillSlots(now)
}

// HoldingJobs reports whether the queue holds jobs because the backend server is slow.
func (q *Queue) HoldingJobs() bool { return !q.slowSince.IsZero() }

// Cancel removes a waiting job that its caller has given up. It returns false if the job is not waiting.
func (q *Queue) Cancel(ticket Ticket) bool {
	for _, j := range q.waiting {
		if j.ticket == ticket {
			q.dequeue(j)
			q.dropUnusedCounts(j)
			return true
		}
	}
	return false
}

// SetLimits changes the limits. Running jobs above a lower limit continue; waiting jobs above a lower queue limit are
// refused.
func (q *Queue) SetLimits(now time.Time, o Options) Change {
	q.options = o
	change := q.fillSlots(now)
	for len(q.waiting) > q.options.QueueLimit {
		change.Refuse = append(change.Refuse, q.refuse(q.evictionCandidate(), request.QueueFull))
	}
	return change
}

// Expire refuses the waiting jobs that can no longer finish in time.
func (q *Queue) Expire(now time.Time) Change {
	var change Change
	for i := 0; i < len(q.waiting); {
		if j := q.waiting[i]; q.latestStart(j).Before(now) {
			// The last job was moved to this index and is checked next.
			change.Refuse = append(change.Refuse, q.refuse(j, request.DeadlineTooClose))
			continue
		}
		i++
	}
	return change
}

// NextExpiry returns the time after which Expire refuses a job; false if no job is waiting.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.waiting) == 0 {
		return time.Time{}, false
	}
	next := q.latestStart(q.waiting[0])
	for _, j := range q.waiting[1:] {
		if t := q.latestStart(j); t.Before(next) {
			next = t
		}
	}
	return next, true
}

// fillSlots starts waiting jobs while there are free slots.
func (q *Queue) fillSlots(now time.Time) Change {
	change := q.expireOrProbe(now)
	change.Refuse = append(change.Refuse, q.refuseLate(now)...)
	q.classify(now)
	for len(q.running) < q.options.Limit {
		j := q.next(now)
		if j == nil {
			break
		}
		q.dequeue(j)
		q.startJob(now, j)
		q.startedFromQueue++
		change.Start = append(change.Start, j.ticket)
	}
	return change
}

// expireOrProbe refuses late jobs before slots are assigned. If no job runs and the estimated service time would refuse
// all waiting jobs, one job whose deadline has not passed is started as a probe: otherwise no measurement could lower
// an estimate that is too high.
func (q *Queue) expireOrProbe(now time.Time) Change {
	if len(q.running) > 0 || q.options.Limit == 0 || q.HoldingJobs() {
		return q.Expire(now)
	}
	probe := q.jobWithLatestDeadline()
	if probe == nil || !q.latestStart(probe).Before(now) || !probe.Deadline.After(now) {
		return q.Expire(now)
	}
	q.dequeue(probe)
	q.startJob(now, probe)
	change := q.Expire(now)
	change.Start = append(change.Start, probe.ticket)
	return change
}

// maxKinds bounds the number of estimates by kind, since routes are added and removed over time. Further kinds use the
// estimate for all jobs.
const maxKinds = 64

// recordServiceTime updates the estimated service times with a measured one.
func (q *Queue) recordServiceTime(kind string, d time.Duration) {
	q.serviceTime = ewma(q.serviceTime, d)
	if _, known := q.kindServiceTimes[kind]; kind != "" && (known || len(q.kindServiceTimes) < maxKinds) {
		q.kindServiceTimes[kind] = ewma(q.kindServiceTimes[kind], d)
	}
}

// ewma returns the exponentially weighted moving average after a measurement; the first measurement is the average.
func ewma(estimate, measured time.Duration) time.Duration {
	if estimate == 0 {
		return measured
	}
	return estimate + (measured-estimate)>>ewmaShift
}

// ExpectedServiceTime returns the expected service time of a job of the kind; zero before the first measurement.
func (q *Queue) ExpectedServiceTime(kind string) time.Duration {
	if d, known := q.kindServiceTimes[kind]; known {
		return d
	}
	return q.serviceTime
}
