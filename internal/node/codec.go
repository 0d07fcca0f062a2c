package node

import (
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// encodeForward returns the message for a request that is sent at the time now.
func encodeForward(f ForwardedRequest, correlation uint64, now time.Time) *nodepb.ForwardRequest {
	r := &f.Request
	remaining := max(r.Deadline.Sub(now), 0)
	return &nodepb.ForwardRequest{
		Correlation:           correlation,
		Service:               r.Service,
		Tenant:                r.Tenant,
		Key:                   r.Key,
		RequestId:             r.ID,
		Idempotent:            r.Idempotent,
		Class:                 uint32(r.Class),
		DeadlineUs:            uint64(remaining.Microseconds()),
		Method:                r.Method,
		ContentType:           r.ContentType,
		Body:                  r.Body,
		BodyLength:            uint64(len(r.Body)),
		Traceparent:           r.Traceparent,
		LedgerOffset:          uint64(f.LedgerOffset),
		ConfigurationRevision: uint64(f.HomesEpoch),
		ProgressMs:            uint32(progressInterval(remaining).Milliseconds()),
	}
}

// decodeForward returns the request in a message that arrived at the time now. The deadline is relative to the arrival,
// so clocks need not be synchronized; it is later than the sender's own deadline by the time of the transfer.
func decodeForward(m *nodepb.ForwardRequest, now time.Time) (ForwardedRequest, error) {
	if m.BodyLength != uint64(len(m.Body)) {
		return ForwardedRequest{}, problem.New(problem.Malformed, "send the request again",
			"forwarded body has %d bytes, %d were announced", len(m.Body), m.BodyLength)
	}
	return ForwardedRequest{
		Request: request.Request{
			Service:     m.Service,
			Tenant:      m.Tenant,
			Key:         m.Key,
			ID:          m.RequestId,
			Idempotent:  m.Idempotent,
			Class:       request.Class(m.Class),
			Deadline:    now.Add(time.Duration(m.DeadlineUs) * time.Microsecond),
			Method:      m.Method,
			ContentType: m.ContentType,
			Body:        m.Body,
			Traceparent: m.Traceparent,
		},
		LedgerOffset: ledger.Offset(m.LedgerOffset),
		HomesEpoch:   ledger.Offset(m.ConfigurationRevision),
	}, nil
}

func encodeOutcome(o request.Outcome) nodepb.Outcome {
	switch o {
	case request.Done:
		return nodepb.Outcome_OUTCOME_DONE
	case request.NotRun:
		return nodepb.Outcome_OUTCOME_NOT_RUN
	default:
		return nodepb.Outcome_OUTCOME_UNKNOWN
	}
}

func decodeOutcome(o nodepb.Outcome) request.Outcome {
	switch o {
	case nodepb.Outcome_OUTCOME_DONE:
		return request.Done
	case nodepb.Outcome_OUTCOME_NOT_RUN:
		return request.NotRun
	default:
		return request.Unknown
	}
}

// maxAnswerBody is the maximum size of the body of an answer, in bytes. The rest of the message is for the header, which
// has at most 64 KiB as a backend server sends it. A larger message would break the connection.
const maxAnswerBody = maxMessageSize - 256<<10

func encodeAnswer(a request.Answer, correlation uint64) *nodepb.ForwardResponse {
	if len(a.Body) > maxAnswerBody {
		offset := a.LedgerOffset
		a = request.Uncertain(request.AnswerTooLarge, "ask for less data at once; the request has run")
		a.LedgerOffset = offset
	}
	return &nodepb.ForwardResponse{
		Correlation:  correlation,
		Outcome:      encodeOutcome(a.Outcome),
		Reason:       string(a.Reason),
		Remedy:       a.Remedy,
		Status:       uint32(a.Status),
		ContentType:  a.ContentType,
		Body:         a.Body,
		BodyLength:   uint64(len(a.Body)),
		LedgerOffset: a.LedgerOffset,
	}
}

// errCorrelationMismatch returns the error for a response that belongs to another request.
func errCorrelationMismatch(got, want uint64) error {
	return problem.New(problem.Unavailable, outcomeUnknownRemedy, "response %d arrived for request %d", got, want)
}

// decodeAnswer returns the answer in a response, or problem.Unavailable if the response belongs to another request or
// is truncated. The outcome of the request is unknown then.
func decodeAnswer(m *nodepb.ForwardResponse, correlation uint64) (request.Answer, error) {
	if m.Correlation != correlation {
		return request.Answer{}, errCorrelationMismatch(m.Correlation, correlation)
	}
	if m.BodyLength != uint64(len(m.Body)) {
		return request.Answer{}, problem.New(problem.Unavailable, "repeat the request with the same request id",
			"response body has %d bytes, body_length is %d", len(m.Body), m.BodyLength)
	}
	return request.Answer{
		Outcome:      decodeOutcome(m.Outcome),
		Reason:       request.Reason(m.Reason),
		Remedy:       m.Remedy,
		Status:       int(m.Status),
		ContentType:  m.ContentType,
		Body:         m.Body,
		LedgerOffset: m.LedgerOffset,
	}, nil
}

func encodeSlices(slices []ledger.SliceFence) []*nodepb.SliceFence {
	encoded := make([]*nodepb.SliceFence, 0, len(slices))
	for _, s := range slices {
		encoded = append(encoded, encodeSlice(s))
	}
	return encoded
}

func encodeSlice(s ledger.SliceFence) *nodepb.SliceFence {
	return &nodepb.SliceFence{
		Service: s.Slice.Service,
		Home:    string(s.Slice.Home),
		Index:   s.Slice.Index,
		Fence:   uint64(s.Fence),
	}
}

func decodeSlices(encoded []*nodepb.SliceFence) []ledger.SliceFence {
	slices := make([]ledger.SliceFence, 0, len(encoded))
	for _, e := range encoded {
		slices = append(slices, decodeSlice(e))
	}
	return slices
}

func decodeSlice(e *nodepb.SliceFence) ledger.SliceFence {
	group := keyspace.Group{Service: e.GetService(), Home: keyspace.Home(e.GetHome())}
	return ledger.SliceFence{
		Slice: keyspace.SliceID{Group: group, Index: e.GetIndex()},
		Fence: ledger.Offset(e.GetFence()),
	}
}
