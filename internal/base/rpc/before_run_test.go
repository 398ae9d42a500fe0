package rpc_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

// TestCallThatBeganBeforeTheEndpointRunsIsAnswered guards against a ping of a session that was opened before Run, which found no
// group to run in or read it while Run set it.
func TestCallThatBeganBeforeTheEndpointRunsIsAnswered(t *testing.T) {
	for _, wait := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond} { // a ping is due after 400 ms
		t.Run(wait.String(), func(t *testing.T) {
			is := is.New(t)
			a, b := newPair(t, "s", "s")
			b.Handle("slow", func(ctx context.Context, _ string, body []byte) ([]byte, error) {
				return body, b.Timer.Sleep(ctx, 1500*time.Millisecond)
			})
			run(t, b)
			runTimer(t, a)
			g := group.NewGroup(t.Context())
			g.Go("call", func(ctx context.Context) error {
				_, err := a.Call(ctx, "b", "slow", nil)
				return err
			})
			is.NoErr(a.Timer.Sleep(t.Context(), wait))
			run(t, a)
			is.NoErr(g.Wait())
		})
	}
}
