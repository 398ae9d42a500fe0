package grant

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/team"
	"siskinrun/internal/limits/deputy"
	"siskinrun/internal/limits/refill"
	"siskinrun/pkg/refusal"
)

const (
	methodDeputy = "grant/ask-deputy"
	// confirmInterval is the least time between two messages that a deputy sends to the owner for its promise alone. The owner hears
	// of a reply with the next message. An exchange of a deputy ends after deputy.AnswerTime, so that promise.SilentAfter leaves room
	// for one that is lost.
	confirmInterval = 45 * time.Millisecond
	// acquireInterval is the least time between two messages of a host that has no promise and may get one.
	acquireInterval = time.Second
	// rankingInterval is the time for which a ranking of candidates is kept.
	rankingInterval = 500 * time.Millisecond
	// minDeputyDomains is the least number of failure domains among which a rate is shared.
	minDeputyDomains = 2
	// deputyBurstShare is the part of the allowed overrun in a bucket's burst that the deputies get.
	deputyBurstShare = 0.5
	// maxDeputies is the number of hosts of a domain of which one becomes the deputy, and which are asked in turn.
	maxDeputies = 3
)

// errNotDeputy refuses requests while the owner is not lost here, or has another deputy in the domain.
var errNotDeputy = refusal.NewNotRun(503, "not-deputy", "this host does not grant in place of the owner now")

// groupDeputy is the state of this host as the possible deputy of one group, and as a host that may ask one.
type groupDeputy struct {
	mu    sync.Mutex
	state deputy.Deputy
	// asked is when the owner was asked last, and resigned that this host stops.
	asked    time.Time
	resigned bool
	// held says that the host had a promise when it resigned.
	held bool
	// to is the host that was asked last in place of the owner.
	to string
	// lost says that the last request to the owner had no answer.
	lost bool
	// failed counts the requests to deputies without a grant; it chooses which host is asked.
	failed int
	wake   chan struct{}
	// ranked are the candidates of the domain in order, as of rankedAt.
	ranked   []string
	rankedAt time.Time
}

// sharesRates reports whether deputies may stand in for owners that are lost.
func (g *Limiter) sharesRates() bool {
	return len(g.Domains) >= minDeputyDomains && g.Candidates != nil && (g.Overrun > 0 || g.Slack > 0)
}

// deputyDomains returns the failure domains among which the rates are divided, nil if they are not.
func (g *Limiter) deputyDomains() []string {
	if !g.sharesRates() {
		return nil
	}
	return g.Domains
}

// deputyBurst returns the burst of each deputy's bucket for a team, which the owner's lacks.
func (g *Limiter) deputyBurst(overrun float64) int64 {
	if !g.sharesRates() {
		return 0
	}
	return int64(deputyBurstShare * overrun / float64(len(g.Domains)))
}

// olderOwnersBurst returns by how much the bucket of an owner of an older build, which leaves nothing to deputies, is larger than
// that of this host. It is zero if no host is of such a build.
func (g *Limiter) olderOwnersBurst(t team.Team) int64 {
	if !g.sharesRates() || g.MayPromise() {
		return 0
	}
	return int64(len(g.Domains)) * g.deputyBurst(g.overrun(t))
}

// deputyLimits returns the rate and the burst of a deputy's bucket for a team.
func (g *Limiter) deputyLimits(t team.Team) (rate, burst int64) {
	return t.Rate / int64(len(g.Domains)), g.deputyBurst(g.overrun(t))
}

