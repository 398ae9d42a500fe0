package server

import (
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/batchlimit"
	"siskinrun/internal/routing/inflight"
	"siskinrun/internal/routing/picker"
	"siskinrun/internal/routing/reachability"
	"siskinrun/internal/routing/rollout"
)

// heartbeatsPerVersionTTL is the number of heartbeats of an upstream after which its version is no longer certain. News of it
// is renewed at each second heartbeat and takes some exchanges between hosts.
const heartbeatsPerVersionTTL = 6

func (p *components) buildRouting() error {
	s := p.server
	p.rollout = rollout.NewRollout()
	p.distribution.Subscribe(func(c *configuration.Configuration) { p.rollout.SetModels(c.Models) })
	p.picker = picker.NewPicker(p.seed)
	p.picker.LocalityWeight = s.Settings.Fleet.Weights.Locality
	p.picker.DomainTraffic = s.Settings.Fleet.DomainTraffic
	p.places.scope = s.Settings.Fleet.WholeBatchRuns
	p.picker.Limits = p.permits
	p.picker.VersionTTL = heartbeatsPerVersionTTL * s.Settings.Fleet.HeartbeatInterval.Duration()
	p.picker.HeardAt = p.gossip.HeardAt
	p.paths = reachability.NewTable(p.host.FailureDomain, p.seed)
	p.picker.Paths = p.paths
	p.picker.RunsWhole = p.places.runsWhole
	p.batchLimiter = batchlimit.NewLimiter()
	p.batchLimiter.RunsWhole = p.places.runsWhole
	w := s.Settings.Fleet.Weights
	p.batchLimiter.BatchWeight = w.BatchThroughput
	p.batchLimiter.OnlineWeight = max(w.OnlineTail, w.WorstTeam)
	p.inflight = &inflight.Tracker{
		Gossip:       p.gossip,
		Picker:       p.picker,
		BatchLimiter: p.batchLimiter,
		Recheck:      func() { p.executor.Recheck() },
		Timer:        s.timer,
	}
	p.picker.Gate = p.evacuation
	p.gossip.Subscribe(p.reapplyUpstreams)
	p.distribution.Subscribe(p.applyEvacuations)
	p.distribution.Subscribe(p.applyColdRates)
	return nil
}

// reapplyUpstreams applies the newest list of upstreams; upstreams and evacuations change at the same time.
func (p *components) reapplyUpstreams([]upstream.Upstream) {
	p.upstreamsMu.Lock()
	defer p.upstreamsMu.Unlock()
	p.applyUpstreams(p.gossip.Upstreams())
}

// applyUpstreams applies the list of known upstreams to the rollout, the picker and the batch windows.
func (p *components) applyUpstreams(l []upstream.Upstream) {
	n := p.server.timer.Now()
	closed := p.evacuation.Closed(l)
	p.capacity.SetClosed(closed)
	p.lane.SetClosed(closed)
	p.permits.SetUpstreams(l)
	p.rollout.SetUpstreams(p.evacuation.Filter(l))
	p.picker.SetUpstreams(l, n)
	p.permits.Retain(l)
	p.paths.SetUpstreams(l)
	p.indexUpstreams(l)
	now := map[string]bool{}
	for _, u := range l {
		if !u.Leaving {
			now[u.Name] = true
			p.batchLimiter.SetEngine(u.Name, u.Slots, n)
		}
	}
	for u := range p.limitedUpstreams {
		if !now[u] {
			p.batchLimiter.RemoveEngine(u)
		}
	}
	p.limitedUpstreams = now
}
