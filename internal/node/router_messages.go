package node

import (
	"context"
	"math"
	"time"

	"heatherreel/internal/feed"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/quota"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Time limits of Dispatch.
const (
	// dispatchProgressInterval is the interval of progress reports; most requests end before the first one.
	dispatchProgressInterval = 250 * time.Millisecond
	// dispatchSilenceLimit is the longest time without data on a connection while a request is in progress: two report
	// intervals, and 200 ms for a pause of the peer's process.
	dispatchSilenceLimit = 700 * time.Millisecond
)

// RouterService handles the calls that other nodes make to the Router service of node.proto, which gateways serve. Its
// methods may block until ctx ends.
type RouterService interface {
	// Dispatch runs the request on the local backend server. It reports progress while it waits.
	Dispatch(ctx context.Context, r routed.Request, p DispatchProgress) routed.Answer
	// Probe returns the name of the instance and its load. rangesEnd is the end offset up to which the calling node has
	// read the ownership records.
	Probe(rangesEnd int64) (instance string, load routed.Load)
	// StoreCall makes a call to the platform's store on behalf of another node. Errors are those of registry.Store.
	StoreCall(ctx context.Context, c registry.Call) (registry.Page, error)
	// ReadTopic returns records that this node has read from the platform's store. The error is problem.Overloaded if it
	// is no feed of the topic at present.
	ReadTopic(ctx context.Context, r feed.Request) (feed.Answer, error)
	// Lend lends the quota of tenants to an instance. It must not block.
	Lend(borrower string, asks []quota.Ask) []quota.Grant
}

// DispatchProgress reports to the sender of a request at intervals that the request is in progress. The zero value
// reports nothing.
type DispatchProgress struct {
	Interval time.Duration
	Report   func()
}

func encodeHeader(fields []routed.Field) []*nodepb.HeaderField {
	encoded := make([]*nodepb.HeaderField, len(fields))
	for i, f := range fields {
		encoded[i] = &nodepb.HeaderField{Name: []byte(f.Name), Value: []byte(f.Value)}
	}
	return encoded
}

func decodeHeader(fields []*nodepb.HeaderField) []routed.Field {
	decoded := make([]routed.Field, len(fields))
	for i, f := range fields {
		decoded[i] = routed.Field{Name: string(f.GetName()), Value: string(f.GetValue())}
	}
	return decoded
}

func encodeDispatch(r routed.Request, now time.Time, t sendTimes) *nodepb.DispatchRequest {
	m := encodeDispatchBase(r, now, t)
	setDispatchHead(m, r)
	return m
}

// encodeDispatchBase encodes all but the head of a request, that is, the fields that packed_header can replace.
func encodeDispatchBase(r routed.Request, now time.Time, t sendTimes) *nodepb.DispatchRequest {
	return &nodepb.DispatchRequest{
		Body:       r.Body,
		DeadlineUs: encodeDuration(r.Deadline.Sub(now)), Keyed: r.Keyed, Key: uint32(r.Key),
		Idempotent: r.Idempotent, Priority: uint32(r.Priority),
		HomeRegions: r.HomeRegions, Revision: r.Revision, ObjectiveUs: encodeObjective(r.Objective, now), MayDivert: r.MayDivert,
		Clock: t.clock, SentUs: encodeDuration(t.sent), PathDelayUs: encodeDuration(t.pathDelay), ArriveWithinUs: encodeDuration(r.ArriveWithin),
		Call: r.Call,
	}
}

func setDispatchHead(m *nodepb.DispatchRequest, r routed.Request) {
	m.Id, m.Method, m.Host, m.Path, m.Header = []byte(r.ID), []byte(r.Method), []byte(r.Host), []byte(r.Path), encodeHeader(r.Header)
	m.OriginService, m.Service, m.Route, m.Tenant = r.OriginService, r.Service, r.Route, r.Tenant
	m.Traceparent = []byte(r.Traceparent)
}

// encodeObjective returns the microseconds until an objective, and 0 if there is none. As 0 is reserved for that, an
// objective that is due now is encoded as -1.
func encodeObjective(objective, now time.Time) int64 {
	if objective.IsZero() {
		return 0
	}
	if us := objective.Sub(now).Microseconds(); us != 0 {
		return us
	}
	return -1
}

// decodeObjective returns the time us microseconds after now, or the zero time if us is 0, which means no objective.
func decodeObjective(us int64, now time.Time) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(min(max(us, -int64(maxDurationUs)), int64(maxDurationUs))) * time.Microsecond)
}

// decodeDispatch decodes a request that arrived at now and was on its way for delay before. Its times count from the send.
func decodeDispatch(m *nodepb.DispatchRequest, now time.Time, delay time.Duration) routed.Request {
	r := decodeDispatchBase(m, now, delay)
	r.ID, r.Method, r.Host, r.Path, r.Header = string(m.Id), string(m.Method), string(m.Host), string(m.Path), decodeHeader(m.Header)
	r.OriginService, r.Service, r.Route, r.Tenant = m.OriginService, m.Service, m.Route, m.Tenant
	r.Traceparent = string(m.Traceparent)
	return r
}

