package server

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
	// formInterval is how often the leader of the configuration group looks for hosts that can form the ledgers.
	formInterval = 300 * time.Millisecond
	// formSettle is how long the set of unformed disks must stay the same before the ledgers form, since hosts do not all
	// start at once.
	formSettle = time.Second
	// formTimeout bounds a proposal to form the ledgers.
	formTimeout = 2 * time.Second
	// defaultDiskLosses is the number of disks that may be lost at once if the settings name none.
	defaultDiskLosses = 1
)

// voters returns the number of voters in a group that survives the disk losses of the settings.
func (p *components) voters() int {
	n := p.server.Settings.Fleet.MaxDiskLosses
	if n == 0 {
		n = defaultDiskLosses
	}
	return 2*n + 1
}

// configureJoining sets up the replica groups of a host in a fleet that is joined through seeds, whose hosts no settings list.
func (p *components) configureJoining() {
	s := p.server.Settings
	c := p.control
	c.RepairAfter = s.Fleet.RepairAfter.Duration()
	c.Voters = p.voters()
	if p.store != nil {
		c.JoinOnly = !s.Fleet.MayForm
		c.LiveHosts = p.controlHosts
		return
	}
	c.Hosts = nil
	c.LiveHosts = p.ledgerHosts
	c.DecidedFormation = func() formation.Formation { return p.distribution.View().Ledgers }
	c.Retiring = func(host string) bool { return p.distribution.View().Retiring[host] }
}

// formLedgers proposes the first members of the ledger groups through the log of the configuration group.
//
// Only the leader of that group proposes, and only until the configuration holds a formation.
func (p *components) formLedgers(ctx context.Context) error {
	if p.store == nil || p.host.Stores(settings.KeepsLedgers) {
		return nil
	}
	var seen []identity.Identity
	var since time.Time
	for {
		if err := p.server.timer.Sleep(ctx, formInterval); err != nil {
			return err
		}
		if !p.leadership(configurationGroup).Leading || !p.store.View().Ledgers.IsZero() {
			continue
		}
		l := p.control.UnformedDisks(ctx, slices.Sorted(maps.Keys(p.ledgerHosts())))
		now := p.server.timer.Now()
		if !slices.Equal(l, seen) {
			seen, since = l, now
		}
		if now.Sub(since) < formSettle {
			continue
		}
		if m := pickDisks(l, p.ledgerHosts(), p.voters()); len(m) > 0 {
			p.proposeLedgers(ctx, m)
		}
	}
}

// pickDisks picks one disk for each voter, from as many failure domains as it can, or none if there are too few disks.
func pickDisks(l []identity.Identity, domains map[string]string, voters int) []identity.Identity {
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

func (p *components) proposeLedgers(ctx context.Context, members []identity.Identity) {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	f := formation.Formation{Cluster: rand.Text(), Coordinator: members[0], Round: 1, Members: members, Formed: true}
	c := &change.Change{ID: "form-" + f.Cluster, By: p.server.Name, Kind: change.Form, Ledgers: &f}
	b, err := c.Encode()
	if err == nil {
		_, err = p.client.Propose(ctx, configurationGroup, b)
	}
	if err != nil {
		p.server.Log.Warn().Err(err).Str("cluster", f.Cluster).Msg("cannot confirm that the ledgers are formed, will try again")
		return
	}
	log := p.server.Log.Info().Str("cluster", f.Cluster)
	for _, i := range members {
		log = log.Stringer("member", i)
	}
	log.Msg("ledgers formed")
}
