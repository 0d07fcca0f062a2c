package engine

import (
	"time"

	"heatherreel/internal/checkpoint"
	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/ledger"
	"heatherreel/internal/settings"
)

const (
	// checkpointCheck is the longest time between two looks whether a checkpoint is due. It is also how late a member
	// notices that an idle log has forgotten records.
	checkpointCheck   = time.Minute
	purposeCheckpoint = purpose("checkpoint")
)

// checkpoints is what the checkpointing job knows between its runs. Only that job, which never runs twice at once,
// uses it; the trigger orders its runs.
type checkpoints struct {
	policy checkpoint.Policy
	// after is the last checkpoint record that was due for a successor, and since is when this node saw it due. The
	// delays of the members count from there and not from the computed time, which can lie hours back: after a long
	// outage of the log all members would write at once.
	after ledger.Offset
	since time.Time
}

func newCheckpoints(retention time.Duration) *checkpoints {
	if retention == 0 {
		retention = settings.DefaultLogRetention
	}
	return &checkpoints{policy: checkpoint.NewPolicy(retention)}
}

// seenDue returns since when this node has seen that a checkpoint after the given one is due.
func (c *checkpoints) seenDue(after ledger.Offset, now time.Time) time.Time {
	if c.since.IsZero() || c.after != after {
		c.after, c.since = after, now
	}
	return c.since
}

// stepCheckpoint writes a checkpoint if one is due and it is this node's turn.
func (e *Engine) stepCheckpoint() {
	now := time.Now()
	at := e.checkpointAt(now)
	if now.Before(at) {
		e.checkpointing.FireAt(earliest(at, now.Add(checkpointCheck)))
		return
	}
	e.proposeCheckpoint()
	e.checkpointing.FireAt(now.Add(checkpointCheck))
}

// checkpointAt returns when this node is to write the next checkpoint, as far as it can tell now. A node that is no
// member, that stops or that may lack records writes none.
func (e *Engine) checkpointAt(now time.Time) time.Time {
	c := e.checkpoints
	position := e.ledger.checkpointPosition()
	due := c.policy.DueAt(position)
	if now.Before(due) || e.stopping.Load() || !e.ledger.currency(now).current() {
		c.since = time.Time{}
		return later(due, now.Add(checkpointCheck))
	}
	var delay time.Duration
	member := false
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		delay, member = c.policy.Delay(s, e.incarnation())
	})
	if !member {
		return now.Add(checkpointCheck)
	}
	var after ledger.Offset
	if position.Last != nil {
		after = position.Last.Record
	}
	return c.seenDue(after, now).Add(delay)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkpointPosition returns where this node stands in the log.
func (t *ledgerTable) checkpointPosition() checkpoint.Position {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return checkpoint.Position{
		Offset: t.state.Offset, Earliest: t.replay.Earliest(), Last: t.state.LastCheckpoint, Read: t.checkpointRead,
	}
}

// proposeCheckpoint appends a checkpoint of the present state.
func (e *Engine) proposeCheckpoint() {
	if e.proposals.isOpen(purposeCheckpoint) {
		return
	}
	taken := &ledger.Checkpoint{AtUnixMS: time.Now().UnixMilli()}
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) { taken.State = s.Clone() })
	taken.Offset = taken.State.Offset
	record := &ledger.Record{Kind: ledger.KindCheckpoint, ID: newRecordID(), Checkpoint: taken}
	e.propose(&proposal{
		purpose: purposeCheckpoint,
		record:  record,
		outdated: func(s *ledger.State) bool {
			return s.LastCheckpoint != nil && s.LastCheckpoint.Covers >= taken.Offset
		},
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countOutcome(record.Kind, offset, rejection)
			if rejection == ledger.Accepted {
				e.deps.Events.Emit(eventlog.CheckpointWritten, eventlog.Offset(offset))
			}
		},
	})
}
