package spread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/register"
	"siskinrun/internal/config/source"
	"siskinrun/internal/config/view"
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
	pollTimeout     = pollWait + 700*time.Millisecond
	failurePause    = 100 * time.Millisecond
	// staleShare is the part of the lease after which an answer is too old to be of help.
	staleShare = 2
)

// Spread keeps this host's configuration in force and passes it on to peers.
type Spread struct {
	// Name is the name of this host.
	Name string
	// FailureDomain is where this host runs.
	FailureDomain string
	// Domains holds the failure domain of each host by name.
	Domains map[string]string
	// Control names the hosts that keep the replicated state.
	Control []string
	// Link calls peers.
	Link peers
	// Client asks the replica group of the configuration.
	Client client
	// Register is the own replica, nil on a host without a disk.
	Register *register.Register
	// Lease is how long keyed requests are admitted without a new confirmation.
	Lease time.Duration
	// Timer tells the time.
	Timer *timer.Service
	// Log takes changes of version and of freshness.
	Log zerolog.Logger
	// Metrics takes the version, its age and the number of questions.
	Metrics metrics.Registry

	once        sync.Once
	published   atomic.Pointer[configuration.Configuration]
	until       atomic.Int64
	lapsed      atomic.Bool
	mu          sync.Mutex
	start       time.Time
	view        *view.View
	source      *source.Source
	changed     chan struct{}
	kick        chan struct{}
	order       sync.Mutex
	subscribers []func(*configuration.Configuration)
}

type peers interface {
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	Handle(method string, h link.Handler)
}

type client interface {
	Confirm(ctx context.Context, group uint32) (time.Time, error)
	CallLeader(ctx context.Context, group uint32, method string, body []byte) ([]byte, error)
}

// Bind registers the handlers for peers and must be called after the fields are set and before the link runs.
func (s *Spread) Bind() {
	s.init()
	s.Link.Handle(methodPull, s.answerPull)
	s.Link.Handle(methodStatus, s.answerStatus)
	if s.Register != nil {
		s.Link.Handle(methodVersions, s.answerVersions)
		s.Link.Handle(methodDiff, s.answerDiff)
		s.Register.Subscribe(s.offer)
	}
}

// View returns the version in force on this host, which is never nil and never changed.
func (s *Spread) View() *configuration.Configuration {
	s.init()
	return s.published.Load()
}

// Fresh reports whether keyed requests may be admitted by the version in force.
func (s *Spread) Fresh() bool {
	s.init()
	return int64(s.Timer.Now().Sub(s.start)) < s.until.Load()
}

// Age returns the time since a quorum confirmed the version in force, and whether one ever did.
func (s *Spread) Age() (time.Duration, bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Age(s.Timer.Now())
}

// Subscribe calls f, which must be quick, with the version in force and then with each new one, in order.
func (s *Spread) Subscribe(f func(*configuration.Configuration)) {
	s.init()
	s.order.Lock()
	defer s.order.Unlock()
	s.subscribers = append(s.subscribers, f)
	f(s.published.Load())
}

// SetHosts replaces the hosts that the settings did not name, as they come and go.
func (s *Spread) SetHosts(domains map[string]string, control []string) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Domains = domains
	s.Control = control
	s.source.Set(s.Name, domains, control)
}

// Run keeps the configuration fresh until ctx ends.
func (s *Spread) Run(ctx context.Context) error {
	s.init()
	g := group.NewGroup(ctx)
	if s.Register != nil {
		g.Go("confirm", s.confirm)
	}
	g.Go("pull", s.pull)
	stop := s.Timer.Every(confirmInterval, s.watch)
	defer stop()
	return g.Wait()
}

// Await waits until a version or a later one is in force on this host, or ctx ends.
func (s *Spread) Await(ctx context.Context, version uint64) error {
	s.init()
	for {
		s.mu.Lock()
		c := s.changed
		s.mu.Unlock()
		if s.View().Version >= version {
			return nil
		}
		s.poke()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c:
		}
	}
}

func (s *Spread) init() {
	s.once.Do(func() {
		s.start = s.Timer.Now()
		s.view = view.NewView(s.start, s.Lease)
		s.source = source.NewSource(s.Name, s.Domains, s.Control)
		s.changed = make(chan struct{})
		s.kick = make(chan struct{}, 1)
		s.published.Store(s.view.Published())
		s.lapsed.Store(true)
		if s.Metrics == nil {
			s.Metrics = metrics.NewRegistry()
		}
	})
}

// update changes the view by f and tells subscribers and waiting peers what is new.
func (s *Spread) update(f func(now time.Time, v *view.View) error) error {
	s.order.Lock()
	defer s.order.Unlock()
	s.mu.Lock()
	n := s.Timer.Now()
	held, old := s.view.Held(), s.view.Published()
	err := f(n, s.view)
	now := s.view.Published()
	s.until.Store(int64(s.view.Until().Sub(s.start)))
	s.published.Store(now)
	if s.view.Held() != held || now != old {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	s.measure(now, n)
	if now != old {
		s.tell(now)
	}
	return err
}

func (s *Spread) tell(c *configuration.Configuration) {
	s.Log.Info().Uint64("version", c.Version).Msg("configuration in force")
	for _, f := range s.subscribers {
		f(c)
	}
}

func (s *Spread) measure(c *configuration.Configuration, now time.Time) {
	metrics.GetOrRegisterGauge("configuration-version", s.Metrics).Update(int64(c.Version))
	s.mu.Lock()
	a, ok := s.view.Age(now)
	s.mu.Unlock()
	if ok {
		metrics.GetOrRegisterGauge("configuration-age-milliseconds", s.Metrics).Update(a.Milliseconds())
	}
}

// offer takes a version that the own replica has just applied.
func (s *Spread) offer(c *configuration.Configuration) {
	err := s.update(func(now time.Time, v *view.View) error { return v.Offer(now, c) })
	if err != nil {
		s.Log.Error().Err(err).Msg("version of the own replica")
	}
}

// confirm asks the quorum again and again how fresh the own replica is.
func (s *Spread) confirm(ctx context.Context) error {
	for {
		if err := s.confirmOnce(ctx); err != nil {
			s.Log.Debug().Err(err).Msg("configuration not confirmed")
			s.offer(s.Register.View())
		}
		if err := s.Timer.Sleep(ctx, confirmInterval); err != nil {
			return err
		}
	}
}

func (s *Spread) confirmOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	t, err := s.Client.Confirm(ctx, configurationGroup)
	if err != nil {
		return errors.Wrap(err, "confirm")
	}
	c := s.Register.View()
	return s.update(func(now time.Time, v *view.View) error { return v.Confirm(now, t, c) })
}

// watch notes when the lease lapses and when it holds again.
func (s *Spread) watch(time.Time) {
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

// poke ends the pause before the next question.
func (s *Spread) poke() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// isControl reports whether the own replica confirms freshness by itself.
func (s *Spread) isControl() bool {
	return s.Register != nil
}
