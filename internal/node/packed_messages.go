package node

import (
	"strconv"
	"strings"
	"time"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/routed"
	"heatherreel/internal/wirefields"
)

// Sizes of packed heads for which memory is reserved at first. A typical head takes 60 to 120 bytes in a request, and 30 in
// an answer.
const (
	packedRequestSize = 160
	packedAnswerSize  = 64
)

// packedState is what one end of a connection keeps between packed calls of Dispatch. Both ends keep the same, as the calls
// of a connection follow one another and a call that fails ends the connection at the sender.
type packedState struct {
	// clock is the clock of the sender of requests; 0 until it has been sent.
	clock uint64
	// requests and answers are the recent texts of either direction.
	requests, answers wirefields.Recent
}

// keyText returns the key of a request as it is in header fields, or an empty string without a key.
func keyText(keyed bool, key uint16) string {
	if !keyed {
		return ""
	}
	return strconv.Itoa(int(key))
}

// encodePackedDispatch encodes a request for a packed call, after which the connection has the second result as its state.
func encodePackedDispatch(table *wirefields.Table, r routed.Request, now time.Time, t sendTimes, state packedState) (*nodepb.DispatchRequest, packedState) {
	m := encodeDispatchBase(r, now, t)
	switch {
	case t.clock == 0:
		// A reading without a clock states nothing, and would stand for a reading of the clock before.
		m.SentUs = 0
	case t.clock == state.clock && m.SentUs != 0:
		m.Clock = 0
	}
	state.clock = t.clock
	w := table.NewWriter(packedRequestSize, wirefields.Known{Key: keyText(r.Keyed, r.Key), Recent: state.requests})
	w.Text(r.ID)
	w.Known.ID = r.ID
	w.Text(r.Method)
	w.Slot(wirefields.RecentHost, r.Host)
	w.Text(r.Path)
	w.Slot(wirefields.RecentOriginService, r.OriginService)
	w.Slot(wirefields.RecentService, r.Service)
	w.Slot(wirefields.RecentRoute, r.Route)
	regions, listed := joinRegions(r.HomeRegions)
	w.Slot(wirefields.RecentRegions, regions)
	w.Fields(r.Header)
	if r.Tenant != "" || r.Traceparent != "" {
		w.Text(r.Tenant)
		w.Text(r.Traceparent)
	}
	packed, ok := w.Bytes()
	if !ok {
		setDispatchHead(m, r)
		return m, state
	}
	if listed {
		m.HomeRegions = nil
	}
	m.Keyed = r.Keyed && r.Key == 0
	if !r.Keyed {
		m.Key = 0
	}
	m.PackedHeader, state.requests = packed, w.Recent()
	return m, state
}

// joinRegions returns the regions separated by commas. It returns false if that list would not be split into them again.
func joinRegions(regions []string) (string, bool) {
	for _, r := range regions {
		if r == "" || strings.Contains(r, ",") {
			return "", false
		}
	}
	return strings.Join(regions, ","), true
}

// packedClock returns the clock of the sender of a packed call, and keeps it.
func (s *packedState) packedClock(m *nodepb.DispatchRequest) uint64 {
	if m.Clock != 0 || m.SentUs == 0 {
		s.clock = m.Clock
	}
	return s.clock
}

// decodePackedDispatch decodes the request of a packed call as decodeDispatch does. The error is problem.Malformed.
func decodePackedDispatch(table *wirefields.Table, m *nodepb.DispatchRequest, now time.Time, delay time.Duration, state *packedState) (routed.Request, error) {
	if len(m.PackedHeader) == 0 {
		return decodeDispatch(m, now, delay), nil
	}
	r := decodeDispatchBase(m, now, delay)
	r.Keyed = m.Keyed || m.Key != 0
	p := table.NewReader(m.PackedHeader, wirefields.Known{Key: keyText(r.Keyed, r.Key), Recent: state.requests})
	r.ID = p.Text()
	p.Known.ID = r.ID
	r.Method = p.Text()
	r.Host = p.Slot(wirefields.RecentHost)
	r.Path = p.Text()
	r.OriginService = p.Slot(wirefields.RecentOriginService)
	r.Service = p.Slot(wirefields.RecentService)
	r.Route = p.Slot(wirefields.RecentRoute)
	if regions := p.Slot(wirefields.RecentRegions); regions != "" {
		r.HomeRegions = strings.Split(regions, ",")
	}
	r.Header = p.Fields()
	if p.More() {
		// Quotas keep the names of tenants, which must not keep the rest of the head in memory.
		r.Tenant = strings.Clone(p.Text())
		r.Traceparent = p.Text()
	}
	if err := p.Close(); err != nil {
		return routed.Request{}, err
	}
	state.requests = p.Recent()
	return r, nil
}

// encodePackedAnswer encodes the answer to a packed call for the request r.
func encodePackedAnswer(table *wirefields.Table, a routed.Answer, r *routed.Request, state *packedState) *nodepb.DispatchResponse {
	a = withinLimit(a)
	m := encodeDispatchAnswerBase(a)
	w := table.NewWriter(packedAnswerSize, knownInAnswer(r, state))
	w.Slot(wirefields.RecentInstance, a.Instance)
	w.Fields(a.Header)
	packed, ok := w.Bytes()
	if !ok {
		m.Instance, m.Header = a.Instance, encodeHeader(a.Header)
		return m
	}
	m.PackedHeader, state.answers = packed, w.Recent()
	return m
}

// decodePackedAnswer decodes the answer to a packed call for the request r. The error is problem.Malformed.
func decodePackedAnswer(table *wirefields.Table, m *nodepb.DispatchResponse, r *routed.Request, state *packedState) (routed.Answer, error) {
	if len(m.PackedHeader) == 0 {
		return decodeDispatchAnswer(m), nil
	}
	a := decodeDispatchAnswerBase(m)
	p := table.NewReader(m.PackedHeader, knownInAnswer(r, state))
	a.Instance = p.Slot(wirefields.RecentInstance)
	a.Header = p.Fields()
	if err := p.Close(); err != nil {
		return routed.Answer{}, err
	}
	state.answers = p.Recent()
	return a, nil
}

func knownInAnswer(r *routed.Request, state *packedState) wirefields.Known {
	return wirefields.Known{ID: r.ID, Key: keyText(r.Keyed, r.Key), Recent: state.answers}
}
