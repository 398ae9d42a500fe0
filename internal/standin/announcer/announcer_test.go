package announcer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/standin/announcer"
)

// startHost starts a host that gives each request the same answer, and returns its address and the number of requests that it got.
func startHost(t *testing.T, answer string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	var asked atomic.Int64
	group.NewGroup(t.Context()).Go("host", func(context.Context) error {
		for {
			k, err := l.Accept()
			if err != nil {
				return nil
			}
			_, _ = k.Read(make([]byte, 4<<10))
			asked.Add(1)
			_, _ = k.Write([]byte(answer))
			_ = k.Close()
		}
	})
	return l.Addr().String(), &asked
}

// TestAnswerWithAMalformedHeadIsNotTheHosts guards against a leave that counts as taken since an answer with a malformed head says so.
func TestAnswerWithAMalformedHeadIsNotTheHosts(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 204 No Content\r\nX Odd: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-Odd : 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 000 No Content\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(answer, func(t *testing.T) {
			is := is.New(t)
			bad, asked := startHost(t, answer)
			sound, took := startHost(t, "HTTP/1.1 204 No Content\r\nX-Odd: \xff\r\n\r\n")
			is.NoErr((&announcer.Announcer{Hosts: []string{bad, sound}}).Post("/v1/upstreams/leave", nil))
			is.Equal(asked.Load(), int64(1))
			is.Equal(took.Load(), int64(1))
		})
	}
}
