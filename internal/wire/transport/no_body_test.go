package transport_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/framing"
	"siskinrun/internal/wire/transport"
)

// TestAnswerThatHasNoBodyByItsStatusIsWhole guards against an answer that is lost since its status, which allows no body, comes
// without a length on a connection that stays open.
func TestAnswerThatHasNoBodyByItsStatusIsWhole(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		for _, head := range []string{"", "Connection: close\r\n", "Content-Length: 0\r\n"} {
			t.Run(fmt.Sprintf("%d %q", status, head), func(t *testing.T) {
				is := is.New(t)
				a := startUpstream(t, func(k net.Conn, in *bufio.Reader) {
					if readRequest(in) {
						_, _ = fmt.Fprintf(k, "HTTP/1.1 %d %s\r\n%s\r\n", status, http.StatusText(status), head)
					}
				})
				m := timer.NewService()
				x := &transport.Transport{Timer: m, BodyReadTimeout: time.Second}
				r, err := x.Do(t.Context(), a, &call.Call{ID: "i", Method: "GET", Path: "/", Deadline: m.Now().Add(time.Second)})
				is.NoErr(err)
				is.Equal(r.Status, status)
				is.Equal(r.Framing, framing.Length)
				b, err := io.ReadAll(r.Body)
				is.NoErr(err)
				is.Equal(len(b), 0)
				is.NoErr(r.Body.Close())
			})
		}
	}
}

// TestAnswerThatSwitchesProtocolsIsRefused guards against a caller that is told of a protocol that its host does not speak.
func TestAnswerThatSwitchesProtocolsIsRefused(t *testing.T) {
	for _, head := range []string{"", "Connection: close\r\n", "Connection: upgrade\r\nUpgrade: x\r\n"} {
		is := is.New(t)
		a := startUpstream(t, func(k net.Conn, in *bufio.Reader) {
			if readRequest(in) {
				_, _ = fmt.Fprintf(k, "HTTP/1.1 101 Switching Protocols\r\n%s\r\nab", head)
			}
		})
		m := timer.NewService()
		x := &transport.Transport{Timer: m, BodyReadTimeout: time.Second}
		_, err := x.Do(t.Context(), a, &call.Call{ID: "i", Method: "GET", Path: "/", Deadline: m.Now().Add(time.Second)})
		is.True(err != nil)
	}
}
