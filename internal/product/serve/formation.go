package serve

import (
	"context"
	"crypto/rand"
	"maps"
	"slices"
	"strings"
	"time"

	"siskinrun/internal/config/change"
	"siskinrun/internal/product/settings"
	"siskinrun/internal/state/formation"
	"siskinrun/internal/state/identity"
)

const (
	// formInterval is how often the leader of the configuration looks for hosts to form the ledgers with.
	formInterval = 300 * time.Millisecond
	// formSettle is how long the hosts that keep ledgers must be the same before they form, as not all start at once.
	formSettle  = time.Second
	formTimeout = 2 * time.Second
	// usualLosses is the number of disks that may be lost at once unless settings say otherwise.
	usualLosses = 1
)

// voters returns the number of voters that bear the losses of the settings.
func (p *parts) voters() int {
	n := p.serveHost.Settings.Fleet.MaxDiskLosses
	if n == 0 {
		n = usualLosses
	}
	return 2*n + 1
}

// joinControl makes the groups of this host those of a fleet that no settings list.
func (p *parts) joinControl() {
	s := p.serveHost.Settings
	c := p.control
	c.RepairAfter = s.Fleet.RepairAfter.Duration()
	c.Voters = p.voters()
	if p.register != nil {
		c.JoinOnly = !s.Fleet.MayForm
		c.LiveHosts = p.controlHosts
		return
	}
	c.Hosts = nil
	c.LiveHosts = p.ledgerHosts
	c.DecidedFormation = func() formation.Formation { return p.spread.View().Ledgers }
	c.Retiring = func(host string) bool { return p.spread.View().Retiring[host] }
}

// formLedgers decides, through the configuration's own log, which hosts keep the ledgers first.
func (p *parts) formLedgers(ctx context.Context) error {
	if p.register == nil || p.host.Stores(settings.KeepsLedgers) {
		return nil
	}
	var seen []identity.Identity
	var since time.Time
	for {
		if err := p.serveHost.timer.Sleep(ctx, formInterval); err != nil {
			return err
		}
		if !p.lead(configurationGroup).Leading || !p.register.View().Ledgers.IsZero() {
			continue
		}
		l := p.control.UnformedDisks(ctx, slices.Sorted(maps.Keys(p.ledgerHosts())))
		now := p.serveHost.timer.Now()
		if !slices.Equal(l, seen) {
			seen, since = l, now
		}
		if now.Sub(since) < formSettle {
			continue
		}
		if m := spreadOver(l, p.ledgerHosts(), p.voters()); len(m) > 0 {
			p.proposeLedgers(ctx, m)
		}
	}
}

// spreadOver picks as many disks as there should be voters, over as many failure domains as it can, or none if there are too few.
func spreadOver(l []identity.Identity, domains map[string]string, voters int) []identity.Identity {
	if len(l) < voters {
		return nil
	}
	var picked []identity.Identity
	for len(picked) < voters {
		taken := map[string]int{}
		for _, i := range picked {
			taken[domains[i.Host]]++
		}
		rest := slices.DeleteFunc(slices.Clone(l), func(i identity.Identity) bool { return slices.Contains(picked, i) })
		picked = append(picked, slices.MinFunc(rest, func(a, b identity.Identity) int {
			if d := taken[domains[a.Host]] - taken[domains[b.Host]]; d != 0 {
				return d
			}
			return strings.Compare(a.String(), b.String())
		}))
	}
	return picked
}

func (p *parts) proposeLedgers(ctx context.Context, members []identity.Identity) {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	f := formation.Formation{Cluster: rand.Text(), Coordinator: members[0], Round: 1, Members: members, Formed: true}
	c := &change.Change{ID: "form-" + f.Cluster, By: p.serveHost.Name, Kind: change.Form, Ledgers: &f}
	b, err := c.Encode()
	if err == nil {
		_, err = p.client.Propose(ctx, configurationGroup, b)
	}
	if err != nil {
		p.serveHost.Log.Warn().Err(err).Str("cluster", f.Cluster).Msg("the ledgers are not known to be formed; looking again")
		return
	}
	log := p.serveHost.Log.Info().Str("cluster", f.Cluster)
	for _, i := range members {
		log = log.Stringer("member", i)
	}
	log.Msg("ledgers formed")
}
