package link

import (
	"encoding/binary"
	"net"
)

const (
	frameHeadBytes = 12
	frameTypeAt    = 1
	frameLengthAt  = 8
)

// joined is a connection on which the head and the body of a yamux frame leave in one write.
//
// The send loop of yamux is the only writer and writes them one after the other.
type joined struct {
	net.Conn

	head []byte
}

// Write implements io.Writer.Write.
func (j *joined) Write(b []byte) (int, error) {
	if len(j.head) == 0 && opensFrame(b) {
		j.head = append(j.head, b...)
		return len(b), nil
	}
	if len(j.head) == 0 {
		return j.Conn.Write(b)
	}
	h := len(j.head)
	j.head = append(j.head, b...)
	n, err := j.Conn.Write(j.head)
	j.head = j.head[:0]
	return max(n-h, 0), err
}

// opensFrame reports whether b is the head of a data frame whose body follows.
func opensFrame(b []byte) bool {
	return len(b) == frameHeadBytes && b[frameTypeAt] == 0 && binary.BigEndian.Uint32(b[frameLengthAt:]) > 0
}
