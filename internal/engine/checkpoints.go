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
	// checkpointCheckInterval is the longest time between two checks whether a checkpoint is due. It also bounds how
	// late a member notices that an idle log has dropped records.
	checkpointCheckInterval = time.Minute
	purposeCheckpoint       = purpose("checkpoint")
)

// checkpointSchedule is the state that the checkpoint job keeps between runs. It needs no lock: the trigger never runs
// the job concurrently and orders its runs.
type checkpointSchedule struct {
	policy checkpoint.Policy
	// dueAfter is the latest checkpoint record when the next checkpoint became due, and dueSince is when this node
	// noticed that. The delays of the members count from dueSince and not from the computed due time, which may be
	// hours in the past: after a long outage of the log all members would write a checkpoint at once.
	dueAfter ledger.Offset
	dueSince time.Time
}

func newCheckpointSchedule(retention time.Duration) *checkpointSchedule {
	if retention == 0 {
		retention = settings.DefaultLogRetention
	}
	return &checkpointSchedule{policy: checkpoint.NewPolicy(retention)}
}

// firstSeenDue returns when this node first saw that a checkpoint after the given one is due.
func (c *checkpointSchedule) firstSeenDue(dueAfter ledger.Offset, now time.Time) time.Time {
	if c.dueSince.IsZero() || c.dueAfter != dueAfter {
		c.dueAfter, c.dueSince = dueAfter, now
	}
	return c.dueSince
}

// stepCheckpoint writes a checkpoint if one is due and this node's delay has passed.
func (e *Engine) stepCheckpoint() {
	now := time.Now()
	at := e.checkpointAt(now)
	if now.Before(at) {
		e.checkpointTrigger.FireAt(earliest(at, now.Add(checkpointCheckInterval)))
		return
	}
	e.proposeCheckpoint()
	e.checkpointTrigger.FireAt(now.Add(checkpointCheckInterval))
}

// checkpointAt returns when this node should write the next checkpoint, as far as is known now. A node that is not a
// member, is stopping or may lack records writes none.
func (e *Engine) checkpointAt(now time.Time) time.Time {
	c := e.checkpointSchedule
	position := e.ledger.checkpointPosition()
	due := c.policy.DueAt(position)
	if now.Before(due) || e.stopping.Load() || !e.ledger.freshness(now).upToDate() {
		c.dueSince = time.Time{}
		return latest(due, now.Add(checkpointCheckInterval))
	}
	var delay time.Duration
	member := false
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		delay, member = c.policy.Delay(s, e.incarnation())
	})
	if !member {
		return now.Add(checkpointCheckInterval)
	}
	var after ledger.Offset
	if position.Last != nil {
		after = position.Last.Record
	}
	return c.firstSeenDue(after, now).Add(delay)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkpointPosition returns the replay position that determines when the next checkpoint is due.
func (t *ledgerTable) checkpointPosition() checkpoint.Position {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return checkpoint.Position{
		Offset: t.state.Offset, Earliest: t.replay.Earliest(), Last: t.state.LastCheckpoint, ReadAt: t.checkpointReadAt,
	}
}

// proposeCheckpoint appends a checkpoint of the current state.
func (e *Engine) proposeCheckpoint() {
	if e.proposals.isOpen(purposeCheckpoint) {
		return
	}
	content := &ledger.Checkpoint{AtUnixMS: time.Now().UnixMilli()}
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) { content.State = s.Clone() })
	content.Offset = content.State.Offset
	record := &ledger.Record{Kind: ledger.KindCheckpoint, ID: newRecordID(), Checkpoint: content}
	e.propose(&proposal{
		purpose: purposeCheckpoint,
		record:  record,
		outdated: func(s *ledger.State) bool {
			return s.LastCheckpoint != nil && s.LastCheckpoint.Covers >= content.Offset
		},
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countRecordOutcome(record.Kind, offset, rejection)
			if rejection == ledger.Accepted {
				e.deps.Events.Emit(eventlog.CheckpointWritten, eventlog.Offset(offset))
			}
		},
	})
}
