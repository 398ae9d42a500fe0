package main

import (
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endOfGrace is the time after which a host that was told to stop is killed in the test, before the upstream ends its answer.
const endOfGrace = time.Second

// TestStreamOfAHostThatEndsIsNotComplete guards against a stream that looks complete to its caller because its host was
// killed, at once or at the end of the time that it has to stop.
func TestStreamOfAHostThatEndsIsNotComplete(t *testing.T) {
	f, ctx := newCutFleet(t)
	h := f.entries[0]
	for _, stops := range []bool{false, true} {
		for _, framing := range []string{"length", "chunks", "none"} {
			t.Run(fmt.Sprint(framing, " stops ", stops), func(t *testing.T) {
				is := is.New(t)
				id := t.Name()
				f.plan(id, cut{framing, holds, 5, false, 0})
				c, err := f.open(ctx, h, streamRequest{id: id, path: oncePath + "1"})
				is.NoErr(err)
				is.NoErr(c.read(5))
				if stops {
					is.NoErr(f.processes[h].Process.Signal(syscall.SIGTERM))
					is.NoErr(f.timer.Sleep(ctx, endOfGrace))
				}
				f.kill(h)
				is.True(c.read(workerEvents) != io.EOF)
				is.Equal(c.last, 5)
				f.start(h)
				f.await(ctx, "readiness", func() error { return f.ready(ctx) })
			})
		}
	}
}
