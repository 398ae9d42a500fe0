package transport_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/wire/transport"
)

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
