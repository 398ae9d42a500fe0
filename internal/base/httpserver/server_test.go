package httpserver_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/httpserver"
)

// TestStopBeforeServe stops servers that may not have begun to serve. A stop that leaves the listener open would hang.
func TestStopBeforeServe(t *testing.T) {
	is := is.New(t)
	for range 300 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		w := &httpserver.Server{Server: &fasthttp.Server{}, Listener: l, StopTimeout: time.Second}
		is.NoErr(w.Run(ctx))
	}
}
