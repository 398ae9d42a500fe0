package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/framing"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
)

const (
	unframedHeaders = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	plainHeaders    = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	emptyStream     = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
	framedAnswer    = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"
)

// events returns the text of events from the first to the last.
func events(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", n, n)
	}
	return b.String()
}

// framed returns an answer with a length.
func framed(events string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(events), events)
}

// TestUnframedAnswers says what callers get of answers that end with their connection.
func TestUnframedAnswers(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 200_000)
	for _, c := range []struct {
		name       string
		first      []script
		second     string
		repeatable bool
		want       string
		broken     bool
	}{
		{"whole stream", []script{{text: unframedHeaders + events(1, 5)}}, "", true, events(1, 5), false},
		{"cut between events", []script{{text: unframedHeaders + events(1, 3)}}, "", true, events(1, 3), false},
		{"reset between events", []script{{text: unframedHeaders + events(1, 3), reset: true}}, events(4, 5), true, events(1, 5), false},
		{"reset between events, and when asked for the end", []script{{text: unframedHeaders + events(1, 3), reset: true}}, events(4, 5), true, events(1, 5), true},
		{"reset between events, not repeatable", []script{{text: unframedHeaders + events(1, 3), reset: true}}, "", false, events(1, 3), true},
		{"cut inside an event", []script{{text: unframedHeaders + events(1, 3) + "id: 4\nda"}}, events(4, 5), true, events(1, 5), false},
		{"cut inside an event, not repeatable", []script{{text: unframedHeaders + events(1, 3) + "id: 4\nda"}}, "", false, events(1, 3), true},
		{"empty stream", []script{{text: unframedHeaders}}, events(1, 5), true, events(1, 5), false},
		{"empty stream, not repeatable", []script{{text: unframedHeaders}}, "", false, "", true},
		{"plain", []script{{text: plainHeaders + "text"}}, "", true, "text", false},
		{"empty plain", []script{{text: plainHeaders}}, "", true, "", false},
		{"plain of megabytes", []script{{text: plainHeaders + long}}, "", true, long, false},
		{"plain of megabytes, reset", []script{{text: plainHeaders + long, reset: true}}, "", true, long, true},
		{"behind a kept connection", []script{{text: framedAnswer, keep: true}, {text: unframedHeaders + events(1, 5)}}, "", true, events(1, 5), false},
		{"stream of megabytes", []script{{text: unframedHeaders + events(1, 80_000)}}, "", true, events(1, 80_000), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			b.dispatcher.PlainStreams = true
			x := c.first
			if c.second != "" && !c.broken {
				x = append(slices.Clone(x), script{text: framed("")}) // says that nothing is left
			}
			b.picker.upstreams = []upstream.Upstream{startScripted(t, "x", x...)}
			if c.second != "" {
				b.picker.upstreams = append(b.picker.upstreams, startScripted(t, "y", script{text: unframedHeaders + c.second}))
			}
			for range c.first[1:] {
				a, err := b.dispatcher.Serve(context.Background(), b.plain(true))
				is.NoErr(err)
				_, err = io.ReadAll(a.Body)
				is.NoErr(err)
			}
			a, err := b.dispatcher.Serve(context.Background(), b.streamed(c.repeatable))
			is.NoErr(err)
			got, err := io.ReadAll(a.Body)
			is.Equal(err != nil, c.broken)
			is.Equal(len(got), len(c.want))
			is.True(string(got) == c.want)
		})
	}
}

// TestUnframedAnswersOfBatchItems says what the run of an item gets of answers that end with their connection.
func TestUnframedAnswersOfBatchItems(t *testing.T) {
	for _, c := range []struct {
		name   string
		script script
		want   string
		broken bool
	}{
		{"whole stream", script{text: unframedHeaders + events(1, 5)}, events(1, 5), false},
		{"reset between events", script{text: unframedHeaders + events(1, 3), reset: true}, events(1, 3), true},
		{"cut inside an event", script{text: unframedHeaders + events(1, 3) + "id: 4\nda"}, events(1, 3) + "id: 4\nda", false},
		{"empty stream", script{text: unframedHeaders}, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			b.dispatcher.PlainStreams = true
			q := b.streamed(true)
			q.Batch = true
			a, err := b.dispatcher.ServeOn(context.Background(), startScripted(t, "x", c.script), q)
			is.NoErr(err)
			is.Equal(a.Framing, framing.None)
			got, err := io.ReadAll(a.Body)
			is.Equal(err != nil, c.broken)
			is.Equal(string(got), c.want)
		})
	}
}

// TestUnframedEmptyStreamCountsAsLost guards against an upstream that ends under a prompt unseen, since its empty stream
// looks whole.
func TestUnframedEmptyStreamCountsAsLost(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.dispatcher.PlainStreams = true
	b.picker.upstreams = []upstream.Upstream{startScripted(t, "x", script{text: unframedHeaders}), startScripted(t, "y", script{text: unframedHeaders})}
	q := b.streamed(true)
	q.Parts = []uint64{1}
	a, err := b.dispatcher.Serve(context.Background(), q)
	is.NoErr(err)
	_, err = io.ReadAll(a.Body)
	is.True(refusal.Of(err) != nil)
	is.Equal(b.guard.lost, []bool{true, true})
}

// TestStreamTakenUpGoesOnAfterTheLastEvent says what callers get that name the last event they have.
func TestStreamTakenUpGoesOnAfterTheLastEvent(t *testing.T) {
	for _, c := range []struct {
		name, text, want string
		broken           bool
	}{
		{"the rest", unframedHeaders + events(4, 5), events(4, 5), false},
		{"an upstream that begins anew", unframedHeaders + events(1, 5), events(4, 5), false},
		{"nothing is left", emptyStream, "", false},
		{"nothing comes", unframedHeaders, "", true},
		{"an upstream that begins anew and ends before", framed(events(1, 2)), "", true},
		{"an upstream that begins anew and ends there", framed(events(1, 3)), "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			b.dispatcher.PlainStreams = true
			b.picker.upstreams = []upstream.Upstream{startScripted(t, "x", script{text: c.text})}
			q := b.streamed(true)
			q.Offset, q.Resumes = 4, "c0"
			q.Start = streamstart.Start{Service: "desk", Version: "v1"}
			a, err := b.dispatcher.Serve(context.Background(), q)
			is.NoErr(err)
			got, err := io.ReadAll(a.Body)
			is.Equal(err != nil, c.broken)
			is.Equal(string(got), c.want)
		})
	}
}

// TestStreamGivenUpWhileItsEndIsConfirmedIsNotComplete guards against a stream that ends as complete because its call was
// cancelled while a host asked for what follows.
func TestStreamGivenUpWhileItsEndIsConfirmedIsNotComplete(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.dispatcher.PlainStreams = true
	silent := script{text: unframedHeaders, keep: true}
	b.picker.upstreams = []upstream.Upstream{startScripted(t, "x", script{text: unframedHeaders + events(1, 3)}, silent)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, err := b.dispatcher.Serve(ctx, b.streamed(true))
	is.NoErr(err)
	p := make([]byte, len(events(1, 3)))
	_, err = io.ReadFull(a.Body, p)
	is.NoErr(err)
	time.AfterFunc(100*time.Millisecond, cancel)
	_, err = io.ReadAll(a.Body)
	is.True(err != nil)
}
