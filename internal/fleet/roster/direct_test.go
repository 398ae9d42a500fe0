package roster

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
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/news"
)

// sends notes to whom news goes.
type sends struct {
	names []string
	mu    sync.Mutex
	to    []string
	last  []byte
}

func (s *sends) Handle(string, link.Handler) {}
func (s *sends) Names() []string             { return s.names }

func (s *sends) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, context.Canceled
}

func (s *sends) Send(_ context.Context, to, _ string, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.to = append(s.to, to)
	s.last = body
	return true
}

// TestDriverHearsOfCallsAtOnce plays online calls in a fleet that is too large to tell every host: the host that
// drives the batch work of the upstream makes room only if it hears of them.
func TestDriverHearsOfCallsAtOnce(t *testing.T) {
	for _, c := range []struct {
		hosts int
		least int
		most  int
	}{{9, 8, 8}, {60, 1, 1}} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			is := is.New(t)
			s := &sends{}
			for i := range c.hosts {
				s.names = append(s.names, fmt.Sprint("h", i))
			}
			r := &Roster{
				Link: s, Name: "h0", FailureDomain: "d", Timer: timer.NewService(),
				Driver: func(string) string { return "h7" },
			}
			r.Busy("u", 1)
			r.group = group.NewGroup(t.Context())
			r.flush(t.Context())
			is.NoErr(r.group.Wait())
			is.True(slices.Contains(s.to, "h7"))
			is.True(len(s.to) >= c.least && len(s.to) <= c.most)
		})
	}
}

// TestDriverPassesCountsOn plays calls at an upstream that this host drives, begun here and elsewhere: the hosts of its
// failure domain hear of both, with their ages, and those of others do not.
func TestDriverPassesCountsOn(t *testing.T) {
	is := is.New(t)
	s := &sends{}
	var hosts []news.Host
	for i := range 60 {
		s.names = append(s.names, fmt.Sprint("h", i))
		hosts = append(hosts, news.Host{Name: s.names[i], FailureDomain: fmt.Sprint("d", i%3), Boot: 1})
	}
	r := &Roster{
		Link: s, Name: "h0", FailureDomain: "d0", Boot: 1, Timer: timer.NewManual(time.Unix(1_800_000_000, 0)),
		Driver: func(string) string { return "h0" },
	}
	r.Busy("u", 1)
	r.group = group.NewGroup(t.Context())
	told := news.News{From: "h4", Hosts: hosts, Counts: []news.Count{
		{Origin: news.Origin{Host: "h4", Boot: 1, Sequence: 3}, Upstream: "u", InFlight: 2},
	}}
	b, err := encode(told)
	is.NoErr(err)
	_, err = r.hear(t.Context(), "h4", b)
	is.NoErr(err)
	r.flush(t.Context())
	r.Timer.Advance(50 * time.Millisecond)
	r.relay(t.Context())
	is.NoErr(r.group.Wait())
	is.Equal(len(s.to), 19) // of 20 hosts of the domain, without this one
	for _, h := range s.to {
		n, err := strconv.Atoi(h[1:])
		is.NoErr(err)
		is.Equal(n%3, 0)
	}
	n, err := decode(s.last)
	is.NoErr(err)
	is.Equal(len(n.Counts), 2)
	is.Equal(n.Counts[0].Age, 50*time.Millisecond)
	is.True(!r.relays.any())
}
