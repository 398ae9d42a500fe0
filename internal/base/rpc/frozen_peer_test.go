package rpc_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
)

// startFrozen adds a peer that accepts connections and says nothing, and returns it.
func startFrozen(t *testing.T, a *rpc.Endpoint) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	a.Peers["frozen"] = l.Addr().String()
	return l
}

// runTimer runs the timer of an endpoint until the test ends.
func runTimer(t *testing.T, a *rpc.Endpoint) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", a.Timer.Run)
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
}

// TestCallToAFrozenPeerEndsWithItsContext guards against calls and questions that wait for a frozen host far longer than they may.
func TestCallToAFrozenPeerEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t, "s", "s")
	startFrozen(t, a)
	run(t, a, b)
	runTimer(t, a)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	at := a.Timer.Now()
	_, err := a.Call(ctx, "frozen", "ask", nil)
	is.True(err != nil)
	took := a.Timer.Now().Sub(at)
	t.Log(took)
	is.True(took < 400*time.Millisecond)
}

// TestOpeningDoesNotWaitForTheDialOfAnother guards against calls that wait behind another one's dial of a frozen host.
func TestOpeningDoesNotWaitForTheDialOfAnother(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t, "s", "s")
	startFrozen(t, a)
	run(t, a, b)
	runTimer(t, a)
	g := group.NewGroup(t.Context())
	g.Go("first", func(ctx context.Context) error {
		_, _ = a.Open(ctx, "frozen", "open", nil)
		return nil
	})
	is.NoErr(a.Timer.Sleep(t.Context(), 50*time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	at := a.Timer.Now()
	_, err := a.Open(ctx, "frozen", "open", nil)
	is.True(err != nil)
	took := a.Timer.Now().Sub(at)
	t.Log(took)
	is.NoErr(g.Wait())
	is.True(took < 400*time.Millisecond)
}

// TestOpeningThatIsGivenUpKeepsThePeerReachable guards against a host that counts as unreachable because the first call that dialed
// it was given up.
func TestOpeningThatIsGivenUpKeepsThePeerReachable(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t, "s", "s")
	b.HandleStream("open", func(_ context.Context, _ string, _ []byte, open func() (net.Conn, error)) error {
		_, err := open()
		return err
	})
	a.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if err := a.Timer.Sleep(ctx, 20*time.Millisecond); err != nil {
			return nil, err
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	run(t, a, b)
	runTimer(t, a)
	g := group.NewGroup(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	g.Go("given up", func(context.Context) error {
		_, _ = a.Open(ctx, "b", "open", nil)
		return nil
	})
	is.NoErr(a.Timer.Sleep(t.Context(), 5*time.Millisecond))
	cancel()
	_, err := a.Open(t.Context(), "b", "open", nil)
	is.NoErr(err)
	is.NoErr(g.Wait())
}
