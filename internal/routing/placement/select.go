package placement

import (
	"slices"
	"time"

	"siskinrun/internal/routing/order"
)

const (
	mixed      = "mixed"
	prefill    = "prefill"
	decode     = "decode"
	splitLeast = 4
)

// target returns the engine that should load a model: in the failure domain with the fewest holders, with the most room.
func (p *Placement) target(model string) *engine {
	var best *engine
	for _, e := range p.order {
		if !e.may(model) || e.room(p.Models) <= 0 || !p.ready(e) {
			continue
		}
		if best == nil || p.before(e, best, model) {
			best = e
		}
	}
	return best
}

func (p *Placement) ready(e *engine) bool {
	return p.Ready == nil || p.Ready(e.upstream.Name)
}

func (p *Placement) before(a, b *engine, model string) bool {
	x := p.inDomain(a.upstream.FailureDomain, model)
	y := p.inDomain(b.upstream.FailureDomain, model)
	if x != y {
		return x < y
	}
	return a.room(p.Models) > b.room(p.Models)
}

func (p *Placement) inDomain(domain, model string) int {
	n := 0
	for _, e := range p.order {
		if e.upstream.FailureDomain != domain {
			continue
		}
		if _, ok := e.loading[model]; ok || e.holds(model) {
			n++
		}
	}
	return n
}

// victim returns an engine with a model that it can drop to make room, and the model.
func (p *Placement) victim(model string, now time.Time) (*engine, string) {
	for _, e := range p.order {
		if !e.may(model) || len(e.unloading) > 0 || len(e.loading) > 0 || !p.ready(e) {
			continue
		}
		for _, m := range e.upstream.Models {
			if p.spare(m, now) {
				return e, m
			}
		}
	}
	return nil, ""
}

// spare reports whether one engine fewer may hold a model.
func (p *Placement) spare(model string, now time.Time) bool {
	for _, n := range p.names {
		m := p.routes[n]
		used := model == m.want.At(m.want.Version) || model == m.want.At(m.serving)
		if used && p.holders(model) <= m.need {
			return false
		}
		if m.former != "" && model == m.want.At(m.former) && now.Sub(m.moved) < p.Linger {
			return false
		}
	}
	return true
}

// roles splits the holders of a model into those that compute prompts and those that generate, by the share of each.
func (p *Placement) roles(l []order.Order, m *moving, now time.Time) []order.Order {
	model := m.want.At(m.serving)
	var holders []*engine
	for _, e := range p.order {
		if e.holds(model) {
			holders = append(holders, e)
		}
	}
	if len(holders) == 0 {
		return l
	}
	goal := split(len(holders), m.want.PrefillShare)
	for _, e := range holders {
		goal[role(e)]--
	}
	for _, e := range holders {
		r := role(e)
		next := lacking(goal)
		if next == "" || goal[r] >= 0 || now.Sub(e.role) < p.Dwell || !p.ready(e) {
			continue
		}
		e.role = now
		return append(l, order.Order{Engine: e.upstream.Name, Kind: order.Role, Role: next})
	}
	return l
}

// split returns how many engines should have each role.
func split(n int, share float64) map[string]int {
	if n < splitLeast || share <= 0 {
		return map[string]int{mixed: n}
	}
	k := min(max(int(share*float64(n)+0.5), 1), n-1)
	return map[string]int{prefill: k, decode: n - k}
}

func role(e *engine) string {
	if e.upstream.Role == "" {
		return mixed
	}
	return e.upstream.Role
}

func lacking(goal map[string]int) string {
	roles := []string{mixed, prefill, decode}
	i := slices.IndexFunc(roles, func(r string) bool { return goal[r] > 0 })
	if i < 0 {
		return ""
	}
	return roles[i]
}
