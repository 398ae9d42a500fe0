package command

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/config/operatorclient"
)

// startHost serves body at /v1/x until the test ends and returns its address.
func startHost(t *testing.T, s *timer.Service, body string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &operatorapi.Server{Listener: l, Secret: []byte("a-secret-of-the-operators"), Timer: s, Log: zerolog.Nop()}
	o.Handle("GET", "/v1/x", func(context.Context, *operatorapi.Request) ([]byte, error) { return []byte(body), nil })
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("operator", o.Run)
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return l.Addr().String()
}

// TestAskHostsListsFailedHosts asks two good hosts and one with a malformed answer, then only an address where nothing
// listens. A failed host must be listed as missing, and an error is returned only if no host answers.
func TestAskHostsListsFailedHosts(t *testing.T) {
	is := is.New(t)
	s := timer.NewManual(time.Unix(0, 0))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closedAddress := l.Addr().String()
	bad := startHost(t, s, "no number")
	c := &operatorclient.Client{Addresses: []string{startHost(t, s, "1"), bad, startHost(t, s, "2")}, Secret: []byte("a-secret-of-the-operators"), Timer: s}
	g, err := askHosts[int](context.Background(), c, "/v1/x")
	is.NoErr(err)
	is.Equal(len(g.answers), 2)
	is.Equal(g.answers[0]+g.answers[1], 3)
	is.Equal(g.missing, []string{bad})
	is.NoErr(l.Close()) // open until now, so that no host of this test gets its port
	c.Addresses = []string{closedAddress}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = askHosts[int](ctx, c, "/v1/x")
	is.True(err != nil)
}
