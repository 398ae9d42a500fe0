package joined

import (
	"maps"
	"slices"
	"time"

	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/ask"
	"siskinrun/internal/limits/award"
	"siskinrun/internal/limits/grant"
	"siskinrun/internal/limits/rate"
)

const (
	askInterval = 40 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	auditGrace  = 5 * time.Second
	waitLimit   = 150 * time.Millisecond
)

// owner holds the rate buckets of one term of a leader.
type owner struct {
	host       *host
	term       uint64
	until      time.Time
	since      time.Time
	start      time.Time
	opened     bool
	missing    map[string]bool
	remainders map[string]map[string]int64
	ends       time.Time
	buckets    map[string]*rate.Bucket
}

// succeed elects another leader after the lease of the former one has ended.
func (w *world) succeed(after time.Duration) {
	old, term := w.hosts[w.leader], w.term
	if until := old.now().Add(after); old.owner != nil && until.Before(old.owner.until) {
		old.owner.until = until
	}
	w.after(after+after/100, func() {
		if w.term == term {
			w.elect((w.leader + 1 + w.randoms[leaders].IntN(hostCount-1)) % hostCount)
		}
	})
}

// handOver transfers the leadership at once from a leader that gives it up.
func (w *world) handOver() {
	if o := w.hosts[w.leader].owner; o != nil {
		o.until = w.hosts[w.leader].now()
	}
	w.elect((w.leader + 1) % hostCount)
}

// elect makes the first live host from i on that is on the majority side of the partition the leader.
func (w *world) elect(i int) {
	for n := 0; w.hosts[i].dead || w.hosts[i].cut; n++ {
		if n == hostCount {
			w.term++
			w.succeed(leadLease)
			return
		}
		i = (i + 1) % hostCount
	}
	w.term++
	w.leader = i
	h := w.hosts[i]
	n := h.now()
	w.note("fleet", "%s leads in term %d", h.name, w.term)
	w.check(h.name, h.view.Confirm(n, n, w.register.View()))
	o := &owner{
		host: h, term: w.term, since: n, until: n.Add(time.Hour), missing: map[string]bool{},
		remainders: map[string]map[string]int64{}, buckets: map[string]*rate.Bucket{},
	}
	h.owner = o
	for _, t := range w.hosts {
		if w.wrong == forgetGrants {
			continue
		}
		o.missing[t.name] = true
		h.after(w.delay(), func() { o.fence(t) })
	}
	if w.wrong == forgetGrants {
		o.open()
		return
	}
	h.after(askTimeout, o.open)
}

// fence makes a host reject awards of earlier terms, and learns how many of their units it may still spend.
func (o *owner) fence(t *host) {
	w := o.host.w
	if !t.reaches(o.host) || w.lost() || t.term > o.term || o.opened {
		return
	}
	t.term = o.term
	left := map[string]int64{}
	for n, a := range t.allowances {
		left[n] = a.Fence(t.now(), o.term)
	}
	o.host.after(w.delay(), func() {
		if o.opened || !o.missing[t.name] || !t.reaches(o.host) {
			return
		}
		delete(o.missing, t.name)
		o.remainders[t.name] = left
		o.ends = rate.ExpiredEverywhere(o.host.now(), grant.TTL)
	})
}

func (o *owner) open() {
	o.opened = true
	o.start = o.host.now()
	s := rate.ExpiredEverywhere(o.since, grant.ShortTTL)
	if len(o.missing) > 0 && s.After(o.start) {
		o.start = s
	}
	o.configure()
}

// configure sets the current limits in each team's bucket, and creates the buckets that are missing.
func (o *owner) configure() {
	n := o.host.now()
	for name, t := range o.host.view.Published().Teams {
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
				b.AddOutstanding(h, l, o.ends)
			}
		}
		for _, h := range slices.Sorted(maps.Keys(o.missing)) {
			b.AddOutstanding(h, rate.HostShare(t.Burst), rate.ExpiredEverywhere(o.since, grant.TTL))
		}
		o.buckets[name] = b
	}
}

func (o *owner) take(a ask.Ask) (award.Award, bool) {
	n := o.host.now()
	if !n.Before(o.until) && o.host.w.wrong != keepLead {
		return award.Award{}, false
	}
	if !o.opened {
		return award.Award{Team: a.Team, Sequence: a.Sequence, Term: o.term, RetryAfter: askInterval, Settling: true}, true
	}
	o.configure()
	b := o.buckets[a.Team]
	if b == nil {
		return award.Award{Team: a.Team, Sequence: a.Sequence, Term: o.term}, true
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

// rates asks the leader for rate units that are due.
func (h *host) rates() {
	h.expire()
	for _, t := range teams {
		h.ask(t)
	}
}

func (h *host) ask(team string) {
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
	q, ok := a.Ask(h.now(), need, least)
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
	if w.chance(losses, 5) {
		copies = 2
	}
	for range copies {
		w.after(w.delay(), func() { h.deliver(a, q) })
	}
}

// deliver sends an ask to the leader on this side of the partition, and the award back.
func (h *host) deliver(a *allowance.Allowance, q ask.Ask) {
	w := h.w
	for _, t := range w.hosts {
		if t.owner == nil || !h.reaches(t) || w.lost() {
			continue
		}
		g, ok := t.owner.take(q)
		if !ok {
			continue
		}
		h.after(w.delay(), func() {
			a.Award(h.now(), g)
			h.asking[q.Team] = false
			h.release()
		})
		return
	}
}
