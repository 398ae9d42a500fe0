package grant

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/limits/rate"
	"siskinrun/internal/limits/refill"
	"siskinrun/pkg/refusal"
)

// remainder is what a host may still spend of earlier terms for one team.
type remainder struct {
	host string
	left int64
	ends time.Time
}

// succeed takes over the rates of a group each time this host becomes its leader.
func (g *Grant) succeed(ctx context.Context, o *owner) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.elected:
		}
		g.adopt(ctx, o)
	}
}

// adopt asks every host what it may still spend of earlier terms, and opens the buckets.
func (g *Grant) adopt(ctx context.Context, o *owner) {
	o.mu.Lock()
	term := o.term
	l := o.hosts
	o.mu.Unlock()
	b, err := proto.Marshal(&refill.Fence{Group: o.group, Term: term})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := group.NewGroup(ctx)
	for _, h := range l {
		r.Go("fence", func(ctx context.Context) error {
			b, err := g.Link.Call(ctx, h, methodFence, b)
			p := &refill.Fenced{}
			if err == nil && proto.Unmarshal(b, p) == nil {
				o.adopt(g.Timer.Now(), term, h, p)
			}
			return nil
		})
	}
	_ = r.Wait()
	o.open(g.Timer.Now(), term)
}

// stranger reports whether this host may not know yet of hosts that hold grants.
func (g *Grant) stranger() bool {
	return g.Hosts != nil && g.Timer.Now().Sub(g.started) < Life
}

// fence answers the new owner of a group.
func (g *Grant) fence(_ context.Context, _ string, body []byte) ([]byte, error) {
	q := &refill.Fence{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-fence", err.Error())
	}
	if q.Group < 1 || q.Group > uint64(len(g.owners)) {
		return nil, refusal.NewNotRun(400, "malformed-fence", "the fence names an unknown group")
	}
	if !g.advance(q.Group, q.Term) {
		return nil, refusal.NewNotRun(409, "stale-term", "a later owner is known")
	}
	p := &refill.Fenced{}
	for _, w := range g.active(q.Group) {
		if n := w.fence(g.Timer.Now(), q.Term); n > 0 {
			p.Remainders = append(p.Remainders, &refill.Remainder{Team: w.team, Left: n})
		}
	}
	return proto.Marshal(p)
}

// adopt counts what a host may still spend of earlier terms.
func (o *owner) adopt(now time.Time, term uint64, host string, p *refill.Fenced) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != term || o.opened || !o.missing[host] {
		return
	}
	delete(o.missing, host)
	for _, r := range p.Remainders {
		e := remainder{host: host, left: r.Left, ends: rate.Settled(now, Life)}
		o.remainders[r.Team] = append(o.remainders[r.Team], e)
	}
}

// open lets the buckets accrue once all that earlier owners granted is counted.
func (o *owner) open(now time.Time, term uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != term || o.opened {
		return
	}
	o.opened = true
	o.start = now
	if len(o.missing) > 0 {
		// A host that did not answer holds no more than its part once larger grants have ended.
		o.start = later(now, rate.Settled(o.since, NeedLife))
	}
	o.configuration = nil
}

// inherit counts in a new bucket what hosts may still spend of earlier terms.
func (o *owner) inherit(team string, burst int64, b *rate.Bucket) {
	for _, r := range o.remainders[team] {
		b.Adopt(r.host, r.left, r.ends)
	}
	// An owner never lets hosts hold more than a stock of the burst for long.
	left := rate.Stock(burst)
	ends := rate.Settled(o.since, Life)
	if o.stranger {
		b.Adopt(unknownHosts, left, ends)
		return
	}
	for h := range o.missing {
		n := min(rate.Part(burst), left)
		b.Adopt(h, n, ends)
		left -= n
	}
}

// unknownHosts stands for the hosts that a stranger does not know.
const unknownHosts = ""

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
