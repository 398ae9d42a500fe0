package ingress

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/wire/listener"
	"siskinrun/pkg/refusal"
)

var errCallerGone = errors.New("the caller closed the connection")

// exchange is one request of a caller and its response, in its dialect.
type exchange interface {
	// Run runs the call until its answer begins; ctx ends when the caller disconnects.
	Run(ctx context.Context) (*answer.Answer, error)
	// Refuse answers with the refusal inside err.
	Refuse(err error)
	// SetHeaders adds the headers of the dialect to those of the answer.
	SetHeaders(a *answer.Answer)
	// StreamError returns the bytes sent to the caller, before its connection closes, when an event stream fails.
	StreamError(err error) []byte
}

// ServeCall runs a call and forwards its answer as it arrives.
func (s *Server) ServeCall(x *fasthttp.RequestCtx, e exchange) {
	ctx, cancel := context.WithCancelCause(s.base)
	stop := s.tracked.Watch(x.Conn(), func() { cancel(errCallerGone) })
	end := func() {
		stop()
		cancel(nil)
	}
	a, err := e.Run(ctx)
	if err != nil {
		end()
		e.Refuse(err)
		return
	}
	if err := begin(a); err != nil {
		_ = a.Body.Close()
		end()
		e.Refuse(err)
		return
	}
	h := &x.Response.Header
	x.SetStatusCode(a.Status)
	if a.ContentType != "" {
		h.SetContentType(a.ContentType)
	}
	for _, v := range a.Headers {
		h.Add(v[0], v[1])
	}
	e.SetHeaders(a)
	s.send(x, &responseBody{body: a.Body, events: a.Length < 0, exchange: e, end: end}, a.Length)
}

// firstBytes is the length of the buffer for the first bytes of an answer without a length.
const firstBytes = 4 << 10

// begin reads the first bytes of an answer without a length, so that one that fails before them can still be refused.
func begin(a *answer.Answer) error {
	if a.Length >= 0 {
		return nil
	}
	b := make([]byte, firstBytes)
	n, err := 0, error(nil)
	for n == 0 && err == nil {
		n, err = a.Body.Read(b)
	}
	if n == 0 && err != io.EOF {
		return err
	}
	a.Body = &begunBody{ReadCloser: a.Body, first: b[:n], err: err}
	return nil
}

// begunBody is a body whose first bytes have been read, with the error that came with them.
type begunBody struct {
	io.ReadCloser
	first []byte
	err   error
}

// Read implements io.Reader.Read.
func (b *begunBody) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}

// Stream sends the output of write. If write fails, the connection closes without the end of the body and
// onError is called.
func (s *Server) Stream(x *fasthttp.RequestCtx, write func(ctx context.Context, w io.Writer) error, onError func(err error)) {
	ctx, cancel := context.WithCancel(s.base)
	r, w := io.Pipe()
	s.tracked.Group.Go("stream", func(context.Context) error {
		err := write(ctx, w)
		if err != nil && !errors.Is(err, io.ErrClosedPipe) {
			onError(err)
		}
		_ = w.CloseWithError(err)
		return nil
	})
	s.send(x, &responseBody{body: r, end: cancel}, -1)
}

// send makes o the response body; closing it marks the connection as idle.
func (s *Server) send(x *fasthttp.RequestCtx, o *responseBody, length int) {
	o.markIdle, _ = x.UserValue(markIdleKey).(func())
	x.SetBodyStream(o, length)
}

// ReadError returns the refusal for a request that the HTTP library could not read.
func ReadError(err error) *refusal.Refusal {
	var s *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &s):
		return refusal.NewNotRun(fasthttp.StatusRequestHeaderFieldsTooLarge, "header-too-large", "the request line and headers are too long")
	case errors.Is(err, listener.ErrTooManyLines):
		return errTooManyLines
	case errors.Is(err, listener.ErrNoRoom):
		return Overloaded()
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return refusal.NewNotRun(fasthttp.StatusRequestEntityTooLarge, "body-too-large", "the body is too long")
	default:
		return refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-request", "the request is malformed or incomplete")
	}
}

// ConnectionHeaders returns the headers, in lower case, that the Connection header declares hop-by-hop.
func ConnectionHeaders(x *fasthttp.RequestCtx) map[string]bool {
	m := map[string]bool{}
	for _, v := range x.Request.Header.PeekAll(fasthttp.HeaderConnection) {
		for n := range strings.SplitSeq(string(v), ",") {
			if n = strings.TrimSpace(n); n != "" {
				m[strings.ToLower(n)] = true
			}
		}
	}
	return m
}

// TooLarge returns the refusal for a body that is longer than a limit.
func TooLarge(limit int64) error {
	return refusal.NewNotRun(fasthttp.StatusRequestEntityTooLarge, "body-too-large",
		"the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
}

// responseBody is the body of the response to the caller.
type responseBody struct {
	body       io.ReadCloser
	events     bool
	exchange   exchange
	end        func()
	markIdle   func()
	errorEvent io.Reader
	once       sync.Once
}

// Read implements io.Reader.Read.
func (o *responseBody) Read(p []byte) (int, error) {
	if o.errorEvent != nil {
		n, err := o.errorEvent.Read(p)
		if err == io.EOF {
			return n, io.ErrUnexpectedEOF
		}
		return n, err
	}
	n, err := o.body.Read(p)
	if err == nil || err == io.EOF || !o.events {
		return n, err
	}
	b := o.exchange.StreamError(err)
	if len(b) == 0 {
		return n, err
	}
	o.errorEvent = strings.NewReader(string(b))
	return n, nil
}

// Close implements io.Closer.Close.
func (o *responseBody) Close() error {
	err := o.body.Close()
	o.once.Do(func() {
		o.end()
		if o.markIdle != nil {
			o.markIdle()
		}
	})
	return err
}
