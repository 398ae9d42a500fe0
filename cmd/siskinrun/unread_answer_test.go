package main

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

const (
	// largePage is a page whose answer a host reads whole before it passes it on.
	largePage = "/open/large"
	// largeAnswer is the length of that answer, just under the length above which answers are passed on as they arrive.
	largeAnswer = 1_000_000
	// unreadCallers is the number of callers that read nothing: their answers take more than twice the memory of the host.
	unreadCallers = 150
	// unreadBuffer is the receive buffer of such a caller, so that its answer stays on the host.
	unreadBuffer = 4 << 10
)

// leaveUnread sends requests for a large answer over connections that stay open and reads nothing. It fails the test unless enough
// requests reached the workers to exceed the memory.
func (f *loadFleet) leaveUnread(ctx context.Context, n int) {
	f.t.Helper()
	is := is.New(f.t)
	for range n {
		f.group.Go("caller", func(context.Context) error {
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp", f.address)
			if err != nil {
				return nil
			}
			defer func() { _ = c.Close() }()
			_ = c.(*net.TCPConn).SetReadBuffer(unreadBuffer)
			if _, err = io.WriteString(c, requestHead("GET", largePage)+"\r\n"); err == nil {
				_ = f.timer.Sleep(ctx, loadTime)
			}
			return nil
		})
	}
	is.NoErr(f.timer.Sleep(ctx, loadTime))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("%d requests reached workers", f.reached["load"])
	is.True(f.reached["load"] > n/4) // too few answers to exceed the memory
}

// TestUnreadAnswersStayWithinMemory guards against answers that are read whole from workers for callers that read none of them.
func TestUnreadAnswersStayWithinMemory(t *testing.T) {
	f, ctx := newLoadFleet(t)
	f.leaveUnread(ctx, unreadCallers)
	f.check(ctx)
}
