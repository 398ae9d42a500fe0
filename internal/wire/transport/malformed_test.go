package transport_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/route"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"

// TestMalformedAnswerIsRefusedAndLogged guards against an answer whose head or trailer breaks the grammar of HTTP, and against a
// connection that goes on after it. The log tells which byte it was, the refusal does not.
func TestMalformedAnswerIsRefusedAndLogged(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		name, answer string
		// body says that the head is sound.
		body bool
		want string
	}{
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 1\r\n\r\na", false, `"byte":"0x20","offset":18,"line":2`},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 1\r\n\r\na", false, `"byte":"0x01","offset":18,"line":2`},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\nX : 1\r\n\r\n" + soundAnswer, false, `"byte":"0x20","offset":27,"line":2`},
		{"folded line", "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\nContent-Length: 1\r\n\r\na", false, `"byte":"0x20","offset":23,"line":3`},
		{"trailer", chunked + "\r\n1\r\na\r\n0\r\nX Odd: 1\r\n\r\n", true, `"byte":"0x20","offset":1,"line":1`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var conns atomic.Int64
			a := startUpstream(t, func(k net.Conn, in *bufio.Reader) {
				answer := soundAnswer
				if conns.Add(1) == 1 {
					answer = c.answer
				}
				for readRequest(in) {
					_, _ = io.WriteString(k, answer)
				}
			})
			m := timer.NewService()
			var log bytes.Buffer
			x := &transport.Transport{Timer: m, BodyReadTimeout: time.Second, IdleTimeout: time.Minute, Log: zerolog.New(&log)}
			ask := func(id string) error {
				q := &call.Call{ID: id, Method: "GET", Path: "/", RouteConfig: route.Route{Repeatable: true}, Deadline: m.Now().Add(time.Second)}
				r, err := x.Do(t.Context(), a, q)
				if err != nil {
					is.True(!c.body)
					return err
				}
				_, err = io.ReadAll(r.Body)
				return err
			}
			err := ask("first")
			is.True(err != nil)
			is.Equal(refusal.Of(err).Code, refusal.CodeSpuriousAnswer)
			is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
			is.True(!strings.Contains(err.Error(), "0x"))
			is.True(strings.Contains(log.String(), c.want))
			is.True(strings.Contains(log.String(), `"request-id":"first"`))
			is.NoErr(ask("second"))
			is.Equal(conns.Load(), int64(2))
		})
	}
}
