package node_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"heatherreel/internal/node"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/platform/header"
)

// headRouter records the requests that reach it and answers each with typical header fields.
type headRouter struct {
	echoRouter
	mu  sync.Mutex
	got []routed.Request
}

// Dispatch implements node.RouterService.
func (h *headRouter) Dispatch(_ context.Context, r routed.Request, _ node.DispatchProgress) routed.Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.got = append(h.got, r)
	return typicalAnswer(r.ID)
}

// Probe implements node.RouterService.
func (*headRouter) Probe(int64) (string, routed.Load) { return "inst-0007", routed.Load{} }

// requests returns the requests that have reached the router.
func (h *headRouter) requests() []routed.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.got)
}

func typicalRequest(id string) routed.Request {
	now := time.Now()
	return routed.Request{
		ID: id, Method: "POST", Host: "rase65.example", Path: "/orders/items/52174",
		Header: []routed.Field{
			{Name: "Accept", Value: "*/*"}, {Name: "Accept-Encoding", Value: "identity"}, {Name: "Content-Type", Value: "application/octet-stream"},
			{Name: "Heatherreel-Request-Id", Value: id}, {Name: "Heatherreel-Shard-Key", Value: "52174"}, {Name: "User-Agent", Value: "sdk-client/1.9.3"},
		},
		Deadline: now.Add(2 * time.Second), Objective: now.Add(300 * time.Millisecond), Keyed: true, Key: 52174,
		OriginService: "svc-abc", Service: "svc-xyz", Route: "rt-0042", Idempotent: true, Priority: 1, HomeRegions: []string{"eu-1"}, Revision: 43,
		Repetition: routed.RepeatedElsewhere,
	}
}

func typicalAnswer(id string) routed.Answer {
	return routed.Answer{
		Outcome: request.Done, Status: 200, ReachedServer: true, Instance: "inst-0007", Revision: 43,
		Header: []routed.Field{
			{Name: "Content-Type", Value: "application/octet-stream"}, {Name: "Heatherreel-Request-Id", Value: id},
			{Name: "Heatherreel-Response-Signature", Value: "43.10a.258.0.0df103854dfc272c"},
		},
		Load: routed.Load{Known: true, Running: 3, Slots: 8, MeasuredSlots: 8, ServiceTime: 23 * time.Millisecond, KeyRate: 12.5, Slowdown: 1.02, OwnershipCurrent: true},
	}
}

// usePackingClient replaces the client of a fixture by a new one that makes packed calls.
func usePackingClient(f *fixture) {
	f.client.Close()
	f.client = node.NewPackingClient(header.PackedTable)
}

func newHeadFixture(t testing.TB) (*fixture, *headRouter) {
	t.Helper()
	router := &headRouter{}
	server, err := node.NewPackingRouterServer(router, header.PackedTable)
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	usePackingClient(f)
	return f, router
}

// newOldFixture returns a fixture with a server as of the version before packed calls: it registers the calls of node.proto
// only, and its answers announce nothing.
func newOldFixture(t testing.TB) (*fixture, *oldRouter) {
	t.Helper()
	router := &oldRouter{}
	mux := drpcmux.New()
	requireNoError(t, nodepb.DRPCRegisterRouter(mux, router))
	options := drpcserver.Options{Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: 16 << 20}, Stream: drpcstream.Options{ManualFlush: true}}}
	server := drpcserver.NewWithOptions(mux, options)
	f := newFixtureFor(t, func(ctx context.Context, l net.Listener) error { return server.Serve(ctx, l) })
	usePackingClient(f)
	return f, router
}

// oldRouter serves Dispatch as nodes before packed calls do.
type oldRouter struct {
	nodepb.DRPCRouterUnimplementedServer
	mu  sync.Mutex
	got []*nodepb.DispatchRequest
}

// Dispatch implements nodepb.DRPCRouterServer.
func (o *oldRouter) Dispatch(m *nodepb.DispatchRequest, stream nodepb.DRPCRouter_DispatchStream) error {
	o.mu.Lock()
	o.got = append(o.got, m)
	o.mu.Unlock()
	return stream.Send(&nodepb.DispatchResponse{Outcome: nodepb.Outcome_OUTCOME_DONE, Status: 200, Header: []*nodepb.HeaderField{{Name: []byte("X-A"), Value: m.Id}}, Instance: "old"})
}

