package operatorapi_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/pkg/refusal"
)

const operatorSecret = "a-secret-of-the-operators"

func start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &operatorapi.Server{Listener: l, Secret: []byte(operatorSecret), Timer: timer.NewService(), Log: zerolog.Nop()}
	o.Handle("GET", "/v1/echo", func(_ context.Context, r *operatorapi.Request) ([]byte, error) {
		if r.Query("lost") != "" {
			return nil, refusal.NewMayHaveRun(504, "lost", "the answer was lost")
		}
		return []byte(fmt.Sprintf("%q", r.Query("say"))), nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("operator", o.Run)
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return l.Addr().String()
}

func TestRequests(t *testing.T) {
	address := start(t)
	bearer := "Authorization: Bearer " + operatorSecret + "\r\n"
	for _, c := range []struct {
		name    string
		request string
		status  int
		body    string
	}{
		{"answer", "GET /v1/echo?say=hi HTTP/1.1\r\nHost: h\r\n" + bearer + "\r\n", 200, `"hi"`},
		{"lost", "GET /v1/echo?lost=1 HTTP/1.1\r\nHost: h\r\n" + bearer + "\r\n", 504, "may-have-run"},
		{"no secret", "GET /v1/echo HTTP/1.1\r\nHost: h\r\n\r\n", 401, "unknown-operator"},
		{"part of the secret", "GET /v1/echo HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer a-secret\r\n\r\n", 401, "unknown-operator"},
		{"large body without the secret", "POST /v1/changes HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n", 401, "unknown-operator"},
		{"too large", "POST /v1/changes HTTP/1.1\r\nHost: h\r\n" + bearer + "Content-Length: 80000000\r\n\r\n", 413, "body-too-large"},
		{"large header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431, "header-too-large"},
		{"bad length", "POST /v1/changes HTTP/1.1\r\nHost: h\r\n" + bearer + "Content-Length: x\r\n\r\n", 400, "bad-request"},
		{"bad change", "POST /v1/changes HTTP/1.1\r\nHost: h\r\n" + bearer + "Content-Length: 2\r\n\r\n{}", 400, "bad-change"},
		{"bad grant", "POST /v1/keys HTTP/1.1\r\nHost: h\r\n" + bearer + "Content-Length: 8\r\n\r\n{\"a\": 1}", 400, "bad-grant"},
		{"unknown path", "GET /v1/echo/ HTTP/1.1\r\nHost: h\r\n" + bearer + "\r\n", 404, "unknown-path"},
		{"unknown method", "PUT /v1/echo HTTP/1.1\r\nHost: h\r\n" + bearer + "\r\n", 404, "unknown-path"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = n.Close() }()
			_, err = n.Write([]byte(c.request))
			is.NoErr(err)
			var p fasthttp.Response
			is.NoErr(p.Read(bufio.NewReader(n)))
			is.Equal(p.StatusCode(), c.status)
			is.True(strings.Contains(string(p.Body()), c.body))
			is.Equal(len(p.Header.Peek(operatorapi.VerdictHeader)) > 0, c.status != 200)
			is.True(!strings.Contains(p.String(), operatorSecret))
		})
	}
}
