package rpc_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallBeforeRunIsAnswered guards against a host that ends when one of its first calls waits longer than until a ping.
func TestCallBeforeRunIsAnswered(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t, "s", "s")
	runTimer(t, a)
	b.Handle("wait", func(_ context.Context, _ string, body []byte) ([]byte, error) {
		return body, b.Timer.Sleep(t.Context(), time.Second)
	})
	run(t, b)
	got, err := a.Call(t.Context(), "b", "wait", []byte("x"))
	is.NoErr(err)
	is.Equal(string(got), "x")
}
