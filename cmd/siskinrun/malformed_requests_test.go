package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

// sendRaw sends a request with a further line in its head, and returns the status of its answer.
func (f *cutFleet) sendRaw(ctx context.Context, t *testing.T, id, path, line string) int {
	t.Helper()
	is := is.New(t)
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", f.entries[0]+":7443")
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Even: 1\r\n%s\r\nContent-Length: 1\r\n\r\nx", path, streamHost, wire.AttemptID, id, line)
	is.NoErr(err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer func() { _ = r.Body.Close() }()
	_, err = io.Copy(io.Discard, r.Body)
	is.NoErr(err)
	return r.StatusCode
}

// TestRequestsWithAMalformedNameReachNoWorker guards against a request in whose head the name of a field is malformed, and that is
// passed on as it came. A line that continues the one before is joined to it.
func TestRequestsWithAMalformedNameReachNoWorker(t *testing.T) {
	f, ctx := newCutFleet(t)
	for n, line := range malformedLines() {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			is := is.New(t)
			id := fmt.Sprint("request-", n)
			want, runs := http.StatusBadRequest, 0
			if strings.Contains(line, "\n ") || strings.HasPrefix(line, " ") {
				want, runs = http.StatusOK, 1
			}
			is.Equal(f.sendRaw(ctx, t, id, lookPath, line), want)
			is.Equal(f.ran(id), runs)
		})
	}
	is.New(t).Equal(f.sendRaw(ctx, t, "sound", lookPath, tokenCharacters+": \xff"), http.StatusOK)
}
