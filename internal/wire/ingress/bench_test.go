package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/clientguard"
	"siskinrun/internal/base/clientmemory"
	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/wire/ingress"
)

// bodyReader reads the body of each request and answers with no body.
type bodyReader struct{}

func (bodyReader) Handle(x *fasthttp.RequestCtx) {
	if _, err := ingress.ReadBody(x, 4<<20); err != nil {
		x.SetStatusCode(http.StatusServiceUnavailable)
	}
}

func (bodyReader) HandleReadError(*fasthttp.RequestCtx, error) {}

// BenchmarkRequest measures a request of usual size on a connection that stays open.
func BenchmarkRequest(b *testing.B) {
	is := is.New(b)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	m := timer.NewService()
	s := benchmarkServer(l, m)
	ctx, cancel := context.WithCancel(b.Context())
	g := group.NewGroup(ctx)
	clock, stop := context.WithCancel(context.WithoutCancel(ctx))
	t := group.NewGroup(clock)
	t.Go("timer", m.Run)
	g.Go("server", s.Run)
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	q := []byte("POST /ask HTTP/1.1\r\nHost: desk.example\r\n" + strings.Repeat("X-Some-Header: some value of it\r\n", 10) +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 1500, strings.Repeat("x", 1500)))
	in := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		_, err := c.Write(q)
		is.NoErr(err)
		r, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, r.Body)
		is.Equal(r.StatusCode, http.StatusOK)
	}
	_ = c.Close()
	cancel()
	_ = g.Wait()
	stop()
	_ = t.Wait()
}

func benchmarkServer(l net.Listener, m *timer.Service) *ingress.Server {
	return &ingress.Server{
		Listener: l, Dialect: bodyReader{}, Timer: m, MaxHeaderBytes: 16 << 10, Concurrency: 64,
		Guard:          &clientguard.Guard{Account: clientmemory.Account{Bytes: 32 << 20, Connections: 64}, Timer: m},
		MaxHeaderLines: 512,
	}
}
