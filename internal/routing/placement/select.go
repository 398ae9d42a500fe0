package placement

import (
	"slices"
	"time"

	"siskinrun/internal/routing/order"
)

const (
	mixed   = "mixed"
	prefill = "prefill"
	decode  = "decode"
	// The engines of a model get separate roles only if there are at least minSplitEngines.
	minSplitEngines = 4
)

// target returns the engine to load a model on: in the failure domain with the fewest holders, then with the most room.
func (p *Scheduler) target(model string) *engine {
	var best *engine
	for _, e := range p.announced {
		if !e.canLoad(model) || e.freeModels(p.ModelsPerEngine) <= 0 || !p.ready(e) {
			continue
		}
		if best == nil || p.preferred(e, best, model) {
			best = e
		}
	}
	return best
}

func (p *Scheduler) ready(e *engine) bool {
	return p.Ready == nil || p.Ready(e.upstream.Name)
}

func (p *Scheduler) preferred(a, b *engine, model string) bool {
	x := p.holdersInDomain(a.upstream.FailureDomain, model)
	y := p.holdersInDomain(b.upstream.FailureDomain, model)
	if x != y {
		return x < y
	}
	return a.freeModels(p.ModelsPerEngine) > b.freeModels(p.ModelsPerEngine)
}

func (p *Scheduler) holdersInDomain(domain, model string) int {
	n := 0
	for _, e := range p.announced {
		if e.upstream.FailureDomain != domain {
			continue
		}
		if _, ok := e.loading[model]; ok || e.holds(model) {
			n++
		}
	}
	return n
}

// victim returns an engine that could load the model after an unload, and the model that it can unload.
func (p *Scheduler) victim(model string, now time.Time) (*engine, string) {
	for _, e := range p.announced {
		if !e.canLoad(model) || len(e.unloading) > 0 || len(e.loading) > 0 || !p.ready(e) {
			continue
		}
		for _, m := range e.upstream.Models {
			if p.canUnload(m, now) {
				return e, m
			}
		}
	}
	return nil, ""
}

// canUnload reports whether a model can be unloaded from one engine.
func (p *Scheduler) canUnload(model string, now time.Time) bool {
	for _, n := range p.routeNames {
		m := p.routes[n]
		used := model == m.spec.VersionedName(m.spec.Version) || model == m.spec.VersionedName(m.serving)
		if used && p.holders(model) <= m.replicas {
			return false
		}
		if m.previous != "" && model == m.spec.VersionedName(m.previous) && now.Sub(m.moved) < p.RetireDelay {
			return false
		}
	}
	return true
}

// assignRoles splits the holders of a model into prefill and decode engines by PrefillShare; it orders one role change at a time.
func (p *Scheduler) assignRoles(l []order.Order, m *routeState, now time.Time) []order.Order {
	model := m.spec.VersionedName(m.serving)
	var holders []*engine
	for _, e := range p.announced {
		if e.holds(model) {
			holders = append(holders, e)
		}
	}
	if len(holders) == 0 {
		return l
	}
	goal := roleCounts(len(holders), m.spec.PrefillShare)
	for _, e := range holders {
		goal[role(e)]--
	}
	for _, e := range holders {
		r := role(e)
		newRole := missingRole(goal)
		if newRole == "" || goal[r] >= 0 || now.Sub(e.roleChanged) < p.RoleDwell || !p.ready(e) {
			continue
		}
		e.roleChanged = now
		return append(l, order.Order{Engine: e.upstream.Name, Kind: order.Role, Role: newRole})
	}
	return l
}

// roleCounts returns how many engines should have each role.
func roleCounts(n int, share float64) map[string]int {
	if n < minSplitEngines || share <= 0 {
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

func missingRole(goal map[string]int) string {
	roles := []string{mixed, prefill, decode}
	i := slices.IndexFunc(roles, func(r string) bool { return goal[r] > 0 })
	if i < 0 {
		return ""
	}
	return roles[i]
}
