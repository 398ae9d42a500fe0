package callerapi

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/pkg/refusal"
)

const (
	headerBytes = 2048
	bodyBytes   = 1024
)

// echoPipeline is a pipeline that answers each call with its own body.
type echoPipeline struct {
	calls []*call.Call
	gone  chan struct{}
}

func (e *echoPipeline) Models() []string { return []string{"m"} }

func (e *echoPipeline) Online(ctx context.Context, authorization string, c *call.Call) (*answer.Answer, error) {
	e.calls = append(e.calls, c)
	switch {
	case c.Path == "/wait":
		<-ctx.Done()
		close(e.gone)
		return nil, refusal.NewMayHaveRun(504, "cancelled", "")
	case authorization == "":
		return nil, refusal.NewNotRun(401, "missing-key", "")
	}
	return &answer.Answer{Status: 200, ContentType: "text/plain", Length: len(c.Body), Body: io.NopCloser(bytes.NewReader(c.Body))}, nil
}

// startServer serves callers on loopback until the test ends.
func startServer(t *testing.T) (string, *echoPipeline, context.CancelFunc, *group.Group) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := &echoPipeline{gone: make(chan struct{})}
	m := timer.NewService()
	c := &Server{
		Listener: l, Pipeline: e, Ready: func() bool { return true }, Timer: m, Log: zerolog.Nop(),
		MaxHeaderBytes: headerBytes, MaxBodyBytes: bodyBytes, MaxFileBytes: bodyBytes, Concurrency: 64, ReadTimeout: 10 * time.Second, Drain: 50 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(context.Background())
	g.Go("timer", func(w context.Context) error { return m.Run(w) })
	g.Go("caller", func(context.Context) error {
		if err := c.Run(ctx); err != nil {
			return err
		}
		return io.EOF
	})
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return l.Addr().String(), e, cancel, g
}

// send sends raw bytes and reads one response.
func send(t *testing.T, address, raw string) *http.Response {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(c, raw)
	is.NoErr(err)
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	return p
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	const chat = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
	for _, c := range []struct {
		name, raw string
		status    int
		code      string
	}{
		{"bad JSON", chat + "Content-Length: 5\r\n\r\n{\"a\":", 400, "bad-request"},
		{"token count too large", chat + "Content-Length: 42\r\n\r\n{\"model\":\"m\",\"max_tokens\":99999999999999}  ", 400, "bad-request"},
		{"long body", chat + "Content-Length: 99999999\r\n\r\n" + strings.Repeat("x", 16<<10), 413, "body-too-large"},
		{"long chunked body", chat + "Transfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 0x800) + "\r\n0\r\n\r\n", 413, "body-too-large"},
		{"long head", chat + "X: " + strings.Repeat("x", 2*headerBytes) + "\r\n\r\n", 431, "header-too-large"},
		{"conflicting lengths", chat + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n{\"a\":1", 400, "bad-request"},
		{"negative length", chat + "Content-Length: -5\r\n\r\n", 400, "bad-request"},
		{"not HTTP", "\x00\x01\x02\r\n\r\n", 400, "bad-request"},
		{"wrong method", "PUT /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 405, "method-not-allowed"},
		{"long idempotency key", chat + "Idempotency-Key: " + strings.Repeat("k", 257) + "\r\nContent-Length: 0\r\n\r\n", 400, "bad-idempotency-key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, e, _, _ := startServer(t)
			p := send(t, a, c.raw)
			b, err := io.ReadAll(p.Body)
			is.NoErr(err)
			is.Equal(p.StatusCode, c.status)
			is.Equal(p.Header.Get(headerVerdict), "not-run")
			is.True(strings.Contains(string(b), fmt.Sprintf(`"code":%q`, c.code)))
			is.Equal(len(e.calls), 0)
		})
	}
}

// TestContentLengthWithChunkedBodyIsNotSmuggled guards against request smuggling: a request with both Content-Length and
// chunked encoding must not be read as two requests.
func TestContentLengthWithChunkedBodyIsNotSmuggled(t *testing.T) {
	is := is.New(t)
	a, e, _, _ := startServer(t)
	p := send(t, a, "POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n\r\n")
	_, err := io.ReadAll(p.Body)
	is.NoErr(err)
	for _, c := range e.calls {
		is.True(c.Path != "/smuggled" || p.StatusCode != 200)
	}
}

func TestHopByHopHeadersAndKeyAreNotForwarded(t *testing.T) {
	is := is.New(t)
	a, e, _, _ := startServer(t)
	p := send(t, a, "POST /x?y=1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nConnection: close, X-Private\r\n"+
		"X-Private: 1\r\nX-Api-Key: k\r\nKeep-Alive: 5\r\nX-Kept: 2\r\nContent-Length: 2\r\n\r\nhi")
	b, err := io.ReadAll(p.Body)
	is.NoErr(err)
	is.Equal(string(b), "hi")
	is.Equal(e.calls[0].Path, "/x?y=1")
	is.Equal(e.calls[0].Headers, [][2]string{{"X-Kept", "2"}})
}

func TestCallIsCancelledWhenCallerDisconnects(t *testing.T) {
	is := is.New(t)
	a, e, _, _ := startServer(t)
	c, err := net.Dial("tcp", a)
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.NoErr(c.Close())
	select {
	case <-e.gone:
	case <-time.After(10 * time.Second):
		t.Fatal("the call was not cancelled")
	}
}

func TestStopClosesConnectionsWithTheirNextAnswer(t *testing.T) {
	is := is.New(t)
	a, _, stop, g := startServer(t)
	c, err := net.Dial("tcp", a)
	is.NoErr(err)
	r := bufio.NewReader(c)
	getReady := func() *http.Response {
		_, err := io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		p, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		_, err = io.ReadAll(p.Body)
		is.NoErr(err)
		return p
	}
	is.Equal(getReady().StatusCode, 200)
	stop()
	for p := getReady(); ; p = getReady() {
		if p.StatusCode == 503 {
			is.True(p.Close)
			break
		}
	}
	is.True(g.Wait() != nil)
}
