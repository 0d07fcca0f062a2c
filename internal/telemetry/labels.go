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
	labelSource    = "source"
	labelOperation = "operation"
	labelResult    = "result"
	labelCause     = "cause"
	labelKind      = "kind"
)

// otherValue replaces a service or reason that is not in its fixed set of label values.
const otherValue = "other"

// Role is the role of this node in a request.
type Role uint8

// Roles of a node in a request.
const (
	// Ingress received the request from its caller.
	Ingress Role = iota
	// Owner ran the request on its backend server.
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

// outcomes is the fixed set of values of the outcome label.
var outcomes = []request.Outcome{request.Unknown, request.Done, request.NotRun}

// reasons is the fixed set of values of the reason label, besides otherValue. The empty reason belongs to request.Done.
var reasons = []request.Reason{"", request.NoOwner, request.NotOwner, request.LeaseLapsed, request.Moving,
	request.NoHomeOwner, request.WrongRegion, request.QueueFull, request.DeadlineTooClose, request.Draining,
	request.NotConfigured, request.BackendRefused, request.BackendUnreachable, request.OwnerUnreachable,
	request.ConnectionLost, request.Canceled, request.DeadlineExceeded, request.MayHaveRun, request.Malformed, request.TooLarge,
	request.UnknownService, request.UnknownTenant, request.IDReused, request.AnswerTooLarge,
	request.NoRoute, request.NoServer, request.BackendFull, request.BackendChanged, request.AnswerInvalid,
	request.MachineSlow, request.ServerBusy, request.LinkFull, request.PathSlow, request.Stopping, request.Unauthenticated,
	request.ConfigurationStale, request.NoCommonRegion, request.CallsRefused, request.ServerShedding, request.QuotaExceeded,
	request.LargeBodiesFull, request.BodyIncomplete}

// reasonOrOther returns the reason, or otherValue if the reason is not in the fixed set.
func reasonOrOther(r request.Reason) request.Reason {
	if slices.Contains(reasons, r) {
		return r
	}
	return otherValue
}

// AppendOutcome is what this node learned about a record that it appended to the platform log.
type AppendOutcome uint8

// Outcomes of appends to the platform log.
const (
	// AppendAccepted means that the record took effect.
	AppendAccepted AppendOutcome = iota
	// AppendRejected means that the record did not take effect.
	AppendRejected
	// AppendNotSent means that the log could not be reached, so nothing was appended.
	AppendNotSent
	// AppendUnanswered means that the append got no reply. The record is counted again when its outcome is known.
	AppendUnanswered
	appendOutcomeCount
)

// String returns the label value of o.
func (o AppendOutcome) String() string {
	return [...]string{"accepted", "rejected", "not_sent", "unanswered"}[o]
}

// ClaimStep is a step of a claim by which this node ends another incarnation.
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

// ReadSource is where the records of a topic of the platform's store were read from.
type ReadSource uint8

// Sources of records.
const (
	FromStore ReadSource = iota
	// FromNode means that another node of the region had read the records from the store.
	FromNode
	readSourceCount
)

// String returns the label value of s.
func (s ReadSource) String() string { return [...]string{"store", "node"}[s] }

// RefusalCause is why the queue of the backend server did not take a request.
type RefusalCause uint8

// Causes of refusals.
const (
	RefusedQueueFull RefusalCause = iota
	// RefusedLate means that the request was not expected to finish in time.
	RefusedLate
	// RefusedCall means that a call of another backend server could not have a slot in time.
	RefusedCall
	// RefusedForCalls means that the calls of such requests are being refused.
	RefusedForCalls
	// RefusedByServer means that the backend server is cold, or sheds all requests and is left alone.
	RefusedByServer
	refusalCauseCount
)

// String returns the label value of c.
func (c RefusalCause) String() string {
	return [...]string{"queue_full", "late", "call", "calls_refused", "server"}[c]
}

// KeyOperation is a call to the backend server about keys.
type KeyOperation uint8

// Operations on keys.
const (
	GrantKeys KeyOperation = iota
	ReleaseKeys
	keyOperationCount
)

// String returns the label value of o.
func (o KeyOperation) String() string { return [...]string{"grant", "release"}[o] }

// Direction is the direction of traffic or moves relative to this node.
type Direction uint8

// Directions of traffic and moves.
const (
	In Direction = iota
	Out
	directionCount
)

// String returns the label value of d.
func (d Direction) String() string { return [...]string{"in", "out"}[d] }

// Transport is a protocol that carries control traffic.
type Transport uint8

// Transports of control traffic. Requests of callers are not control traffic.
const (
	// LeaseDatagrams is the UDP lease protocol.
	LeaseDatagrams Transport = iota
	// NodeCalls is drpc between nodes, excluding forwarded requests.
	NodeCalls
	// LogCalls is HTTP to the platform log.
	LogCalls
	// BackendCalls is HTTP with the backend server, excluding requests of callers.
	BackendCalls
)

// String returns the label value of t.
func (t Transport) String() string {
	return [...]string{"lease_udp", "node_drpc", "log_http", "backend_http"}[t]
}
