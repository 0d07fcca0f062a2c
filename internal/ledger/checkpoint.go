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

// maxStateSize bounds the encoded state that a checkpoint unpacks to, in bytes. 840 members with 16 slices each need
// 0.65 MB. Without a bound, a record of the largest size could unpack to over 4 GB.
const maxStateSize = 8 << 20

// Checkpoint carries the whole state replayed up to and including Offset.
//
// Its JSON form holds the state packed, and a decoded Checkpoint keeps it so: a reader that has replayed past Offset
// needs no more than the offset and the time.
type Checkpoint struct {
	Offset Offset
	// AtUnixMS is the writer's wall clock in milliseconds when it copied the state.
	AtUnixMS int64
	// State is set by the writer. It is nil in a decoded Checkpoint; see Unpack.
	State  *State
	packed []byte
}

// LastCheckpoint describes a checkpoint record that took effect.
type LastCheckpoint struct {
	// Record is the offset of the record; Covers is the offset up to which its state reaches.
	Record Offset `json:"record"`
	Covers Offset `json:"covers"`
	// AtUnixMS is the writer's wall clock in milliseconds.
	AtUnixMS int64 `json:"at_unix_ms"`
}

// encodedCheckpoint is the JSON form of a Checkpoint. Packed is the JSON form of the state, compressed with DEFLATE:
// every node reads every checkpoint, so that its size counts once per node.
type encodedCheckpoint struct {
	Offset   Offset `json:"offset"`
	AtUnixMS int64  `json:"at_unix_ms"`
	Packed   []byte `json:"packed"`
}

// errStateTooLarge rejects a state over the size limit, on writing and on unpacking.
var errStateTooLarge = problem.New(problem.TooLarge, "find the writer by the offset of the checkpoint",
	"the state of a checkpoint has more than %d bytes", maxStateSize)

// errOtherOffset rejects a checkpoint whose state does not reach to the offset that it names.
var errOtherOffset = problem.New(problem.Malformed, "find the writer by the offset of the checkpoint",
	"the state of a checkpoint reaches to another offset than the checkpoint names")

// MarshalJSON encodes the checkpoint.
func (c *Checkpoint) MarshalJSON() ([]byte, error) {
	packed, err := c.pack()
	if err != nil {
		return nil, err
	}
	return json.Marshal(encodedCheckpoint{Offset: c.Offset, AtUnixMS: c.AtUnixMS, Packed: packed})
}

// UnmarshalJSON decodes what MarshalJSON encoded, except for the packed state.
func (c *Checkpoint) UnmarshalJSON(data []byte) error {
	var e encodedCheckpoint
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	*c = Checkpoint{Offset: e.Offset, AtUnixMS: e.AtUnixMS, packed: e.Packed}
	return nil
}

// pack returns the compressed state; it is empty for a checkpoint without one.
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

// Unpack returns the state, which shares no memory with c. It fails with problem.Malformed or problem.TooLarge.
func (c *Checkpoint) Unpack() (*State, error) {
	if c.State != nil {
		return c.checked(c.State.Clone())
	}
	unpacked := flate.NewReader(bytes.NewReader(c.packed))
	data, err := io.ReadAll(io.LimitReader(unpacked, maxStateSize+1))
	if err != nil {
		return nil, problem.New(problem.Malformed, "find the writer by the offset of the checkpoint",
			"the state of a checkpoint cannot be unpacked: %w", err)
	}
	if len(data) > maxStateSize {
		return nil, errStateTooLarge
	}
	state, err := DecodeState(data)
	if err != nil {
		return nil, err
	}
	return c.checked(state)
}

// checked returns the state if it reaches to the offset that the checkpoint names.
func (c *Checkpoint) checked(s *State) (*State, error) {
	if s.Offset != c.Offset {
		return nil, errOtherOffset
	}
	return s, nil
}

// DecodeState returns the state in its JSON form, from a checkpoint or from another node. It fails with
// problem.Malformed.
func DecodeState(data []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode a state: %w", errors.Join(problem.Malformed, err))
	}
	return s, nil
}

// wellFormed reports whether the part of the checkpoint that is not packed can be that of a record at offset.
func (c *Checkpoint) wellFormed(offset Offset) bool {
	if c.State != nil && c.State.Offset != c.Offset {
		return false
	}
	return c.Offset < offset && (c.State != nil || len(c.packed) > 0)
}

// covered returns the offset up to which the last checkpoint reaches; zero if there is none.
func (s *State) covered() Offset {
	if s.LastCheckpoint == nil {
		return 0
	}
	return s.LastCheckpoint.Covers
}

// applyCheckpoint notes a checkpoint of a state that was replayed already, or adopts one of a later state. Noting one
// does not unpack it, so that what is noted depends on the rest of the record alone and is equal on every node.
func (s *State) applyCheckpoint(offset Offset, c *Checkpoint) Rejection {
	switch {
	case !c.wellFormed(offset):
		s.Offset = offset
		return MalformedRecord
	case c.Offset > s.Offset:
		return s.adopt(c)
	}
	s.Offset = offset
	if c.Offset <= s.covered() {
		return OutdatedSnapshot
	}
	s.LastCheckpoint = &LastCheckpoint{Record: offset, Covers: c.Offset, AtUnixMS: c.AtUnixMS}
	return Accepted
}

// adopt replaces s with the state of the checkpoint. If that cannot be unpacked, s keeps its offset: the records up to
// the checkpoint are still missing.
func (s *State) adopt(c *Checkpoint) Rejection {
	state, err := c.Unpack()
	if err != nil {
		return MalformedRecord
	}
	*s = *state
	return Accepted
}

// errInconsistent rejects an encoded state that replay cannot have produced.
var errInconsistent = problem.New(problem.Malformed, "take another checkpoint, or ask a peer for a snapshot",
	"an encoded state names offsets after its own, or owners that are not members")

// consistent reports whether replay can have produced the state, as far as other code relies on it: what the state
// names lies at or before its offset, and owners and sources are members.
func (s *State) consistent() bool {
	for i, m := range s.Members {
		if i == 0 || Offset(i) > s.Offset || m.WitnessSet.Version > s.Offset || repeats(m.WitnessSet.Members) {
			return false
		}
	}
	for _, g := range s.Groups {
		if g.Version > s.Offset || !s.consistentSlices(g) {
			return false
		}
	}
	return s.Revision() <= s.Offset && s.covered() <= s.Offset
}

// consistentSlices checks the slices of a group.
func (s *State) consistentSlices(g *Group) bool {
	for i := range g.Slices {
		slice := &g.Slices[i]
		if slice.Fence > s.Offset || slice.Lost > s.Offset || !s.alive(slice.Sources...) {
			return false
		}
		if slice.Owner != 0 && !s.alive(slice.Owner) {
			return false
		}
	}
	return true
}
