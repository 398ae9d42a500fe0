package transport

import (
	"bufio"
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// opaqueError is the failure of a connection to an upstream. Its text holds neither addresses nor bytes of the upstream, as
// it may reach callers.
type opaqueError struct {
	text  string
	cause error
}

// Error implements error.Error.
func (o *opaqueError) Error() string {
	return o.text
}

// Unwrap returns the error of the connection.
func (o *opaqueError) Unwrap() error {
	return o.cause
}

// protocolError is an answer that this host does not accept.
type protocolError string

// Error implements error.Error.
func (p protocolError) Error() string {
	return string(p)
}

// spuriousError is a message in place of an answer, with the reason why it is not the upstream's answer to the call.
type spuriousError string

// Error implements error.Error.
func (s spuriousError) Error() string {
	return string(s)
}

// opaque returns an error whose text tells the kind of err only.
func opaque(err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &opaqueError{kind(err), err}
}

// kind returns what kind of failure an error is.
func kind(err error) string {
	var p protocolError
	var t interface{ Timeout() bool }
	var s *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &p):
		return string(p)
	case errors.As(err, &t) && t.Timeout():
		return "the upstream took too long"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "the upstream refused the connection"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "the upstream reset the connection"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "the upstream closed the connection"
	case errors.As(err, &s), errors.Is(err, bufio.ErrBufferFull):
		return "the head of the upstream's answer is too long"
	}
	return "the connection to the upstream failed or its answer is malformed"
}
