package node

import (
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/ledger"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/outcome"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// ReleaseResult is the answer to a ReleaseRequest.
type ReleaseResult struct {
	// Released are the slices that the source no longer serves. The others must be requested again.
	Released []ledger.SliceFence
	// Outcomes is what the new owner must know about requests that ran on the released slices.
	Outcomes []outcome.SliceExport
	// Offset is the ledger offset up to which the source has replayed. In the answer to a request without slices it is
	// the configuration revision in force at the source, or zero while a request from before the last change of home
	// regions still runs there.
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

func encodeReleaseResult(r ReleaseResult) *nodepb.ReleaseResponse {
	response := &nodepb.ReleaseResponse{Released: encodeSlices(r.Released), LedgerOffset: uint64(r.Offset)}
	for _, export := range r.Outcomes {
		response.Outcomes = append(response.Outcomes, encodeSliceOutcomes(export))
	}
	return response
}

func encodeSliceOutcomes(export outcome.SliceExport) *nodepb.SliceOutcomes {
	encoded := &nodepb.SliceOutcomes{
		Slice:               encodeSlice(ledger.SliceFence{Slice: export.Slice}),
		UnknownBeforeUnixMs: export.UnknownBefore.UnixMilli(),
	}
	for _, r := range export.Outcomes {
		encoded.Outcomes = append(encoded.Outcomes, &nodepb.RetainedOutcome{
			Tenant:      r.Tenant,
			RequestId:   r.ID[:],
			Fingerprint: r.Fingerprint[:],
			RemainingMs: uint64(max(r.Remaining, 0).Milliseconds()),
			Outcome:     encodeOutcome(r.Answer.Outcome),
			Reason:      string(r.Answer.Reason),
			Remedy:      r.Answer.Remedy,
			Status:      uint32(r.Answer.Status),
			ContentType: r.Answer.ContentType,
			Body:        r.Answer.Body,
		})
	}
	return encoded
}

// decodeReleaseResult returns the result in a response. It rejects the whole response if one outcome is malformed:
// without that outcome the new owner could run the request again.
func decodeReleaseResult(m *nodepb.ReleaseResponse) (ReleaseResult, error) {
	result := ReleaseResult{Released: decodeSlices(m.Released), Offset: ledger.Offset(m.LedgerOffset)}
	for _, encoded := range m.Outcomes {
		export, err := decodeSliceOutcomes(encoded)
		if err != nil {
			return ReleaseResult{}, err
		}
		result.Outcomes = append(result.Outcomes, export)
	}
	return result, nil
}

func decodeSliceOutcomes(m *nodepb.SliceOutcomes) (outcome.SliceExport, error) {
	export := outcome.SliceExport{
		Slice: decodeSlice(m.Slice).Slice,
		// Encoding truncates the time to milliseconds. One millisecond is added, so that the range includes all ids.
		UnknownBefore: time.UnixMilli(m.UnknownBeforeUnixMs + 1),
	}
	for _, encoded := range m.Outcomes {
		retained, err := decodeRetainedOutcome(encoded)
		if err != nil {
			return export, err
		}
		export.Outcomes = append(export.Outcomes, retained)
	}
	return export, nil
}

func decodeRetainedOutcome(m *nodepb.RetainedOutcome) (outcome.Retained, error) {
	id, err := uuid.FromBytes(m.RequestId)
	if err != nil || len(m.Fingerprint) != len(outcome.Fingerprint{}) {
		return outcome.Retained{}, problem.New(problem.Malformed, "bring both nodes to the same version",
			"a retained outcome has a malformed request id or fingerprint")
	}
	return outcome.Retained{
		Tenant:      m.Tenant,
		ID:          id,
		Fingerprint: outcome.Fingerprint(m.Fingerprint),
		Remaining:   time.Duration(m.RemainingMs) * time.Millisecond,
		Answer: request.Answer{
			Outcome:     decodeOutcome(m.Outcome),
			Reason:      request.Reason(m.Reason),
			Remedy:      m.Remedy,
			Status:      int(m.Status),
			ContentType: m.ContentType,
			Body:        m.Body,
		},
	}, nil
}
