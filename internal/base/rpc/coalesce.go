package rpc

import (
	"encoding/binary"
	"net"
)

// Layout of the header of a yamux frame.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
)

// coalescingConn is a connection that sends the header and the body of a yamux frame in one write.
//
// The send loop of yamux is the only writer. It writes the header first and the body right after.
type coalescingConn struct {
	net.Conn

	header []byte
}

// Write implements io.Writer.Write.
func (j *coalescingConn) Write(b []byte) (int, error) {
	if len(j.header) == 0 && isDataHeader(b) {
		j.header = append(j.header, b...)
		return len(b), nil
	}
	if len(j.header) == 0 {
		return j.Conn.Write(b)
	}
	h := len(j.header)
	j.header = append(j.header, b...)
	n, err := j.Conn.Write(j.header)
	j.header = j.header[:0]
	return max(n-h, 0), err
}

// isDataHeader reports whether b is the header of a data frame that has a body.
func isDataHeader(b []byte) bool {
	return len(b) == frameHeaderBytes && b[frameTypeOffset] == 0 && binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0
}
