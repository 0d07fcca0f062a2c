package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"heatherreel/internal/registry"
)

// patience is how long a call waits on a silent connection before it reports the silence or, if nothing awaits the
// report, gives up the connection.
type patience int

const (
	// untilLimit waits until the limit, whatever the state of the peer.
	untilLimit patience = iota
	// untilDead waits until the peer answers or refuses another connection.
	untilDead
	// untilRefused gives up a silent connection only when the peer refuses new ones.
	untilRefused
	// untilUnanswered gives up a silent connection as soon as the peer does not answer another one. As long as it does, it
	// is checked again for each further silence of the length checkAfter.
	untilUnanswered
)

// silenceRule is when a connection counts as silent and when it is given up.
type silenceRule struct {
	// limit is the time without data after which the connection may be given up.
	limit time.Duration
	// checkAfter is the time without data after which the peer is checked, and lastChance is the time for which data is
	// still awaited from then on. The peer is not checked if lastChance is zero.
	checkAfter, lastChance time.Duration
	patience               patience
	// onSilent, if set, is called once instead of giving up a connection on which the peer may still answer. From then on
	// the patience is untilRefused. It is called without mu, perhaps after the call has ended, and must not block.
	onSilent func(PeerState)
}

// newSilenceRule returns the rule for a call during which the peer reports progress at the interval. The check precedes
// the limit by an interval, so that its result is known at the limit. A call with little time left is checked as soon
// as a report is overdue.
func newSilenceRule(limit, interval, remaining time.Duration, p patience) silenceRule {
	checkAfter := max(interval+progressMargin, min(limit, remaining)-interval)
	return silenceRule{limit: limit, checkAfter: checkAfter, lastChance: interval, patience: p}
}

// silence is a silence that is being looked into.
type silence struct {
	started time.Time
	// result is the result of the check once known is set. Until then its state is that of the check before.
	result checkResult
	known  bool
	// siblingsClosed is set once the idle connections to the same peer that are silent as well were closed.
	siblingsClosed bool
}

func newSilence(now time.Time, state PeerState) *silence {
	return &silence{started: now, result: checkResult{state: state}}
}

// watchdogConn watches for silence while a call waits for its response. A silent connection is only evidence: whether
// the connection or the peer and its path is at fault is decided by a check of the peer. If the connection is given up,
// the pending read fails, and drpc closes the connection.
//
// It uses the read deadline: drpc always has a read pending, so no further goroutine or timer is needed. The result of a
// check wakes the read by a deadline in the past.
//
// mu guards the fields below it and serializes changes of the read deadline. No other lock is acquired while it is held.
type watchdogConn struct {
	net.Conn
	connPool *connPool
	address  string
	// transfer counts the data that arrives for a call of the store; nil during other calls.
	transfer atomic.Pointer[registry.Transfer]

	mu sync.Mutex
	// armed is set while a call waits, and rule applies to it.
	armed bool
	rule  silenceRule
	// quietSince is when the current silence counts from: the last arrival, or the time at which the request is expected
	// to have been sent completely.
	quietSince time.Time
	// armedAt is when the call began.
	armedAt time.Time
	// lastReceived is when data last arrived, or when the connection was opened.
	lastReceived time.Time
	// silence is nil unless the connection is silent.
	silence *silence
}

// silenceStep is what follows when the read deadline has passed.
type silenceStep int

const (
	keepReading silenceStep = iota
	// requestCheck requests a check of the peer.
	requestCheck
	// closeSiblings closes the silent idle connections to the same peer.
	closeSiblings
	// giveUp gives up the connection, and giveUpAll the silent idle ones to the same peer too.
	giveUp
	giveUpAll
)

// Read implements net.Conn.
func (c *watchdogConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.transfer.Load().Add(n)
			c.recordReceive()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.keepReading() {
			return n, err
		}
	}
}

// keepReading is called when the read deadline has passed. It reports whether the connection is kept.
func (c *watchdogConn) keepReading() bool {
	step, s, since := c.nextStep(time.Now())
	switch step {
	case requestCheck:
		c.connPool.checks.request(c.address, since, func(r checkResult) { c.recordCheck(s, r) })
	case closeSiblings, giveUpAll:
		c.connPool.closeSilent(c.address, since)
	}
	return step != giveUp && step != giveUpAll || c.holdOn()
}

// holdOn reports whether a connection that would be given up is kept because the silence is reported instead.
func (c *watchdogConn) holdOn() bool {
	onSilent, state := c.takeReport()
	if onSilent == nil {
		return false
	}
	onSilent(state)
	return true
}

// takeReport returns the function that the silence is reported to, and the state of the peer; nil if the connection is
// given up instead.
func (c *watchdogConn) takeReport() (onSilent func(PeerState), state PeerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rule.onSilent == nil || c.silence == nil || c.silence.result.state == PeerRefuses {
		return nil, PeerUnchecked
	}
	onSilent, state = c.rule.onSilent, c.silence.result.state
	c.rule.onSilent, c.rule.patience = nil, untilRefused
	if c.armed {
		// The next step is decided anew.
		_ = c.SetReadDeadline(time.Now())
	}
	return onSilent, state
}

