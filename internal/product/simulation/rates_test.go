package simulation

import (
	"maps"
	"slices"
	"time"

	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/grant"
	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/grantrequest"
	"siskinrun/internal/limits/rate"
)

const (
	requestInterval = 40 * time.Millisecond
	askTimeout      = 300 * time.Millisecond
	auditGrace      = 5 * time.Second
	// waitLimit is how long a call waits for rate units before it is refused.
	waitLimit = 150 * time.Millisecond
)

// owner holds the rate buckets of one term of a leader.
type owner struct {
	host          *host
	term          uint64
	until         time.Time
	since         time.Time
	start         time.Time
	opened        bool
	unanswered    map[string]bool
	remainders    map[string]map[string]int64
	remaindersEnd time.Time
	buckets       map[string]*rate.Bucket
}

// electAfter elects another leader after the lease of the former one has ended.
func (w *simulation) electAfter(after time.Duration) {
	old, term := w.hosts[w.leader], w.term
	if until := old.now().Add(after); old.owner != nil && until.Before(old.owner.until) {
		old.owner.until = until
	}
	w.after(after+after/100, func() {
		if w.term == term {
			w.elect((w.leader + 1 + w.randoms[leaderChanges].IntN(hostCount-1)) % hostCount)
		}
	})
}

// transferLeadership transfers the leadership at once from a leader that gives it up.
func (w *simulation) transferLeadership() {
	if o := w.hosts[w.leader].owner; o != nil {
		o.until = w.hosts[w.leader].now()
	}
	w.elect((w.leader + 1) % hostCount)
}

// elect makes the first live host from i on that is on the majority side of the partition the leader.
func (w *simulation) elect(i int) {
	for n := 0; w.hosts[i].dead || w.hosts[i].partitioned; n++ {
		if n == hostCount {
			w.term++
			w.electAfter(leaderLease)
			return
		}
		i = (i + 1) % hostCount
	}
	w.term++
	w.leader = i
	h := w.hosts[i]
	n := h.now()
	w.logEvent("fleet", "%s leads in term %d", h.name, w.term)
	w.check(h.name, h.cache.Confirm(n, n, w.store.View()))
	o := &owner{
		host: h, term: w.term, since: n, until: n.Add(time.Hour), unanswered: map[string]bool{},
		remainders: map[string]map[string]int64{}, buckets: map[string]*rate.Bucket{},
	}
	h.owner = o
	for _, t := range w.hosts {
		if w.injected == forgetGrants {
			continue
		}
		o.unanswered[t.name] = true
		h.after(w.delay(), func() { o.fenceHost(t) })
	}
	if w.injected == forgetGrants {
		o.open()
		return
	}
	h.after(askTimeout, o.open)
}

// fenceHost makes a host reject replies of earlier terms, and learns how many of their units it may still spend.
func (o *owner) fenceHost(t *host) {
	w := o.host.w
	if !t.canReach(o.host) || w.lost() || t.term > o.term || o.opened {
		return
	}
	t.term = o.term
	left := map[string]int64{}
	for n, a := range t.allowances {
		left[n] = a.Fence(t.now(), o.term)
	}
	o.host.after(w.delay(), func() {
		if o.opened || !o.unanswered[t.name] || !t.canReach(o.host) {
			return
		}
		delete(o.unanswered, t.name)
		o.remainders[t.name] = left
		o.remaindersEnd = rate.ExpiredEverywhere(o.host.now(), grant.TTL)
	})
}

func (o *owner) open() {
	o.opened = true
	o.start = o.host.now()
	s := rate.ExpiredEverywhere(o.since, grant.ShortTTL)
	if len(o.unanswered) > 0 && s.After(o.start) {
		o.start = s
	}
	o.configureBuckets()
}

// configureBuckets sets the current limits in each team's bucket, and creates the buckets that are missing.
func (o *owner) configureBuckets() {
	n := o.host.now()
	for name, t := range o.host.cache.Published().Teams {
		b := o.buckets[name]
		if b != nil {
			b.SetLimits(n, t.Rate, t.Burst)
			continue
		}
		b = rate.NewBucket(o.term, t.Rate, t.Burst, o.start)
		b.TTL = grant.TTL
		b.ShortTTL = grant.ShortTTL
		for _, h := range slices.Sorted(maps.Keys(o.remainders)) {
			if l := o.remainders[h][name]; l > 0 {
				b.AddOutstanding(h, l, o.remaindersEnd)
			}
		}
		for _, h := range slices.Sorted(maps.Keys(o.unanswered)) {
			b.AddOutstanding(h, rate.HostShare(t.Burst), rate.ExpiredEverywhere(o.since, grant.TTL))
		}
		o.buckets[name] = b
	}
}

func (o *owner) handle(a grantrequest.Request) (grantreply.Reply, bool) {
	n := o.host.now()
	if !n.Before(o.until) && o.host.w.injected != keepLeadership {
		return grantreply.Reply{}, false
	}
	if !o.opened {
		return grantreply.Reply{Team: a.Team, Sequence: a.Sequence, Term: o.term, RetryAfter: requestInterval, Settling: true}, true
	}
	o.configureBuckets()
	b := o.buckets[a.Team]
	if b == nil {
		return grantreply.Reply{Team: a.Team, Sequence: a.Sequence, Term: o.term}, true
	}
	return b.Handle(n, a), true
}

func (o *owner) check() {
	for n, b := range o.buckets {
		o.host.w.check(n, b.Check())
	}
}

func (h *host) allowance(team string) *allowance.Allowance {
	a := h.allowances[team]
	if a == nil {
		a = &allowance.Allowance{Team: team, Host: h.name, Boot: h.boot}
		if h.term > 0 {
			a.Fence(h.now(), h.term)
		}
		h.allowances[team] = a
	}
	return a
}

// requestRates asks the leader for rate units that are due.
func (h *host) requestRates() {
	h.refuseExpired()
	for _, t := range teams {
		h.request(t)
	}
}

func (h *host) request(team string) {
	if h.asking[team] {
		return
	}
	w := h.w
	var need, least int64
	for _, c := range h.waiting {
		if c.team == team {
			need += c.cost
			if least == 0 || c.cost < least {
				least = c.cost
			}
		}
	}
	a := h.allowance(team)
	q, ok := a.NextRequest(h.now(), need, least)
	if !ok {
		return
	}
	h.asking[team] = true
	h.after(askTimeout, func() {
		if a.MarkLost(q.Sequence) {
			h.asking[team] = false
		}
	})
	copies := 1
	if w.chance(messageFaults, 5) {
		copies = 2
	}
	for range copies {
		w.after(w.delay(), func() { h.deliver(a, q) })
	}
}

// deliver sends a request to the leader on this side of the partition, and the reply back.
func (h *host) deliver(a *allowance.Allowance, q grantrequest.Request) {
	w := h.w
	for _, t := range w.hosts {
		if t.owner == nil || !h.canReach(t) || w.lost() {
			continue
		}
		g, ok := t.owner.handle(q)
		if !ok {
			continue
		}
		h.after(w.delay(), func() {
			a.ApplyReply(h.now(), g)
			h.asking[q.Team] = false
			h.admitWaiting()
		})
		return
	}
}
