package admission

import (
	"time"

	"heatherreel/internal/request"
)

// classBlindInterval is the interval, in jobs started from the queue, at which a slot is assigned regardless of class,
// so that a stream of urgent requests leaves an eighth of these starts to other classes.
const classBlindInterval = 8

// newJob returns the job for an offer, with the counts of its tenant and key.
func (q *Queue) newJob(now time.Time, offered Job) *job {
	j := &job{Job: offered, ticket: q.lastTicket, offered: now}
	if j.tenant = q.tenants[offered.Tenant]; j.tenant == nil {
		j.tenant = &jobCounts{}
		q.tenants[offered.Tenant] = j.tenant
	}
	id := tenantKey{tenant: offered.Tenant, key: offered.Key}
	if j.key = q.keys[id]; j.key == nil {
		j.key = &jobCounts{}
		q.keys[id] = j.key
	}
	return j
}

// dropUnusedCounts removes the counts of the tenant and key of a job that neither runs nor waits, unless other jobs use
// them.
func (q *Queue) dropUnusedCounts(j *job) {
	if *j.tenant == (jobCounts{}) {
		delete(q.tenants, j.Tenant)
	}
	if *j.key == (jobCounts{}) {
		delete(q.keys, tenantKey{tenant: j.Tenant, key: j.Key})
	}
}

// startJob assigns a slot to a job that is not in the waiting list.
func (q *Queue) startJob(now time.Time, j *job) {
	j.startedAt, j.slowdown = now, max(1, q.slowdown)
	j.tenant.running++
	j.key.running++
	j.share.decay(now)
	j.share.started++
	if j.Call {
		q.runningCalls++
	}
	q.running[j.ticket] = j
}

// enqueue adds a waiting job.
func (q *Queue) enqueue(j *job) {
	j.tenant.waiting++
	j.key.waiting++
	j.share.waiting++
	if j.Call {
		q.waitingCalls++
	}
	q.waiting = append(q.waiting, j)
}

// dequeue removes a waiting job by moving the last one to its index.
func (q *Queue) dequeue(j *job) {
	for i, other := range q.waiting {
		if other != j {
			continue
		}
		last := len(q.waiting) - 1
		q.waiting[i] = q.waiting[last]
		q.waiting[last] = nil
		q.waiting = q.waiting[:last]
		break
	}
	j.tenant.waiting--
	j.key.waiting--
	j.share.waiting--
	if j.Call {
		q.waitingCalls--
	}
}

// refuse removes a waiting job and returns its refusal.
func (q *Queue) refuse(j *job, reason request.Reason) Refusal {
	q.dequeue(j)
	q.dropUnusedCounts(j)
	return Refusal{Ticket: j.ticket, Reason: reason}
}

// HoldSlowdown is the lowest slowdown at which jobs are held. A lower one cannot be distinguished from the usual
// variance of service times.
const HoldSlowdown = 1.5

// mayStart reports whether a job need not be held. While the backend server is slow, a job is held for as long as the
// extra time that it would take if it started now. Its delay is then at most twice the delay that it would have if the
// end of the slow period were known, and jobs do not occupy slots for several times the usual service time.
func (q *Queue) mayStart(now time.Time, j *job) bool {
	if !q.HoldingJobs() || j.Call {
		// A held call would have to be refused late if the machine stayed slow.
		return true
	}
	since := j.offered
	if q.slowSince.After(since) {
		since = q.slowSince
	}
	return now.Sub(since) >= time.Duration((q.slowdown-1)*float64(q.ExpectedServiceTime(j.Kind)))
}

// next returns the waiting job to start next; nil if there is none.
func (q *Queue) next(now time.Time) *job {
	byClass := (q.startedFromQueue+1)%classBlindInterval != 0
	tenantShare := fairShare(q.options.Limit, len(q.tenants))
	keyShare := fairShare(q.options.Limit, len(q.keys))
	slotForWork, slotForCall := q.hasSlot(now, false), q.hasSlot(now, true)
	var best *job
	for _, j := range q.waiting {
		hasSlot := slotForWork
		if j.Call {
			hasSlot = slotForCall
		}
		if hasSlot && q.mayStart(now, j) && (best == nil || q.precedes(now, j, best, byClass, tenantShare, keyShare)) {
			best = j
		}
	}
	return best
}

