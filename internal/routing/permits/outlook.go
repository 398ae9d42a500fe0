package permits

import (
	"time"

	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/internal/limits/meter"
)

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
	if !s.AnyLimit() {
		return time.Time{}, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.bound(name, incarnation)
	if !ok {
		return time.Time{}, 0
	}
	n := s.next[name]
	if _, _, cold := s.cold.Get(now, name, incarnation); cold {
		return n.peak, 1
	}
	rate := l.Value.PerSecond
	saved := n.saved + now.Sub(n.at).Seconds()*rate/meter.Depth(rate)
	return n.peak, 1 - min(saved/reserveShare, 1)
}

// Named reports whether an incarnation of an upstream names a limit.
func (s *Service) Named(name string, incarnation uint64) bool {
	_, ok := s.limit(name, incarnation)
	return ok
}

// AnyLimit reports whether any upstream is known to name a limit or to be cold.
func (s *Service) AnyLimit() bool {
	return s.active.Load() || s.anyCold()
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
	if s.isCold(name) {
		return 0, true // items wait until the upstream is warm
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
