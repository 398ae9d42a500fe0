package server

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/rcrowley/go-metrics"

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
	"siskinrun/internal/routing/subset"
	"siskinrun/internal/wire/accounting"
	"siskinrun/internal/wire/cancelclient"
	"siskinrun/internal/wire/dispatch"
	"siskinrun/internal/wire/orderclient"
	"siskinrun/internal/wire/pipeline"
	"siskinrun/internal/wire/transport"
)

// buildPipeline creates the pipeline of calls, the planner, and the executor that runs batch items through the pipeline.
func (p *components) buildPipeline(g *group.Group) {
	s := p.server
	p.observations = p.newObservations()
	p.streams.Group = g
	p.admission = &admission.Controller{Limiter: p.rateLimiter, GivesBack: s.Settings.Fleet.GiveBackRate, Metrics: p.childMetrics("admit")}
	x := p.newTransport()
	g.Go("idle-connections", x.Run)
	p.buildConnector(g, x)
	p.pipeline = &pipeline.Pipeline{
		Identifier:    &keyWatcher{authenticator: p.authenticator, group: g},
		Configuration: p.distribution.View,

		FinishWithdrawn: s.Settings.Fleet.FinishWithdrawn,

		Rollout:        p.rollout,
		Admission:      p.admission,
		Queue:          p.capacity,
		Lane:           p.lane,
		Answers:        p.answers,
		Deduplicator:   &dedup.Deduplicator{Store: p.batch},
		Dispatcher:     p.newDispatcher(x, g),
		Recorder:       &accounting.Recorder{Log: s.Log, Metrics: s.metrics, Sinks: []func(callrecord.Record){p.observations.add}},
		Jobs:           p.batch,
		Streams:        p.streams,
		Guard:          p.guard,
		Drain:          p.drain,
		Upstreams:      p.picker,
		Timer:          s.timer,
		DefaultTimeout: callTimeout,
	}
	p.planner = p.newPlanner(x)
	p.executor = p.newExecutor()
	p.batch.ClaimHosts, p.batch.Held = p.claimHosts, p.executor.Held
}

// newTransport returns the transport to upstreams.
func (p *components) newTransport() *transport.Transport {
	s := p.server
	m := s.Settings.Limits
	x := &transport.Transport{
		Timer:           s.timer,
		IdleTimeout:     idleTimeout,
		MaxIdle:         m.IdleUpstreamConnections(),
		BodyReadTimeout: m.StreamIdleTimeout.Duration(),
		ConnectTimeout:  m.ConnectTimeout.Duration(),
		RateLimit:       p.permits.Observe,
		Gate:            p.evacuation,
		Log:             s.Log,
		Opened:          metrics.GetOrRegisterCounter("opened", p.childMetrics("upstream-connections")),
		Reused:          metrics.GetOrRegisterCounter("reused", p.childMetrics("upstream-connections")),
		ReuseProven:     s.Settings.Fleet.PreferredUpstreams,
	}
	if s.Settings.Fleet.PreferredUpstreams {
		p.picker.Preferred = &subset.Chooser{Host: s.Name, FailureDomain: p.host.FailureDomain, KeepTime: x.KeepTime}
	}
	if s.Dialect != nil {
		x.Dialect = s.Dialect.Upstreams
		x.Report = p.applyReport
		x.Leaving = p.endIncarnation
	}
	return x
}

func (p *components) newDispatcher(x *transport.Transport, g *group.Group) *dispatch.Dispatcher {
	s := p.server
	d := &dispatch.Dispatcher{
		FailureDomain: p.host.FailureDomain,
		Picker:        p.picker,
		Permits:       p.permits,
		Gate:          p.evacuation,
		RetryBudget:   retry.NewBudget(),
		Transport:     x,
		Observer:      p.inflight,
		Streams:       p.streams,
		Guard:         p.guard,
		Paths:         p.connector,
		Canceller:     &cancelclient.Client{Transport: x, Group: g, Timer: s.timer},
		Timer:         s.timer,
		Log:           s.Log,
	}
	if s.Dialect != nil {
		d.PlainStreams = true
		d.Canceller = noCancel{}
	}
	return d
}

func (p *components) newPlanner(x *transport.Transport) *planner.Planner {
	s := p.server
	l := planner.NewPlanner()
	l.Lead = func() leadership.Status { return p.leadership(configurationGroup) }
	l.Upstreams = p.openUpstreams
	l.Configuration = p.distribution.View
	l.OnlineRequests = func(n string) int { return p.gossip.Peers(n) + p.picker.OwnRequests(n) }
	l.Engines = openEngines{&orderclient.Client{Transport: x, Timer: s.timer}, p}
	l.Timer = s.timer
	l.Log = s.Log
	return l
}

func (p *components) newExecutor() *executor.Executor {
	s := p.server
	r := &runner.Runner{
		Pipeline:     p.pipeline,
		Router:       p.pipeline,
		VersionFresh: func(name string) bool { return p.picker.VersionFresh(name, s.timer.Now()) },
		Upstreams:    p.openUpstreams,
		Timer:        s.timer,
		Silence:      s.Settings.Limits.StreamIdleTimeout.Duration(),
		Memory:       s.newItemMemory(),
	}
	return &executor.Executor{
		Host:        s.Name,
		Incarnation: hex.EncodeToString(binary.BigEndian.AppendUint64(nil, p.seed)),
		Groups:      p.ledgerGroups(),
		Ledgers:     p.batch,
		Fleet:       fleet{p},
		Windows:     batchWindows{p},
		Places:      executorPlaces{p},
		Metrics:     p.childMetrics("batch-runs"),
		Routes:      itemRoutes{r, p},
		Runner:      r,
		Timer:       s.timer,
		Log:         s.Log,
	}
}

// endIncarnation ends the incarnation of an upstream that says with an answer that it leaves: at once on this host, and
// with urgent news on the others.
func (p *components) endIncarnation(name string, incarnation uint64) {
	if p.gossip.Leave(name, incarnation) {
		p.server.Log.Info().Str("upstream", name).Uint64("incarnation", incarnation).Msg("upstream says with its answer that it leaves")
	}
}

// applyReport applies a load report that came with an upstream's answer.
func (p *components) applyReport(r loadreport.Report, at time.Time) {
	p.places.note(r.Upstream, r.Pace, at)
	p.picker.Report(r, at)
	p.batchLimiter.Report(r, at)
	if r.Pace > 0 {
		p.gossip.SetPace(r.Upstream, r.Pace)
	}
}
