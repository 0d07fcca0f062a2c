package ledger

// firstOffset is the offset of the first record of a stream.
const firstOffset Offset = 1

// Replay applies the records of a stream whose oldest records may be gone. Its state is always that of some offset of
// the stream. It is complete as long as no record between that offset and the next one is missing. With records
// missing, only a checkpoint or a snapshot that covers them continues the state. It is not safe for concurrent use.
type Replay struct {
	state    *State
	earliest Offset
	complete bool
}

// NewReplay returns a replay of a stream that still keeps the records from earliest on.
func NewReplay(earliest Offset) *Replay {
	return &Replay{state: NewState(), earliest: earliest, complete: earliest <= firstOffset}
}

// State returns the state. It is the same pointer during the life of the replay.
func (r *Replay) State() *State { return r.state }

// Complete reports whether no record is missing up to the last one that was added.
func (r *Replay) Complete() bool { return r.complete }

// Earliest returns the earliest offset that the stream is known to keep.
func (r *Replay) Earliest() Offset { return r.earliest }

// Kept takes in the earliest offset that the stream still keeps.
func (r *Replay) Kept(earliest Offset) {
	r.earliest = max(r.earliest, earliest)
	if r.state.Offset+1 < r.earliest {
		r.complete = false
	}
}

// Add applies the record at offset; it is nil for one that cannot be decoded. Offsets must grow, except that after a
// restored state reading goes on at State().Offset+1. A record with earlier ones missing changes nothing, neither the
// state nor its offset, and is rejected with RecordsMissing, unless it is a checkpoint that covers them.
func (r *Replay) Add(offset Offset, record *Record) (rejection Rejection, restored bool) {
	isCheckpoint := record != nil && record.Kind == KindCheckpoint && record.Checkpoint != nil
	switch {
	case !r.complete && isCheckpoint:
		return r.restore(offset, record)
	case !r.complete:
		return RecordsMissing, false
	case record == nil:
		r.state.Skip(offset)
		return MalformedRecord, false
	case isCheckpoint && record.Checkpoint.Offset > r.state.Offset:
		// The writer of a checkpoint has read no record that this reader has not.
		r.state.Skip(offset)
		return MalformedRecord, false
	}
	return r.state.Apply(offset, record), false
}

// restore adopts a checkpoint that covers all missing records. One of an older state would leave a gap.
func (r *Replay) restore(offset Offset, record *Record) (rejection Rejection, restored bool) {
	c := record.Checkpoint
	if !r.continues(c.Offset) {
		return RecordsMissing, false
	}
	if !c.wellFormed(offset) {
		return MalformedRecord, false
	}
	rejection = r.state.adopt(c)
	r.complete = rejection == Accepted
	return rejection, r.complete
}

// continues reports whether a state at offset is later than this one and has no record missing after it.
func (r *Replay) continues(offset Offset) bool {
	return offset > r.state.Offset && offset+1 >= r.earliest
}

// Adopt takes over the state of another reader if it is later than this one and no record is missing after it, and
// reports whether it did. s must not be used afterwards.
func (r *Replay) Adopt(s *State) bool {
	if !r.continues(s.Offset) {
		return false
	}
	*r.state = *s
	r.complete = true
	return true
}
