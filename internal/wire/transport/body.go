package transport

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/tcpend"
	"siskinrun/internal/data/call"
)

// errDisorderly is the end of an answer with its connection, which was reset, or ended before the upstream had received the request.
const errDisorderly = protocolError("the upstream did not close the connection in order")

// body reads an answer, and keeps its connection for reuse only if the answer was complete.
type body struct {
	transport *Transport
	conn      *conn
	call      *call.Call
	response  *fasthttp.Response
	reader    io.Reader
	deadline  time.Time
	err       error
}

// Read implements io.Reader.Read.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	d := b.transport.Timer.Now().Add(b.transport.BodyReadTimeout)
	if b.deadline.Before(d) {
		d = b.deadline
	}
	_ = b.conn.SetReadDeadline(b.transport.Timer.Deadline(d))
	n, err := b.reader.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && b.endsWithConnection() && !tcpend.Orderly(b.conn.Conn) {
		err = errDisorderly
	}
	err = b.transport.noteFault(b.conn, b.call, err)
	var m malformedError
	switch {
	case errors.As(err, &m):
		err = m.toRefusal()
	case err != io.EOF && b.conn.pathLost(err):
		err = newPathLost()
	default:
		err = opaque(err)
	}
	b.finish(err)
	return n, err
}

// Close implements io.Closer.Close.
func (b *body) Close() error {
	if b.err == nil {
		b.finish(io.ErrClosedPipe)
	}
	return nil
}

// endsWithConnection reports whether only the end of the connection says where the answer ends.
func (b *body) endsWithConnection() bool {
	return b.response.Header.ContentLength() == lengthIdentity
}

func (b *body) finish(err error) {
	b.err = err
	k := b.response.ConnectionClose() || b.endsWithConnection()
	if err == io.EOF && !k {
		fasthttp.ReleaseResponse(b.response)
		b.transport.putIdle(b.conn)
		return
	}
	b.conn.close()
	fasthttp.ReleaseResponse(b.response)
}
