// Package publication determines whether a configuration record that an operator appended to the log took effect. Other
// operators may append one at the same time, and only the first takes effect. The package does no I/O: the caller reads
// the log and appends the record.
package publication

import (
	"heatherreel/internal/config"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
)

// Replay is a ledger.Replay that reads the log only once. A checkpoint record comes after the offset up to which it
// covers the log; Replay buffers the records in between, so that they need not be read again.
type Replay struct {
	inner *ledger.Replay
	// buffered are the entries from the earliest one to the first checkpoint that completes the state.
	buffered []entry
}

// entry is a log entry; record is nil if its bytes could not be decoded.
type entry struct {
	offset ledger.Offset
	record *ledger.Record
}

// NewReplay returns a replay that begins at the earliest retained offset.
func NewReplay(earliest ledger.Offset) *Replay { return &Replay{inner: ledger.NewReplay(earliest)} }

// Complete reports whether the state includes all records up to the last added entry.
func (r *Replay) Complete() bool { return r.inner.Complete() }

// State returns the replayed state. It is meaningful only if Complete returns true.
func (r *Replay) State() *ledger.State { return r.inner.State() }

// Add replays the entry at offset; record is nil if its bytes could not be decoded. Offsets must increase.
func (r *Replay) Add(offset ledger.Offset, record *ledger.Record) {
	_, restored := r.inner.Add(offset, record)
	if !r.Complete() || restored {
		r.buffered = append(r.buffered, entry{offset, record})
	}
	if !restored {
		return
	}
	for _, e := range r.buffered {
		// Entries that the checkpoint covers are ignored as duplicates.
		r.inner.Add(e.offset, e.record)
	}
	r.buffered = nil
}

// Verdict tells whether a publication took effect, as far as the log has been read.
type Verdict uint8

// Verdicts. The zero value asserts nothing.
const (
	// Pending means that since the publication began neither its record nor another configuration record has taken
	// effect.
	Pending Verdict = iota
	// Published means that the record of the publication took effect.
	Published
	// Preempted means that another configuration record took effect first, so the record of the publication never will.
	Preempted
)

// Publication tracks one configuration record in the log until the verdict is known.
type Publication struct {
	replay           *Replay
	record           *ledger.Record
	verdict          Verdict
	decidingRevision ledger.Revision
}

// New returns the publication of record, which has kind configuration, based on the state of replay. next is the
// decoded document of record. It returns an error of kind problem.PastRetention if replay is not complete, of kind
// problem.Conflict if the base of record is not the current revision, and of kind problem.Invalid if the document
// changes the number of slices of a service that has slices assigned.
func New(replay *Replay, record *ledger.Record, next *config.Configuration) (*Publication, error) {
	if !replay.Complete() {
		return nil, problem.New(problem.PastRetention, "start a node, which writes a checkpoint, and publish again",
			"the log no longer has its first record and holds no checkpoint")
	}
	state := replay.State()
	if state.Revision() != record.Configuration.Base {
		return nil, Conflict(record.Configuration.Base, state.Configuration)
	}
	if err := checkCompatible(state, next); err != nil {
		return nil, err
	}
	return &Publication{replay: replay, record: record}, nil
}

// checkCompatible returns an error if next changes the number of slices of a service that has slices assigned. A
// current document that this version cannot decode is not compared, so that it can be replaced by a corrected one.
func checkCompatible(state *ledger.State, next *config.Configuration) error {
	if state.Configuration == nil {
		return nil
	}
	previous, err := config.Decode([]byte(state.Configuration.Document))
	if err != nil {
		return nil
	}
	return next.CompatibleWith(previous, func(service string) bool { return hasSlices(state, service) })
}

// hasSlices reports whether the service has a group with assigned slices.
func hasSlices(state *ledger.State, service string) bool {
	for id := range state.Groups {
		if id.Service == service {
			return true
		}
	}
	return false
}

// Add replays the next entry and returns the verdict after it.
func (p *Publication) Add(offset ledger.Offset, record *ledger.Record) Verdict {
	before := p.replay.State().Revision()
	p.replay.Add(offset, record)
	current := p.replay.State().Configuration
	if p.verdict != Pending || current == nil || current.Revision == before {
		return p.verdict
	}
	p.decidingRevision = *current
	p.verdict = Preempted
	if current.ID == p.record.ID {
		p.verdict = Published
	}
	return p.verdict
}

// DecidingRevision returns the revision that determined the verdict: that of the publication if the verdict is
// Published, the other one if it is Preempted.
func (p *Publication) DecidingRevision() ledger.Revision { return p.decidingRevision }

// Conflict returns the error for a publication on base when winner is the revision in effect; nil if there is none.
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
