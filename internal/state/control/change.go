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

// step is one part of replacing a member.
type step uint32

const (
	stepLearn step = iota + 1
	stepPromote
	stepRemove
)

// Transfer hands the leadership of a group to the host named.
func (c *Control) Transfer(ctx context.Context, group uint32, to string) error {
	u, err := c.unit(group)
	if err != nil {
		return err
	}
	return u.do(ctx, func(now time.Time) error {
		for _, i := range u.replica.Quorum().Voters {
			if i.Host == to {
				return refuse(u, u.replica.Transfer(now, i))
			}
		}
		return refusal.NewNotRun(404, "unknown-host", "no voter of the group is named "+to)
	})
}

// Drain hands over all leaderships of this host and returns once others lead or ctx ends.
func (c *Control) Drain(ctx context.Context) error {
	for {
		left := false
		for _, g := range c.Groups() {
			u, err := c.unit(g)
			if err != nil {
				return err
			}
			err = u.do(ctx, u.resign)
			left = left || err != nil && !errors.Is(err, errAlone)
		}
		if !left {
			return nil
		}
		if err := c.Timer.Sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// resign hands the leadership over, if this host has it, and fails until another host leads.
func (u *unit) resign(now time.Time) error {
	u.replica.Resign(now)
	l := u.replica.Leader()
	if !l.IsZero() && l != u.replica.Self {
		return nil
	}
	if err := u.yield(now); errors.Is(err, errAlone) {
		return err
	}
	return notLeader(l.Host)
}

// errAlone is returned where no other member could lead.
var errAlone = errors.New("control: the group has no other voter")

// yield hands the leadership to the voter that is alive and lacks least.
func (u *unit) yield(now time.Time) error {
	if len(u.replica.Quorum().Voters) == 1 {
		return errAlone
	}
	var best identity.Identity
	for _, i := range u.replica.Quorum().Voters {
		if i == u.replica.Self || now.Sub(u.replica.Heard(i)) > replica.ElectionTimeout {
			continue
		}
		if best.IsZero() || u.replica.Match(i) > u.replica.Match(best) {
			best = i
		}
	}
	if best.IsZero() {
		return notLeader("")
	}
	return refuse(u, u.replica.Transfer(now, best))
}

// Replace puts the disk of a new host in the place of an old member in all groups, one change at a time.
func (c *Control) Replace(ctx context.Context, old identity.Identity, host string) error {
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
		return refusal.NewNotRun(409, "same-disk", "the new member has the identity of the old one")
	}
	if g.GetFormation().GetCluster() != c.cluster() || !g.GetFormation().GetFormed() {
		return refusal.NewNotRun(409, "other-cluster", "the new member has not found this cluster yet")
	}
	for _, group := range groups {
		if err := c.admissible(group, old, n); err != nil {
			return err
		}
	}
	for _, group := range groups {
		for _, s := range []struct {
			step   step
			member identity.Identity
		}{{stepLearn, n}, {stepPromote, n}, {stepRemove, old}} {
			if err := c.change(ctx, group, s.step, s.member); err != nil {
				return err
			}
		}
	}
	return nil
}

// admissible refuses a replacement that would leave a group with fewer or more voters than it was formed with.
func (c *Control) admissible(group uint32, old, n identity.Identity) error {
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
		return refusal.NewNotRun(409, "already-member", "the new host is a member already")
	}
	return nil
}

// change repeats one step until it is in force.
func (c *Control) change(ctx context.Context, group uint32, s step, i identity.Identity) error {
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
			return refusal.NewMayHaveRun(504, codeOutcomeUnknown, "the replacement has not ended; ask again to go on with it")
		}
	}
}

// leaderOf returns the leader of a group, or one host after the other while this host hears of none.
func (c *Control) leaderOf(group uint32, try int) (string, error) {
	u, err := c.unit(group)
	if err != nil {
		return "", err
	}
	if l := u.leader().Host; l != "" {
		return l, nil
	}
	l := c.hosts()
	return l[try%len(l)], nil
}

// onChange takes one step of a replacement as the leader and says whether it is in force.
func (c *Control) onChange(ctx context.Context, _ string, body []byte) ([]byte, error) {
	p := &packet.Change{}
	if err := proto.Unmarshal(body, p); err != nil {
		return nil, undecodable(err)
	}
	u, err := c.unit(p.GetGroup())
	if err != nil {
		return nil, err
	}
	i := decodeIdentity(p.GetMember())
	done := false
	err = u.do(ctx, func(now time.Time) error {
		var err error
		done, err = u.step(now, step(p.GetStep()), i)
		return refuse(u, err)
	})
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&packet.Outcome{Done: done})
}

// step takes one step and reports whether it is in force.
func (u *unit) step(now time.Time, s step, i identity.Identity) (bool, error) {
	r := u.replica
	if !r.Leading() {
		return false, replica.ErrNotLeader
	}
	q := r.Quorum()
	in := false
	var err error
	switch s {
	case stepLearn:
		in = q.HasVoter(i) || q.HasLearner(i)
		err = r.AddLearner(i)
	case stepPromote:
		in = q.HasVoter(i)
		err = r.Promote(i)
	case stepRemove:
		in = !q.HasVoter(i) && !q.HasLearner(i)
		if i == r.Self {
			return false, u.yield(now)
		}
		err = r.Remove(i)
	}
	return in && r.Settled(), err
}

// refuse turns an error of the replica into a refusal.
func refuse(u *unit, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replica.ErrNotLeader):
		return notLeader(u.replica.Leader().Host)
	case errors.Is(err, replica.ErrBusy), errors.Is(err, replica.ErrBehind):
		return refusal.NewNotRun(409, codeBusy, err.Error()).WithRetryAfter(time.Second)
	}
	return err
}

// Member returns the identity of a host in a group, which status tells operators as well.
func (c *Control) Member(group uint32, host string) (identity.Identity, error) {
	for _, m := range c.Status(group).Members {
		if m.Identity.Host == host {
			return m.Identity, nil
		}
	}
	return identity.Identity{}, refusal.NewNotRun(404, "unknown-host", "no member of the group is named "+host)
}
