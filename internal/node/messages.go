package node

import (
	"context"

	"heatherreel/internal/ledger"
	"heatherreel/internal/request"
)

// ForwardedRequest is a caller's request that one node forwards to the owner of the key.
type ForwardedRequest struct {
	Request request.Request
	// LedgerOffset is the offset up to which the sender has replayed the log.
	LedgerOffset ledger.Offset
	// HomesEpoch is the configuration revision that last changed home regions, as the sender knows it.
	HomesEpoch ledger.Offset
	// Progress reports to the sender that the request is in progress. It is set by the Server of the receiving node.
	Progress Progress
}

// ReleaseRequest asks Source to stop serving slices that now belong to Owner. Without slices, it only asks which
// configuration revision applies to all requests that run on Source; see ReleaseResult.Offset.
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

// Service handles the calls of other nodes. Its methods may block until the context ends.
type Service interface {
	// Forward executes the request if this node owns the key. It waits for the answer with f.Progress.Await.
	Forward(ctx context.Context, f ForwardedRequest) request.Answer
	// Release returns the requested slices that this node no longer serves.
	Release(ctx context.Context, r ReleaseRequest) (ReleaseResult, error)
	// Snapshot returns the replayed ledger state.
	Snapshot(ctx context.Context) (Snapshot, error)
}

// Peers calls other nodes by their drpc address. Errors are problem.NotSent if the request was not sent, and
// problem.Unavailable if its outcome is unknown.
type Peers interface {
	Forward(ctx context.Context, address string, f ForwardedRequest) (request.Answer, error)
	Release(ctx context.Context, address string, r ReleaseRequest) (ReleaseResult, error)
	Snapshot(ctx context.Context, address string) (Snapshot, error)
}
