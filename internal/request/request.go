// Package request defines the types of a request of a caller and of its answer, independent of their encodings.
package request

import (
	"math"
	"time"
)

// Class is the priority class of a request. Under load, more urgent classes are served first.
type Class uint8

// Classes from the most to the least urgent.
const (
	// Interactive is a read or write that a person or an ordering system waits for.
	Interactive Class = iota
	// Lookup is an internal lookup that nobody waits for directly.
	Lookup
	// Background is work that no caller waits for.
	Background
)

// MaxClass is the least urgent class.
const MaxClass Class = math.MaxUint8

// classNames are the names of the classes in headers and configuration.
var classNames = [...]string{"interactive", "lookup", "background"}

// String returns the name of c in headers and configuration.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class with the given name.
func ParseClass(text string) (Class, bool) {
	for i, name := range classNames {
		if name == text {
			return Class(i), true
		}
	}
	return 0, false
}

// Request is a request of a caller for one key.
type Request struct {
	Service string
	Tenant  string
	Key     string
	// ID is the request id, a UUIDv7 chosen by the caller. It may be empty for an idempotent request.
	ID         string
	Idempotent bool
	Class      Class
	// Deadline is the time until which the caller waits for the answer.
	Deadline time.Time
	// Method is the HTTP method of the request to the backend server.
	Method      string
	ContentType string
	Body        []byte
	// Traceparent is the W3C trace context; it may be empty.
	Traceparent string
}

// Outcome is what is known about the execution of a request.
type Outcome uint8

// Outcomes of a request. The zero value is the safe one, which asserts nothing.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Done means that the backend server ran the request and this is its whole answer.
	Done
	// NotRun means that the request certainly did not run.
	NotRun
)

// String returns the name of o in headers and metrics.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Reason is a stable code for the cause of an answer whose outcome is not Done.
type Reason string

