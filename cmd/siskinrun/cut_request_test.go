package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

const (
	// unbufferedBody is longer than what the HTTP library reads before it calls the handler.
	unbufferedBody = 64 << 10
	// runTime is the time in which an upstream runs what a host passes on.
	runTime = 100 * time.Millisecond
	// cutBodies is the number of cut bodies of each case.
	cutBodies = 12
)

// TestCutBodyOfACallerIsNotPassedOn guards against a request whose body was broken off and that an upstream runs as whole.
func TestCutBodyOfACallerIsNotPassedOn(t *testing.T) {
	f, ctx := newCutFleet(t)
	for _, c := range []struct{ name, head, body string }{
		{"length, short", fmt.Sprintf("Content-Length: %d\r\n\r\n", unbufferedBody), strings.Repeat("x", 100)},
		{"length, long", fmt.Sprintf("Content-Length: %d\r\n\r\n", unbufferedBody), strings.Repeat("x", unbufferedBody/2)},
		{"chunks, between", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		{"chunks, inside", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n4\r\nab"},
		{"chunks, last line", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n0\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := range cutBodies {
				id := fmt.Sprint(t.Name(), "-", i)
				f.sendCut(ctx, t, f.entries[i%cutHosts], id, c.head+c.body)
				if n := f.ran(id); n > 0 {
					t.Errorf("%s ran %d times", id, n)
				}
			}
		})
	}
}

// sendCut sends a request whose body ends early with its connection.
func (f *cutFleet) sendCut(ctx context.Context, t *testing.T, host, id, rest string) {
	t.Helper()
	is := is.New(t)
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", host+":7443")
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s", streamPath, streamHost, wire.AttemptID, id, rest)
	is.NoErr(err)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	is.NoErr(f.timer.Sleep(ctx, runTime))
}