// nextStep decides what follows after the read deadline has passed, and sets the next one. It also returns the silence
// and its begin.
func (c *watchdogConn) nextStep(now time.Time) (silenceStep, *silence, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step, deadline := keepReading, time.Time{}
	switch {
	case !c.armed:
	case c.silence == nil:
		step, deadline = c.startSilence(now)
	case c.rule.patience == untilLimit:
		step, deadline = c.awaitLimit(now)
	case !c.silence.known:
	case c.rule.patience == untilUnanswered:
		step, deadline = c.awaitNextCheck(now)
	case c.silence.result.state == PeerSilent:
		if deadline = c.silence.result.ended.Add(checkPause); !now.Before(deadline) {
			c.silence = newSilence(now, PeerSilent)
			step, deadline = requestCheck, time.Time{}
		}
	default:
		step, deadline = c.awaitLastChance(now)
	}
	_ = c.SetReadDeadline(deadline)
	return step, c.silence, maxTime(c.armedAt, c.lastReceived)
}

// startSilence returns the step and the deadline when no data has arrived for a while. The caller holds mu.
func (c *watchdogConn) startSilence(now time.Time) (silenceStep, time.Time) {
	if due := c.firstDeadline(); now.Before(due) {
		return keepReading, due
	}
	if c.rule.lastChance == 0 {
		return giveUp, time.Time{}
	}
	c.silence = newSilence(now, PeerUnchecked)
	if c.rule.patience == untilLimit {
		return requestCheck, c.limitTime()
	}
	return requestCheck, time.Time{}
}

// awaitLimit returns the step and the deadline for a connection that is given up at the limit. The caller holds mu.
func (c *watchdogConn) awaitLimit(now time.Time) (silenceStep, time.Time) {
	if due := c.limitTime(); now.Before(due) {
		return keepReading, due
	}
	if !c.silence.known {
		// The peer has not answered for as long as data was still awaited.
		c.silence.result.state = PeerSilent
	}
	if c.silence.result.state != PeerSilent {
		return giveUpAll, time.Time{}
	}
	return giveUp, time.Time{}
}

// awaitLastChance returns the step and the deadline when the peer has answered or refused another connection. A path on
// which that took long may delay data as long. The caller holds mu.
func (c *watchdogConn) awaitLastChance(now time.Time) (silenceStep, time.Time) {
	r := c.silence.result
	if due := maxTime(c.limitTime(), r.ended.Add(r.took())); now.Before(due) {
		return keepReading, due
	}
	if c.rule.patience == untilRefused && r.state == PeerAnswers {
		if c.silence.siblingsClosed {
			return keepReading, time.Time{}
		}
		c.silence.siblingsClosed = true
		return closeSiblings, time.Time{}
	}
	return giveUpAll, time.Time{}
}

// awaitNextCheck returns the step and the deadline for a connection that is kept while its peer answers. The caller holds
// mu.
func (c *watchdogConn) awaitNextCheck(now time.Time) (silenceStep, time.Time) {
	r := c.silence.result
	switch due := r.ended.Add(c.rule.checkAfter); {
	case r.state == PeerRefuses:
		return giveUpAll, time.Time{}
	case r.state == PeerSilent:
		return giveUp, time.Time{}
	case now.Before(due):
		return keepReading, due
	}
	c.silence = newSilence(now, r.state)
	return requestCheck, time.Time{}
}

// firstDeadline returns when the connection counts as silent. The caller holds mu.
func (c *watchdogConn) firstDeadline() time.Time {
	if c.rule.lastChance == 0 {
		return c.quietSince.Add(c.rule.limit)
	}
	return c.quietSince.Add(c.rule.checkAfter)
}

// limitTime returns when a silent connection may be given up. It is after the limit if this process noticed the silence
// late: what has arrived meanwhile is still to be read. The caller holds mu.
func (c *watchdogConn) limitTime() time.Time {
	return maxTime(c.quietSince.Add(c.rule.limit), c.silence.started.Add(c.rule.lastChance))
}

// recordCheck records the result of the check for a silence and wakes the pending read.
func (c *watchdogConn) recordCheck(s *silence, r checkResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silence != s {
		return
	}
	s.result, s.known = r, true
	if c.armed {
		_ = c.SetReadDeadline(r.ended)
	}
}

// recordReceive records that data arrived, which ends a silence.
func (c *watchdogConn) recordReceive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = time.Now()
	if c.armed {
		c.quietSince, c.silence = c.lastReceived, nil
		_ = c.SetReadDeadline(c.firstDeadline())
	}
}

// arm starts the watchdog. The time to send the request, sendTime, does not count as silence.
func (c *watchdogConn) arm(rule silenceRule, sendTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed, c.rule, c.silence = true, rule, nil
	c.armedAt = time.Now()
	c.quietSince = c.armedAt.Add(sendTime)
	_ = c.SetReadDeadline(c.firstDeadline())
}

// disarm stops the watchdog.
func (c *watchdogConn) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = false
	_ = c.SetReadDeadline(time.Time{})
}

// silentPeer returns the state of the peer if the connection was silent when the watchdog was disarmed.
func (c *watchdogConn) silentPeer() (state PeerState, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silence == nil {
		return PeerUnchecked, false
	}
	return c.silence.result.state, true
}

// receivedAfter reports whether data last arrived, or the connection was opened, after t.
func (c *watchdogConn) receivedAfter(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReceived.After(t)
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
