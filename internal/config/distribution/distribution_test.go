package distribution_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/distribution"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/team"
	"siskinrun/pkg/refusal"
)

const testTimeout = 10 * time.Second

// network delivers calls between the hosts of one process.
type network struct {
	mu       sync.Mutex
	handlers map[string]rpc.Handler
	isolated map[string]bool
	// withoutReplica are the control hosts that hold no replica.
	withoutReplica map[string]bool
}

type endpoint struct {
	name    string
	network *network
}

func (p *endpoint) Handle(method string, h rpc.Handler) {
	p.network.handlers[p.name+" "+method] = h
}

func (p *endpoint) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	h := p.network.handlers[to+" "+method]
	if p.isIsolated(to) || h == nil {
		return nil, refusal.NewNotRun(503, "peer-unreachable", to)
	}
	b, err := h(ctx, p.name, body)
	if p.isIsolated(to) {
		return nil, refusal.NewMayHaveRun(504, "peer-lost", to)
	}
	return b, err
}

func (p *endpoint) isIsolated(to string) bool {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.network.isolated[p.name] || p.network.isolated[to]
}

// Confirm answers at once unless the host is isolated.
func (p *endpoint) Confirm(context.Context, uint32) (time.Time, error) {
	p.network.mu.Lock()
	none := p.network.withoutReplica[p.name]
	p.network.mu.Unlock()
	if none || p.isIsolated(p.name) {
		return time.Time{}, refusal.NewNotRun(503, "no-quorum", p.name)
	}
	return time.Now(), nil
}

func (p *endpoint) CallLeader(ctx context.Context, _ uint32, method string, body []byte) ([]byte, error) {
	return p.Call(ctx, "a0", method, body)
}

type fleet struct {
	network *network
	hosts   map[string]*distribution.Service
	timer   *timer.Service
}

func newFleet(domains, size int) *fleet {
	f := &fleet{
		network: &network{handlers: map[string]rpc.Handler{}, isolated: map[string]bool{}, withoutReplica: map[string]bool{}},
		hosts:   map[string]*distribution.Service{},
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
		p := &endpoint{n, f.network}
		s := &distribution.Service{Name: n, FailureDomain: d, Domains: m, Control: control, Link: p, Client: p,
			Lease: 4 * time.Second, Timer: f.timer, Metrics: metrics.NewRegistry()}
		f.hosts[n] = s
	}
	for _, n := range control {
		f.hosts[n].Store = configstore.NewStore()
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
	for n, s := range f.hosts {
		if s.Store != nil && !f.network.withoutReplica[n] {
			s.Store.Apply(0, b)
		}
	}
}

func (f *fleet) await(t testing.TB, version uint64, skip string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

// Guards against a host that misses a version, goes back to an older one or counts as fresh before a confirmation.
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

// Guards against a failure domain that stops receiving versions because its relay is unreachable.
func TestUnreachableRelayIsSkipped(t *testing.T) {
	f := newFleet(3, 3)
	f.run(t)
	f.change(0)
	f.await(t, 1, "")
	f.network.mu.Lock()
	f.network.isolated["a1"] = true
	f.network.mu.Unlock()
	f.change(1)
	f.await(t, 2, "a1")
	if f.hosts["a1"].View().Version != 1 {
		t.Fatal("an isolated host received a new version")
	}
	f.network.mu.Lock()
	f.network.isolated["a1"] = false
	f.network.mu.Unlock()
	f.await(t, 2, "")
}

// BenchmarkControlShare measures, on the machine's clock, the share of pulls that control hosts answer among 320 hosts.
func BenchmarkControlShare(b *testing.B) {
	f := newFleet(10, 32)
	f.run(b)
	f.change(0)
	f.await(b, 1, "")
	f.change(1)
	f.await(b, 2, "")
	before, sum := f.answerCounts()
	for v := uint64(2); v < 8; v++ {
		f.change(v)
		f.await(b, v+1, "")
	}
	after, total := f.answerCounts()
	control, all := after-before, total-sum
	b.ReportMetric(float64(control)/float64(all), "control-share")
}

// answerCounts returns how many pulls control hosts answered and how many all hosts answered.
func (f *fleet) answerCounts() (control, all int64) {
	for _, s := range f.hosts {
		n := metrics.GetOrRegisterCounter("configuration-answers", s.Metrics).Count()
		all += n
		if s.Store != nil {
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

// Guards against an isolated host that admits keyed requests past its lease: it cannot learn of withdrawn keys.
func TestIsolatedHostRefusesOnceItsLeaseEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3)
	f.run(t)
	f.change(0)
	f.await(t, 1, "")
	f.network.mu.Lock()
	f.network.isolated["b1"] = true
	f.network.mu.Unlock()
	isolated, start := f.hosts["b1"], f.timer.Now()
	is.True(isolated.Fresh())
	ctx := context.Background()
	for isolated.Fresh() && f.timer.Now().Sub(start) < testTimeout {
		is.NoErr(f.timer.Sleep(ctx, 10*time.Millisecond))
	}
	is.True(f.timer.Now().Sub(start) <= isolated.Lease+isolated.Lease/20)
	is.True(f.hosts["b2"].Fresh())
	is.Equal(isolated.View().Version, uint64(1))
	f.network.mu.Lock()
	f.network.isolated["b1"] = false
	f.network.mu.Unlock()
	for !isolated.Fresh() && f.timer.Now().Sub(start) < testTimeout {
		is.NoErr(f.timer.Sleep(ctx, 10*time.Millisecond))
	}
	is.True(isolated.Fresh())
}
