package chunkedbody

import (
	"bufio"
	"io"
	"net/http/httputil"

	"siskinrun/internal/base/answerhead"
)

// Reader reads a body in chunks and the trailer behind it.
type Reader struct {
	// In brings the chunks.
	In *bufio.Reader
	// Trailer reads the trailer, whose grammar has been checked.
	Trailer func(in *bufio.Reader) error

	chunks io.Reader
	err    error
}

// Read implements io.Reader.Read. It returns io.EOF once the trailer has come whole, and a *headgrammar.Fault if the trailer breaks the
// grammar of HTTP.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if r.chunks == nil {
		r.chunks = httputil.NewChunkedReader(r.In)
	}
	n, err := r.chunks.Read(p)
	if err == io.EOF {
		err = r.end()
	}
	r.err = err
	return n, err
}

// end reads the trailer and returns io.EOF if it is sound.
func (r *Reader) end() error {
	if err := answerhead.PeekTrailer(r.In); err != nil {
		return cut(err)
	}
	if err := r.Trailer(r.In); err != nil {
		return cut(err)
	}
	return io.EOF
}

// cut returns the error of a trailer, whose early end is none of the body.
func cut(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
