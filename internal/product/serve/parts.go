package serve

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
	"siskinrun/internal/jobs/assignment"
	"siskinrun/internal/jobs/batch"
	"siskinrun/internal/jobs/executor"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/internal/limits/capacity"
	"siskinrun/internal/limits/grant"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/routing/batchlimit"
	"siskinrun/internal/routing/inflight"
	"siskinrun/internal/routing/picker"
	"siskinrun/internal/routing/planner"
	"siskinrun/internal/routing/rollout"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/proposal"
	"siskinrun/internal/wire/callerapi"
	"siskinrun/internal/wire/directory"
	"siskinrun/internal/wire/metricspage"
	"siskinrun/internal/wire/pipeline"
	"siskinrun/internal/wire/upstreamapi"
)

const (
	idleAge         = 5 * time.Second
	callTimeout     = time.Minute
	incarnationSize = 8
)

// parts are the parts of one host.
type parts struct {
	serveHost *Serve
	host      settings.Host
	seed      uint64
	started   time.Time
	settled   atomic.Bool
	// seeds replaces the seeds of the settings once these have changed.
	seeds atomic.Pointer[[]string]

	link      *rpc.Endpoint
	control   *control.Service
	client    *proposal.Client
	register  *configstore.Store
	ledgers   map[uint32]*ledger.Ledger
	spread    *distribution.Service
	identify  *keyauth.Authenticator
	directory *directory.Directory
	roster    *gossip.Service
	grant     *grant.Limiter
	rollout   *rollout.Rollout
	planner   *planner.Planner
	known     map[string]bool
	// driving spreads the upstreams over the hosts that drive batch work, as known at the last look.
	driving   atomic.Pointer[assignment.Assignment]
	choose    *picker.Picker
	yield     *batchlimit.Limiter
	capacity  *capacity.Controller
	occupancy *inflight.Tracker
	batch     *batch.Service
	pipe      *pipeline.Pipeline
	drive     *executor.Executor
	caller    *callerapi.Server
	announce  *upstreamapi.Server
	operator  *operatorapi.Server
	// callers, readiness and orders are the listeners of a dialect, nil where the host has no such address.
	callers   net.Listener
	readiness net.Listener
	orders    net.Listener
	metrics   *metricspage.Page
	observed  *observations
}

// build makes and wires the parts.
func (s *Serve) build(g *group.Group) (*parts, error) {
	h, ok := s.Settings.Fleet.Hosts[s.Name]
	if !ok {
		return nil, unknownHost(s.Name)
	}
	p := &parts{serveHost: s, host: h, seed: newSeed(), started: s.timer.Now()}
	for _, f := range []func() error{p.buildLink, p.buildState, p.buildLimits, p.buildRouting, p.buildBatch} {
		if err := f(); err != nil {
			return nil, err
		}
	}
	p.buildPipe(g)
	doors := []func() error{p.buildCaller, p.buildAnnounce, p.buildOperator, p.buildMetrics}
	if s.Dialect != nil {
		doors = []func() error{p.listenAll, p.buildOperator, p.buildMetrics}
	}
	for _, f := range doors {
		if err := f(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func newSeed() uint64 {
	var b [incarnationSize]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

func (p *parts) child(name string) metrics.Registry {
	return metrics.NewPrefixedChildRegistry(p.serveHost.metrics, name+".")
}

func (p *parts) buildLink() error {
	s := p.serveHost
	l, err := s.listen(p.host.Peers)
	if err != nil {
		return err
	}
	server, client, err := p.tls(s.Settings.Fleet.TLS.Peers, "fleet.tls.peers")
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
	p.join(p.link)
	return nil
}

func (p *parts) buildLimits() error {
	s := p.serveHost
	p.roster = &gossip.Service{
		Link:          p.link,
		Name:          s.Name,
		FailureDomain: p.host.FailureDomain,
		Seed:          p.seed,
		Timer:         s.timer,
		Log:           s.Log,
		Metrics:       p.child("roster"),
		Open:          s.Settings.UsesSeeds(),
		Driver:        p.driver,
		Self: gossipmessage.Host{
			Label:   p.host.Label,
			Control: p.host.Stores(settings.KeepsConfiguration),
			Ledgers: p.host.Stores(settings.KeepsLedgers),
		},
	}
	p.roster.Register()
	p.grant = &grant.Limiter{
		Link:          p.link,
		Client:        groupCalls{p.client},
		Leadership:    groupLeads{p},
		Name:          s.Name,
		Boot:          uint64(s.timer.Now().UnixNano()),
		Groups:        int(p.groups()),
		Overrun:       s.Settings.Fleet.RateOverrun,
		Window:        s.Settings.Fleet.RateWindow.Duration(),
		Slack:         s.Settings.Fleet.RateSlack,
		Timer:         s.timer,
		Configuration: p.spread,
		Log:           s.Log,
		Metrics:       p.child("grant"),
	}
	if s.Settings.UsesSeeds() {
		p.grant.Hosts = p.spenders
	}
	p.grant.Register()
	p.capacity = &capacity.Controller{Timer: s.timer, Metrics: s.metrics}
	return nil
}

func (p *parts) buildRouting() error {
	s := p.serveHost
	p.rollout = rollout.NewRollout()
	p.spread.Subscribe(func(c *configuration.Configuration) { p.rollout.SetModels(c.Models) })
	p.choose = picker.NewPicker(p.seed)
	p.choose.LocalityWeight = s.Settings.Fleet.Weights.Locality
	p.yield = batchlimit.NewLimiter()
	w := s.Settings.Fleet.Weights
	p.yield.BatchWeight = w.BatchThroughput
	p.yield.OnlineWeight = max(w.OnlineTail, w.WorstTeam)
	p.occupancy = &inflight.Tracker{
		Roster:       p.roster,
		Picker:       p.choose,
		BatchLimiter: p.yield,
		Recheck:      func() { p.drive.Recheck() },
		Timer:        s.timer,
	}
	p.roster.Subscribe(p.upstreams)
	return nil
}

// upstreams takes the upstreams known now into the choice and the batch windows.
func (p *parts) upstreams(l []upstream.Upstream) {
	n := p.serveHost.timer.Now()
	p.rollout.SetUpstreams(l)
	p.choose.SetUpstreams(l, n)
	now := map[string]bool{}
	for _, u := range l {
		if !u.Leaving {
			now[u.Name] = true
			p.yield.SetEngine(u.Name, u.Slots, n)
		}
	}
	for u := range p.known {
		if !now[u] {
			p.yield.RemoveEngine(u)
		}
	}
	p.known = now
}

func (p *parts) buildBatch() error {
	s := p.serveHost
	p.batch = &batch.Service{
		Groups:    p.groups(),
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

func (p *parts) buildMetrics() error {
	if p.host.Metrics == "" {
		return nil
	}
	l, err := p.serveHost.listen(p.host.Metrics)
	p.metrics = &metricspage.Page{Listener: l, Metrics: p.serveHost.metrics}
	return err
}
