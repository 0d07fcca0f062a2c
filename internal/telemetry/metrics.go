// Package telemetry records metrics and spans through OpenTelemetry.
//
// Label values and span attributes come from fixed sets: the services of the configuration, outcomes, reasons and the
// constants of this package. Keys, bodies, tenants and request ids can therefore not be recorded.
package telemetry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/exemplar"

	"heatherreel/internal/intake"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/request"
	"heatherreel/internal/stream"
)

// meterName is the name of the instrumentation scope; namespace is the prefix of all metric names.
const (
	meterName = "heatherreel"
	namespace = "heatherreel"
)

// durationBounds are the bucket bounds of request durations in seconds. They are dense around 9 ms, the required 99th
// percentile of request durations.
var durationBounds = []float64{0.0005, 0.001, 0.002, 0.003, 0.005, 0.007, 0.009, 0.012, 0.016, 0.025, 0.05, 0.1,
	0.25, 0.5, 1, 2.5, 5, 10}

// Metrics records the metrics of one node. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
	meter    metric.Meter

	requests, forwarded, retries  metric.Int64Counter
	duration                      metric.Float64Histogram
	appends, claims, moves        metric.Int64Counter
	storeReceived, storeDiscarded metric.Int64Counter
	topicReads, keyCalls, shed    metric.Int64Counter
	refusals                      metric.Int64Counter
	largeBodiesRefused            metric.Int64Counter
	largeBodies                   metric.Int64UpDownCounter
	measuredSlots                 metric.Int64Gauge

	// services is replaced, never modified, by SetServices.
	services atomic.Pointer[serviceTable]

	appendOptions [appendOutcomeCount][]metric.AddOption
	claimOptions  [claimStepCount][]metric.AddOption
	moveOptions   [directionCount][]metric.AddOption
	causeOptions  [refusalCauseCount][]metric.AddOption
	readOptions   [readSourceCount][]metric.AddOption
	keyOptions    [keyOperationCount][keyhold.ResultCount][]metric.AddOption
	streamOptions [stream.RoleCount][]metric.AddOption
	shedOptions   [intake.KindCount][]metric.AddOption
}

// NewMetrics returns metrics with their own registry.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo(),
		otelprometheus.WithoutTargetInfo(), otelprometheus.WithNamespace(namespace))
	if err != nil {
		return nil, err
	}
	// The fixed sets of label values limit the number of series. The default limit of the SDK, 2000 series per metric,
	// would merge series if the configuration has many services. Exemplars would add trace ids to the metrics, at a
	// cost for each request.
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter), sdkmetric.WithCardinalityLimit(0),
		sdkmetric.WithExemplarFilter(exemplar.AlwaysOffFilter))
	m := &Metrics{registry: registry, provider: provider, meter: provider.Meter(meterName)}
	if err := m.createInstruments(); err != nil {
		return nil, err
	}
	m.buildOptions()
	m.SetServices(nil)
	return m, nil
}

// createInstruments creates the counters and the histogram. RegisterGauges creates the observed instruments.
func (m *Metrics) createInstruments() error {
	counters := []struct {
		instrument *metric.Int64Counter
		name, text string
	}{
		{&m.requests, "requests", "Answered requests by what the caller learned."},
		{&m.forwarded, "forwarded_requests", "Attempts sent to another node."},
		{&m.retries, "retries", "Attempts after the first of the same request."},
		{&m.appends, "log_appends", "Appends to the log by outcome."},
		{&m.claims, "claims", "Claims of this node against other incarnations by step."},
		{&m.moves, "moved_slices", "Slices that moved to this node (in) or away from it (out)."},
		{&m.storeReceived, "store_received_bytes", "Bytes of answers of the platform store that arrived, with those of calls that failed."},
		{&m.topicReads, "topic_reads", "Completed reads of the topics of the platform store, by source: the store, or a node of the region that had read the records."},
		{&m.keyCalls, "key_calls", "Calls to the backend server that grant or release keys, by result."},
		{&m.refusals, "refusals", "Requests that did not get a slot of the backend server, by cause."},
		{&m.largeBodiesRefused, "large_bodies_refused", "Request bodies over 8 MiB that were refused because as many were streamed as may be, by role of the node."},
		{&m.shed, "shed_clients", "Connections and requests of clients that were refused or given up, by the kind of the limit."},
		{&m.storeDiscarded, "store_discarded_bytes", "Bytes of answers of the platform store that arrived and were discarded, because the call failed before its answer was complete."},
	}
	for _, c := range counters {
		var err error
		*c.instrument, err = m.meter.Int64Counter(c.name, metric.WithDescription(c.text))
		if err != nil {
			return err
		}
	}
	var err error
	m.measuredSlots, err = m.meter.Int64Gauge("measured_slots",
		metric.WithDescription("Concurrency up to which the backend server is measured to keep its speed."))
	if err != nil {
		return err
	}
	m.largeBodies, err = m.meter.Int64UpDownCounter("large_bodies",
		metric.WithDescription("Request bodies over 8 MiB that are being streamed, by role of the node."))
	if err != nil {
		return err
	}
	m.duration, err = m.meter.Float64Histogram("request_duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the decoded request to its answer."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	return err
}

// buildOptions builds in advance the options for all label values that do not depend on the configuration, so that
// recording does not allocate.
func (m *Metrics) buildOptions() {
	for o := range appendOutcomeCount {
		m.appendOptions[o] = addOptions(attribute.String(labelOutcome, o.String()))
	}
	for s := range claimStepCount {
		m.claimOptions[s] = addOptions(attribute.String(labelStep, s.String()))
	}
	for d := range directionCount {
		m.moveOptions[d] = addOptions(attribute.String(labelDirection, d.String()))
	}
	for r := range stream.RoleCount {
		m.streamOptions[r] = addOptions(attribute.String(labelRole, r.String()))
	}
	for c := range refusalCauseCount {
		m.causeOptions[c] = addOptions(attribute.String(labelCause, c.String()))
	}
	for s := range readSourceCount {
		m.readOptions[s] = addOptions(attribute.String(labelSource, s.String()))
	}
	for k := range intake.KindCount {
		m.shedOptions[k] = addOptions(attribute.String(labelKind, k.String()))
	}
	for o := range keyOperationCount {
		for r := range keyhold.ResultCount {
			m.keyOptions[o][r] = addOptions(attribute.String(labelOperation, o.String()), attribute.String(labelResult, r.String()))
		}
	}
}

// addOptions returns the options for a counter with the labels.
func addOptions(labels ...attribute.KeyValue) []metric.AddOption {
	return []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(labels...))}
}

