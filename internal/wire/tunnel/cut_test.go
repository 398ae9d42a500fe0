package tunnel_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/call"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
)

// TestAnswerOfALostGatewayIsNotComplete guards against an answer that looks whole though the host that carried it was lost.
func TestAnswerOfALostGatewayIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for name, answer := range map[string]string{
		"length": head + "Content-Length: 12\r\n\r\ndata: a\n\nabc",
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"none":   head + "Connection: close\r\n\r\ndata: a\n\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			last := len(answer)
			if name != "none" {
				last--
			}
			for n := 0; n <= last; n++ {
				is := is.New(t)
				f := newFixture(t)
				g := f.gatedLink()
				w := group.NewGroup(t.Context())
				w.Go("upstream", func(ctx context.Context) error {
					up := <-f.accepted
					defer func() { _ = up.Close() }() // not before, as by a finalizer
					if _, err := http.ReadRequest(bufio.NewReader(up)); err != nil {
						return err
					}
					_, _ = io.WriteString(up, answer[:n])
					_ = f.timer.Sleep(ctx, 5*time.Millisecond)
					return g.Close()
				})
				x := &transport.Transport{Timer: f.timer, Connector: through{f, func() {}}, BodyReadTimeout: time.Second}
				q := &call.Call{ID: "i", Method: http.MethodPost, Path: "/", Deadline: f.timer.Now().Add(3 * time.Second)}
				q.Upstream = f.upstream
				a, err := x.Do(t.Context(), f.upstream.Address, q)
				if err == nil {
					_, err = io.ReadAll(a.Body)
				}
				is.NoErr(w.Wait())
				if refusal.Of(err).Code != "path-lost" {
					t.Errorf("%d bytes: %v", n, err)
				}
			}
		})
	}
}
