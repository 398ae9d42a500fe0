package ingress

import (
	"bytes"
	"io"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/pkg/refusal"
)

const (
	// firstBody is the first size of the buffer of a body.
	firstBody = 4 << 10
	// minRetryAfter and maxRetryAfter bound when a caller that there was no memory for comes back: evicted clients leave within
	// less, and callers have 3 s as a rule, of which a refusal may take a third.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
	// connBytes is what a connection takes beside the buffer of its header section: that of the response, stacks, the request.
	connBytes = 24 << 10
	// largeHeaderShare is the share of the longest header section above which a connection ends after the response, since the
	// HTTP library keeps what it grew for each line.
	largeHeaderShare = 4
	// largeResponse is the length above which a response counts until it is written, since its caller may read slowly.
	largeResponse = 16 << 10
)

// errTooManyLines refuses a header section of too many lines.
var errTooManyLines = refusal.NewNotRun(fasthttp.StatusRequestHeaderFieldsTooLarge, "too-many-header-lines",
	"the header section has too many lines")

// Overloaded returns the refusal of a request for which there is no memory.
func Overloaded() *refusal.Refusal {
	d := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	return refusal.NewNotRun(fasthttp.StatusServiceUnavailable, "overloaded", "this host has no memory for the request").WithRetryAfter(d)
}

// holder is a connection that is on the account of what callers hold.
type holder interface {
	Reserve(n int64) bool
	Release(n int64)
	Complete()
}

// Reserve reserves memory for a request until it ends, or returns a refusal.
func Reserve(x *fasthttp.RequestCtx, n int64) error {
	if h, ok := x.Conn().(holder); ok && !h.Reserve(n) {
		x.SetConnectionClose()
		return Overloaded()
	}
	return nil
}

// ReserveLarge is Reserve for the largest requests, of which one at a time has room in any account.
func ReserveLarge(x *fasthttp.RequestCtx, n int64) error {
	if h, ok := x.Conn().(interface{ ReserveLarge(n int64) bool }); ok && !h.ReserveLarge(n) {
		x.SetConnectionClose()
		return Overloaded()
	}
	return nil
}

// Complete records that a request has arrived, so that its connection is not closed before it is answered.
func Complete(x *fasthttp.RequestCtx) {
	if h, ok := x.Conn().(holder); ok {
		h.Complete()
	}
}

// Memory returns the account of what the caller of a request holds, nil if there is none.
func Memory(x *fasthttp.RequestCtx) interface {
	Reserve(n int64) bool
	ReserveSpare(n int64) bool
	Release(n int64)
} {
	h, _ := x.Conn().(spareHolder)
	return h
}

// spareHolder is a connection of a caller. Those of operators pass no answers on.
type spareHolder interface {
	holder
	ReserveSpare(n int64) bool
}

// arrived reports whether the body of a request was read whole, or whether that is not known.
func arrived(x *fasthttp.RequestCtx) bool {
	h, ok := x.Conn().(interface{ Arrived() bool })
	return !ok || h.Arrived()
}

func release(x *fasthttp.RequestCtx, n int64) {
	if h, ok := x.Conn().(holder); ok {
		h.Release(n)
	}
}

// holdResponse reserves the body of a response until it is written, and then calls done. The response is sent even if there is no
// room: its caller has waited for it, and those that stall are evicted first.
func holdResponse(x *fasthttp.RequestCtx, done func()) {
	b := x.Response.SwapBody(nil)
	if h, ok := x.Conn().(holder); ok {
		h.Reserve(int64(len(b)))
	}
	x.SetBodyStream(&heldBody{Reader: bytes.NewReader(b), done: done}, len(b))
}

// heldBody is the body of a response that is on the account.
type heldBody struct {
	*bytes.Reader
	done func()
}

// Close implements io.Closer.Close.
func (b *heldBody) Close() error {
	b.done()
	return nil
}

// ReadBody returns the body of a request, or a refusal if it is longer than a limit or there is no memory for it. Its memory
// is reserved as it arrives.
func ReadBody(x *fasthttp.RequestCtx, limit int64) ([]byte, error) {
	n := int64(x.Request.Header.ContentLength())
	if n > limit {
		x.SetConnectionClose()
		return nil, TooLarge(limit)
	}
	most := limit + 1
	if n >= 0 && x.RequestBodyStream() != nil {
		most = n
	}
	b, err := readAll(x, Body(x), most)
	if err != nil {
		x.SetConnectionClose()
		return nil, err
	}
	if int64(len(b)) > limit {
		x.SetConnectionClose()
		return nil, TooLarge(limit)
	}
	Complete(x)
	return b, nil
}

// readAll reads up to most bytes into a buffer that grows with them.
func readAll(x *fasthttp.RequestCtx, r io.Reader, most int64) ([]byte, error) {
	b := []byte{}
	for int64(len(b)) < most {
		if len(b) == cap(b) {
			c := min(max(firstBody, 2*int64(cap(b))), most)
			if err := Reserve(x, c); err != nil {
				return nil, err
			}
			o := cap(b)
			b = append(make([]byte, 0, c), b...)
			release(x, int64(o))
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, errCutBody
		}
	}
	return b, nil
}
