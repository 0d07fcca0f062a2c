package platformlog

import (
	"net"
	"sync/atomic"
)

// Sizes on the wire, in bytes.
const (
	// segmentBody is the data of a full TCP segment at an MTU of 1500 bytes.
	segmentBody = 1448
	// segmentHeader is the IPv4 and TCP header with timestamps; a pure acknowledgement has the same size.
	segmentHeader = 52
)

// Traffic counts bytes on the wire, headers included. The number of segments is estimated from the reads and writes,
// with one acknowledgement for each segment.
type Traffic struct {
	Sent, Received atomic.Uint64
}

// headersOf returns the bytes of headers for n bytes of data in one direction.
func headersOf(n int) uint64 {
	return uint64((n + segmentBody - 1) / segmentBody * segmentHeader)
}

// sent counts a write; its acknowledgements are received.
func (t *Traffic) sent(n int) {
	t.Sent.Add(uint64(n) + headersOf(n))
	t.Received.Add(headersOf(n))
}

// received counts a read; its acknowledgements are sent.
func (t *Traffic) received(n int) {
	t.Received.Add(uint64(n) + headersOf(n))
	t.Sent.Add(headersOf(n))
}

// countedConn is a connection whose traffic is counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent(n)
	return n, err
}
