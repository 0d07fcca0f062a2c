package daemon

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
)

// Ports for listeners of tests. The system takes those of outgoing connections from 32768 on, and could otherwise give a
// free port away before the test listens on it.
const (
	firstTestPort = 20000
	testPorts     = 12000
)

// nextTestPort counts from a random port, because tests of other packages run at the same time.
var nextTestPort atomic.Uint32

func init() { nextTestPort.Store(rand.Uint32N(testPorts)) }

// unusedAddress returns a loopback address on which nothing listens.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for range testPorts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstTestPort+nextTestPort.Add(1)%testPorts))
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return netip.AddrPort{}
}

// freeAddress returns the same in the form of settings.
func freeAddress(t *testing.T) string {
	t.Helper()
	return unusedAddress(t).String()
}
