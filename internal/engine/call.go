package engine

import (
	"context"
	"time"

	"heatherreel/internal/request"
)

// call is one caller's request on its way through the pools of this node. A job works on it and either finishes it or
// hands it to the next job, so that no worker waits for another.
//
// One job at a time works on a call; handing it to a pool's queue orders the accesses.
type call struct {
	ctx context.Context
	r   request.Request
	// attempt counts the attempts so far, from zero.
	attempt int
	// received is when the request reached this node.
	received time.Time
	result   chan request.Answer
}

// newCall returns a call for the request.
func newCall(ctx context.Context, r request.Request) *call {
	return &call{ctx: ctx, r: r, received: time.Now(), result: make(chan request.Answer, 1)}
}

// finish gives the answer to the waiting handler. Only the first answer counts.
func (c *call) finish(a request.Answer) {
	select {
	case c.result <- a:
	default:
	}
}

// await blocks the handler until the call is finished. It waits for the answer even after the caller has gone, because
// the jobs of the call observe the context themselves and always finish it.
func (c *call) await() request.Answer {
	return <-c.result
}