// ranking returns the live candidates of this host's failure domain, in the order in which they become deputies of a group. The
// caller holds the lock of the group's deputy.
func (g *Limiter) ranking(group uint64, now time.Time) []string {
	d := g.deputies[group-1]
	if !d.rankedAt.IsZero() && now.Sub(d.rankedAt) < rankingInterval {
		return d.ranked
	}
	var l []string
	for _, h := range g.Candidates(group) {
		if h.FailureDomain == g.FailureDomain && (h.Name == g.Name || g.Alive(h.Name)) {
			l = append(l, h.Name)
		}
	}
	weight := func(n string) uint64 { return xxhash.Sum64String(string(rune('0'+group)) + n) }
	slices.SortFunc(l, func(a, b string) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
	d.ranked, d.rankedAt = l, now
	return l
}

// deputiesOf returns the hosts of this host's failure domain that may be the deputy of a group, in order. The caller holds the lock of
// the group's deputy.
func (g *Limiter) deputiesOf(group uint64, now time.Time) []string {
	l := g.ranking(group, now)
	return l[:min(len(l), maxDeputies)]
}

// addDeputy adds to a request to the owner what concerns the deputy of this host's domain, and reports whether the owner has to hear
// it even if no units are asked for.
func (g *Limiter) addDeputy(q *refill.Request, now time.Time) (due bool) {
	if !g.sharesRates() {
		return false
	}
	d := g.deputies[q.Group-1]
	d.mu.Lock()
	defer d.mu.Unlock()
	interval := confirmInterval
	if !d.state.Held() {
		interval = acquireInterval
	}
	due = now.Sub(d.asked) >= interval
	if d.resigned {
		q.FailureDomain, q.Resigned = g.FailureDomain, d.held
		return due && d.held
	}
	q.ConfirmedTerm, q.Confirmed = d.state.Confirmed()
	if !d.state.Held() && !slices.Contains(g.deputiesOf(q.Group, now), g.Name) {
		return false
	}
	q.FailureDomain, q.Deputy = g.FailureDomain, true
	return due
}

// noteAsked records when the owner is asked.
func (g *Limiter) noteAsked(group uint64, now time.Time) {
	d := g.deputies[group-1]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked = now
}

// promiseShare answers what a request says of the deputy of its host's domain.
func (g *Limiter) promiseShare(o *owner, now time.Time, q *refill.Request, p *refill.Reply) {
	if o.promises == nil || q.FailureDomain == "" {
		return
	}
	defer o.withhold(now)
	if q.Resigned {
		o.promises.Resign(q.FailureDomain, q.Host, q.Boot)
		return
	}
	known := func(h host.Host) bool { return h.Name == q.Host }
	if !q.Deputy || !g.MayPromise() || !slices.ContainsFunc(g.Candidates(o.group), known) {
		return // a later owner asks the candidates alone for their promises
	}
	if !o.opened || now.Before(o.start) {
		p.Settling = true
		return
	}
	var confirmed time.Time
	if q.ConfirmedTerm == o.term {
		confirmed = o.leadingSince.Add(time.Duration(q.Confirmed))
	}
	p.Deputy = o.promises.Ask(now, q.FailureDomain, q.Host, q.Boot, confirmed)
	p.Stamp = int64(now.Sub(o.leadingSince))
}

// withhold applies to the buckets how many shares the owner does not accrue.
func (o *owner) withhold(now time.Time) {
	if o.promises == nil {
		return
	}
	n, either := o.promises.Withheld(now)
	if n == o.withheld && either == n {
		return
	}
	o.withheld = n
	for _, b := range o.buckets {
		b.Withhold(now, either, o.promises.Domains())
		b.Withhold(now, n, o.promises.Domains())
	}
}

// recordDeputy records that a host has answered the fence of a term, and so holds no promise of an earlier one.
func (g *Limiter) recordDeputy(o *owner, now time.Time, term uint64, host string, p *refill.Fenced) {
	if !g.sharesRates() {
		return
	}
	l := g.Candidates(o.group)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != term || o.promises == nil {
		return
	}
	o.fenced[host] = true
	switch {
	case p.Adopted:
		o.promises.Adopt(now, p.FailureDomain, host, p.Boot)
	case p.Deputy:
		o.promises.Release(p.FailureDomain)
	}
	g.releaseFenced(o, now, l)
	o.withhold(now)
}

// releaseFenced releases the domains of which all candidates have answered, or which have none.
func (g *Limiter) releaseFenced(o *owner, now time.Time, candidates []host.Host) {
	for _, d := range o.promises.Unknown(now) {
		open := func(h host.Host) bool {
			return (h.FailureDomain == d || h.FailureDomain == "") && !o.fenced[h.Name]
		}
		if !slices.ContainsFunc(candidates, open) {
			o.promises.Release(d)
		}
	}
}

// unfenced returns the candidates that may hold a promise of an earlier term.
func (g *Limiter) unfenced(o *owner, now time.Time, term uint64) []string {
	if !g.sharesRates() {
		return nil
	}
	l := g.Candidates(o.group)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != term || o.promises == nil {
		return nil
	}
	g.releaseFenced(o, now, l)
	unknown := o.promises.Unknown(now)
	var names []string
	for _, h := range l {
		if !o.fenced[h.Name] && len(unknown) > 0 && (h.FailureDomain == "" || slices.Contains(unknown, h.FailureDomain)) {
			names = append(names, h.Name)
		}
	}
	return names
}

// applyPromise applies what a reply of the owner says of the deputy.
func (g *Limiter) applyPromise(q *refill.Request, sent time.Time, p *refill.Reply) {
	if !q.Deputy || p.Settling {
		return
	}
	d := g.deputies[q.Group-1]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Apply(g.Timer.Now(), sent, p.Term, p.Stamp, p.Deputy)
}

// fencePromise answers what a fence says of deputies.
func (g *Limiter) fencePromise(q *refill.Fence, p *refill.Fenced) {
	d := g.deputies[q.Group-1]
	d.mu.Lock()
	defer d.mu.Unlock()
	adopts := q.Adopts && g.sharesRates()
	p.Deputy = d.state.Fence(g.Timer.Now(), q.Term, adopts)
	p.Adopted = p.Deputy && adopts
	p.Boot, p.FailureDomain = g.Boot, g.FailureDomain
}

// settling reports whether a reply says that the owner still counts what was granted in earlier terms.
func settling(p *refill.Reply) bool {
	return p.Settling || slices.ContainsFunc(p.Replies, func(r *refill.GrantReply) bool { return r.Settling })
}

// resign ends all promises of a host that stops.
func (g *Limiter) resign() {
	for _, d := range g.deputies {
		d.mu.Lock()
		d.held = d.state.Held()
		d.state.Resign(g.Timer.Now())
		d.resigned = true
		d.mu.Unlock()
	}
}

// handleDeputy answers requests of the domain's hosts while this host stands in for a lost owner.
func (g *Limiter) handleDeputy(_ context.Context, from string, body []byte) ([]byte, error) {
	q := &refill.Request{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-ask", err.Error())
	}
	if q.Group < 1 || q.Group > uint64(len(g.owners)) || q.Host != from {
		return nil, refusal.NewNotRun(400, "malformed-ask", "the request names an unknown group or another host")
	}
	c := g.Configuration.View()
	if !g.sharesRates() || c == nil {
		return nil, errNotDeputy
	}
	d := g.deputies[q.Group-1]
	d.mu.Lock()
	defer d.mu.Unlock()
	now := g.Timer.Now()
	if !d.state.Active(now) {
		return nil, errNotDeputy
	}
	p := &refill.Reply{Term: d.state.Epoch()}
	for _, m := range q.Requests {
		t, ok := c.Teams[m.Team]
		if !ok {
			continue
		}
		rate, burst := g.deputyLimits(t)
		if a, ok := d.state.Handle(now, decodeRequest(q, m), rate, burst); ok {
			p.Replies = append(p.Replies, encodeReply(a))
		}
	}
	metrics.GetOrRegisterMeter("deputy-asks", g.Metrics).Mark(int64(len(q.Requests)))
	return proto.Marshal(p)
}

// holdsPromise reports whether this host is the deputy of a group in its failure domain.
func (g *Limiter) holdsPromise(i int) bool {
	if !g.sharesRates() {
		return false
	}
	d := g.deputies[i]
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Held()
}

// setLost records whether the owner of a group answered, and wakes the requests to its deputy if it did not.
func (g *Limiter) setLost(group uint64, lost bool) {
	if !g.sharesRates() {
		return
	}
	d := g.deputies[group-1]
	d.mu.Lock()
	changed := d.lost != lost
	d.lost = lost
	d.mu.Unlock()
	if changed {
		g.Log.Info().Uint64("group", group).Bool("lost", lost).Msg("owner of rates lost or answering again")
	}
	if lost {
		d.signal()
	}
}

func (d *groupDeputy) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// runDeputy asks the deputy of this host's domain for units each time it is woken while the owner is lost.
func (g *Limiter) runDeputy(ctx context.Context, i int) error {
	d := g.deputies[i]
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.wake:
		}
		if to, ok := g.deputyToAsk(uint64(i) + 1); ok {
			g.askDeputy(ctx, uint64(i)+1, to)
		}
	}
}

