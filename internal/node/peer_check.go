package node

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"heatherreel/internal/worker"
)

// Limits of the checks whether a peer answers.
const (
	// checkTimeout bounds one check. A path that needs longer for a new connection and a ping may delay the data on an
	// open connection as long.
	checkTimeout = 500 * time.Millisecond
	// checkPause is the time from the end of a check without an answer to the next check for the same call.
	checkPause = 250 * time.Millisecond
	// checkLifetime is how long a result serves further calls. It merges the checks of calls that became silent together.
	checkLifetime = 100 * time.Millisecond
	// checkWorkers bounds the checks at the same time. Each takes at most checkTimeout, and there is one for each peer.
	checkWorkers = 16
	// checkQueueSize is above the number of peers of a node.
	checkQueueSize = 512
)

// PeerState is what is known about a peer when a call to it failed.
type PeerState string

// Peer states.
const (
	// PeerUnchecked is the state of a peer that was not checked.
	PeerUnchecked PeerState = "unchecked"
	// PeerAnswers means that the peer answered on another connection, so that the silent one has lost its path.
	PeerAnswers PeerState = "answers"
	// PeerRefuses means that the peer's host refuses or resets new connections.
	PeerRefuses PeerState = "refuses"
	// PeerSilent means that the peer did not answer on a new connection either: it is slow, paused or gone, or the path
	// to it is congested or cut.
	PeerSilent PeerState = "silent"
)

// PeerStateOf returns the state of the peer in the error of a call.
func PeerStateOf(err error) PeerState {
	var silence *SilenceError
	var opError *net.OpError
	var refused *callRefusedError
	switch {
	case errors.As(err, &refused):
		return PeerAnswers
	case errors.As(err, &silence):
		return silence.Peer
	case errors.As(err, &opError) && opError.Op == "dial":
		return stateAfterError(err)
	}
	return PeerUnchecked
}

// stateAfterError returns the state of a peer after a new connection to it failed.
func stateAfterError(err error) PeerState {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
		return PeerRefuses
	}
	return PeerSilent
}

// callRefusedError is the error of a call that a peer ended with an error, while it answers on the same connection.
type callRefusedError struct{ cause error }

// Error returns the cause.
func (e *callRefusedError) Error() string { return "the peer refused the call: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callRefusedError) Unwrap() error { return e.cause }

// SilenceError is the error of a call that received no data for too long.
type SilenceError struct {
	// Peer is the state of the peer.
	Peer  PeerState
	Cause error
}

// Error returns the state of the peer and the cause.
func (e *SilenceError) Error() string {
	switch e.Peer {
	case PeerAnswers:
		return "connection is silent while the peer answers on another one: " + e.Cause.Error()
	case PeerRefuses:
		return "connection is silent and the peer refuses new ones: " + e.Cause.Error()
	case PeerSilent:
		return "peer does not answer on a new connection either: " + e.Cause.Error()
	}
	return "connection is silent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SilenceError) Unwrap() error { return e.Cause }

// checkResult is the result of a check.
type checkResult struct {
	state          PeerState
	started, ended time.Time
}

// took returns how long the check took.
func (r checkResult) took() time.Duration { return r.ended.Sub(r.started) }

// peerCheck is a check that runs or has ended.
type peerCheck struct {
	// reports are called with the result; nil once the check has ended.
	reports []func(checkResult)
	result  checkResult
	running bool
}

// peerChecks finds out whether peers answer, for calls whose connections are silent. All calls that wait for the same
// peer share one check. It is safe for concurrent use.
//
// mu guards latest and the checks in it. No other lock is acquired while it is held.
type peerChecks struct {
	// check returns the state of a peer, for a connection that has been silent since the given time.
	check   func(ctx context.Context, address string, since time.Time) PeerState
	workers *worker.Pool
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	latest map[string]*peerCheck
}

func newPeerChecks(check func(ctx context.Context, address string, since time.Time) PeerState) *peerChecks {
	p := &peerChecks{check: check, workers: worker.NewPool("peer-checks", checkWorkers, checkQueueSize), latest: map[string]*peerCheck{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// request calls report once with the state of the peer at address: at once if a check has just ended, otherwise when the
// running check or a new one ends.
func (p *peerChecks) request(address string, since time.Time, report func(checkResult)) {
	result, known, created := p.join(address, report)
	if known {
		report(result)
		return
	}
	if created == nil {
		return
	}
	started := time.Now()
	job := func() {
		p.finish(created, checkResult{state: p.run(address, since), started: started, ended: time.Now()})
	}
	if p.workers.Submit(job) != nil {
		p.finish(created, checkResult{state: PeerSilent, started: started, ended: time.Now()})
	}
}

// join returns the result of a check that has just ended, or adds report to a check. created is that check if it still
// has to be started.
func (p *peerChecks) join(address string, report func(checkResult)) (result checkResult, known bool, created *peerCheck) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, c := range p.latest {
		if !c.running && now.Sub(c.result.ended) > checkLifetime {
			delete(p.latest, other)
		}
	}
	c := p.latest[address]
	switch {
	case c == nil:
		c = &peerCheck{running: true, reports: []func(checkResult){report}}
		p.latest[address] = c
		return checkResult{}, false, c
	case c.running:
		c.reports = append(c.reports, report)
		return checkResult{}, false, nil
	}
	return c.result, true, nil
}

// run makes one check.
func (p *peerChecks) run(address string, since time.Time) PeerState {
	ctx, cancel := context.WithTimeout(p.ctx, checkTimeout)
	defer cancel()
	return p.check(ctx, address, since)
}

// finish stores the result of a check and reports it.
func (p *peerChecks) finish(c *peerCheck, result checkResult) {
	p.mu.Lock()
	reports := c.reports
	c.result, c.reports, c.running = result, nil, false
	p.mu.Unlock()
	for _, report := range reports {
		report(result)
	}
}

// close ends the running checks.
func (p *peerChecks) close() {
	p.cancel()
	p.workers.Stop()
}
