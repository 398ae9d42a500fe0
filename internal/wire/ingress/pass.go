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
	"siskinrun/pkg/refusal"
)

var errGone = errors.New("the caller has gone")

// exchange is one call of a caller in its dialect.
type exchange interface {
	// Run runs the call until its answer begins; ctx ends when the caller leaves.
	Run(ctx context.Context) (*answer.Answer, error)
	// Refuse answers with the refusal inside err.
	Refuse(err error)
	// Head adds the dialect's own headers to those of the answer.
	Head(a *answer.Answer)
	// Broken returns what the caller gets, before its connection closes, when a stream of events ends early.
	Broken(err error) []byte
}

// Pass runs a call and passes its answer on as it comes.
func (i *Ingress) Pass(x *fasthttp.RequestCtx, e exchange) {
	ctx, cancel := context.WithCancelCause(i.base)
	stop := i.accept.Watch(x.Conn(), func() { cancel(errGone) })
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
	h := &x.Response.Header
	x.SetStatusCode(a.Status)
	if a.ContentType != "" {
		h.SetContentType(a.ContentType)
	}
	for _, v := range a.Headers {
		h.Add(v[0], v[1])
	}
	e.Head(a)
	i.send(x, &outgoing{body: a.Body, events: a.Length < 0, exchange: e, end: end}, a.Length)
}

// Stream sends what write produces; a failure cuts the connection instead of ending the body.
func (i *Ingress) Stream(x *fasthttp.RequestCtx, write func(ctx context.Context, w io.Writer) error, cut func(err error)) {
	ctx, cancel := context.WithCancel(i.base)
	r, w := io.Pipe()
	i.accept.Group.Go("stream", func(context.Context) error {
		err := write(ctx, w)
		if err != nil && !errors.Is(err, io.ErrClosedPipe) {
			cut(err)
		}
		_ = w.CloseWithError(err)
		return nil
	})
	i.send(x, &outgoing{body: r, end: cancel}, -1)
}

// send makes o the body of the answer; the connection is free again once it is closed.
func (i *Ingress) send(x *fasthttp.RequestCtx, o *outgoing, length int) {
	o.release, _ = x.UserValue(releaseKey).(func())
	x.SetBodyStream(o, length)
}

// Body reads the body of a request up to a limit.
func Body(x *fasthttp.RequestCtx, limit int64) ([]byte, error) {
	if int64(x.Request.Header.ContentLength()) > limit {
		x.SetConnectionClose()
		return nil, TooLarge(limit)
	}
	r := x.RequestBodyStream()
	if r == nil {
		return append([]byte(nil), x.Request.Body()...), nil
	}
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		x.SetConnectionClose()
		return nil, refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-body", "the body did not arrive whole")
	}
	if int64(len(b)) > limit {
		x.SetConnectionClose()
		return nil, TooLarge(limit)
	}
	return b, nil
}

// Unreadable returns the refusal of what the HTTP library could not read.
func Unreadable(err error) *refusal.Refusal {
	var s *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &s):
		return refusal.NewNotRun(fasthttp.StatusRequestHeaderFieldsTooLarge, "header-too-large", "the head of the request is too long")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return refusal.NewNotRun(fasthttp.StatusRequestEntityTooLarge, "body-too-large", "the body is too long")
	default:
		return refusal.NewNotRun(fasthttp.StatusBadRequest, "bad-request", "the request cannot be read")
	}
}

// Hops are the headers that the Connection header declares to concern one connection alone.
func Hops(x *fasthttp.RequestCtx) map[string]bool {
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

// TooLarge returns the refusal of a body that is longer than a limit.
func TooLarge(limit int64) error {
	return refusal.NewNotRun(fasthttp.StatusRequestEntityTooLarge, "body-too-large",
		"the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
}

// outgoing is the body of an answer on its way to the caller.
type outgoing struct {
	body     io.ReadCloser
	events   bool
	exchange exchange
	end      func()
	release  func()
	last     io.Reader
	once     sync.Once
}

// Read implements io.Reader.Read.
func (o *outgoing) Read(p []byte) (int, error) {
	if o.last != nil {
		n, err := o.last.Read(p)
		if err == io.EOF {
			return n, io.ErrUnexpectedEOF
		}
		return n, err
	}
	n, err := o.body.Read(p)
	if err == nil || err == io.EOF || !o.events {
		return n, err
	}
	b := o.exchange.Broken(err)
	if len(b) == 0 {
		return n, err
	}
	o.last = strings.NewReader(string(b))
	return n, nil
}

// Close implements io.Closer.Close.
func (o *outgoing) Close() error {
	err := o.body.Close()
	o.once.Do(func() {
		o.end()
		if o.release != nil {
			o.release()
		}
	})
	return err
}