// Reasons of answers whose outcome is not Done.
const (
	// NoOwner means that the slice of the key has no owner now.
	NoOwner Reason = "no_owner"
	// NotOwner means that the node that was asked does not own the slice of the key.
	NotOwner Reason = "not_owner"
	// LeaseLapsed means that the owner does not hold a valid lease.
	LeaseLapsed Reason = "lease_lapsed"
	// Moving means that the slice is moving and its new owner still waits for the previous owner to release it.
	Moving Reason = "moving"
	// NoHomeOwner means that there is no owner in the home regions of the key.
	NoHomeOwner Reason = "no_home_owner"
	// WrongRegion means that the request reached a node outside the home regions of the key.
	WrongRegion Reason = "wrong_region"
	// QueueFull means that a queue or a concurrency limit left no room for the request.
	QueueFull Reason = "queue_full"
	// DeadlineTooClose means that too little time was left for the request to finish before its deadline.
	DeadlineTooClose Reason = "deadline_too_close"
	// Draining means that the node is stopping, or, at a gateway, that its backend server is.
	Draining Reason = "draining"
	// Stopping means that the process of the node, a gateway, ends and another one takes its place.
	Stopping Reason = "stopping"
	// NotConfigured means that no configuration is in force.
	NotConfigured Reason = "not_configured"
	// BackendRefused means that the backend server refused the fence of the request.
	BackendRefused Reason = "backend_refused"
	// BackendUnreachable means that no connection to the backend server could be opened.
	BackendUnreachable Reason = "backend_unreachable"
	// OwnerUnreachable means that no connection to the owner could be opened.
	OwnerUnreachable Reason = "owner_unreachable"
	// ConnectionLost means that the connection failed after the request was sent.
	ConnectionLost Reason = "connection_lost"
	// Canceled means that the answer is not needed any more: the caller has disconnected, or another node answered first.
	Canceled Reason = "canceled"
	// DeadlineExceeded means that no answer came before the deadline.
	DeadlineExceeded Reason = "deadline_exceeded"
	// MayHaveRun means that an earlier attempt with the same request id may have run at an owner that was lost.
	MayHaveRun Reason = "may_have_run"
	// NoRoute means that the configuration has no route for the request.
	NoRoute Reason = "no_route"
	// Unauthenticated means that the request has no API key of a tenant, and its route needs one.
	Unauthenticated Reason = "unauthenticated"
	// ConfigurationStale means that the configuration may be too old to decide on the API key of the request.
	ConfigurationStale Reason = "configuration_stale"
	// QuotaExceeded means that the tenant of the request has sent more than its quota.
	QuotaExceeded Reason = "quota_exceeded"
	// NoCommonRegion means that no region may serve both the route and the tenant of the request.
	NoCommonRegion Reason = "no_common_region"
	// NoServer means that no backend server may serve the request now.
	NoServer Reason = "no_server"
	// BackendFull means that the backend server had no free slot for the request.
	BackendFull Reason = "backend_full"
	// BackendChanged means that another backend server answered at the address, or that the key has moved away from the
	// backend server.
	BackendChanged Reason = "backend_changed"
	// MachineSlow means that the machine of the backend server is slow at present, so another backend server may be
	// faster.
	MachineSlow Reason = "machine_slow"
	// ServerBusy means that the request would have waited for a slot of the backend server, while another one may have a free
	// one.
	ServerBusy Reason = "server_busy"
	// LinkFull means that the link of the node is busy with large answers, so that the answer would come too late.
	LinkFull Reason = "link_full"
	// CallsRefused means that the calls that the backend server makes for such a request are being refused.
	CallsRefused Reason = "calls_refused"
	// LargeBodiesFull means that a node streams as many large bodies as it may already.
	LargeBodiesFull Reason = "large_bodies_full"
	// BodyIncomplete means that the caller, or the node before this one, did not send the whole body.
	BodyIncomplete Reason = "body_incomplete"
	// ServerShedding means that the backend server sheds all requests and is left alone.
	ServerShedding Reason = "server_shedding"
	// PathSlow means that the request was on its way between two nodes for so long that its sender has given it up.
	PathSlow Reason = "path_slow"
	// AnswerInvalid means that the backend server sent bytes that are malformed or no answer to the request.
	AnswerInvalid Reason = "answer_invalid"
	// AnswerTooLarge means that the request ran, but its answer exceeds the size limit of the router.
	AnswerTooLarge Reason = "answer_too_large"
)

// Reasons for errors of the request itself. Such a request never ran.
const (
	// Malformed means that the request could not be decoded.
	Malformed Reason = "malformed"
	// TooLarge means that the body or the key exceeds its size limit.
	TooLarge Reason = "too_large"
	// UnknownService means that the configuration does not contain the service.
	UnknownService Reason = "unknown_service"
	// UnknownTenant means that the configuration does not contain the tenant.
	UnknownTenant Reason = "unknown_tenant"
	// IDReused means that the request id was already used for a different request.
	IDReused Reason = "id_reused"
)

// Answer is the answer to a request.
type Answer struct {
	Outcome Outcome
	// Reason is empty when Outcome is Done.
	Reason Reason
	// Remedy tells the caller what to do; it is empty when Outcome is Done.
	Remedy string
	// Status is the HTTP status of the backend server's answer; zero unless Outcome is Done.
	Status      int
	ContentType string
	Body        []byte
	// Location is the address of a node that can serve the request, if the caller is redirected; otherwise empty.
	Location string
	// LedgerOffset is the offset up to which the answering node has replayed the log.
	LedgerOffset uint64
}

// Refuse returns an answer with the outcome NotRun.
func Refuse(reason Reason, remedy string) Answer {
	return Answer{Outcome: NotRun, Reason: reason, Remedy: remedy}
}

// Uncertain returns an answer with the outcome Unknown: the request may have run.
func Uncertain(reason Reason, remedy string) Answer {
	return Answer{Outcome: Unknown, Reason: reason, Remedy: remedy}
}
