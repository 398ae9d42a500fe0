package server

import (
	"context"
	"encoding/json"

	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/measure/profile"
	"siskinrun/internal/wire/callerapi"
	"siskinrun/internal/wire/metricspage"
	"siskinrun/internal/wire/upstreamapi"
)

func (p *components) buildCallerServer() error {
	s := p.server
	l, err := s.listen(p.host.Callers)
	if err != nil {
		return err
	}
	server, _, err := p.tlsConfigs(s.Settings.Fleet.TLS.Callers, "fleet.tls.callers")
	if err != nil {
		return err
	}
	m := s.Settings.Limits
	drain, _ := s.Settings.Fleet.Stop()
	p.callerServer = &callerapi.Server{
		Listener:       l,
		TLS:            server,
		Pipeline:       p.pipeline,
		Identifier:     p.authenticator,
		Batch:          p.batch,
		Ready:          p.ready,
		Timer:          s.timer,
		Log:            s.Log,
		MaxHeaderBytes: m.HeaderBytes,
		MaxBodyBytes:   m.BodyBytes,
		MaxFileBytes:   m.FileBytes,
		Concurrency:    m.Concurrency,
		Guard:          s.clients,
		MaxHeaderLines: m.HeaderLines,
		ReadTimeout:    m.ReadTimeout.Duration(),
		Drain:          drain,
	}
	return nil
}

func (p *components) buildUpstreamServer() error {
	s := p.server
	l, err := s.listen(p.host.Upstreams)
	if err != nil {
		return err
	}
	server, _, err := p.tlsConfigs(s.Settings.Fleet.TLS.Upstreams, "fleet.tls.upstreams")
	if err != nil {
		return err
	}
	p.upstreamServer = &upstreamapi.Server{
		Listener: s.clients.Listener(l, server != nil),
		TLS:      server,
		Secret:   s.Settings.UpstreamSecret,
		Registry: announcements{p.gossip},
		Cache:    p.picker.ApplyCacheEvent,
		Log:      s.Log,
	}
	return nil
}

func (p *components) buildOperatorServer() error {
	s := p.server
	l, err := s.listen(p.host.Operators)
	if err != nil {
		return err
	}
	server, _, err := p.tlsConfigs(s.Settings.Fleet.TLS.Operators, "fleet.tls.operators")
	if err != nil {
		return err
	}
	p.operatorServer = &operatorapi.Server{
		Name:          s.Name,
		Listener:      s.clients.Listener(l, server != nil),
		TLS:           server,
		Secret:        s.Settings.OperatorSecret,
		Configuration: p.distribution,
		Check:         p.checkChange,
		Client:        p.client,
		Timer:         s.timer,
		Log:           s.Log,
		Metrics:       p.childMetrics("operator"),
		MetricsText:   (&metricspage.Page{Metrics: s.metrics}).Text,
	}
	p.operatorServer.Handle("GET", "/v1/metrics", p.showMetrics)
	p.operatorServer.Handle("GET", "/v1/upstreams", p.showUpstreams)
	p.operatorServer.Handle("GET", "/v1/evacuations", p.showEvacuations)
	p.operatorServer.Handle("GET", "/v1/groups", p.showGroups)
	p.operatorServer.Handle("POST", "/v1/groups/replace", p.replace)
	p.operatorServer.Handle("GET", "/v1/quarantine", p.guard.List)
	p.operatorServer.Handle("POST", "/v1/quarantine/lift", p.guard.Lift)
	p.operatorServer.Handle("GET", "/v1/burn", p.observations.showBurn)
	p.operatorServer.Handle("GET", "/v1/why", p.observations.showWhy)
	p.operatorServer.Handle("GET", "/v1/explain", p.explain)
	if s.Settings.Fleet.Profiles {
		p.operatorServer.Handle("GET", "/v1/profile", (&profile.Profiler{Timer: s.timer}).Serve)
	}
	return nil
}

func (p *components) showMetrics(context.Context, *operatorapi.Request) ([]byte, error) {
	return json.Marshal(p.server.metrics)
}

func (p *components) showUpstreams(context.Context, *operatorapi.Request) ([]byte, error) {
	return json.Marshal(p.gossip.Upstreams())
}
