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
	is.Equal(f.RetryAfter, time.Minute) // a caller stops rather than comes back
}

// TestItemIsSentWhateverIsQuarantined guards against items that are owed and wait for a request that looks like them.
func TestItemIsSentWhateverIsQuarantined(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.guard.blockAfter, b.guard.lost, b.guard.refuse = 1, []bool{true}, true
	c := b.plain(true)
	c.Batch, c.Parts = true, []uint64{1}
	for _, u := range b.picker.upstreams {
		if u.Name == "service-a" {
			a, err := b.dispatcher.ServeOn(t.Context(), u, c)
			is.NoErr(err)
			is.Equal(a.Status, 200)
		}
	}
	is.Equal(b.services[0].Runs()["c2"], 1)
	is.Equal(b.guard.tried, 0)
	is.Equal(len(c.Traits()), 0) // what becomes of it is no evidence
}

// TestCallOfASuspectThatIsTriedIsRefusedTruly guards against a refusal that says not run of a call that was sent before.
func TestCallOfASuspectThatIsTriedIsRefusedTruly(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.guard.refuse = true
	q := b.plain(true)
	_, err := b.dispatcher.Serve(t.Context(), q)
	f := refusal.Of(err)
	is.Equal(f.Code, refusal.CodeSuspectRequest)
	is.Equal(f.Status, 503)
	is.Equal(f.Verdict, verdict.NotRun)
	is.Equal(f.RetryAfter, time.Second)
	is.Equal(q.Record.Attempts, 0)

	b.guard.refuse, b.guard.refuseAfter = false, 1
	is.NoErr(b.services[0].Faults.Set(faultinjection.Die, 1))
	q = b.plain(true)
	_, err = b.dispatcher.Serve(t.Context(), q)
	f = refusal.Of(err)
	is.Equal(f.Code, refusal.CodeSuspectRequest)
	is.Equal(f.Status, 502)
	is.Equal(f.Verdict, verdict.MayHaveRun)
	is.Equal(q.Record.Attempts, 1)
	is.Equal(b.guard.over, 1)
	is.True(!b.guard.sent[0].Before(q.Arrived)) // evidence says when the call was sent
}

// TestTrialIsOverOnceItsAnswerBegins guards against calls that wait for a trial until its whole answer has come.
func TestTrialIsOverOnceItsAnswerBegins(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	a, err := b.dispatcher.Serve(t.Context(), b.completion(true))
	is.NoErr(err)
	is.Equal(b.guard.over, 0)
	_, err = a.Body.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(b.guard.over, 1)
	is.Equal(b.guard.began, 1)
	_ = a.Body.Close()
}
