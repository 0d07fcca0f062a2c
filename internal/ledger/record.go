// Package ledger holds the typed records of the log and their replay into members, assignments and configurations.
//
// The log is the only arbiter. A record names the state that it builds on and takes effect only if that state still
// holds at its offset, so that the first of two conflicting records wins on every node. A record states its result in
// place of having each reader compute it, so that nodes of different versions agree.
package ledger

import (
	"heatherreel/internal/keyspace"
)

// Offset is a position in the log. Offsets grow; zero stands for "before any record".
type Offset uint64

// Incarnation is one run of a node, named by the offset of its join record. Zero stands for none.
type Incarnation uint64

// Kind names the type of a record.
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

// Record is one log record. Exactly the field that belongs to Kind is set.
type Record struct {
	Kind Kind `json:"kind"`
	// ID is unique among all records; a writer recognises its own record by it.
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

// Addresses are the IP addresses and ports at which a node is reached.
type Addresses struct {
	// Nodes is the TCP address of the drpc service.
	Nodes string `json:"nodes"`
	// Leases is the UDP address of the lease protocol.
	Leases string `json:"leases"`
	// Callers is the HTTP address for callers.
	Callers string `json:"callers"`
	// Operators is the HTTP address for operators.
	Operators string `json:"operators"`
}

// Join adds a node. The offset of the record becomes its incarnation.
type Join struct {
	Instance   string    `json:"instance"`
	DataCentre string    `json:"data_centre"`
	Region     string    `json:"region"`
	Addresses  Addresses `json:"addresses"`
	// Service is the service of the backend server beside the node; empty for a node without one.
	Service string `json:"service,omitempty"`
	// Weight is the relative share of slices that the backend server takes; 100 is ordinary.
	Weight    uint32        `json:"weight"`
	Witnesses []Incarnation `json:"witnesses"`
}

// Witnesses replaces the witness set of an incarnation.
type Witnesses struct {
	Incarnation Incarnation `json:"incarnation"`
	// Base is the version of the set that is replaced.
	Base      Offset        `json:"base"`
	Witnesses []Incarnation `json:"witnesses"`
}

// Renewed extends the lease of an incarnation whose witness set is empty.
type Renewed struct {
	Incarnation Incarnation `json:"incarnation"`
	Base        Offset      `json:"base"`
}

// Placement gives one slice of a group to an owner.
type Placement struct {
	Index uint32      `json:"i"`
	Owner Incarnation `json:"o"`
}

// Assign gives unowned slices of a group to owners. The first Assign of a group fixes its slice count.
type Assign struct {
	Group keyspace.Group `json:"group"`
	// Base is the version of the group; zero for a group without slices yet.
	Base Offset `json:"base"`
	// Count is the number of slices of the group.
	Count      uint32      `json:"count"`
	Placements []Placement `json:"placements"`
}

// MovedSlice is one slice of a Move.
type MovedSlice struct {
	Index uint32 `json:"i"`
	// Fence is the fence under which the slice is moved away.
	Fence Offset `json:"f"`
	// To is the new owner.
	To Incarnation `json:"o"`
}

// Move transfers settled slices of a group from one living owner to others. It builds on the fence of each slice and
// not on the version of the group: when a data centre is taken out, all its nodes move slices of the same groups, and
// with a common version only one of them would succeed at a time.
type Move struct {
	Group  keyspace.Group `json:"group"`
	From   Incarnation    `json:"from"`
	Slices []MovedSlice   `json:"slices"`
}

// SliceFence names a slice under one fence.
type SliceFence struct {
	Slice keyspace.SliceID `json:"slice"`
	Fence Offset           `json:"fence"`
}

// Settled states that the owner of the slices serves them and that no earlier owner runs requests for them.
type Settled struct {
	Incarnation Incarnation  `json:"incarnation"`
	Slices      []SliceFence `json:"slices"`
}

// Released states that the incarnation, a source of the slices, runs no request for them.
type Released struct {
	Incarnation Incarnation `json:"incarnation"`
	// AtUnixMS is the writer's wall clock in milliseconds.
	AtUnixMS int64        `json:"at_unix_ms"`
	Slices   []SliceFence `json:"slices"`
}

// Successor gives one slice of an ended incarnation to a new owner.
type Successor struct {
	Slice keyspace.SliceID `json:"slice"`
	Owner Incarnation      `json:"owner"`
}

// End ends an incarnation after a majority of its witnesses promised to renew its lease no more.
// Slices without a successor become unowned.
type End struct {
	Incarnation Incarnation `json:"incarnation"`
	// SetVersion is the version of the witness set whose members promised.
	SetVersion Offset      `json:"set_version"`
	Claimant   Incarnation `json:"claimant"`
	// Direct tells that a majority of the witnesses themselves promised. An end that counted ended witnesses is not
	// direct: the ended incarnation may still hold a first-level lease from those witnesses and mark its answers.
	Direct bool `json:"direct"`
	// AtUnixMS is the claimant's wall clock in milliseconds, for telling request ids issued before from later ones.
	AtUnixMS   int64       `json:"at_unix_ms"`
	Successors []Successor `json:"successors"`
}

// Drain states whether an incarnation takes new slices, so that no planner moves slices to a node that is stopping.
type Drain struct {
	Incarnation Incarnation `json:"incarnation"`
	Draining    bool        `json:"draining"`
}

// Leave ends an incarnation that owns no slice and runs no request.
type Leave struct {
	Incarnation Incarnation `json:"incarnation"`
	// AtUnixMS is the writer's wall clock in milliseconds.
	AtUnixMS int64 `json:"at_unix_ms"`
}

// Configuration publishes a new configuration.
type Configuration struct {
	// Base is the revision that the document builds on; zero for the first.
	Base     Offset `json:"base"`
	Document string `json:"document"`
	Author   string `json:"author"`
	Note     string `json:"note"`
}
