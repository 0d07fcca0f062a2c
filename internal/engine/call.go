package engine

import (
	"context"
	"sync/atomic"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/outcome"
	"heatherreel/internal/request"
)

// call is one caller's request while it passes through the worker pools of this node. Each job either finishes the call
// or hands it to the next job, so that no worker waits for another.
//
// At most one job at a time works on a call; handing it over through a pool's queue orders the accesses.
type call struct {
	ctx context.Context
	req request.Request
	// forwarded is true if another node sent the request to this node.
	forwarded bool
	// senderHomesEpoch is, for a forwarded request, the latest revision known to the sender that changed home regions.
	senderHomesEpoch ledger.Offset
	// attempt counts the attempts so far, from zero.
	attempt int
	// mayHaveRun is true if an earlier attempt ended without proof that the request did not run.
	mayHaveRun bool
	// lastAnswer is returned to the caller if no further attempt is made.
	lastAnswer request.Answer
	result     chan request.Answer
	// sends is shared with the call that executes the request on this node.
	sends *sendState

	// target is where the request is executed on this node.
	target target
	// ref identifies the request among the retained outcomes.
	ref outcome.Ref
	// servedElsewhereUntil is when the handover gate opened. Until then, other nodes may have run requests for the key
	// under its earlier home regions. It is zero if the home regions of the key have not changed recently.
	servedElsewhereUntil time.Time
}

// target is the slice of a key with the settings for the request, as this node resolved them.
type target struct {
	// self is the incarnation of this node when it resolved the request.
	self  ledger.Incarnation
	slice keyspace.SliceID
	fence ledger.Offset
	// epoch is the latest revision that changed home regions. homesMayHaveChanged is true if the key may have had other
	// home regions before.
	epoch               ledger.Offset
	homesMayHaveChanged bool
	settings            config.Settings
}

func newCall(ctx context.Context, req request.Request) *call {
	return &call{
		ctx:        ctx,
		req:        req,
		lastAnswer: request.Refuse(request.DeadlineTooClose, "allow more time"),
		result:     make(chan request.Answer, 1),
		sends:      new(sendState),
	}
}

// sendState decides between the first send of a request, after which it may run, and the end of the request before that.
// It is safe for concurrent use.
type sendState struct{ state atomic.Uint32 }

// Values of sendState.
const (
	unsent uint32 = iota
	sent
	endedUnsent
)

// beginSend is called before the request is sent or waits for another one with its id. It returns false if the request
// was ended before.
func (s *sendState) beginSend() bool {
	return s.state.CompareAndSwap(unsent, sent) || s.state.Load() == sent
}

// endUnsent ends the request unless it may have been sent, and reports whether it did.
func (s *sendState) endUnsent() bool {
	return s.state.CompareAndSwap(unsent, endedUnsent) || s.state.Load() == endedUnsent
}

// stoppedAnswer returns the answer to a request that a stopping node does not send.
func stoppedAnswer() request.Answer {
	return request.Refuse(request.Draining, "repeat the request with the same id at another node")
}

// finish passes the answer to the waiting handler; only the first answer counts. If an earlier attempt may have run, a
// "not run" answer becomes "unknown": "not run" requires proof for all attempts, not only for the last one.
func (c *call) finish(a request.Answer) {
	if c.mayHaveRun && a.Outcome == request.NotRun {
		a = request.Uncertain(a.Reason, "repeat the request with the same id until its outcome is known")
	}
	select {
	case c.result <- a:
	default:
	}
}

// await blocks the handler until the call is finished. It also waits if the caller has disconnected, because the jobs
// of the call observe the context and finish the call themselves. The exception is a node that ends: the channel ended is
// closed before its jobs have finished the call. p reports progress to the node that forwarded the request, if any.
func (c *call) await(ended <-chan struct{}, p node.Progress) request.Answer {
	if answer, ok := p.Await(c.result, ended); ok {
		return answer
	}
	select {
	case answer := <-c.result:
		return answer
	default:
		if c.sends.endUnsent() {
			return stoppedAnswer()
		}
		return request.Uncertain(request.ConnectionLost, "repeat the request with the same id at another node")
	}
}

// expired reports whether the deadline has passed or the caller has disconnected.
func (c *call) expired(now time.Time) bool {
	return !now.Before(c.req.Deadline) || c.ctx.Err() != nil
}
