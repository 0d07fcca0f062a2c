// Package admission decides which requests are sent to a backend server, and when.
//
// A queue keeps the requests above the concurrency limit of one backend server waiting. It orders them by class, then
// puts tenants and keys below their fair share of the slots first, then requests that can still meet their objective,
// then sorts by deadline. Requests that cannot finish in time are refused early. Only requests that were not sent to
// the backend server are refused. Calls that backend servers make while they execute a request go before new work of
// their own or a lower rank, have slots reserved, and are refused when they are offered or not at all. Where several
// classes compete, each has a floor, and none is served better than a more urgent one. The package does no I/O and reads no
// clock; callers must serialize access.
package admission

import (
	"time"

	"heatherreel/internal/request"
)

// Options are the limits of a queue.
type Options struct {
	// Limit is the highest number of requests that run concurrently.
	Limit int
	// QueueLimit is the highest number of waiting requests. Selecting the next one takes time linear in it.
	QueueLimit int
	// HoldWhenSlow delays the start of jobs for a short time while the backend server is slow; see Queue.SetSlowdown.
	HoldWhenSlow bool
}

// Job holds the properties of a request that admission depends on.
type Job struct {
	// Kind groups jobs with similar service times, such as those of one route; empty if unknown.
	Kind   string
	Tenant string
	Key    string
	Class  request.Class
	// Call is set for a job that a backend server sent while it executed another one, and that keeps a slot there.
	Call     bool
	Deadline time.Time
	// Objective is the latency objective as a point in time: an answer after it is late. It is zero if an answer has
	// the same value until the deadline.
	Objective time.Time
	// WaitLimit is the longest expected wait for a slot with which the job is queued: another backend server may have a free
	// slot. Zero means any.
	WaitLimit time.Duration
}

// waitLimitDivisor bounds the expected wait of a job that another backend server may run to a fraction of its time. The report
// by which its ingress node chose this one is often older than the jobs that fill the slots now.
const waitLimitDivisor = 8

// WaitLimit returns Job.WaitLimit for a job that is to finish by a time and that another backend server may run.
func WaitLimit(now, finishBy time.Time) time.Duration {
	return max(time.Millisecond, finishBy.Sub(now)/waitLimitDivisor)
}

// Ticket identifies one offered job. The tickets of a queue increase.
type Ticket uint64

// Verdict is the result of offering a job.
type Verdict uint8

// Verdicts. The zero value starts no job.
const (
	// Refused means that the job will not run; Decision.Reason holds the reason.
	Refused Verdict = iota
	// Started means that the job runs now and must be ended with Release.
	Started
	// Queued means that the job waits. A later Change starts or refuses it, unless Cancel removes it first.
	Queued
)

// Refusal states that a job has not run and will not run.
type Refusal struct {
	Ticket Ticket
	// Reason is request.QueueFull or request.DeadlineTooClose.
	Reason request.Reason
}

// Change lists the waiting jobs that were started or refused, each exactly once.
type Change struct {
	// Start lists the jobs that run now; each must be ended with Release.
	Start  []Ticket
	Refuse []Refusal
}

// Decision is the result of Offer. Change lists other jobs that were affected.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
	Reason  request.Reason
	Change  Change
}

// Usage is the occupancy of a queue.
type Usage struct {
	Limit   int
	Running int
	Waiting int
	// ServiceTime is the estimated service time; zero before the first measured request.
	ServiceTime time.Duration
}
