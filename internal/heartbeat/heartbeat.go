// Package heartbeat holds what a backend server tells the node beside it, and what the node answers, independent of any
// encoding.
package heartbeat

import (
	"time"

	"heatherreel/internal/keyrange"
)

// Held is a range that a backend server holds or still works on.
type Held struct {
	From, To uint16
	Fence    uint64
}

// Freed is a range that a backend server has released, with the token for its next owner.
type Freed struct {
	From, To uint16
	Handover string
}

// Message is what a backend server tells of itself.
type Message struct {
	Server   string
	Service  string
	Address  string
	Draining bool
	// Ended is set in the last message of a backend server.
	Ended bool
	Slots int
	// ColdFor is how long the backend server stays cold.
	ColdFor time.Duration
	// Born is its start in Unix milliseconds, and Sequence grows with each heartbeat of one life.
	Born     int64
	Sequence int64
	Holds    []Held
	Freed    []Freed
}

// Reply answers a heartbeat. Without a hold it grants nothing and renews nothing.
type Reply struct {
	Hold   time.Duration
	Ranges []keyrange.Range
}
