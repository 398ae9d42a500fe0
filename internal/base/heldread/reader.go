package heldread

import (
	"io"
)

// firstBuffer is the first size of a buffer. What a caller's connection counts includes it.
const firstBuffer = 4 << 10

// memory is the account that buffers are on.
type memory interface {
	ReserveSpare(n int64) bool
	Release(n int64)
}

// Reader reads the begin of a body into a buffer that grows with it.
type Reader struct {
	// Memory, if set, is the account that the buffer is on.
	Memory memory
	// Most is the length up to which a body is read.
	Most int

	held int
}

// Read reads from a body of a length, negative if it is unknown, until it ends, is too long or there is no memory for more. It
// reports whether the body is whole. The memory stays reserved until Release or the end of the request.
func (r *Reader) Read(from io.Reader, length int) (b []byte, whole bool, err error) {
	b = make([]byte, 0, min(firstBuffer, r.Most))
	for err == nil {
		if len(b) == cap(b) {
			c := min(2*cap(b), r.Most)
			if length >= cap(b) {
				c = min(c, length+1) // the last byte is for the end of the body
			}
			if c == cap(b) || !r.Reserve(c) {
				return b, false, nil
			}
			b = append(make([]byte, 0, c), b...)
			r.release(r.held - c)
		}
		var n int
		n, err = from.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
	}
	if err == io.EOF {
		return b, true, nil
	}
	return b, false, err
}

// Reserve reserves n bytes more and reports whether there is room.
func (r *Reader) Reserve(n int) bool {
	if r.Memory == nil {
		return true
	}
	if !r.Memory.ReserveSpare(int64(n)) {
		return false
	}
	r.held += n
	return true
}

// Release releases all that was reserved.
func (r *Reader) Release() { r.release(r.held) }

func (r *Reader) release(n int) {
	if r.Memory != nil && n > 0 {
		r.Memory.Release(int64(n))
		r.held -= n
	}
}
