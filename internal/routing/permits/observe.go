package permits

import (
	"maps"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/internal/limits/meter"
)

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
