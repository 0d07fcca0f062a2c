package ledger

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"heatherreel/internal/problem"
)

// maxStateSize is the maximum size of the encoded state in a checkpoint after decompression, in bytes. 840 members with
// 16 slices each need 0.65 MB. Without a limit, a record of the maximum size could decompress to over 4 GB.
const maxStateSize = 8 << 20

// Checkpoint contains the complete state after replaying the log up to and including Offset.
//
// Its JSON form contains the state in compressed form, and a decoded Checkpoint keeps the state compressed: a reader
// that has replayed past Offset needs only the offset and the time.
type Checkpoint struct {
	Offset Offset
	// AtUnixMS is the writer's wall clock in milliseconds when it copied the state.
	AtUnixMS int64
	// State is set by the writer. It is nil in a decoded Checkpoint; see Unpack.
	State *State
	// packed is the compressed state of a decoded Checkpoint.
	packed []byte
}

// LastCheckpoint describes a checkpoint record that took effect.
type LastCheckpoint struct {
	// Record is the offset of the checkpoint record; Covers is the offset of the last record included in its state.
	Record Offset `json:"record"`
	Covers Offset `json:"covers"`
	// AtUnixMS is the writer's wall clock in milliseconds.
	AtUnixMS int64 `json:"at_unix_ms"`
}

// encodedCheckpoint is the JSON form of a Checkpoint. Packed is the JSON form of the state, compressed with DEFLATE
// because every node reads every checkpoint, and each read transfers its full size.
type encodedCheckpoint struct {
	Offset   Offset `json:"offset"`
	AtUnixMS int64  `json:"at_unix_ms"`
	Packed   []byte `json:"packed"`
}

// errStateTooLarge is returned for a state that exceeds maxStateSize, on writing and on decompression.
var errStateTooLarge = problem.New(problem.TooLarge, "find the writer by the offset of the checkpoint",
	"checkpoint state is larger than %d bytes", maxStateSize)

// errOffsetMismatch is returned for a checkpoint whose offset is not that of its state.
var errOffsetMismatch = problem.New(problem.Malformed, "find the writer by the offset of the checkpoint",
	"checkpoint offset differs from the offset of the state in it")

// MarshalJSON encodes the checkpoint.
func (c *Checkpoint) MarshalJSON() ([]byte, error) {
	packed, err := c.pack()
	if err != nil {
		return nil, err
	}
	return json.Marshal(encodedCheckpoint{Offset: c.Offset, AtUnixMS: c.AtUnixMS, Packed: packed})
}

// UnmarshalJSON decodes a checkpoint but leaves its state compressed.
func (c *Checkpoint) UnmarshalJSON(data []byte) error {
	var e encodedCheckpoint
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	*c = Checkpoint{Offset: e.Offset, AtUnixMS: e.AtUnixMS, packed: e.Packed}
	return nil
}

// pack returns the compressed state; it is empty for a checkpoint without a state.
func (c *Checkpoint) pack() ([]byte, error) {
	if c.State == nil {
		return c.packed, nil
	}
	data, err := json.Marshal(c.State)
	if err != nil {
		return nil, err
	}
	if len(data) > maxStateSize {
		return nil, errStateTooLarge
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err = w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return packed.Bytes(), err
}

// Unpack returns the decompressed state, which shares no memory with c. Its errors are of kind problem.Malformed or
// problem.TooLarge.
func (c *Checkpoint) Unpack() (*State, error) {
	if c.State != nil {
		return c.checkOffset(c.State.Clone())
	}
	unpacked := flate.NewReader(bytes.NewReader(c.packed))
	data, err := io.ReadAll(io.LimitReader(unpacked, maxStateSize+1))
	if err != nil {
		return nil, problem.New(problem.Malformed, "find the writer by the offset of the checkpoint",
			"cannot decompress checkpoint state: %w", err)
	}
	if len(data) > maxStateSize {
		return nil, errStateTooLarge
	}
	state, err := DecodeState(data)
	if err != nil {
		return nil, err
	}
	return c.checkOffset(state)
}

// checkOffset returns the state if its offset is that of the checkpoint.
func (c *Checkpoint) checkOffset(s *State) (*State, error) {
	if s.Offset != c.Offset {
		return nil, errOffsetMismatch
	}
	return s, nil
}

// DecodeState decodes a state in JSON form that comes from a checkpoint or from another node. Its errors are of kind
// problem.Malformed.
func DecodeState(data []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("cannot decode state: %w", errors.Join(problem.Malformed, err))
	}
	return s, nil
}

// wellFormed reports whether the uncompressed part of the checkpoint is valid for a record at offset.
func (c *Checkpoint) wellFormed(offset Offset) bool {
	if c.State != nil && c.State.Offset != c.Offset {
		return false
	}
	return c.Offset < offset && (c.State != nil || len(c.packed) > 0)
}

// coveredOffset returns the offset that the last checkpoint covers; zero if there is none.
func (s *State) coveredOffset() Offset {
	if s.LastCheckpoint == nil {
		return 0
	}
	return s.LastCheckpoint.Covers
}

// applyCheckpoint records a checkpoint in LastCheckpoint if its state was already replayed, or adopts its state if that
// is later than s. In the first case the state is not decompressed, so that LastCheckpoint depends only on the rest of
// the record and is equal on every node.
func (s *State) applyCheckpoint(offset Offset, c *Checkpoint) Rejection {
	switch {
	case !c.wellFormed(offset):
		s.Offset = offset
		return MalformedRecord
	case c.Offset > s.Offset:
		return s.adopt(c)
	}
	s.Offset = offset
	if c.Offset <= s.coveredOffset() {
		return OutdatedCheckpoint
	}
	s.LastCheckpoint = &LastCheckpoint{Record: offset, Covers: c.Offset, AtUnixMS: c.AtUnixMS}
	return Accepted
}

// adopt replaces s with the state of the checkpoint. If that state cannot be decoded, s is unchanged, including its
// offset, because the records that the checkpoint covers are still missing.
func (s *State) adopt(c *Checkpoint) Rejection {
	state, err := c.Unpack()
	if err != nil {
		return MalformedRecord
	}
	*s = *state
	return Accepted
}

// errInconsistent is returned for an encoded state that violates the conditions checked by consistent.
var errInconsistent = problem.New(problem.Malformed, "take another checkpoint, or ask a peer for a snapshot",
	"encoded state has an offset after its own, a repeated witness, or an owner or source that is not a member")

// consistent reports whether the state satisfies the invariants of replay that other code relies on: all offsets in the
// state are at or before its own, owners and sources are members, and no witness is listed twice.
func (s *State) consistent() bool {
	for i, m := range s.Members {
		if i == 0 || Offset(i) > s.Offset || m.WitnessSet.Version > s.Offset || hasDuplicates(m.WitnessSet.Members) {
			return false
		}
	}
	for _, g := range s.Groups {
		if g.Version > s.Offset || !s.consistentSlices(g) {
			return false
		}
	}
	return s.Revision() <= s.Offset && s.coveredOffset() <= s.Offset
}

// consistentSlices reports whether the slices of a group are consistent.
func (s *State) consistentSlices(g *Group) bool {
	for i := range g.Slices {
		slice := &g.Slices[i]
		if slice.Fence > s.Offset || slice.Lost > s.Offset || !s.areMembers(slice.Sources...) {
			return false
		}
		if slice.Owner != 0 && !s.areMembers(slice.Owner) {
			return false
		}
	}
	return true
}
