package ingress_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/clientguard"
	"siskinrun/internal/base/clientmemory"
	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/wire/ingress"
)

const (
	// fuzzBody is the longest body, and fuzzMemory is what callers may hold.
	fuzzBody   = 8 << 10
	fuzzMemory = 256 << 10
	// fuzzTimeout is how long a connection may stay open after its caller has sent all.
	fuzzTimeout = 5 * time.Second
)

// lengthDialect reads the body of each request and fails the test if it is longer than permitted.
type lengthDialect struct{ tooLong chan int }

func (d lengthDialect) Handle(x *fasthttp.RequestCtx) {
	b, err := ingress.ReadBody(x, fuzzBody)
	if err != nil {
		x.SetStatusCode(http.StatusBadRequest)
	}
	if len(b) > fuzzBody {
		d.tooLong <- len(b)
	}
}

func (lengthDialect) HandleReadError(x *fasthttp.RequestCtx, _ error) {
	x.SetStatusCode(http.StatusBadRequest)
}

// FuzzChunks guards against chunked bodies that end the server, exceed the length, keep the connection open for good or leave
// memory on the account.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("1\r\nx\r\n1;a=b\r\ny\r\n0\r\nTrailer: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("ffffffffffffffff\r\n"))
	f.Add(append([]byte("4000\r\n"), bytes.Repeat([]byte("x"), 0x4000)...))
	is := is.New(f)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	m := timer.NewService()
	d := lengthDialect{make(chan int, 1)}
	s := &ingress.Server{
		Listener: l, Dialect: d, Timer: m, Log: zerolog.Nop(), MaxHeaderBytes: 4 << 10, Concurrency: 64, ReadTimeout: fuzzTimeout,
		Guard: &clientguard.Guard{Account: clientmemory.Account{Bytes: fuzzMemory}, Timer: m}, MaxHeaderLines: 64,
		StopTimeout: time.Second,
	}
	g := group.NewGroup(f.Context())
	g.Go("timer", m.Run)
	g.Go("server", func(ctx context.Context) error { return s.Run(ctx) })
	f.Fuzz(func(t *testing.T, body []byte) {
		var n net.Dialer
		c, err := n.DialContext(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(fuzzTimeout))
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = c.Write(body)
		_ = c.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, c); err != nil && err.(net.Error).Timeout() {
			t.Fatalf("%q: %v", body, err)
		}
		_ = c.Close()
		for i := 0; s.Guard.Held() > 0; i++ {
			if i > 1000 {
				t.Fatalf("%q: %d bytes are held", body, s.Guard.Held())
			}
			time.Sleep(5 * time.Millisecond)
		}
		select {
		case n := <-d.tooLong:
			t.Fatalf("%q: a body of %d bytes", body, n)
		default:
		}
	})
}
