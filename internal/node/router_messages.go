package node

import (
	"context"
	"time"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Times of the router's calls.
const (
	// dispatchProgress is the interval of progress reports; most requests end before the first.
	dispatchProgress = 250 * time.Millisecond
	// dispatchSilence is the longest silence of a connection while a request is in progress: two reports and a pause.
	dispatchSilence = 700 * time.Millisecond
)

// RouterService is what a node offers to others for the requests of routes. Its methods may block until ctx ends.
type RouterService interface {
	// Dispatch runs the request at the backend server beside the node. It reports progress while it waits.
	Dispatch(ctx context.Context, r routed.Request, p DispatchProgress) routed.Answer
	// Probe returns the name of the instance and its load.
	// rangesEnd is the end of the ownership records that the asking node knows.
	Probe(rangesEnd int64) (instance string, load routed.Load)
	// StoreCall makes a call of the platform's store for another node. Errors are those of registry.Store.
	StoreCall(ctx context.Context, c registry.Call) (registry.Page, error)
}

// DispatchProgress tells the sender of a request at intervals that it is in progress. The zero value tells nothing.
type DispatchProgress struct {
	Interval time.Duration
	Report   func()
}

// encodeFields returns header fields as a message.
func encodeFields(fields []routed.Field) []*nodepb.HeaderField {
	encoded := make([]*nodepb.HeaderField, len(fields))
	for i, f := range fields {
		encoded[i] = &nodepb.HeaderField{Name: f.Name, Value: f.Value}
	}
	return encoded
}

func decodeFields(fields []*nodepb.HeaderField) []routed.Field {
	decoded := make([]routed.Field, len(fields))
	for i, f := range fields {
		decoded[i] = routed.Field{Name: f.GetName(), Value: f.GetValue()}
	}
	return decoded
}

func encodeDispatch(r routed.Request, now time.Time) *nodepb.DispatchRequest {
	return &nodepb.DispatchRequest{
		Id: r.ID, Method: r.Method, Host: r.Host, Path: r.Path, Header: encodeFields(r.Header), Body: r.Body,
		DeadlineUs: microseconds(r.Deadline.Sub(now)), Keyed: r.Keyed, Key: uint32(r.Key),
		OriginService: r.OriginService, Service: r.Service, Idempotent: r.Idempotent, Priority: uint32(r.Priority),
		HomeRegions: r.HomeRegions, Revision: r.Revision, ObjectiveUs: encodeObjective(r.Objective, now), MayDivert: r.MayDivert, Route: r.Route, Traceparent: r.Traceparent,
	}
}

// encodeObjective returns the time until an objective, 0 for none.
func encodeObjective(objective, now time.Time) int64 {
	if objective.IsZero() {
		return 0
	}
	if us := objective.Sub(now).Microseconds(); us != 0 {
		return us
	}
	return -1
}

// decodeObjective returns the objective that lies us microseconds from now; zero for none.
func decodeObjective(us int64, now time.Time) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(min(max(us, -int64(maxMicroseconds)), int64(maxMicroseconds))) * time.Microsecond)
}

func decodeDispatch(m *nodepb.DispatchRequest, now time.Time) routed.Request {
	return routed.Request{
		ID: m.Id, Method: m.Method, Host: m.Host, Path: m.Path, Header: decodeFields(m.Header), Body: m.Body,
		Deadline: now.Add(duration(m.DeadlineUs)), Keyed: m.Keyed, Key: uint16(m.Key),
		OriginService: m.OriginService, Service: m.Service, Idempotent: m.Idempotent, Priority: int(m.Priority),
		HomeRegions: m.HomeRegions, Revision: m.Revision, Objective: decodeObjective(m.ObjectiveUs, now), MayDivert: m.MayDivert, Route: m.Route, Traceparent: m.Traceparent,
	}
}

func encodeLoad(l routed.Load) *nodepb.Load {
	return &nodepb.Load{
		Known: l.Known, Running: uint32(max(0, l.Running)), Waiting: uint32(max(0, l.Waiting)),
		Slots: uint32(max(0, l.Slots)), ServiceTimeUs: microseconds(l.ServiceTime), ColdUs: microseconds(l.ColdFor),
		KeyRateMilli: uint64(max(0, l.KeyRate) * ratesPerUnit), SlowdownMilli: uint64(max(0, l.Slowdown) * ratesPerUnit),
		Current: l.Current,
	}
}

func decodeLoad(m *nodepb.Load) routed.Load {
	return routed.Load{
		Known: m.GetKnown(), Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()),
		ServiceTime: duration(m.GetServiceTimeUs()), ColdFor: duration(m.GetColdUs()),
		KeyRate: float64(m.GetKeyRateMilli()) / ratesPerUnit, Slowdown: float64(m.GetSlowdownMilli()) / ratesPerUnit,
		Current: m.GetCurrent(),
	}
}

func encodeDispatchAnswer(a routed.Answer) *nodepb.DispatchResponse {
	return &nodepb.DispatchResponse{
		Outcome: encodeOutcome(a.Outcome), Reason: string(a.Reason), RetryAfterUs: microseconds(a.RetryAfter),
		Status: uint32(a.Status), Header: encodeFields(a.Header), Body: a.Body, Offered: a.Offered,
		Instance: a.Instance, Load: encodeLoad(a.Load), Revision: a.Revision, Owner: a.Owner,
	}
}

func decodeDispatchAnswer(m *nodepb.DispatchResponse) routed.Answer {
	return routed.Answer{
		Outcome: decodeOutcome(m.Outcome), Reason: request.Reason(m.Reason), RetryAfter: duration(m.RetryAfterUs),
		Status: int(m.Status), Header: decodeFields(m.Header), Body: m.Body, Offered: m.Offered,
		Instance: m.Instance, Load: decodeLoad(m.Load), Revision: m.Revision, Owner: m.Owner,
	}
}

// ratesPerUnit is the resolution of rates and factors in messages.
const ratesPerUnit = 1000

// microseconds returns d for a message; negative times count as none.
func microseconds(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }

// maxMicroseconds bounds decoded durations, so that a corrupt message cannot overflow one.
const maxMicroseconds = uint64(time.Hour / time.Microsecond)

func duration(us uint64) time.Duration {
	return time.Duration(min(us, maxMicroseconds)) * time.Microsecond
}
