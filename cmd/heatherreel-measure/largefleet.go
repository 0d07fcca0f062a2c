package main

import (
	"context"
	"fmt"
	"sync/atomic"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/engine"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/fake"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/settings"
	"heatherreel/internal/telemetry"
)

// largeFleet is one engine in a fleet whose other members exist in the log only. Its witnesses answer at once; its
// holders renew as often as real ones. Everything that the other members would do to it is played by the fields.
type largeFleet struct {
	log    *fake.Log
	engine *engine.Engine
	// sent and grants count what the engine sent.
	sent, grants atomic.Int64
}

// SendLeaseMessage implements node.LeaseSender: a renewal is answered as a witness with a lease would.
func (f *largeFleet) SendLeaseMessage(_ string, m node.LeaseMessage) error {
	f.sent.Add(1)
	if m.Renewal == nil {
		return nil
	}
	f.engine.LeaseMessage(node.LeaseMessage{RenewalAnswer: &lease.RenewalAnswer{
		Holder: m.Renewal.Holder, Witness: m.Renewal.Witness, SetVersion: m.Renewal.SetVersion,
		Sequence: m.Renewal.Sequence, Marked: true,
	}})
	return nil
}

// Forward implements node.Peers; no request is sent.
func (f *largeFleet) Forward(context.Context, string, node.ForwardedRequest) (request.Answer, error) {
	return request.Refuse(request.NotOwner, ""), nil
}

// Release implements node.Peers: every source has released.
func (f *largeFleet) Release(_ context.Context, _ string, r node.ReleaseRequest) (node.ReleaseResult, error) {
	return node.ReleaseResult{Released: r.Slices}, nil
}

// Snapshot implements node.Peers.
func (f *largeFleet) Snapshot(context.Context, string) (node.Snapshot, error) {
	return node.Snapshot{}, nil
}

// Execute implements engine.Backend; no request is sent.
func (f *largeFleet) Execute(context.Context, string, keyspace.SliceID, ledger.Offset, request.Request) request.Answer {
	return request.Refuse(request.BackendUnreachable, "")
}

// Grant implements engine.Backend.
func (f *largeFleet) Grant(context.Context, string, backendserver.Grants) error {
	f.grants.Add(1)
	return nil
}

// Drain implements engine.Backend.
func (f *largeFleet) Drain(context.Context, string) error { return nil }

// newLargeFleet returns an engine that reads the log and is not started.
func newLargeFleet(log *fake.Log) (*largeFleet, error) {
	timing, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	tracing, err := telemetry.NewTracing(telemetry.OutputNone, 0, telemetry.Identity{})
	if err != nil {
		return nil, err
	}
	f := &largeFleet{log: log}
	me := self(2*targetMembers, 0)
	f.engine = engine.New(engine.Options{
		Self: engine.Self{Instance: me.Instance, DataCentre: me.DataCentre, Region: me.Region,
			Addresses: ledger.Addresses{Nodes: "10.1.2.3:7401", Leases: "10.1.2.3:7402", Callers: "10.1.2.3:7400", Operators: "10.1.2.3:7404"}},
		Ingress:       settings.PoolSize{Workers: settings.DefaultIngressWorkers, Queue: settings.DefaultIngressQueue},
		Owner:         settings.PoolSize{Workers: settings.DefaultOwnerWorkers, Queue: settings.DefaultOwnerQueue},
		Lease:         settings.PoolSize{Workers: settings.DefaultLeaseWorkers, Queue: settings.DefaultLeaseQueue},
		Ledger:        settings.PoolSize{Workers: settings.DefaultLedgerWorkers, Queue: settings.DefaultLedgerQueue},
		RequestIDSkew: settings.DefaultRequestIDSkew,
		Timing:        timing,
	}, engine.Dependencies{
		Log: log, Peers: f, Leases: f, Backend: f, Events: eventlog.Discard(), Metrics: metrics, Tracing: tracing,
	})
	return f, nil
}

// waitOffset waits until the engine has replayed the whole log.
func (f *largeFleet) waitOffset(ctx context.Context) error {
	return poll(ctx, settleTimeout, func() error {
		if at := f.engine.Status().Ledger.Offset; int(at) != f.log.Len() {
			return fmt.Errorf("replayed %d of %d records", at, f.log.Len())
		}
		return nil
	})
}
