package spread_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/register"
	"siskinrun/internal/config/spread"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/team"
	"siskinrun/pkg/refusal"
)

const patience = 10 * time.Second

// network hands calls between the hosts of one process.
type network struct {
	mu       sync.Mutex
	handlers map[string]link.Handler
	cut      map[string]bool
}

type port struct {
	name    string
	network *network
}

func (p *port) Handle(method string, h link.Handler) {
	p.network.handlers[p.name+" "+method] = h
}

func (p *port) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	h := p.network.handlers[to+" "+method]
	if p.isCut(to) || h == nil {
		return nil, refusal.NewNotRun(503, "peer-unreachable", to)
	}
	b, err := h(ctx, p.name, body)
	if p.isCut(to) {
		return nil, refusal.NewMayHaveRun(504, "peer-lost", to)
	}
	return b, err
}

func (p *port) isCut(to string) bool {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.network.cut[p.name] || p.network.cut[to]
}

// Confirm answers at once unless the host is cut off.
func (p *port) Confirm(context.Context, uint32) (time.Time, error) {
	if p.isCut(p.name) {
		return time.Time{}, refusal.NewNotRun(503, "no-quorum", p.name)
	}
	return time.Now(), nil
}

func (p *port) CallLeader(ctx context.Context, _ uint32, method string, body []byte) ([]byte, error) {
	return p.Call(ctx, "a0", method, body)
}

type fleet struct {
	network *network
	hosts   map[string]*spread.Spread
	timer   *timer.Service
}

func newFleet(domains, size int) *fleet {
	f := &fleet{
		network: &network{handlers: map[string]link.Handler{}, cut: map[string]bool{}},
		hosts:   map[string]*spread.Spread{},
		timer:   timer.NewService(),
	}
	m := map[string]string{}
	var control []string
	for d := range domains {
		for i := range size {
			n := fmt.Sprintf("%c%d", 'a'+d, i)
			m[n] = fmt.Sprint(d)
			if i == 0 && d < 3 {
				control = append(control, n)
			}
		}
	}
	for n, d := range m {
		p := &port{n, f.network}
		s := &spread.Spread{Name: n, FailureDomain: d, Domains: m, Control: control, Link: p, Client: p,
			Lease: 4 * time.Second, Timer: f.timer, Metrics: metrics.NewRegistry()}
		f.hosts[n] = s
	}
	for _, n := range control {
		f.hosts[n].Register = register.NewRegister()
	}
	for _, s := range f.hosts {
		s.Bind()
	}
	return f
}

func (f *fleet) run(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", f.timer.Run)
	for n, s := range f.hosts {
		g.Go(n, s.Run)
	}
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
}

func (f *fleet) change(version uint64) {
	c := change.Change{ID: fmt.Sprint(version), Base: version, Kind: change.SetTeam, Name: "t",
		Team: &team.Team{Rate: int64(version + 1), Burst: 1, Weight: 1}}
	b, _ := c.Encode()
	for _, s := range f.hosts {
		if s.Register != nil {
			s.Register.Apply(0, b)
		}
	}
}

func (f *fleet) await(t testing.TB, version uint64, skip string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for n, s := range f.hosts {
		if n == skip {
			continue
		}
		if err := s.Await(ctx, version); err != nil {
			t.Fatalf("%s has version %d, not %d", n, s.View().Version, version)
		}
	}
}