// deputyToAsk returns the host to ask for units of a group, if the owner is lost.
func (g *Limiter) deputyToAsk(group uint64) (string, bool) {
	d := g.deputies[group-1]
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lost {
		return "", false
	}
	l := g.deputiesOf(group, g.Timer.Now())
	if len(l) == 0 {
		return "", false
	}
	return l[d.failed%len(l)], true
}

// askDeputy sends the requests that are due to a host that may be the deputy.
func (g *Limiter) askDeputy(ctx context.Context, group uint64, to string) {
	g.changeDeputy(group, to)
	q, l := g.collectDeputyRequests(group)
	if len(q.Requests) == 0 {
		return
	}
	p, err := g.callDeputy(ctx, to, q)
	if err == nil {
		g.applyDeputyReply(p)
	}
	g.endDeputyRequests(group, q, l, err)
}

// changeDeputy drops the grants of another host that stood in for the owner: grants of two hosts are not ordered.
func (g *Limiter) changeDeputy(group uint64, to string) {
	d := g.deputies[group-1]
	d.mu.Lock()
	same := d.to == to
	d.to = to
	d.mu.Unlock()
	if same {
		return
	}
	for _, t := range g.groupTeams(group) {
		t.changeDeputy()
	}
}

// collectDeputyRequests collects the requests to the deputy of a group that are due.
func (g *Limiter) collectDeputyRequests(group uint64) (*refill.Request, []*teamLimiter) {
	q := &refill.Request{Group: group, Host: g.Name, Boot: g.Boot}
	var l []*teamLimiter
	now := g.Timer.Now()
	for _, t := range g.groupTeams(group) {
		if len(q.Requests) == maxRequests {
			break
		}
		if a, ok := t.nextDeputyRequest(now); ok {
			q.Requests = append(q.Requests, encodeRequest(a))
			l = append(l, t)
		}
	}
	return q, l
}

func (g *Limiter) callDeputy(ctx context.Context, to string, q *refill.Request) (*refill.Reply, error) {
	b, err := proto.Marshal(q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if to == g.Name {
		b, err = g.handleDeputy(ctx, g.Name, b)
	} else {
		b, err = g.Link.Call(ctx, to, methodDeputy, b)
	}
	if err != nil {
		return nil, err
	}
	p := &refill.Reply{}
	return p, proto.Unmarshal(b, p)
}

func (g *Limiter) applyDeputyReply(p *refill.Reply) {
	now := g.Timer.Now()
	for _, a := range p.Replies {
		g.mu.RLock()
		t := g.teams[a.Team]
		g.mu.RUnlock()
		if t != nil {
			t.applyDeputyReply(now, decodeReply(p.Term, a))
		}
	}
}

// endDeputyRequests marks the requests that had no reply as lost, and has another host asked after a failure.
func (g *Limiter) endDeputyRequests(group uint64, q *refill.Request, l []*teamLimiter, err error) {
	for i, a := range q.Requests {
		l[i].markDeputyLost(a.Sequence)
	}
	if err == nil {
		return
	}
	d := g.deputies[group-1]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed++
}
