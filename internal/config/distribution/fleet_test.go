package distribution_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/distribution"
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

// isolate cuts a host off from all others, or ends that.
func (n *network) isolate(host string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = isolated
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
