package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/standin/faultinjection"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

func TestCallStopsAfterTwoLostUpstreams(t *testing.T) {
	for _, c := range []struct {
		name     string
		parts    []uint64
		attempts int
	}{
		{"prompt that others share", []uint64{1}, 2},
		{"no prompt", nil, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			l := listen(t)
			t.Cleanup(func() { _ = l.Close() })
			b.picker.upstreams = nil
			for _, n := range []string{"x", "y", "z", "w"} {
				b.picker.upstreams = append(b.picker.upstreams, upstream.Upstream{Name: n, Service: "desk", Address: l.Addr().String()})
			}
			g := group.NewGroup(t.Context())
			g.Go("crashing", func(context.Context) error {
				for {
					k, err := l.Accept()
					if err != nil {
						return nil
					}
					_, _ = k.Read(make([]byte, 1))
					_ = k.Close()
				}
			})
			q := b.plain(true)
			q.Parts = c.parts
			_, err := b.dispatcher.Serve(context.Background(), q)
			is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
			is.Equal(q.Record.Attempts, c.attempts)
			is.Equal(len(b.guard.lost), c.attempts)
		})
	}
}

func TestCallIsNotRetriedOnceItsPromptIsBlocked(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.guard.blockAfter = 1
	is.NoErr(b.services[0].Faults.Set(faultinjection.Die, 1))
	q := b.plain(true)
	q.Parts = []uint64{1}
	_, err := b.dispatcher.Serve(context.Background(), q)
	f := refusal.Of(err)
	is.Equal(f.Code, refusal.CodeCrashingPrompt)
	is.Equal(f.Status, 502)
	is.Equal(f.Verdict, verdict.MayHaveRun)
	is.Equal(q.Record.Attempts, 1)

	_, err = b.dispatcher.Serve(context.Background(), b.plain(true))
	f = refusal.Of(err)
	is.Equal(f.Status, 503)
	is.Equal(f.Verdict, verdict.NotRun)
	is.Equal(f.RetryAfter, time.Duration(0))

	_, err = b.dispatcher.ServeOn(context.Background(), b.picker.upstreams[0], b.plain(true))
	is.Equal(refusal.Of(err).Code, refusal.CodeCrashingPrompt)
}
