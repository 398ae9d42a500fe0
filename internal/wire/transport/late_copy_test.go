package transport_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
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

// TestLateCopyOfAnAnswerReachesNoOtherCall guards against a connection that goes on speaking after its answer: the next
// call on it got an answer that was not its own, or lost its own.
func TestLateCopyOfAnAnswerReachesNoOtherCall(t *testing.T) {
	for _, c := range []struct {
		name string
		echo bool
	}{{"answers with IDs", true}, {"copies without IDs", false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := 0
			a := startUpstream(t, func(k net.Conn, in *bufio.Reader) {
				for readRequest(in) {
					n++
					b := fmt.Sprintf("answer-%d", n)
					h := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(b))
					id := fmt.Sprintf("%s: c%d\r\n", transport.RequestID, n)
					_, _ = io.WriteString(k, h+id+"\r\n"+b)
					time.Sleep(30 * time.Millisecond)
					if !c.echo {
						id = ""
					}
					_, _ = io.WriteString(k, h+id+"\r\n"+b)
				}
			})
			m := timer.NewService()
			x := &transport.Transport{Timer: m, BodyReadTimeout: time.Second, IdleTimeout: time.Second}
			for i := range 4 {
				q := &call.Call{
					ID: fmt.Sprintf("c%d", i+1), Method: "GET", Path: "/", Deadline: m.Now().Add(time.Second),
					Upstream: upstream.Upstream{Name: "u"},
				}
				q.RouteConfig.Repeatable = true
				r, err := x.Do(t.Context(), a, q)
				is.NoErr(err)
				b, err := io.ReadAll(r.Body)
				is.NoErr(err)
				is.Equal(string(b), fmt.Sprintf("answer-%d", i+1))
				time.Sleep(60 * time.Millisecond) // the copy has come
			}
		})
	}
}

// TestAnswerWithoutTheIDOfItsCallIsNotTakenOnAUsedConnection guards against a copy that comes after the next request was sent.
func TestAnswerWithoutTheIDOfItsCallIsNotTakenOnAUsedConnection(t *testing.T) {
	is := is.New(t)
	n := 0
	a := startUpstream(t, func(k net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			n++
			id := fmt.Sprintf("%s: c%d\r\n", transport.RequestID, n)
			if n > 1 {
				id = "" // the copy of the first answer
			}
			_, _ = io.WriteString(k, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"+id+"\r\nfirst")
		}
	})
	m := timer.NewService()
	x := &transport.Transport{Timer: m, BodyReadTimeout: time.Second, IdleTimeout: time.Second}
	for i := range 2 {
		q := &call.Call{ID: fmt.Sprintf("c%d", i+1), Method: "GET", Path: "/", Deadline: m.Now().Add(time.Second)}
		q.RouteConfig.Repeatable = true
		r, err := x.Do(t.Context(), a, q)
		if i > 0 {
			is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
			continue
		}
		is.NoErr(err)
		_, _ = io.ReadAll(r.Body)
	}
}