// requests returns the requests that have reached the router.
func (o *oldRouter) requests() []*nodepb.DispatchRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.got)
}

// sameHead reports whether the parts of a request that a packed head replaces are equal.
func sameHead(a, b routed.Request) bool {
	return a.ID == b.ID && a.Method == b.Method && a.Host == b.Host && a.Path == b.Path && slices.Equal(a.Header, b.Header) &&
		a.OriginService == b.OriginService && a.Service == b.Service && a.Route == b.Route && a.Tenant == b.Tenant && a.Traceparent == b.Traceparent &&
		slices.Equal(a.HomeRegions, b.HomeRegions) && a.Keyed == b.Keyed && a.Key == b.Key && bytes.Equal(a.Body, b.Body)
}

// Guards against a head that differs at the other node, with requests on one connection that refer to one another, and
// against a first request in a form that the other node may not know.
func TestHeadsArePackedOnceThePeerAcceptsThem(t *testing.T) {
	f, router := newHeadFixture(t)
	sent := []routed.Request{typicalRequest("r-1"), typicalRequest("r-2"), typicalRequest("r-3"), typicalRequest("r-4"), typicalRequest("r-5"), typicalRequest("r-6")}
	sent[2].Host, sent[2].Key, sent[2].Tenant, sent[2].Traceparent, sent[2].HomeRegions = "", 0, "acme", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", []string{"eu-1", "us-2"}
	sent[2].Header = []routed.Field{{Name: "x-lower", Value: notUTF8}, {Name: "User-Agent", Value: "a"}, {Name: "User-Agent", Value: "b"}, {Name: "x-lower", Value: ""}}
	sent[3].Keyed, sent[3].Key, sent[3].Body, sent[3].HomeRegions = false, 0, []byte("body"), []string{"eu-1", "us,2", ""}
	// More fields than a packed head may hold.
	sent[4].Header = slices.Repeat([]routed.Field{{Name: "X-Many", Value: "v"}}, 5000)
	sizes := make([]int, len(sent))
	for i, r := range sent {
		before, _ := f.relay.Traffic()
		answer, err := f.client.Dispatch(t.Context(), f.relay.Address(), r, nil)
		requireNoError(t, err)
		after, _ := f.relay.Traffic()
		sizes[i] = after.Bytes - before.Bytes
		if want := typicalAnswer(r.ID); answer.Instance != want.Instance || !slices.Equal(answer.Header, want.Header) || answer.Load != want.Load || answer.Status != want.Status {
			t.Errorf("request %d: answer %+v", i, answer)
		}
	}
	got := router.requests()
	if len(got) != len(sent) {
		t.Fatalf("%d requests arrived", len(got))
	}
	for i := range sent {
		if !sameHead(got[i], sent[i]) {
			t.Errorf("request %d arrived as %+v", i, got[i])
		}
	}
	if f.relay.Connections() != 1 || sizes[0] < 2*sizes[1] {
		t.Errorf("%d connections, requests of %d bytes; want one connection and a second request of less than half the first", f.relay.Connections(), sizes)
	}
}

// Guards against heads that grow again. The goals are those of docs/design/large-bodies-and-cross-region-load.md: 170 bytes
// of a request and 100 of an answer without their bodies, with all that drpc adds.
func TestSizeOfTypicalRequestAndAnswer(t *testing.T) {
	f, _ := newHeadFixture(t)
	var requests, answers [4]int
	for i := range requests {
		if i == 2 {
			// The first packed request of a connection can refer to no earlier one.
			usePackingClient(f)
			_, _, err := f.client.Probe(t.Context(), f.relay.Address(), 0)
			requireNoError(t, err)
		}
		to, from := f.relay.Traffic()
		_, err := f.client.Dispatch(t.Context(), f.relay.Address(), typicalRequest("r-0123456789"), nil)
		requireNoError(t, err)
		toAfter, fromAfter := f.relay.Traffic()
		requests[i], answers[i] = toAfter.Bytes-to.Bytes, fromAfter.Bytes-from.Bytes
	}
	t.Logf("old form, first packed on the connection, the same with the delay of a new connection, later: requests %d, answers %d", requests, answers)
	for i := 1; i < len(requests); i++ {
		// The time to open a connection, which its first request states, is no part of a typical request.
		if i != 2 && requests[i] >= 170 || answers[i] >= 100 {
			t.Errorf("request %d takes %d bytes and its answer %d, want less than 170 and 100", i, requests[i], answers[i])
		}
	}
}

