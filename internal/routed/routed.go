// Package routed holds the types of requests that routes send to services, independent of any encoding.
package routed

import (
	"time"

	"heatherreel/internal/request"
)

// Field is one header field in the order of the message.
type Field struct {
	Name, Value string
}

// Request is one attempt of a caller. The ingress node fills the fields from Service on when it has found the route.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the escaped path with the query.
	Path   string
	Header []Field
	Body   []byte
	// Deadline is when the caller, or the route, stops waiting.
	Deadline time.Time
	// Objective is the time by which an answer is on time; zero if the route has none.
	Objective time.Time
	// Keyed tells whether Key is set.
	Keyed bool
	Key   uint16
	// OriginService is the service of the instance at which the request entered the fleet.
	OriginService string

	Service string
	// Route is the name of the route.
	Route      string
	Idempotent bool
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// HomeRegions are the regions that may serve the request; empty for all.
	HomeRegions []string
	// Revision is the configuration that the route was taken from.
	Revision uint64
	// MayDivert tells that the ingress node asks another backend server if this one is slow at the moment.
	MayDivert bool
	// Traceparent is the W3C trace context of the hop that sent the request; empty without one. What the caller sent in
	// its header reaches the backend server unchanged.
	Traceparent string
}

// Load is what a node reports of the backend server beside it.
type Load struct {
	// Known is false for a node without a backend server.
	Known bool
	// Running and Waiting are requests in slots and in the queue; Slots is the present limit of Running.
	Running, Waiting, Slots int
	// ServiceTime is the average time of a request in a slot.
	ServiceTime time.Duration
	// ColdFor is how long the backend server stays cold.
	ColdFor time.Duration
	// KeyRate is the number of requests a second for keys that arrive.
	KeyRate float64
	// Slowdown is how many times as long as usual a request takes that starts now; 0 and 1 are usual.
	Slowdown float64
	// Current tells that the node has read the ownership of keys a short time ago, so that it can take keys over.
	Current bool
}

// Answer is the result of a request.
type Answer struct {
	Outcome request.Outcome
	// Reason is empty when Outcome is Done.
	Reason request.Reason
	// RetryAfter is when room is expected; zero if unknown.
	RetryAfter time.Duration
	Status     int
	Header     []Field
	Body       []byte
	// Offered tells whether the request reached a backend server, whatever became of it.
	Offered bool
	// WorkFigure is what the backend server told of how long work takes that starts now, on a scale of its own; 0 if it
	// told nothing.
	WorkFigure float64
	// Instance is the node that gave the answer; empty if none did.
	Instance string
	Load     Load
	// Revision is the configuration in force at that node.
	Revision uint64
	// Owner is the instance that owns the key by what that node knows, for a request that it refused as not its own; empty
	// if it does not know.
	Owner string
}

// Refuse returns an answer to a request that did not run.
func Refuse(reason request.Reason, retryAfter time.Duration) Answer {
	return Answer{Outcome: request.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// Uncertain returns an answer to a request that may have run.
func Uncertain(reason request.Reason) Answer {
	return Answer{Outcome: request.Unknown, Reason: reason, Offered: true}
}

// Exchange is one request to the backend server.
type Exchange struct {
	Request Request
	// Address and Server name the backend server that is to run the request.
	Address string
	Server  string
}
