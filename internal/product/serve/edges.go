package serve

import (
	"context"
	"encoding/json"

	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/wire/callerapi"
	"siskinrun/internal/wire/metricspage"
	"siskinrun/internal/wire/upstreamapi"
)

func (p *parts) buildCaller() error {
	s := p.serveHost
	l, err := s.listen(p.host.Callers)
	if err != nil {
		return err
	}
	server, _, err := p.tls(s.Settings.Fleet.TLS.Callers, "fleet.tls.callers")
	if err != nil {
		return err
	}
	m := s.Settings.Limits
	p.caller = &callerapi.Server{
		Listener:       l,
		TLS:            server,
		Pipeline:       p.pipe,
		Identifier:     p.identify,
		Batch:          p.batch,
		Ready:          p.ready,
		Timer:          s.timer,
		Log:            s.Log,
		MaxHeaderBytes: m.HeaderBytes,
		MaxBodyBytes:   m.BodyBytes,
		MaxFileBytes:   m.FileBytes,
		Concurrency:    m.Concurrency,
		ReadTimeout:    m.ReadTimeout.Duration(),
		Drain:          s.Settings.Fleet.DrainTime.Duration(),
	}
	return nil
}

func (p *parts) buildAnnounce() error {
	s := p.serveHost
	l, err := s.listen(p.host.Upstreams)
	if err != nil {
		return err
	}
	server, _, err := p.tls(s.Settings.Fleet.TLS.Upstreams, "fleet.tls.upstreams")
	if err != nil {
		return err
	}
	p.announce = &upstreamapi.Server{
		Listener: l,
		TLS:      server,
		Secret:   s.Settings.UpstreamSecret,
		Registry: announced{p.roster},
		Cache:    p.choose.ApplyCacheEvent,
		Log:      s.Log,
	}
	return nil
}

func (p *parts) buildOperator() error {
	s := p.serveHost
	l, err := s.listen(p.host.Operators)
	if err != nil {
		return err
	}
	server, _, err := p.tls(s.Settings.Fleet.TLS.Operators, "fleet.tls.operators")
	if err != nil {
		return err
	}
	p.operator = &operatorapi.Server{
		Name:          s.Name,
		Listener:      l,
		TLS:           server,
		Secret:        s.Settings.OperatorSecret,
		Configuration: p.spread,
		Client:        p.client,
		Timer:         s.timer,
		Log:           s.Log,
		Metrics:       p.child("operator"),
		MetricsText:   (&metricspage.Page{Metrics: s.metrics}).Text,
	}
	p.operator.Handle("GET", "/v1/metrics", p.showMetrics)
	p.operator.Handle("GET", "/v1/upstreams", p.showUpstreams)
	p.operator.Handle("GET", "/v1/groups", p.showGroups)
	p.operator.Handle("POST", "/v1/groups/replace", p.replace)
	p.operator.Handle("GET", "/v1/burn", p.observed.showBurn)
	p.operator.Handle("GET", "/v1/why", p.observed.showWhy)
	return nil
}

func (p *parts) showMetrics(context.Context, *operatorapi.Request) ([]byte, error) {
	return json.Marshal(p.serveHost.metrics)
}

func (p *parts) showUpstreams(context.Context, *operatorapi.Request) ([]byte, error) {
	return json.Marshal(p.roster.Upstreams())
}
