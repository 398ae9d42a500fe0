package server

import (
	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/fleet/gossip"
	"siskinrun/internal/fleet/streamregistry"
	"siskinrun/internal/limits/answertime"
	"siskinrun/internal/limits/capacity"
	"siskinrun/internal/limits/grant"
	"siskinrun/internal/limits/lane"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/routing/permits"
	"siskinrun/internal/routing/promptguard"
)

func (p *components) buildLimits() error {
	s := p.server
	p.gossip = &gossip.Service{
		Link:             p.link,
		Name:             s.Name,
		FailureDomain:    p.host.FailureDomain,
		Seed:             p.seed,
		Timer:            s.timer,
		Log:              s.Log,
		Metrics:          p.childMetrics("roster"),
		Open:             s.Settings.UsesSeeds(),
		ColdBound:        func(service string) bool { return s.Settings.Fleet.ColdOverrun > 0 && p.coldRate(service) > 0 },
		Driver:           p.batchHost,
		RelayHost:        p.relayHost,
		RemoteRelayHosts: p.remoteRelayHosts,
		Self: gossipmessage.Host{
			Label:   p.host.Label,
			Control: p.host.Stores(settings.KeepsConfiguration),
			Ledgers: p.host.Stores(settings.KeepsLedgers),

			Features: feature.Known,
		},
	}
	p.gossip.Register()
	p.streams = &streamregistry.Registry{
		Link:          p.link,
		Name:          s.Name,
		FailureDomain: p.host.FailureDomain,

		Hosts:        p.recordHosts,
		ControlHosts: p.controlRecordHosts,
		Timer:        s.timer,
		Metrics:      p.childMetrics("streams"),
	}
	p.streams.Register()
	p.guard = &promptguard.Guard{
		Link:     p.link,
		Topology: p.topology,
		Timer:    s.timer,
		Log:      s.Log,
		Metrics:  p.childMetrics("prompts"),
	}
	p.guard.Register()
	p.permits = &permits.Service{
		Link:         p.link,
		Name:         s.Name,
		Coordinators: p.coordinators,
		Hosts:        p.batchHosts,
		Stopped:      p.stoppedHosts,
		Topology:     p.topology,
		Timer:        s.timer,
		Log:          s.Log,
		Metrics:      p.childMetrics("permits"),
	}
	p.boundColdUpstreams()
	p.permits.Register()
	p.rateLimiter = &grant.Limiter{
		Link:          p.link,
		Client:        leaderClient{p.client},
		Leadership:    groupLeadership{p},
		Name:          s.Name,
		Boot:          uint64(s.timer.Now().UnixNano()),
		Groups:        int(p.ledgerGroups()),
		Overrun:       s.Settings.Fleet.RateOverrun,
		Window:        s.Settings.Fleet.RateWindow.Duration(),
		Slack:         s.Settings.Fleet.RateSlack,
		Timer:         s.timer,
		Configuration: p.distribution,
		Log:           s.Log,
		Metrics:       p.childMetrics("grant"),
	}
	if s.Settings.UsesSeeds() {
		p.rateLimiter.Hosts = p.callHosts
	}
	if s.Settings.Fleet.CutOffRates {
		p.rateLimiter.Domains = s.Settings.DomainNames()
		p.rateLimiter.FailureDomain = p.host.FailureDomain
		p.rateLimiter.Candidates = p.deputyCandidates
		p.rateLimiter.Alive = p.gossip.Alive
		p.rateLimiter.MayPromise = p.knowsDeputies
	}
	p.rateLimiter.Register()
	p.answers = &answertime.Estimates{}
	p.capacity = &capacity.Controller{Timer: s.timer, Metrics: s.metrics, Answers: p.answers}
	if s.Dialect != nil {
		p.capacity.Patience = s.Dialect.Patience
	}
	p.lane = &lane.Lane{Timer: s.timer}
	return nil
}
