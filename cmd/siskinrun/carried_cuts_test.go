package main

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

// TestCarriedStreamsAreNotEndedByLostUpstreams guards against a reset or an early close of an upstream that looks like the end
// of the answer once it has passed through another host.
func TestCarriedStreamsAreNotEndedByLostUpstreams(t *testing.T) {
	f, ctx := startLinkHosts(t, linkSetup{hosts: carriedHosts})
	c := f.newCuts(ctx)
	f.cut(refuse, f.entries[:carried]...)
	c.entries = f.entries[:carried]
	for _, framing := range []string{"length", "chunks", "none"} {
		for _, end := range []ending{closed, reset} {
			for _, inside := range []bool{false, true} {
				k := cut{framing, end, 5, inside, 0}
				c.askEach(ctx, t, streamPath, []cut{k}, wantWhole)
				if k.shows() {
					c.askEach(ctx, t, oncePath, []cut{k}, wantBroken)
				}
			}
			c.askEach(ctx, t, streamPath, []cut{{framing, end, 0, false, 0}}, wantWhole)
			c.askEach(ctx, t, oncePath, []cut{{framing, end, 0, false, 0}}, wantRefused)
		}
	}
}

// TestCarriedStreamsAreNotEndedByTheirCarrier guards against a host that is killed while it carries streams, whose end looks
// like that of their answers.
func TestCarriedStreamsAreNotEndedByTheirCarrier(t *testing.T) {
	f, ctx := startLinkHosts(t, linkSetup{hosts: 3, apart: 2})
	c := f.newCuts(ctx)
	h, carriers := f.entries[0], f.entries[1:]
	f.cut(hang, h)
	for _, p := range []struct {
		path  string
		ends  []string
		check func(t *testing.T, id string, s seen)
	}{
		{streamPath, carriers[:1], wantWhole},
		{oncePath, carriers, wantBroken},
	} {
		g := group.NewGroup(ctx)
		for i, framing := range []string{"length", "chunks", "none", "length", "chunks", "none"} {
			id := fmt.Sprint("carrier-", framing, p.path[1:len(p.path)-1], i)
			c.plan(id, cut{framing, holds, 5, false, 0})
			g.Go("stream", func(ctx context.Context) error {
				p.check(t, id, c.ask(ctx, h, streamRequest{id: id, path: p.path + "1"}))
				return nil
			})
		}
		is.New(t).NoErr(f.timer.Sleep(ctx, 300*time.Millisecond))
		for _, e := range p.ends {
			f.kill(e)
		}
		is.New(t).NoErr(g.Wait())
		for _, e := range p.ends {
			f.start(e)
		}
		f.await(ctx, "service", func() error {
			s := c.ask(ctx, h, streamRequest{id: fmt.Sprint("again-", f.timer.Now().UnixNano())})
			if s.status != http.StatusOK {
				return errors.Newf("status %d", s.status)
			}
			return nil
		})
	}
}
