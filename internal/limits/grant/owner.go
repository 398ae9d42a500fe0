package grant

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/lead"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/limits/ask"
	"siskinrun/internal/limits/award"
	"siskinrun/internal/limits/rate"
	"siskinrun/internal/limits/refill"
	"siskinrun/pkg/refusal"
)

// pruneInterval is the time between searches for buckets that may be forgotten.
const pruneInterval = 5 * time.Second

// owner holds the buckets of one group while this host leads it.
type owner struct {
	group uint64

	// hosts are all hosts, and the only ones that get grants.
	hosts []string
	// elected tells that this host leads in a new term.
	elected chan struct{}

	mu      sync.Mutex
	leading bool
	// stranger says that this host may not know yet of all hosts that hold grants.
	stranger bool
	term     uint64
	// since is when this host knew that it leads; no former leader grants after that.
	since time.Time
	// start is when the buckets begin to accrue, once opened.
	start  time.Time
	opened bool
	// missing are the hosts that have not told what they hold of earlier terms.
	missing map[string]bool
	// remainders are the units of earlier terms that the other hosts hold, by team.
	remainders    map[string][]remainder
	pruned        time.Time
	configuration *configuration.Configuration
	buckets       map[string]*rate.Bucket
}

func newOwner(group uint64, peers []string, self string) *owner {
	o := &owner{group: group, hosts: []string{self}, elected: make(chan struct{}, 1)}
	for _, p := range peers {
		if p != self {
			o.hosts = append(o.hosts, p)
		}
	}
	return o
}

// elect begins a new term: the buckets stay shut until earlier grants are counted.
func (o *owner) elect(now time.Time, term uint64) {
	o.term = term
	o.since = now
	o.opened = false
	o.buckets = map[string]*rate.Bucket{}
	o.remainders = map[string][]remainder{}
	o.missing = map[string]bool{}
	for _, h := range o.hosts {
		o.missing[h] = true
	}
	select {
	case o.elected <- struct{}{}:
	default:
	}
}

// answer grants what a host asks of the groups that this host leads.
func (g *Grant) answer(_ context.Context, from string, body []byte) ([]byte, error) {
	q := &refill.Request{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-ask", err.Error())
	}
	if q.Group < 1 || q.Group > uint64(len(g.owners)) || q.Host != from {
		return nil, refusal.NewNotRun(400, "malformed-ask", "the ask names an unknown group or another host")
	}
	o := g.owners[q.Group-1]
	if g.Hosts == nil && !slices.Contains(o.hosts, from) {
		return nil, refusal.NewNotRun(403, "unknown-host", "the settings name no host "+from)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	l, now := g.lead(o)
	if !o.leading {
		return nil, refusal.NewNotRun(503, "not-leader", l.Leader)
	}
	p := &refill.Reply{Term: o.term}
	for _, a := range q.Asks {
		p.Awards = append(p.Awards, packAward(o.take(now, unpackAsk(q, a))))
	}
	metrics.GetOrRegisterMeter("rate-asks", g.Metrics).Mark(int64(len(q.Asks)))
	return proto.Marshal(p)
}

// own follows leadership and configuration between asks.
func (g *Grant) own(group uint64) {
	o := g.owners[group-1]
	o.mu.Lock()
	defer o.mu.Unlock()
	g.lead(o)
}

// lead brings an owner up to the present leadership and configuration.
func (g *Grant) lead(o *owner) (lead.Lead, time.Time) {
	l := g.Leads.Lead(o.group)
	now := g.Timer.Now()
	o.leading = l.Leading && now.Before(l.Until)
	if !o.leading {
		return l, now
	}
	if o.buckets == nil || o.term != l.Term {
		if g.Hosts != nil {
			o.hosts = g.hosts()
			o.stranger = g.stranger()
		}
		o.elect(now, l.Term)
		g.Log.Info().Uint64("group", o.group).Uint64("term", o.term).Msg("owns the rates of a group")
	}
	if c := g.Configuration.View(); o.opened && c != o.configuration && c != nil {
		o.configure(now, c, g)
	}
	if o.opened && now.Sub(o.pruned) > pruneInterval {
		if err := o.prune(now); err != nil {
			g.Log.Error().Err(err).Uint64("group", o.group).Msg("a bucket contradicts itself")
		}
	}
	return l, now
}

// configure puts the rates of a configuration in force.
func (o *owner) configure(now time.Time, c *configuration.Configuration, g *Grant) {
	o.configuration = c
	for n, b := range o.buckets {
		if _, ok := c.Teams[n]; !ok {
			b.Limit(now, 0, 0)
		}
	}
	for n, t := range c.Teams {
		if Owner(n, g.Groups) != o.group {
			continue
		}
		units, burst := g.limits(t)
		if b := o.buckets[n]; b != nil {
			b.Limit(now, units, burst)
			continue
		}
		b := rate.NewBucket(o.term, units, burst, o.start)
		b.Life = Life
		b.NeedLife = NeedLife
		o.inherit(n, burst, b)
		o.buckets[n] = b
	}
}

// prune checks the buckets and forgets hosts that ask no more and buckets of teams that are gone.
func (o *owner) prune(now time.Time) error {
	o.pruned = now
	for n, b := range o.buckets {
		live := b.Prune(now)
		if err := b.Check(); err != nil {
			return err
		}
		if _, ok := o.configuration.Teams[n]; !ok && !live {
			delete(o.buckets, n)
		}
	}
	return nil
}

func (o *owner) take(now time.Time, a ask.Ask) award.Award {
	if !o.opened {
		return award.Award{Team: a.Team, Sequence: a.Sequence, Term: o.term, RetryAfter: interval, Settling: true}
	}
	b := o.buckets[a.Team]
	if b == nil {
		return award.Award{Team: a.Team, Sequence: a.Sequence, Term: o.term}
	}
	return b.Take(now, a)
}
