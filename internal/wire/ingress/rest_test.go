package ingress_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/clientguard"
	"siskinrun/internal/base/clientmemory"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/wire/ingress"
)

// refusing refuses each request without reading its body.
type refusing struct{}

func (refusing) Handle(x *fasthttp.RequestCtx) { x.SetStatusCode(http.StatusNotFound) }

func (refusing) HandleReadError(x *fasthttp.RequestCtx, _ error) {
	x.SetStatusCode(http.StatusBadRequest)
}

// TestTheRestOfARefusedBodyIsNotScanned guards against a body whose rest counts as header lines of the next request.
func TestTheRestOfARefusedBodyIsNotScanned(t *testing.T) {
	is := is.New(t)
	m := metrics.NewRegistry()
	s := &ingress.Server{StopTimeout: time.Second, Dialect: refusing{}, MaxHeaderLines: 32, MaxHeaderBytes: 4 << 10}
	s.Guard = &clientguard.Guard{Account: clientmemory.Account{Bytes: 1 << 20}, Timer: timer.NewService(), Metrics: m}
	k, _ := serve(t, s)
	_, err := io.WriteString(k, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 10_000))
	is.NoErr(err)
	_, err = io.WriteString(k, strings.Repeat("a:b\n", 22_500)) // the rest, of many lines
	is.NoErr(err)
	r, err := http.ReadResponse(bufio.NewReader(k), nil)
	is.NoErr(err)
	is.Equal(r.StatusCode, http.StatusNotFound)
	is.True(r.Close)
	is.Equal(metrics.GetOrRegisterCounter("clients-rejected-lines", m).Count(), int64(0))
}
