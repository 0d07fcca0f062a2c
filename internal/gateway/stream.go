package gateway

import (
	"context"

	"heatherreel/internal/lockorder"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/internal/stream"
	"heatherreel/internal/telemetry"
)

// streamTable counts the large bodies that this node streams. mu guards slots; it has rank lockorder.Stream.
type streamTable struct {
	mu      *lockorder.Mutex
	slots   *stream.Slots
	metrics *telemetry.Metrics
	// memory is nil if nothing accounts for the memory.
	memory StreamMemory
}

func newStreamTable(limit int, metrics *telemetry.Metrics, memory StreamMemory) *streamTable {
	return &streamTable{mu: lockorder.New(lockorder.Stream), slots: stream.NewSlots(limit), metrics: metrics, memory: memory}
}

// take takes a slot for the body of a request, and returns why there is none; empty if the slot is taken or the body is not
// streamed. giveBack returns the slot.
func (t *streamTable) take(r routed.Request, role stream.Role) (giveBack func(), reason request.Reason) {
	if r.Stream == nil {
		return func() {}, ""
	}
	t.mu.Lock()
	reason = t.slots.Take(role)
	t.mu.Unlock()
	if reason == "" && !t.hold(role) {
		t.giveBack(role)
		reason = request.LargeBodiesFull
	}
	if reason != "" {
		t.metrics.CountLargeBodyRefused(role)
		return func() {}, reason
	}
	t.metrics.AddLargeBody(role, 1)
	return func() {
		if role == stream.Owner && t.memory != nil {
			t.memory.Drop(stream.BodyMemory)
		}
		t.giveBack(role)
		t.metrics.AddLargeBody(role, -1)
	}, ""
}

func (t *streamTable) giveBack(role stream.Role) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slots.Return(role)
}

// hold reserves the memory of a body. That of a body from a caller belongs to its connection.
func (t *streamTable) hold(role stream.Role) bool {
	return role != stream.Owner || t.memory == nil || t.memory.Hold(stream.BodyMemory)
}

// beginStream asks for the body of a request that is streamed and waits for its first bytes. It returns why the request does
// not run; empty if it may.
func (g *Gateway) beginStream(ctx context.Context, e routed.Exchange) request.Reason {
	r := e.Request
	if r.Stream == nil {
		return ""
	}
	defer context.AfterFunc(ctx, r.Stream.Abort)()
	err := r.Stream.Begin()
	switch {
	case ctx.Err() != nil:
		return request.DeadlineTooClose
	case err != nil:
		return request.BodyIncomplete
	}
	return g.changedRefusal(e)
}

// changedRefusal returns why the backend server must not get a request any more whose body was awaited; empty if it may. A
// slow caller can send its first bytes seconds after the request was admitted.
func (g *Gateway) changedRefusal(e routed.Exchange) request.Reason {
	if reason := g.refusalReason(e.Request); reason != "" {
		return reason
	}
	if g.needsKey(e.Request) && !g.server.holdsKey(e.Request.Key, g.deps.Now()) {
		return request.NotOwner
	}
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	if g.server.lastHeartbeat.Server != e.Server {
		return request.BackendChanged
	}
	return ""
}

// endStream ends the reading of a body after the exchange with the backend server, and returns the answer with the reason for
// a body that did not arrive.
func endStream(ctx context.Context, r routed.Request, answer routed.Answer) routed.Answer {
	if ctx.Err() == nil && r.Stream.Err() != nil && answer.Outcome != request.Done && answer.Reason != request.BackendFull &&
		answer.Reason != request.BackendChanged {
		answer.Reason = request.BodyIncomplete
	}
	r.Stream.Abort()
	return answer
}

// streamFailure returns the answer for a send whose body could not be read to its end; false if that is not why it failed.
func streamFailure(r routed.Request, notRun bool) (routed.Answer, bool) {
	if r.Stream == nil || r.Stream.Err() == nil {
		return routed.Answer{}, false
	}
	if notRun {
		return routed.NotRun(request.BodyIncomplete, overloadRetryAfter), true
	}
	return routed.OutcomeUnknown(request.BodyIncomplete), true
}
