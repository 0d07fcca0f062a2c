package routing

import (
	"heatherreel/internal/ledger"
	"heatherreel/internal/request"
)

// Delivery states how far an attempt to forward a request got.
type Delivery uint8

// Deliveries. The zero value proves nothing: the request may have run.
const (
	// Lost means that the connection failed or the deadline passed when the request may already have been sent.
	Lost Delivery = iota
	// NotSent means that the connection failed before any byte of the request was sent.
	NotSent
	// Answered means that the complete answer of the peer was received.
	Answered
)

// Attempt is the result of forwarding a request once.
type Attempt struct {
	Delivery Delivery
	// Answer is set if Delivery is Answered.
	Answer request.Answer
	// Idempotent states that the request may run more than once.
	Idempotent bool
	// EarlierMayHaveRun states that an earlier attempt of this request ended without proof that it did not run.
	EarlierMayHaveRun bool
	// Offset is the offset up to which this node has replayed the log.
	Offset ledger.Offset
}

// Step is the action after an attempt.
type Step uint8

// Steps. If the deadline or the retry budget does not allow another attempt, Return takes the place of the other steps.
const (
	// Return returns Next.Answer to the caller.
	Return Step = iota
	// WaitForOffset waits until the log is replayed up to Next.Offset, then decides and tries again.
	WaitForOffset
	// BackOff waits a back-off delay, then decides and tries again.
	BackOff
)

// Next is the step after an attempt, with its parameters.
type Next struct {
	Step Step
	// Offset is set for WaitForOffset.
	Offset ledger.Offset
	// Answer is the answer for the caller if no further attempt is made.
	Answer request.Answer
	// MayHaveRun is the value of Attempt.EarlierMayHaveRun for the next attempt.
	MayHaveRun bool
}

// AfterAttempt decides how to continue after an attempt to forward a request. The request is only retried if the
// attempt provably did not run or the request is idempotent. The answer states that the request did not run only if
// that is proved for all attempts.
func AfterAttempt(a Attempt) Next {
	answer := attemptAnswer(a)
	mayHaveRun := a.EarlierMayHaveRun || answer.Outcome == request.Unknown
	step, offset := stepAfter(a, answer)
	if mayHaveRun && answer.Outcome == request.NotRun {
		answer.Outcome = request.Unknown
		answer.Remedy = remedyUnknown
	}
	return Next{Step: step, Offset: offset, Answer: answer, MayHaveRun: mayHaveRun}
}

const remedyUnknown = "repeat the request with the same id until its outcome is known"

// attemptAnswer returns the answer that follows from this attempt alone.
func attemptAnswer(a Attempt) request.Answer {
	switch a.Delivery {
	case Answered:
		return a.Answer
	case NotSent:
		return request.Refuse(request.OwnerUnreachable, remedyRepeat)
	default:
		return request.Uncertain(request.ConnectionLost, remedyUnknown)
	}
}

// stepAfter returns the step after an attempt, and the offset for WaitForOffset.
func stepAfter(a Attempt, answer request.Answer) (Step, ledger.Offset) {
	if answer.Outcome == request.Done || answer.Outcome == request.Unknown && !a.Idempotent {
		return Return, 0
	}
	switch answer.Reason {
	case request.NotOwner:
		if offset := ledger.Offset(answer.LedgerOffset); offset > a.Offset {
			return WaitForOffset, offset
		}
		// The peer has replayed less of the log than this node and will read there that it is the owner.
		return BackOff, 0
	case request.NoOwner, request.LeaseLapsed, request.Moving, request.Draining, request.BackendRefused,
		request.BackendUnreachable, request.OwnerUnreachable, request.ConnectionLost:
		return BackOff, 0
	default:
		// Refusals because of limits, deadlines, home regions or the configuration are intended; a retry would only add
		// load.
		return Return, 0
	}
}
