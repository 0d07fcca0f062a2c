package gateway

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Sizes of the pool for second sends, each of which occupies a worker until it is answered. Further requests are not sent
// a second time; their first send is awaited.
const (
	secondSendWorkers = 32
	secondSendQueue   = 16
)

// secondSend sends a request to a second node while the first one is silent. A silent node may be slow and still answer,
// and the second send may be refused, so both are awaited and the first answer of a backend server counts.
type secondSend struct {
	gateway *Gateway
	// first is the request as it was when the first send began. It does not change until that send has ended.
	first      *activeRequest
	firstAsked registry.Member
	// ctx is that of the request. It ends when the request is answered.
	ctx         context.Context
	cancelFirst context.CancelCauseFunc
	// claimed is set by the first of two events: the silence of the first send or its end.
	claimed atomic.Bool
	// begun receives a value when first may change again, and result the request after the second send.
	begun  chan struct{}
	result chan *activeRequest
}

// errAnsweredBySecond is why the first send ends when the second one has been answered.
var errAnsweredBySecond = problem.New(problem.Unavailable, "use the answer of the second send", "the second send of the request was answered first")

// dispatch sends the request to another node, and to a further one if that node is silent and the request may be
// repeated. It returns the answer that decides the request, and otherwise one that tells what is known of both sends.
func (g *Gateway) dispatch(ctx context.Context, a *activeRequest, member registry.Member) routed.Answer {
	if a.request.Repetition == routed.NotRepeated {
		answer := g.call(ctx, a, member, nil)
		a.countServerAttempt(answer)
		return answer
	}
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	defer cancelFirst(nil)
	s := &secondSend{gateway: g, first: a, firstAsked: member, ctx: ctx, cancelFirst: cancelFirst,
		begun: make(chan struct{}, 1), result: make(chan *activeRequest, 1)}
	answer := g.call(firstCtx, a, member, s.begin)
	if s.claimed.CompareAndSwap(false, true) {
		a.countServerAttempt(answer)
		return answer
	}
	<-s.begun
	a.countServerAttempt(answer)
	if answer.Outcome == request.Done {
		return answer
	}
	select {
	case second := <-s.result:
		return a.merge(answer, second)
	case <-ctx.Done():
		// The second send may still run.
		if errors.Is(ctx.Err(), context.Canceled) {
			return routed.OutcomeUnknown(cancelReason(ctx))
		}
		return routed.OutcomeUnknown(request.DeadlineExceeded)
	}
}

// begin starts the second send. It is called when the first one is silent.
func (s *secondSend) begin(state node.PeerState) {
	if !s.claimed.CompareAndSwap(false, true) {
		return
	}
	second := *s.first
	s.begun <- struct{}{}
	second.tried = slices.Clone(second.tried)
	second.awaited = s.firstAsked.Instance
	second.serverAttempts++
	g := s.gateway
	if state != node.PeerAnswers {
		g.members.recordFailure(s.firstAsked.Instance, time.Now())
	}
	err := g.secondSendPool.Submit(func() {
		if g.serveAgain(s.ctx, &second) {
			s.cancelFirst(errAnsweredBySecond)
		}
		s.result <- &second
	})
	fields := []eventlog.Field{eventlog.RequestID(second.request.ID), eventlog.Name("peer_instance", second.awaited), eventlog.Name("peer_state", string(state))}
	if err != nil {
		fields = append(fields, eventlog.Cause(err))
		s.result <- &second
	}
	g.events.Emit(eventlog.NodeSilent, fields...)
}

// serveAgain sends the request to another node if there is one and the retry budget allows it. It reports whether a
// backend server has answered.
func (g *Gateway) serveAgain(ctx context.Context, a *activeRequest) bool {
	if !g.awaitCandidate(ctx, a) {
		return false
	}
	a.lastAnswer = routed.OutcomeUnknown(request.ConnectionLost)
	if !g.prepareRetry(ctx, a, true) {
		return false
	}
	a.lastAnswer = g.serve(ctx, a)
	return a.lastAnswer.Outcome == request.Done
}

// awaitCandidate waits until there is an instance to send the request to. It returns false if there is none in time.
func (g *Gateway) awaitCandidate(ctx context.Context, a *activeRequest) bool {
	for {
		now := time.Now()
		if _, ok := g.chooseInstance(a, now); ok || a.keyed {
			return ok
		}
		a.tried = append(a.tried[:0], a.awaited)
		if !a.awaitNextTry(ctx, now) {
			return false
		}
	}
}

// merge adds the second send to the state of the request and returns the answer for both. first is the answer to the
// first one, which is not that of a backend server.
func (a *activeRequest) merge(first routed.Answer, second *activeRequest) routed.Answer {
	if second.sends == a.sends {
		// The second send was not made.
		return first
	}
	a.sends, a.tried, a.diversions, a.redirects = second.sends, second.tried, second.diversions, second.redirects
	a.chosen, a.chosenReportAge, a.keyRange = second.chosen, second.chosenReportAge, second.keyRange
	a.serverAttempts = second.serverAttempts
	if !first.ReachedServer {
		a.serverAttempts--
	}
	if first.Outcome == request.Unknown && second.lastAnswer.Outcome != request.Done {
		return first
	}
	return second.lastAnswer
}
