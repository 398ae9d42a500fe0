package orderclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/routing/order"
	"siskinrun/internal/wire/orderclient"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// startEngine starts an engine that gives each request the same answer, and returns its address.
func startEngine(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	group.NewGroup(t.Context()).Go("engine", func(context.Context) error {
		for {
			k, err := l.Accept()
			if err != nil {
				return nil
			}
			if q, err := http.ReadRequest(bufio.NewReader(k)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(k, answer)
			}
			_ = k.Close()
		}
	})
	return l.Addr().String()
}

// TestAnswerWithAMalformedHeadIsNotTheEngines guards against an order that counts as accepted, or a state that is read, since an answer
// whose head or trailer breaks the grammar of HTTP says so.
func TestAnswerWithAMalformedHeadIsNotTheEngines(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n 2\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	} {
		t.Run(answer, func(t *testing.T) {
			is := is.New(t)
			m := timer.NewService()
			c := &orderclient.Client{Transport: &transport.Transport{Timer: m, BodyReadTimeout: time.Second}, Timer: m}
			a := startEngine(t, answer)
			err := c.Send(t.Context(), a, order.Order{Kind: order.Load, Model: "m@2", Until: m.Now().Add(time.Minute)})
			is.True(err != nil)
			is.Equal(refusal.Of(err).Code, refusal.CodeSpuriousAnswer)
			is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
			_, err = c.State(t.Context(), a)
			is.True(err != nil)
		})
	}
}
