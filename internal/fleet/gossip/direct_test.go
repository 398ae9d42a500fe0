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

// newDriverOf60 returns a host of a fleet of 60 in three failure domains that drives the upstreams whose names begin with u.
func newDriverOf60(t *testing.T) (*Service, *recordingTransport, []gossipmessage.Host) {
	t.Helper()
	s := &recordingTransport{}
	var hosts []gossipmessage.Host
	for i := range 60 {
		s.names = append(s.names, fmt.Sprint("h", i))
		hosts = append(hosts, gossipmessage.Host{Name: s.names[i], FailureDomain: fmt.Sprint("d", i%3), Boot: 1})
	}
	r := &Service{
		Link: s, Name: "h0", FailureDomain: "d0", Boot: 1, Timer: timer.NewManual(time.Unix(1_800_000_000, 0)),
		Driver:           func(string) string { return "h0" },
		RemoteRelayHosts: func() []string { return []string{"h1", "h2"} },
	}
	r.Register()
	r.group = group.NewGroup(t.Context())
	return r, s, hosts
}

func pushTo(t *testing.T, r *Service, from string, n gossipmessage.Message) {
	t.Helper()
	is := is.New(t)
	b, err := encode(n)
	is.NoErr(err)
	_, err = r.handlePush(t.Context(), from, b)
	is.NoErr(err)
}

// TestDriverRelaysCounts checks that the driver of an upstream, as the relay host of its failure domain, relays the sum of the
// calls begun here and elsewhere to the hosts of the domain and to the relay host of each other, and to no others.
func TestDriverRelaysCounts(t *testing.T) {
	is := is.New(t)
	r, s, hosts := newDriverOf60(t)
	r.Busy("u", 1)
	r.BusyBatch("u", 3)
	pushTo(t, r, "h4", gossipmessage.Message{From: "h4", Hosts: hosts, Counts: []gossipmessage.Count{
		{Origin: gossipmessage.Origin{Host: "h4", Boot: 1, Sequence: 3}, Upstream: "u", InFlight: 2},
	}})
	r.flush(t.Context())
	r.Timer.Advance(50 * time.Millisecond)
	r.sendRelays(t.Context())
	is.NoErr(r.group.Wait())
	is.Equal(len(s.to), 21) // the domain has 20 hosts, this one included
	for _, h := range s.to {
		n, err := strconv.Atoi(h[1:])
		is.NoErr(err)
		is.True(n%3 == 0 || h == "h1" || h == "h2")
	}
	n, err := decode(s.last)
	is.NoErr(err)
	is.Equal(n.Occupancies, []gossipmessage.Occupancy{{Upstream: "u", Online: 3, Batch: 3}})
	is.True(!r.relays.pending())
}

// TestRelayHostForwardsOccupancies checks that occupancies reach the hosts of the failure domain with the age that they had,
// and that only those of its own drivers reach the relay hosts of other domains.
func TestRelayHostForwardsOccupancies(t *testing.T) {
	for _, c := range []struct {
		from string
		sent int
	}{{"h1", 19}, {"h3", 21}} {
		t.Run(c.from, func(t *testing.T) {
			is := is.New(t)
			r, s, hosts := newDriverOf60(t)
			pushTo(t, r, c.from, gossipmessage.Message{From: c.from, Hosts: hosts, Occupancies: []gossipmessage.Occupancy{
				{Upstream: "v", Age: 20 * time.Millisecond, Online: 4, Batch: 1},
			}})
			r.Timer.Advance(50 * time.Millisecond)
			r.sendRelays(t.Context())
			is.NoErr(r.group.Wait())
			is.Equal(len(s.to), c.sent)
			is.Equal(r.Peers("v"), 4)
			is.Equal(r.PeersBatch("v"), 1)
			n, err := decode(s.last)
			is.NoErr(err)
			is.Equal(n.Occupancies, []gossipmessage.Occupancy{{Upstream: "v", Age: 70 * time.Millisecond, Online: 4, Batch: 1}})
		})
	}
}

// TestDriverTellsOnlyItsRelayHost checks that a driver sends its sums to the relay host of its failure domain alone, and
// that it passes on nothing of others.
func TestDriverTellsOnlyItsRelayHost(t *testing.T) {
	is := is.New(t)
	r, s, hosts := newDriverOf60(t)
	r.RelayHost = func() string { return "h6" }
	pushTo(t, r, "h1", gossipmessage.Message{From: "h1", Hosts: hosts, Occupancies: []gossipmessage.Occupancy{{Upstream: "v", Online: 4}}})
	r.Busy("u", 1)
	r.flush(t.Context())
	r.sendRelays(t.Context())
	is.NoErr(r.group.Wait())
	is.Equal(s.to, []string{"h6"})
	n, err := decode(s.last)
	is.NoErr(err)
	is.Equal(n.Occupancies, []gossipmessage.Occupancy{{Upstream: "u", Online: 1}})
}

// TestOccupancyExcludesOwnCalls checks that a host does not take its own calls for those of others.
func TestOccupancyExcludesOwnCalls(t *testing.T) {
	is := is.New(t)
	r, _, hosts := newDriverOf60(t)
	pushTo(t, r, "h3", gossipmessage.Message{From: "h3", Hosts: hosts, Occupancies: []gossipmessage.Occupancy{{Upstream: "v", Online: 4}}})
	r.Busy("v", 1)
	is.Equal(r.Peers("v"), 3)
}
