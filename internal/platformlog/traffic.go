package platformlog

import (
	"net"
	"sync/atomic"
)

// Sizes of TCP segments, in bytes.
const (
	// maxSegmentData is the payload of a full TCP segment at an MTU of 1500 bytes.
	maxSegmentData = 1448
	// segmentHeaderBytes is the size of the IPv4 and TCP headers with timestamps, and of a segment that only
	// acknowledges.
	segmentHeaderBytes = 52
)

// Traffic counts bytes on the wire, including headers. The number of segments is estimated from the sizes of reads and
// writes, with one acknowledgement for each segment.
type Traffic struct {
	Sent, Received atomic.Uint64
}

// headerBytes returns the size of the headers of all segments that carry n bytes of data.
func headerBytes(n int) uint64 {
	return uint64((n + maxSegmentData - 1) / maxSegmentData * segmentHeaderBytes)
}

// countWrite counts n written bytes as sent and their acknowledgements as received.
func (t *Traffic) countWrite(n int) {
	t.Sent.Add(uint64(n) + headerBytes(n))
	t.Received.Add(headerBytes(n))
}

// countRead counts n read bytes as received and their acknowledgements as sent.
func (t *Traffic) countRead(n int) {
	t.Received.Add(uint64(n) + headerBytes(n))
	t.Sent.Add(headerBytes(n))
}

// countedConn counts the traffic of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.countRead(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.countWrite(n)
	return n, err
}
