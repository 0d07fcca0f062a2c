// Package eventlog writes numbered events over zerolog.
//
// An operator looks an event up by its number in docs/events.md. Fields are made only by the constructors of this
// package. They take numbers, typed values and constant text, so that no key, body, request id or text of a tenant
// reaches the log.
package eventlog

import "github.com/rs/zerolog"

// Event is one kind of event in the catalogue.
type Event struct {
	// Number is unique and never reused. The hundreds name the area.
	Number int
	// Name is the stable name in snake case.
	Name  string
	Level zerolog.Level
	// Text says what happened.
	Text string
	// Remedy says what an operator should do; empty if nothing is to be done.
	Remedy string
	// PerSecond limits how many of these events are written each second; zero does not limit them. It is set for
	// events that callers, backend servers or peers can cause in bulk.
	PerSecond int
}

// Areas are the first numbers of the areas of the catalogue.
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

// areaSize is the number of event numbers in each area.
const areaSize = 100

// Rates of events that can be caused in bulk, in events a second.
const (
	// bulkRate keeps events caused by requests at under 1 KB/s of log for each kind.
	bulkRate = 2
	// peerRate is higher, because each peer that fails is of interest when a data centre is lost.
	peerRate = 10
)

// catalogue lists the events in the order of their definition. Only define appends to it, before main starts.
var catalogue []*Event

// define adds e to the catalogue.
func define(e Event) *Event {
	catalogue = append(catalogue, &e)
	return &e
}
