package routing

import (
	"heatherreel/internal/ledger"
	"heatherreel/internal/request"
)

// Delivery tells how far a forwarded request got.
type Delivery uint8

// Deliveries. The zero value claims the least.
const (
	// Lost means that the connection failed, or the deadline passed, after the request may have been sent.
	Lost Delivery = iota
	// NotSent means that the connection failed before any byte of the request was sent.
	NotSent
	// Answered means that the peer's whole answer was received.
	Answered
)

// Attempt is the result of forwarding a request once.
type Attempt struct {
	Delivery Delivery
	// Answer is set if Delivery is Answered.
	Answer request.Answer
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// EarlierMayHaveRun tells that an earlier attempt of this request ended without proof that it did not run.
	EarlierMayHaveRun bool
	// Offset is how far this node has replayed the log.
	Offset ledger.Offset
}

// Step is what to do after an attempt.
type Step uint8

// Steps. The deadline and the retry budget may turn every other step into Return.
const (
	// Return gives Next.Answer to the caller.
	Return Step = iota
	// WaitForOffset replays the log up to Next.Offset, then decides and tries again.
	WaitForOffset
	// BackOff waits a back-off delay, then decides and tries again.
	BackOff
)

// Next is what follows an attempt.
type Next struct {
	Step Step
	// Offset is set for WaitForOffset.
	Offset ledger.Offset
	// Answer is for the caller: now for Return, otherwise if no further attempt is made.
	Answer request.Answer
	// MayHaveRun is EarlierMayHaveRun of the next attempt.
	MayHaveRun bool
}

// AfterAttempt decides what follows an attempt to forward a request. Another attempt follows only if this one is proved
// not to have run or the request is idempotent. An answer states that the request did not run only if that is proved
// for all attempts.
func AfterAttempt(a Attempt) Next {
	answer := answerOf(a)
	mayHaveRun := a.EarlierMayHaveRun || answer.Outcome == request.Unknown
	step, offset := stepAfter(a, answer)
	if mayHaveRun && answer.Outcome == request.NotRun {
		answer.Outcome = request.Unknown
		answer.Remedy = remedyUnknown
	}
	return Next{Step: step, Offset: offset, Answer: answer, MayHaveRun: mayHaveRun}
}

const remedyUnknown = "repeat the request with the same id until its outcome is known"

// answerOf returns what this attempt alone shows.
func answerOf(a Attempt) request.Answer {
	switch a.Delivery {
	case Answered:
		return a.Answer
	case NotSent:
		return request.Refuse(request.OwnerUnreachable, remedyRepeat)
	default:
		return request.Uncertain(request.ConnectionLost, remedyUnknown)
	}
}

func stepAfter(a Attempt, answer request.Answer) (Step, ledger.Offset) {
	if answer.Outcome == request.Done || answer.Outcome == request.Unknown && !a.Idempotent {
		return Return, 0
	}
	switch answer.Reason {
	case request.NotOwner:
		if offset := ledger.Offset(answer.LedgerOffset); offset > a.Offset {
			return WaitForOffset, offset
		}
		// The peer has replayed less than this node and learns from the log that it is the owner.
		return BackOff, 0
	case request.NoOwner, request.LeaseLapsed, request.Moving, request.Draining, request.BackendRefused,
		request.BackendUnreachable, request.OwnerUnreachable, request.ConnectionLost:
		return BackOff, 0
	default:
		// Limits, deadlines, confinement and configuration refuse on purpose; repeating adds load and changes nothing.
		return Return, 0
	}
}
