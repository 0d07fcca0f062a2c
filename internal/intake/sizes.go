package intake

import "cmp"

// Sizes are the settings from which the limits of a process follow. Zero means the default, or that it is unknown.
type Sizes struct {
	// MemoryMB is the memory limit of the process, and MaxFDs its limit of descriptors.
	MemoryMB, MaxFDs int
	// RequestMemoryMB, Connections and ConnectionsPerClient replace the limits that are derived. With a negative
	// ConnectionsPerClient, one client may have as many connections as all together.
	RequestMemoryMB, Connections, ConnectionsPerClient int
}

const (
	// requestMemoryPercent is the part of the memory of the process for requests. Bodies are copied once on their way to
	// another node, and garbage is up to 40% of the heap again.
	requestMemoryPercent = 15
	// minRequestMemory holds one body of 8 MiB, which takes twice its size while it is put together, and its reserve.
	minRequestMemory = 24 << 20
	// reserveDivisor is the part of the budget for short requests, and shortBytes their largest size.
	reserveDivisor = 8
	shortBytes     = 16 << 10
	// connectionsPerMB keeps the connections under a sixth of the memory: an idle one takes 10 KB with its goroutine.
	connectionsPerMB = 12
	// otherDescriptors are left for files (200), the store, the nodes (840) and the backend server (130 connections).
	otherDescriptors = 1400
	// minFDsDivisor is the part of the descriptors for callers where these are fewer than usual.
	minFDsDivisor  = 4
	minConnections = 64
	// upkeepConnections is the limit for the address for heartbeats, and for those for readiness and metrics together.
	upkeepConnections = 128
	// nodeDescriptorDivisor bounds the connections of other nodes to a part of all descriptors, and unknownFDs stands for
	// an unknown number of these. Each request on its way between two nodes has a connection. unusedNodeConnections bounds
	// those without a first byte.
	nodeDescriptorDivisor = 2
	unknownFDs            = 8192
	unusedNodeConnections = 256
	// perClientDivisor bounds the connections of one client address: callers may share a few addresses.
	perClientDivisor = 2
	// headsDivisor bounds the connections that are unused or send a head.
	headsDivisor = 2
)

// Limits returns the limits of a process.
func (s Sizes) Limits() Limits {
	bytes := int64(s.RequestMemoryMB) << 20
	if bytes == 0 {
		bytes = max(int64(s.MemoryMB)<<20*requestMemoryPercent/100, minRequestMemory)
	}
	connections := s.Connections
	if connections == 0 {
		connections = s.MemoryMB * connectionsPerMB
		if s.MaxFDs > 0 {
			connections = min(connections, max(s.MaxFDs-otherDescriptors, s.MaxFDs/minFDsDivisor))
		}
		connections = max(connections, minConnections)
	}
	perClient := connections
	if s.ConnectionsPerClient >= 0 {
		perClient = min(connections, cmp.Or(s.ConnectionsPerClient, max(1, connections/perClientDivisor)))
	}
	nodes := cmp.Or(s.MaxFDs, unknownFDs) / nodeDescriptorDivisor
	const upkeepPerClient = upkeepConnections / perClientDivisor
	l := Limits{Bytes: bytes, Reserve: bytes / reserveDivisor, ShortBytes: shortBytes,
		Connections: [GroupCount]int{Callers: connections, Heartbeats: upkeepConnections, Upkeep: upkeepConnections, Nodes: nodes},
		PerClient:   [GroupCount]int{Callers: perClient, Heartbeats: upkeepPerClient, Upkeep: upkeepPerClient, Nodes: nodes}}
	for g := range GroupCount {
		l.Heads[g] = max(1, l.Connections[g]/headsDivisor)
		l.HeadsPerClient[g] = max(1, l.PerClient[g]/headsDivisor)
	}
	l.Heads[Nodes], l.HeadsPerClient[Nodes] = unusedNodeConnections, unusedNodeConnections
	return l
}
