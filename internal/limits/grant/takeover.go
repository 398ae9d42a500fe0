package grant

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/limits/rate"
	"siskinrun/internal/limits/refill"
	"siskinrun/pkg/refusal"
)

// fenceInterval is the time between two rounds of fences to hosts that may hold a promise of an earlier term.
const fenceInterval = 500 * time.Millisecond

// remainder holds the units that a host may still spend for one team from grants of earlier terms.
type remainder struct {
	host    string
	left    int64
	expires time.Time
}

// runTakeovers takes over the buckets of a group each time this host becomes its leader.
func (g *Limiter) runTakeovers(ctx context.Context, o *owner) error {
	fences := group.NewGroup(ctx)
	for {
		select {
		case <-ctx.Done():
			_ = fences.Wait()
			return ctx.Err()
		case <-o.termStarted:
		}
		term := g.takeOver(ctx, o)
		fences.Go("fence-deputies", func(ctx context.Context) error {
			_ = g.fenceDeputies(ctx, o, term) // it ends with the context
			return nil
		})
	}
}

// fenceDeputies fences the hosts that may hold a promise of an earlier term until each has answered or its promise has ended.
func (g *Limiter) fenceDeputies(ctx context.Context, o *owner, term uint64) error {
	for {
		l := g.unfenced(o, g.Timer.Now(), term)
		if len(l) == 0 {
			return nil
		}
		g.fenceHosts(ctx, o, term, l)
		if err := g.Timer.Sleep(ctx, fenceInterval); err != nil {
			return err
		}
	}
}

// takeOver fences every host, which reports what it may still spend of earlier terms, and opens the buckets.
func (g *Limiter) takeOver(ctx context.Context, o *owner) uint64 {
	o.mu.Lock()
	term := o.term
	l := slices.Clone(o.hosts)
	o.mu.Unlock()
	g.fenceHosts(ctx, o, term, l)
	o.open(g.Timer.Now(), term)
	return term
}

// fenceHosts sends the fence of a term to hosts and records what they answer.
func (g *Limiter) fenceHosts(ctx context.Context, o *owner, term uint64, hosts []string) {
	b, err := proto.Marshal(&refill.Fence{Group: o.group, Term: term, Adopts: g.sharesRates()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := group.NewGroup(ctx)
	for _, h := range hosts {
		r.Go("fence", func(ctx context.Context) error {
			b, err := g.Link.Call(ctx, h, methodFence, b)
			p := &refill.Fenced{}
			if err == nil && proto.Unmarshal(b, p) == nil {
				o.recordRemainders(g.Timer.Now(), term, h, p)
				g.recordDeputy(o, g.Timer.Now(), term, h, p)
			}
			return nil
		})
	}
	_ = r.Wait()
}

// hostsMayBeUnknown reports whether this host started too recently to know all hosts that hold grants.
func (g *Limiter) hostsMayBeUnknown() bool {
	return g.Hosts != nil && g.Timer.Now().Sub(g.started) < TTL
}

// handleFence rejects replies of earlier terms from now on and reports to the new owner of a group what this host
// may still spend of them.
func (g *Limiter) handleFence(_ context.Context, _ string, body []byte) ([]byte, error) {
	q := &refill.Fence{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-fence", err.Error())
	}
	if q.Group < 1 || q.Group > uint64(len(g.owners)) {
		return nil, refusal.NewNotRun(400, "malformed-fence", "the fence names an unknown group")
	}
	if !g.advanceTerm(q.Group, q.Term) {
		return nil, refusal.NewNotRun(409, "stale-term", "a later owner is known")
	}
	p := &refill.Fenced{}
	g.fencePromise(q, p)
	for _, t := range g.groupTeams(q.Group) {
		if n := t.fence(g.Timer.Now(), q.Term); n > 0 {
			p.Remainders = append(p.Remainders, &refill.Remainder{Team: t.team, Left: n})
		}
	}
	return proto.Marshal(p)
}

// recordRemainders records the units that a host may still spend from grants of earlier terms.
func (o *owner) recordRemainders(now time.Time, term uint64, host string, p *refill.Fenced) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != term || o.opened || !o.unanswered[host] {
		return
	}
	delete(o.unanswered, host)
	for _, r := range p.Remainders {
		e := remainder{host: host, left: r.Left, expires: rate.ExpiredEverywhere(now, TTL)}
		o.remainders[r.Team] = append(o.remainders[r.Team], e)
	}
}

// open lets the buckets accrue; the grants of earlier terms are counted as far as they are known.
func (o *owner) open(now time.Time, term uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != term || o.opened {
		return
	}
	o.opened = true
	o.start = now
	if len(o.unanswered) > 0 {
		// Once grants with the short TTL have expired, a host that did not answer holds at most its share.
		o.start = latest(now, rate.ExpiredEverywhere(o.leadingSince, ShortTTL))
	}
	o.configuration = nil
}

// addOutstanding counts in a new bucket the units that hosts may still spend from grants of earlier terms.
func (o *owner) addOutstanding(team string, burst int64, b *rate.Bucket) {
	for _, r := range o.remainders[team] {
		b.AddOutstanding(r.host, r.left, r.expires)
	}
	// All hosts together hold at most the fleet's share of the burst for the full TTL.
	left := rate.FleetShare(burst)
	ends := rate.ExpiredEverywhere(o.leadingSince, TTL)
	if o.hostsUnknown {
		b.AddOutstanding(unknownHosts, left, ends)
		return
	}
	for h := range o.unanswered {
		n := min(rate.HostShare(burst), left)
		b.AddOutstanding(h, n, ends)
		left -= n
	}
}

// unknownHosts is the name under which the units of hosts that this host does not know are counted.
const unknownHosts = ""

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