// fairShare returns the share of slots, or of places in the queue, for each of count tenants or keys, rounded up. Jobs
// of a tenant or key below its share come first.
func fairShare(slots, count int) int {
	return (slots + count - 1) / max(count, 1)
}

// precedes reports whether a starts before b.
func (q *Queue) precedes(now time.Time, a, b *job, byClass bool, tenantShare, keyShare int) bool {
	if aFirst, decided := callPrecedes(a, b); decided {
		return aFirst
	}
	if a.Call && b.Call && a.Class == b.Class {
		// The wait of a call was estimated from the calls before it, so that later ones must not overtake it.
		return earlierDeadline(a, b)
	}
	if aRank, bRank := a.rank(), b.rank(); byClass && aRank != bRank {
		return aRank < bRank
	}
	if a.share.aboveUrgent != b.share.aboveUrgent {
		return b.share.aboveUrgent
	}
	if aOver, bOver := a.tenant.running >= tenantShare, b.tenant.running >= tenantShare; aOver != bOver {
		return bOver
	}
	if aOver, bOver := a.key.running >= keyShare, b.key.running >= keyShare; aOver != bOver {
		return bOver
	}
	return q.precedesByTime(now, a, b)
}

// precedesByTime orders jobs that can still meet their objective before those that cannot, and each group by objective
// and deadline. Under overload, ordering by deadline alone answers all requests late, and ordering by objective starts
// each job at the last moment, so that the variance of service times makes many of them late. Therefore the newest job
// comes first under overload.
func (q *Queue) precedesByTime(now time.Time, a, b *job) bool {
	aOnTime, bOnTime := q.onTime(now, a.Job), q.onTime(now, b.Job)
	if aOnTime != bOnTime {
		return aOnTime
	}
	if aOnTime && q.overloaded() && !a.offered.Equal(b.offered) {
		return a.offered.After(b.offered)
	}
	if aOnTime && !a.Objective.IsZero() && !b.Objective.IsZero() && !a.Objective.Equal(b.Objective) {
		return a.Objective.Before(b.Objective)
	}
	return earlierDeadline(a, b)
}

// onTimeMargin is the time that a job must have left to count as on time, as a multiple of its expected service time:
// service times of one kind vary by more than half of their average.
const onTimeMargin = 1.5

// onTime reports whether a job that starts now is expected to meet its objective.
func (q *Queue) onTime(now time.Time, j Job) bool {
	return j.Objective.IsZero() || !now.Add(time.Duration(onTimeMargin*float64(q.ExpectedServiceTime(j.Kind)))).After(j.Objective)
}

// overloadWaitingPerSlot is the number of waiting jobs per slot above which the queue counts as overloaded. A burst
// that can be processed with all jobs on time stays below it.
const overloadWaitingPerSlot = 2

// overloaded reports whether more jobs are waiting than can be answered on time.
func (q *Queue) overloaded() bool { return len(q.waiting) > overloadWaitingPerSlot*q.options.Limit }

// refuseLate refuses waiting jobs that can no longer meet their objective, oldest first, while the queue is overloaded.
// Without it, such jobs would wait until they are started too late or expire.
func (q *Queue) refuseLate(now time.Time) []Refusal {
	var refused []Refusal
	for q.overloaded() {
		var oldest *job
		for _, j := range q.waiting {
			if !j.Call && !q.onTime(now, j.Job) && (oldest == nil || j.ticket < oldest.ticket) {
				oldest = j
			}
		}
		if oldest == nil {
			break
		}
		refused = append(refused, q.refuse(oldest, request.QueueFull))
	}
	return refused
}