// Guards against packed calls to a node that has never shown that it accepts them.
func TestOldPeerGetsOldForm(t *testing.T) {
	f, router := newOldFixture(t)
	for range 3 {
		answer, err := f.client.Dispatch(t.Context(), f.relay.Address(), typicalRequest("r-1"), nil)
		requireNoError(t, err)
		if answer.Instance != "old" || len(answer.Header) != 1 || answer.Header[0].Value != "r-1" {
			t.Errorf("answer %+v", answer)
		}
	}
	for _, m := range router.requests() {
		if string(m.Id) != "r-1" || len(m.Header) != 6 || m.PackedHeader != nil || m.Clock == 0 {
			t.Errorf("the old node got %v", m)
		}
	}
}

// Guards against a request that is lost or runs twice when a node is replaced by an earlier version at the same address, and
// against further packed calls to it.
func TestPeerReplacedByOldVersion(t *testing.T) {
	for name, size := range map[string]int{"small": 10, "longer than a buffer": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			f, router := newOldFixture(t)
			f.client.RecordPacking(f.relay.Address())
			r := typicalRequest("r-1")
			r.Idempotent, r.Repetition = false, routed.NotRepeated
			r.Body = make([]byte, size)
			for range 3 {
				answer, err := f.client.Dispatch(t.Context(), f.relay.Address(), r, nil)
				requireNoError(t, err)
				if answer.Instance != "old" {
					t.Errorf("answer %+v", answer)
				}
			}
			if got := router.requests(); len(got) != 3 || len(got[0].Body) != size || string(got[0].Id) != "r-1" {
				t.Errorf("%d requests ran", len(got))
			}
			// One connection for the packed call, one for the others.
			if n := f.relay.Connections(); n > 2 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// Guards against a sender of an earlier version, or one that does not know this node yet, that gets an answer it cannot read.
func TestOldSenderGetsOldForm(t *testing.T) {
	f, _ := newHeadFixture(t)
	conn := dialOld(t, f.relay.Address())
	stream, err := nodepb.NewDRPCRouterClient(conn).Dispatch(t.Context(), &nodepb.DispatchRequest{Id: []byte("r-1"), DeadlineUs: 1_000_000})
	requireNoError(t, err)
	m, err := stream.Recv()
	requireNoError(t, err)
	if m.PackedHeader != nil || len(m.Header) != 3 || m.Instance != "inst-0007" || !m.AcceptsPacked {
		t.Errorf("answer %v", m)
	}
}

// Guards against a malformed head that ends the process, or runs as another request.
func TestMalformedPackedHeadIsRefused(t *testing.T) {
	f, router := newHeadFixture(t)
	for _, head := range [][]byte{{0xff}, {0}, bytes.Repeat([]byte{0x12}, 12), bytes.Repeat([]byte{0xff}, 2000)} {
		conn := dialOld(t, f.relay.Address())
		stream, err := nodepb.NewDRPCRouterClient(node.PackedConn(conn)).Dispatch(t.Context(), &nodepb.DispatchRequest{PackedHeader: head, DeadlineUs: 1_000_000})
		requireNoError(t, err)
		if m, err := stream.Recv(); err == nil || !strings.Contains(err.Error(), string(problem.Malformed)) {
			t.Errorf("head %x: answer %v, error %v", head, m, err)
		}
	}
	if n := len(router.requests()); n != 0 {
		t.Errorf("%d requests ran", n)
	}
}

// Guards against an answer with a malformed head that is delivered.
func TestMalformedPackedAnswerIsAnError(t *testing.T) {
	r := typicalRequest("r-1")
	for _, head := range [][]byte{{0xff}, {0}, {0x12, 0}} {
		if a, err := node.DecodePackedAnswer(&nodepb.DispatchResponse{Status: 200, PackedHeader: head}, &r); !errors.Is(err, problem.Malformed) {
			t.Errorf("head %x: answer %+v, error %v", head, a, err)
		}
	}
}

// dialOld returns a connection without the client's rules.
func dialOld(t testing.TB, address string) *drpcconn.Conn {
	t.Helper()
	transport, err := net.Dial("tcp", address)
	requireNoError(t, err)
	conn := drpcconn.New(transport)
	t.Cleanup(func() { conn.Close() })
	return conn
}
