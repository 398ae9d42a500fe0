package transport_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// TestSilentUpstreamDoesNotHoldABatchItem guards against an item that an upstream has taken and dropped without an answer:
// it must go to another upstream long before the call's own deadline, while an online call waits as long as its caller.
func TestSilentUpstreamDoesNotHoldABatchItem(t *testing.T) {
	const silence, patience = 100 * time.Millisecond, 400 * time.Millisecond
	for _, c := range []struct {
		name        string
		batch       bool
		least, most time.Duration
	}{
		{"batch item", true, silence, patience},
		{"online call", false, patience, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			g := group.NewGroup(t.Context())
			g.Go("upstream", func(ctx context.Context) error {
				k, err := l.Accept()
				<-ctx.Done()
				if err == nil {
					err = k.Close()
				}
				return err
			})
			m := timer.NewService()
			x := &transport.Transport{Timer: m, BodyReadTimeout: silence}
			began := m.Now()
			_, err = x.Do(t.Context(), l.Addr().String(), &call.Call{
				ID: "i", Method: "POST", Path: "/", Batch: c.batch, Stream: true, Deadline: began.Add(patience),
			})
			took := m.Now().Sub(began)
			is.Equal(refusal.Of(err).Code, "upstream-timeout")
			is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
			is.True(took >= c.least && took < c.most)
		})
	}
}