// earlierDeadline orders jobs by deadline, then by arrival.
func earlierDeadline(a, b *job) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ticket < b.ticket
}

// evictionCandidate returns the waiting job to refuse when the queue is full.
func (q *Queue) evictionCandidate() *job {
	tenantQueueShare := fairShare(q.options.QueueLimit, len(q.tenants))
	candidate := q.waiting[0]
	for _, j := range q.waiting[1:] {
		if evictedBefore(j, candidate, tenantQueueShare) {
			candidate = j
		}
	}
	return candidate
}

// evictedBefore reports whether a is refused before b when the queue is full: first jobs of tenants above their fair share
// of the queue, then the less urgent class, then the key with more waiting jobs, then the later deadline; calls come last.
// The tenant is compared before the class, so that a tenant that marks all its requests as urgent cannot fill the queue.
func evictedBefore(a, b *job, tenantQueueShare int) bool {
	if a.Call != b.Call {
		return b.Call
	}
	if aOver, bOver := a.tenant.waiting > tenantQueueShare, b.tenant.waiting > tenantQueueShare; aOver != bOver {
		return aOver
	}
	if aRank, bRank := a.rank(), b.rank(); aRank != bRank {
		return aRank > bRank
	}
	if a.key.waiting != b.key.waiting {
		return a.key.waiting > b.key.waiting
	}
	return earlierDeadline(b, a)
}

// latestStart returns the latest time at which a job can start and still be expected to finish by its deadline.
func (q *Queue) latestStart(j *job) time.Time { return j.Deadline.Add(-q.ExpectedServiceTime(j.Kind)) }

// jobWithLatestDeadline returns the waiting job with the latest deadline; nil if no job is waiting.
func (q *Queue) jobWithLatestDeadline() *job {
	var latest *job
	for _, j := range q.waiting {
		if latest == nil || earlierDeadline(latest, j) {
			latest = j
		}
	}
	return latest
}

// cannotFinish reports whether an offered job is not expected to finish by its deadline. While no job runs, only the
// deadline itself counts, since the estimated service time could not fall otherwise.
func (q *Queue) cannotFinish(now time.Time, offered Job, served *share) bool {
	if !offered.Deadline.After(now) {
		return true
	}
	if len(q.running) == 0 {
		return false
	}
	if offered.Call || served.belowFloor {
		// Waiting jobs of other classes do not go first; callMustWaitTooLong estimates the wait of a call.
		return now.Add(q.ExpectedServiceTime(offered.Kind)).After(offered.Deadline)
	}
	return now.Add(q.expectedWait(now, offered) + q.ExpectedServiceTime(offered.Kind)).After(offered.Deadline)
}

// startsAfter reports whether a waiting job of the same class starts after the offered one.
func (q *Queue) startsAfter(now time.Time, waiting, offered Job) bool {
	if waitingOnTime, offeredOnTime := q.onTime(now, waiting), q.onTime(now, offered); waitingOnTime != offeredOnTime {
		return offeredOnTime
	}
	return waiting.Deadline.After(offered.Deadline)
}

// expectedWait estimates how long an offered job would wait for a slot.
func (q *Queue) expectedWait(now time.Time, offered Job) time.Duration {
	if len(q.running) < q.options.Limit {
		return 0
	}
	jobsAhead, ownJobsAhead := 0, 0
	for _, j := range q.waiting {
		if j.Class > offered.Class || j.Class == offered.Class && q.startsAfter(now, j.Job, offered) {
			continue
		}
		jobsAhead++
		if j.Job.Tenant == offered.Tenant {
			ownJobsAhead++
		}
	}
	tenants := len(q.tenants)
	if q.tenants[offered.Tenant] == nil {
		tenants++
	}
	// With fair sharing, at most as many jobs of each other tenant start first as this tenant has, the offered one
	// included.
	ahead := min(jobsAhead, (ownJobsAhead+1)*tenants-1)
	return q.serviceTime * time.Duration(ahead+1) / time.Duration(max(q.options.Limit, 1))
}
