package proposal_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/state/proposal"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// fleet runs a client and hosts with scripted answers to proposals.
type fleet struct {
	t      *testing.T
	client *proposal.Client
	links  map[string]*rpc.Endpoint
	calls  map[string]int
	stop   map[string]context.CancelFunc
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{t: t, links: map[string]*rpc.Endpoint{}, calls: map[string]int{}, stop: map[string]context.CancelFunc{}}
	s := timer.NewService()
	peers := map[string]string{}
	for _, n := range append([]string{"entry"}, names...) {
		x, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peers[n] = x.Addr().String()
		f.links[n] = &rpc.Endpoint{Name: n, Listener: x, Peers: peers, Secret: []byte("s"), Timer: s, Log: zerolog.Nop()}
	}
	f.client = &proposal.Client{Link: f.links["entry"], Hosts: names, Timer: s}
	return f
}

// answer sets the answer of a host to proposals and counts its calls.
func (f *fleet) answer(name string, body []byte, err error) {
	f.links[name].Handle("control/propose", func(context.Context, string, []byte) ([]byte, error) {
		f.calls[name]++
		return body, err
	})
}

func (f *fleet) run() {
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", f.client.Timer.Run)
	for n, l := range f.links {
		c, stop := context.WithCancel(ctx)
		f.stop[n] = stop
		g.Go(n, func(context.Context) error {
			_ = l.Run(c)
			return nil
		})
	}
	f.t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestProposalFollowsLeaderRedirect(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a", "b", "c")
	f.answer("a", nil, refusal.NewNotRun(503, "not-leader", "c"))
	f.answer("b", nil, refusal.NewNotRun(503, "not-leader", "c"))
	f.answer("c", []byte("done"), nil)
	f.run()
	for range 3 {
		b, err := f.client.Propose(within(t, 5*time.Second), 1, []byte("x"))
		is.NoErr(err)
		is.Equal(string(b), "done")
	}
	is.Equal(f.calls["c"], 3)
	is.True(f.calls["a"]+f.calls["b"] <= 1)
}

func TestProposalIsNotRepeatedWhenItMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a")
	f.answer("a", nil, refusal.NewMayHaveRun(504, "outcome-unknown", "why"))
	f.run()
	_, err := f.client.Propose(within(t, 5*time.Second), 1, []byte("x"))
	is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
	is.Equal(f.calls["a"], 1)
}

func TestLostAnswerIsOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a")
	f.links["a"].Handle("control/propose", func(context.Context, string, []byte) ([]byte, error) {
		f.stop["a"]()
		<-within(t, 300*time.Millisecond).Done()
		return nil, nil
	})
	f.run()
	_, err := f.client.Propose(within(t, 5*time.Second), 1, []byte("x"))
	is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
	is.Equal(refusal.Of(err).Code, "outcome-unknown")
}

func TestProposalWithoutLeaderIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a", "b")
	f.answer("a", nil, refusal.NewNotRun(503, "not-leader", ""))
	f.answer("b", nil, refusal.NewNotRun(503, "not-leader", "a"))
	f.run()
	_, err := f.client.Propose(within(t, 300*time.Millisecond), 1, []byte("x"))
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
	is.True(f.calls["a"]+f.calls["b"] <= 20)
}

func TestMethodRefusalIsReturned(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a")
	f.answer("a", nil, refusal.NewNotRun(409, "conflict", "why"))
	f.run()
	_, err := f.client.Propose(within(t, 5*time.Second), 1, []byte("x"))
	is.Equal(refusal.Of(err).Code, "conflict")
	is.Equal(f.calls["a"], 1)
}

// TestLeaderAmongManyHostsIsFoundWithoutPauses guards against calls that time out because most of the control hosts do not
// hold the group and cannot name its leader.
func TestLeaderAmongManyHostsIsFoundWithoutPauses(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 45 {
		names = append(names, fmt.Sprint("h", i))
	}
	f := newFleet(t, names...)
	for _, n := range names {
		f.answer(n, nil, refusal.NewNotRun(503, "not-leader", ""))
	}
	f.answer("h44", []byte("done"), nil)
	f.run()
	b, err := f.client.Propose(within(t, 500*time.Millisecond), 1, []byte("x")) // 44 pauses would take over 2 s
	is.NoErr(err)
	is.Equal(string(b), "done")
}
