package gossip

import (
	"context"
	"time"

	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
)

const (
	// requiredConfirmations is the number of other hosts that must confirm a leave before it is acknowledged.
	requiredConfirmations = 2
	// leaveTimeout bounds the wait for these confirmations.
	leaveTimeout = 700 * time.Millisecond
)

// errUnconfirmed refuses to acknowledge a leave that too few hosts have confirmed. The leave may already be known to
// some hosts, and this host keeps and gossips it all the same.
var errUnconfirmed = refusal.NewMayHaveRun(503, "leave-unconfirmed", "too few hosts have confirmed the leave").WithRetryAfter(leaveTimeout)

// AnnounceLeave stores the announcement that an upstream leaves and returns once enough hosts have confirmed it.
func (s *Service) AnnounceLeave(ctx context.Context, u upstream.Upstream) error {
	u.Leaving = true
	s.Announce(u)
	return s.awaitConfirmations(ctx, u.Name)
}

// EndIncarnation ends an incarnation of an upstream, the known one if it is zero, and returns once enough hosts have
// confirmed it.
func (s *Service) EndIncarnation(ctx context.Context, name string, incarnation uint64) error {
	s.once.Do(s.init)
	if incarnation == 0 {
		s.mu.Lock()
		incarnation = s.membership.Incarnation(name)
		s.mu.Unlock()
	}
	s.Leave(name, incarnation)
	return s.awaitConfirmations(ctx, name)
}

// awaitConfirmations pushes the announcement of an upstream to peers and waits until enough of them have confirmed it.
func (s *Service) awaitConfirmations(ctx context.Context, name string) error {
	s.mu.Lock()
	g := s.group
	n, ok := s.membership.News(s.Timer.Now(), name)
	l := s.membership.ConfirmationPeers()
	alone := len(s.membership.Hosts()) == 1
	isolated := s.membership.LikelyIsolated()
	s.mu.Unlock()
	if g == nil {
		return refusal.NewNotRun(503, "starting", "this host is starting").WithRetryAfter(leaveTimeout)
	}
	if ok && alone {
		return nil
	}
	// A partitioned host, alone or with few others, cannot tell the rest of the fleet.
	if !ok || isolated || len(l) == 0 {
		return errUnconfirmed
	}
	b, err := encode(n)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	confirmed := make(chan bool, len(l))
	for _, p := range l {
		g.Go("witness", func(context.Context) error {
			_, err := s.call(ctx, p, methodPush, b)
			confirmed <- err == nil
			return nil
		})
	}
	need := min(requiredConfirmations, len(l))
	for range l {
		if <-confirmed {
			need--
		}
		if need == 0 {
			return nil
		}
	}
	return errUnconfirmed
}
