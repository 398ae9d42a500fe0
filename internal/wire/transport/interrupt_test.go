package transport_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/route"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// lostPath is an upstream that answers nothing until it is told to.
type lostPath struct {
	address string
	timer   *timer.Service
	group   *group.Group
	answer  chan struct{}
}

func newLostPath(t *testing.T) *lostPath {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	p := &lostPath{address: l.Addr().String(), timer: timer.NewService(), group: group.NewGroup(ctx), answer: make(chan struct{})}
	p.group.Go("timer", p.timer.Run)
	p.group.Go("upstream", func(context.Context) error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			p.group.Go("connection", func(ctx context.Context) error {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return nil
				}
				select {
				case <-p.answer:
				case <-ctx.Done():
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return nil
			})
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		_ = p.group.Wait()
	})
	return p
}

// result is what became of a call.
type result struct {
	body string
	err  error
}

// send sends a call and returns what becomes of it.
func (p *lostPath) send(ctx context.Context, x *transport.Transport, repeatable bool, stranded func()) <-chan result {
	l := make(chan result, 1)
	n := p.timer.Now()
	c := &call.Call{
		ID: "c", Method: "POST", Path: "/", RouteConfig: route.Route{Repeatable: repeatable},
		Arrived: n, Deadline: n.Add(5 * time.Second), Stranded: stranded,
	}
	p.group.Go("call", func(context.Context) error {
		a, err := x.Do(ctx, p.address, c)
		if err != nil {
			l <- result{err: err}
			return nil
		}
		b, err := io.ReadAll(a.Body)
		l <- result{string(b), err}
		return a.Body.Close()
	})
	return l
}

// interrupt interrupts the connections to the upstream again and again for a time.
func (p *lostPath) interrupt(t *testing.T, x *transport.Transport, d time.Duration) {
	t.Helper()
	for end := p.timer.Now().Add(d); p.timer.Now().Before(end); {
		x.Interrupt(p.address)
		is.New(t).NoErr(p.timer.Sleep(t.Context(), 50*time.Millisecond))
	}
}

// TestSilentCallOnALostPathIsEndedIfItMayBeRepeated guards against callers that wait until their deadline though another host
// reaches the upstream.
func TestSilentCallOnALostPathIsEndedIfItMayBeRepeated(t *testing.T) {
	is := is.New(t)
	p := newLostPath(t)
	x := &transport.Transport{Timer: p.timer, BodyReadTimeout: time.Minute}
	r := p.send(t.Context(), x, true, nil)
	p.interrupt(t, x, 400*time.Millisecond)
	is.Equal(len(r), 0) // silent for less than half a second
	p.interrupt(t, x, 300*time.Millisecond)
	f := refusal.Of((<-r).err)
	is.Equal(f.Code, "path-lost")
	is.Equal(f.Verdict, verdict.MayHaveRun)
}

// TestSilentCallThatRunsOnceKeepsItsConnectionAndNoSlot guards against once-only calls that are ended though their path may
// come back, and that hold what others could use.
func TestSilentCallThatRunsOnceKeepsItsConnectionAndNoSlot(t *testing.T) {
	is := is.New(t)
	p := newLostPath(t)
	x := &transport.Transport{Timer: p.timer, BodyReadTimeout: time.Minute}
	var stranded atomic.Int64
	r := p.send(t.Context(), x, false, func() { stranded.Add(1) })
	p.interrupt(t, x, 800*time.Millisecond)
	is.Equal(stranded.Load(), int64(0))
	p.interrupt(t, x, 400*time.Millisecond)
	is.True(stranded.Load() > 0)
	close(p.answer)
	a := <-r
	is.NoErr(a.err)
	is.Equal(a.body, "ok")
}
