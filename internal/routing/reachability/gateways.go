package reachability

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"siskinrun/internal/data/pathanswer"
)

// gateway is what is known of a host that may serve as a gateway.
type gateway struct {
	// busy is the number of calls and tunnels that the host said it has in flight, and opened that of this host's tunnels since.
	busy, opened int
	avoidUntil   time.Time
	// newsAt is when the host last said that it has links again.
	newsAt time.Time
	// candidateAt is when the host was last chosen to be asked.
	candidateAt time.Time
}

// Answered records what a host that was asked said. One that reaches any of the upstreams in question is taken to reach all
// others but those that it has lost.
func (t *Table) Answered(from string, a pathanswer.Answer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.gateway(from)
	g.busy, g.opened = a.Busy, 0
	if !a.Linked || a.Full {
		g.avoidUntil = now.Add(avoidTime)
	}
	if len(a.Reached) == 0 {
		return
	}
	for _, n := range a.Reached {
		if p := t.lost[n]; p != nil && a.Proof {
			p.proven = true
		}
	}
	unreached := map[string]bool{}
	for _, n := range slices.Concat(a.Asked, a.Lost) {
		unreached[n] = true
	}
	for _, n := range a.Reached {
		delete(unreached, n)
	}
	for n, p := range t.paths {
		if !unreached[n] {
			p.gateways[from] = now
		}
	}
}

// Alone reports whether this host has certainly lost the path to an upstream and another one has connected to it since.
func (t *Table) Alone(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.lost[name]
	return p != nil && p.proven && p.certain
}

// Avoid records that a host is of no use as a gateway for now.
func (t *Table) Avoid(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateway(name).avoidUntil = now.Add(avoidTime)
}

// Unreached records that a gateway does not reach an upstream. Others are asked at once if it was the last one.
func (t *Table) Unreached(gateway, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	if p == nil || len(p.gateways) == 0 {
		return
	}
	delete(p.gateways, gateway)
	if len(p.gateways) == 0 {
		p.asked, t.askedAt = false, time.Time{}
	}
}

// Opened records that this host has opened a tunnel through a gateway.
func (t *Table) Opened(gateway string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateway(gateway).opened++
}

// Gateways returns the gateways to an upstream, the best one first: those with the least to do, of the own failure domain first.
func (t *Table) Gateways(name string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	if p == nil {
		return nil
	}
	p.expire(now)
	costs := map[string]int{}
	var l []string
	for h := range p.gateways {
		if d, ok := t.domains[h]; ok {
			costs[h] = t.cost(h, d, now)
			l = append(l, h)
		}
	}
	slices.Sort(l)
	t.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	slices.SortStableFunc(l, func(a, b string) int { return cmp.Compare(costs[a], costs[b]) })
	return l
}

// cost returns the expected cost of one more tunnel through a host of a failure domain.
func (t *Table) cost(name, domain string, now time.Time) int {
	g := t.gateway(name)
	c := g.busy + g.opened
	if domain != t.FailureDomain {
		c += remoteCost
	}
	if now.Before(g.avoidUntil) {
		c += avoidCost
	}
	return c
}

// Serving returns the hosts that serve as gateways to any upstream.
func (t *Table) Serving() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.serving()))
}

// CutOff returns the services that this host has lost or regained since the last call. A service is lost if other hosts reach
// half of its upstreams and this host does not.
func (t *Table) CutOff(now time.Time) (lost, regained []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gone, through := map[string]int{}, map[string]int{}
	for _, p := range t.lost {
		p.expire(now)
		gone[p.service]++
		if len(p.gateways) > 0 {
			through[p.service]++
		}
	}
	for s, n := range t.sizes {
		half := cutOffShare * float64(n)
		switch {
		case !t.cutOff[s] && float64(through[s]) >= half:
			t.cutOff[s] = true
			lost = append(lost, s)
		case t.cutOff[s] && float64(gone[s]) < half:
			t.cutOff[s] = false
			regained = append(regained, s)
		}
	}
	slices.Sort(lost)
	slices.Sort(regained)
	return lost, regained
}

// serving returns the hosts that serve as gateways to any upstream.
func (t *Table) serving() map[string]bool {
	m := map[string]bool{}
	for _, p := range t.lost {
		for h := range p.gateways {
			if _, ok := t.domains[h]; ok {
				m[h] = true
			}
		}
	}
	return m
}

func (t *Table) gateway(name string) *gateway {
	g := t.gateways[name]
	if g == nil {
		g = &gateway{}
		t.gateways[name] = g
	}
	return g
}

// told reports whether a host said moments ago that it has links again. An answer that comes after may be older.
func (g *gateway) told(now time.Time) bool {
	return !g.newsAt.IsZero() && now.Sub(g.newsAt) < avoidTime
}
