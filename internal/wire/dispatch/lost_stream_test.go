package dispatch_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// TestStreamThatFindsNoUpstreamToGoOnMayHaveRun guards against a stream that broke and is then said not to have run.
func TestStreamThatFindsNoUpstreamToGoOnMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		permits map[string]permit.Permit
	}{
		{"no other upstream", nil},
		{"another one at its limit", map[string]permit.Permit{"y": {Wait: time.Minute}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, _ := newLimitedFixture(t, c.permits)
			b.dispatcher.PlainStreams = true
			headers := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
			b.picker.upstreams = []upstream.Upstream{startScripted(t, "x", script{text: headers, reset: true})}
			if c.permits != nil {
				b.picker.upstreams = append(b.picker.upstreams, startScripted(t, "y", script{text: headers, reset: true}))
			}
			a, err := b.dispatcher.Serve(t.Context(), b.streamed(true))
			is.NoErr(err)
			_, err = io.ReadAll(a.Body)
			is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
			is.True(refusal.Of(err).Status != 503)
		})
	}
}

// TestStreamIsNotTakenUpAfterItsDeadline guards against a second upstream that works for nobody.
func TestStreamIsNotTakenUpAfterItsDeadline(t *testing.T) {
	is := is.New(t)
	b, s := newLimitedFixture(t, nil)
	b.dispatcher.PlainStreams = true
	headers := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	b.picker.upstreams = []upstream.Upstream{
		startScripted(t, "x", script{text: headers, keep: true}),
		startScripted(t, "y", script{text: headers, keep: true}),
	}
	c := b.streamed(true)
	c.Deadline = c.Arrived.Add(150 * time.Millisecond)
	a, err := b.dispatcher.Serve(t.Context(), c)
	is.NoErr(err)
	_, err = io.ReadAll(a.Body)
	is.Equal(refusal.Of(err).Code, "upstream-timeout")
	is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
	is.Equal(s.asked, []string{"x"})
}
