package gossip

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/fleet/gossipwire"
)

// exchange starts the anti-entropy exchanges of this period.
func (s *Service) exchange(context.Context) {
	s.mu.Lock()
	s.periodsPassed++
	if s.periodsPassed < s.membership.ExchangePeriods() {
		s.unlock()
		return
	}
	s.periodsPassed = 0
	s.membership.Prune(s.Timer.Now())
	if err := s.membership.CheckInvariants(); err != nil {
		s.Log.Error().Err(err).Msg("fleet view is inconsistent")
	}
	s.publishLoads()
	l := s.membership.Targets()
	s.unlock()
	for _, p := range l {
		s.startExchange(p, func(ctx context.Context) { s.exchangeOrProbe(ctx, p) })
	}
	s.publishUpstreams(true)
}

// startExchange runs f for a peer unless an exchange with that peer is in progress.
func (s *Service) startExchange(peer string, f func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchanging[peer] {
		return
	}
	s.exchanging[peer] = true
	s.group.Go("visit", func(ctx context.Context) error {
		f(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.exchanging, peer)
		return nil
	})
}

// exchangeOrProbe exchanges with a peer. If it does not answer, other hosts probe it before it is declared dead.
func (s *Service) exchangeOrProbe(ctx context.Context, peer string) {
	if s.exchangeWith(ctx, peer) || ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	suspected := !s.membership.Alive(peer)
	s.membership.Suspect(peer)
	l := s.membership.RandomPeers(probePeers, peer)
	s.unlock()
	if suspected {
		return
	}
	if s.confirmedAlive(ctx, peer, l) {
		s.mu.Lock()
		s.membership.MarkAlive(peer)
		s.unlock()
		return
	}
	s.mu.Lock()
	dead := s.membership.DeclareDead(peer)
	s.unlock()
	if dead {
		s.Log.Warn().Str("peer", peer).Msg("host does not answer")
	}
}

// exchangeWith sends a digest to a peer, merges the answer and reports whether there was one. In a large fleet the digest
// lists the hosts only if the peer knows other ones.
func (s *Service) exchangeWith(ctx context.Context, peer string) bool {
	s.mu.Lock()
	q := s.membership.FirstDigest()
	s.mu.Unlock()
	a, ok := s.sendDigest(ctx, peer, q)
	if !ok || !a.Mismatch {
		return ok
	}
	s.mu.Lock()
	q = s.membership.Digest()
	s.mu.Unlock()
	_, ok = s.sendDigest(ctx, peer, q)
	return ok
}

// HeardAt returns when the last exchange of news began that another host answered, the zero time if there was none.
func (s *Service) HeardAt() time.Time {
	if t := s.heardAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// sendDigest sends a digest to a peer, merges and returns the answer, and reports whether there was one.
func (s *Service) sendDigest(ctx context.Context, peer string, q gossipmessage.Message) (gossipmessage.Message, bool) {
	sent := s.Timer.Now()
	b, err := encode(q)
	if err != nil {
		return gossipmessage.Message{}, false
	}
	b, err = s.call(ctx, peer, methodExchange, b)
	if err != nil {
		return gossipmessage.Message{}, false
	}
	a, err := decode(b)
	if err != nil {
		return gossipmessage.Message{}, false
	}
	s.mu.Lock()
	s.membership.MarkAlive(peer)
	s.membership.ApplyAnswer(s.Timer.Now(), sent, a)
	if !a.Mismatch && sent.After(s.HeardAt()) {
		s.heardAt.Store(&sent)
	}
	s.publishLoads()
	s.unlock()
	s.publishUpstreams(false)
	return a, true
}

// call calls a peer and returns at the timeout even if the session of the peer is stuck.
func (s *Service) call(ctx context.Context, peer, method string, body []byte) ([]byte, error) {
	type result struct {
		body []byte
		err  error
	}
	limit := answerTimeout
	if method == methodProbe {
		limit = probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c := make(chan result, 1)
	s.countMessage("sent", len(body))
	s.group.Go("call", func(context.Context) error {
		b, err := s.Link.Call(ctx, peer, method, body)
		c <- result{b, err}
		return nil
	})
	select {
	case v := <-c:
		s.countMessage("received", len(v.body))
		return v.body, v.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// confirmedAlive asks other hosts to probe a peer and reports whether it answered any of them.
func (s *Service) confirmedAlive(ctx context.Context, peer string, others []string) bool {
	b, err := proto.Marshal(&gossipwire.Probe{Host: peer})
	if err != nil {
		return false
	}
	c := make(chan bool, len(others))
	for _, o := range others {
		s.group.Go("probe", func(context.Context) error {
			_, err := s.call(ctx, o, methodProbe, b)
			c <- err == nil
			return nil
		})
	}
	for range others {
		if <-c {
			return true
		}
	}
	return false
}

// flush pushes urgent news to a few random peers. In a large fleet, counts go to the drivers of their upstreams instead.
func (s *Service) flush(context.Context) {
	s.mu.Lock()
	s.flushDue = false
	n, ok := s.membership.TakeUrgent(s.Timer.Now())
	if !ok {
		s.mu.Unlock()
		return
	}
	var direct []gossipmessage.Count
	if s.Driver != nil && !s.membership.Small() {
		direct, n.Counts = n.Counts, nil
	}
	f := relayFanOut
	if originatedBy(n, s.Name) {
		f = fanOut
	}
	var l []string
	if len(n.Announcements)+len(n.Counts)+len(n.Hosts) > 0 {
		l = s.membership.RandomPeersFor(n, f)
	}
	s.unlock()
	s.push(n, l...)
	for h, c := range s.byDriver(direct) {
		if h == s.Name {
			for _, o := range c {
				s.relays.add(o.Upstream)
			}
			continue
		}
		s.push(gossipmessage.Message{From: n.From, Counts: c}, h)
	}
}

// byDriver groups counts by the host that drives their upstream.
func (s *Service) byDriver(l []gossipmessage.Count) map[string][]gossipmessage.Count {
	m := map[string][]gossipmessage.Count{}
	for _, c := range l {
		if h := s.Driver(c.Upstream); h != "" {
			m[h] = append(m[h], c)
		}
	}
	return m
}

// push sends news to peers without waiting for an answer.
func (s *Service) push(n gossipmessage.Message, to ...string) {
	if len(to) == 0 {
		return
	}
	b, err := encode(n)
	if err != nil {
		s.Log.Error().Err(err).Msg("encoding news failed")
		return
	}
	for _, p := range to {
		s.countMessage("sent", len(b))
		s.group.Go("tell", func(ctx context.Context) error {
			s.Link.Send(ctx, p, methodPush, b)
			return nil
		})
	}
}

// originatedBy reports whether some of the announcements, or the first of the counts, originate at the named host.
func originatedBy(n gossipmessage.Message, name string) bool {
	for _, a := range n.Announcements {
		if a.Origin.Host == name {
			return true
		}
	}
	return len(n.Counts) > 0 && n.Counts[0].Origin.Host == name
}

func (s *Service) countMessage(name string, bytes int) {
	metrics.GetOrRegisterCounter("roster-messages-"+name, s.Metrics).Inc(1)
	metrics.GetOrRegisterCounter("roster-bytes-"+name, s.Metrics).Inc(int64(bytes))
}
