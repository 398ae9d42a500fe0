package callerapi

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/clientguard"
	"siskinrun/internal/base/clientmemory"
	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/file"
	"siskinrun/internal/data/key"
)

const (
	longBody  = 64 << 10
	mostBytes = 1 << 20
)

// wholeFiles counts the files that were uploaded whole.
type wholeFiles struct {
	batchService

	files int
}

func (w *wholeFiles) UploadFile(_ context.Context, _, _, _ string, r io.Reader) (file.File, error) {
	if _, err := io.ReadAll(r); err != nil {
		return file.File{}, err
	}
	w.files++
	return file.File{}, nil
}

// anyKey knows every key.
type anyKey struct{}

func (anyKey) Key([]byte) (key.Key, error) { return key.Key{Team: "t"}, nil }

// TestCutBodyOfACallerIsNotWhole guards against a call or a file whose body was broken off and that counts as whole.
func TestCutBodyOfACallerIsNotWhole(t *testing.T) {
	for _, path := range []string{"/x", pathFiles} {
		for _, c := range []struct {
			name, head string
			sent       int
			whole      bool
		}{
			{"whole", fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody), longBody, true},
			{"a few bytes", fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody), 100, false},
			{"half", fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody), longBody / 2, false},
			{"all but one", fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody), longBody - 1, false},
			{"inside a chunk", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", longBody), longBody / 2, false},
			{"after a chunk", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", longBody), longBody, false},
		} {
			t.Run(path+" "+c.name, func(t *testing.T) {
				is := is.New(t)
				e, w := &echoPipeline{}, &wholeFiles{}
				a := startWith(t, e, w)
				n, err := net.Dial("tcp", a)
				is.NoErr(err)
				defer func() { _ = n.Close() }()
				_, err = fmt.Fprintf(n, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n%s%s", path, c.head, strings.Repeat("x", c.sent))
				is.NoErr(err)
				if strings.Contains(c.name, "after") {
					_, err = io.WriteString(n, "\r\n")
					is.NoErr(err)
				}
				is.NoErr(n.(*net.TCPConn).CloseWrite())
				_, err = io.ReadAll(n)
				is.NoErr(err)
				is.Equal(len(e.calls)+w.files == 1, c.whole)
			})
		}
	}
}

// startWith serves callers on loopback until the test ends.
func startWith(t *testing.T, p pipeline, b batchService) string {
	t.Helper()
	return startWithin(t, p, b, 0)
}

// startWithin is startWith with a bound of what callers hold, zero for none.
func startWithin(t *testing.T, p pipeline, b batchService, held int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	m := timer.NewService()
	c := &Server{
		Listener: l, Pipeline: p, Identifier: anyKey{}, Batch: b, Ready: func() bool { return true }, Timer: m, Log: zerolog.Nop(),
		MaxHeaderBytes: headerBytes, MaxBodyBytes: mostBytes, MaxFileBytes: mostBytes, Concurrency: 64, ReadTimeout: 10 * time.Second,
		Guard: &clientguard.Guard{Account: clientmemory.Account{Bytes: held}, Timer: m},
	}
	g := group.NewGroup(t.Context())
	g.Go("timer", m.Run)
	g.Go("caller", c.Run)
	return l.Addr().String()
}
