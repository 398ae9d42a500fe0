package exchange

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// body reads an answer and keeps its connection only if the answer was whole.
type body struct {
	exchange *Exchange
	conn     *conn
	response *fasthttp.Response
	reader   io.Reader
	deadline time.Time
	err      error
}

// Read implements io.Reader.Read.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	d := b.exchange.Timer.Now().Add(b.exchange.Silence)
	if b.deadline.Before(d) {
		d = b.deadline
	}
	_ = b.conn.SetReadDeadline(b.exchange.Timer.Deadline(d))
	n, err := b.reader.Read(p)
	if err != nil {
		b.finish(err)
	}
	return n, err
}

// Close implements io.Closer.Close.
func (b *body) Close() error {
	if b.err == nil {
		b.finish(io.ErrClosedPipe)
	}
	return nil
}

func (b *body) finish(err error) {
	b.err = err
	k := b.response.ConnectionClose() || b.response.Header.ContentLength() == lengthIdentity
	if err == io.EOF && !k {
		fasthttp.ReleaseResponse(b.response)
		b.exchange.put(b.conn)
		return
	}
	b.conn.close()
	fasthttp.ReleaseResponse(b.response)
}
