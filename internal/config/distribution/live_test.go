package distribution_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/statemachine"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/distribution"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/team"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/proposal"
)

const (
	oneWayDelay     = 1500 * time.Microsecond
	liveLease       = 4 * time.Second
	maxInForceDelay = time.Second
	chunkBytes      = 64 << 10
)

// liveFleet is a fleet of nine hosts over real links, three of which keep a replicated log on disk.
type liveFleet struct {
	t       testing.TB
	timer   *timer.Service
	dialer  *delayedDialer
	hosts   map[string]*distribution.Service
	clients map[string]*proposal.Client
	stops   map[string]func()
	peers   map[string]string
	domains map[string]string
	folders map[string]string
	control []string
}

func newLiveFleet(t testing.TB) *liveFleet {
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	f := &liveFleet{t: t, timer: timer.NewService(), hosts: map[string]*distribution.Service{}, clients: map[string]*proposal.Client{},
		stops: map[string]func(){}, peers: map[string]string{}, domains: map[string]string{}, folders: map[string]string{}}
	f.dialer = &delayedDialer{f.timer, g}
	g.Go("timer", f.timer.Run)
	for i := range 9 {
		n := fmt.Sprintf("%c%d", 'a'+i/3, i%3)
		l := f.listen("127.0.0.1:0")
		f.peers[n], f.domains[n] = l.Addr().String(), n[:1]
		_ = l.Close()
		if i%3 == 0 {
			f.control = append(f.control, n)
			f.folders[n] = t.TempDir()
		}
	}
	for n := range f.peers {
		f.start(n)
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		cancel()
		_ = g.Wait()
	})
	return f
}

func (f *liveFleet) listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	return l
}

// start runs a host until its stop function is called; a restarted control host reuses its data folder.
func (f *liveFleet) start(n string) {
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	k := &rpc.Endpoint{Name: n, Listener: f.listen(f.peers[n]), Peers: f.peers, Secret: []byte("s"), Timer: f.timer,
		Log: zerolog.Nop(), Dial: f.dialer.dial}
	c := &proposal.Client{Link: k, Hosts: f.control, Timer: f.timer}
	s := &distribution.Service{Name: n, FailureDomain: f.domains[n], Domains: f.domains, Control: f.control, Link: k,
		Client: c, Lease: liveLease, Timer: f.timer, Log: zerolog.Nop(), Metrics: metrics.NewRegistry()}
	if f.folders[n] != "" {
		s.Store = configstore.NewStore()
		x := &control.Service{Name: n, Folder: f.folders[n], Hosts: f.control, Link: k, Timer: f.timer, Seed: uint64(n[0]),
			Machines: map[uint32]statemachine.Machine{0: s.Store}, Log: zerolog.Nop(), Metrics: metrics.NewRegistry()}
		x.Register()
		c.Control = x
		g.Go("control", x.Run)
	}
	s.Bind()
	g.Go("link", k.Run)
	g.Go("distribution", s.Run)
	f.hosts[n], f.clients[n] = s, c
	f.stops[n] = func() {
		cancel()
		_ = g.Wait()
	}
}

// propose sends a change through one host and returns its outcome, or nil if the answer was lost.
func (f *liveFleet) propose(from string, version uint64) *changeoutcome.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := change.Change{ID: fmt.Sprint("change-", version), Base: version, Kind: change.SetTeam, Name: "t",
		Team: &team.Team{Rate: int64(version + 1), Burst: 1, Weight: 1}}
	m, err := c.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	a, err := f.clients[from].Propose(ctx, 0, m)
	if err != nil {
		return nil
	}
	o, err := changeoutcome.Decode(a)
	if err != nil || o.Status != changeoutcome.Applied || o.Version != version+1 {
		f.t.Fatalf("%s %v", a, err)
	}
	return o
}

// mustPropose sends a change and fails the test if the answer is lost.
func (f *liveFleet) mustPropose(from string, version uint64) {
	if f.propose(from, version) == nil {
		f.t.Fatalf("the answer to change %d was lost", version)
	}
}

