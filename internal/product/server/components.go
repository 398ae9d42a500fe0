package server

import (
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/distribution"
	"siskinrun/internal/config/keyauth"
	"siskinrun/internal/config/memberfeatures"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/gossip"
	"siskinrun/internal/fleet/streamregistry"
	"siskinrun/internal/jobs/assignment"
	"siskinrun/internal/jobs/batch"
	"siskinrun/internal/jobs/executor"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/internal/limits/admission"
	"siskinrun/internal/limits/answertime"
	"siskinrun/internal/limits/capacity"
	"siskinrun/internal/limits/drain"
	"siskinrun/internal/limits/grant"
	"siskinrun/internal/limits/lane"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/routing/batchlimit"
	"siskinrun/internal/routing/evacuation"
	"siskinrun/internal/routing/inflight"
	"siskinrun/internal/routing/permits"
	"siskinrun/internal/routing/picker"
	"siskinrun/internal/routing/planner"
	"siskinrun/internal/routing/promptguard"
	"siskinrun/internal/routing/reachability"
	"siskinrun/internal/routing/rollout"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/diskspace"
	"siskinrun/internal/state/proposal"
	"siskinrun/internal/wire/callerapi"
	"siskinrun/internal/wire/connector"
	"siskinrun/internal/wire/directory"
	"siskinrun/internal/wire/metricspage"
	"siskinrun/internal/wire/pipeline"
	"siskinrun/internal/wire/tunnel"
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
	diskSpace     *diskspace.Waiter
	link          *rpc.Endpoint
	control       *control.Service
	client        *proposal.Client
	store         *configstore.Store
	ledgers       map[uint32]*ledger.Ledger
	features      memberReports
	distribution  *distribution.Service
	authenticator *keyauth.Authenticator
	directory     *directory.Directory
	gossip        *gossip.Service
	streams       *streamregistry.Registry
	guard         *promptguard.Guard
	permits       *permits.Service
	// coldRates holds the requests a second that a cold upstream bears, by service.
	coldRates        atomic.Pointer[map[string]float64]
	rateLimiter      *grant.Limiter
	admission        *admission.Controller
	rollout          *rollout.Rollout
	planner          *planner.Planner
	limitedUpstreams map[string]bool
	// evacuation tells which upstreams may get work; all choices of upstreams, counts of slots and sends ask it.
	evacuation *evacuation.Gate
	// evacuationChanges counts the changes of evacuation.
	evacuationChanges atomic.Uint64
	// upstreamsMu orders the uses of applyUpstreams.
	upstreamsMu sync.Mutex
	// assignment assigns the upstreams to the hosts that run batch items, as of the last list of upstreams.
	assignment atomic.Pointer[assignment.Assignment]
	picker     *picker.Picker
	places     runPlaces
	paths      *reachability.Table
	// upstreams holds the known upstreams by their names.
	upstreams      atomic.Pointer[map[string]upstream.Upstream]
	connector      *connector.Connector
	tunnels        *tunnel.Service
	batchLimiter   *batchlimit.Limiter
	capacity       *capacity.Controller
	answers        *answertime.Estimates
	lane           *lane.Lane
	drain          *drain.Drain
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
	p := &components{
		server: s, host: h, seed: newSeed(), started: s.timer.Now(), evacuation: &evacuation.Gate{},
		features: memberReports{table: memberfeatures.NewTable()},
	}
	_, stopTimeout := s.Settings.Fleet.Stop()
	p.drain = &drain.Drain{Limit: stopTimeout}
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
	if s.Settings.Fleet.JobsByDeadline {
		d := &deadlines{components: p, registry: p.childMetrics("jobs-by-deadline")}
		p.batch.CompletionTime = d.completionTime
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
