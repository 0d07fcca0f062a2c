// Package stream decides how many large request bodies a process streams at the same time, and whether a request with such a
// body may be sent again. It does no I/O and reads no clock; callers must serialize access to Slots.
package stream

import (
	"time"

	"heatherreel/internal/request"
)

// Role is what a process does for a request.
type Role uint8

// Roles of a process. A process that executes a request of its own caller has both.
const (
	// Ingress reads the body from the caller.
	Ingress Role = iota
	// Owner executes the request: it passes the body on to the local backend server.
	Owner
	RoleCount
)

// String returns the name of the role in metrics.
func (r Role) String() string { return [RoleCount]string{"ingress", "owner"}[r] }

const (
	// DefaultLimit is the limit of bodies in each role. It is small because a body that arrives at the pace of a slow client
	// holds a slot of the backend server.
	DefaultLimit = 2
	// RetryAfter is when a caller may retry that found no room: 60 MiB take 2.5 s on a link of 200 Mbit/s.
	RetryAfter = 2500 * time.Millisecond
	// BodyMemory is the memory in bytes of a body at one node and in one role: a buffer of 64 KiB for what arrives, and one on
	// the way to the next node or the backend server.
	BodyMemory = 128 << 10
	// MaxTime bounds the time in which a body must arrive, also if the deadline of the request is later.
	MaxTime = 30 * time.Second
)

// Slots counts the bodies that are streamed in each role.
type Slots struct {
	limit int
	open  [RoleCount]int
}

// NewSlots returns slots for limit bodies in each role. Without any, no body is streamed.
func NewSlots(limit int) *Slots { return &Slots{limit: limit} }

// Take takes a slot. It returns why there is none; empty if the slot is taken.
func (s *Slots) Take(r Role) request.Reason {
	switch {
	case s.limit == 0 && r == Ingress:
		return request.TooLarge
	case s.open[r] >= s.limit:
		return request.LargeBodiesFull
	}
	s.open[r]++
	return ""
}

// Return returns a slot.
func (s *Slots) Return(r Role) { s.open[r]-- }

// MayRepeat reports whether a request whose body is streamed may be sent to another node after a send that ended with the
// outcome. begun is set if reading of the body has begun. What was read is not kept, so that the next send would lack it.
func MayRepeat(outcome request.Outcome, begun bool) bool {
	return outcome == request.NotRun && !begun
}
