// Package routed defines the requests and answers that ingress nodes, owner nodes and backend servers exchange for
// routes, independent of any encoding. Package route holds the table of routes, and package routing decides for
// requests of tenants whether a node serves, forwards, redirects or refuses them.
package routed

import (
	"time"

	"heatherreel/internal/request"
	"heatherreel/internal/storeera"
)

// Field is one header field in the order of the message.
type Field struct {
	Name, Value string
}

// Request is one request of a caller; a retry of the caller is another Request. The ingress node sets the fields from
// Service on once it has found the route.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the escaped path, including the query.
	Path   string
	Header []Field
	Body   []byte
	// Stream is the body if it is too large to be held in memory as a whole; Body is empty then. It is nil otherwise.
	Stream *BodyStream
	// Authorization are the values of the header field with that name. They and Identity are not sent to other nodes.
	Authorization []string
	// Identity are the header fields with which callers state who they are: they are added to Header if the configuration
	// has no tenants, and dropped otherwise.
	Identity []Field
	// BodyUnread is set if no route was found before the body was read. The request is refused.
	BodyUnread bool
	// ReserveAnswer reserves memory at the ingress node for an answer of an expected size before the request runs, and returns
	// false if there is none. It is nil where nothing accounts for answers, and is not sent to other nodes.
	ReserveAnswer func(size int64) bool
	// Deadline is when the caller stops waiting, or when the timeout of the route ends.
	Deadline time.Time
	// Objective is the time by which an answer is on time; zero if the route has none.
	Objective time.Time
	// Keyed reports whether Key is set.
	Keyed bool
	Key   uint16
	// OriginService is the service of the instance at which the request entered the fleet.
	OriginService string

	// Tenant is the tenant that the request belongs to; empty if it has none.
	Tenant  string
	Service string
	// Route is the name of the route.
	Route      string
	Idempotent bool
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Call is set for a request that the local backend server of the ingress node sent while it executed another one.
	Call bool
	// HomeRegions are the regions that may serve the request; empty for all.
	HomeRegions []string
	// Revision is the revision of the configuration in which the route was found.
	Revision uint64
	// MayDivert reports whether the ingress node would try another backend server if this one is temporarily slow.
	MayDivert bool
	// Delay is how long the request was on its way from the ingress node, as far as that is known. It is measured at the
	// receiver.
	Delay time.Duration
	// ArriveWithin is the longest Delay with which the ingress node still waits for the answer: after that it sends the
	// request to another node. It is zero if the ingress node waits until the deadline. The sending connection sets it.
	ArriveWithin time.Duration
	// Repetition is what the ingress node does next if the outcome of this send is unknown. It is not sent to other nodes.
	Repetition Repetition
	// Traceparent is the W3C trace context of the hop that sent the request; empty without one. The header that the
	// caller sent is in Header and reaches the backend server unchanged.
	Traceparent string
}

// streamTransferBytes stands for the size of a stream of unknown length: the length from which on bodies are streamed.
const streamTransferBytes = 8 << 20

// TransferBytes returns the size of the body for an estimate of its transfer time.
func (r *Request) TransferBytes() int {
	switch {
	case r.Stream == nil:
		return len(r.Body)
	case r.Stream.Length < 0:
		return streamTransferBytes
	}
	return int(r.Stream.Length)
}

// FinishBy returns the time by which an answer is on time: the objective, or the deadline if that is earlier or the only one.
func (r Request) FinishBy() time.Time {
	if r.Objective.IsZero() || r.Objective.After(r.Deadline) {
		return r.Deadline
	}
	return r.Objective
}

// Repetition is where a request is sent again if the outcome of a send is unknown.
type Repetition int

// Repetitions. The zero value is the one with which a node waits longest for an answer.
const (
	// NotRepeated is for requests that may not run twice, or that have no attempt left.
	NotRepeated Repetition = iota
	// RepeatedAtOwner is for requests that only the owner of their key can run.
	RepeatedAtOwner
	// RepeatedElsewhere is for requests that another instance can run.
	RepeatedElsewhere
)

// Target is what is known about a request before it is routed.
type Target struct {
	// Known is false without a configuration. Found reports whether a route matches.
	Known, Found bool
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// MaxBodyBytes is the largest body that operators allow; zero means no limit.
	MaxBodyBytes int64
}

// Load is what a node reports about the backend server on its instance.
type Load struct {
	// Known is false for a node without a backend server.
	Known bool
	// Running and Waiting are the numbers of requests in slots and in the queue; Slots is the current limit of Running.
	Running, Waiting, Slots int
	// MeasuredSlots is the concurrency up to which the backend server keeps its speed; 0 if it is not measured.
	MeasuredSlots int
	// ServiceTime is the average time for which a request takes a slot.
	ServiceTime time.Duration
	// ColdFor is how long the backend server will still be cold.
	ColdFor time.Duration
	// KeyRate is the number of requests with a key that arrive per second.
	KeyRate float64
	// Slowdown is the factor by which a request that starts now takes longer than usual; 0 and 1 both mean the usual
	// time.
	Slowdown float64
	// OwnershipCurrent reports whether the node has recently read the ownership of keys, so that it can take keys over.
	OwnershipCurrent bool
	// Store is what the node knows of earlier eras of the store. Only answers to probes have it.
	Store storeera.Report
}

// Answer is the result of a request.
type Answer struct {
	Outcome request.Outcome
	// Reason is empty when Outcome is Done.
	Reason request.Reason
	// RetryAfter is the time after which free capacity is expected; zero if unknown.
	RetryAfter time.Duration
	Status     int
	Header     []Field
	Body       []byte
	// ReachedServer reports whether the request reached a backend server, whatever the outcome.
	ReachedServer bool
	// ConnectionRefused reports whether nothing accepted connections at the address of the backend server.
	ConnectionRefused bool
	// WorkFigure is the work figure that the backend server reported: the service time of requests that start now,
	// relative to the usual one of the service (1 is usual, 2 is twice as long); 0 if it reported none.
	WorkFigure float64
	// Instance is the instance of the node that answered; empty if none did.
	Instance string
	// Load is the load of that node.
	Load Load
	// Revision is the revision of the configuration in force at that node.
	Revision uint64
	// Owner is set when that node refused the request because it does not own the key: it is the owner's instance as
	// far as the node knows, or empty if it knows none.
	Owner string
	// RangesEnd is the end up to which that node had read the range tables when it refused the request because it does not
	// own the key, and RangesEra the era of the store in which that is an offset; 0 in other answers.
	RangesEnd int64
	RangesEra uint64
}

// NotRun returns the answer to a request that was not executed.
func NotRun(reason request.Reason, retryAfter time.Duration) Answer {
	return Answer{Outcome: request.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// OutcomeUnknown returns the answer to a request that may have been executed.
func OutcomeUnknown(reason request.Reason) Answer {
	return Answer{Outcome: request.Unknown, Reason: reason, ReachedServer: true}
}

// Exchange is one request to the backend server.
type Exchange struct {
	Request Request
	// Address and Server are the address and ID of the backend server that is to execute the request.
	Address string
	Server  string
	// HasTenants is set if the configuration has tenants. The backend server then gets no identity but Request.Tenant.
	HasTenants bool
}
