package serve

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/leadership"
	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/jobs/dedup"
	"siskinrun/internal/jobs/executor"
	"siskinrun/internal/jobs/runner"
	"siskinrun/internal/limits/admission"
	"siskinrun/internal/routing/planner"
	"siskinrun/internal/routing/retry"
	"siskinrun/internal/wire/accounting"
	"siskinrun/internal/wire/cancelclient"
	"siskinrun/internal/wire/dispatch"
	"siskinrun/internal/wire/orderclient"
	"siskinrun/internal/wire/pipeline"
	"siskinrun/internal/wire/transport"
)

// buildPipe makes the pipe of the calls, and what drives batch items through it.
func (p *parts) buildPipe(g *group.Group) {
	s := p.serveHost
	p.observed = p.observations()
	x := p.newExchange()
	p.pipe = &pipeline.Pipeline{
		Identifier:    &keys{identify: p.identify, group: g},
		Configuration: p.spread.View,

		FinishWithdrawn: s.Settings.Fleet.FinishWithdrawn,

		Rollout:        p.rollout,
		Admission:      &admission.Controller{Limiter: p.grant, Metrics: p.child("admit")},
		Queue:          p.capacity,
		Deduplicator:   &dedup.Deduplicator{Store: p.batch},
		Dispatcher:     p.newDispatch(x, g),
		Recorder:       &accounting.Recorder{Log: s.Log, Metrics: s.metrics, Sinks: []func(callrecord.Record){p.observed.add}},
		Jobs:           p.batch,
		Timer:          s.timer,
		DefaultTimeout: callTimeout,
	}
	p.planner = p.newPlanner(x)
	p.drive = p.newDrive()
}

// newExchange returns what sends requests to upstreams.
func (p *parts) newExchange() *transport.Transport {
	s := p.serveHost
	m := s.Settings.Limits
	x := &transport.Transport{
		Timer:           s.timer,
		IdleTimeout:     idleAge,
		BodyReadTimeout: m.StreamIdleTimeout.Duration(),
		ConnectTimeout:  m.ConnectTimeout.Duration(),
	}
	if s.Dialect != nil {
		x.Dialect = s.Dialect.Upstreams
		x.Report = p.reported
	}
	return x
}

func (p *parts) newDispatch(x *transport.Transport, g *group.Group) *dispatch.Dispatcher {
	s := p.serveHost
	d := &dispatch.Dispatcher{
		FailureDomain: p.host.FailureDomain,
		Picker:        p.choose,
		RetryBudget:   retry.NewBudget(),
		Transport:     x,
		Observer:      p.occupancy,
		Canceller:     &cancelclient.Client{Transport: x, Group: g, Timer: s.timer},
		Timer:         s.timer,
	}
	if s.Dialect != nil {
		d.PlainStreams = true
		d.Canceller = closing{}
	}
	return d
}

func (p *parts) newPlanner(x *transport.Transport) *planner.Planner {
	s := p.serveHost
	l := planner.NewPlanner()
	l.Lead = func() leadership.Status { return p.lead(configurationGroup) }
	l.Upstreams = p.roster.Upstreams
	l.Configuration = p.spread.View
	l.OnlineRequests = func(n string) int { return p.roster.Peers(n) + p.choose.OwnRequests(n) }
	l.Engines = &orderclient.Client{Transport: x, Timer: s.timer}
	l.Timer = s.timer
	l.Log = s.Log
	return l
}

func (p *parts) newDrive() *executor.Executor {
	s := p.serveHost
	return &executor.Executor{
		Host:        s.Name,
		Incarnation: hex.EncodeToString(binary.BigEndian.AppendUint64(nil, p.seed)),
		Groups:      p.groups(),
		Ledgers:     p.batch,
		Fleet:       fleet{p},
		Windows:     windows{p},
		Runner:      &runner.Runner{Pipeline: p.pipe, Upstreams: p.roster.Upstreams, Timer: s.timer},
		Timer:       s.timer,
		Log:         s.Log,
	}
}

// reported takes the load that an upstream told with an answer.
func (p *parts) reported(r loadreport.Report, at time.Time) {
	p.choose.Report(r, at)
	p.yield.Report(r, at)
}
