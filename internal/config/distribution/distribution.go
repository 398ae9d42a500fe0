package distribution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/signal"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/configcache"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/peerselection"
	"siskinrun/internal/data/configuration"
)

const (
	// configurationGroup is the replica group that holds the configuration.
	configurationGroup = 0

	methodPull     = "spread/pull"
	methodVersions = "spread/versions"
	methodDiff     = "spread/diff"

	confirmInterval = 500 * time.Millisecond
	confirmTimeout  = time.Second
	pollWait        = 500 * time.Millisecond
	// pollTimeout leaves room in the lease for two silent peers, one after the other.
	pollTimeout    = pollWait + 700*time.Millisecond
	failureBackoff = 100 * time.Millisecond
	// staleDivisor makes an answer stale once its age exceeds the lease divided by it.
	staleDivisor = 2
)

// Service keeps this host's configuration up to date and serves it to peers.
type Service struct {
	// Name is the name of this host.
	Name string
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Domains holds the failure domain of each host by name.
	Domains map[string]string
	// Control names the hosts that hold the replicated state.
	Control []string
	// Link calls peers.
	Link peerLink
	// Client calls the replica group that holds the configuration.
	Client quorumClient
	// Store is this host's replica of the configuration, nil on a host without a disk.
	Store *configstore.Store
	// Lease is how long keyed requests are admitted after the last confirmation by a quorum.
	Lease time.Duration
	// Evacuations says that operators evacuate failure domains, so that this host waits longer for a confirmed configuration after
	// its start.
	Evacuations bool
	// Timer is the clock and scheduler.
	Timer *timer.Service
	// Log receives changes of the version in force and of freshness.
	Log zerolog.Logger
	// Metrics receives the version, its age and the number of pull requests and answers.
	Metrics metrics.Registry

	once        sync.Once
	published   atomic.Pointer[configuration.Configuration]
	freshUntil  atomic.Int64 // end of the lease, in nanoseconds after start
	lapsed      atomic.Bool  // whether logFreshness last found the lease lapsed
	confirmed   atomic.Int64 // when a quorum last confirmed the replica of this host, in nanoseconds after start; zero for never
	mu          sync.Mutex   // taken after publishMu
	start       time.Time
	cache       *configcache.Cache
	selector    *peerselection.Selector
	changed     chan struct{} // closed and replaced when the cache has a newer version
	wake        signal.Signal // ends the backoff before the next pull
	publishMu   sync.Mutex    // held while subscribers are notified, so that they get versions in order
	subscribers []func(*configuration.Configuration)
}

type peerLink interface {
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	Handle(method string, h rpc.Handler)
}

type quorumClient interface {
	Confirm(ctx context.Context, group uint32) (time.Time, error)
	CallLeader(ctx context.Context, group uint32, method string, body []byte) ([]byte, error)
}

// Bind registers the handlers for peers and must be called after the fields are set and before the link runs.
func (s *Service) Bind() {
	s.init()
	s.Link.Handle(methodPull, s.handlePull)
	s.Link.Handle(methodStatus, s.handleStatus)
	if s.Store != nil {
		s.Link.Handle(methodVersions, s.handleVersions)
		s.Link.Handle(methodDiff, s.handleDiff)
		s.Store.Subscribe(s.applyLocal)
	}
}

// View returns the version in force on this host, which is never nil and must not be modified.
func (s *Service) View() *configuration.Configuration {
	s.init()
	return s.published.Load()
}

// Fresh reports whether the lease holds, so that keyed requests may be admitted under the version in force.
func (s *Service) Fresh() bool {
	s.init()
	return int64(s.Timer.Now().Sub(s.start)) < s.freshUntil.Load()
}

// Age returns the time since a quorum last confirmed the version in force, and whether one ever did.
func (s *Service) Age() (time.Duration, bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.Age(s.Timer.Now())
}

// Subscribe calls f, which must not block, with the version in force and then with each new one, in order.
func (s *Service) Subscribe(f func(*configuration.Configuration)) {
	s.init()
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.subscribers = append(s.subscribers, f)
	f(s.published.Load())
}

// SetHosts replaces the failure domains of the hosts and the control hosts, as hosts join and leave.
func (s *Service) SetHosts(domains map[string]string, control []string) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Domains = domains
	s.Control = control
	s.selector.SetHosts(s.Name, domains, control)
}

// Run keeps the configuration up to date until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	g := group.NewGroup(ctx)
	if s.Store != nil {
		g.Go("confirm", s.confirm)
	}
	g.Go("pull", s.pull)
	stop := s.Timer.Every(confirmInterval, s.logFreshness)
	defer stop()
	return g.Wait()
}

// Await waits until the given version or a later one is in force on this host, or ctx ends.
func (s *Service) Await(ctx context.Context, version uint64) error {
	s.init()
	for {
		s.mu.Lock()
		c := s.changed
		s.mu.Unlock()
		if s.View().Version >= version {
			return nil
		}
		s.wake.Set()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c:
		}
	}
}

func (s *Service) init() {
	s.once.Do(func() {
		s.start = s.Timer.Now()
		s.cache = configcache.NewCache(s.start, s.Lease)
		if s.Evacuations {
			s.cache.Delay = configcache.EvacuationDelay
		}
		s.selector = peerselection.NewSelector(s.Name, s.Domains, s.Control)
		s.changed = make(chan struct{})
		s.wake = signal.NewSignal()
		s.published.Store(s.cache.Published())
		s.lapsed.Store(true)
		if s.Metrics == nil {
			s.Metrics = metrics.NewRegistry()
		}
	})
}

// update changes the cache by f, then wakes waiting peers and notifies subscribers of a new version.
func (s *Service) update(f func(now time.Time, v *configcache.Cache) error) error {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.mu.Lock()
	n := s.Timer.Now()
	held, old := s.cache.HeldVersion(), s.cache.Published()
	err := f(n, s.cache)
	now := s.cache.Published()
	s.freshUntil.Store(int64(s.cache.LeaseEnd().Sub(s.start)))
	s.published.Store(now)
	if s.cache.HeldVersion() != held || now != old {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	s.updateMetrics(now, n)
	if now != old {
		s.notify(now)
	}
	return err
}

func (s *Service) notify(c *configuration.Configuration) {
	s.Log.Info().Uint64("version", c.Version).Msg("configuration in force")
	for _, f := range s.subscribers {
		f(c)
	}
}

func (s *Service) updateMetrics(c *configuration.Configuration, now time.Time) {
	metrics.GetOrRegisterGauge("configuration-version", s.Metrics).Update(int64(c.Version))
	s.mu.Lock()
	a, ok := s.cache.Age(now)
	s.mu.Unlock()
	if ok {
		metrics.GetOrRegisterGauge("configuration-age-milliseconds", s.Metrics).Update(a.Milliseconds())
	}
}

// applyLocal adds a version that this host's replica has just applied.
func (s *Service) applyLocal(c *configuration.Configuration) {
	err := s.update(func(now time.Time, v *configcache.Cache) error { return v.ApplyLocal(now, c) })
	if err != nil {
		s.Log.Error().Err(err).Msg("cannot apply the version of this host's replica")
	}
}

// logFreshness logs when the lease lapses and when it holds again.
func (s *Service) logFreshness(time.Time) {
	f := s.Fresh()
	if s.lapsed.Swap(!f) != f {
		return
	}
	if f {
		s.Log.Info().Msg("configuration fresh")
		return
	}
	s.Log.Warn().Msg("configuration not fresh, keyed requests are refused")
	metrics.GetOrRegisterCounter("configuration-lapses", s.Metrics).Inc(1)
}
