package server

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/order"
	"siskinrun/pkg/refusal"
)

var (
	unknownDomain = refusal.NewNotRun(404, "unknown-failure-domain", "no failure domain of this name is known")
	// domainsNotKnown refuses while a host that has just started may know too few upstreams and hosts to say that a failure
	// domain is unknown, which ends an operator's tries.
	domainsNotKnown = refusal.NewNotRun(503, "starting", "this host has just started and may not know this failure domain yet").
			WithRetryAfter(featureRetryAfter)
	notEvacuated = refusal.NewNotRun(503, "not-applied", "the change was not applied").WithRetryAfter(featureRetryAfter)
)

// evacuate begins or finishes the evacuation of a failure domain. It returns nil once a quorum holds the state that the order
// asks for, also if it was so before.
func (p *components) evacuate(ctx context.Context, domain string, begin bool) error {
	if err := p.checkDomain(domain); err != nil {
		return err
	}
	if p.store != nil {
		if _, err := p.client.Confirm(ctx, configurationGroup); err != nil {
			return err
		}
		if p.store.View().Evacuated[domain] == begin {
			return nil
		}
	}
	if err := p.requireFeature(ctx, feature.Evacuation); err != nil {
		return err
	}
	// Each order is a change of its own: a recorded ID would answer a begin after a finish without evacuating.
	c := &change.Change{
		ID: "evacuation-" + rand.Text(), Base: p.distribution.View().Version, By: "operator",
		Kind: change.FinishEvacuation, Name: domain, At: p.server.timer.Now(),
	}
	if begin {
		c.Kind = change.BeginEvacuation
	}
	b, err := c.Encode()
	if err != nil {
		return err
	}
	a, err := p.client.Propose(ctx, configurationGroup, b)
	if err != nil {
		return err
	}
	o, err := changeoutcome.Decode(a)
	if err != nil {
		return err
	}
	p.server.Log.Info().Str("failure-domain", domain).Str("kind", c.Kind).Str("status", o.Status).Uint64("version", o.Version).
		Str("reason", o.Message).Msg("evacuation decided")
	if o.Status != changeoutcome.Applied {
		return notEvacuated.WithJitter()
	}
	return nil
}

// checkChange refuses changes that begin or finish an evacuation where evacuate would. Other changes pass.
func (p *components) checkChange(ctx context.Context, c *change.Change) error {
	if c.Kind != change.BeginEvacuation && c.Kind != change.FinishEvacuation {
		return nil
	}
	if err := p.checkDomain(c.Name); err != nil {
		return err
	}
	return p.requireFeature(ctx, feature.Evacuation)
}

// checkDomain refuses a failure domain that is not known here.
func (p *components) checkDomain(domain string) error {
	l := p.failureDomains()
	if l[domain] {
		return nil
	}
	if len(p.server.Settings.Fleet.FailureDomains) == 0 && p.server.timer.Now().Sub(p.started) < maxUpstreamWait {
		return domainsNotKnown.WithJitter()
	}
	return unknownDomain
}

// failureDomains returns the known failure domains: those of the settings, of hosts, of upstreams and the evacuated ones.
func (p *components) failureDomains() map[string]bool {
	m := maps.Clone(p.configuration().Evacuated)
	if m == nil {
		m = map[string]bool{}
	}
	for _, t := range p.server.Settings.Fleet.FailureDomains {
		for n := range t {
			m[n] = true
		}
	}
	for _, h := range p.server.Settings.Fleet.Hosts {
		m[h.FailureDomain] = true
	}
	for _, h := range p.gossip.Hosts() {
		m[h.FailureDomain] = true
	}
	for _, u := range p.gossip.Upstreams() {
		m[u.FailureDomain] = true
	}
	delete(m, "")
	return m
}

// configuration returns the newest configuration that this host holds.
func (p *components) configuration() *configuration.Configuration {
	if p.store != nil {
		return p.store.View()
	}
	return p.distribution.View()
}

// applyEvacuations applies the evacuated failure domains of a configuration to all choices of upstreams on this host.
func (p *components) applyEvacuations(c *configuration.Configuration) {
	if c.Version == 0 || !p.evacuation.Set(c.Evacuated) {
		return
	}
	p.evacuationChanges.Add(1)
	p.picker.Reopen(p.server.timer.Now())
	p.reapplyUpstreams(nil)
	metrics.GetOrRegisterGauge("evacuation.domains", p.server.metrics).Update(int64(p.evacuation.Evacuated()))
	if len(c.Evacuated) > 0 || c.Version > 1 {
		p.server.Log.Info().Uint64("version", c.Version).Strs("failure-domains", slices.Sorted(maps.Keys(c.Evacuated))).
			Msg("evacuated failure domains in force")
	}
}

// openUpstreams returns the upstreams that may get work now.
func (p *components) openUpstreams() []upstream.Upstream {
	return p.evacuation.Filter(p.gossip.Upstreams())
}

// openEngines is an engine client that sends no orders to upstreams that may get no work.
type openEngines struct {
	engines
	components *components
}

// engines reads the state of engines and sends them orders.
type engines interface {
	State(ctx context.Context, address string) (upstream.Upstream, error)
	Send(ctx context.Context, address string, o order.Order) error
}

// Send sends an order unless the engine may get no work any more.
func (e openEngines) Send(ctx context.Context, address string, o order.Order) error {
	if u, ok := e.components.upstream(o.Engine); !ok || !e.components.evacuation.Open(u) {
		return refusal.UpstreamEvacuated.WithJitter()
	}
	return e.engines.Send(ctx, address, o)
}

// evacuationStatus is the state of one failure domain as operators see it.
type evacuationStatus struct {
	FailureDomain string `json:"failure-domain"`
	Evacuated     bool   `json:"evacuated"`
	Upstreams     int    `json:"upstreams"`
	// Running is the number of requests on the upstreams, as far as this host knows.
	Running int `json:"running"`
}

// showEvacuations lists the known failure domains and which of them are evacuated, after a quorum has confirmed it.
func (p *components) showEvacuations(ctx context.Context, _ *operatorapi.Request) ([]byte, error) {
	if p.store != nil {
		if _, err := p.client.Confirm(ctx, configurationGroup); err != nil {
			return nil, err
		}
	}
	e := p.configuration().Evacuated
	m := map[string]*evacuationStatus{}
	for n := range p.failureDomains() {
		m[n] = &evacuationStatus{FailureDomain: n, Evacuated: e[n]}
	}
	for _, u := range p.gossip.Upstreams() {
		if d := m[u.FailureDomain]; d != nil && !u.Leaving {
			d.Upstreams++
			d.Running += p.gossip.Peers(u.Name) + p.gossip.PeersBatch(u.Name) + p.picker.OwnRequests(u.Name) + p.inflight.Batch(u.Name)
		}
	}
	l := []*evacuationStatus{}
	for _, n := range slices.Sorted(maps.Keys(m)) {
		l = append(l, m[n])
	}
	return json.Marshal(l)
}
