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
	// KeysReported is set if the heartbeat says what the backend server holds and has released, even if that is nothing.
	KeysReported bool
	Holds        []Held
	Freed        []keyhold.Released
}

// LacksKeys reports whether a heartbeat does not say what its sender holds although each heartbeat of the service does:
// keyed is set if the configuration in force says that the service has keys, and reportedBefore if an earlier heartbeat
// reported them. The configuration may not be known yet. Such a heartbeat is of another writer, and taking it for one that
// holds nothing would end grants that are in force. It applies where keys are granted in the replies to heartbeats.
func (m Message) LacksKeys(keyed, reportedBefore bool) bool {
	return !m.Ended && !m.KeysReported && (keyed || reportedBefore)
}

// Reply is the answer to a heartbeat. It grants Spans for the duration Hold; if Hold is zero, it grants and renews
// nothing.
type Reply struct {
	Hold  time.Duration
	Spans []keyhold.Span
}
