package admission

import "time"

const (
	// returnShare is the part of the capacity that is promised to refused callers. The rest serves callers that come for
	// the first time.
	returnShare = 0.5
	// maxAppointment is the longest time for which a caller is told to wait beyond the expected wait. Later appointments
	// start again at the expected wait: bursts last a few seconds, and few callers wait for longer.
	maxAppointment = 4 * time.Second
)

// Appointments spreads the times at which refused callers return. The zero value is ready to use. It is not safe for
// concurrent use.
type Appointments struct {
	next time.Time
}

// Give returns the time after which a caller that is refused now is to return. wait is the expected wait until capacity
// is free, and serviceTime the time that a request takes on one of the slots. Each caller gets a place of its own, so
// that not all that were refused in the same moment return together.
func (a *Appointments) Give(now time.Time, wait, serviceTime time.Duration, slots int) time.Duration {
	earliest := now.Add(wait)
	if a.next.Before(earliest) || a.next.After(earliest.Add(maxAppointment)) {
		a.next = earliest
	}
	at := a.next
	a.next = at.Add(time.Duration(float64(serviceTime) / returnShare / float64(max(slots, 1))))
	return at.Sub(now)
}
