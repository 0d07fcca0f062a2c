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
	// maxDatagram is far above the largest lease message, which has about 40 bytes.
	maxDatagram = 512
	// datagramOverhead is the IPv4 and UDP header that each datagram costs on the wire.
	datagramOverhead = 28
)

// Traffic counts bytes on the wire, headers included.
type Traffic struct {
	Sent, Received atomic.Uint64
}

// Datagrams sends and receives lease messages over one UDP socket. It is safe for concurrent use.
type Datagrams struct {
	conn    *net.UDPConn
	traffic Traffic
}

// ListenDatagrams opens a UDP socket at the address, an IP and port.
func ListenDatagrams(address string) (*Datagrams, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, problem.New(problem.Invalid, "give an IP number and a port", "lease address %s: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, problem.New(problem.Unavailable, "free the port or choose another", "lease address: %w", err)
	}
	return &Datagrams{conn: conn}, nil
}

// Address returns the local address.
func (d *Datagrams) Address() string { return d.conn.LocalAddr().String() }

// Traffic returns the counters of the socket.
func (d *Datagrams) Traffic() *Traffic { return &d.traffic }

// send sends one message. A lost datagram is not reported; the protocol repeats what matters.
func (d *Datagrams) send(address string, m *nodepb.LeaseDatagram) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return problem.New(problem.Malformed, "report this as a defect", "lease message: %w", err)
	}
	peer, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return problem.New(problem.Invalid, "correct the address in the node's settings", "lease address: %w", err)
	}
	if _, err := d.conn.WriteToUDP(data, peer); err != nil {
		return problem.New(problem.NotSent, unreachableRemedy, "lease message to %s: %w", address, err)
	}
	d.traffic.Sent.Add(uint64(len(data) + datagramOverhead))
	return nil
}

// Receive hands each message to deliver until the socket is closed. It calls malformed for other datagrams.
func (d *Datagrams) Receive(deliver func(LeaseMessage), malformed func(from string)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, peer, err := d.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		d.traffic.Received.Add(uint64(n + datagramOverhead))
		message, ok := parseLease(buffer[:n])
		if !ok {
			malformed(peer.String())
			continue
		}
		deliver(message)
	}
}

// parseLease decodes a datagram; ok is false if it is malformed.
func parseLease(data []byte) (LeaseMessage, bool) {
	var d nodepb.LeaseDatagram
	if err := proto.Unmarshal(data, &d); err != nil {
		return LeaseMessage{}, false
	}
	return decodeLease(&d)
}

// Close closes the socket and ends Receive.
func (d *Datagrams) Close() error { return d.conn.Close() }
