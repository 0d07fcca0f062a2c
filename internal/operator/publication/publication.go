// Package publication decides what became of a configuration record that one operator appends while others may do
// the same. It is pure: its caller reads and appends.
package publication

import (
	"heatherreel/internal/config"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
)

// Replay is a ledger.Replay that needs no second reading of the records between what a checkpoint covers and its own
// offset: it holds them back until then.
type Replay struct {
	inner *ledger.Replay
	// held are the entries since the earliest one until the first checkpoint that completes the state.
	held []entry
}

// entry is a record with its offset; record is nil for malformed bytes.
type entry struct {
	offset ledger.Offset
	record *ledger.Record
}

// NewReplay returns a replay that begins at the earliest kept offset.
func NewReplay(earliest ledger.Offset) *Replay { return &Replay{inner: ledger.NewReplay(earliest)} }

// Complete reports whether the state holds everything up to the last added entry.
func (r *Replay) Complete() bool { return r.inner.Complete() }

// State returns the replayed state; it is meaningful only if Complete.
func (r *Replay) State() *ledger.State { return r.inner.State() }

// Add replays the entry at offset; record is nil for malformed bytes. Offsets must grow.
func (r *Replay) Add(offset ledger.Offset, record *ledger.Record) {
	_, restored := r.inner.Add(offset, record)
	if !r.Complete() || restored {
		r.held = append(r.held, entry{offset, record})
	}
	if !restored {
		return
	}
	for _, e := range r.held {
		// Those that the checkpoint covers are duplicates.
		r.inner.Add(e.offset, e.record)
	}
	r.held = nil
}

// Verdict says what is known about a publication.
type Verdict uint8

// Verdicts. The zero value claims the least.
const (
	// Pending means that neither the own record nor a rival has been seen.
	Pending Verdict = iota
	// Published means that the own record took effect.
	Published
	// Lost means that a rival took effect first, so that the own record never will.
	Lost
)

// Publication follows one configuration record through the log.
type Publication struct {
	replay  *Replay
	record  *ledger.Record
	verdict Verdict
	decider ledger.Revision
}

// New returns the publication of record, which has kind configuration, on top of the replay. It returns an error of
// kind problem.Conflict if record names another base than the current revision, and of kind problem.Invalid if its
// document changes what is fixed. next is the decoded document of record.
func New(replay *Replay, record *ledger.Record, next *config.Configuration) (*Publication, error) {
	if !replay.Complete() {
		return nil, problem.New(problem.Forgotten, "start a node, which writes a checkpoint, and publish again",
			"the log no longer has its first record and holds no checkpoint")
	}
	state := replay.State()
	if state.Revision() != record.Configuration.Base {
		return nil, Conflict(record.Configuration.Base, state.Configuration)
	}
	if err := compatible(state, next); err != nil {
		return nil, err
	}
	return &Publication{replay: replay, record: record}, nil
}

// compatible checks the document against the current one. A current document that this version cannot decode does
// not block a correction of it.
func compatible(state *ledger.State, next *config.Configuration) error {
	if state.Configuration == nil {
		return nil
	}
	previous, err := config.Decode([]byte(state.Configuration.Document))
	if err != nil {
		return nil
	}
	return next.CompatibleWith(previous, func(service string) bool { return assigned(state, service) })
}

// assigned reports whether the service has a group with slices.
func assigned(state *ledger.State, service string) bool {
	for id := range state.Groups {
		if id.Service == service {
			return true
		}
	}
	return false
}

// Add replays the next entry and returns what is known after it.
func (p *Publication) Add(offset ledger.Offset, record *ledger.Record) Verdict {
	before := p.replay.State().Revision()
	p.replay.Add(offset, record)
	current := p.replay.State().Configuration
	if p.verdict != Pending || current == nil || current.Revision == before {
		return p.verdict
	}
	p.decider = *current
	p.verdict = Lost
	if current.ID == p.record.ID {
		p.verdict = Published
	}
	return p.verdict
}

// Decider returns the revision that decided; it is the own one if the verdict is Published.
func (p *Publication) Decider() ledger.Revision { return p.decider }

// Conflict returns the error for a publication on base after winner took effect; nil stands for no revision.
func Conflict(base ledger.Offset, winner *ledger.Revision) error {
	if winner == nil {
		return problem.New(problem.Conflict, "publish with --base 0",
			"base revision %d does not exist; nothing is published yet", base)
	}
	return problem.New(problem.Conflict,
		"compare with `heatherreelctl diff current FILE`, take over what it changed, and publish with the new base",
		"your change builds on revision %d, but revision %d by %q is in effect (note: %q)",
		base, winner.Revision, winner.Author, winner.Note)
}
