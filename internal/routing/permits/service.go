package permits

import (
	"context"
	"maps"
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
	// Topology returns to which hosts news goes.
	Topology func() fanout.Topology
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
	s.Link.Handle(methodAsk, s.handleAsk)
	s.Link.Handle(methodHandOver, s.handleHandOver)
	s.Link.Handle(methodTell, s.handleTell)
	s.Link.Handle(methodCompare, s.handleCompare)
}

// Take asks for a permit to send one request to an upstream within wait. A request that waits, or that comes though the
// committed rate is known to be used, gets one at the peak rate.
func (s *Service) Take(ctx context.Context, u upstream.Upstream, batch bool, wait time.Duration) permit.Permit {
	l, ok := s.limit(u.Name, u.Incarnation)
	if !ok {
		return permit.Permit{Granted: true}
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
	if !s.active.Load() {
		return upstreamlimit.Limit{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Get(name, incarnation)
}

// note remembers when an upstream has its next permits.
func (s *Service) note(name string, p permit.Permit, batch bool) {
	switch {
	case p.Granted:
		s.count("permits-granted")
	case batch:
		s.count("batch-permits-refused")
	default:
		s.count("permits-refused")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Timer.Now()
	s.next[name] = nextPermits{
		committed: n.Add(min(p.CommittedIn, maxClosed)),
		peak:      n.Add(min(p.PeakIn, maxClosed)),
		saved:     p.Saved,
		at:        n,
		room:      p.Room,
	}
}

// Next returns when an upstream has its next permit, as far as this host knows, and how much of its reserve for times at
// which others are full is used, from 0 to 1; both are zero if it names no limit.
func (s *Service) Next(name string, incarnation uint64, now time.Time) (at time.Time, used float64) {
	if !s.active.Load() {
		return time.Time{}, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.view.Get(name, incarnation)
	if !ok {
		return time.Time{}, 0
	}
	n := s.next[name]
	rate := l.Value.PerSecond
	saved := n.saved + now.Sub(n.at).Seconds()*rate/meter.Depth(rate)
	return n.peak, 1 - min(saved/reserveShare, 1)
}

// committedUsed reports whether the committed rate of an upstream is known to be used.
func (s *Service) committedUsed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next[name].committed.After(s.Timer.Now())
}

// BatchRoom returns how many batch requests may be sent to an upstream now, and reports whether it names a limit.
func (s *Service) BatchRoom(name string) (int, bool) {
	l, ok := s.limit(name, 0)
	if !ok {
		return 0, false
	}
	if c, _ := s.coordinator(name); c != s.Name {
		return 0, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Timer.Now()
	return batchRoom(n, s.meter(n, l), l), true
}

// batchRoom returns how many batch requests a meter lets through now.
func batchRoom(now time.Time, m *meter.Meter, l upstreamlimit.Limit) int {
	committed, _ := m.Room(now)
	return max(committed-int(batchShare*meter.Depth(l.Value.PerSecond)), 0)
}

// Slots returns how many of the slots of an upstream its limit lets requests of this host use, given how many run there and
// among how many hosts what it lets through at once is shared.
func (s *Service) Slots(name string, slots, running, hosts int) float64 {
	if _, ok := s.limit(name, 0); !ok {
		return float64(slots)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n, asked := s.next[name]
	room := 0.0
	if soonOpen := !n.peak.After(s.Timer.Now().Add(soon)); soonOpen || !asked {
		room = float64(max(n.room, 1)) / float64(max(hosts, 1))
	}
	return min(float64(slots), float64(running)+room)
}

// meter returns the meter of an upstream at the rate of its limit. Where another host may have coordinated the upstream in
// the last span, a new meter is blocked until that is past. The caller holds s.mu.
func (s *Service) meter(now time.Time, l upstreamlimit.Limit) *meter.Meter {
	m := s.meters[l.Upstream]
	if m == nil {
		m = &meter.Meter{}
		m.Block(s.settled)
		s.meters[l.Upstream] = m
	}
	m.SetRate(now, l.Value.PerSecond)
	return m
}

// Observe records what an answer that this host received says of the limit of its upstream.
func (s *Service) Observe(l upstreamlimit.Limit) {
	if l.Value.Malformed {
		s.logMalformed(l)
	}
	if !l.Value.Named && (l.Value.Malformed || !s.active.Load()) {
		return
	}
	l.Host = s.Name
	s.mu.Lock()
	before, taken := s.view.Merge(l)
	s.publish()
	s.mu.Unlock()
	switch {
	case !taken:
	case flips(before, l):
		s.logFlip(l)
		s.broadcast(l)
	case before.Value != l.Value:
		c, _ := s.coordinator(l.Upstream)
		s.tell([]upstreamlimit.Limit{l}, []string{c})
	}
}

// flips reports whether a limit begins or ends between two answers.
func flips(before, after upstreamlimit.Limit) bool {
	return before.Value.Named != after.Value.Named || before.Incarnation != after.Incarnation
}

// Retain forgets the limits of upstreams that have left or started again, given those that are known now.
func (s *Service) Retain(l []upstream.Upstream) {
	i := make(map[string]uint64, len(l))
	for _, u := range l {
		i[u.Name] = u.Incarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Retain(s.Timer.Now(), i)
	s.publish()
	gone := func(n string) bool {
		_, ok := i[n]
		return !ok
	}
	maps.DeleteFunc(s.meters, func(n string, _ *meter.Meter) bool { return gone(n) })
	maps.DeleteFunc(s.next, func(n string, _ nextPermits) bool { return gone(n) })
}

// publish shows whether any limit is known to readers without the lock and to operators.
func (s *Service) publish() {
	n := s.view.Len()
	s.active.Store(n > 0)
	metrics.GetOrRegisterGauge("limits-known", s.Metrics).Update(int64(n))
}

// logMalformed logs a malformed limit once for each incarnation of an upstream.
func (s *Service) logMalformed(l upstreamlimit.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.malformed[l.Upstream]
	if ok && i == l.Incarnation || !ok && len(s.malformed) >= maxMalformed {
		return
	}
	s.malformed[l.Upstream] = l.Incarnation
	s.Log.Warn().Str("upstream", l.Upstream).Uint64("incarnation", l.Incarnation).Msg("upstream names a malformed limit")
}

func (s *Service) logFlip(l upstreamlimit.Limit) {
	e := s.Log.Info().Str("upstream", l.Upstream).Uint64("incarnation", l.Incarnation).Str("from-host", l.Host).
		Dur("age-ms", s.Timer.Now().Sub(l.Received))
	if !l.Value.Named {
		e.Msg("upstream names no limit any more")
		return
	}
	c, _ := s.coordinator(l.Upstream)
	e.Float64("upstream-limit", l.Value.PerSecond).Str("coordinator", c).Msg("upstream names a limit")
}

func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
}
