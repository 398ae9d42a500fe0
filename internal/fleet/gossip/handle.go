package gossip

import (
	"context"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/fleet/rumour"
	"siskinrun/pkg/refusal"
)

func (r *Service) handleExchange(_ context.Context, from string, body []byte) ([]byte, error) {
	q, err := decode(body)
	if err != nil {
		return nil, refusal.NewNotRun(400, "malformed-news", err.Error())
	}
	r.mu.Lock()
	r.membership.MarkAlive(from)
	a := r.membership.Answer(r.Timer.Now(), q)
	r.unlock()
	r.countMessage("received", len(body))
	b, err := encode(a)
	r.countMessage("sent", len(b))
	return b, err
}

func (r *Service) handlePush(_ context.Context, from string, body []byte) ([]byte, error) {
	n, err := decode(body)
	if err != nil {
		return nil, refusal.NewNotRun(400, "malformed-news", err.Error())
	}
	r.mu.Lock()
	r.membership.MarkAlive(from)
	r.membership.ApplyPush(r.Timer.Now(), n)
	r.publishLoads()
	large := !r.membership.Small()
	r.unlock()
	if large {
		r.queueReceived(from, n)
	}
	r.countMessage("received", len(body))
	r.publishUpstreams(false)
	return nil, nil
}

// handleProbe exchanges with a host on behalf of another one.
func (r *Service) handleProbe(ctx context.Context, _ string, body []byte) ([]byte, error) {
	p := &rumour.Probe{}
	if err := proto.Unmarshal(body, p); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-news", err.Error())
	}
	if !r.exchangeWith(ctx, p.Host) {
		return nil, refusal.NewNotRun(503, "peer-silent", "the probed host does not answer this host either")
	}
	return nil, nil
}
