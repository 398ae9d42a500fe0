package control

import (
	"context"
	"crypto/rand"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/state/formation"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/packet"
	"siskinrun/pkg/refusal"
)

const (
	methodGreet = "control/greet"
	methodForm  = "control/form"
)

// form waits until this host belongs to a formation, and coordinates the formation if this is the first of the hosts.
func (c *Service) form(ctx context.Context) error {
	for !c.formed() {
		if err := c.adoptDecided(); err != nil {
			return err
		}
		if c.formed() {
			break
		}
		all := c.greetAll(ctx)
		if err := c.adoptFormed(all); err != nil {
			return err
		}
		if first := c.initialGreetings(all); !c.formed() && len(first) == len(c.Hosts) && c.isCoordinator(first) {
			if err := c.coordinate(ctx, first); err != nil {
				return err
			}
		}
		if c.formed() {
			break
		}
		if err := c.Timer.Sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
	c.Log.Info().Str("cluster", c.formation.Cluster).Stringer("identity", c.self).Msg("formed")
	return nil
}

func (c *Service) formed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.formation.Formed
}

// isCoordinator reports whether this host forms the groups: the first of those that may. Which host does so matters to liveness
// only, since a disk promises itself to one coordinator.
func (c *Service) isCoordinator(all []*packet.Greeting) bool {
	if c.DecidedFormation != nil {
		return false
	}
	var l []string
	for _, g := range all {
		if !g.GetJoinsOnly() {
			l = append(l, g.GetSelf().GetHost())
		}
	}
	return len(l) > 0 && c.Name == slices.Min(l)
}

// joinsOnly reports whether this host may not form the groups; the caller holds the lock.
func (c *Service) joinsOnly() bool {
	return c.JoinOnly && !c.formation.MayCoordinate(c.self)
}

// initialGreetings returns the greetings of the hosts that form the groups; other hosts that have started join later.
func (c *Service) initialGreetings(all []*packet.Greeting) []*packet.Greeting {
	var l []*packet.Greeting
	for _, g := range all {
		if slices.Contains(c.Hosts, g.GetSelf().GetHost()) {
			l = append(l, g)
		}
	}
	return l
}

// greetAll returns the greetings of the hosts that answer.
func (c *Service) greetAll(ctx context.Context) []*packet.Greeting {
	var all []*packet.Greeting
	for _, h := range c.hosts() {
		if g := c.greet(ctx, h); g != nil {
			all = append(all, g)
		}
	}
	return all
}

// greet returns the greeting of a host, or nil if it does not answer.
func (c *Service) greet(ctx context.Context, host string) *packet.Greeting {
	b, err := c.Link.Call(ctx, host, methodGreet, nil)
	if err != nil {
		return nil
	}
	g := &packet.Greeting{}
	if proto.Unmarshal(b, g) != nil || g.GetSelf().GetHost() != host {
		return nil
	}
	return g
}

// hosts returns the control hosts that this host knows.
func (c *Service) hosts() []string {
	l := slices.Clone(c.Hosts)
	if c.LiveHosts != nil {
		for h := range c.LiveHosts() {
			l = append(l, h)
		}
	}
	slices.Sort(l)
	return slices.Compact(l)
}

// adoptDecided adopts a formation that was decided elsewhere.
func (c *Service) adoptDecided() error {
	if c.DecidedFormation == nil {
		return nil
	}
	f := c.DecidedFormation()
	if !f.Formed {
		return nil
	}
	return c.saveFormation(f)
}

func (c *Service) saveFormation(f formation.Formation) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.save(f)
}

// save makes a formation durable before this host uses it; the caller holds the lock.
func (c *Service) save(f formation.Formation) error {
	if err := f.Save(c.disk); err != nil {
		return err
	}
	c.formation = f
	return nil
}

// adoptFormed adopts a formation that another host knows to be complete.
func (c *Service) adoptFormed(all []*packet.Greeting) error {
	for _, g := range all {
		f := decodeFormation(g.GetFormation())
		if !f.Formed {
			continue
		}
		return c.saveFormation(f)
	}
	return nil
}

// coordinate completes a formation once every host has promised its disk to it.
func (c *Service) coordinate(ctx context.Context, all []*packet.Greeting) error {
	var m []identity.Identity
	for _, g := range all {
		m = append(m, decodeIdentity(g.GetSelf()))
	}
	f := c.currentFormation().NextProposal(rand.Text(), c.self, m)
	if err := c.promise(f); err != nil {
		c.Log.Error().Err(err).Msg("formation could not be proposed")
		return unlessRefusal(err)
	}
	b, err := proto.Marshal(encodeFormation(f))
	if err != nil {
		return errors.Wrap(err, "encode a formation")
	}
	for _, h := range c.Hosts {
		if h == c.Name {
			continue
		}
		if _, err := c.Link.Call(ctx, h, methodForm, b); err != nil {
			c.Log.Warn().Err(err).Str("peer", h).Msg("host did not promise itself to the formation")
			return nil
		}
	}
	return c.complete(f)
}

func (c *Service) currentFormation() formation.Formation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.formation
}

// promise promises this disk to a proposed formation.
func (c *Service) promise(f formation.Formation) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self.IsZero() || !c.formation.MayPromise(f, c.self) {
		return refusal.NewNotRun(409, "promised", "this disk is promised to another formation")
	}
	return c.save(f)
}

// complete marks the formation as formed, once every member has made its promise to this coordinator.
func (c *Service) complete(f formation.Formation) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.formation.Cluster != f.Cluster || c.formation.Round != f.Round {
		return nil
	}
	f.Formed = true
	return c.save(f)
}

// unlessRefusal returns err unless it is a refusal, after which the host retries.
func unlessRefusal(err error) error {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return nil
	}
	return err
}

// onGreet answers with the identity of this host and the formation that it knows.
func (c *Service) onGreet(context.Context, string, []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self.IsZero() {
		return nil, refusal.NewNotRun(503, "starting", "this host is starting")
	}
	return proto.Marshal(&packet.Greeting{
		Self: encodeIdentity(c.self), Formation: encodeFormation(c.formation), JoinsOnly: c.joinsOnly(),
	})
}

// onForm promises this disk to a coordinator's formation.
func (c *Service) onForm(_ context.Context, from string, body []byte) ([]byte, error) {
	p := &packet.Formation{}
	if err := proto.Unmarshal(body, p); err != nil {
		return nil, errors.Wrap(err, "decode a formation")
	}
	f := decodeFormation(p)
	f.Formed = false
	if f.Coordinator.Host != from {
		return nil, refusal.NewNotRun(403, "other-host", "only the coordinator may ask for a promise")
	}
	return nil, c.promise(f)
}

// UnformedDisks returns the disks of those given hosts that answer and belong to no formation, in the order of hosts.
func (c *Service) UnformedDisks(ctx context.Context, hosts []string) []identity.Identity {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var l []identity.Identity
	for _, h := range hosts {
		g := c.greet(ctx, h)
		if g != nil && !g.GetFormation().GetFormed() {
			l = append(l, decodeIdentity(g.GetSelf()))
		}
	}
	return l
}
