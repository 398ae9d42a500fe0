package transport

import (
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/framing"
	"siskinrun/internal/wire/chunkedbody"
)

// lengthIdentity is fasthttp's content length for a body that ends with its connection.
const lengthIdentity = -2

func (e *Transport) answer(k *conn, c *call.Call, p *fasthttp.Response) *answer.Answer {
	a := &answer.Answer{
		Status:      p.StatusCode(),
		ContentType: string(p.Header.ContentType()),
		Length:      max(p.Header.ContentLength(), -1),
		Framing:     framingOf(p.Header.ContentLength()),
	}
	for n, v := range p.Header.All() {
		if s := string(n); EndToEnd(s) && !strings.EqualFold(s, "content-type") && !e.dialect().Private(s) {
			a.Headers = append(a.Headers, [2]string{s, string(v)})
		}
	}
	b := &body{transport: e, conn: k, call: c, response: p, reader: p.BodyStream(), deadline: c.Deadline}
	switch {
	case b.reader == nil:
		b.reader = emptyReader{}
		a.Length, a.Framing = 0, framing.Length
	case a.Framing == framing.Chunks:
		b.reader = &chunkedbody.Reader{In: k.in, Trailer: p.Header.ReadTrailer}
	}
	a.Body = b
	return a
}

// framingOf returns the framing of an answer with the given content length, as fasthttp states it.
func framingOf(length int) framing.Framing {
	switch {
	case length >= 0:
		return framing.Length
	case length == lengthIdentity:
		return framing.None
	default:
		return framing.Chunks
	}
}

type emptyReader struct{}

// Read implements io.Reader.Read.
func (emptyReader) Read([]byte) (int, error) {
	return 0, io.EOF
}
