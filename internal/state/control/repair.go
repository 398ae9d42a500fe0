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

// repair replaces lost voters of the groups that this host leads, one change at a time.
func (c *Control) repair(ctx context.Context) error {
	for {
		if err := c.Timer.Sleep(ctx, repairInterval); err != nil {
			return err
		}
		if !c.leadsAny() {
			continue
		}
		p := c.present(ctx)
		for _, g := range c.Groups() {
			c.repairGroup(ctx, g, p)
		}
	}
}

func (c *Control) leadsAny() bool {
	for _, g := range c.Groups() {
		if c.Lead(g).Leading {
			return true
		}
	}
	return false
}

// present returns the disks of the control hosts that answer and belong to this cluster.
func (c *Control) present(ctx context.Context) []identity.Identity {
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
	_ = g.Wait() // the greetings return no errors
	var l []identity.Identity
	for _, i := range found {
		if !i.IsZero() {
			l = append(l, i)
		}
	}
	return l
}

// repairGroup takes the next step for a group that this host leads.
func (c *Control) repairGroup(ctx context.Context, g uint32, present []identity.Identity) {
	if !c.Lead(g).Leading {
		return
	}
	r := repair.Planner{
		Voters:          max(c.Voters, len(c.current().Members)),
		MaxSilence:      c.Repair,
		MaxPromotionLag: caughtUpLag,
		Domain:          c.domain,
		Retiring:        c.Retiring,
	}
	s := r.Next(c.Status(g), present)
	if s.IsZero() {
		return
	}
	u, err := c.unit(g)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	err = u.do(ctx, func(now time.Time) error {
		k, what := stepRemove, "member removed"
		switch {
		case s.Learn:
			k, what = stepLearn, "learner added"
		case s.Promote:
			k, what = stepPromote, "voter added"
		}
		_, err := u.step(now, k, s.Member)
		if err == nil {
			c.Log.Info().Uint32("group", g).Stringer("member", s.Member).Msg(what)
		}
		return err
	})
	if err != nil {
		c.Log.Debug().Err(err).Uint32("group", g).Msg("repair waits")
	}
}

func (c *Control) domain(host string) string {
	if c.Known == nil {
		return ""
	}
	return c.Known()[host]
}
