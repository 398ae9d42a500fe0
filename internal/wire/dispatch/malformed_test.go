package dispatch_test

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/upstream"
)

// TestUpstreamThatAnswersMalformedIsNotLost guards against a prompt that is suspected of having ended an upstream, which lives and has
// sent a head or trailer that breaks the grammar of HTTP.
func TestUpstreamThatAnswersMalformedIsNotLost(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"blank in a head":             "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"control byte in a head":      "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"interim answer":              "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + framedAnswer,
		"blank in a trailer":          chunked + "0\r\nX Odd: 1\r\n\r\n",
		"control byte in a trailer":   chunked + "0\r\nX\x01Odd: 1\r\n\r\n",
		"line without a colon behind": chunked + "0\r\nX-Odd\r\n\r\n",
	} {
		for _, stream := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(t)
				b.dispatcher.PlainStreams = true
				b.picker.upstreams = []upstream.Upstream{
					startScripted(t, "x", script{text: text, keep: true}),
					startScripted(t, "y", script{text: framed(events(1, 5)), keep: true}),
				}
				c := b.plain(true)
				c.Stream = stream
				got, err := serve(b, c)
				is.NoErr(err)
				is.Equal(got, events(1, 5))
				is.Equal(len(b.guard.lost), 0)
				is.Equal(c.Record.Lost, 0)
			})
		}
	}
}

// serve serves a call and returns the body of its answer.
func serve(b *fixture, c *call.Call) (string, error) {
	a, err := b.dispatcher.Serve(context.Background(), c)
	if err != nil {
		return "", err
	}
	got, err := io.ReadAll(a.Body)
	return string(got), err
}
