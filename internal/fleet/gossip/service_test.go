package gossip

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
)

// newServices starts gossip services that talk over loopback; stop ends one of them.
func newServices(t *testing.T, n int) (l []*Service, stop func(i int)) {
	t.Helper()
	is := is.New(t)
	m := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", m.Run)
	peers := map[string]string{}
	var listeners []net.Listener
	for i := range n {
		a, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, a)
		peers[fmt.Sprint("h", i)] = a.Addr().String()
	}
	var cancels []context.CancelFunc
	for i := range n {
		k := &rpc.Endpoint{
			Name: fmt.Sprint("h", i), Listener: listeners[i], Peers: peers, Secret: []byte("s"), Timer: m, Log: zerolog.Nop(),
		}
		r := &Service{Link: k, Name: k.Name, FailureDomain: fmt.Sprint("d", i%2), Seed: uint64(i), Timer: m, Log: zerolog.Nop()}
		r.Register()
		c, end := context.WithCancel(ctx)
		cancels = append(cancels, end)
		g.Go("link", func(context.Context) error { _ = k.Run(c); return nil })
		g.Go("roster", func(context.Context) error { _ = r.Run(c); return nil })
		l = append(l, r)
	}
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return l, func(i int) { cancels[i]() }
}

// eventually fails the test unless f becomes true within five seconds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	s := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", s.Run)
	defer func() {
		cancel()
		_ = g.Wait()
	}()
	for range 200 {
		if f() {
			return
		}
		_ = s.Sleep(ctx, 25*time.Millisecond)
	}
	t.Fatal(what)
}

func TestHostsAgreeOverLinks(t *testing.T) {
	is := is.New(t)
	l, stop := newServices(t, 3)
	changes := make(chan int, 100)
	l[2].Subscribe(func(u []upstream.Upstream) { changes <- len(u) })
	is.True(l[0].Announce(upstream.Upstream{Name: "u", Address: "x:80", Service: "s", Slots: 1, Incarnation: 1}))
	l[0].Report(loadreport.Report{Upstream: "u", Incarnation: 1, Running: 2})
	l[0].Busy("u", 3)
	l[1].Busy("u", 4)
	eventually(t, "upstream and counts did not reach h2", func() bool {
		return len(l[2].Upstreams()) == 1 && l[2].Peers("u") == 7
	})
	is.Equal(<-changes, 1)
	eventually(t, "load did not reach h2", func() bool {
		r, _, ok := l[2].Load("u")
		return ok && r.Running == 2
	})
	l[1].Leave("u", 1)
	eventually(t, "upstream is not marked as leaving", func() bool {
		return l[0].Upstreams()[0].Leaving && l[2].Upstreams()[0].Leaving
	})
	is.True(l[0].Alive("h1"))
	stop(1)
	eventually(t, "stopped host is still alive", func() bool { return !l[0].Alive("h1") })
}

func example() gossipmessage.Message {
	o := gossipmessage.Origin{Host: "a", Boot: 2, Sequence: 3}
	return gossipmessage.Message{
		From:  "a",
		Hosts: []gossipmessage.Host{{Name: "a", FailureDomain: "d", Boot: 2, Refutation: 1, Dead: true, Sequence: 9}},
		Announcements: []gossipmessage.Announcement{{Origin: o, Age: 5, Upstream: upstream.Upstream{
			Name: "u", Address: "x:80", FailureDomain: "d", Kind: "engine", Service: "s", Models: []string{"m@1"},
			Role: "mixed", Slots: 8, Fencing: true, Incarnation: 7, Leaving: true,
		}}},
		Reports: []gossipmessage.Report{{Origin: o, Age: 6, Report: loadreport.Report{
			Upstream: "u", Incarnation: 7, Running: 1, Waiting: 2, CacheUsed: 3,
		}}},
		Counts: []gossipmessage.Count{{Origin: o, Age: 7, Upstream: "u", InFlight: 4}},
	}
}

// TestOddAnnouncementsOfPeersAreDropped guards against an entry that a host of an older build passed on and that names no
// upstream to use; the others of the same news hold.
func TestOddAnnouncementsOfPeersAreDropped(t *testing.T) {
	is := is.New(t)
	m := example()
	sound := m.Announcements[0]
	for _, c := range []func(u *upstream.Upstream){
		func(u *upstream.Upstream) { u.Address = "10.0.0.1:99999" },
		func(u *upstream.Upstream) { u.Slots = -1 },
		func(u *upstream.Upstream) { u.FailureDomain = strings.Repeat("x", 100_000) },
		func(u *upstream.Upstream) { u.Name = "" },
	} {
		odd := sound
		odd.Upstream.Leaving = false
		c(&odd.Upstream)
		m.Announcements = append(m.Announcements, odd)
	}
	b, err := encode(m)
	is.NoErr(err)
	n, err := decode(b)
	is.NoErr(err)
	is.True(reflect.DeepEqual(n, example()))
}

