package server

import (
	"context"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/statemachine"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/distribution"
	"siskinrun/internal/config/keyauth"
	"siskinrun/internal/jobs/filestore"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/diskspace"
	"siskinrun/internal/state/proposal"
	"siskinrun/internal/wire/directory"
)

// dataFolder returns the folder of the replicated state, or "" on a host that keeps none.
func (p *components) dataFolder() string {
	s := p.server
	if p.host.DataFolder == "" {
		return ""
	}
	if s.DataFolder != "" {
		return s.DataFolder
	}
	return s.Settings.ResolvePath("fleet.hosts."+s.Name+".data-folder", p.host.DataFolder)
}

func (p *components) buildState() error {
	s := p.server
	p.client = &proposal.Client{Link: p.link, Hosts: s.Settings.ControlHosts(), Timer: s.timer}
	if s.Settings.UsesSeeds() {
		p.client.LiveHosts = p.replicaHosts
	}
	if d := p.dataFolder(); d != "" {
		if err := p.buildControl(d); err != nil {
			return err
		}
	}
	p.distribution = &distribution.Service{
		Name:          s.Name,
		FailureDomain: p.host.FailureDomain,
		Domains:       s.Settings.FailureDomains(),
		Control:       s.Settings.ControlHosts(),
		Link:          p.link,
		Client:        p.client,
		Store:         p.store,
		Lease:         s.Settings.Fleet.FreshnessLease.Duration(),
		Evacuations:   s.Settings.Fleet.Evacuations,
		Timer:         s.timer,
		Log:           s.Log,
		Metrics:       p.childMetrics("spread"),
	}
	p.distribution.Bind()
	p.authenticator = &keyauth.Authenticator{Source: p.distribution}
	if s.Dialect != nil {
		p.authenticator.Scheme = s.Dialect.Scheme
	}
	p.authenticator.Start()
	p.directory = &directory.Directory{Configuration: p.distribution.View}
	return nil
}

// fullDiskPause is the time between two tries of a write that a full disk refuses.
const fullDiskPause = 200 * time.Millisecond

// newDiskSpace returns what makes writes wait while the disk is full, until the host stops. The replica that waits falls
// silent, so that another one leads, and goes on once there is room.
func (p *components) newDiskSpace(ctx context.Context) *diskspace.Waiter {
	s := p.server
	return &diskspace.Waiter{Pause: func(refused error) error {
		metrics.GetOrRegisterCounter("full-disk-pauses", s.metrics).Inc(1)
		s.Log.Warn().Err(refused).Msg("disk is full, write waits for room")
		return s.timer.Sleep(ctx, fullDiskPause)
	}}
}

// buildControl creates the state machines of a host with a data folder and the groups that replicate them.
func (p *components) buildControl(data string) error {
	s := p.server
	p.ledgers = map[uint32]*ledger.Ledger{}
	m := map[uint32]statemachine.Machine{}
	if p.host.Stores(settings.KeepsConfiguration) {
		p.store = configstore.NewStore()
		m[configurationGroup] = p.store
	}
	for g := uint32(1); g <= p.ledgerGroups() && p.host.Stores(settings.KeepsLedgers); g++ {
		f, err := filestore.NewStore(filepath.Join(data, "ledger-"+strconv.Itoa(int(g))))
		if err != nil {
			return err
		}
		f.Space = p.diskSpace
		p.ledgers[g] = ledger.NewLedger(f)
		m[g] = p.ledgers[g]
	}
	p.control = &control.Service{
		Name:     s.Name,
		Folder:   data,
		Hosts:    s.Settings.ControlHosts(),
		Machines: m,
		Space:    p.diskSpace,
		Link:     p.link,
		Timer:    s.timer,
		Log:      s.Log,
		Metrics:  p.childMetrics("control"),
		Seed:     p.seed,
	}
	if s.Settings.UsesSeeds() {
		p.configureJoining()
	}
	p.control.Register()
	p.client.Control = p.control
	return nil
}

func (p *components) ledgerGroups() uint32 {
	return uint32(p.server.Settings.Fleet.LedgerGroups)
}
