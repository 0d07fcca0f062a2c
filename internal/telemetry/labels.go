package telemetry

import (
	"slices"

	"heatherreel/internal/request"
)

// Names of labels and span attributes.
const (
	labelService   = "service"
	labelRole      = "role"
	labelOutcome   = "outcome"
	labelReason    = "reason"
	labelPool      = "pool"
	labelTransport = "transport"
	labelDirection = "direction"
	labelStep      = "step"
)

// otherValue stands for a service or reason outside of its closed set.
const otherValue = "other"

// Role is the part that this node played in a request.
type Role uint8

// Roles of a node in a request.
const (
	// Ingress received the request from its caller.
	Ingress Role = iota
	// Owner executed the request.
	Owner
	roleCount
)

// String returns the label value of r.
func (r Role) String() string {
	if r == Ingress {
		return "ingress"
	}
	return "owner"
}

// outcomes are the label values of outcomes.
var outcomes = []request.Outcome{request.Unknown, request.Done, request.NotRun}

// reasons are the label values of reasons. The empty reason belongs to Done.
var reasons = []request.Reason{"", request.NoOwner, request.NotOwner, request.LeaseLapsed, request.Moving,
	request.NoHomeOwner, request.WrongRegion, request.QueueFull, request.DeadlineTooClose, request.Draining,
	request.NotConfigured, request.BackendRefused, request.BackendUnreachable, request.OwnerUnreachable,
	request.ConnectionLost, request.DeadlineExceeded, request.MayHaveRun, request.Malformed, request.TooLarge,
	request.UnknownService, request.UnknownTenant, request.IDReused, request.AnswerTooLarge,
	request.NoRoute, request.NoServer, request.BackendFull, request.BackendChanged, request.AnswerInvalid,
	request.MachineSlow}

// closedReason returns the reason, or otherValue for one that is not in the closed set.
func closedReason(r request.Reason) request.Reason {
	if slices.Contains(reasons, r) {
		return r
	}
	return otherValue
}

// AppendOutcome is what a writer learned about its record.
type AppendOutcome uint8

// Outcomes of appends to the log.
const (
	// AppendAccepted means that the record took effect.
	AppendAccepted AppendOutcome = iota
	// AppendRejected means that the record did not take effect.
	AppendRejected
	// AppendNotSent means that the log was not reached.
	AppendNotSent
	// AppendUnanswered means that the reply was lost; the same record is counted again when its outcome shows.
	AppendUnanswered
	appendOutcomeCount
)

// String returns the label value of o.
func (o AppendOutcome) String() string {
	return [...]string{"accepted", "rejected", "not_sent", "unanswered"}[o]
}

// ClaimStep is a step of a claim against another incarnation.
type ClaimStep uint8

// Steps of claims.
const (
	ClaimStarted ClaimStep = iota
	// ClaimAbandoned means that no majority promised or that another claimant was first.
	ClaimAbandoned
	// ClaimWon means that the end record took effect.
	ClaimWon
	claimStepCount
)

// String returns the label value of s.
func (s ClaimStep) String() string { return [...]string{"started", "abandoned", "won"}[s] }

// Direction is a direction relative to this node.
type Direction uint8

// Directions of bytes and moves.
const (
	In Direction = iota
	Out
	directionCount
)

// String returns the label value of d.
func (d Direction) String() string { return [...]string{"in", "out"}[d] }

// Transport is a carrier of control traffic.
type Transport uint8

// Transports of control traffic. Requests of callers are not control traffic.
const (
	// LeaseDatagrams is the UDP lease protocol.
	LeaseDatagrams Transport = iota
	// NodeCalls is drpc between nodes, without forwarded requests.
	NodeCalls
	// LogCalls is HTTP to the platform's log.
	LogCalls
	// BackendCalls is HTTP with the backend server, without requests.
	BackendCalls
)

// String returns the label value of t.
func (t Transport) String() string {
	return [...]string{"lease_udp", "node_drpc", "log_http", "backend_http"}[t]
}
