package gossip

import (
	"context"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/fleet/gossipwire"
	"siskinrun/pkg/refusal"
)

func (s *Service) handleExchange(_ context.Context, from string, body []byte) ([]byte, error) {
	q, err := decode(body)
	if err != nil {
		return nil, refusal.NewNotRun(400, "malformed-news", err.Error())
	}
	s.mu.Lock()
	s.membership.MarkAlive(from)
	a := s.membership.Answer(s.Timer.Now(), q)
	s.unlock()
	s.countMessage("received", len(body))
	b, err := encode(a)
	s.countMessage("sent", len(b))
	return b, err
}

func (s *Service) handlePush(_ context.Context, from string, body []byte) ([]byte, error) {
	n, err := decode(body)
	if err != nil {
		return nil, refusal.NewNotRun(400, "malformed-news", err.Error())
	}
	s.mu.Lock()
	s.membership.MarkAlive(from)
	s.membership.ApplyPush(s.Timer.Now(), n)
	s.publishLoads()
	large := !s.membership.Small()
	s.unlock()
	if large {
		s.queueReceived(from, n)
	}
	s.countMessage("received", len(body))
	s.publishUpstreams(false)
	return nil, nil
}

// handleProbe exchanges with a host on behalf of another one.
func (s *Service) handleProbe(ctx context.Context, _ string, body []byte) ([]byte, error) {
	p := &gossipwire.Probe{}
	if err := proto.Unmarshal(body, p); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-news", err.Error())
	}
	if !s.exchangeWith(ctx, p.Host) {
		return nil, refusal.NewNotRun(503, "peer-silent", "the probed host does not answer this host either")
	}
	return nil, nil
}
