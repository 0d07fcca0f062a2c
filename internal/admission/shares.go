package admission

import (
	"math"
	"time"

	"heatherreel/internal/request"
)

const (
	// shareTime is the time constant over which the served shares of classes are compared: shorter than the bursts of one
	// class, which last 3 s and more. With 2 s, a class was served 0.145 of its jobs in a burst of 6 s, and its floor was
	// 0.153.
	shareTime = time.Second
	// floorRatio is the share of its jobs that a class is served at least, as a fraction of the highest share of a more
	// urgent class.
	floorRatio = 1.0 / 3
	// floorTarget is the ratio below which a class goes first. It is above the floor, because shares follow a burst late.
	floorTarget = 0.4
	// maxFloorPart is the part of all starts from which a class does not go first for being below its floor. Immediate
	// retries count as further jobs, so that the class would seem to be served less than it is: without this bound, a burst
	// of a less urgent class with retries left the urgent class of another tenant 0.81 of its jobs.
	maxFloorPart = 0.25
	// inversionMargin is the difference of served shares from which a class is held back in favour of a more urgent one of
	// the same tenant. It is half of the difference that counts as a fault.
	inversionMargin = 0.025
	// minShareJobs is the number of recent jobs from which the served share of a class counts.
	minShareJobs = 4
	// maxShares bounds the number of classes of tenants whose shares are kept.
	maxShares = 256
)

// shareKey identifies a class of a tenant.
type shareKey struct {
	tenant string
	class  request.Class
}

// share is the recent service of a class of a tenant. The counts decay together.
type share struct {
	offered, started float64
	at               time.Time
	waiting          int
	// belowFloor is set while the class is served less than its floor, and aboveUrgent while it is served better than a
	// more urgent class of the same tenant that waits.
	belowFloor, aboveUrgent bool
}

// decay lets the counts decay until now.
func (s *share) decay(now time.Time) {
	if elapsed := now.Sub(s.at).Seconds(); elapsed > 0 {
		keep := math.Exp(-elapsed / shareTime.Seconds())
		s.offered *= keep
		s.started *= keep
		s.at = now
	}
}

// served returns the share of the recent jobs that were started.
func (s *share) served() float64 { return s.started / max(s.offered, 1e-9) }

// shareOf returns the share of the class of a job, and counts the job as offered. Calls have a share of their own, which
// is not compared: they go before the work of their class, and would hide that it is not served.
func (q *Queue) shareOf(now time.Time, offered Job) *share {
	if offered.Call {
		return &share{at: now}
	}
	key := shareKey{offered.Tenant, offered.Class}
	s := q.shares[key]
	if s == nil {
		if len(q.shares) >= maxShares {
			q.dropOldShares(now)
		}
		s = &share{at: now}
		if len(q.shares) < maxShares {
			q.shares[key] = s
		}
	}
	s.decay(now)
	s.offered++
	return s
}

// dropOldShares removes the shares of classes without recent or waiting jobs.
func (q *Queue) dropOldShares(now time.Time) {
	for key, s := range q.shares {
		if s.decay(now); s.offered < 0.5 && s.waiting == 0 {
			delete(q.shares, key)
		}
	}
}

// Contended reports whether jobs of several classes compete, or calls are offered. Only then does the queue treat
// classes by their served shares.
func (q *Queue) Contended(now time.Time) bool {
	if q.callNeed.read(now) >= minCallNeed {
		return true
	}
	classes := map[request.Class]bool{}
	for key, s := range q.shares {
		if s.decay(now); s.offered >= minShareJobs {
			classes[key.class] = true
		}
	}
	return len(classes) > 1
}

// classifyInterval is the shortest time between two comparisons of shares, which change much more slowly.
const classifyInterval = 10 * time.Millisecond

// classify compares the served shares of the classes. A class competes for as long as it had enough recent jobs.
func (q *Queue) classify(now time.Time) {
	if now.Sub(q.classifiedAt) < classifyInterval {
		return
	}
	q.classifiedAt = now
	started, startedOfClass := 0.0, map[request.Class]float64{}
	for key, s := range q.shares {
		s.decay(now)
		started += s.started
		startedOfClass[key.class] += s.started
	}
	for key, s := range q.shares {
		s.belowFloor, s.aboveUrgent = false, false
		if s.offered < minShareJobs {
			continue
		}
		for other, u := range q.shares {
			if other.class >= key.class || u.offered < minShareJobs {
				continue
			}
			s.belowFloor = s.belowFloor || s.served() < floorTarget*u.served() && startedOfClass[key.class] < maxFloorPart*started
			s.aboveUrgent = s.aboveUrgent || other.tenant == key.tenant && u.waiting > 0 && s.served() > u.served()+inversionMargin
		}
	}
}

// rank returns the rank of a job among waiting jobs, lower first: that of its class, or the highest one while its class
// is below its floor.
func (j *job) rank() int {
	if j.share.belowFloor {
		return -1
	}
	return int(j.Class)
}
