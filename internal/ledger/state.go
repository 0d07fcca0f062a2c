package ledger

import (
	"encoding/json"
	"slices"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/problem"
)

// Limits of what a State contains besides the current members, assignments and configuration.
const (
	// maxHistory is the number of past configuration revisions that are kept, without their documents.
	maxHistory = 64
	// maxRecentJoins is the number of join record ids that are kept to detect a join record that was appended twice.
	maxRecentJoins = 1024
	// MaxSlices is the maximum number of slices of a group. Every reader allocates as many slices as a record states,
	// so that without a limit one wrong count would exhaust the memory of every node.
	MaxSlices = 1 << 16
)

// WitnessSet is the witness set of an incarnation.
type WitnessSet struct {
	// Version is the offset of the record that named or renewed the set.
	Version Offset        `json:"version"`
	Members []Incarnation `json:"members"`
}

// Member is an incarnation that has joined and has neither ended nor left.
type Member struct {
	Incarnation Incarnation `json:"incarnation"`
	Join
	// WitnessSet is the set in force. Join.Witnesses is only the initial set.
	WitnessSet WitnessSet `json:"witness_set"`
	// Draining means that the node takes no new slices.
	Draining bool `json:"draining,omitempty"`
}

// Slice is the assignment of one slice.
type Slice struct {
	// Owner is zero if the slice is unowned.
	Owner Incarnation `json:"owner"`
	// Fence is the offset of the record that made Owner the owner or, for an unowned slice, of the record that ended
	// the last owner; zero if it never had one.
	Fence Offset `json:"fence"`
	// Lost is the offset of the last record by which an owner or source was lost, or was released without passing its
	// request outcomes on to the owner; zero if there is none. Requests issued before it may have been executed, and
	// their outcomes are unknown.
	Lost Offset `json:"lost,omitempty"`
	// LostUnixMS is the time stated by the record at Lost, in milliseconds.
	LostUnixMS int64 `json:"lost_unix_ms,omitempty"`
	// Sources are members other than Owner that may still run requests for the slice.
	Sources []Incarnation `json:"sources,omitempty"`
}

// Group is the assignment of one group.
type Group struct {
	ID keyspace.Group `json:"id"`
	// Version is the offset of the last record that changed the assignment.
	Version Offset  `json:"version"`
	Slices  []Slice `json:"slices"`
}

// Revision is one accepted configuration.
type Revision struct {
	Revision Offset `json:"revision"`
	ID       string `json:"id"`
	Base     Offset `json:"base"`
	Author   string `json:"author"`
	Note     string `json:"note"`
	// Document is kept for the current revision only.
	Document string `json:"document,omitempty"`
}

// Rejection is the reason why a record did not take effect; empty if it did.
type Rejection string

// Reasons why a record does not take effect.
const (
	Accepted        Rejection = ""
	UnknownKind     Rejection = "unknown_kind"
	MalformedRecord Rejection = "malformed"
	Duplicate       Rejection = "duplicate"
	// StaleBase means that the record names a version, revision or fence that is not the current one.
	StaleBase    Rejection = "stale_base"
	NotAMember   Rejection = "not_a_member"
	NotTheOwner  Rejection = "not_the_owner"
	AlreadyOwned Rejection = "already_owned"
	NotSettled   Rejection = "not_settled"
	StillOwning  Rejection = "still_owning"
	// WitnessSetInUse means that a renewed record names an incarnation that has witnesses.
	WitnessSetInUse Rejection = "witness_set_in_use"
	OutsideOfGroup  Rejection = "outside_of_group"
	// OutdatedCheckpoint means that an earlier checkpoint covers at least the same records.
	OutdatedCheckpoint Rejection = "outdated_snapshot"
	// RecordsMissing means that the reader lacks earlier records and cannot determine whether this one took effect.
	RecordsMissing Rejection = "records_missing"
)

// State is the result of replaying the log. It is not safe for concurrent use.
type State struct {
	// Offset is the offset of the last replayed record.
	Offset  Offset
	Members map[Incarnation]*Member
	Groups  map[keyspace.Group]*Group
	// Configuration is the current revision; nil before the first.
	Configuration *Revision
	// History holds past revisions, oldest first, at most maxHistory.
	History []Revision
	// LastCheckpoint is the last checkpoint record that took effect; nil before the first.
	LastCheckpoint *LastCheckpoint

	recentJoinIDs []string
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Members: map[Incarnation]*Member{},
		Groups:  map[keyspace.Group]*Group{},
	}
}

// Apply replays the record at offset and returns why it did not take effect, or Accepted. Offsets must increase; a
// record at or before s.Offset is a Duplicate. The caller must not leave out records, except those that a following
// checkpoint covers; Replay ensures this. A checkpoint of a later state replaces s. s.Offset is then the offset that
// the checkpoint covers, which is before the checkpoint's own offset, so that the caller continues reading at
// s.Offset+1.
func (s *State) Apply(offset Offset, r *Record) Rejection {
	if offset <= s.Offset {
		return Duplicate
	}
	if r.Kind == KindCheckpoint && r.Checkpoint != nil {
		return s.applyCheckpoint(offset, r.Checkpoint)
	}
	rejection := s.apply(offset, r)
	s.Offset = offset
	return rejection
}

// Skip advances the offset past a record that could not be decoded.
func (s *State) Skip(offset Offset) {
	s.Offset = max(s.Offset, offset)
}

