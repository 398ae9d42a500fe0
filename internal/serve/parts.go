package serve

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/account"
	"siskinrun/internal/admit"
	"siskinrun/internal/announce"
	"siskinrun/internal/batch"
	"siskinrun/internal/caller"
	"siskinrun/internal/capacity"
	"siskinrun/internal/choose"
	"siskinrun/internal/configuration"
	"siskinrun/internal/control"
	"siskinrun/internal/directory"
	"siskinrun/internal/dispatch"
	"siskinrun/internal/drive"
	"siskinrun/internal/engine"
	"siskinrun/internal/exchange"
	"siskinrun/internal/folder"
	"siskinrun/internal/grant"
	"siskinrun/internal/group"
	"siskinrun/internal/identify"
	"siskinrun/internal/lead"
	"siskinrun/internal/ledger"
	"siskinrun/internal/link"
	"siskinrun/internal/machine"
	"siskinrun/internal/metricspage"
	"siskinrun/internal/news"
	"siskinrun/internal/occupancy"
	"siskinrun/internal/once"
	"siskinrun/internal/operator"
	"siskinrun/internal/orderclient"
	"siskinrun/internal/pipe"
	"siskinrun/internal/planner"
	"siskinrun/internal/proposal"
	"siskinrun/internal/record"
	"siskinrun/internal/register"
	"siskinrun/internal/report"
	"siskinrun/internal/retry"
	"siskinrun/internal/rollout"
	"siskinrun/internal/roster"
	"siskinrun/internal/runner"
	"siskinrun/internal/settings"
	"siskinrun/internal/spread"
	"siskinrun/internal/upstream"
	"siskinrun/internal/yield"
)

