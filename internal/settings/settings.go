// Package settings holds the settings of the daemon heatherreeld.
//
// Each setting is a flag with an environment variable. A flag wins over its environment variable, and that over the
// default. All faults are reported together, so that an operator corrects a start command once.
package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/rs/zerolog"

	"heatherreel/internal/ledger"
)

// Settings are the checked settings of one node.
type Settings struct {
	// Instance names the machine; DataCentre and Region are those of the configuration.
	Instance   string
	DataCentre string
	Region     string

	// Address is the IP that other nodes and callers reach.
	Address netip.Addr
	// CallersAddress is the HTTP listen address for callers.
	CallersAddress netip.AddrPort
	// NodesAddress is the drpc listen address (TCP) for other nodes.
	NodesAddress netip.AddrPort
	// LeasesAddress is the UDP listen address of the lease protocol.
	LeasesAddress netip.AddrPort
	// BackendAddress is the HTTP listen address for announcements of the backend server beside the node.
	BackendAddress netip.AddrPort
	// OperatorsAddress is the HTTP listen address for operators.
	OperatorsAddress netip.AddrPort

	// LogURL is the base URL of the platform's log, without a path.
	LogURL *url.URL
	// LogStream is the stream that holds the records of this fleet.
	LogStream string
	// LogRetention is how long the log keeps records.
	LogRetention time.Duration
	// PeerAddresses are drpc addresses of other nodes; empty for none.
	PeerAddresses []string

	// Ingress, Owner, Lease and Ledger are the sizes of the worker pools.
	Ingress PoolSize
	Owner   PoolSize
	Lease   PoolSize
	Ledger  PoolSize

	// RequestIDSkew is how far the clock of a caller may differ from the node's.
	RequestIDSkew time.Duration
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration

	// LogLevel is the lowest level of events that are written.
	LogLevel zerolog.Level
	// TraceOutput is TraceNone, TraceStderr or a file path.
	TraceOutput string
	// TraceRatio is the share of requests whose spans are written, from 0 to 1.
	TraceRatio float64
}

// PoolSize is the size of one worker pool.
type PoolSize struct {
	Workers int
	// Queue is the number of jobs that may wait.
	Queue int
}

// Values of TraceOutput that are not a file path.
const (
	TraceNone   = "none"
	TraceStderr = "stderr"
)

// Default listen addresses. The backend server runs on the same instance, so its address is on loopback.
const (
	DefaultCallersAddress   = "0.0.0.0:7400"
	DefaultNodesAddress     = "0.0.0.0:7401"
	DefaultLeasesAddress    = "0.0.0.0:7402"
	DefaultBackendAddress   = "127.0.0.1:7403"
	DefaultOperatorsAddress = "0.0.0.0:7404"
)

// DefaultLogStream is the stream of a platform that runs one fleet.
const DefaultLogStream = "heatherreel"

// DefaultLogRetention is the retention time of the platform's log unless it is set.
const DefaultLogRetention = 24 * time.Hour

// Limits of the retention time. With less, a checkpoint would be due every few seconds, and the packed checkpoint of a
// large fleet would exceed the 5 KB/s of control traffic. More than a year is taken for a wrong unit.
const (
	MinLogRetention = 10 * time.Minute
	MaxLogRetention = 365 * 24 * time.Hour
)

// PeersNone is the value of the setting peer-addresses that names no node.
const PeersNone = "none"

// MaxPeerAddresses bounds the list of peers; a few in different data centres are enough.
const MaxPeerAddresses = 32

// Default pool sizes, in workers and queued jobs. A node of the target size receives about 5,600 requests a second.
// At 9 ms each, 50 run at once; the ingress pool allows several times that, because its workers wait for remote
// owners.
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

// Limits of the pool sizes. They bound the memory of stacks and queues on small instances.
const (
	MaxWorkers = 4096
	MaxQueue   = 65536
)

// DefaultRequestIDSkew is the default allowance for callers' clocks. A request id that is further in the future is
// refused. After a failover, requests with ids issued within the allowance are answered "outcome unknown", so it must
// stay well below the 1 s within which a key is served again.
const DefaultRequestIDSkew = 100 * time.Millisecond

// MaxRequestIDSkew is half the default retention of outcomes; a larger allowance would leave little of it.
const MaxRequestIDSkew = 30 * time.Second

// DefaultShutdownTimeout leaves time for planned moves of all slices and for the longest ordinary request.
const DefaultShutdownTimeout = 30 * time.Second

// MaxShutdownTimeout bounds how long a stuck request can delay the replacement of a node.
const MaxShutdownTimeout = 10 * time.Minute

// DefaultLogLevel leaves out debug events.
const DefaultLogLevel = "info"

// DefaultTraceRatio is the default share of traced requests. It applies only when a trace output is set.
const DefaultTraceRatio = 0.01

// Advertised returns the addresses that the join record states. A listen address without a specific IP is advertised
// with Address.
func (s Settings) Advertised() ledger.Addresses {
	return ledger.Addresses{
		Nodes:     s.advertise(s.NodesAddress),
		Leases:    s.advertise(s.LeasesAddress),
		Callers:   s.advertise(s.CallersAddress),
		Operators: s.advertise(s.OperatorsAddress),
	}
}

// advertise returns listen as other nodes reach it.
func (s Settings) advertise(listen netip.AddrPort) string {
	if listen.Addr().IsUnspecified() {
		return netip.AddrPortFrom(s.Address, listen.Port()).String()
	}
	return listen.String()
}
