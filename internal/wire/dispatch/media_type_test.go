package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/upstream"
)

// TestStreamWithParametersInItsMediaTypeIsAStream guards against a stream that is neither passed on as it comes nor gone on
// with when it breaks, since its media type names a charset.
func TestStreamWithParametersInItsMediaTypeIsAStream(t *testing.T) {
	for _, m := range []string{"text/event-stream; charset=utf-8", "text/event-stream;charset=utf-8", "Text/Event-Stream", "text/event-stream ; a=b"} {
		t.Run(m, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			b.dispatcher.PlainStreams = true
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\n", m)
			b.picker.upstreams = []upstream.Upstream{
				startScripted(t, "x", script{text: head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(events(1, 3)), reset: true}),
				startScripted(t, "y", script{text: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events(4, 5))) + events(4, 5)}),
			}
			q := b.streamed(true)
			a, err := b.dispatcher.Serve(context.Background(), q)
			is.NoErr(err)
			is.Equal(a.ContentType, m)
			is.Equal(a.Length, -1) // passed on as it comes
			got, err := io.ReadAll(a.Body)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(got), events(1, 3)))
			is.Equal(string(got), events(1, 5))
		})
	}
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
