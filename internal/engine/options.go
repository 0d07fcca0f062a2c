package engine

import (
	"context"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/request"
	"heatherreel/internal/settings"
	"heatherreel/internal/telemetry"
)

// Self describes a node as its settings do.
type Self struct {
	Instance   string
	DataCentre string
	Region     string
	Addresses  ledger.Addresses
}

// Options are the settings of an engine.
type Options struct {
	Self Self
	// Ingress, Owner, Lease and Ledger are the sizes of the worker pools.
	Ingress, Owner, Lease, Ledger settings.PoolSize
	// RequestIDSkew is the maximum difference between the clocks of a caller and the node.
	RequestIDSkew time.Duration
	// LogRetention is how long the log keeps records; zero means settings.DefaultLogRetention.
	LogRetention time.Duration
	// PeerAddresses are drpc addresses of other nodes, used if the node starts while the log is unavailable.
	PeerAddresses []string
	// Timing holds the durations of the lease protocol; all nodes of a fleet must use the same values.
	Timing lease.Parameters
}

// Backend is the client of the backend server beside the node; backendserver.Client implements it.
type Backend interface {
	// Execute sends a request under a fence and returns what is known of its execution.
	Execute(ctx context.Context, address string, slice keyspace.SliceID, fence ledger.Offset, r request.Request) request.Answer
	// Grant sends all slices that the backend server may serve.
	Grant(ctx context.Context, address string, g backendserver.Grants) error
	// Drain tells the backend server that the node is stopping.
	Drain(ctx context.Context, address string) error
}

// Dependencies are the clients and the observability sinks of an engine.
type Dependencies struct {
	Log     platformlog.Log
	Peers   node.Peers
	Leases  node.LeaseSender
	Backend Backend
	Events  *eventlog.Logger
	Metrics *telemetry.Metrics
	Tracing *telemetry.Tracing
}
