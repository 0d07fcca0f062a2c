package gateway

import (
	"context"
	"time"

	"heatherreel/internal/egress"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// egressTable paces the large answers to other nodes. mu guards pacer; it has rank lockorder.Egress.
type egressTable struct {
	mu    *lockorder.Mutex
	pacer *egress.Pacer
}

func newEgressTable(linkMbps float64) *egressTable {
	return &egressTable{mu: lockorder.New(lockorder.Egress), pacer: egress.New(linkMbps)}
}

func (t *egressTable) admit(now, finishBy time.Time, size int) (admitted bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pacer.Admit(now, finishBy, size)
}

func (t *egressTable) schedule(now time.Time, expected, size int) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pacer.Schedule(now, expected, size)
}

func (t *egressTable) drop(expected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pacer.Drop(expected)
}

// executePaced runs a request of another node whose answer is paced if it is large. A request whose answer the link could
// not send by its objective is refused before it runs.
func (g *Gateway) executePaced(ctx context.Context, r routed.Request, p node.DispatchProgress) routed.Answer {
	expected := g.routes.expectedAnswerSize(r.Route)
	if admitted, retryAfter := g.egress.admit(time.Now(), r.FinishBy(), expected); !admitted {
		answer := g.refuse(r, request.LinkFull)
		answer.RetryAfter = retryAfter
		return g.withNodeState(answer)
	}
	answer := g.execute(ctx, r, p)
	if answer.Outcome != request.Done {
		g.egress.drop(expected)
		return answer
	}
	g.routes.recordAnswerSize(r.Route, len(answer.Body))
	now := time.Now()
	g.awaitSend(ctx, g.egress.schedule(now, expected, len(answer.Body)).Sub(now), p)
	return answer
}

// awaitSend waits until a large answer is to be sent, or its sender has given it up. Answers do not wait at the end of a
// planned stop.
func (g *Gateway) awaitSend(ctx context.Context, wait time.Duration, p node.DispatchProgress) {
	if wait <= 0 {
		return
	}
	if p.Report != nil {
		// The last report may be nearly an interval old.
		p.Report()
	}
	progress := newProgressReporter(p)
	defer progress.Stop()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case <-progress.C:
			progress.report()
		case <-ctx.Done():
			return
		case <-g.requestsEnded.happened:
			return
		}
	}
}
