package transport_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// answerTo returns an answer with a body, that names an ID if there is one.
func answerTo(id, body string) string {
	h := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))
	if id != "" {
		h += transport.RequestID + ": " + id + "\r\n"
	}
	return h + "\r\n" + body
}

// TestLateCopyAtEachPointOfTheNextExchange guards against a second copy of an answer that is taken for that of the next call.
func TestLateCopyAtEachPointOfTheNextExchange(t *testing.T) {
	const copied, own = "copied", "own"
	for _, c := range []struct {
		name string
		// first and second are the IDs of the two calls, and method that of the second.
		first, second, method string
		// next writes what the upstream sends at the second request: a copy of the first answer in some form, and its own.
		next func(k net.Conn, first, second string)
	}{
		{"before the answer", "c1", "c2", http.MethodGet, func(k net.Conn, first, second string) {
			_, _ = io.WriteString(k, first+second)
		}},
		{"in pieces", "c1", "c2", http.MethodGet, func(k net.Conn, first, second string) {
			for i := range first {
				_, _ = io.WriteString(k, first[i:i+1])
			}
			_, _ = io.WriteString(k, second)
		}},
		{"instead of the answer", "c1", "c2", http.MethodGet, func(k net.Conn, first, _ string) {
			_, _ = io.WriteString(k, first)
		}},
		{"its body only", "c1", "c2", http.MethodGet, func(k net.Conn, _, second string) {
			_, _ = io.WriteString(k, copied+second)
		}},
		{"its end only", "c1", "c2", http.MethodGet, func(k net.Conn, first, second string) {
			_, _ = io.WriteString(k, first[len(first)/2:]+second)
		}},
		{"after an interim answer", "c1", "c2", http.MethodGet, func(k net.Conn, first, second string) {
			_, _ = io.WriteString(k, "HTTP/1.1 103 Early Hints\r\n\r\n"+first+second)
		}},
		{"before a HEAD", "c1", "c2", http.MethodHead, func(k net.Conn, first, second string) {
			_, _ = io.WriteString(k, first+second)
		}},
		{"to a call with the same ID", "c1", "c1", http.MethodGet, func(k net.Conn, first, second string) {
			_, _ = io.WriteString(k, first+second)
		}},
		{"after a call without an ID", "", "c2", http.MethodGet, func(k net.Conn, first, second string) {
			_, _ = io.WriteString(k, first+second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ids := []string{c.first, c.second}
			bodies := []string{copied, own}
			var requests atomic.Int32
			a := startUpstream(t, func(k net.Conn, in *bufio.Reader) {
				for used := false; readRequest(in); used = true {
					i := requests.Add(1) - 1
					if used {
						c.next(k, answerTo(ids[0], bodies[0]), answerTo(ids[1], bodies[1]))
						continue
					}
					_, _ = io.WriteString(k, answerTo(ids[i], bodies[i]))
				}
			})
			m := timer.NewService()
			x := &transport.Transport{Timer: m, BodyReadTimeout: time.Second, IdleTimeout: time.Second}
			for i := range 2 {
				q := &call.Call{
					ID: ids[i], Method: "GET", Path: "/", Deadline: m.Now().Add(time.Second), Upstream: upstream.Upstream{Name: "u"},
				}
				if i > 0 {
					q.Method = c.method
				}
				q.RouteConfig.Repeatable = true
				r, err := x.Do(t.Context(), a, q)
				if i > 0 && err != nil {
					is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
					return
				}
				is.NoErr(err)
				b, err := io.ReadAll(r.Body)
				is.NoErr(err)
				is.Equal(string(b), bodies[i])
			}
		})
	}
}