func (f *liveFleet) await(version uint64) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for n, s := range f.hosts {
		if err := s.Await(ctx, version); err != nil {
			f.t.Fatalf("%s has version %d, not %d", n, s.View().Version, version)
		}
	}
}

// checkOrder fails the test if a host goes back to an older version before its next restart.
func (f *liveFleet) checkOrder(n string) {
	last := uint64(0)
	f.hosts[n].Subscribe(func(c *configuration.Configuration) {
		if c.Version < last {
			f.t.Errorf("%s went from %d to %d", n, last, c.Version)
		}
		last = c.Version
	})
}

// Guards against a change that is lost or applied twice when hosts stop with changes in flight and start again.
func TestChangesOutliveLostHosts(t *testing.T) {
	const changes = 40
	f := newLiveFleet(t)
	for n := range f.hosts {
		f.checkOrder(n)
	}
	g, lost, resent := group.NewGroup(context.Background()), "", 0
	for v := range uint64(changes) {
		if v%8 == 4 {
			if lost != "" {
				_ = g.Wait()
				g = group.NewGroup(context.Background())
				f.start(lost)
				f.checkOrder(lost)
			}
			lost = []string{"a0", "a1", "b0", "c0", "b1"}[v/8]
			stop := f.stops[lost]
			delete(f.stops, lost)
			g.Go("stop", func(context.Context) error {
				stop()
				return nil
			})
		}
		for i := 0; f.propose([]string{"a2", "b2", "c2"}[(int(v)+i)%3], v) == nil; i++ {
			resent++
		}
	}
	_ = g.Wait()
	f.start(lost)
	f.await(changes)
	t.Logf("%d changes were resent", resent)
	for _, n := range f.control {
		r := f.hosts[n].Store
		f.awaitStore(t, n, changes)
		if err := r.Check(); err != nil {
			t.Errorf("%s: %v", n, err)
		}
		if l := r.Versions(changes + 1); len(l) != changes {
			t.Errorf("%s has %d versions", n, len(l))
		}
	}
}

// awaitStore waits until the replica of a control host has a number of versions; a host that has just started gets them in
// force from its peers before.
func (f *liveFleet) awaitStore(t *testing.T, name string, versions int) {
	t.Helper()
	began := f.timer.Now()
	for len(f.hosts[name].Store.Versions(versions+1)) < versions && f.timer.Now().Sub(began) < testTimeout {
		_ = f.timer.Sleep(context.Background(), 10*time.Millisecond)
	}
	t.Logf("%s has its versions after %v more", name, f.timer.Now().Sub(began).Round(time.Millisecond))
}

// BenchmarkInForce measures the time from the answer to a change until that change is in force on nine hosts.
func BenchmarkInForce(b *testing.B) {
	f := newLiveFleet(b)
	f.mustPropose("b1", 0)
	f.await(1)
	arrived := make(chan time.Time, 9)
	for _, s := range f.hosts {
		s.Subscribe(func(c *configuration.Configuration) { arrived <- f.timer.Now() })
	}
	for range f.hosts {
		<-arrived
	}
	var took, answered []time.Duration
	version := uint64(1)
	for b.Loop() {
		start := f.timer.Now()
		f.mustPropose("b1", version)
		version++
		acknowledged := f.timer.Now()
		answered = append(answered, acknowledged.Sub(start))
		for range f.hosts {
			took = append(took, max((<-arrived).Sub(acknowledged), 0))
		}
	}
	slices.Sort(took)
	slices.Sort(answered)
	p99 := took[len(took)*99/100]
	b.ReportMetric(took[len(took)/2].Seconds()*1e3, "p50-ms")
	b.ReportMetric(p99.Seconds()*1e3, "p99-ms")
	b.ReportMetric(answered[len(answered)/2].Seconds()*1e3, "answer-p50-ms")
	if p99 > maxInForceDelay {
		b.Fatalf("p99 is %v, over %v", p99, maxInForceDelay)
	}
}
