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

// engineHarness runs one engine in a fleet whose other members exist only as records in the log. It acts as
// the peers and the backend server of the engine: witnesses answer renewals immediately, and the members for which the
// engine is a witness renew as often as in a real fleet.
type engineHarness struct {
	log    *fake.Log
	engine *engine.Engine
	// leaseMessages and grantCalls count the messages and calls of the engine.
	leaseMessages, grantCalls atomic.Int64
}

// SendLeaseMessage implements node.LeaseSender. It answers a renewal like a witness that has a lease itself.
func (h *engineHarness) SendLeaseMessage(_ string, m node.LeaseMessage) error {
	h.leaseMessages.Add(1)
	if m.Renewal == nil {
		return nil
	}
	h.engine.LeaseMessage(node.LeaseMessage{RenewalAnswer: &lease.RenewalAnswer{
		Holder: m.Renewal.Holder, Witness: m.Renewal.Witness, SetVersion: m.Renewal.SetVersion,
		Sequence: m.Renewal.Sequence, Marked: true,
	}})
	return nil
}

// Forward implements node.Peers. It is not called, since no request is sent.
func (h *engineHarness) Forward(context.Context, string, node.ForwardedRequest) (request.Answer, error) {
	return request.Refuse(request.NotOwner, ""), nil
}

// Release implements node.Peers. It answers that the source has released all slices.
func (h *engineHarness) Release(_ context.Context, _ string, r node.ReleaseRequest) (node.ReleaseResult, error) {
	return node.ReleaseResult{Released: r.Slices}, nil
}

// Snapshot implements node.Peers.
func (h *engineHarness) Snapshot(context.Context, string) (node.Snapshot, error) {
	return node.Snapshot{}, nil
}

// Execute implements engine.Backend. It is not called, since no request is sent.
func (h *engineHarness) Execute(context.Context, string, keyspace.SliceID, ledger.Offset, request.Request) request.Answer {
	return request.Refuse(request.BackendUnreachable, "")
}

// Grant implements engine.Backend.
func (h *engineHarness) Grant(context.Context, string, backendserver.Grants) error {
	h.grantCalls.Add(1)
	return nil
}

// Drain implements engine.Backend.
func (h *engineHarness) Drain(context.Context, string) error { return nil }

// newEngineHarness returns a harness with an engine that reads the log; the caller starts it.
func newEngineHarness(log *fake.Log) (*engineHarness, error) {
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
	h := &engineHarness{log: log}
	self := placementSelf(2*targetMembers, 0)
	h.engine = engine.New(engine.Options{
		Self: engine.Self{Instance: self.Instance, DataCentre: self.DataCentre, Region: self.Region,
			Addresses: ledger.Addresses{
				Nodes: "10.1.2.3:7401", Leases: "10.1.2.3:7402", Callers: "10.1.2.3:7400", Operators: "10.1.2.3:7404",
			}},
		Ingress:       settings.PoolSize{Workers: settings.DefaultIngressWorkers, Queue: settings.DefaultIngressQueue},
		Owner:         settings.PoolSize{Workers: settings.DefaultOwnerWorkers, Queue: settings.DefaultOwnerQueue},
		Lease:         settings.PoolSize{Workers: settings.DefaultLeaseWorkers, Queue: settings.DefaultLeaseQueue},
		Ledger:        settings.PoolSize{Workers: settings.DefaultLedgerWorkers, Queue: settings.DefaultLedgerQueue},
		RequestIDSkew: settings.DefaultRequestIDSkew,
		Timing:        timing,
	}, engine.Dependencies{
		Log: log, Peers: h, Leases: h, Backend: h, Events: eventlog.Discard(), Metrics: metrics, Tracing: tracing,
	})
	return h, nil
}

// waitReplayed waits until the engine has replayed the whole log.
func (h *engineHarness) waitReplayed(ctx context.Context) error {
	return poll(ctx, settleTimeout, func() error {
		if at := h.engine.Status().Ledger.Offset; int(at) != h.log.Len() {
			return fmt.Errorf("replayed %d of %d records", at, h.log.Len())
		}
		return nil
	})
}
