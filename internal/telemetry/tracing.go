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

// Hop is one step on the path of a request. Each hop has one span.
type Hop string

// Hops in the order of a forwarded request.
const (
	// HopIngress is the work of the node that received the request from its caller.
	HopIngress Hop = "ingress"
	// HopForward is one attempt that is sent to another node.
	HopForward Hop = "forward"
	// HopOwner is the work of the node that owns the key.
	HopOwner Hop = "owner"
	// HopBackend is the call to the backend server.
	HopBackend Hop = "backend"
)

// Values of the trace output setting that are not the path of a file.
const (
	OutputNone   = "none"
	OutputStderr = "stderr"
)

// traceFileMode lets only the owner write span files, and only the owner and its group read them.
const traceFileMode = 0o640

// traceparentHeader is the name of the W3C trace context in the carrier of the propagator.
const traceparentHeader = "traceparent"

// Identity identifies the node in its spans.
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

// NewTracing returns a Tracing that writes spans to output, which is OutputNone, OutputStderr or the path of a file to
// append to. ratio is the share of requests whose spans are written. With OutputNone the trace context of callers is
// still passed on unchanged.
func NewTracing(output string, ratio float64, node Identity) (*Tracing, error) {
	switch output {
	case OutputNone:
		noShutdown := func(context.Context) error { return nil }
		return &Tracing{tracer: noop.NewTracerProvider().Tracer(meterName), shutdown: noShutdown}, nil
	case OutputStderr:
		return newTracing(os.Stderr, func() error { return nil }, ratio, node)
	default:
		file, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
		if err != nil {
			return nil, problem.New(problem.Invalid, "set --trace-output or trace_output to a file that the node may write",
				"cannot open the trace output: %w", err)
		}
		return newTracing(file, file.Close, ratio, node)
	}
}

// newTracing returns a Tracing that writes spans to out. Shutdown calls closeOut after the last span.
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

// sampler decides by ratio at the ingress hop. Later hops follow that decision.
type sampler struct {
	ratio       sdktrace.Sampler
	parentBased sdktrace.Sampler
}

// newSampler returns a sampler that samples the given share of traces.
func newSampler(ratio float64) sampler {
	return sampler{ratio: sdktrace.TraceIDRatioBased(ratio), parentBased: sdktrace.ParentBased(sdktrace.NeverSample())}
}

// ShouldSample ignores the sampling flag of the caller at the ingress hop, so that callers cannot raise the cost of
// tracing.
func (s sampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	if p.Name == string(HopIngress) {
		return s.ratio.ShouldSample(p)
	}
	return s.parentBased.ShouldSample(p)
}

// Description returns the name of the sampler in the diagnostics of the SDK.
func (s sampler) Description() string { return "ingress{" + s.ratio.Description() + "}" }

// StartHop starts the span of a hop. traceparent is the W3C trace context of the received message, or empty to continue
// the trace in ctx; a malformed one starts a new trace. If the ingress hop was not sampled, later hops create no span,
// which saves most of the cost of tracing; the trace context is still passed on.
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

// Traceparent returns the W3C trace context to send with a message, or an empty string if ctx has none.
func (t *Tracing) Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	t.propagator.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// Shutdown writes the remaining spans and closes the output.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// Span is the span of one hop. It accepts only the attributes of its methods, so that no key, body, tenant or request
// id is written.
type Span struct {
	span trace.Span
}

// Slice records the service, the home regions and the index of the slice that holds the key of the request.
func (s Span) Slice(id keyspace.SliceID) {
	if !s.span.IsRecording() {
		return
	}
	s.span.SetAttributes(attribute.String(labelService, id.Service), attribute.String("home", string(id.Home)),
		attribute.Int64("slice", int64(id.Index)))
}

// Result records the outcome and the reason of the hop.
func (s Span) Result(outcome request.Outcome, reason request.Reason) {
	if !s.span.IsRecording() {
		return
	}
	s.span.SetAttributes(attribute.String(labelOutcome, outcome.String()),
		attribute.String(labelReason, string(reasonOrOther(reason))))
}

// End ends the span.
func (s Span) End() { s.span.End() }
