package gossip

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
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
)

const (
	// ExchangePeriod is the time between exchanges with peers in a small fleet.
	ExchangePeriod = 200 * time.Millisecond
	// RelayPeriod is the time for which a driver or a relay host batches occupancies.
	RelayPeriod = 100 * time.Millisecond
	// FlushPeriod is the time for which urgent news is batched before it is pushed.
	FlushPeriod = 20 * time.Millisecond

	answerTimeout = 250 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// fanOut is the number of peers to which a host pushes its own urgent news.
	fanOut = 8
	// relayFanOut is the number of peers to which a host forwards urgent news of others.
	relayFanOut = 4
	// probePeers is the number of peers that are asked to probe a silent peer.
	probePeers = 3

	methodExchange = "roster/ask"
	methodPush     = "roster/tell"
	methodProbe    = "roster/probe"
)

// Service exchanges news with other hosts and reports which hosts and upstreams exist and how busy the upstreams are.
type Service struct {
	// Link carries news between hosts.
	Link transport
	// Name is the name of this host.
	Name string
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Boot distinguishes the runs of this host and grows with each; zero means the start time in nanoseconds.
	Boot uint64
	// Open adds hosts that the link did not name at the start.
	Open bool
	// ColdBound reports whether the requests to cold upstreams of a service are bounded, so that it is urgent news that one turns
	// cold; nil if they are for all.
	ColdBound func(service string) bool
	// Self holds the label, the roles and the features that this host announces of itself.
	Self gossipmessage.Host
	// Expiry is the age at which an announcement expires; zero means membership.Expiry.
	Expiry time.Duration
	// Driver, if set, returns the host that drives the batch work of an upstream; it needs the counts there at once.
	Driver func(upstream string) string
	// RelayHost, if set, returns the host that passes occupancies on in this failure domain.
	RelayHost func() string
	// RemoteRelayHosts, if set, returns the relay host of each other failure domain.
	RemoteRelayHosts func() []string
	// Seed seeds the random choice of peers.
	Seed uint64
	// Timer provides the time and the periodic calls.
	Timer *timer.Service
	// Log receives lines about hosts that do not answer and about internal errors.
	Log zerolog.Logger
	// Metrics counts messages and bytes.
	Metrics metrics.Registry

	once        sync.Once
	mu          sync.Mutex
	membership  *membership.Membership
	exchanging  map[string]bool
	subscribers []func([]upstream.Upstream)
	publishMu   sync.Mutex
	version     uint64
	// coldChanges is the number of changes of the time that upstreams stay cold as of the last publication.
	coldChanges uint64
	samples     sync.Map
	// heardAt is when the last exchange began that a peer answered.
	heardAt atomic.Pointer[time.Time]
	// loadChanges counts the changes of loads and counts.
	loadChanges atomic.Uint64
	current     atomic.Pointer[[]upstream.Upstream]
	group       *group.Group
	relays      relayQueue
	flushes     signal.Signal
	// flushDue says that a push of urgent news is scheduled.
	flushDue bool
	// periodsPassed counts the periods since the last exchange.
	periodsPassed int
}

// transport calls other hosts.
type transport interface {
	Handle(method string, h rpc.Handler)
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	Send(ctx context.Context, to, method string, body []byte) bool
	Names() []string
}

// Register registers the handlers of peers' messages and must be called before the link runs.
func (s *Service) Register() {
	s.once.Do(s.init)
	s.Link.Handle(methodExchange, s.handleExchange)
	s.Link.Handle(methodPush, s.handlePush)
	s.Link.Handle(methodProbe, s.handleProbe)
}

// Run exchanges news with peers until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.once.Do(s.init)
	g := group.NewGroup(ctx)
	s.mu.Lock()
	s.group = g
	s.mu.Unlock()
	periods := signal.NewSignal()
	stopPeriods := s.Timer.Every(ExchangePeriod, func(time.Time) { periods.Set() })
	defer stopPeriods()
	due := signal.NewSignal()
	stopRelays := s.Timer.Every(RelayPeriod, func(time.Time) {
		s.queueRenewals()
		if s.relays.pending() {
			due.Set()
		}
	})
	defer stopRelays()
	s.group.Go("relay", func(ctx context.Context) error {
		return runOnSignal(ctx, due, s.sendRelays)
	})
	s.group.Go("question", func(ctx context.Context) error {
		return runOnSignal(ctx, periods, s.exchange)
	})
	s.group.Go("flush", func(ctx context.Context) error {
		return runOnSignal(ctx, s.flushes, s.flush)
	})
	return s.group.Wait()
}

// unlock unlocks the view and has urgent news pushed after FlushPeriod.
func (s *Service) unlock() {
	defer s.mu.Unlock()
	if s.flushDue || !s.membership.HasUrgent() {
		return
	}
	s.flushDue = true
	s.Timer.After(FlushPeriod, func(time.Time) { s.flushes.Set() })
}

// AnnounceStopping tells other hosts that this one accepts no more work.
func (s *Service) AnnounceStopping() {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.unlock()
	s.membership.AnnounceStopping()
}

// AnnounceReplica tells other hosts that this one holds a replica of a batch ledger.
func (s *Service) AnnounceReplica() {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.unlock()
	s.membership.AnnounceReplica()
}

// AddHosts adds hosts that were not named at the start.
func (s *Service) AddHosts(names []string) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membership.AddHosts(names)
}

// Announce stores the announcement of an upstream and reports whether the upstream is accepted.
func (s *Service) Announce(u upstream.Upstream) bool {
	s.once.Do(s.init)
	s.mu.Lock()
	ok := s.membership.Announce(s.Timer.Now(), u)
	s.unlock()
	s.publishUpstreams(false)
	return ok
}

// Leave ends an incarnation of an upstream and reports whether this is new.
func (s *Service) Leave(name string, incarnation uint64) bool {
	s.once.Do(s.init)
	s.mu.Lock()
	ok := s.membership.Leave(s.Timer.Now(), name, incarnation)
	s.unlock()
	s.publishUpstreams(false)
	return ok
}

// Alive reports whether a host is known and neither suspected here nor declared dead.
func (s *Service) Alive(host string) bool {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membership.Alive(host)
}

// Hosts returns the known hosts of the fleet, ordered by name.
func (s *Service) Hosts() []gossipmessage.Host {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membership.Hosts()
}

func (s *Service) init() {
	if s.Boot == 0 {
		s.Boot = uint64(s.Timer.Now().UnixNano())
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	s.exchanging = map[string]bool{}
	s.flushes = signal.NewSignal()
	s.membership = membership.NewMembership(s.Name, s.FailureDomain, s.Boot, s.Link.Names(), s.Seed)
	s.membership.Open = s.Open
	s.membership.ColdBound = s.ColdBound
	s.membership.SetSelf(s.Self)
	s.membership.Expiry = s.Expiry
}

func runOnSignal(ctx context.Context, due signal.Signal, f func(context.Context)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
			f(ctx)
		}
	}
}
