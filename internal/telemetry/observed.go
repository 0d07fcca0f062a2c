package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// LeaseState is the state of the lease of this node.
type LeaseState uint8

// States of the lease.
const (
	// LeaseNone means that the node has no lease: no majority of its witnesses answered in time.
	LeaseNone LeaseState = iota
	// LeaseFirstLevel means that a majority of the witnesses answered, but fewer than a majority did so while they held
	// a first-level lease themselves. The node may not serve its slices; its answers as a witness count for the leases
	// of other nodes.
	LeaseFirstLevel
	// LeaseOwning means that a majority of the witnesses answered while they held first-level leases themselves. The
	// node may serve its slices.
	LeaseOwning
)

// Snapshot is the state of a node that the gauges report.
type Snapshot struct {
	Lease LeaseState
	// LeaseLeft is the time for which the node may still serve without a further answer of its witnesses.
	LeaseLeft time.Duration
	// LedgerOffset is the offset of the last replayed record.
	LedgerOffset uint64
	// HighestOffset is the highest offset that any node reported.
	HighestOffset uint64
	// LogSilence is the time since the log last answered.
	LogSilence time.Duration
	Members    int
	// Revision is the configuration revision in force; zero for none.
	Revision        uint64
	RunningRequests int
	// ConcurrencyLimit is the current limit of requests that the backend server runs for this node at once.
	ConcurrencyLimit int
	RetainedOutcomes int
	Pools            []PoolDepth
	// OwnedSlices counts the slices that this node owns, for each service.
	OwnedSlices []ServiceCount
	// Control is the control traffic since the start of the node.
	Control []ControlBytes
}

// ControlBytes is the control traffic of one transport in one direction, including packet headers.
type ControlBytes struct {
	Transport Transport
	Direction Direction
	Bytes     uint64
}

// PoolDepth is the number of queued jobs of one worker pool.
type PoolDepth struct {
	Pool  string
	Depth int
}

// ServiceCount is a number for one service.
type ServiceCount struct {
	Service string
	Count   int
}

// gauges are the instruments that RegisterGauges creates: their values are read at each scrape.
type gauges struct {
	lease, ledgerOffset, ledgerLag, members, revision                            metric.Int64ObservableGauge
	runningRequests, concurrencyLimit, retainedOutcomes, queueDepth, ownedSlices metric.Int64ObservableGauge
	leaseLeft, logSilence                                                        metric.Float64ObservableGauge
	controlBytes                                                                 metric.Int64ObservableCounter
}

// RegisterGauges creates the gauges and reads their values from source at each scrape. It must be called only once.
// source must return quickly and be safe for concurrent use.
func (m *Metrics) RegisterGauges(source func() Snapshot) error {
	g, all, err := m.newGauges()
	if err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		g.observe(o, m.services.Load(), source())
		return nil
	}, all...)
	return err
}

// newGauges creates the gauges and also returns them as a list, for the registration of their callback.
func (m *Metrics) newGauges() (*gauges, []metric.Observable, error) {
	g := &gauges{}
	var all []metric.Observable
	for _, c := range []struct {
		instrument *metric.Int64ObservableGauge
		name, text string
	}{
		{&g.lease, "lease_state", "Lease of this node: 0 none, 1 first level, 2 owning."},
		{&g.ledgerOffset, "ledger_offset", "Offset of the last replayed record."},
		{&g.ledgerLag, "ledger_lag_records", "Offsets between the last replayed record and the highest that a peer stated."},
		{&g.members, "members", "Living incarnations in the replayed state."},
		{&g.revision, "configuration_revision", "Configuration revision in force; 0 for none."},
		{&g.runningRequests, "running_requests", "Requests that the backend server runs for this node."},
		{&g.concurrencyLimit, "concurrency_limit", "Requests that the backend server may run for this node at once; follows its latency."},
		{&g.retainedOutcomes, "retained_outcomes", "Outcomes of non-idempotent requests that are kept."},
		{&g.queueDepth, "queue_depth", "Jobs that wait for a worker of the pool."},
		{&g.ownedSlices, "owned_slices", "Slices that this node owns."},
	} {
		var err error
		if *c.instrument, err = m.meter.Int64ObservableGauge(c.name, metric.WithDescription(c.text)); err != nil {
			return nil, nil, err
		}
		all = append(all, *c.instrument)
	}
	for _, c := range []struct {
		instrument *metric.Float64ObservableGauge
		name, text string
	}{
		{&g.leaseLeft, "lease_left", "Time for which the node may serve without a further answer of its witnesses."},
		{&g.logSilence, "log_silence", "Time since the log last answered."},
	} {
		var err error
		*c.instrument, err = m.meter.Float64ObservableGauge(c.name, metric.WithDescription(c.text), metric.WithUnit("s"))
		if err != nil {
			return nil, nil, err
		}
		all = append(all, *c.instrument)
	}
	var err error
	g.controlBytes, err = m.meter.Int64ObservableCounter("control", metric.WithUnit("By"),
		metric.WithDescription("Control traffic with IP, UDP and TCP headers; the budget of a node is 5 KB/s."))
	return g, append(all, g.controlBytes), err
}

// observe reports the values of one snapshot.
func (g *gauges) observe(o metric.Observer, services *serviceTable, s Snapshot) {
	o.ObserveInt64(g.lease, int64(s.Lease))
	o.ObserveFloat64(g.leaseLeft, max(s.LeaseLeft, 0).Seconds())
	o.ObserveInt64(g.ledgerOffset, int64(s.LedgerOffset))
	o.ObserveInt64(g.ledgerLag, int64(max(s.HighestOffset, s.LedgerOffset)-s.LedgerOffset))
	o.ObserveFloat64(g.logSilence, s.LogSilence.Seconds())
	o.ObserveInt64(g.members, int64(s.Members))
	o.ObserveInt64(g.revision, int64(s.Revision))
	o.ObserveInt64(g.runningRequests, int64(s.RunningRequests))
	o.ObserveInt64(g.concurrencyLimit, int64(s.ConcurrencyLimit))
	o.ObserveInt64(g.retainedOutcomes, int64(s.RetainedOutcomes))
	for _, c := range s.Control {
		o.ObserveInt64(g.controlBytes, int64(c.Bytes), metric.WithAttributes(
			attribute.String(labelTransport, c.Transport.String()), attribute.String(labelDirection, c.Direction.String())))
	}
	for _, p := range s.Pools {
		o.ObserveInt64(g.queueDepth, int64(p.Depth), metric.WithAttributes(attribute.String(labelPool, p.Pool)))
	}
	for _, c := range mergeCounts(services, s.OwnedSlices) {
		o.ObserveInt64(g.ownedSlices, int64(c.Count), metric.WithAttributes(attribute.String(labelService, c.Service)))
	}
}

// mergeCounts returns the counts by label value. Counts of services that are not in the configuration are added up
// under "other", because a second observation of the same label values would replace the first.
func mergeCounts(services *serviceTable, counts []ServiceCount) []ServiceCount {
	var merged []ServiceCount
	index := map[string]int{}
	for _, c := range counts {
		label := services.label(c.Service)
		i, seen := index[label]
		if !seen {
			i = len(merged)
			index[label] = i
			merged = append(merged, ServiceCount{Service: label})
		}
		merged[i].Count += c.Count
	}
	return merged
}
