package transport

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"
)

// provenQuiet is quiet for a connection of which that must be certain: below TLS, whatever came counts too, such as the notice that
// it closes.
func provenQuiet(c net.Conn) bool {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	_, ok := c.(syscall.Conn)
	return ok && quiet(c)
}

// quiet reports whether an idle connection is open and has received nothing since its last answer. Bytes that came later
// belong to no call.
func quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true // TLS checks what comes
	}
	_ = c.SetReadDeadline(time.Time{})
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	nothing := false
	err = r.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = e != nil // neither bytes nor the end of the connection
		return true
	})
	return err == nil && nothing
}
