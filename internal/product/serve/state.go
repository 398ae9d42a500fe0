package serve

import (
	"path/filepath"
	"strconv"

	"siskinrun/internal/base/statemachine"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/distribution"
	"siskinrun/internal/config/keyauth"
	"siskinrun/internal/jobs/filestore"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/proposal"
	"siskinrun/internal/wire/directory"
)

// dataFolder returns where the replicated state is kept, or nothing on a host without a disk.
func (p *parts) dataFolder() string {
	s := p.serveHost
	if p.host.DataFolder == "" {
		return ""
	}
	if s.Folder != "" {
		return s.Folder
	}
	return s.Settings.ResolvePath("fleet.hosts."+s.Name+".data-folder", p.host.DataFolder)
}

func (p *parts) buildState() error {
	s := p.serveHost
	p.client = &proposal.Client{Link: p.link, Hosts: s.Settings.ControlHosts(), Timer: s.timer}
	if s.Settings.UsesSeeds() {
		p.client.LiveHosts = p.keepers
	}
	if d := p.dataFolder(); d != "" {
		if err := p.buildControl(d); err != nil {
			return err
		}
	}
	p.spread = &distribution.Service{
		Name:          s.Name,
		FailureDomain: p.host.FailureDomain,
		Domains:       s.Settings.FailureDomains(),
		Control:       s.Settings.ControlHosts(),
		Link:          p.link,
		Client:        p.client,
		Store:         p.register,
		Lease:         s.Settings.Fleet.FreshnessLease.Duration(),
		Timer:         s.timer,
		Log:           s.Log,
		Metrics:       p.child("spread"),
	}
	p.spread.Bind()
	p.identify = &keyauth.Authenticator{Source: p.spread}
	if s.Dialect != nil {
		p.identify.Scheme = s.Dialect.Scheme
	}
	p.identify.Start()
	p.directory = &directory.Directory{Configuration: p.spread.View}
	return nil
}

// buildControl makes the state machines of a control host and the groups that replicate them.
func (p *parts) buildControl(data string) error {
	s := p.serveHost
	p.ledgers = map[uint32]*ledger.Ledger{}
	m := map[uint32]statemachine.Machine{}
	if p.host.Stores(settings.KeepsConfiguration) {
		p.register = configstore.NewStore()
		m[configurationGroup] = p.register
	}
	for g := uint32(1); g <= p.groups() && p.host.Stores(settings.KeepsLedgers); g++ {
		f, err := filestore.NewStore(filepath.Join(data, "ledger-"+strconv.Itoa(int(g))))
		if err != nil {
			return err
		}
		p.ledgers[g] = ledger.NewLedger(f)
		m[g] = p.ledgers[g]
	}
	p.control = &control.Service{
		Name:     s.Name,
		Folder:   data,
		Hosts:    s.Settings.ControlHosts(),
		Machines: m,
		Link:     p.link,
		Timer:    s.timer,
		Log:      s.Log,
		Metrics:  p.child("control"),
		Seed:     p.seed,
	}
	if s.Settings.UsesSeeds() {
		p.joinControl()
	}
	p.control.Register()
	p.client.Control = p.control
	return nil
}

func (p *parts) groups() uint32 {
	return uint32(p.serveHost.Settings.Fleet.LedgerGroups)
}
