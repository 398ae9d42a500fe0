package server

import (
	"context"
	"maps"

	"siskinrun/internal/config/change"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/feature"
	"siskinrun/pkg/refusal"
)

// boundColdUpstreams has permits keep to what cold upstreams bear, if the settings say by how much they may exceed it.
func (p *components) boundColdUpstreams() {
	f := p.server.Settings.Fleet
	if f.ColdOverrun <= 0 {
		return
	}
	p.permits.ColdRate = p.coldRate
	p.permits.ColdOverrun, p.permits.ColdSlack = f.ColdOverrun, f.ColdSlack
	p.permits.SingleHost = len(f.Hosts) == 1 && !p.server.Settings.UsesSeeds()
}

// applyColdRates applies the rates of cold upstreams that a configuration names.
func (p *components) applyColdRates(c *configuration.Configuration) {
	r := map[string]float64{}
	for n, s := range c.Services {
		if s.ColdRate > 0 {
			r[n] = s.ColdRate
		}
	}
	old := p.coldRates.Swap(&r)
	if old == nil && len(r) == 0 || old != nil && maps.Equal(*old, r) {
		return
	}
	p.upstreamsMu.Lock()
	defer p.upstreamsMu.Unlock()
	p.permits.SetUpstreams(p.gossip.Upstreams())
}

// coldRate returns the requests a second that a cold upstream of a service bears, 0 if nothing bounds them.
func (p *components) coldRate(service string) float64 {
	r := p.coldRates.Load()
	if r == nil {
		return 0
	}
	return (*r)[service]
}

// keepColdRates removes the rates of cold upstreams from a configuration that control hosts of an older build would not
// understand and so not apply, unlike the others. Those ignored the rates. It returns an error if the control hosts can't be
// told, as no configuration can be proposed then.
func (p *components) keepColdRates(ctx context.Context, c *change.Change) error {
	if !removeColdRates(c, false) {
		return nil
	}
	err := p.requireFeature(ctx, feature.ColdUpstreams)
	if err == nil || refusal.Of(err).Code != featureUnknown.Code {
		return err
	}
	removeColdRates(c, true)
	p.server.Log.Warn().Uint64("edition", c.Edition).Msg("configuration proposed without the rates of cold upstreams")
	return nil
}

// removeColdRates reports whether a configuration names rates or times of cold upstreams and, if told so, removes them.
func removeColdRates(c *change.Change, remove bool) bool {
	if c.Whole == nil {
		return false
	}
	named := false
	for n, s := range c.Whole.Services {
		if s.ColdTime == 0 && s.ColdRate == 0 {
			continue
		}
		named = true
		if remove {
			s.ColdTime, s.ColdRate = 0, 0
			c.Whole.Services[n] = s
		}
	}
	return named
}
