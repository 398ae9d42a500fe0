package gossip

import (
	"slices"

	"siskinrun/internal/data/upstream"
)

// Upstreams returns the known upstreams, including leaving ones; the slice must not be changed.
func (r *Service) Upstreams() []upstream.Upstream {
	v := r.current.Load()
	if v == nil {
		return nil
	}
	return *v
}

// Subscribe calls f with the upstreams whenever they change; f must not call methods that change the view.
func (r *Service) Subscribe(f func([]upstream.Upstream)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// publishUpstreams publishes the upstreams and calls the subscribers if they changed. Without a new version it returns
// early, unless expired asks it to look for expired upstreams.
func (r *Service) publishUpstreams(expired bool) {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	r.mu.Lock()
	v := r.membership.Version()
	if v == r.version && !expired {
		r.mu.Unlock()
		return
	}
	r.version = v
	u := r.membership.Upstreams(r.Timer.Now())
	l := slices.Clone(r.subscribers)
	r.mu.Unlock()
	old := r.current.Swap(&u)
	if old != nil && slices.EqualFunc(*old, u, upstream.Upstream.SameContent) || old == nil && len(u) == 0 {
		return
	}
	for _, f := range l {
		f(u)
	}
}
