package gossip

import (
	"slices"

	"siskinrun/internal/data/upstream"
)

// Upstreams returns the known upstreams, including leaving ones; the slice must not be changed.
func (s *Service) Upstreams() []upstream.Upstream {
	v := s.current.Load()
	if v == nil {
		return nil
	}
	return *v
}

// Subscribe calls f with the upstreams whenever they change; f must not call methods that change the view.
func (s *Service) Subscribe(f func([]upstream.Upstream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// publishUpstreams publishes the upstreams and calls the subscribers if they changed. Without a new version it returns
// early, unless expired asks it to look for expired upstreams.
func (s *Service) publishUpstreams(expired bool) {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.mu.Lock()
	v, c := s.membership.Version(), s.membership.ColdChanges()
	if v == s.version && !expired {
		s.mu.Unlock()
		return
	}
	s.version = v
	cold := c != s.coldChanges
	s.coldChanges = c
	u := s.membership.Upstreams(s.Timer.Now())
	l := slices.Clone(s.subscribers)
	s.mu.Unlock()
	old := s.current.Swap(&u)
	if old != nil && !cold && slices.EqualFunc(*old, u, upstream.Upstream.SameContent) || old == nil && len(u) == 0 {
		return
	}
	for _, f := range l {
		f(u)
	}
}
