package node

import (
	"context"

	"heatherreel/internal/ledger"
	"heatherreel/internal/request"
)

// Forwarded is a caller's request that another node sends to the owner of the key.
type Forwarded struct {
	Request request.Request
	// LedgerOffset is the offset up to which the sender has replayed the log.
	LedgerOffset ledger.Offset
	// Revision is the configuration revision that last changed home regions, as the sender knows it.
	Revision ledger.Offset
	// Progress is set by the server of the receiving node: how the sender wants to hear that the request is in progress.
	Progress Progress
}

// ReleaseRequest asks Source to stop serving slices that now belong to Owner. Without slices it asks for the revision
// under which alone Source runs requests.
type ReleaseRequest struct {
	Owner  ledger.Incarnation
	Source ledger.Incarnation
	Slices []ledger.SliceFence
}

// Snapshot is the replayed ledger state of a node.
type Snapshot struct {
	Offset ledger.Offset
	// State is the JSON form of a ledger.State.
	State []byte
}

// Service is what a node offers to the others. Its methods may block until the context ends.
type Service interface {
	// Forward executes the request if this node owns the key. It awaits the answer with f.Progress.
	Forward(ctx context.Context, f Forwarded) request.Answer
	// Release answers with the slices that this node no longer serves.
	Release(ctx context.Context, r ReleaseRequest) (ReleaseResult, error)
	// Snapshot returns the replayed state.
	Snapshot(ctx context.Context) (Snapshot, error)
}

// Peers calls other nodes by their drpc address. Errors are problem.NotSent when the request never left this node,
// and problem.Unavailable when nothing is known about its effect.
type Peers interface {
	Forward(ctx context.Context, address string, f Forwarded) (request.Answer, error)
	Release(ctx context.Context, address string, r ReleaseRequest) (ReleaseResult, error)
	Snapshot(ctx context.Context, address string) (Snapshot, error)
}
