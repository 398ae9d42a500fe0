package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// endTime is the time within which the end of a whole stream reaches its caller, long before callers give it up.
	endTime = time.Second
	// prompts is the number of prompts whose upstream crashes.
	prompts = 8
)

// TestEndIsNotConfirmedByALostUpstream guards against a close between two events that counts as the end of a stream, since the
// upstream that is asked for the rest is lost as well.
func TestEndIsNotConfirmedByALostUpstream(t *testing.T) {
	f, ctx := newCutFleet(t)
	c := cut{"none", closed, 5, false, 0}
	for _, next := range []cut{
		{"none", closed, 0, false, 0}, {"none", exits, 0, false, 0}, {"none", reset, 0, false, 0},
		{"none", closed, 0, true, 0}, {"chunks", closed, 0, false, 0}, {"length", closed, 0, false, 0},
	} {
		f.askEach(ctx, t, streamPath, []cut{c, next}, wantWhole)
	}
}

// TestEndIsNotBelievedWhereConfirmationsBreakOff guards against a close between two events that counts as the end of a stream,
// since each upstream that is asked for the rest breaks off or is silent.
func TestEndIsNotBelievedWhereConfirmationsBreakOff(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, next := range []cut{
		{"none", reset, 0, false, 0}, {"chunks", reset, 0, false, 0}, {"length", closed, 0, false, 0}, {"chunks", holds, 0, false, 0},
	} {
		f.askEach(ctx, t, streamPath, []cut{{"none", closed, 5, false, 0}, next, next}, wantBroken)
	}
}

// TestEndIsNotConfirmedByBusyUpstreams guards against a close between two events that counts as the end of a stream, since
// upstreams that were too busy to run the call used up the attempts.
func TestEndIsNotConfirmedByBusyUpstreams(t *testing.T) {
	f, ctx := newCutFleet(t)
	busy := cut{"length", whole, 0, false, http.StatusServiceUnavailable}
	f.askEach(ctx, t, streamPath, []cut{{"none", closed, 5, false, 0}, busy, busy, busy}, wantWhole)
	f.askEach(ctx, t, streamPath, []cut{busy, busy, {"none", closed, 5, false, 0}}, wantWhole)
}

// TestBrokenStreamGoesOnAfterRefusals guards against a stream that breaks off for good, since upstreams that were too busy to run
// the call used up its attempts.
func TestBrokenStreamGoesOnAfterRefusals(t *testing.T) {
	f, ctx := newCutFleet(t)
	busy := cut{"length", whole, 0, false, http.StatusServiceUnavailable}
	broken := cut{"chunks", reset, 5, true, 0}
	f.askEach(ctx, t, streamPath, []cut{busy, busy, broken}, wantWhole)
	f.askEach(ctx, t, streamPath, []cut{busy, busy, broken, broken}, wantWhole)
	f.askEach(ctx, t, streamPath, []cut{busy, broken, broken, broken}, wantBroken)
}

// TestSilentUpstreamDoesNotHoldTheEndOfAWholeStream guards against a stream that its caller gives up, since the upstream that
// is asked whether anything follows is silent after its headers.
func TestSilentUpstreamDoesNotHoldTheEndOfAWholeStream(t *testing.T) {
	f, ctx := newCutFleet(t)
	for i, framing := range []string{"length", "chunks", "none"} {
		t.Run(framing, func(t *testing.T) {
			id := t.Name()
			f.plan(id, cut{"none", whole, workerEvents, false, 0}, cut{framing, holds, 0, false, 0})
			began := f.timer.Now()
			wantWhole(t, id, f.ask(ctx, f.entries[i], streamRequest{id: id}))
			is.New(t).True(f.timer.Now().Sub(began) < endTime)
		})
	}
}

// TestEndIsNotConfirmedByUnreachableUpstreams guards against a close between two events that counts as the end of a stream,
// since the connections to crashed upstreams that are preferred for a prompt used up the attempts.
func TestEndIsNotConfirmedByUnreachableUpstreams(t *testing.T) {
	f, ctx := newCutFleet(t)
	for i := range prompts {
		p := fmt.Sprintf("a%d:800,b%d:400,c%d:200", i, i, i)
		h := f.entries[i%cutHosts]
		for k := range repeats {
			id := fmt.Sprint("before-", i, "-", k)
			wantWhole(t, id, f.ask(ctx, h, streamRequest{id: id, prompt: p}))
		}
		id := fmt.Sprint("crash-", i)
		f.plan(id, cut{"none", exits, 5, false, 0})
		wantWhole(t, id, f.ask(ctx, h, streamRequest{id: id, prompt: p}))
	}
}
