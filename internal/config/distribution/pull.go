package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/config/configcache"
	"siskinrun/internal/config/spreadwire"
	"siskinrun/internal/config/update"
	"siskinrun/pkg/refusal"
)

// pull fetches newer versions from peers until ctx ends.
func (s *Service) pull(ctx context.Context) error {
	for {
		if s.hasReplica() {
			if err := s.Timer.Sleep(ctx, confirmInterval); err != nil {
				return err
			}
			continue
		}
		if s.pullOnce(ctx) {
			continue
		}
		if err := s.waitToRetry(ctx); err != nil {
			return err
		}
	}
}

// pullOnce pulls from the peers in order and reports whether one gave a fresh answer.
func (s *Service) pullOnce(ctx context.Context) bool {
	s.mu.Lock()
	peers := s.selector.Next(s.Timer.Now())
	s.mu.Unlock()
	for _, p := range peers {
		err := s.pullFrom(ctx, p)
		if ctx.Err() != nil {
			return false
		}
		s.mu.Lock()
		if err == nil {
			s.selector.MarkSucceeded(p)
		} else {
			s.selector.MarkFailed(s.Timer.Now(), p)
		}
		s.mu.Unlock()
		if err == nil {
			return true
		}
		s.Log.Debug().Err(err).Str("peer", p).Msg("pull of the configuration failed")
	}
	return false
}

func (s *Service) pullFrom(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	metrics.GetOrRegisterCounter("configuration-questions", s.Metrics).Inc(1)
	q, err := proto.Marshal(s.newQuestion())
	if err != nil {
		return err
	}
	sent := s.Timer.Now()
	b, err := s.Link.Call(ctx, peer, methodPull, q)
	if err != nil {
		return err
	}
	w := &spreadwire.Answer{}
	if err := proto.Unmarshal(b, w); err != nil {
		return errors.Wrap(err, "decode pull answer")
	}
	a := decode(w)
	if err := s.update(func(now time.Time, v *configcache.Cache) error { return v.ApplyUpdate(now, sent, a) }); err != nil {
		return err
	}
	if !a.Confirmed || a.Age > s.Lease/staleDivisor {
		return errors.Newf("the configuration of %s is not fresh", peer)
	}
	return nil
}

// newQuestion asks the peer to hold its answer until it has a newer version, but to answer at once if the lease has lapsed.
func (s *Service) newQuestion() *spreadwire.Question {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &spreadwire.Question{Version: s.cache.HeldVersion()}
	if s.Timer.Now().Before(s.cache.LeaseEnd()) {
		q.WaitNanoseconds = int64(pollWait)
	}
	return q
}

func (s *Service) waitToRetry(ctx context.Context) error {
	c := make(chan struct{})
	stop := s.Timer.After(failureBackoff, func(time.Time) { close(c) })
	defer stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.wake:
	case <-c:
	}
	return nil
}

// errNoReplica refuses the question of a control host: two that hold no replica would take each other's answers for fresh.
var errNoReplica = refusal.NewNotRun(503, "no-replica", "this control host holds no replica of the configuration")

// handlePull is a long poll: it answers once there is a newer version, or after the requested wait.
func (s *Service) handlePull(ctx context.Context, from string, body []byte) ([]byte, error) {
	q := &spreadwire.Question{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, badMessage(err)
	}
	if s.hasStore() && s.isControl(from) && !s.hasReplica() {
		return nil, errNoReplica
	}
	metrics.GetOrRegisterCounter("configuration-answers", s.Metrics).Inc(1)
	arrived := s.Timer.Now()
	s.awaitNewer(ctx, q.Version, min(max(time.Duration(q.WaitNanoseconds), 0), pollWait))
	s.mu.Lock()
	n := s.Timer.Now()
	a, err := s.cache.Answer(n, q.Version, n.Sub(arrived))
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(encode(a))
}

func (s *Service) isControl(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.Control, host)
}

// awaitNewer waits until a version newer than the given one is held, at most for timeout.
func (s *Service) awaitNewer(ctx context.Context, version uint64, timeout time.Duration) {
	end := make(chan struct{})
	stop := s.Timer.After(timeout, func(time.Time) { close(end) })
	defer stop()
	for {
		s.mu.Lock()
		held, changed := s.cache.HeldVersion(), s.changed
		s.mu.Unlock()
		if held > version {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-changed:
		}
	}
}

func encode(a *update.Update) *spreadwire.Answer {
	return &spreadwire.Answer{
		Version:           a.Version,
		Confirmed:         a.Confirmed,
		AgeNanoseconds:    int64(a.Age),
		WaitedNanoseconds: int64(a.Waited),
		Deltas:            a.Deltas,
	}
}

func decode(w *spreadwire.Answer) *update.Update {
	return &update.Update{
		Version:   w.Version,
		Confirmed: w.Confirmed,
		Age:       time.Duration(w.AgeNanoseconds),
		Waited:    time.Duration(w.WaitedNanoseconds),
		Deltas:    w.Deltas,
	}
}
