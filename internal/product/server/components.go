package server

import (
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/distribution"
	"siskinrun/internal/config/keyauth"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/gossip"
	"siskinrun/internal/fleet/streamregistry"
	"siskinrun/internal/jobs/assignment"
	"siskinrun/internal/jobs/batch"
	"siskinrun/internal/jobs/executor"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/internal/limits/capacity"
	"siskinrun/internal/limits/grant"
	"siskinrun/internal/limits/lane"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/routing/batchlimit"
	"siskinrun/internal/routing/inflight"
	"siskinrun/internal/routing/permits"
	"siskinrun/internal/routing/picker"
	"siskinrun/internal/routing/planner"
	"siskinrun/internal/routing/promptguard"
	"siskinrun/internal/routing/rollout"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/diskspace"
	"siskinrun/internal/state/proposal"
	"siskinrun/internal/wire/callerapi"
	"siskinrun/internal/wire/directory"
	"siskinrun/internal/wire/metricspage"
	"siskinrun/internal/wire/pipeline"
	"siskinrun/internal/wire/upstreamapi"
)

const (
	// idleTimeout is how long an unused connection to an upstream stays open.
	idleTimeout = 5 * time.Second
	// callTimeout is the timeout of calls to routes that set none.
	callTimeout = time.Minute
	seedBytes   = 8
)

// components holds the components of one host.
type components struct {
	server         *Server
	host           settings.Host
	seed           uint64
	started        time.Time
	upstreamsReady atomic.Bool
	// seeds holds the control hosts among the seeds after a reload has changed them, nil before.
	seeds atomic.Pointer[[]string]

	// diskSpace makes writes wait while the disk is full.
	diskSpace        *diskspace.Waiter
	link             *rpc.Endpoint
	control          *control.Service
	client           *proposal.Client
	store            *configstore.Store
	ledgers          map[uint32]*ledger.Ledger
	distribution     *distribution.Service
	authenticator    *keyauth.Authenticator
	directory        *directory.Directory
	gossip           *gossip.Service
	streams          *streamregistry.Registry
	guard            *promptguard.Guard
	permits          *permits.Service
	rateLimiter      *grant.Limiter
	rollout          *rollout.Rollout
	planner          *planner.Planner
	limitedUpstreams map[string]bool
	// assignment assigns the upstreams to the hosts that run batch items, as of the last list of upstreams.
	assignment     atomic.Pointer[assignment.Assignment]
	picker         *picker.Picker
	batchLimiter   *batchlimit.Limiter
	capacity       *capacity.Controller
	lane           *lane.Lane
	inflight       *inflight.Tracker
	batch          *batch.Service
	pipeline       *pipeline.Pipeline
	executor       *executor.Executor
	callerServer   *callerapi.Server
	upstreamServer *upstreamapi.Server
	operatorServer *operatorapi.Server
	// callerListener, readinessListener and controlListener are the listeners of a dialect, nil where the host has no such address.
	callerListener    net.Listener
	readinessListener net.Listener
	controlListener   net.Listener
	metricsPage       *metricspage.Page
	observations      *observations
}

// build creates the components and connects them.
func (s *Server) build(g *group.Group) (*components, error) {
	h, ok := s.Settings.Fleet.Hosts[s.Name]
	if !ok {
		return nil, unknownHost(s.Name)
	}
	p := &components{server: s, host: h, seed: newSeed(), started: s.timer.Now()}
	p.diskSpace = p.newDiskSpace(g.Context())
	for _, f := range []func() error{p.buildLink, p.buildState, p.buildLimits, p.buildRouting, p.buildBatch} {
		if err := f(); err != nil {
			return nil, err
		}
	}
	p.buildPipeline(g)
	builders := []func() error{p.buildCallerServer, p.buildUpstreamServer, p.buildOperatorServer, p.buildMetrics}
	if s.Dialect != nil {
		builders = []func() error{p.openListeners, p.buildOperatorServer, p.buildMetrics}
	}
	for _, f := range builders {
		if err := f(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func newSeed() uint64 {
	var b [seedBytes]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

func (p *components) childMetrics(name string) metrics.Registry {
	return metrics.NewPrefixedChildRegistry(p.server.metrics, name+".")
}

func (p *components) buildLink() error {
	s := p.server
	l, err := s.listen(p.host.Peers)
	if err != nil {
		return err
	}
	server, client, err := p.tlsConfigs(s.Settings.Fleet.TLS.Peers, "fleet.tls.peers")
	if err != nil {
		return err
	}
	p.link = &rpc.Endpoint{
		Name:      s.Name,
		Listener:  l,
		Peers:     s.Settings.PeerAddresses(),
		Secret:    s.Settings.PeerSecret,
		ServerTLS: server,
		ClientTLS: client,
		Dial:      s.Dial,

		ConnectTimeout: s.Settings.Limits.ConnectTimeout.Duration(),

		Timer: s.timer,
		Log:   s.Log,
	}
	p.addSeedAddresses(p.link)
	return nil
}

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
		Driver:           p.batchHost,
		RelayHost:        p.relayHost,
		RemoteRelayHosts: p.remoteRelayHosts,
		Self: gossipmessage.Host{
			Label:   p.host.Label,
			Control: p.host.Stores(settings.KeepsConfiguration),
			Ledgers: p.host.Stores(settings.KeepsLedgers),
		},
	}
	p.gossip.Register()
	p.streams = &streamregistry.Registry{
		Link:          p.link,
		Name:          s.Name,
		FailureDomain: p.host.FailureDomain,

		Hosts:   p.recordHosts,
		Timer:   s.timer,
		Metrics: p.childMetrics("streams"),
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
		Topology:     p.topology,
		Timer:        s.timer,
		Log:          s.Log,
		Metrics:      p.childMetrics("permits"),
	}
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
	p.rateLimiter.Register()
	p.capacity = &capacity.Controller{Timer: s.timer, Metrics: s.metrics}
	p.lane = &lane.Lane{Timer: s.timer}
	return nil
}

func (p *components) buildRouting() error {
	s := p.server
	p.rollout = rollout.NewRollout()
	p.distribution.Subscribe(func(c *configuration.Configuration) { p.rollout.SetModels(c.Models) })
	p.picker = picker.NewPicker(p.seed)
	p.picker.LocalityWeight = s.Settings.Fleet.Weights.Locality
	p.picker.Limits = p.permits
	p.batchLimiter = batchlimit.NewLimiter()
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
	p.gossip.Subscribe(p.applyUpstreams)
	return nil
}

// applyUpstreams applies the list of known upstreams to the rollout, the picker and the batch windows.
func (p *components) applyUpstreams(l []upstream.Upstream) {
	n := p.server.timer.Now()
	p.rollout.SetUpstreams(l)
	p.picker.SetUpstreams(l, n)
	p.permits.Retain(l)
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

func (p *components) buildBatch() error {
	s := p.server
	p.batch = &batch.Service{
		Groups:    p.ledgerGroups(),
		Replicas:  s.Settings.ControlHosts(),
		Ledgers:   p.ledgers,
		Proposer:  proposer{p.client, p},
		Peers:     p.link,
		Directory: p.directory,
		Timer:     s.timer,
		Random:    mathrand.New(mathrand.NewPCG(p.seed, newSeed())),
		Log:       s.Log,
	}
	p.batch.Register()
	return nil
}

func (p *components) buildMetrics() error {
	if p.host.Metrics == "" {
		return nil
	}
	l, err := p.server.listen(p.host.Metrics)
	p.metricsPage = &metricspage.Page{Listener: l, Metrics: p.server.metrics}
	return err
}
