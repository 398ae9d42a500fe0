package dispatch_test

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// TestBrokenStreamRunsOnItsRoutesNumberOfUpstreams guards against a stream whose attempts are counted anew once it broke.
func TestBrokenStreamRunsOnItsRoutesNumberOfUpstreams(t *testing.T) {
	headers := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	begun := headers + "f\r\nid: 0\ndata: 0\n\n\r\n"
	for _, c := range []struct {
		name        string
		first       string
		maxAttempts int
		asked       []string
	}{
		{"broken before an event, two attempts", headers, 2, []string{"x", "y"}},
		{"broken before an event, three attempts", headers, 3, []string{"x", "y", "z"}},
		{"broken after an event, one attempt", begun, 1, []string{"x"}},
		{"broken after an event, two attempts", begun, 2, []string{"x", "y"}},
		{"broken after an event, three attempts", begun, 3, []string{"x", "y", "z"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, s := newLimitedFixture(t, nil)
			b.dispatcher.PlainStreams = true
			b.picker.upstreams = []upstream.Upstream{
				startScripted(t, "x", script{text: c.first, reset: true}),
				startScripted(t, "y", script{reset: true}),
				startScripted(t, "z", script{reset: true}),
				startScripted(t, "w", script{reset: true}),
			}
			q := b.streamed(true)
			q.RouteConfig.MaxAttempts = c.maxAttempts
			a, err := b.dispatcher.Serve(t.Context(), q)
			is.NoErr(err)
			_, err = io.ReadAll(a.Body)
			is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
			is.Equal(s.asked, c.asked)
		})
	}
}
