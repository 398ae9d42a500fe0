package roster

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/news"
	"siskinrun/internal/fleet/rumour"
	"siskinrun/pkg/refusal"
)

// question asks this period's peers for what they know.
func (r *Roster) question(context.Context) {
	r.mu.Lock()
	r.passed++
	if r.passed < r.membership.Periods() {
		r.mu.Unlock()
		return
	}
	r.passed = 0
	r.membership.Prune(r.Timer.Now())
	if err := r.membership.Check(); err != nil {
		r.Log.Error().Err(err).Msg("the view of the fleet contradicts itself")
	}
	r.sample()
	l := r.membership.Targets()
	r.mu.Unlock()
	for _, p := range l {
		r.start(p, func(ctx context.Context) { r.visit(ctx, p) })
	}
	r.refresh(true)
}

// start runs f for a peer unless a question to that peer is still open.
func (r *Roster) start(peer string, f func(ctx context.Context)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asking[peer] {
		return
	}
	r.asking[peer] = true
	r.group.Go("visit", func(ctx context.Context) error {
		f(ctx)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.asking, peer)
		return nil
	})
}

// visit questions a peer, and has others try if it does not answer.
func (r *Roster) visit(ctx context.Context, peer string) {
	if r.ask(ctx, peer) || ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	known := !r.membership.Alive(peer)
	r.membership.Suspect(peer)
	l := r.membership.Fan(probers, peer)
	r.mu.Unlock()
	if known {
		return
	}
	if r.vouched(ctx, peer, l) {
		r.mu.Lock()
		r.membership.Trust(peer)
		r.mu.Unlock()
		return
	}
	r.mu.Lock()
	dead := r.membership.Condemn(peer)
	r.mu.Unlock()
	if dead {
		r.Log.Warn().Str("peer", peer).Msg("host does not answer")
	}
}

// ask questions a peer once and reports whether it answered.
func (r *Roster) ask(ctx context.Context, peer string) bool {
	r.mu.Lock()
	q := r.membership.Question()
	r.mu.Unlock()
	sent := r.Timer.Now()
	b, err := encode(q)
	if err != nil {
		return false
	}
	b, err = r.call(ctx, peer, methodAsk, b)
	if err != nil {
		return false
	}
	a, err := decode(b)
	if err != nil {
		return false
	}
	r.mu.Lock()
	r.membership.Trust(peer)
	r.membership.Learn(r.Timer.Now(), sent, a)
	r.sample()
	r.mu.Unlock()
	r.refresh(false)
	return true
}

// call bounds the time of a call even if the session of the peer is stuck.
func (r *Roster) call(ctx context.Context, peer, method string, body []byte) ([]byte, error) {
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
	r.count("sent", len(body))
	r.group.Go("call", func(context.Context) error {
		b, err := r.Link.Call(ctx, peer, method, body)
		c <- result{b, err}
		return nil
	})
	select {
	case v := <-c:
		r.count("received", len(v.body))
		return v.body, v.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// vouched asks other hosts whether a peer answers them.
func (r *Roster) vouched(ctx context.Context, peer string, others []string) bool {
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

// flush sends urgent news to a few peers, and counts in a large fleet to the hosts that need them at once.
func (r *Roster) flush(context.Context) {
	r.mu.Lock()
	n, ok := r.membership.Urgent(r.Timer.Now())
	if !ok {
		r.mu.Unlock()
		return
	}
	var direct []news.Count
	if r.Driver != nil && !r.membership.Small() {
		direct, n.Counts = n.Counts, nil
	}
	f := relayFanOut
	if own(n, r.Name) {
		f = fanOut
	}
	var l []string
	if len(n.Announcements)+len(n.Counts)+len(n.Hosts) > 0 {
		l = r.membership.FanOf(n, f)
	}
	r.mu.Unlock()
	r.tell(n, l...)
	for h, c := range r.byDriver(direct) {
		if h == r.Name {
			r.relays.add(r.Timer.Now(), c)
			continue
		}
		r.tell(news.News{From: n.From, Counts: c}, h)
	}
}

// byDriver sorts counts by the host that drives their upstream.
func (r *Roster) byDriver(l []news.Count) map[string][]news.Count {
	m := map[string][]news.Count{}
	for _, c := range l {
		if h := r.Driver(c.Upstream); h != "" {
			m[h] = append(m[h], c)
		}
	}
	return m
}

// tell sends news to peers that need not answer.
func (r *Roster) tell(n news.News, to ...string) {
	if len(to) == 0 {
		return
	}
	b, err := encode(n)
	if err != nil {
		r.Log.Error().Err(err).Msg("news cannot be encoded")
		return
	}
	for _, p := range to {
		r.count("sent", len(b))
		r.group.Go("tell", func(ctx context.Context) error {
			r.Link.Send(ctx, p, methodTell, b)
			return nil
		})
	}
}

// own reports whether some of the news entered the fleet here.
func own(n news.News, name string) bool {
	for _, a := range n.Announcements {
		if a.Origin.Host == name {
			return true
		}
	}
	return len(n.Counts) > 0 && n.Counts[0].Origin.Host == name
}

func (r *Roster) answer(_ context.Context, from string, body []byte) ([]byte, error) {
	q, err := decode(body)
	if err != nil {
		return nil, refusal.NewNotRun(400, "malformed-news", err.Error())
	}
	r.mu.Lock()
	r.membership.Trust(from)
	a := r.membership.Answer(r.Timer.Now(), q)
	r.mu.Unlock()
	r.count("received", len(body))
	b, err := encode(a)
	r.count("sent", len(b))
	return b, err
}

func (r *Roster) hear(_ context.Context, from string, body []byte) ([]byte, error) {
	n, err := decode(body)
	if err != nil {
		return nil, refusal.NewNotRun(400, "malformed-news", err.Error())
	}
	r.mu.Lock()
	r.membership.Trust(from)
	r.membership.Hear(r.Timer.Now(), n)
	r.sample()
	large := !r.membership.Small()
	r.mu.Unlock()
	if large && r.Driver != nil && own(n, from) {
		r.relays.add(r.Timer.Now(), r.byDriver(n.Counts)[r.Name])
	}
	r.count("received", len(body))
	r.refresh(false)
	return nil, nil
}

// probe questions a peer for another host.
func (r *Roster) probe(ctx context.Context, _ string, body []byte) ([]byte, error) {
	p := &rumour.Probe{}
	if err := proto.Unmarshal(body, p); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-news", err.Error())
	}
	if !r.ask(ctx, p.Host) {
		return nil, refusal.NewNotRun(503, "peer-silent", "the host does not answer here either")
	}
	return nil, nil
}

func (r *Roster) count(name string, bytes int) {
	metrics.GetOrRegisterCounter("roster-messages-"+name, r.Metrics).Inc(1)
	metrics.GetOrRegisterCounter("roster-bytes-"+name, r.Metrics).Inc(int64(bytes))
}
