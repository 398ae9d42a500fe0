package gossip

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/gossipmessage"
)

// recordingTransport records the receivers of news and the last body.
type recordingTransport struct {
	names []string
	mu    sync.Mutex
	to    []string
	last  []byte
}

func (s *recordingTransport) Handle(string, rpc.Handler) {}
func (s *recordingTransport) Names() []string            { return s.names }

func (s *recordingTransport) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, context.Canceled
}

func (s *recordingTransport) Send(_ context.Context, to, _ string, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.to = append(s.to, to)
	s.last = body
	return true
}

// TestDriverIsToldOfCallsAtOnce guards against online calls that wait behind batch work in a fleet too large to push to
// every host: the host that drives the batch work of the upstream makes room only if it is told of the calls.
func TestDriverIsToldOfCallsAtOnce(t *testing.T) {
	for _, c := range []struct {
		hosts    int
		minPeers int
		maxPeers int
	}{{9, 8, 8}, {60, 1, 1}} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			is := is.New(t)
			s := &recordingTransport{}
			for i := range c.hosts {
				s.names = append(s.names, fmt.Sprint("h", i))
			}
			r := &Service{
				Link: s, Name: "h0", FailureDomain: "d", Timer: timer.NewService(),
				Driver: func(string) string { return "h7" },
			}
			r.Busy("u", 1)
			r.group = group.NewGroup(t.Context())
			r.flush(t.Context())
			is.NoErr(r.group.Wait())
			is.True(slices.Contains(s.to, "h7"))
			is.True(len(s.to) >= c.minPeers && len(s.to) <= c.maxPeers)
		})
	}
}

// TestDriverRelaysCounts checks that the driver of an upstream relays the counts of calls begun here and elsewhere, with
// their ages, to the hosts of its failure domain and to no others.
func TestDriverRelaysCounts(t *testing.T) {
	is := is.New(t)
	s := &recordingTransport{}
	var hosts []gossipmessage.Host
	for i := range 60 {
		s.names = append(s.names, fmt.Sprint("h", i))
		hosts = append(hosts, gossipmessage.Host{Name: s.names[i], FailureDomain: fmt.Sprint("d", i%3), Boot: 1})
	}
	r := &Service{
		Link: s, Name: "h0", FailureDomain: "d0", Boot: 1, Timer: timer.NewManual(time.Unix(1_800_000_000, 0)),
		Driver: func(string) string { return "h0" },
	}
	r.Busy("u", 1)
	r.group = group.NewGroup(t.Context())
	pushed := gossipmessage.Message{From: "h4", Hosts: hosts, Counts: []gossipmessage.Count{
		{Origin: gossipmessage.Origin{Host: "h4", Boot: 1, Sequence: 3}, Upstream: "u", InFlight: 2},
	}}
	b, err := encode(pushed)
	is.NoErr(err)
	_, err = r.handlePush(t.Context(), "h4", b)
	is.NoErr(err)
	r.flush(t.Context())
	r.Timer.Advance(50 * time.Millisecond)
	r.sendRelays(t.Context())
	is.NoErr(r.group.Wait())
	is.Equal(len(s.to), 19) // the domain has 20 hosts, this one included
	for _, h := range s.to {
		n, err := strconv.Atoi(h[1:])
		is.NoErr(err)
		is.Equal(n%3, 0)
	}
	n, err := decode(s.last)
	is.NoErr(err)
	is.Equal(len(n.Counts), 2)
	is.Equal(n.Counts[0].Age, 50*time.Millisecond)
	is.True(!r.relays.pending())
}
