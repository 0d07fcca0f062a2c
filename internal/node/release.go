package node

import (
	"time"

	"heatherreel/internal/ledger"
	"heatherreel/internal/node/nodepb"
)

// ReleaseResult is the answer to a ReleaseRequest.
type ReleaseResult struct {
	// Released are the slices that the source no longer serves; the others must be asked for again.
	Released []ledger.SliceFence
	// Offset is the ledger offset up to which the source has replayed.
	Offset ledger.Offset
}

func encodeReleaseRequest(r ReleaseRequest) *nodepb.ReleaseRequest {
	return &nodepb.ReleaseRequest{
		Owner:  uint64(r.Owner),
		Source: uint64(r.Source),
		Slices: encodeSlices(r.Slices),
	}
}

func decodeReleaseRequest(m *nodepb.ReleaseRequest) ReleaseRequest {
	return ReleaseRequest{
		Owner:  ledger.Incarnation(m.Owner),
		Source: ledger.Incarnation(m.Source),
		Slices: decodeSlices(m.Slices),
	}
}

func encodeReleaseResult(r ReleaseResult, _ time.Time) *nodepb.ReleaseResponse {
	return &nodepb.ReleaseResponse{Released: encodeSlices(r.Released), LedgerOffset: uint64(r.Offset)}
}

func decodeReleaseResult(m *nodepb.ReleaseResponse, _ time.Time) ReleaseResult {
	return ReleaseResult{Released: decodeSlices(m.Released), Offset: ledger.Offset(m.LedgerOffset)}
}
