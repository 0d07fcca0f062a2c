package telemetry

import (
	"context"
	"io"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// Hop is one step of a request's path. Each has a span.
type Hop string

// Hops in the order of a forwarded request.
const (
	// HopIngress is the work of the node that received the request.
	HopIngress Hop = "ingress"
	// HopForward is one attempt sent to another node.
	HopForward Hop = "forward"
	// HopOwner is the work of the owner.
	HopOwner Hop = "owner"
	// HopBackend is the call of the backend server.
	HopBackend Hop = "backend"
)

// Outputs of spans other than the path of a file.
const (
	OutputNone   = "none"
	OutputStderr = "stderr"
)

// traceFileMode lets only the owner write span files and only its group read them.
const traceFileMode = 0o640

// traceparentHeader is the carrier field of the W3C trace context.
const traceparentHeader = "traceparent"

// Identity names the node in its spans.
type Identity struct {
	Instance   string
	DataCentre string
	Region     string
}

// Tracing starts spans. It is safe for concurrent use.
type Tracing struct {
	tracer     trace.Tracer
	propagator propagation.TraceContext
	shutdown   func(context.Context) error
}

// NewTracing returns tracing to output, which is OutputNone, OutputStderr or the path of a file that is appended to.
// ratio is the share of requests whose spans are written. With OutputNone the trace context of callers still passes
// through unchanged.
func NewTracing(output string, ratio float64, node Identity) (*Tracing, error) {
	switch output {
	case OutputNone:
		none := func(context.Context) error { return nil }
		return &Tracing{tracer: noop.NewTracerProvider().Tracer(meterName), shutdown: none}, nil
	case OutputStderr:
		return newTracing(os.Stderr, func() error { return nil }, ratio, node)
	default:
		file, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
		if err != nil {
			return nil, problem.New(problem.Invalid, "set --trace-output to a file that the node may write",
				"the trace output cannot be opened: %w", err)
		}
		return newTracing(file, file.Close, ratio, node)
	}
}

// newTracing returns tracing to out, which is closed after the last span.
func newTracing(out io.Writer, closeOut func() error, ratio float64, node Identity) (*Tracing, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, err
	}
	identity := resource.NewSchemaless(attribute.String("service.name", "heatherreeld"),
		attribute.String("instance", node.Instance), attribute.String("data_centre", node.DataCentre),
		attribute.String("region", node.Region))
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(identity),
		sdktrace.WithSampler(newSampler(ratio)))
	shutdown := func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if closeErr := closeOut(); err == nil {
			err = closeErr
		}
		return err
	}
	return &Tracing{tracer: provider.Tracer(meterName), shutdown: shutdown}, nil
}

// sampler decides by ratio at the ingress node and follows that decision at later hops.
type sampler struct {
	ratio  sdktrace.Sampler
	follow sdktrace.Sampler
}

// newSampler returns a sampler for the share of traces.
func newSampler(ratio float64) sampler {
	return sampler{ratio: sdktrace.TraceIDRatioBased(ratio), follow: sdktrace.ParentBased(sdktrace.NeverSample())}
}

// ShouldSample ignores the caller's sampling flag at the ingress, so that callers cannot raise the cost of tracing.
func (s sampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	if p.Name == string(HopIngress) {
		return s.ratio.ShouldSample(p)
	}
	return s.follow.ShouldSample(p)
}

// Description names the sampler in the SDK's diagnostics.
func (s sampler) Description() string { return "ingress{" + s.ratio.Description() + "}" }

// StartHop starts the span of a hop. traceparent is the W3C trace context of the message that arrived, or empty to
// continue the trace in ctx. A malformed one starts a new trace. Hops after an ingress that did not sample create no
// span, which saves most of the cost of tracing; the trace context passes through.
func (t *Tracing) StartHop(ctx context.Context, traceparent string, hop Hop) (context.Context, Span) {
	if traceparent != "" {
		ctx = t.propagator.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
	}
	if hop != HopIngress && !trace.SpanContextFromContext(ctx).IsSampled() {
		return ctx, Span{span: noop.Span{}}
	}
	ctx, span := t.tracer.Start(ctx, string(hop))
	return ctx, Span{span: span}
}

// Traceparent returns the W3C trace context to send with a message, or empty if ctx has none.
func (t *Tracing) Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	t.propagator.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// Shutdown writes the remaining spans.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// Span is the span of one hop. It takes no attributes but these, so that no key, body, tenant or request id is
// written.
type Span struct {
	span trace.Span
}

// Slice records the service and the range of key hashes that the request falls in.
func (s Span) Slice(id keyspace.SliceID) {
	if !s.span.IsRecording() {
		return
	}
	s.span.SetAttributes(attribute.String(labelService, id.Service), attribute.String("home", string(id.Home)),
		attribute.Int64("slice", int64(id.Index)))
}

// Result records how the hop ended.
func (s Span) Result(outcome request.Outcome, reason request.Reason) {
	if !s.span.IsRecording() {
		return
	}
	s.span.SetAttributes(attribute.String(labelOutcome, outcome.String()),
		attribute.String(labelReason, string(closedReason(reason))))
}

// End ends the span.
func (s Span) End() { s.span.End() }
