package spread

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/config/bulletin"
	"siskinrun/internal/config/spreadwire"
	"siskinrun/internal/config/view"
)

// pull asks peers for newer versions until ctx ends.
func (s *Spread) pull(ctx context.Context) error {
	for {
		if s.content() {
			if err := s.Timer.Sleep(ctx, confirmInterval); err != nil {
				return err
			}
			continue
		}
		if s.ask(ctx) {
			continue
		}
		if err := s.pause(ctx); err != nil {
			return err
		}
	}
}

// content reports whether the own replica makes questions to peers needless.
func (s *Spread) content() bool {
	if !s.isControl() {
		return false
	}
	a, ok := s.Age()
	return ok && a < s.Lease/staleShare
}

// ask asks the peers in their order and reports whether one helped.
func (s *Spread) ask(ctx context.Context) bool {
	s.mu.Lock()
	peers := s.source.Next(s.Timer.Now())
	s.mu.Unlock()
	for _, p := range peers {
		err := s.askPeer(ctx, p)
		if ctx.Err() != nil {
			return false
		}
		s.mu.Lock()
		if err == nil {
			s.source.Help(p)
		} else {
			s.source.Fail(s.Timer.Now(), p)
		}
		s.mu.Unlock()
		if err == nil {
			return true
		}
		s.Log.Debug().Err(err).Str("peer", p).Msg("configuration not learned")
	}
	return false
}

func (s *Spread) askPeer(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	metrics.GetOrRegisterCounter("configuration-questions", s.Metrics).Inc(1)
	q, err := proto.Marshal(s.question())
	if err != nil {
		return err
	}
	asked := s.Timer.Now()
	b, err := s.Link.Call(ctx, peer, methodPull, q)
	if err != nil {
		return err
	}
	w := &spreadwire.Answer{}
	if err := proto.Unmarshal(b, w); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	a := decode(w)
	if err := s.update(func(now time.Time, v *view.View) error { return v.Learn(now, asked, a) }); err != nil {
		return err
	}
	if !a.Confirmed || a.Age > s.Lease/staleShare {
		return errors.Newf("the configuration of %s is not fresh", peer)
	}
	return nil
}

// question asks to wait for news, unless this host needs any answer at once.
func (s *Spread) question() *spreadwire.Question {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &spreadwire.Question{Version: s.view.Held()}
	if s.Timer.Now().Before(s.view.Until()) {
		q.WaitNanoseconds = int64(pollWait)
	}
	return q
}

func (s *Spread) pause(ctx context.Context) error {
	c := make(chan struct{})
	stop := s.Timer.After(failurePause, func(time.Time) { close(c) })
	defer stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.kick:
	case <-c:
	}
	return nil
}

// answerPull answers a peer at once if there is news for it, or else after a while.
func (s *Spread) answerPull(ctx context.Context, _ string, body []byte) ([]byte, error) {
	q := &spreadwire.Question{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, badQuestion(err)
	}
	metrics.GetOrRegisterCounter("configuration-answers", s.Metrics).Inc(1)
	came := s.Timer.Now()
	s.await(ctx, q.Version, min(max(time.Duration(q.WaitNanoseconds), 0), pollWait))
	s.mu.Lock()
	n := s.Timer.Now()
	a, err := s.view.Answer(n, q.Version, n.Sub(came))
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(encode(a))
}

// await waits for a version that is newer than one, until most has passed.
func (s *Spread) await(ctx context.Context, version uint64, most time.Duration) {
	end := make(chan struct{})
	stop := s.Timer.After(most, func(time.Time) { close(end) })
	defer stop()
	for {
		s.mu.Lock()
		held, changed := s.view.Held(), s.changed
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

func encode(a *bulletin.Bulletin) *spreadwire.Answer {
	return &spreadwire.Answer{
		Version:           a.Version,
		Confirmed:         a.Confirmed,
		AgeNanoseconds:    int64(a.Age),
		WaitedNanoseconds: int64(a.Waited),
		Deltas:            a.Deltas,
	}
}

func decode(w *spreadwire.Answer) *bulletin.Bulletin {
	return &bulletin.Bulletin{
		Version:   w.Version,
		Confirmed: w.Confirmed,
		Age:       time.Duration(w.AgeNanoseconds),
		Waited:    time.Duration(w.WaitedNanoseconds),
		Deltas:    w.Deltas,
	}
}
