package admission

import (
	"math"
	"time"
)

// callTime is the time constant of the measured need of calls: several times the service time of the parents, which
// bounds how soon calls follow each other.
const callTime = 2 * time.Second

// callMargin is the expected wait, as a multiple, up to which a call is queued. A queued call is not refused any more,
// so that the estimate must hold in most cases.
const callMargin = 2

// minCallNeed is the need, in slots, below which no slot is reserved. minCallTime is the service time that counts for a
// call at least, so that a slot is reserved before the first call is measured.
const (
	minCallNeed = 0.01
	minCallTime = 20 * time.Millisecond
)

// callNeed measures how many slots calls need: the sum of their service times in a second. It decays exponentially.
type callNeed struct {
	slots float64
	at    time.Time
}

// add records an offered call with its expected service time.
func (n *callNeed) add(now time.Time, serviceTime time.Duration) {
	n.slots, n.at = n.read(now)+max(serviceTime, minCallTime).Seconds()/callTime.Seconds(), now
}

// read returns the slots that calls need.
func (n *callNeed) read(now time.Time) float64 {
	return n.slots * math.Exp(-max(0, now.Sub(n.at).Seconds())/callTime.Seconds())
}

// reservedForCalls returns the number of slots that new work may not take: as many as calls need, rounded up, but not
// all.
func (q *Queue) reservedForCalls(now time.Time) int {
	need := q.callNeed.read(now)
	if need < minCallNeed {
		return 0
	}
	return max(0, min(int(math.Ceil(need)), q.options.Limit-1))
}

// hasSlot reports whether a slot is free for a job. New work leaves the reserve to calls, and calls leave one slot to
// new work that waits.
func (q *Queue) hasSlot(now time.Time, call bool) bool {
	if len(q.running) >= q.options.Limit {
		return false
	}
	if !call {
		return len(q.running)-q.runningCalls < q.options.Limit-q.reservedForCalls(now)
	}
	return q.runningCalls < max(1, q.options.Limit-1) || len(q.waiting) == q.waitingCalls
}

// callPrecedes reports whether exactly one of two jobs is a call that goes before new work of its own or a lower rank;
// callFirst states whether it is a.
func callPrecedes(a, b *job) (callFirst, decided bool) {
	switch {
	case a.Call && !b.Call && a.Class <= b.Class:
		return true, true
	case b.Call && !a.Call && b.Class <= a.Class:
		return false, true
	}
	return false, false
}

// callSlots returns the number of slots whose calls an offered call may count on to end soon. The parents in the other
// slots may wait for calls themselves, even for this one. New work of a higher rank may take the slots outside of the
// reserve.
func (q *Queue) callSlots(now time.Time, offered Job) int {
	slots := min(q.options.Limit-(len(q.running)-q.runningCalls), max(1, q.options.Limit-1))
	for _, j := range q.waiting {
		if !j.Call && j.Class < offered.Class {
			return min(slots, max(1, q.reservedForCalls(now)))
		}
	}
	return slots
}

// callMustWaitTooLong reports whether an offered call may have to be refused later, and is therefore refused now.
func (q *Queue) callMustWaitTooLong(now time.Time, offered Job) bool {
	if q.hasSlot(now, true) {
		return false
	}
	slots, serviceTime := q.callSlots(now, offered), q.ExpectedServiceTime(offered.Kind)
	if slots <= 0 || serviceTime == 0 {
		return true
	}
	wait := serviceTime * time.Duration(q.waitingCalls+1) / time.Duration(slots)
	needed := callMargin*wait + time.Duration(onTimeMargin*float64(serviceTime))
	return now.Add(needed).After(offered.Deadline)
}