// decodeDispatchBase decodes all but the head of a request.
func decodeDispatchBase(m *nodepb.DispatchRequest, now time.Time, delay time.Duration) routed.Request {
	sent := now.Add(-delay)
	return routed.Request{
		Body:     m.Body,
		Deadline: sent.Add(decodeDuration(m.DeadlineUs)), Keyed: m.Keyed, Key: uint16(m.Key),
		Idempotent: m.Idempotent, Priority: int(m.Priority),
		HomeRegions: m.HomeRegions, Revision: m.Revision, Objective: decodeObjective(m.ObjectiveUs, sent), MayDivert: m.MayDivert,
		Delay: delay, ArriveWithin: decodeDuration(m.ArriveWithinUs), Call: m.Call,
	}
}

func encodeLoad(l routed.Load) *nodepb.Load {
	return &nodepb.Load{
		Known: l.Known, Running: uint32(max(0, l.Running)), Waiting: uint32(max(0, l.Waiting)),
		Slots: uint32(max(0, l.Slots)), ServiceTimeUs: encodeDuration(l.ServiceTime), ColdUs: encodeDuration(l.ColdFor),
		KeyRateMilli: uint64(max(0, l.KeyRate) * milliUnits), SlowdownMilli: uint64(max(0, l.Slowdown) * milliUnits),
		Current: l.OwnershipCurrent, MeasuredSlots: uint32(max(0, l.MeasuredSlots)),
	}
}

func decodeLoad(m *nodepb.Load) routed.Load {
	return routed.Load{
		Known: m.GetKnown(), Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()),
		ServiceTime: decodeDuration(m.GetServiceTimeUs()), ColdFor: decodeDuration(m.GetColdUs()),
		KeyRate: float64(m.GetKeyRateMilli()) / milliUnits, Slowdown: float64(m.GetSlowdownMilli()) / milliUnits,
		OwnershipCurrent: m.GetCurrent(), MeasuredSlots: int(m.GetMeasuredSlots()),
	}
}

func encodeDispatchAnswer(a routed.Answer) *nodepb.DispatchResponse {
	a = withinLimit(a)
	m := encodeDispatchAnswerBase(a)
	m.Instance, m.Header = a.Instance, encodeHeader(a.Header)
	return m
}

// withinLimit returns the answer, or one that states that the body is too large.
func withinLimit(a routed.Answer) routed.Answer {
	if len(a.Body) > maxAnswerBody {
		a.Outcome, a.Reason, a.Status, a.Header, a.Body = request.Unknown, request.AnswerTooLarge, 0, nil, nil
	}
	return a
}

// encodeDispatchAnswerBase encodes all but the fields that packed_header can replace.
func encodeDispatchAnswerBase(a routed.Answer) *nodepb.DispatchResponse {
	return &nodepb.DispatchResponse{
		Outcome: encodeOutcome(a.Outcome), Reason: string(a.Reason), RetryAfterUs: encodeDuration(a.RetryAfter),
		Status: uint32(a.Status), Body: a.Body, Offered: a.ReachedServer,
		Load: encodeLoad(a.Load), Revision: a.Revision, Owner: a.Owner, RangesEnd: a.RangesEnd, RangesEra: a.RangesEra,
	}
}

func decodeDispatchAnswer(m *nodepb.DispatchResponse) routed.Answer {
	a := decodeDispatchAnswerBase(m)
	a.Instance, a.Header = m.Instance, decodeHeader(m.Header)
	return a
}

func decodeDispatchAnswerBase(m *nodepb.DispatchResponse) routed.Answer {
	return routed.Answer{
		Outcome: decodeOutcome(m.Outcome), Reason: request.Reason(m.Reason), RetryAfter: decodeDuration(m.RetryAfterUs),
		Status: int(m.Status), Body: m.Body, ReachedServer: m.Offered,
		Load: decodeLoad(m.Load), Revision: m.Revision, Owner: m.Owner, RangesEnd: m.RangesEnd, RangesEra: m.RangesEra,
	}
}

// milliUnits scales rates and factors in messages, which are integers in thousandths.
const milliUnits = 1000

// encodeDuration returns d in microseconds, and 0 for negative durations.
func encodeDuration(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }

// decodeReading returns the reading of a clock. Machines may have run for years, so that maxDurationUs does not apply.
func decodeReading(us uint64) time.Duration {
	return time.Duration(min(us, uint64(math.MaxInt64/time.Microsecond))) * time.Microsecond
}

// maxDurationUs bounds decoded durations, so that a malformed message cannot cause an overflow.
const maxDurationUs = uint64(time.Hour / time.Microsecond)

// decodeDuration returns the duration of us microseconds, at most maxDurationUs.
func decodeDuration(us uint64) time.Duration {
	return time.Duration(min(us, maxDurationUs)) * time.Microsecond
}