// apply applies a record of any kind other than a checkpoint.
func (s *State) apply(offset Offset, r *Record) Rejection {
	switch {
	case r.Kind == KindJoin && r.Join != nil:
		return s.applyJoin(offset, r.ID, r.Join)
	case r.Kind == KindWitnesses && r.Witnesses != nil:
		return s.applyWitnesses(offset, r.Witnesses)
	case r.Kind == KindRenewed && r.Renewed != nil:
		return s.applyRenewed(offset, r.Renewed)
	case r.Kind == KindAssign && r.Assign != nil:
		return s.applyAssign(offset, r.Assign)
	case r.Kind == KindMove && r.Move != nil:
		return s.applyMove(offset, r.Move)
	case r.Kind == KindSettled && r.Settled != nil:
		return s.applySettled(r.Settled)
	case r.Kind == KindReleased && r.Released != nil:
		return s.applyReleased(offset, r.Released)
	case r.Kind == KindEnd && r.End != nil:
		return s.applyEnd(offset, r.End)
	case r.Kind == KindDrain && r.Drain != nil:
		return s.applyDrain(r.Drain)
	case r.Kind == KindLeave && r.Leave != nil:
		return s.applyLeave(offset, r.Leave)
	case r.Kind == KindConfiguration && r.Configuration != nil:
		return s.applyConfiguration(offset, r.ID, r.Configuration)
	}
	return rejectUnhandled(r.Kind)
}

// rejectUnhandled distinguishes a record of a later software version, whose kind is unknown, from one without a body.
func rejectUnhandled(kind Kind) Rejection {
	switch kind {
	case KindJoin, KindWitnesses, KindRenewed, KindAssign, KindMove, KindSettled, KindReleased, KindEnd, KindDrain,
		KindLeave, KindConfiguration, KindCheckpoint:
		return MalformedRecord
	}
	return UnknownKind
}

func (s *State) applyConfiguration(offset Offset, id string, c *Configuration) Rejection {
	if c.Base != s.Revision() {
		return StaleBase
	}
	if s.Configuration != nil {
		past := *s.Configuration
		past.Document = ""
		s.History = append(s.History, past)
		if len(s.History) > maxHistory {
			s.History = slices.Delete(s.History, 0, len(s.History)-maxHistory)
		}
	}
	s.Configuration = &Revision{
		Revision: offset, ID: id, Base: c.Base, Author: c.Author, Note: c.Note, Document: c.Document,
	}
	return Accepted
}

// Revision returns the current configuration revision; zero before the first.
func (s *State) Revision() Offset {
	if s.Configuration == nil {
		return 0
	}
	return s.Configuration.Revision
}

// Clone returns a copy that shares no mutable memory with s.
func (s *State) Clone() *State {
	c := NewState()
	c.Offset = s.Offset
	for i, m := range s.Members {
		// A stored Member is never modified, so the copies may share it.
		c.Members[i] = m
	}
	for id, g := range s.Groups {
		copied := &Group{ID: g.ID, Version: g.Version, Slices: slices.Clone(g.Slices)}
		c.Groups[id] = copied
	}
	if s.Configuration != nil {
		revision := *s.Configuration
		c.Configuration = &revision
	}
	if s.LastCheckpoint != nil {
		last := *s.LastCheckpoint
		c.LastCheckpoint = &last
	}
	c.History = slices.Clone(s.History)
	c.recentJoinIDs = slices.Clone(s.recentJoinIDs)
	return c
}

// errIncomplete is returned for an encoded state with empty entries, which replay cannot have produced.
var errIncomplete = problem.New(problem.Malformed,
	"take another checkpoint, or ask a peer for a snapshot",
	"encoded state has a null member, a null group, or a group with no slices or more than %d", MaxSlices)

// encodedState is the JSON form of a State. Its lists are sorted, so that equal states have equal encodings.
type encodedState struct {
	Offset        Offset          `json:"offset"`
	Members       []*Member       `json:"members"`
	Groups        []*Group        `json:"groups"`
	Configuration *Revision       `json:"configuration,omitempty"`
	History       []Revision      `json:"history,omitempty"`
	Checkpoint    *LastCheckpoint `json:"last_checkpoint,omitempty"`
	RecentJoins   []string        `json:"recent_joins,omitempty"`
}

// MarshalJSON encodes the state. Equal states have equal encodings.
func (s *State) MarshalJSON() ([]byte, error) {
	e := encodedState{
		Offset: s.Offset, Configuration: s.Configuration, History: s.History, Checkpoint: s.LastCheckpoint,
		RecentJoins: s.recentJoinIDs,
	}
	for _, m := range s.Members {
		e.Members = append(e.Members, m)
	}
	slices.SortFunc(e.Members, func(a, b *Member) int { return int(a.Incarnation) - int(b.Incarnation) })
	for _, g := range s.Groups {
		e.Groups = append(e.Groups, g)
	}
	slices.SortFunc(e.Groups, func(a, b *Group) int { return a.ID.Compare(b.ID) })
	return json.Marshal(e)
}

// UnmarshalJSON decodes a state and rejects one that replay cannot have produced.
func (s *State) UnmarshalJSON(data []byte) error {
	var e encodedState
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	*s = *NewState()
	s.Offset, s.Configuration, s.History, s.recentJoinIDs = e.Offset, e.Configuration, e.History, e.RecentJoins
	s.LastCheckpoint = e.Checkpoint
	for _, m := range e.Members {
		if m == nil {
			return errIncomplete
		}
		s.Members[m.Incarnation] = m
	}
	for _, g := range e.Groups {
		if g == nil || len(g.Slices) == 0 || len(g.Slices) > MaxSlices {
			return errIncomplete
		}
		s.Groups[g.ID] = g
	}
	if !s.consistent() {
		return errInconsistent
	}
	return nil
}
