package dispatch_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// script is what an upstream writes to one request, and how its connection ends after it.
type script struct {
	text  string
	reset bool
	// keep leaves the connection open.
	keep bool
}

// startScripted starts an upstream that answers its requests by scripts, in order and the last one again.
func startScripted(t *testing.T, name string, scripts ...script) upstream.Upstream {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	requests := make(chan script, len(scripts)+16)
	for _, s := range scripts {
		requests <- s
	}
	last := scripts[len(scripts)-1]
	next := func() script {
		select {
		case s := <-requests:
			return s
		default:
			return last
		}
	}
	g := group.NewGroup(t.Context())
	g.Go("upstream", func(context.Context) error {
		for {
			k, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go("connection", func(context.Context) error {
				play(k, next)
				return nil
			})
		}
	})
	return upstream.Upstream{Name: name, Service: "desk", Version: "v1", Address: l.Addr().String()}
}

// play answers the requests of a connection until a script ends it.
func play(k net.Conn, next func() script) {
	in := bufio.NewReader(k)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			_ = k.Close()
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		s := next()
		_, _ = io.WriteString(k, s.text)
		if s.keep {
			continue
		}
		if s.reset {
			time.Sleep(50 * time.Millisecond) // what was written arrives before the reset
			_ = k.(*net.TCPConn).SetLinger(0)
		}
		_ = k.Close()
		return
	}
}

func (b *fixture) streamed(repeatable bool) *call.Call {
	c := b.plain(repeatable)
	c.Stream = true
	return c
}

// TestStreamStopsAfterTwoUpstreamsLostBeforeItsFirstEvent guards against a prompt that ends upstreams once the headers of
// its answer have come, when the call counts as answered.
func TestStreamStopsAfterTwoUpstreamsLostBeforeItsFirstEvent(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.dispatcher.PlainStreams = true
	b.picker.upstreams = nil
	headers := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, n := range []string{"x", "y", "z"} {
		b.picker.upstreams = append(b.picker.upstreams, startScripted(t, n, script{text: headers, reset: true}))
	}
	q := b.streamed(true)
	q.Parts = []uint64{1}
	a, err := b.dispatcher.Serve(context.Background(), q)
	is.NoErr(err)
	_, err = io.ReadAll(a.Body)
	is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
	is.Equal(b.guard.lost, []bool{true, true})
	is.Equal(b.guard.began, 0)
}