func TestVersionsReachEveryHost(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3)
	var mu sync.Mutex
	seen := map[string]uint64{}
	for n, s := range f.hosts {
		s.Subscribe(func(c *configuration.Configuration) {
			mu.Lock()
			defer mu.Unlock()
			if c.Version < seen[n] {
				t.Errorf("%s went from %d to %d", n, seen[n], c.Version)
			}
			seen[n] = c.Version
		})
		is.True(!s.Fresh())
	}
	f.run(t)
	for v := range uint64(20) {
		f.change(v)
	}
	f.await(t, 20, "")
	for _, s := range f.hosts {
		is.True(s.Fresh())
		is.Equal(s.View().Teams["t"].Rate, int64(20))
	}
	l, err := f.hosts["b2"].Versions(context.Background(), 3)
	is.NoErr(err)
	is.Equal(l[0].Version, uint64(20))
	d, err := f.hosts["b2"].Diff(context.Background(), 1, 20)
	is.NoErr(err)
	is.Equal(d[0].Field, "teams.t.rate")
}

func TestLostRelayIsPassedOver(t *testing.T) {
	f := newFleet(3, 3)
	f.run(t)
	f.change(0)
	f.await(t, 1, "")
	f.network.mu.Lock()
	f.network.cut["a1"] = true
	f.network.mu.Unlock()
	f.change(1)
	f.await(t, 2, "a1")
	if f.hosts["a1"].View().Version != 1 {
		t.Fatal("a host that is cut off heard of a new version")
	}
	f.network.mu.Lock()
	f.network.cut["a1"] = false
	f.network.mu.Unlock()
	f.await(t, 2, "")
}

// BenchmarkControlShare measures, on the machine's clock, the share of questions that control hosts answer among 320 hosts.
func BenchmarkControlShare(b *testing.B) {
	f := newFleet(10, 32)
	f.run(b)
	f.change(0)
	f.await(b, 1, "")
	f.change(1)
	f.await(b, 2, "")
	before, sum := f.counts()
	for v := uint64(2); v < 8; v++ {
		f.change(v)
		f.await(b, v+1, "")
	}
	after, total := f.counts()
	control, all := after-before, total-sum
	b.ReportMetric(float64(control)/float64(all), "control-share")
}

// counts returns the questions that control hosts answered and those that all hosts answered.
func (f *fleet) counts() (control, all int64) {
	for _, s := range f.hosts {
		n := metrics.GetOrRegisterCounter("configuration-answers", s.Metrics).Count()
		all += n
		if s.Register != nil {
			control += n
		}
	}
	return control, all
}

func FuzzPeerBytes(f *testing.F) {
	f.Add([]byte("\x08\x01\x10\x80\x94\xeb\xdc\x03"))
	f.Add([]byte("\x08\x02\x10\x01\x18\x05\x2a\x0f{\"from\":0,\"to\":2}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		l := newFleet(1, 2)
		l.network.handlers["a0 spread/pull"] = func(context.Context, string, []byte) ([]byte, error) { return b, nil }
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = l.hosts["a1"].Run(ctx)
		for _, m := range []string{"pull", "versions", "diff", "status"} {
			_, _ = l.network.handlers["a0 spread/"+m](ctx, "a1", b)
		}
		if l.hosts["a1"].View() == nil {
			t.Fatal("no view")
		}
	})
}

func TestCutHostRefusesOnceItsLeaseEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3)
	f.run(t)
	f.change(0)
	f.await(t, 1, "")
	f.network.mu.Lock()
	f.network.cut["b1"] = true
	f.network.mu.Unlock()
	cut, start := f.hosts["b1"], f.timer.Now()
	is.True(cut.Fresh())
	ctx := context.Background()
	for cut.Fresh() && f.timer.Now().Sub(start) < patience {
		is.NoErr(f.timer.Sleep(ctx, 10*time.Millisecond))
	}
	is.True(f.timer.Now().Sub(start) <= cut.Lease+cut.Lease/20)
	is.True(f.hosts["b2"].Fresh())
	is.Equal(cut.View().Version, uint64(1))
	f.network.mu.Lock()
	f.network.cut["b1"] = false
	f.network.mu.Unlock()
	for !cut.Fresh() && f.timer.Now().Sub(start) < patience {
		is.NoErr(f.timer.Sleep(ctx, 10*time.Millisecond))
	}
	is.True(cut.Fresh())
}
