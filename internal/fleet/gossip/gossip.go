package gossip

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/fleet/rumour"
)

// exchange starts the anti-entropy exchanges of this period.
func (r *Service) exchange(context.Context) {
	r.mu.Lock()
	r.periodsPassed++
	if r.periodsPassed < r.membership.ExchangePeriods() {
		r.unlock()
		return
	}
	r.periodsPassed = 0
	r.membership.Prune(r.Timer.Now())
	if err := r.membership.CheckInvariants(); err != nil {
		r.Log.Error().Err(err).Msg("fleet view is inconsistent")
	}
	r.publishLoads()
	l := r.membership.Targets()
	r.unlock()
	for _, p := range l {
		r.startExchange(p, func(ctx context.Context) { r.exchangeOrProbe(ctx, p) })
	}
	r.publishUpstreams(true)
}

// startExchange runs f for a peer unless an exchange with that peer is in progress.
func (r *Service) startExchange(peer string, f func(ctx context.Context)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchanging[peer] {
		return
	}
	r.exchanging[peer] = true
	r.group.Go("visit", func(ctx context.Context) error {
		f(ctx)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.exchanging, peer)
		return nil
	})
}

// exchangeOrProbe exchanges with a peer. If it does not answer, other hosts probe it before it is declared dead.
func (r *Service) exchangeOrProbe(ctx context.Context, peer string) {
	if r.exchangeWith(ctx, peer) || ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	suspected := !r.membership.Alive(peer)
	r.membership.Suspect(peer)
	l := r.membership.RandomPeers(probePeers, peer)
	r.unlock()
	if suspected {
		return
	}
	if r.confirmedAlive(ctx, peer, l) {
		r.mu.Lock()
		r.membership.MarkAlive(peer)
		r.unlock()
		return
	}
	r.mu.Lock()
	dead := r.membership.DeclareDead(peer)
	r.unlock()
	if dead {
		r.Log.Warn().Str("peer", peer).Msg("host does not answer")
	}
}

// exchangeWith sends a digest to a peer, merges the answer and reports whether there was one. In a large fleet the digest
// lists the hosts only if the peer knows other ones.
func (r *Service) exchangeWith(ctx context.Context, peer string) bool {
	r.mu.Lock()
	q := r.membership.FirstDigest()
	r.mu.Unlock()
	a, ok := r.sendDigest(ctx, peer, q)
	if !ok || !a.Mismatch {
		return ok
	}
	r.mu.Lock()
	q = r.membership.Digest()
	r.mu.Unlock()
	_, ok = r.sendDigest(ctx, peer, q)
	return ok
}

// sendDigest sends a digest to a peer, merges and returns the answer, and reports whether there was one.
func (r *Service) sendDigest(ctx context.Context, peer string, q gossipmessage.Message) (gossipmessage.Message, bool) {
	sent := r.Timer.Now()
	b, err := encode(q)
	if err != nil {
		return gossipmessage.Message{}, false
	}
	b, err = r.call(ctx, peer, methodExchange, b)
	if err != nil {
		return gossipmessage.Message{}, false
	}
	a, err := decode(b)
	if err != nil {
		return gossipmessage.Message{}, false
	}
	r.mu.Lock()
	r.membership.MarkAlive(peer)
	r.membership.ApplyAnswer(r.Timer.Now(), sent, a)
	r.publishLoads()
	r.unlock()
	r.publishUpstreams(false)
	return a, true
}

// call calls a peer and returns at the timeout even if the session of the peer is stuck.
func (r *Service) call(ctx context.Context, peer, method string, body []byte) ([]byte, error) {
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
	r.countMessage("sent", len(body))
	r.group.Go("call", func(context.Context) error {
		b, err := r.Link.Call(ctx, peer, method, body)
		c <- result{b, err}
		return nil
	})
	select {
	case v := <-c:
		r.countMessage("received", len(v.body))
		return v.body, v.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// confirmedAlive asks other hosts to probe a peer and reports whether it answered any of them.
func (r *Service) confirmedAlive(ctx context.Context, peer string, others []string) bool {
	b, err := proto.Marshal(&rumour.Probe{Host: peer})
	if err != nil {
		return false
	}
	c := make(chan bool, len(others))
	for _, o := range others {
		r.group.Go("probe", func(context.Context) error {
			_, err := r.call(ctx, o, methodProbe, b)
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
func (r *Service) flush(context.Context) {
	r.mu.Lock()
	r.flushDue = false
	n, ok := r.membership.TakeUrgent(r.Timer.Now())
	if !ok {
		r.mu.Unlock()
		return
	}
	var direct []gossipmessage.Count
	if r.Driver != nil && !r.membership.Small() {
		direct, n.Counts = n.Counts, nil
	}
	f := relayFanOut
	if originatedBy(n, r.Name) {
		f = fanOut
	}
	var l []string
	if len(n.Announcements)+len(n.Counts)+len(n.Hosts) > 0 {
		l = r.membership.RandomPeersFor(n, f)
	}
	r.unlock()
	r.push(n, l...)
	for h, c := range r.byDriver(direct) {
		if h == r.Name {
			for _, o := range c {
				r.relays.add(o.Upstream)
			}
			continue
		}
		r.push(gossipmessage.Message{From: n.From, Counts: c}, h)
	}
}

// byDriver groups counts by the host that drives their upstream.
func (r *Service) byDriver(l []gossipmessage.Count) map[string][]gossipmessage.Count {
	m := map[string][]gossipmessage.Count{}
	for _, c := range l {
		if h := r.Driver(c.Upstream); h != "" {
			m[h] = append(m[h], c)
		}
	}
	return m
}

// push sends news to peers without waiting for an answer.
func (r *Service) push(n gossipmessage.Message, to ...string) {
	if len(to) == 0 {
		return
	}
	b, err := encode(n)
	if err != nil {
		r.Log.Error().Err(err).Msg("encoding news failed")
		return
	}
	for _, p := range to {
		r.countMessage("sent", len(b))
		r.group.Go("tell", func(ctx context.Context) error {
			r.Link.Send(ctx, p, methodPush, b)
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

func (r *Service) countMessage(name string, bytes int) {
	metrics.GetOrRegisterCounter("roster-messages-"+name, r.Metrics).Inc(1)
	metrics.GetOrRegisterCounter("roster-bytes-"+name, r.Metrics).Inc(int64(bytes))
}
