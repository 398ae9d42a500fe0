package main

import "testing"

// TestCarriedStreamsAreNotEndedByLostUpstreams guards against a reset or an early close of an upstream that looks like the end
// of the answer once it has passed through another host.
func TestCarriedStreamsAreNotEndedByLostUpstreams(t *testing.T) {
	f, ctx := startLinkHosts(t, linkSetup{hosts: carriedHosts})
	c := f.newCuts(ctx)
	f.cut(refuse, f.entries[:carried]...)
	c.entries = f.entries[:carried]
	for _, framing := range []string{"length", "chunks", "none"} {
		for _, end := range []ending{closed, reset} {
			for _, inside := range []bool{false, true} {
				k := cut{framing, end, 5, inside, 0}
				c.askEach(ctx, t, streamPath, []cut{k}, wantWhole)
				if k.shows() {
					c.askEach(ctx, t, oncePath, []cut{k}, wantBroken)
				}
			}
			c.askEach(ctx, t, streamPath, []cut{{framing, end, 0, false, 0}}, wantWhole)
			c.askEach(ctx, t, oncePath, []cut{{framing, end, 0, false, 0}}, wantRefused)
		}
	}
}
