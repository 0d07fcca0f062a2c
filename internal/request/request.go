// Package request holds the types of a caller's request and its answer, independent of any encoding.
package request

import "time"

// Class orders requests under load.
type Class uint8

// Classes from the most to the least urgent.
const (
	// Interactive is a read or write that a person or an ordering system waits on.
	Interactive Class = iota
	// Lookup is an internal lookup that nobody waits on directly.
	Lookup
	// Background is work without a waiting caller.
	Background
)

// classNames are the spellings of the classes in headers and configuration.
var classNames = [...]string{"interactive", "lookup", "background"}

// String returns the spelling of c in headers and configuration.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class with the given spelling.
func ParseClass(text string) (Class, bool) {
	for i, name := range classNames {
		if name == text {
			return Class(i), true
		}
	}
	return 0, false
}

// Request is one caller's request for one key.
type Request struct {
	Service string
	Tenant  string
	Key     string
	// ID is the caller's request id, a UUIDv7. It may be empty for an idempotent request.
	ID         string
	Idempotent bool
	Class      Class
	// Deadline is the time after which nobody waits for the answer.
	Deadline time.Time
	// Method is the HTTP method that the backend server receives.
	Method      string
	ContentType string
	Body        []byte
	// Traceparent is the W3C trace context, or empty.
	Traceparent string
}

// Outcome says what is known about the execution of a request.
type Outcome uint8

// Outcomes of a request. The zero value claims the least.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Done means that the backend server ran the request and this is its whole answer.
	Done
	// NotRun means that the request is proved not to have run.
	NotRun
)

// String returns the spelling of o in headers and metrics.
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

// Reason is a stable code for the cause of an answer other than Done.
type Reason string

// Reasons of answers that are not Done.
const (
	// NoOwner means that the slice of the key has no owner now.
	NoOwner Reason = "no_owner"
	// NotOwner means that the asked node does not own the slice of the key.
	NotOwner Reason = "not_owner"
	// LeaseLapsed means that the owner's lease does not hold.
	LeaseLapsed Reason = "lease_lapsed"
	// Moving means that the new owner still waits for the release of the slice.
	Moving Reason = "moving"
	// NoHomeOwner means that no owner exists in a home region of the key.
	NoHomeOwner Reason = "no_home_owner"
	// WrongRegion means that the request reached a node outside the home regions of the key.
	WrongRegion Reason = "wrong_region"
	// QueueFull means that the request was refused by a limit.
	QueueFull Reason = "queue_full"
	// DeadlineTooClose means that the request could not finish before its deadline.
	DeadlineTooClose Reason = "deadline_too_close"
	// Draining means that the node is stopping.
	Draining Reason = "draining"
	// NotConfigured means that no configuration is in force.
	NotConfigured Reason = "not_configured"
	// BackendRefused means that the backend server refused the fencing token.
	BackendRefused Reason = "backend_refused"
	// BackendUnreachable means that no connection to the backend server could be opened.
	BackendUnreachable Reason = "backend_unreachable"
	// OwnerUnreachable means that no connection to the owner could be opened.
	OwnerUnreachable Reason = "owner_unreachable"
	// ConnectionLost means that the connection failed after the request was sent.
	ConnectionLost Reason = "connection_lost"
	// DeadlineExceeded means that no answer came before the deadline.
	DeadlineExceeded Reason = "deadline_exceeded"
	// MayHaveRun means that an earlier attempt with the same request id may have run at an owner that was lost.
	MayHaveRun Reason = "may_have_run"
	// NoRoute means that the configuration has no route for the request.
	NoRoute Reason = "no_route"
	// NoServer means that no backend server may serve the request now.
	NoServer Reason = "no_server"
	// BackendFull means that the backend server had no room.
	BackendFull Reason = "backend_full"
	// BackendChanged means that another backend server answered at the address, or that the key has left it.
	BackendChanged Reason = "backend_changed"
	// MachineSlow means that the machine of the backend server is slow at the moment, and that another one may be faster.
	MachineSlow Reason = "machine_slow"
	// AnswerInvalid means that the backend server's answer was cut short or is not the answer to the request.
	AnswerInvalid Reason = "answer_invalid"
	// AnswerTooLarge means that the request ran and its answer is over the limit of the router.
	AnswerTooLarge Reason = "answer_too_large"
)

// Reasons that state a fault of the request itself. Such a request never ran.
const (
	// Malformed means that the request could not be decoded.
	Malformed Reason = "malformed"
	// TooLarge means that the body or the key is over its limit.
	TooLarge Reason = "too_large"
	// UnknownService means that the configuration does not name the service.
	UnknownService Reason = "unknown_service"
	// UnknownTenant means that the configuration does not name the tenant.
	UnknownTenant Reason = "unknown_tenant"
	// IDReused means that the request id belongs to another request.
	IDReused Reason = "id_reused"
)

// Answer is what a caller learns about its request.
type Answer struct {
	Outcome Outcome
	// Reason is empty when Outcome is Done.
	Reason Reason
	// Remedy says what the caller can do; empty when Outcome is Done.
	Remedy string
	// Status is the HTTP status of the backend server's answer; zero unless Outcome is Done.
	Status      int
	ContentType string
	Body        []byte
	// Location is the address of a node that can serve the request, for a redirect; otherwise empty.
	Location string
	// LedgerOffset is the offset up to which the answering node has replayed the log.
	LedgerOffset uint64
}

// Refuse returns an answer that states that the request did not run.
func Refuse(reason Reason, remedy string) Answer {
	return Answer{Outcome: NotRun, Reason: reason, Remedy: remedy}
}

// Uncertain returns an answer that states that the request may have run.
func Uncertain(reason Reason, remedy string) Answer {
	return Answer{Outcome: Unknown, Reason: reason, Remedy: remedy}
}