// SetServices sets the services of the configuration in force. Requests for any other service are counted under the
// service label "other".
func (m *Metrics) SetServices(names []string) { m.services.Store(newServiceTable(names)) }

// RecordRequest counts an answered request and records its duration. reason is empty for request.Done.
func (m *Metrics) RecordRequest(role Role, service string, outcome request.Outcome, reason request.Reason, took time.Duration) {
	options := m.services.Load().lookup(service)
	ctx := context.Background()
	m.requests.Add(ctx, 1, options.request(role, outcome, reason)...)
	m.duration.Record(ctx, took.Seconds(), options.durations[role]...)
}

// CountForwarded counts an attempt that was sent to another node.
func (m *Metrics) CountForwarded(service string) {
	m.forwarded.Add(context.Background(), 1, m.services.Load().lookup(service).service...)
}

// CountRetry counts an attempt to run a request after its first attempt.
func (m *Metrics) CountRetry(service string) {
	m.retries.Add(context.Background(), 1, m.services.Load().lookup(service).service...)
}

// CountAppend counts an append to the platform log.
func (m *Metrics) CountAppend(outcome AppendOutcome) {
	m.appends.Add(context.Background(), 1, m.appendOptions[outcome]...)
}

// CountClaimStep counts a step of a claim.
func (m *Metrics) CountClaimStep(step ClaimStep) {
	m.claims.Add(context.Background(), 1, m.claimOptions[step]...)
}

// CountMovedSlices counts slices that moved to or from this node.
func (m *Metrics) CountMovedSlices(direction Direction, slices int) {
	m.moves.Add(context.Background(), int64(slices), m.moveOptions[direction]...)
}

// CountStoreAnswer counts the bytes that arrived of the answer to a call of the platform store. discarded is set if the
// call failed before its answer was complete.
func (m *Metrics) CountStoreAnswer(bytes int, discarded bool) {
	m.storeReceived.Add(context.Background(), int64(bytes))
	if discarded {
		m.storeDiscarded.Add(context.Background(), int64(bytes))
	}
}

// CountTopicRead counts a completed read of a topic.
func (m *Metrics) CountTopicRead(source ReadSource) {
	m.topicReads.Add(context.Background(), 1, m.readOptions[source]...)
}

// CountKeyCall counts a call that grants or releases keys.
func (m *Metrics) CountKeyCall(operation KeyOperation, result keyhold.Result) {
	m.keyCalls.Add(context.Background(), 1, m.keyOptions[operation][result]...)
}

// CountRefusal counts a request that did not get a slot of the backend server.
func (m *Metrics) CountRefusal(cause RefusalCause) {
	m.refusals.Add(context.Background(), 1, m.causeOptions[cause]...)
}

// CountLargeBodyRefused counts a large request body that was refused because of the limit of the role.
func (m *Metrics) CountLargeBodyRefused(role stream.Role) {
	m.largeBodiesRefused.Add(context.Background(), 1, m.streamOptions[role]...)
}

// AddLargeBody adds a change to the number of large request bodies that are being streamed.
func (m *Metrics) AddLargeBody(role stream.Role, change int64) {
	m.largeBodies.Add(context.Background(), change, m.streamOptions[role]...)
}

// SetMeasuredSlots sets the measured concurrency of the backend server.
func (m *Metrics) SetMeasuredSlots(slots int) {
	m.measuredSlots.Record(context.Background(), int64(slots))
}

// CountShed counts a connection or request of a client that was refused or given up.
func (m *Metrics) CountShed(kind intake.Kind) {
	m.shed.Add(context.Background(), 1, m.shedOptions[kind]...)
}

// Handler returns the handler of /metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Shutdown releases the instruments. Measurements after it are dropped.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }
