package control

import (
	"context"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/repair"
)

const (
	repairInterval = 150 * time.Millisecond
	repairTimeout  = time.Second
	greetTimeout   = 400 * time.Millisecond
)

// runRepair replaces lost voters of the groups that this host leads, one change at a time.
func (c *Service) runRepair(ctx context.Context) error {
	for {
		if err := c.Timer.Sleep(ctx, repairInterval); err != nil {
			return err
		}
		if !c.leadsAny() {
			continue
		}
		p := c.liveDisks(ctx)
		for _, g := range c.Groups() {
			c.repairGroup(ctx, g, p)
		}
	}
}

func (c *Service) leadsAny() bool {
	for _, g := range c.Groups() {
		if c.Lead(g).Leading {
			return true
		}
	}
	return false
}

// liveDisks returns the disks of the control hosts that answer and belong to this cluster.
func (c *Service) liveDisks(ctx context.Context) []identity.Identity {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	hosts := c.hosts()
	found := make([]identity.Identity, len(hosts))
	g := group.NewGroup(ctx)
	for n, h := range hosts {
		g.Go("greet", func(ctx context.Context) error {
			if w := c.greet(ctx, h); w.GetFormation().GetFormed() && w.GetFormation().GetCluster() == c.cluster() {
				found[n] = decodeIdentity(w.GetSelf())
			}
			return nil
		})
	}
	_ = g.Wait() // the goroutines return no errors
	var l []identity.Identity
	for _, i := range found {
		if !i.IsZero() {
			l = append(l, i)
		}
	}
	return l
}

// repairGroup takes the next repair step of a group that this host leads.
func (c *Service) repairGroup(ctx context.Context, g uint32, live []identity.Identity) {
	if !c.Lead(g).Leading {
		return
	}
	r := repair.Planner{
		Voters:          max(c.Voters, len(c.currentFormation().Members)),
		MaxSilence:      c.RepairAfter,
		MaxPromotionLag: caughtUpLag,
		Domain:          c.failureDomain,
		Retiring:        c.Retiring,
	}
	s := r.Next(c.Status(g), live)
	if s.IsZero() {
		return
	}
	d, err := c.driver(g)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	err = d.do(ctx, func(now time.Time) error {
		k, logMsg := stepRemove, "member removed"
		switch {
		case s.AddLearner:
			k, logMsg = stepLearn, "learner added"
		case s.Promote:
			k, logMsg = stepPromote, "voter added"
		}
		_, err := d.takeStep(now, k, s.Member)
		if err == nil {
			c.Log.Info().Uint32("group", g).Stringer("member", s.Member).Msg(logMsg)
		}
		return err
	})
	if err != nil {
		c.Log.Debug().Err(err).Uint32("group", g).Msg("repair step not taken")
	}
}

func (c *Service) failureDomain(host string) string {
	if c.LiveHosts == nil {
		return ""
	}
	return c.LiveHosts()[host]
}
