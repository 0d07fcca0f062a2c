package telemetry

import (
	"bytes"
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"heatherreel/internal/intake"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
	"heatherreel/internal/stream"
)

// newTestMetrics returns metrics in which each metric has at least one series. Values that contain "secret" must not
// appear in the output.
func newTestMetrics(t testing.TB) *Metrics {
	t.Helper()
	m, err := NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Shutdown(context.Background()) })
	m.SetServices([]string{"orders"})
	m.RecordRequest(Ingress, "orders", request.NotRun, request.QueueFull, 3*time.Millisecond)
	m.RecordRequest(Owner, "secret-service", request.Done, "", time.Millisecond)
	m.RecordRequest(Owner, "orders", request.Unknown, "secret reason", time.Millisecond)
	m.CountForwarded("orders")
	m.CountRetry("orders")
	m.CountAppend(AppendAccepted)
	m.CountClaimStep(ClaimWon)
	m.CountMovedSlices(In, 2)
	m.CountStoreAnswer(300, false)
	m.CountStoreAnswer(20, true)
	m.CountTopicRead(FromStore)
	m.CountTopicRead(FromNode)
	m.CountKeyCall(GrantKeys, keyhold.Accepted)
	m.CountRefusal(RefusedCall)
	m.SetMeasuredSlots(9)
	m.CountShed(intake.Memory)
	m.CountLargeBodyRefused(stream.Ingress)
	m.AddLargeBody(stream.Owner, 1)
	err = m.RegisterGauges(func() Snapshot {
		return Snapshot{Lease: LeaseOwning, LeaseLeft: 500 * time.Millisecond, LedgerOffset: 40, HighestOffset: 42,
			Pools:       []PoolDepth{{"ingress", 7}},
			Control:     []ControlBytes{{LeaseDatagrams, Out, 58}, {LogCalls, In, 1300}},
			OwnedSlices: []ServiceCount{{"orders", 4}, {"secret-a", 1}, {"secret-b", 2}}}
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// scrape returns the response body of /metrics.
func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

// Guards against wrong values, units and labels, and against label values outside of the fixed sets.
func TestScrape(t *testing.T) {
	text := scrape(t, newTestMetrics(t))
	for _, line := range []string{
		`heatherreel_requests_total{outcome="not-run",reason="queue_full",role="ingress",service="orders"} 1`,
		`heatherreel_requests_total{outcome="done",reason="",role="owner",service="other"} 1`,
		`heatherreel_requests_total{outcome="unknown",reason="other",role="owner",service="orders"} 1`,
		`heatherreel_request_duration_seconds_bucket{role="ingress",service="orders",le="0.003"} 1`,
		`heatherreel_control_bytes_total{direction="out",transport="lease_udp"} 58`,
		`heatherreel_control_bytes_total{direction="in",transport="log_http"} 1300`,
		`heatherreel_lease_left_seconds 0.5`,
		`heatherreel_ledger_lag_records 2`,
		`heatherreel_queue_depth{pool="ingress"} 7`,
		`heatherreel_store_received_bytes_total 320`,
		`heatherreel_store_discarded_bytes_total 20`,
		`heatherreel_owned_slices{service="other"} 3`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %s", line)
		}
	}
	if strings.Contains(text, "secret") {
		t.Error("a label value outside of the fixed sets reached the metrics")
	}
	if t.Failed() {
		t.Log(text)
	}
}

// Guards against a reason of package request that the metrics count as "other", because it is missing in reasons.
func TestReasonsAreComplete(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../request/request.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Reason" {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil || reasonOrOther(request.Reason(text)) == otherValue {
			t.Errorf("reason %q is missing in reasons (%v)", text, err)
		}
		found++
		return true
	})
	if found != len(reasons)-1 {
		t.Errorf("%d reasons in package request, %d in reasons", found, len(reasons)-1)
	}
}

// Guards against hops of one request that write different traces, a caller that turns sampling on, and private data in
// spans.
func TestSpansOfOneTrace(t *testing.T) {
	const callerTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	for _, c := range []struct {
		ratio float64
		spans int
	}{{1, 2}, {0, 0}} {
		path := filepath.Join(t.TempDir(), "spans")
		tracing, err := NewTracing(path, c.ratio, Identity{Instance: "i-1"})
		if err != nil {
			t.Fatal(err)
		}
		ctx, ingress := tracing.StartHop(context.Background(), callerTraceparent, HopIngress)
		_, owner := tracing.StartHop(context.Background(), tracing.Traceparent(ctx), HopOwner)
		owner.Slice(keyspace.SliceID{Group: keyspace.Group{Service: "orders"}, Index: 3})
		owner.Result(request.NotRun, "secret reason")
		owner.End()
		ingress.End()
		if err := tracing.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
		written, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if got := bytes.Count(written, []byte(`"SpanContext":{"TraceID":"0af7651916cd43dd8448eb211c80319c"`)); got != c.spans {
			t.Errorf("ratio %v: %d spans of the caller's trace, want %d: %s", c.ratio, got, c.spans, written)
		}
		if bytes.Contains(written, []byte("secret")) {
			t.Errorf("private text in spans: %s", written)
		}
	}
}

// Guards against a node without trace output that does not pass on the trace context of its callers.
func TestTraceContextPassesWithoutOutput(t *testing.T) {
	const callerTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	tracing, err := NewTracing(OutputNone, 1, Identity{})
	if err != nil {
		t.Fatal(err)
	}
	for given, want := range map[string]string{callerTraceparent: callerTraceparent, "": "", "00-zz": ""} {
		ctx, span := tracing.StartHop(context.Background(), given, HopIngress)
		if got := tracing.Traceparent(ctx); got != want {
			t.Errorf("traceparent %q became %q, want %q", given, got, want)
		}
		span.End()
	}
}

// BenchmarkRequest measures the cost of recording one request: a counter and a histogram.
func BenchmarkRequest(b *testing.B) {
	m := newTestMetrics(b)
	b.ReportAllocs()
	for b.Loop() {
		m.RecordRequest(Owner, "orders", request.Done, "", 3*time.Millisecond)
	}
}

// BenchmarkRequestParallel measures the cost of recording requests on all processors at once.
func BenchmarkRequestParallel(b *testing.B) {
	m := newTestMetrics(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.RecordRequest(Owner, "orders", request.Done, "", 3*time.Millisecond)
		}
	})
}

// BenchmarkHopUnsampled measures the cost of a hop that is not sampled, including reading and writing the trace
// context.
func BenchmarkHopUnsampled(b *testing.B) {
	tracing, err := newTracing(&bytes.Buffer{}, func() error { return nil }, 0, Identity{})
	if err != nil {
		b.Fatal(err)
	}
	for _, hop := range []Hop{HopIngress, HopOwner} {
		b.Run(string(hop), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ctx, span := tracing.StartHop(context.Background(), "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", hop)
				_ = tracing.Traceparent(ctx)
				span.End()
			}
		})
	}
}
