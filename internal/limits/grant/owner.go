package grant

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	leadership1 "siskinrun/internal/base/leadership"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/grantrequest"
	"siskinrun/internal/limits/promise"
	"siskinrun/internal/limits/rate"
	"siskinrun/internal/limits/refill"
	"siskinrun/pkg/refusal"
)

// pruneInterval is the time between checks of the buckets and removals of unused ones.
const pruneInterval = 5 * time.Second

// owner holds the buckets of one group while this host leads it.
type owner struct {
	group uint64

	// hosts holds all hosts. If the limiter has no Hosts function, others get no grants.
	hosts []string
	// termStarted signals that this host leads in a new term.
	termStarted chan struct{}

	mu      sync.Mutex
	leading bool
	// hostsUnknown reports whether hosts that this host does not know yet may hold grants.
	hostsUnknown bool
	term         uint64
	// leadingSince is when this host learned that it leads; no former leader grants after that.
	leadingSince time.Time
	// start is when the buckets begin to accrue. It is set when they are opened.
	start  time.Time
	opened bool
	// unanswered holds the hosts that have not reported what they hold of earlier terms.
	unanswered map[string]bool
	// remainders holds the units of earlier terms that hosts reported, by team.
	remainders map[string][]remainder
	// promises are those to the deputies of the failure domains, nil if there are none.
	promises *promise.Book
	// withheld is the number of shares that the buckets do not accrue, and fenced holds the hosts that know of the term.
	withheld      int
	fenced        map[string]bool
	lastPruned    time.Time
	configuration *configuration.Configuration
	buckets       map[string]*rate.Bucket
}

func newOwner(group uint64, peers []string, self string) *owner {
	o := &owner{group: group, hosts: []string{self}, termStarted: make(chan struct{}, 1)}
	for _, p := range peers {
		if p != self {
			o.hosts = append(o.hosts, p)
		}
	}
	return o
}

// startTerm starts a new term. Nothing is granted until the grants of earlier terms are counted.
func (o *owner) startTerm(now time.Time, term uint64, domains []string) {
	o.term = term
	o.leadingSince = now
	o.promises, o.withheld = nil, 0
	o.fenced = map[string]bool{}
	if len(domains) > 0 {
		o.promises = promise.NewBook(now, domains)
		o.withheld, _ = o.promises.Withheld(now)
	}
	o.opened = false
	o.buckets = map[string]*rate.Bucket{}
	o.remainders = map[string][]remainder{}
	o.unanswered = map[string]bool{}
	for _, h := range o.hosts {
		o.unanswered[h] = true
	}
	select {
	case o.termStarted <- struct{}{}:
	default:
	}
}

// handleRequests answers the requests of a host to a group that this host leads.
func (g *Limiter) handleRequests(_ context.Context, from string, body []byte) ([]byte, error) {
	q := &refill.Request{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-ask", err.Error())
	}
	if q.Group < 1 || q.Group > uint64(len(g.owners)) || q.Host != from {
		return nil, refusal.NewNotRun(400, "malformed-ask", "the request names an unknown group or another host")
	}
	o := g.owners[q.Group-1]
	if g.Hosts == nil && !slices.Contains(o.hosts, from) {
		return nil, refusal.NewNotRun(403, "unknown-host", "the settings name no host "+from)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	l, now := g.refresh(o)
	if !o.leading {
		return nil, refusal.NewNotRun(503, "not-leader", l.Leader)
	}
	p := &refill.Reply{Term: o.term}
	g.promiseShare(o, now, q, p)
	for _, a := range q.Requests {
		p.Replies = append(p.Replies, encodeReply(o.handleRequest(now, decodeRequest(q, a))))
	}
	metrics.GetOrRegisterMeter("rate-asks", g.Metrics).Mark(int64(len(q.Requests)))
	return proto.Marshal(p)
}

// refreshGroup applies changes of leadership and configuration between requests.
func (g *Limiter) refreshGroup(group uint64) {
	o := g.owners[group-1]
	o.mu.Lock()
	defer o.mu.Unlock()
	g.refresh(o)
}

// refresh applies the current leadership and configuration to an owner.
func (g *Limiter) refresh(o *owner) (leadership1.Status, time.Time) {
	l := g.Leadership.Lead(o.group)
	now := g.Timer.Now()
	o.leading = l.Leading && now.Before(l.Until)
	if !o.leading {
		return l, now
	}
	if o.buckets == nil || o.term != l.Term {
		if g.Hosts != nil {
			o.hosts = g.hosts()
			o.hostsUnknown = g.hostsMayBeUnknown()
		}
		o.startTerm(now, l.Term, g.deputyDomains())
		g.Log.Info().Uint64("group", o.group).Uint64("term", o.term).Msg("owns the rates of a group")
	}
	o.withhold(now)
	if c := g.Configuration.View(); o.opened && c != o.configuration && c != nil {
		o.configure(now, c, g)
	}
	if o.opened && now.Sub(o.lastPruned) > pruneInterval {
		if err := o.prune(now); err != nil {
			g.Log.Error().Err(err).Uint64("group", o.group).Msg("rate bucket is inconsistent")
		}
	}
	return l, now
}

// configure applies the rates of a configuration to the buckets.
func (o *owner) configure(now time.Time, c *configuration.Configuration, g *Limiter) {
	o.configuration = c
	for n, b := range o.buckets {
		if _, ok := c.Teams[n]; !ok {
			b.SetLimits(now, 0, 0)
		}
	}
	for n, t := range c.Teams {
		if OwnerGroup(n, g.Groups) != o.group {
			continue
		}
		unitsPerSecond, burst := g.bucketLimits(t)
		if b := o.buckets[n]; b != nil {
			b.SetLimits(now, unitsPerSecond, burst)
			continue
		}
		b := rate.NewBucket(o.term, unitsPerSecond, burst, o.start)
		b.TTL = TTL
		b.ShortTTL = ShortTTL
		if o.promises != nil {
			b.Withhold(now, o.withheld, o.promises.Domains())
		}
		o.addOutstanding(n, burst+g.olderOwnersBurst(t), b)
		o.buckets[n] = b
	}
}

// prune checks the buckets and removes hosts that no longer send requests and buckets of teams that were deleted.
func (o *owner) prune(now time.Time) error {
	o.lastPruned = now
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

func (o *owner) handleRequest(now time.Time, a grantrequest.Request) grantreply.Reply {
	if !o.opened {
		return grantreply.Reply{Team: a.Team, Sequence: a.Sequence, Term: o.term, RetryAfter: requestInterval, Settling: true}
	}
	b := o.buckets[a.Team]
	if b == nil {
		return grantreply.Reply{Team: a.Team, Sequence: a.Sequence, Term: o.term}
	}
	return b.Handle(now, a)
}
