// Package heartbeat defines the heartbeat that a backend server sends to the node on its instance, and the node's
// reply, independent of any encoding.
package heartbeat

import (
	"time"

	"heatherreel/internal/keyhold"
)

// Held is a range that a backend server holds, or for which it still executes requests.
type Held struct {
	From, To uint16
	Fence    uint64
}

// Message is a heartbeat of a backend server.
type Message struct {
	Server   string
	Service  string
	Address  string
	Draining bool
	// Ended is set in the last heartbeat of a backend server.
	Ended bool
	Slots int
	// ColdFor is how long the backend server will still be cold.
	ColdFor time.Duration
	// StartedUnixMS is the start time of the backend server in Unix milliseconds. Sequence increases with each
	// heartbeat until it is restarted.
	StartedUnixMS int64
	Sequence      int64
	Holds         []Held
	Freed         []keyhold.Released
}

// Reply is the answer to a heartbeat. It grants Spans for the duration Hold; if Hold is zero, it grants and renews
// nothing.
type Reply struct {
	Hold  time.Duration
	Spans []keyhold.Span
}
