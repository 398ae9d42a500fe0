package main

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallsThatAnOlderBuildCarries guards against a host that refuses what the gateway of an older build passes on, or takes it for an
// answer of the upstream where it is none. It is left out without the program of an older build.
func TestCallsThatAnOlderBuildCarries(t *testing.T) {
	old := oldProgram(t)
	f, ctx := startLinkHosts(t, linkSetup{hosts: 3, apart: 2})
	c := f.newCuts(ctx)
	f.program = old
	for _, h := range f.entries[1:] {
		f.kill(h)
		f.start(h)
	}
	f.await(ctx, "readiness", func() error { return f.ready(ctx) })
	is.New(t).NoErr(f.timer.Sleep(ctx, 2*time.Second))
	f.cut(hang, f.entries[0])
	c.entries = f.entries[:1]
	for _, framing := range []string{"none", "length", "chunks"} {
		c.frame(framing)
		c.askSound(ctx, t, f.entries[0])
	}
	for _, a := range slices.Concat(spuriousAnswers(), malformedHeads()) {
		c.spoil(ctx, t, a, streamPath, 2, wantWhole)
		c.spoil(ctx, t, a, oncePath, 1, wantRefused)
	}
	id := "failure"
	c.reply(id, plain(framed(http.StatusUnprocessableEntity, "")))
	is.New(t).Equal(c.ask(ctx, f.entries[0], streamRequest{id: id, path: oncePath + "1"}).status, http.StatusUnprocessableEntity)
}
