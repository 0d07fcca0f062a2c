package engine

import (
	"context"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/outcome"
	"heatherreel/internal/request"
)

// call is one caller's request on its way through the pools of this node. A job works on it and either finishes it or
// hands it to the next job, so that no worker waits for another.
//
// One job at a time works on a call; handing it to a pool's queue orders the accesses.
type call struct {
	ctx context.Context
	r   request.Request
	// forwarded tells that another node sent the request here.
	forwarded bool
	// senderEpoch is the revision that last changed home regions as the sender of a forwarded request knew it.
	senderEpoch ledger.Offset
	// attempt counts the attempts so far, from zero.
	attempt int
	// mayHaveRun tells that an earlier attempt ended without proof that it did not run.
	mayHaveRun bool
	// last is the answer for the caller if no further attempt is made.
	last   request.Answer
	result chan request.Answer

	// place is where the request is executed on this node.
	place place
	// ref names the request among the retained outcomes.
	ref outcome.Ref
	// unknownBefore is the time of issue before which a request id may have run under earlier home regions.
	unknownBefore time.Time
}

// place is the slice of a key with the settings for the request, as this node saw them when it decided.
type place struct {
	// self is the incarnation of this node.
	self  ledger.Incarnation
	slice keyspace.SliceID
	fence ledger.Offset
	// epoch is the revision that last changed home regions; changed tells that the key may have had others before.
	epoch    ledger.Offset
	changed  bool
	settings config.Settings
}

// newCall returns a call for the request.
func newCall(ctx context.Context, r request.Request) *call {
	return &call{
		ctx:    ctx,
		r:      r,
		last:   request.Refuse(request.DeadlineTooClose, "allow more time"),
		result: make(chan request.Answer, 1),
	}
}

// finish gives the answer to the waiting handler. Only the first answer counts. It states that the request did not run
// only if that is proved for all attempts, wherever the last one was refused.
func (c *call) finish(a request.Answer) {
	if c.mayHaveRun && a.Outcome == request.NotRun {
		a = request.Uncertain(a.Reason, "repeat the request with the same id until its outcome is known")
	}
	select {
	case c.result <- a:
	default:
	}
}

// await blocks the handler until the call is finished. It waits for the answer even after the caller has gone, because
// the jobs of the call observe the context themselves and finish it. Only closed, the end of the engine, stops the jobs;
// then nothing is known about the request. p reports to the node that sent the request, if one did.
func (c *call) await(closed <-chan struct{}, p node.Progress) request.Answer {
	if answer, ok := p.Await(c.result, closed); ok {
		return answer
	}
	select {
	case answer := <-c.result:
		return answer
	default:
		return request.Uncertain(request.ConnectionLost, "repeat the request with the same id at another node")
	}
}

// expired reports whether nobody waits for the answer any more.
func (c *call) expired(now time.Time) bool {
	return !now.Before(c.r.Deadline) || c.ctx.Err() != nil
}
