package permits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/host"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/internal/fleet/fanout"
	"siskinrun/internal/limits/coldview"
	"siskinrun/internal/limits/hostcount"
	"siskinrun/internal/limits/limitview"
	"siskinrun/internal/limits/meter"
	"siskinrun/pkg/refusal"
)

const (
	// batchShare is the share of what is saved up at the committed rate that batch requests leave to callers.
	batchShare = 0.1
	// reserveShare is the share of what is saved up at the committed rate that is kept for times at which others are full.
	reserveShare = 0.75
	// maxWait bounds the time for which a permit is reserved ahead.
	maxWait = time.Second
	// maxClosed bounds the time for which an upstream counts as having no permit without asking again.
	maxClosed = time.Second
	// soon is the time within which a request that comes now may wait for a permit.
	soon = 200 * time.Millisecond
	// maxMalformed bounds the upstreams of which it is remembered that a malformed limit was logged.
	maxMalformed = 4096
)

// transport calls other hosts.
type transport interface {
	Handle(method string, h rpc.Handler)
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
}

// Service gives and asks for permits; it is safe for concurrent use.
type Service struct {
	// Link carries the messages between hosts.
	Link transport
	// Name is the name of this host.
	Name string
	// Coordinators returns the hosts that may hand out the permits of an upstream, in order of preference; the first whose
	// software does so coordinates it.
	Coordinators func(upstream string) []string
	// Hosts returns the hosts among which coordinators are chosen.
	Hosts func() []host.Host
	// Stopped, if set, returns the hosts that leave or have left on purpose.
	Stopped func() map[string]bool
	// Topology returns to which hosts news goes.
	Topology func() fanout.Topology
	// ColdRate returns the requests a second that a cold upstream of a service bears, 0 if nothing bounds them. Without it
	// the time that upstreams stay cold is ignored.
	ColdRate func(service string) float64
	// ColdOverrun and ColdSlack make what a cold upstream bears in any second: ColdOverrun times its rate, and ColdSlack.
	ColdOverrun, ColdSlack float64
	// SingleHost means that no other host belongs to the fleet.
	SingleHost bool
	// Timer is the clock.
	Timer *timer.Service
	// Log receives a line for each limit that begins or ends.
	Log zerolog.Logger
	// Metrics counts permits and messages.
	Metrics metrics.Registry

	mu   sync.Mutex
	view *limitview.View
	// meters hold the permits of the upstreams that this host coordinates.
	meters map[string]*meter.Meter
	// hosts are the hosts among which coordinators are chosen, as last seen, and settled is when they have been the same for
	// the span of a meter.
	hosts   []host.Host
	settled time.Time
	// next holds when upstreams have their next permits.
	next map[string]nextPermits
	// silent holds until when hosts that did not answer are not asked.
	silent map[string]time.Time
	// without holds until when hosts whose software hands out no permits are passed over.
	without map[string]time.Time
	// malformed holds the incarnations of which a malformed limit was logged.
	malformed map[string]uint64
	// cold holds which upstreams are cold, and coldMeters the permits of those that this host coordinates.
	cold       *coldview.View
	coldMeters map[string]*meter.Meter
	// watched is when this host last looked at the others, and resumed until when it has just stood still.
	watched, resumed time.Time
	// seen counts the hosts that are seen against those that are lost.
	seen hostcount.Count
	// coldUntil is until when any upstream is cold, for readers without the lock.
	coldUntil atomic.Pointer[time.Time]
	// active says that any limit is known, for readers without the lock.
	active atomic.Bool
	// compared says that another host has answered a comparison.
	compared atomic.Bool
	group    *group.Group
}

// nextPermits is what this host last heard of the permits of an upstream.
type nextPermits struct {
	// committed and peak are the times of the next ones.
	committed time.Time
	peak      time.Time
	// saved is how much of what was saved up was left at a time.
	saved float64
	at    time.Time
	// room is how many requests could be sent at once at that time.
	room int
}

// request is what is asked of a coordinator.
type request struct {
	batch bool
	// peak asks for a permit at the peak rate if there is none at the committed rate.
	peak bool
	wait time.Duration
}

// Register registers the handlers of peers' messages and must be called before the link runs.
func (s *Service) Register() {
	s.view = limitview.NewView()
	s.meters = map[string]*meter.Meter{}
	s.next = map[string]nextPermits{}
	s.silent = map[string]time.Time{}
	s.without = map[string]time.Time{}
	s.malformed = map[string]uint64{}
	s.cold = coldview.NewView()
	s.coldMeters = map[string]*meter.Meter{}
	s.Link.Handle(methodAsk, s.handleAsk)
	s.Link.Handle(methodHandOver, s.handleHandOver)
	s.Link.Handle(methodTell, s.handleTell)
	s.Link.Handle(methodCompare, s.handleCompare)
}

// Take asks for a permit to send one request to an upstream within wait. A request that waits, or that comes though the
// committed rate is known to be used, gets one at the peak rate.
func (s *Service) Take(ctx context.Context, u upstream.Upstream, batch bool, wait time.Duration) permit.Permit {
	l, ok := s.limit(u.Name, u.Incarnation)
	if !ok && !s.uncertain(u) {
		return permit.Permit{Granted: true}
	}
	if !ok {
		l = upstreamlimit.Limit{Upstream: u.Name, Incarnation: u.Incarnation}
		if c, _ := s.coordinator(u.Name); c == s.Name {
			return permit.Permit{Wait: resumeTime, Limit: l} // another host may coordinate it
		}
	}
	r := request{batch: batch, wait: min(wait, maxWait)}
	r.peak = !batch && (wait > 0 || s.committedUsed(u.Name))
	p := s.take(ctx, l, r)
	s.note(u.Name, p, batch)
	return p
}

func (s *Service) take(ctx context.Context, l upstreamlimit.Limit, r request) permit.Permit {
	for range maxPassedOver {
		c, passed := s.coordinator(l.Upstream)
		if c == s.Name {
			return s.grant(l.Upstream, r)
		}
		p, err := s.ask(ctx, c, passed, l, r)
		if err == nil {
			return p
		}
		if refusal.Of(err).Code != codeUnknownMethod {
			break
		}
		s.passOver(c)
	}
	return permit.Permit{Wait: silentTime, CommittedIn: silentTime, PeakIn: silentTime, Limit: l}
}

// limit returns the limit that an incarnation of an upstream names, if any.
func (s *Service) limit(name string, incarnation uint64) (upstreamlimit.Limit, bool) {
	if !s.AnyLimit() {
		return upstreamlimit.Limit{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bound(name, incarnation)
}

func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
}
