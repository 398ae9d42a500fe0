package transport_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/wire/transport"
)

// TestAnswerCutAtAnyByteIsNotComplete guards against a framed answer that looks complete though it is cut, at whichever byte.
func TestAnswerCutAtAnyByteIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for name, text := range map[string]string{
		"chunks":              head + "Transfer-Encoding: chunked\r\n\r\n" + "9\r\ndata: a\n\n\r\n" + "10\r\ndata: 12345678\n\n\r\n" + "0\r\n\r\n",
		"chunks and trailers": head + "Transfer-Encoding: chunked\r\n\r\n" + "9\r\ndata: a\n\n\r\n" + "0\r\nX-A: b\r\n\r\n",
		"length":              head + "Content-Length: 9\r\n\r\ndata: a\n\n",
	} {
		body := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " reset ", reset), func(t *testing.T) {
				for n := body; n <= len(text); n++ {
					err := readCut(t, text[:n], reset)
					if (err == nil) != (n == len(text)) {
						t.Errorf("cut after %q: %v", text[body:n], err)
					}
				}
			})
		}
	}
}

// TestResetStaysTheEndOfAnUnframedAnswer guards against a reset that is taken for the end of an answer once it was read.
func TestResetStaysTheEndOfAnUnframedAnswer(t *testing.T) {
	is := is.New(t)
	a := startUpstream(t, func(k net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			_, _ = io.WriteString(k, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: a\n\n")
			end(k, true)
		}
	})
	m := timer.NewService()
	x := &transport.Transport{Timer: m, BodyReadTimeout: time.Second}
	r, err := x.Do(t.Context(), a, &call.Call{ID: "i", Method: "GET", Path: "/", Deadline: m.Now().Add(time.Second)})
	is.NoErr(err)
	_, err = io.ReadAll(r.Body)
	is.True(err != nil)
	for range 3 {
		_, again := r.Body.Read(make([]byte, 1))
		is.Equal(again, err)
	}
}

// readCut returns the error with which an answer ends that is cut after the given text.
func readCut(t *testing.T, text string, reset bool) error {
	t.Helper()
	is := is.New(t)
	a := startUpstream(t, func(k net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			_, _ = io.WriteString(k, text)
			end(k, reset)
		}
	})
	m := timer.NewService()
	x := &transport.Transport{Timer: m, BodyReadTimeout: time.Second}
	r, err := x.Do(t.Context(), a, &call.Call{ID: "i", Method: "GET", Path: "/", Deadline: m.Now().Add(time.Second)})
	is.NoErr(err)
	_, err = io.ReadAll(r.Body)
	is.NoErr(r.Body.Close())
	return err
}

// end closes a connection, or resets it after what was written has arrived.
func end(k net.Conn, reset bool) {
	if reset {
		time.Sleep(10 * time.Millisecond)
		_ = k.(*net.TCPConn).SetLinger(0)
	}
	_ = k.Close()
}