func TestNewsRoundTrip(t *testing.T) {
	is := is.New(t)
	b, err := encode(example())
	is.NoErr(err)
	n, err := decode(b)
	is.NoErr(err)
	is.True(reflect.DeepEqual(n, example()))
}

func FuzzNews(f *testing.F) {
	b, _ := encode(example())
	f.Add(b)
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := decode(b)
		if err != nil {
			return
		}
		m := membership.NewMembership("a", "d", 1, []string{"a", "b"}, 1)
		now := time.Unix(1000, 0)
		m.ApplyAnswer(now, now, n)
		m.ApplyPush(now, n)
		m.Answer(now, n)
		if err := m.CheckInvariants(); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkSecond simulates a fleet for one second an iteration and reports what each host sends and keeps.
func BenchmarkSecond(b *testing.B) {
	for _, c := range []struct{ hosts, upstreams int }{{9, 15}, {80, 300}, {320, 1200}} {
		b.Run(fmt.Sprint(c.hosts, "-hosts"), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := newSimulatedFleet(c.hosts, c.upstreams)
			for range 3 {
				s.advanceSecond()
			}
			s.messages, s.bytes = 0, 0
			n := 0
			for b.Loop() {
				s.advanceSecond()
				n++
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			d := float64(n * c.hosts)
			b.ReportMetric(float64(s.messages)/d, "messages/s/host")
			b.ReportMetric(float64(s.bytes)/d, "bytes/s/host")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(c.hosts), "state-bytes/host")
			runtime.KeepAlive(s)
		})
	}
}

// simulatedFleet simulates a fleet in which every upstream announces and reports once a second.
type simulatedFleet struct {
	views     []*membership.Membership
	byName    map[string]*membership.Membership
	upstreams []upstream.Upstream
	now       time.Time
	messages  int
	bytes     int
}

func newSimulatedFleet(hosts, upstreams int) *simulatedFleet {
	s := &simulatedFleet{now: time.Unix(1000, 0), byName: map[string]*membership.Membership{}}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("host-%03d", i))
	}
	for i, n := range names {
		m := membership.NewMembership(n, fmt.Sprint("domain-", i%3), 1, names, uint64(i))
		s.views = append(s.views, m)
		s.byName[n] = m
	}
	for i := range upstreams {
		s.upstreams = append(s.upstreams, upstream.Upstream{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			FailureDomain: fmt.Sprint("domain-", i%3), Kind: upstream.Engine, Service: "bend-assist",
			Models: []string{"quote@3", "quote@3+radii"}, Role: "mixed", Slots: 32, Incarnation: 1,
		})
	}
	return s
}

func (s *simulatedFleet) advanceSecond() {
	for i, u := range s.upstreams {
		v := s.views[i%len(s.views)]
		v.Announce(s.now, u)
		v.Report(s.now, loadreport.Report{Upstream: u.Name, Incarnation: 1, Running: i % 32})
	}
	for end := s.now.Add(time.Second); s.now.Before(end); s.now = s.now.Add(ExchangePeriod) {
		for _, v := range s.views {
			v.Prune(s.now)
			for _, p := range v.Targets() {
				s.exchange(v, s.byName[p])
			}
		}
	}
}

func (s *simulatedFleet) exchange(from, to *membership.Membership) {
	if s.sendDigest(from, to, from.FirstDigest()) {
		s.sendDigest(from, to, from.Digest())
	}
}

// sendDigest exchanges one digest for an answer and reports whether it was a mismatch.
func (s *simulatedFleet) sendDigest(from, to *membership.Membership, q gossipmessage.Message) bool {
	b, _ := encode(q)
	a := to.Answer(s.now, q)
	c, _ := encode(a)
	from.ApplyAnswer(s.now, s.now, a)
	s.messages += 2
	s.bytes += len(b) + len(c)
	return a.Mismatch
}

func BenchmarkUpstreams(b *testing.B) {
	s := newSimulatedFleet(1, 1200)
	s.advanceSecond()
	for b.Loop() {
		if len(s.views[0].Upstreams(s.now)) != 1200 {
			b.Fatal("the view does not hold all 1200 upstreams")
		}
	}
}
