package pipeline

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isClosedByPeer reports whether the peer of a TCP connection has closed it. Its last bytes need not have been read.
func isClosedByPeer(conn net.Conn) bool {
	if w, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = w.NetConn()
	}
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	// States of TCP connections in the kernel, as in include/net/tcp_states.h.
	const closed, closeWait = 7, 8
	state := 0
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = int(info.State)
		}
	})
	return err != nil || state == closed || state == closeWait
}
