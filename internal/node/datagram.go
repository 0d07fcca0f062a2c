package node

import (
	"errors"
	"net"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
)

// Sizes of lease datagrams in bytes.
const (
	// maxDatagram is far larger than the largest lease message, which has about 40 bytes.
	maxDatagram = 512
	// datagramOverhead is the size of the IPv4 and UDP headers of a datagram.
	datagramOverhead = 28
)

// Traffic counts bytes on the wire, including headers.
type Traffic struct {
	Sent, Received atomic.Uint64
}

// LeaseSocket sends and receives lease messages over one UDP socket. It is safe for concurrent use.
type LeaseSocket struct {
	conn    *net.UDPConn
	traffic Traffic
}

// ListenLeaseMessages opens a UDP socket at the address, which is IP:port.
func ListenLeaseMessages(address string) (*LeaseSocket, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, problem.New(problem.Invalid, "give an IP address and a port", "lease address %s: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, problem.New(problem.Unavailable, "free the port or choose another", "lease address: %w", err)
	}
	return &LeaseSocket{conn: conn}, nil
}

// Address returns the local address.
func (s *LeaseSocket) Address() string { return s.conn.LocalAddr().String() }

// Traffic returns the traffic counters of the socket.
func (s *LeaseSocket) Traffic() *Traffic { return &s.traffic }

// send sends one message. A lost datagram is not reported; the lease protocol sends messages again where necessary.
func (s *LeaseSocket) send(address string, m *nodepb.LeaseDatagram) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return problem.New(problem.Malformed, "report this as a defect", "lease message: %w", err)
	}
	peer, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return problem.New(problem.Invalid, "correct the address in the node's settings", "lease address: %w", err)
	}
	if _, err := s.conn.WriteToUDP(data, peer); err != nil {
		return problem.New(problem.NotSent, unreachableRemedy, "lease message to %s: %w", address, err)
	}
	s.traffic.Sent.Add(uint64(len(data) + datagramOverhead))
	return nil
}

// Receive calls deliver for each received message, and malformed for datagrams that cannot be decoded. It returns when
// the socket is closed.
func (s *LeaseSocket) Receive(deliver func(LeaseMessage), malformed func(from string)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, peer, err := s.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.traffic.Received.Add(uint64(n + datagramOverhead))
		message, ok := parseLeaseMessage(buffer[:n])
		if !ok {
			malformed(peer.String())
			continue
		}
		deliver(message)
	}
}

// parseLeaseMessage decodes a datagram. It returns false if the datagram is malformed.
func parseLeaseMessage(data []byte) (LeaseMessage, bool) {
	var d nodepb.LeaseDatagram
	if err := proto.Unmarshal(data, &d); err != nil {
		return LeaseMessage{}, false
	}
	return decodeLeaseMessage(&d)
}

// Close closes the socket and ends Receive.
func (s *LeaseSocket) Close() error { return s.conn.Close() }
