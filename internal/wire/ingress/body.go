package ingress

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"

	"siskinrun/pkg/refusal"
)

// errCutBody refuses a request whose body ended early.
var errCutBody = refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-body", "the request body is incomplete")

// Body returns a reader of the body of a request, which fails if the body ends before its framing does.
func Body(x *fasthttp.RequestCtx) io.Reader {
	r := x.RequestBodyStream()
	if r == nil {
		return bytes.NewReader(x.Request.Body())
	}
	return &requestBody{reader: r, missing: x.Request.Header.ContentLength()}
}

// requestBody reads a body. The HTTP library ends one that is shorter than its length without an error.
type requestBody struct {
	reader io.Reader
	// missing is the number of bytes that the length of the body still promises, negative if it has none.
	missing int
}

// Read implements io.Reader.Read.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.missing -= n
	switch {
	case err == io.EOF && b.missing > 0:
		return n, errCutBody
	case err != nil && err != io.EOF:
		return n, errCutBody
	default:
		return n, err
	}
}
