package logwriter_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/logwriter"
	"siskinrun/internal/base/timer"
)

// TestStalledOutputDoesNotBlock logs more lines than the queue holds while nothing reads the output.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Unix(0, 0))
	r, out := io.Pipe()
	w := &logwriter.Writer{Out: out, Timer: m}
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("write", w.Run)
	l := zerolog.New(w)
	for i := range 20_000 {
		l.Warn().Int("n", i).Msg("refused")
	}
	g.Go("read", func(context.Context) error {
		_, err := io.Copy(io.Discard, r)
		return err
	})
	cancel()
	_ = out.Close()
	is.NoErr(g.Wait())
}

// TestWarningsPassTheInfoLimit exhausts the limit of info lines. Warnings and the count of dropped lines must still be
// written.
func TestWarningsPassTheInfoLimit(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Unix(0, 0))
	var out bytes.Buffer
	w := &logwriter.Writer{Out: &out, Timer: m}
	l := zerolog.New(w)
	for i := range 1000 {
		l.Info().Int("n", i).Msg("call")
	}
	l.Warn().Msg("refused")
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	started := make(chan struct{})
	g.Go("write", func(ctx context.Context) error {
		close(started)
		return w.Run(ctx)
	})
	<-started
	cancel()
	is.NoErr(g.Wait())
	is.Equal(strings.Count(out.String(), `"call"`), 400)
	is.True(strings.Contains(out.String(), `"refused"`))
	out.Reset()
	ctx, cancel = context.WithCancel(context.Background())
	g = group.NewGroup(ctx)
	g.Go("write", w.Run)
	for w.Dropped() > 0 {
		m.Advance(time.Second)
	}
	cancel()
	is.NoErr(g.Wait())
	is.True(strings.Contains(out.String(), `"dropped":600`))
}
