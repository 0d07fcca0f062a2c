//go:build !linux

package pipeline

import "net"

// isClosedByPeer is known only on Linux.
func isClosedByPeer(net.Conn) bool { return false }
