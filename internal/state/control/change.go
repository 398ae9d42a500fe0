package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/packet"
	"siskinrun/internal/state/replica"
	"siskinrun/pkg/refusal"
)

// memberStep is one step of replacing a member.
type memberStep uint32

const (
	stepLearn memberStep = iota + 1
	stepPromote
	stepRemove
)

// Transfer hands the leadership of a group to the named host.
func (c *Service) Transfer(ctx context.Context, group uint32, to string) error {
	d, err := c.driver(group)
	if err != nil {
		return err
	}
	return d.do(ctx, func(now time.Time) error {
		for _, i := range d.replica.Members().Voters {
			if i.Host == to {
				return asRefusal(d, d.replica.Transfer(now, i))
			}
		}
		return refusal.NewNotRun(404, "unknown-host", "the group has no voter named "+to)
	})
}

// Drain transfers all leaderships of this host and returns once other hosts lead or ctx ends.
func (c *Service) Drain(ctx context.Context) error {
	for {
		left := false
		for _, g := range c.Groups() {
			d, err := c.driver(g)
			if err != nil {
				return err
			}
			err = d.do(ctx, d.giveUpLeadership)
			left = left || err != nil && !errors.Is(err, errNoOtherVoter)
		}
		if !left {
			return nil
		}
		if err := c.Timer.Sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// giveUpLeadership transfers the leadership, if this host has it, and fails until another host leads.
func (d *driver) giveUpLeadership(now time.Time) error {
	d.replica.DeferElections(now)
	l := d.replica.Leader()
	if !l.IsZero() && l != d.replica.Self {
		return nil
	}
	if err := d.transferToBest(now); errors.Is(err, errNoOtherVoter) {
		return err
	}
	return notLeader(l.Host)
}

// errNoOtherVoter is returned if no other member could lead.
var errNoOtherVoter = errors.New("control: the group has no other voter to lead it")

// transferToBest transfers the leadership to the live voter whose log is the most complete.
func (d *driver) transferToBest(now time.Time) error {
	if len(d.replica.Members().Voters) == 1 {
		return errNoOtherVoter
	}
	var best identity.Identity
	for _, i := range d.replica.Members().Voters {
		if i == d.replica.Self || now.Sub(d.replica.LastContact(i)) > replica.ElectionTimeout {
			continue
		}
		if best.IsZero() || d.replica.MatchIndex(i) > d.replica.MatchIndex(best) {
			best = i
		}
	}
	if best.IsZero() {
		return notLeader("")
	}
	return asRefusal(d, d.replica.Transfer(now, best))
}

// Replace replaces an old member by the disk of a new host in all groups, one membership change at a time.
func (c *Service) Replace(ctx context.Context, old identity.Identity, host string) error {
	groups := c.Groups()
	if len(groups) < len(c.Machines) {
		return refusal.NewNotRun(503, codeStarting, "this host has not opened its groups yet").WithRetryAfter(time.Second)
	}
	b, err := c.Link.Call(ctx, host, methodGreet, nil)
	if err != nil {
		return err
	}
	g := &packet.Greeting{}
	if err := proto.Unmarshal(b, g); err != nil {
		return errors.Wrap(err, "decode a greeting")
	}
	n := decodeIdentity(g.GetSelf())
	if n == old || n.IsZero() {
		return refusal.NewNotRun(409, "same-disk", "the new member has the same disk identity as the old one")
	}
	if g.GetFormation().GetCluster() != c.cluster() || !g.GetFormation().GetFormed() {
		return refusal.NewNotRun(409, "other-cluster", "the new member has not joined this cluster yet")
	}
	for _, group := range groups {
		if err := c.checkReplacement(group, old, n); err != nil {
			return err
		}
	}
	for _, group := range groups {
		for _, s := range []struct {
			step   memberStep
			member identity.Identity
		}{{stepLearn, n}, {stepPromote, n}, {stepRemove, old}} {
			if err := c.repeatStep(ctx, group, s.step, s.member); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkReplacement refuses a replacement that would leave a group with fewer or more voters than it was formed with.
func (c *Service) checkReplacement(group uint32, old, n identity.Identity) error {
	var isMember, isVoter bool
	voters := 0
	for _, m := range c.Status(group).Members {
		isMember = isMember || m.Identity == old
		isVoter = isVoter || m.Identity == n && m.Voter
		if m.Voter {
			voters++
		}
	}
	if !isMember && !isVoter {
		return refusal.NewNotRun(404, "unknown-host", "no member has the identity of the old host")
	}
	if isMember && isVoter && voters <= len(c.formation.Members) {
		return refusal.NewNotRun(409, "already-member", "the new host is already a member")
	}
	return nil
}

// repeatStep requests a step from the leader until the step is in force.
func (c *Service) repeatStep(ctx context.Context, group uint32, s memberStep, i identity.Identity) error {
	b, err := proto.Marshal(&packet.Change{Group: group, Step: uint32(s), Member: encodeIdentity(i)})
	if err != nil {
		return errors.Wrap(err, "encode a change")
	}
	for try := 0; ; try++ {
		to, err := c.leaderOf(group, try)
		if err != nil {
			return err
		}
		r, err := c.Link.Call(ctx, to, methodChange, b)
		o := &packet.Outcome{}
		if err == nil && proto.Unmarshal(r, o) == nil && o.GetDone() {
			return nil
		}
		if err := c.Timer.Sleep(ctx, retryInterval); err != nil {
			return refusal.NewMayHaveRun(504, codeOutcomeUnknown, "the replacement is not complete; repeat the request to continue it")
		}
	}
}

// leaderOf returns the leader of a group, or tries one host after another while no leader is known.
func (c *Service) leaderOf(group uint32, try int) (string, error) {
	d, err := c.driver(group)
	if err != nil {
		return "", err
	}
	if l := d.leader().Host; l != "" {
		return l, nil
	}
	l := c.hosts()
	return l[try%len(l)], nil
}

// onChange takes one step of a replacement on the leader and answers whether the step is in force.
func (c *Service) onChange(ctx context.Context, _ string, body []byte) ([]byte, error) {
	p := &packet.Change{}
	if err := proto.Unmarshal(body, p); err != nil {
		return nil, undecodable(err)
	}
	d, err := c.driver(p.GetGroup())
	if err != nil {
		return nil, err
	}
	i := decodeIdentity(p.GetMember())
	done := false
	err = d.do(ctx, func(now time.Time) error {
		var err error
		done, err = d.takeStep(now, memberStep(p.GetStep()), i)
		return asRefusal(d, err)
	})
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&packet.Outcome{Done: done})
}

// takeStep starts a step if needed and reports whether it is in force.
func (d *driver) takeStep(now time.Time, s memberStep, i identity.Identity) (bool, error) {
	r := d.replica
	if !r.Leading() {
		return false, replica.ErrNotLeader
	}
	q := r.Members()
	inForce := false
	var err error
	switch s {
	case stepLearn:
		inForce = q.HasVoter(i) || q.HasLearner(i)
		err = r.AddLearner(i)
	case stepPromote:
		inForce = q.HasVoter(i)
		err = r.Promote(i)
	case stepRemove:
		inForce = !q.HasVoter(i) && !q.HasLearner(i)
		if i == r.Self {
			return false, d.transferToBest(now)
		}
		err = r.Remove(i)
	}
	return inForce && r.MembersCommitted(), err
}

// asRefusal converts an error of the replica to a refusal.
func asRefusal(d *driver, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replica.ErrNotLeader):
		return notLeader(d.replica.Leader().Host)
	case errors.Is(err, replica.ErrBusy), errors.Is(err, replica.ErrBehind):
		return refusal.NewNotRun(409, codeBusy, err.Error()).WithRetryAfter(time.Second)
	}
	return err
}

// Member returns the identity of a host in a group, as status reports it to operators.
func (c *Service) Member(group uint32, host string) (identity.Identity, error) {
	for _, m := range c.Status(group).Members {
		if m.Identity.Host == host {
			return m.Identity, nil
		}
	}
	return identity.Identity{}, refusal.NewNotRun(404, "unknown-host", "the group has no member named "+host)
}
