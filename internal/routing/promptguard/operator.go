package promptguard

import (
	"context"
	"encoding/json"
	"slices"

	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/data/crashevidence"
	"siskinrun/pkg/refusal"
)

// takesNoPart refuses what a host that gets no news of crashes can't answer.
var takesNoPart = refusal.NewNotRun(503, "takes-no-part", "this host gets no news of crashes; ask one that serves callers")

// List answers an operator's request for what is kept from upstreams.
func (g *Guard) List(context.Context, *operatorapi.Request) ([]byte, error) {
	if !g.Topology().TakesPart() {
		return nil, takesNoPart
	}
	return json.Marshal(g.quarantined())
}

// Lift takes out of quarantine what an operator names, as if an upstream had answered it.
func (g *Guard) Lift(_ context.Context, r *operatorapi.Request) ([]byte, error) {
	if !g.Topology().TakesPart() {
		return nil, takesNoPart
	}
	q := crashevidence.Quarantined{}
	if err := json.Unmarshal(r.Body, &q); err != nil {
		return nil, refusal.NewNotRun(400, "bad-request", err.Error())
	}
	l := g.withCompanions(q.Kind, q.Trait)
	if len(l) == 0 {
		return nil, refusal.NewNotRun(404, "not-quarantined", "no such trait is in quarantine at this host")
	}
	g.Log.Warn().Str("kind", q.Kind).Str("trait", q.Trait).Msg("lifted from quarantine by an operator")
	g.answered(l)
	return json.Marshal(q)
}

// quarantined describes what is kept from upstreams.
func (g *Guard) quarantined() []crashevidence.Quarantined {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := []crashevidence.Quarantined{}
	for _, t := range g.quarantine.Quarantined() {
		s := g.seen[t]
		l = append(l, crashevidence.Quarantined{
			Kind: kind(t), Trait: hexadecimal(t), Ends: g.quarantine.Ends(t), Route: s.route, Team: s.team, Path: s.path,
		})
	}
	return l
}

// withCompanions returns a quarantined trait and those that block only together with it, nothing if it is not quarantined.
func (g *Guard) withCompanions(ofKind, trait string) []crashevidence.Trait {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.quarantine.Quarantined()
	i := slices.IndexFunc(l, func(t crashevidence.Trait) bool { return kind(t) == ofKind && hexadecimal(t) == trait })
	if i < 0 {
		return nil
	}
	return append(g.quarantine.Companions(l[i]), l[i])
}
