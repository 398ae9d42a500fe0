package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

// wholeStreams is the number of sound streams of each case.
const wholeStreams = 48

// TestBrokenStreamsGoOnOrBreakOff says what callers get of streams that break off after their first event, where what the
// upstream sent shows that.
func TestBrokenStreamsGoOnOrBreakOff(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, framing := range []string{"length", "chunks", "none"} {
		for _, end := range []ending{closed, reset, early} {
			for _, c := range []cut{{framing, end, 5, false, 0}, {framing, end, 5, true, 0}, {framing, end, workerEvents, false, 0}} {
				if !c.shows() {
					continue
				}
				f.askEach(ctx, t, streamPath, []cut{c}, wantWhole)
				f.askEach(ctx, t, streamPath, []cut{c, c}, wantWhole)
				f.askEach(ctx, t, oncePath, []cut{c}, wantBroken)
			}
		}
	}
}

// shows says that an answer shows that it is not whole.
func (c cut) shows() bool {
	between := !c.inside
	switch {
	case c.framing == "none" && c.end == early, c.framing == "length" && c.events == workerEvents:
		return false
	case c.framing == "none" && c.end == closed, c.end == early:
		return !between
	default:
		return true
	}
}

// TestWholeStreamsStayWhole says that callers get each whole stream once and as complete, whatever its framing, and how often
// upstreams ran it.
func TestWholeStreamsStayWhole(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, usual := range []string{"length", "chunks", "none"} {
		for _, path := range []string{streamPath, oncePath} {
			t.Run(usual+path, func(t *testing.T) {
				f.frame(usual)
				runs := 0
				for i := range wholeStreams {
					id := fmt.Sprint(t.Name(), "-", i)
					wantWhole(t, id, f.ask(ctx, f.entries[i%cutHosts], streamRequest{id: id, path: path + "1"}))
					runs += f.ran(id)
				}
				t.Logf("%d streams, %d runs", wholeStreams, runs)
				if path == oncePath {
					is.New(t).Equal(runs, wholeStreams)
				}
			})
		}
	}
}

// TestAnswerWithoutBodyStaysWhole guards against an answer to HEAD that counts as a stream without events.
func TestAnswerWithoutBodyStaysWhole(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, path := range []string{streamPath, oncePath} {
		q, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+f.entries[0]+":7443"+path+"1", nil)
		is := is.New(t)
		is.NoErr(err)
		q.Host = streamHost
		q.Header.Set(wire.AttemptID, "head"+path)
		r, err := f.http.Do(q)
		is.NoErr(err)
		is.NoErr(r.Body.Close())
		is.Equal(r.StatusCode, http.StatusOK)
		is.Equal(f.ran("head"+path), 1)
	}
}

// TestOldCallersSeeThatAnAnswerIsBroken guards against a broken stream whose end is the end of the caller's connection.
func TestOldCallersSeeThatAnAnswerIsBroken(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, first := range []string{"HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n", "HTTP/1.1\r\nConnection: close\r\n"} {
		for _, c := range []cut{{"chunks", reset, 5, false, 0}, {"none", reset, 5, true, 0}, {"length", closed, 5, false, 0}} {
			t.Run(fmt.Sprintf("%q %v", first, c), func(t *testing.T) {
				id := fmt.Sprint("old-", len(f.plans))
				f.plan(id, c)
				if f.rawComplete(ctx, t, first, id) {
					t.Error("looks complete")
				}
				is.New(t).True(f.rawComplete(ctx, t, first, id+"-sound"))
			})
		}
	}
}

// rawComplete sends a request with the given end of its first line and reports whether its answer looks complete to callers
// that know the framings of HTTP.
func (f *cutFleet) rawComplete(ctx context.Context, t *testing.T, first, id string) bool {
	t.Helper()
	is := is.New(t)
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", f.entries[0]+":7443")
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s1 %sHost: %s\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx", oncePath, first, streamHost, wire.AttemptID, id)
	is.NoErr(err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	_, err = io.ReadAll(r.Body)
	return r.StatusCode == http.StatusOK && err == nil
}
