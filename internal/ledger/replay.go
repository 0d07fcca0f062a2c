package ledger

// firstOffset is the offset of the first record in a stream.
const firstOffset Offset = 1

// Replay applies the records of a stream whose oldest records may have been removed by log retention. Its state is
// always that at some offset of the stream. It is complete as long as no record after that offset is missing. If
// records are missing, only a checkpoint or a snapshot that covers them can advance the state. Replay is not safe for
// concurrent use.
type Replay struct {
	state *State
	// earliest is the earliest offset that the stream is known to retain.
	earliest Offset
	complete bool
}

// NewReplay returns a replay of a stream whose earliest retained record is at earliest.
func NewReplay(earliest Offset) *Replay {
	return &Replay{state: NewState(), earliest: earliest, complete: earliest <= firstOffset}
}

// State returns the state. The pointer stays the same for the lifetime of the replay.
func (r *Replay) State() *State { return r.state }

// Complete reports whether the state includes all records up to the last one that was added.
func (r *Replay) Complete() bool { return r.complete }

// Earliest returns the earliest offset that the stream is known to retain.
func (r *Replay) Earliest() Offset { return r.earliest }

// SetEarliest updates the earliest offset that the stream retains. The replay becomes incomplete if records that it has
// not applied were removed.
func (r *Replay) SetEarliest(earliest Offset) {
	r.earliest = max(r.earliest, earliest)
	if r.state.Offset+1 < r.earliest {
		r.complete = false
	}
}

// Add applies the record at offset; record is nil if it could not be decoded. Offsets must increase. If restored is
// true, the state was replaced by that of a checkpoint, and the caller continues reading at State().Offset+1, which may
// be a smaller offset. While earlier records are missing, a record is rejected with RecordsMissing and changes neither
// the state nor its offset, unless it is a checkpoint that covers the missing records.
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
		// A checkpoint cannot cover a record that this reader, being complete, has not applied.
		r.state.Skip(offset)
		return MalformedRecord, false
	}
	return r.state.Apply(offset, record), false
}

// restore adopts a checkpoint that covers all missing records. An older checkpoint would leave a gap.
func (r *Replay) restore(offset Offset, record *Record) (rejection Rejection, restored bool) {
	c := record.Checkpoint
	if !r.canAdopt(c.Offset) {
		return RecordsMissing, false
	}
	if !c.wellFormed(offset) {
		return MalformedRecord, false
	}
	rejection = r.state.adopt(c)
	r.complete = rejection == Accepted
	return rejection, r.complete
}

// canAdopt reports whether a state at offset is later than this one and the stream retains all records after it.
func (r *Replay) canAdopt(offset Offset) bool {
	return offset > r.state.Offset && offset+1 >= r.earliest
}

// Adopt replaces the state with s, a snapshot of another reader, if s is later and the stream retains all records after
// it. It reports whether it did. The caller must not use s afterwards.
func (r *Replay) Adopt(s *State) bool {
	if !r.canAdopt(s.Offset) {
		return false
	}
	*r.state = *s
	r.complete = true
	return true
}
