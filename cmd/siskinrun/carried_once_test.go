package main

import "testing"

// carriedHosts is the number of entry hosts of a fleet that carries calls, of which the first carried ones have no links.
const (
	carriedHosts = 4
	carried      = 2
)

// TestCarriedCallThatMayRunOnceIsNeitherRepeatedNorSaidNotToHaveRun guards against a repeat or a false promise after an answer
// that was lost on its way through another host.
func TestCarriedCallThatMayRunOnceIsNeitherRepeatedNorSaidNotToHaveRun(t *testing.T) {
	f, ctx := startLinkHosts(t, linkSetup{hosts: carriedHosts})
	o := f.newOnce(ctx, onceScripts())
	f.cut(hang, f.entries[:carried]...)
	o.loseOnceCalls(ctx, t, f.entries[:carried])
}
