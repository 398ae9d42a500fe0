package tcpend

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// stateClose is the state of a connection that was reset.
	stateClose = 7
	// stateCloseWait is the state of a connection whose peer has closed its side.
	stateCloseWait = 8
)

// Orderly reports whether a connection that brought its end was closed by its peer in order: not reset since, and after the peer
// had received all that was written. The system reports a reset only once, to a reader or to a writer. A connection whose state is
// not known counts as closed in order.
func Orderly(c net.Conn) bool {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return true
	}
	orderly := true
	_ = r.Control(func(fd uintptr) {
		i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		orderly = err != nil || !disorderly(i)
	})
	return orderly
}

// disorderly reports whether a connection that brought its end was reset, or ended before its peer had received all.
func disorderly(i *unix.TCPInfo) bool {
	unreceived := i.Unacked > 0 || i.Notsent_bytes > 0
	return i.State == stateClose || i.State == stateCloseWait && unreceived
}