const (
	idleAge         = 5 * time.Second
	callTimeout     = time.Minute
	refreshInterval = 50 * time.Millisecond
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

	link      *link.Link
	control   *control.Control
	client    *proposal.Client
	register  *register.Register
	ledgers   map[uint32]*ledger.Ledger
	spread    *spread.Spread
	identify  *identify.Identify
	directory *directory.Directory
	roster    *roster.Roster
	grant     *grant.Grant
	rollout   *rollout.Rollout
	planner   *planner.Planner
	known     map[string]bool
	choose    *choose.Choose
	yield     *yield.Yield
	capacity  *capacity.Capacity
	occupancy *occupancy.Occupancy
	batch     *batch.Batch
	pipe      *pipe.Pipe
	drive     *drive.Drive
	caller    *caller.Caller
	announce  *announce.Announce
	operator  *operator.Operator
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
	p.link = &link.Link{
		Name:      s.Name,
		Listener:  l,
		Peers:     s.Settings.Peers(),
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

// dataFolder returns where the replicated state is kept, or nothing on a host without a disk.
func (p *parts) dataFolder() string {
	s := p.serveHost
	if p.host.DataFolder == "" {
		return ""
	}
	if s.Folder != "" {
		return s.Folder
	}
	return s.Settings.Path("fleet.hosts."+s.Name+".data-folder", p.host.DataFolder)
}

func (p *parts) buildState() error {
	s := p.serveHost
	p.client = &proposal.Client{Link: p.link, Hosts: s.Settings.Control(), Timer: s.timer}
	if s.Settings.Joining() {
		p.client.Known = p.keepers
	}
	if d := p.dataFolder(); d != "" {
		if err := p.buildControl(d); err != nil {
			return err
		}
	}
	p.spread = &spread.Spread{
		Name:          s.Name,
		FailureDomain: p.host.FailureDomain,
		Domains:       s.Settings.Domains(),
		Control:       s.Settings.Control(),
		Link:          p.link,
		Client:        p.client,
		Register:      p.register,
		Lease:         s.Settings.Fleet.FreshnessLease.Duration(),
		Timer:         s.timer,
		Log:           s.Log,
		Metrics:       p.child("spread"),
	}
	p.spread.Bind()
	p.identify = &identify.Identify{Spread: p.spread}
	if s.Dialect != nil {
		p.identify.Scheme = s.Dialect.Scheme
	}
	p.identify.Start()
	p.directory = &directory.Directory{View: p.spread.View}
	return nil
}

// buildControl makes the state machines of a control host and the groups that replicate them.
func (p *parts) buildControl(data string) error {
	s := p.serveHost
	p.ledgers = map[uint32]*ledger.Ledger{}
	m := map[uint32]machine.Machine{}
	if p.host.Holds(settings.KeepsConfiguration) {
		p.register = register.NewRegister()
		m[configurationGroup] = p.register
	}
	for g := uint32(1); g <= p.groups() && p.host.Holds(settings.KeepsLedgers); g++ {
		f, err := folder.NewFolder(filepath.Join(data, "ledger-"+strconv.Itoa(int(g))))
		if err != nil {
			return err
		}
		p.ledgers[g] = ledger.NewLedger(f)
		m[g] = p.ledgers[g]
	}
	p.control = &control.Control{
		Name:     s.Name,
		Folder:   data,
		Hosts:    s.Settings.Control(),
		Machines: m,
		Link:     p.link,
		Timer:    s.timer,
		Log:      s.Log,
		Metrics:  p.child("control"),
		Seed:     p.seed,
	}
	if s.Settings.Joining() {
		p.joinControl()
	}
	p.control.Register()
	p.client.Control = p.control
	return nil
}

func (p *parts) groups() uint32 {
	return uint32(p.serveHost.Settings.Fleet.LedgerGroups)
}

func (p *parts) buildLimits() error {
	s := p.serveHost
	p.roster = &roster.Roster{
		Link:          p.link,
		Name:          s.Name,
		FailureDomain: p.host.FailureDomain,
		Seed:          p.seed,
		Timer:         s.timer,
		Log:           s.Log,
		Metrics:       p.child("roster"),
		Open:          s.Settings.Joining(),
		Self: news.Host{
			Label:   p.host.Label,
			Control: p.host.Holds(settings.KeepsConfiguration),
			Ledgers: p.host.Holds(settings.KeepsLedgers),
		},
	}
	p.roster.Register()
	p.grant = &grant.Grant{
		Link:          p.link,
		Client:        groupCalls{p.client},
		Leads:         groupLeads{p},
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
	if s.Settings.Joining() {
		p.grant.Hosts = p.spenders
	}
	p.grant.Register()
	p.capacity = &capacity.Capacity{Timer: s.timer, Metrics: s.metrics}
	return nil
}

func (p *parts) buildRouting() error {
	s := p.serveHost
	p.rollout = rollout.NewRollout()
	p.spread.Subscribe(func(c *configuration.Configuration) { p.rollout.SetModels(c.Models) })
	p.choose = choose.NewChoose(p.seed)
	p.choose.LocalityWeight = s.Settings.Fleet.Weights.Locality
	p.yield = yield.NewYield()
	w := s.Settings.Fleet.Weights
	p.yield.BatchWeight = w.BatchThroughput
	p.yield.OnlineWeight = max(w.OnlineTail, w.WorstTeam)
	p.occupancy = &occupancy.Occupancy{
		Roster:  p.roster,
		Choose:  p.choose,
		Yield:   p.yield,
		Recheck: func() { p.drive.Recheck() },
		Timer:   s.timer,
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
			p.yield.Set(u.Name, u.Slots, n)
		}
	}
	for u := range p.known {
		if !now[u] {
			p.yield.Remove(u)
		}
	}
	p.known = now
}

func (p *parts) buildBatch() error {
	s := p.serveHost
	p.batch = &batch.Batch{
		Groups:    p.groups(),
		Replicas:  s.Settings.Control(),
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

func (p *parts) buildPipe(g *group.Group) {
	s := p.serveHost
	p.observed = p.observations()
	m := s.Settings.Limits
	x := &exchange.Exchange{
		Timer:          s.timer,
		IdleAge:        idleAge,
		Silence:        m.StreamSilence.Duration(),
		ConnectTimeout: m.ConnectTimeout.Duration(),
	}
	p.pipe = &pipe.Pipe{
		Identify: &keys{identify: p.identify, group: g},
		View:     p.spread.View,

		FinishWithdrawn: s.Settings.Fleet.FinishWithdrawn,

		Rollout: p.rollout,
		Admit:   &admit.Admit{Grants: p.grant, Metrics: p.child("admit")},
		Queue:   p.capacity,
		Keeper:  &once.Once{Store: p.batch},
		Dispatch: &dispatch.Dispatch{
			FailureDomain: p.host.FailureDomain,
			Choose:        p.choose,
			Retry:         retry.NewRetry(),
			Exchange:      x,
			Observe:       p.occupancy,
			Cancel:        &engine.Engine{Exchange: x, Group: g, Timer: s.timer},
			Timer:         s.timer,
		},
		Account:        &account.Account{Log: s.Log, Metrics: s.metrics, Sinks: []func(record.Record){p.observed.add}},
		Jobs:           p.batch,
		Timer:          s.timer,
		TimeoutDefault: callTimeout,
	}
	if s.Dialect != nil {
		x.Dialect = s.Dialect.Upstreams
		x.Report = p.reported
		d := p.pipe.Dispatch.(*dispatch.Dispatch)
		d.PlainStreams = true
		d.Cancel = closing{}
	}
	p.planner = planner.NewPlanner()
	p.planner.Lead = func() lead.Lead { return p.lead(0) }
	p.planner.Upstreams = p.roster.Upstreams
	p.planner.View = p.spread.View
	p.planner.Busy = func(n string) int { return p.roster.Peers(n) + p.choose.Own(n) }
	p.planner.Engines = &orderclient.Client{Exchange: x, Timer: s.timer}
	p.planner.Timer = s.timer
	p.planner.Log = s.Log
	p.drive = &drive.Drive{
		Host:        s.Name,
		Incarnation: hex.EncodeToString(binary.BigEndian.AppendUint64(nil, p.seed)),
		Groups:      p.groups(),
		Ledgers:     p.batch,
		Fleet:       fleet{p},
		Windows:     windows{p},
		Runner:      &runner.Runner{Pipe: p.pipe, Upstreams: p.roster.Upstreams, Timer: s.timer},
		Timer:       s.timer,
		Log:         s.Log,
	}
}

// reported takes the load that an upstream told with an answer.
func (p *parts) reported(r report.Report, at time.Time) {
	p.choose.Report(r, at)
	p.yield.Report(r, at)
}

func (p *parts) buildMetrics() error {
	if p.host.Metrics == "" {
		return nil
	}
	l, err := p.serveHost.listen(p.host.Metrics)
	p.metrics = &metricspage.Page{Listener: l, Metrics: p.serveHost.metrics}
	return err
}

// refresh takes the counts and reports of the fleet in until ctx ends.
func (p *parts) refresh(ctx context.Context) error {
	for {
		if err := p.serveHost.timer.Sleep(ctx, refreshInterval); err != nil {
			return err
		}
		l := p.roster.Upstreams()
		n := p.serveHost.timer.Now()
		names := make([]string, 0, len(l))
		for _, u := range l {
			names = append(names, u.Name)
			p.choose.Heard(u.Name, n.Add(-u.Age.Duration()))
			if r, at, ok := p.roster.Load(u.Name); ok {
				p.choose.Report(r, at)
				p.yield.Report(r, at)
			}
		}
		p.occupancy.Refresh(names)
		p.capacity.Update(l, p.roster.Peers, p.takers())
	}
}
