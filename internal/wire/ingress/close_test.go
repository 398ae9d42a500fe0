package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/group"
	"siskinrun/internal/wire/ingress"
)

const (
	// longAnswer is longer than what the buffers of a connection take.
	longAnswer = 16 << 20
	bodyLimit  = 4 << 20
)

// stopTime says when a server stops.
type stopTime int

const (
	never stopTime = iota
	beforeRequest
	duringAnswer
)

// readingDialect reads the body of each request and answers with a length that the path names.
type readingDialect struct{}

func (readingDialect) Handle(x *fasthttp.RequestCtx) {
	if _, err := ingress.ReadBody(x, bodyLimit); err != nil {
		x.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		x.SetConnectionClose()
		return
	}
	if string(x.Path()) == "/long" {
		x.SetBody(make([]byte, longAnswer))
	}
}

func (readingDialect) HandleReadError(x *fasthttp.RequestCtx, _ error) {
	x.SetConnectionClose()
	x.SetStatusCode(fasthttp.StatusBadRequest)
}

// TestAnswerReachesACallerWhoSendsMore guards against a close that resets the connection under an answer on its way.
func TestAnswerReachesACallerWhoSendsMore(t *testing.T) {
	next := "GET /next HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, c := range []struct {
		name, request string
		// stop says when the server stops, if it does.
		stop   stopTime
		status int
		length int
	}{
		{"a request behind one that closes", "GET /long HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + next, never, 200, longAnswer},
		{"a request behind one of HTTP/1.0", "GET /long HTTP/1.0\r\n\r\n" + next, never, 200, longAnswer},
		{"bytes behind a request", "POST /long HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 1\r\n\r\na\r\n", never, 200, longAnswer},
		{"a request behind one at a stop", "GET /long HTTP/1.1\r\nHost: a\r\n\r\n" + next, beforeRequest, 200, longAnswer},
		{"a request behind one before a stop", "GET /long HTTP/1.1\r\nHost: a\r\n\r\n" + next, duringAnswer, 200, longAnswer},
		{"one request before a stop", "GET /long HTTP/1.1\r\nHost: a\r\n\r\n", duringAnswer, 200, longAnswer},
		{"a body beyond the limit", fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 2*bodyLimit) + strings.Repeat("a", 2*bodyLimit), never, 413, 0},
		{"chunks beyond the limit", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("a", 0x10000)+"\r\n", 128) + "0\r\n\r\n", never, 413, 0},
		{"a head beyond the limit", "GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", 1<<20) + "\r\n\r\n", never, 400, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k, stop := serve(t, &ingress.Server{Dialect: readingDialect{}, StopTimeout: 10 * time.Second, ReadTimeout: 10 * time.Second})
			_ = k.SetReadDeadline(time.Now().Add(10 * time.Second))
			in := bufio.NewReader(k)
			_, _ = io.WriteString(k, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
			_, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			if c.stop == beforeRequest {
				stop()
			}
			group.NewGroup(t.Context()).Go("caller", func(context.Context) error {
				head, rest, _ := strings.Cut(c.request, "\r\n\r\n")
				_, _ = io.WriteString(k, head+"\r\n\r\n")
				time.Sleep(50 * time.Millisecond) // the answer has begun
				_, _ = io.WriteString(k, rest)
				return nil
			})
			time.Sleep(300 * time.Millisecond) // the answer fills the connection
			if c.stop == duringAnswer {
				stop()
				time.Sleep(600 * time.Millisecond)
			}
			r, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			is.Equal(r.StatusCode, c.status)
			n, err := io.Copy(io.Discard, r.Body)
			is.NoErr(err)
			is.Equal(n, int64(c.length))
		})
	}
}
