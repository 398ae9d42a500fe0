package demo

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
)

// endWait is how long a host may take to end after a component has failed.
const endWait = 20 * time.Second

// TestHostEndsWhenAComponentFails guards against a host that keeps its callers for ever once a component has failed, since
// its drain waited for a timer that had ended with the other components.
func TestHostEndsWhenAComponentFails(t *testing.T) {
	is := is.New(t)
	out := &syncBuffer{}
	d := &Demo{Out: out, Log: zerolog.Nop()}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	g := group.NewGroup(ctx)
	ended := make(chan error, 1)
	g.Go("demo", func(ctx context.Context) error {
		ended <- d.Run(ctx)
		return nil
	})
	for !strings.Contains(out.String(), "export SISKIN_KEY=") {
		is.NoErr(ctx.Err())
		time.Sleep(pollInterval)
	}
	is.NoErr(d.listeners[d.settings.Fleet.Hosts["demo-a-1"].Peers].Close())
	select {
	case err := <-ended:
		is.True(err != nil)
		t.Log(err)
	case <-time.After(endWait):
		t.Fatal("the host has not ended")
	}
}
