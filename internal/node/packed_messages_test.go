package node

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/platform/header"
)

var someTexts = rapid.OneOf(
	rapid.SampledFrom([]string{"", "a", "eu-1", "52174", "svc-abc", "host.example", "0df103854dfc272c", "GET", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}),
	rapid.StringMatching(`[ -~]{0,80}`))

func drawFields(t *rapid.T) []routed.Field {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) routed.Field {
		name := rapid.SampledFrom([]string{"User-Agent", "Heatherreel-Request-Id", "Heatherreel-Shard-Key", "Accept", "accept", "X-Other"}).Draw(t, "name")
		return routed.Field{Name: name, Value: someTexts.Draw(t, "value")}
	}), 0, 8).Draw(t, "fields")
}

// drawRequest draws a request without a key that is not marked as one, as only packed calls drop such a key.
func drawRequest(t *rapid.T, now time.Time) routed.Request {
	text := func(name string) string { return someTexts.Draw(t, name) }
	r := routed.Request{
		ID: text("id"), Method: text("method"), Host: text("host"), Path: text("path"), Header: drawFields(t), Body: []byte(text("body")),
		Deadline: now.Add(time.Second), OriginService: text("origin"), Service: text("service"), Route: text("route"), Tenant: text("tenant"),
		Traceparent: text("traceparent"), Idempotent: rapid.Bool().Draw(t, "idempotent"), HomeRegions: rapid.SliceOfN(someTexts, 0, 3).Draw(t, "regions"),
		Keyed: rapid.Bool().Draw(t, "keyed"), Revision: 7, MayDivert: true,
	}
	if r.Keyed {
		r.Key = rapid.SampledFrom([]uint16{0, 5, 52174, 65535}).Draw(t, "key")
	}
	return r
}

// wire returns the message to after it was decoded from the encoding of from.
func wire[M proto.Message](t *rapid.T, from, to M) M {
	to, err := overWire(from, to)
	if err != nil {
		t.Fatal(err)
	}
	return to
}

// Guards against a packed call that differs from the same call in the old form, or that is taken to come from another clock,
// after any earlier calls on the connection.
func TestPackedCallsEqualOldForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sender, receiver packedState
		now := time.UnixMilli(1_700_000_000_000)
		for range rapid.IntRange(1, 5).Draw(t, "calls") {
			r := drawRequest(t, now)
			times := sendTimes{clock: rapid.SampledFrom([]uint64{0, 1, 1 << 63}).Draw(t, "clock"), sent: rapid.SampledFrom([]time.Duration{0, time.Hour}).Draw(t, "sent")}
			m, next := encodePackedDispatch(header.PackedTable, r, now, times, sender)
			sender = next
			m = wire(t, m, &nodepb.DispatchRequest{})
			if clock := receiver.packedClock(m); clock != times.clock {
				t.Fatalf("clock %d was sent, %d received", times.clock, clock)
			}
			got, err := decodePackedDispatch(header.PackedTable, m, now, 0, &receiver)
			want := decodeDispatch(wire(t, encodeDispatch(r, now, times), &nodepb.DispatchRequest{}), now, 0)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("packed %+v, old form %+v, error %v", got, want, err)
			}
			a := routed.Answer{Outcome: request.Done, Status: 200, Header: drawFields(t), Instance: someTexts.Draw(t, "instance"), Owner: "o", Body: []byte("b")}
			answer, err := decodePackedAnswer(header.PackedTable, wire(t, encodePackedAnswer(header.PackedTable, a, &got, &receiver), &nodepb.DispatchResponse{}), &r, &sender)
			wantAnswer := decodeDispatchAnswer(wire(t, encodeDispatchAnswer(a), &nodepb.DispatchResponse{}))
			if err != nil || !reflect.DeepEqual(answer, wantAnswer) {
				t.Fatalf("packed %+v, old form %+v, error %v", answer, wantAnswer, err)
			}
			if sender != receiver {
				t.Fatalf("the sender keeps %+v, the receiver %+v", sender, receiver)
			}
		}
	})
}

// Guards against a table of peers that grows with each address that a node has ever had.
func TestPackingPeersAreBounded(t *testing.T) {
	var p packingPeers
	for i := range 3 * maxPackingPeers {
		p.record(time.Duration(i).String(), true)
	}
	last := time.Duration(3*maxPackingPeers - 1).String()
	if n := len(p.addresses); n > maxPackingPeers || !p.accepts(last) {
		t.Errorf("%d addresses are kept, the last one: %v", n, p.accepts(last))
	}
	if p.record(last, false); p.accepts(last) {
		t.Error("the address of a node of an earlier version is kept")
	}
}
