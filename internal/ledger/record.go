// Package ledger defines the record types of the log and replays them into members, assignments and configurations.
//
// The log alone resolves conflicts. A record names the version of the state that it is based on, and takes effect only
// if that version is still current at the record's offset. So the first of two conflicting records wins on every node.
// A record contains its result instead of leaving each reader to compute it, so that nodes with different software
// versions reach the same state.
package ledger

import (
	"heatherreel/internal/keyspace"
)

// Offset is the position of a record in the log. Offsets increase; zero means before the first record.
type Offset uint64

// Incarnation identifies one membership of a node process, by the offset of its join record. Zero means none.
type Incarnation uint64

// Kind is the type of a record.
type Kind string

// Kinds of records.
const (
	KindJoin          Kind = "join"
	KindWitnesses     Kind = "witnesses"
	KindRenewed       Kind = "renewed"
	KindAssign        Kind = "assign"
	KindMove          Kind = "move"
	KindSettled       Kind = "settled"
	KindReleased      Kind = "released"
	KindEnd           Kind = "end"
	KindDrain         Kind = "drain"
	KindLeave         Kind = "leave"
	KindConfiguration Kind = "configuration"
	KindCheckpoint    Kind = "checkpoint"
)

// Record is one log record. Only the body field that corresponds to Kind is set.
type Record struct {
	Kind Kind `json:"kind"`
	// ID is unique among all records. Writers recognize their own records by it.
	ID            string         `json:"id"`
	Join          *Join          `json:"join,omitempty"`
	Witnesses     *Witnesses     `json:"witnesses,omitempty"`
	Renewed       *Renewed       `json:"renewed,omitempty"`
	Assign        *Assign        `json:"assign,omitempty"`
	Move          *Move          `json:"move,omitempty"`
	Settled       *Settled       `json:"settled,omitempty"`
	Released      *Released      `json:"released,omitempty"`
	End           *End           `json:"end,omitempty"`
	Drain         *Drain         `json:"drain,omitempty"`
	Leave         *Leave         `json:"leave,omitempty"`
	Configuration *Configuration `json:"configuration,omitempty"`
	Checkpoint    *Checkpoint    `json:"checkpoint,omitempty"`
}

// Addresses are the IP addresses and ports of a node.
type Addresses struct {
	// Nodes is the TCP address of the drpc service.
	Nodes string `json:"nodes"`
	// Leases is the UDP address of the lease protocol.
	Leases string `json:"leases"`
	// Callers is the HTTP address for client requests.
	Callers string `json:"callers"`
	// Operators is the HTTP address of the operator interface.
	Operators string `json:"operators"`
}

// Join adds a node as a member. The offset of the record becomes the node's incarnation.
type Join struct {
	Instance   string    `json:"instance"`
	DataCentre string    `json:"data_centre"`
	Region     string    `json:"region"`
	Addresses  Addresses `json:"addresses"`
	// Service is the service of the backend server on the node's instance; empty for a node without one.
	Service string `json:"service,omitempty"`
	// Weight is the relative share of slices that the backend server takes; 100 is normal.
	Weight uint32 `json:"weight"`
	// Witnesses is the initial witness set.
	Witnesses []Incarnation `json:"witnesses"`
}

// Witnesses replaces the witness set of an incarnation.
type Witnesses struct {
	Incarnation Incarnation `json:"incarnation"`
	// Base is the version of the set to replace.
	Base      Offset        `json:"base"`
	Witnesses []Incarnation `json:"witnesses"`
}

// Renewed extends the lease of an incarnation whose witness set is empty. The set gets a new version.
type Renewed struct {
	Incarnation Incarnation `json:"incarnation"`
	// Base is the version of the set before the renewal.
	Base Offset `json:"base"`
}

// Placement assigns one slice of a group to an owner.
type Placement struct {
	Index uint32      `json:"i"`
	Owner Incarnation `json:"o"`
}

// Assign assigns unowned slices of a group to owners. The first Assign of a group creates it with Count slices.
type Assign struct {
	Group keyspace.Group `json:"group"`
	// Base is the version of the group; zero to create the group.
	Base Offset `json:"base"`
	// Count is the number of slices of the group.
	Count      uint32      `json:"count"`
	Placements []Placement `json:"placements"`
}

// MovedSlice is one slice of a Move.
type MovedSlice struct {
	Index uint32 `json:"i"`
	// Fence is the fence of the slice before the move.
	Fence Offset `json:"f"`
	// To is the new owner.
	To Incarnation `json:"o"`
}

// Move transfers settled slices of a group from one owner that is a member to others. It is conditional on the fence of
// each slice and not on the version of the group: when a data centre is evacuated, all its nodes move slices of the
// same groups, and with one version per group only one of these moves could succeed at a time.
type Move struct {
	Group  keyspace.Group `json:"group"`
	From   Incarnation    `json:"from"`
	Slices []MovedSlice   `json:"slices"`
}

// SliceFence identifies a slice and its fence.
type SliceFence struct {
	Slice keyspace.SliceID `json:"slice"`
	Fence Offset           `json:"fence"`
}

// Settled states that the owner serves the slices and that no earlier owner still runs requests for them.
type Settled struct {
	Incarnation Incarnation  `json:"incarnation"`
	Slices      []SliceFence `json:"slices"`
}

// Released states that the incarnation, a source of the slices, no longer runs requests for them. It is written if the
// owner has not settled the slices, and does not pass on the outcomes that the incarnation retains.
type Released struct {
	Incarnation Incarnation `json:"incarnation"`
	// AtUnixMS is the writer's wall clock in milliseconds.
	AtUnixMS int64        `json:"at_unix_ms"`
	Slices   []SliceFence `json:"slices"`
}

// Successor assigns one slice of an ended incarnation to a new owner.
type Successor struct {
	Slice keyspace.SliceID `json:"slice"`
	Owner Incarnation      `json:"owner"`
}

// End ends an incarnation after a majority of its witnesses promised not to renew its lease again. Slices without a
// successor become unowned.
type End struct {
	Incarnation Incarnation `json:"incarnation"`
	// SetVersion is the version of the witness set whose members promised.
	SetVersion Offset      `json:"set_version"`
	Claimant   Incarnation `json:"claimant"`
	// Direct means that a majority of the witnesses themselves promised. An end that counted ended witnesses is not
	// direct: the ended incarnation may still have a first-level lease from those witnesses and mark its answers.
	Direct bool `json:"direct"`
	// AtUnixMS is the claimant's wall clock in milliseconds. It distinguishes request ids issued before the end from
	// later ones.
	AtUnixMS int64 `json:"at_unix_ms"`
	// Successors are the new owners of the slices that the claimant knew.
	Successors []Successor `json:"successors"`
}

// Drain states whether an incarnation is draining. While it is, it takes no new slices, so that no planner moves slices
// to a node that is stopping.
type Drain struct {
	Incarnation Incarnation `json:"incarnation"`
	Draining    bool        `json:"draining"`
}

// Leave removes an incarnation that owns no slices and runs no requests.
type Leave struct {
	Incarnation Incarnation `json:"incarnation"`
	// AtUnixMS is the writer's wall clock in milliseconds.
	AtUnixMS int64 `json:"at_unix_ms"`
}

// Configuration publishes a new configuration.
type Configuration struct {
	// Base is the revision that the document is based on; zero for the first.
	Base     Offset `json:"base"`
	Document string `json:"document"`
	Author   string `json:"author"`
	Note     string `json:"note"`
}
