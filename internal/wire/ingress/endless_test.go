package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/wire/ingress"
	"siskinrun/pkg/refusal"
)

// scriptedExchange answers every request with a stream that sends its text and then fails with its error.
type scriptedExchange struct {
	server *ingress.Server
	text   string
	err    error
	http   *fasthttp.RequestCtx
}

func (e *scriptedExchange) Handle(x *fasthttp.RequestCtx) {
	c := *e
	c.http = x
	e.server.ServeCall(x, &c)
}

func (e *scriptedExchange) HandleReadError(*fasthttp.RequestCtx, error) {}

func (e *scriptedExchange) Run(context.Context) (*answer.Answer, error) {
	r := io.MultiReader(strings.NewReader(e.text), errorReader{e.err})
	return &answer.Answer{Status: 200, ContentType: "text/event-stream", Length: -1, Body: io.NopCloser(r)}, nil
}

func (e *scriptedExchange) Refuse(err error) { e.http.SetStatusCode(refusal.Of(err).Status) }

func (e *scriptedExchange) SetHeaders(*answer.Answer) {}

func (e *scriptedExchange) StreamError(error) []byte { return nil }

// errorReader fails each read.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// TestStreamThatFailsBeforeItsFirstByteIsRefused guards against a connection that closes without a status line.
func TestStreamThatFailsBeforeItsFirstByteIsRefused(t *testing.T) {
	cut := refusal.NewMayHaveRun(502, "answer-cut", "the answer ended early")
	for _, c := range []struct {
		name     string
		text     string
		err      error
		status   int
		body     string
		complete bool
	}{
		{"failed before the first byte", "", cut, 502, "", true},
		{"failed after the first event", "data: a\n\n", cut, 200, "data: a\n\n", false},
		{"whole", "data: a\n\n", io.EOF, 200, "data: a\n\n", true},
		{"empty", "", io.EOF, 200, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &ingress.Server{StopTimeout: time.Second}
			s.Dialect = &scriptedExchange{server: s, text: c.text, err: c.err}
			k, _ := serve(t, s)
			_, _ = io.WriteString(k, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			r, err := http.ReadResponse(bufio.NewReader(k), nil)
			is.NoErr(err) // a status line came
			is.Equal(r.StatusCode, c.status)
			b, err := io.ReadAll(r.Body)
			is.Equal(string(b), c.body)
			is.Equal(err == nil, c.complete)
		})
	}
}
