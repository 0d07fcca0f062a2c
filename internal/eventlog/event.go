// Package eventlog writes numbered events as JSON lines through zerolog.
//
// Operators look up an event by its number in docs/events.md. Only the constructors of this package create fields. They
// accept numbers, typed values, constant text, names that operators or the platform assigned, and request ids, so that
// no key, body or other text of a tenant reaches the log.
package eventlog

import "github.com/rs/zerolog"

// Event describes one event of the catalogue.
type Event struct {
	// Number is unique and never reused. Its hundreds digit is the area.
	Number int
	// Name is the stable name in snake case, for log queries.
	Name  string
	Level zerolog.Level
	// Text says what happened and what follows from it.
	Text string
	// Remedy says what an operator should do; it is empty if no action is needed.
	Remedy string
	// PerSecond is the maximum number of these events written per second; zero means no limit. It is set for events
	// that callers, backend servers or peers can cause in large numbers.
	PerSecond int
}

// Areas of the catalogue. Each value is the start of the range of event numbers of the area.
const (
	AreaProcess       = 100
	AreaLedger        = 200
	AreaLease         = 300
	AreaAssignment    = 400
	AreaRequest       = 500
	AreaBackend       = 600
	AreaConfiguration = 700
	AreaPeer          = 800
)

// areaSize is the size of the range of event numbers of each area.
const areaSize = 100

// Rate limits of events that can occur in large numbers, in events per second.
const (
	// bulkRate keeps the log volume of each event caused by requests below 1 KB/s.
	bulkRate = 2
	// peerRate is higher, so that the loss of a data centre logs each failed peer.
	peerRate = 10
)

// catalogue lists the events in the order of their definition. Only define appends to it, during package
// initialization.
var catalogue []*Event

// define adds e to the catalogue and returns a pointer to its entry.
func define(e Event) *Event {
	catalogue = append(catalogue, &e)
	return &e
}
