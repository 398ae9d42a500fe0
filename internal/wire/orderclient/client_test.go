package orderclient_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/order"
	"siskinrun/internal/standin/engine"
	"siskinrun/internal/standin/faultinjection"
	"siskinrun/internal/wire/orderclient"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

func TestOrdersReachAnEngine(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	s := timer.NewService()
	ctx, stop := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", s.Run)
	v := &engine.Engine{
		Listener:    l,
		Timer:       s,
		Upstream:    upstream.Upstream{Name: "e", Models: []string{"m@1"}, Slots: 2, Fencing: true, Incarnation: 3},
		CacheBlocks: 10,
		Faults:      &faultinjection.Injector{},
	}
	g.Go("engine", v.Run)
	e := &orderclient.Client{Transport: &transport.Transport{Timer: s, IdleTimeout: time.Second, BodyReadTimeout: time.Second}, Timer: s}

	until := s.Now().Add(time.Minute)
	is.NoErr(e.Send(ctx, address, order.Order{Kind: order.Load, Model: "m@2", Fence: 7, Until: until}))
	is.NoErr(e.Send(ctx, address, order.Order{Kind: order.Role, Role: "decode", Fence: 7, Until: until}))
	is.True(e.Send(ctx, address, order.Order{Kind: order.Unload, Model: "m@1", Fence: 6, Until: until}) != nil) // a stale fencing token
	err = e.Send(ctx, address, order.Order{Kind: order.Load, Model: "m@3", Fence: 7, Until: s.Now()})
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun) // its time has passed
	u, err := e.State(ctx, address)
	is.NoErr(err)
	is.Equal(u.Models, []string{"m@1", "m@2"})
	is.Equal(u.Role, "decode")
	is.Equal(u.Incarnation, uint64(3))

	stop()
	_ = g.Wait()
	err = e.Send(context.Background(), address, order.Order{Kind: order.Load, Model: "m@3", Until: until})
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
}
