package roster

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/news"
	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
)

// newRosters starts rosters that talk over loopback; stop ends one of them.
func newRosters(t *testing.T, n int) (l []*Roster, stop func(i int)) {
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
		k := &link.Link{
			Name: fmt.Sprint("h", i), Listener: listeners[i], Peers: peers, Secret: []byte("s"), Timer: m, Log: zerolog.Nop(),
		}
		r := &Roster{Link: k, Name: k.Name, FailureDomain: fmt.Sprint("d", i%2), Seed: uint64(i), Timer: m, Log: zerolog.Nop()}
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

// eventually waits until f holds.
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

func TestRostersAgreeOverLinks(t *testing.T) {
	is := is.New(t)
	l, stop := newRosters(t, 3)
	changes := make(chan int, 100)
	l[2].Subscribe(func(u []upstream.Upstream) { changes <- len(u) })
	is.True(l[0].Announce(upstream.Upstream{Name: "u", Address: "x", Service: "s", Incarnation: 1}))
	l[0].Report(report.Report{Upstream: "u", Incarnation: 1, Running: 2})
	l[0].Busy("u", 3)
	l[1].Busy("u", 4)
	eventually(t, "the upstream is not known", func() bool {
		return len(l[2].Upstreams()) == 1 && l[2].Peers("u") == 7
	})
	is.Equal(<-changes, 1)
	eventually(t, "the load is not known", func() bool {
		r, _, ok := l[2].Load("u")
		return ok && r.Running == 2
	})
	l[1].Leave("u", 1)
	eventually(t, "the leaver is still used", func() bool {
		return l[0].Upstreams()[0].Leaving && l[2].Upstreams()[0].Leaving
	})
	is.True(l[0].Alive("h1"))
	stop(1)
	eventually(t, "the silent host is not noticed", func() bool { return !l[0].Alive("h1") })
}

func example() news.News {
	o := news.Origin{Host: "a", Boot: 2, Sequence: 3}
	return news.News{
		From:  "a",
		Hosts: []news.Host{{Name: "a", FailureDomain: "d", Boot: 2, Refutation: 1, Dead: true, Sequence: 9}},
		Announcements: []news.Announcement{{Origin: o, Age: 5, Upstream: upstream.Upstream{
			Name: "u", Address: "x", FailureDomain: "d", Kind: "engine", Service: "s", Models: []string{"m@1"},
			Role: "mixed", Slots: 8, Fencing: true, Incarnation: 7, Leaving: true,
		}}},
		Reports: []news.Report{{Origin: o, Age: 6, Report: report.Report{
			Upstream: "u", Incarnation: 7, Running: 1, Waiting: 2, CacheUsed: 3,
		}}},
		Counts: []news.Count{{Origin: o, Age: 7, Upstream: "u", InFlight: 4}},
	}
}

func TestNewsSurvivesTheWire(t *testing.T) {
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
		m.Learn(now, now, n)
		m.Hear(now, n)
		m.Answer(now, n)
		if err := m.Check(); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkSecond plays one second of a fleet and tells what each host sends and keeps.
func BenchmarkSecond(b *testing.B) {
	for _, c := range []struct{ hosts, upstreams int }{{9, 15}, {80, 300}, {320, 1200}} {
		b.Run(fmt.Sprint(c.hosts, "-hosts"), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := newSecond(c.hosts, c.upstreams)
			for range 3 {
				s.play()
			}
			s.messages, s.bytes = 0, 0
			n := 0
			for b.Loop() {
				s.play()
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

// second is a fleet in which every upstream announces and reports once a second.
type second struct {
	views    []*membership.Membership
	byName   map[string]*membership.Membership
	ups      []upstream.Upstream
	now      time.Time
	messages int
	bytes    int
}

func newSecond(hosts, upstreams int) *second {
	s := &second{now: time.Unix(1000, 0), byName: map[string]*membership.Membership{}}
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
		s.ups = append(s.ups, upstream.Upstream{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			FailureDomain: fmt.Sprint("domain-", i%3), Kind: upstream.Engine, Service: "bend-assist",
			Models: []string{"quote@3", "quote@3+radii"}, Role: "mixed", Slots: 32, Incarnation: 1,
		})
	}
	return s
}

func (s *second) play() {
	for i, u := range s.ups {
		v := s.views[i%len(s.views)]
		v.Announce(s.now, u)
		v.Report(s.now, report.Report{Upstream: u.Name, Incarnation: 1, Running: i % 32})
	}
	for end := s.now.Add(time.Second); s.now.Before(end); s.now = s.now.Add(Period) {
		for _, v := range s.views {
			v.Prune(s.now)
			for _, p := range v.Targets() {
				s.visit(v, s.byName[p])
			}
		}
	}
}

func (s *second) visit(from, to *membership.Membership) {
	q := from.Question()
	b, _ := encode(q)
	a := to.Answer(s.now, q)
	c, _ := encode(a)
	from.Learn(s.now, s.now, a)
	s.messages += 2
	s.bytes += len(b) + len(c)
}

func BenchmarkUpstreams(b *testing.B) {
	s := newSecond(1, 1200)
	s.play()
	for b.Loop() {
		if len(s.views[0].Upstreams(s.now)) != 1200 {
			b.Fatal("upstreams missing")
		}
	}
}
