// Package settings parses and validates the settings of the daemon heatherreeld.
//
// Each setting of Settings is a flag with an environment variable. The flag takes precedence over the environment
// variable, which takes precedence over the default. All faults are reported together, so that an operator can correct
// a start command in one step. The settings in Gateway are read from a YAML file instead.
package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/rs/zerolog"

	"heatherreel/internal/ledger"
)

// Settings are the validated settings of one node.
type Settings struct {
	// Instance is the name of the machine. DataCentre and Region are names from the configuration.
	Instance   string
	DataCentre string
	Region     string

	// Address is the IP address at which other nodes and callers reach this node.
	Address netip.Addr
	// CallersAddress is the HTTP listen address for callers.
	CallersAddress netip.AddrPort
	// NodesAddress is the drpc listen address (TCP) for other nodes.
	NodesAddress netip.AddrPort
	// LeasesAddress is the UDP listen address of the lease protocol.
	LeasesAddress netip.AddrPort
	// BackendAddress is the HTTP listen address for announcements of the backend server on the same instance.
	BackendAddress netip.AddrPort
	// OperatorsAddress is the HTTP listen address for operators.
	OperatorsAddress netip.AddrPort

	// LogURL is the base URL of the platform's log, without a path.
	LogURL *url.URL
	// LogStream is the stream that holds the records of this fleet.
	LogStream string
	// LogRetention is the retention time of the log.
	LogRetention time.Duration
	// PeerAddresses are drpc addresses of other nodes; empty for none.
	PeerAddresses []string

	// Ingress, Owner, Lease and Ledger are the sizes of the worker pools.
	Ingress PoolSize
	Owner   PoolSize
	Lease   PoolSize
	Ledger  PoolSize

	// RequestIDSkew is the maximum difference between the clocks of a caller and the node; see DefaultRequestIDSkew.
	RequestIDSkew time.Duration
	// ShutdownTimeout is the maximum duration of a graceful shutdown.
	ShutdownTimeout time.Duration

	// LogLevel is the minimum level of events that are written.
	LogLevel zerolog.Level
	// TraceOutput is TraceNone, TraceStderr or a file path.
	TraceOutput string
	// TraceRatio is the fraction of requests whose spans are written, from 0 to 1.
	TraceRatio float64
}

// PoolSize is the size of one worker pool.
type PoolSize struct {
	Workers int
	// Queue is the maximum number of jobs that wait for a worker.
	Queue int
}

// Values of TraceOutput that are not a file path.
const (
	TraceNone   = "none"
	TraceStderr = "stderr"
)

// Default listen addresses. The backend server runs on the same instance, so the address for its announcements is on
// loopback.
const (
	DefaultCallersAddress   = "0.0.0.0:7400"
	DefaultNodesAddress     = "0.0.0.0:7401"
	DefaultLeasesAddress    = "0.0.0.0:7402"
	DefaultBackendAddress   = "127.0.0.1:7403"
	DefaultOperatorsAddress = "0.0.0.0:7404"
)

// DefaultLogStream is the log stream of a platform that runs a single fleet.
const DefaultLogStream = "heatherreel"

// DefaultLogRetention is the default retention time of the platform's log.
const DefaultLogRetention = 24 * time.Hour

// Limits of the retention time. The shorter it is, the more often nodes write a checkpoint. Below the minimum, the
// compressed checkpoints of a large fleet, written as often as every few seconds, would exceed the budget of 5 KB/s for
// control traffic. A value of more than a year is assumed to have a wrong unit.
const (
	MinLogRetention = 10 * time.Minute
	MaxLogRetention = 365 * 24 * time.Hour
)

// PeersNone is the value of the setting peer-addresses for an empty list.
const PeersNone = "none"

// MaxPeerAddresses is the maximum number of peer addresses; a few in different data centres are enough.
const MaxPeerAddresses = 32

// Default sizes of the worker pools, in workers and queued jobs. A node of the target size receives about 5,600
// requests per second. At 9 ms each, 50 run concurrently. The ingress pool has several times as many workers, because a
// worker waits while a remote owner runs its request.
const (
	DefaultIngressWorkers = 256
	DefaultIngressQueue   = 1024
	DefaultOwnerWorkers   = 128
	DefaultOwnerQueue     = 1024
	DefaultLeaseWorkers   = 2
	DefaultLeaseQueue     = 256
	DefaultLedgerWorkers  = 4
	DefaultLedgerQueue    = 256
)

// Limits of the pool sizes. They limit the memory for stacks and queues on small instances.
const (
	MaxWorkers = 4096
	MaxQueue   = 65536
)

// DefaultRequestIDSkew is the default of the maximum difference between the clocks of a caller and the node. A request
// id that is further in the future is rejected. After a failover, requests whose ids were issued less than this time
// after it are answered "outcome unknown", so it must stay well below the 1 s within which a key is served again.
const DefaultRequestIDSkew = 100 * time.Millisecond

// MaxRequestIDSkew is half the default retention time of outcomes; a larger skew would use up most of that time.
const MaxRequestIDSkew = 30 * time.Second

// DefaultShutdownTimeout is long enough for planned moves of all slices and for the longest normal requests.
const DefaultShutdownTimeout = 30 * time.Second

// MaxShutdownTimeout limits how long a stuck request can delay the replacement of a node.
const MaxShutdownTimeout = 10 * time.Minute

// DefaultLogLevel excludes debug events.
const DefaultLogLevel = "info"

// DefaultTraceRatio is the default fraction of traced requests. It applies only if a trace output is set.
const DefaultTraceRatio = 0.01

// Advertised returns the addresses for the join record. For a listen address with an unspecified IP, it advertises
// Address with the same port.
func (s Settings) Advertised() ledger.Addresses {
	return ledger.Addresses{
		Nodes:     s.advertise(s.NodesAddress),
		Leases:    s.advertise(s.LeasesAddress),
		Callers:   s.advertise(s.CallersAddress),
		Operators: s.advertise(s.OperatorsAddress),
	}
}

// advertise returns the address at which other nodes reach the listen address.
func (s Settings) advertise(listen netip.AddrPort) string {
	if listen.Addr().IsUnspecified() {
		return netip.AddrPortFrom(s.Address, listen.Port()).String()
	}
	return listen.String()
}
