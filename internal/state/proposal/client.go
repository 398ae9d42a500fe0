package proposal

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/lead"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/state/packet"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	retryPause = 50 * time.Millisecond

	methodPropose = "control/propose"
	methodConfirm = "control/confirm"

	codeNotLeader      = "not-leader"
	codePeerLost       = "peer-lost"
	codeOutcomeUnknown = "outcome-unknown"

	statusUnavailable = 503
	statusUnknown     = 501
	statusTimeout     = 504
)

// Client finds the leaders of the replica groups from any host.
type Client struct {
	// Link carries calls to the control hosts.
	Link *link.Link
	// Control is set on control hosts alone.
	Control control
	// Hosts are the names of the control hosts.
	Hosts []string
	// Known, if set, returns the names of the control hosts of a group that answer now, in place of Hosts.
	Known func(group uint32) []string
	// Timer tells the time.
	Timer *timer.Service

	mu      sync.Mutex
	leaders map[uint32]string
	next    int
}

// control is what a client needs of the groups that run on this host.
type control interface {
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
	Confirm(ctx context.Context, group uint32) (time.Time, error)
	Lead(group uint32) lead.Lead
	Holds(group uint32) bool
}

// Propose has a command applied and returns its outcome; the error is a refusal with a true verdict.
func (c *Client) Propose(ctx context.Context, group uint32, command []byte) ([]byte, error) {
	b, err := proto.Marshal(&packet.Proposal{Group: group, Command: command})
	if err != nil {
		return nil, refusal.NewNotRun(400, "undecodable", err.Error())
	}
	return c.CallLeader(ctx, group, methodPropose, b)
}

// Confirm returns a time before which everything acknowledged by a group is known here, or to its leader on a host without groups.
func (c *Client) Confirm(ctx context.Context, group uint32) (time.Time, error) {
	for {
		t, err := c.confirm(ctx, group)
		if err == nil {
			return t, nil
		}
		if c.Timer.Sleep(ctx, retryPause) != nil {
			return time.Time{}, refusal.NewNotRun(statusUnavailable, "unconfirmed", refusal.Of(err).Error()).WithRetryAfter(time.Second)
		}
	}
}

// CallLeader calls a method of a group's leader and repeats the call only while it has certainly not run.
func (c *Client) CallLeader(ctx context.Context, group uint32, method string, body []byte) ([]byte, error) {
	var last *refusal.Refusal
	for {
		h := c.leader(group)
		b, err := c.call(ctx, h, method, body)
		if err == nil {
			c.remember(group, h)
			return b, nil
		}
		last = refusal.Of(err)
		if last.Verdict != verdict.NotRun || !passing(last) {
			return nil, truthful(last)
		}
		if c.follow(group, h, last) && ctx.Err() == nil {
			continue
		}
		if c.Timer.Sleep(ctx, retryPause) != nil {
			return nil, refusal.NewNotRun(statusUnavailable, "no-leader", last.Error()).WithRetryAfter(time.Second)
		}
	}
}

// call calls a host, if one is known.
func (c *Client) call(ctx context.Context, host, method string, body []byte) ([]byte, error) {
	if host == "" {
		return nil, refusal.NewNotRun(statusUnavailable, codeNotLeader, "")
	}
	return c.Link.Call(ctx, host, method, body)
}

func (c *Client) confirm(ctx context.Context, group uint32) (time.Time, error) {
	if c.Control != nil && c.Control.Holds(group) {
		return c.Control.Confirm(ctx, group)
	}
	b, err := proto.Marshal(&packet.Question{Group: group})
	if err != nil {
		return time.Time{}, errors.Wrap(err, "encode a question")
	}
	h := c.leader(group)
	sent := c.Timer.Now()
	if _, err := c.call(ctx, h, methodConfirm, b); err != nil {
		c.follow(group, h, refusal.Of(err))
		return time.Time{}, err
	}
	c.remember(group, h)
	return sent, nil
}

// leader returns the host to try, which is the leader if known.
func (c *Client) leader(group uint32) string {
	if c.Control != nil {
		if l := c.Control.Lead(group).Leader; l != "" {
			return l
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.leaders[group]; l != "" {
		return l
	}
	l := c.Hosts
	if c.Known != nil {
		l = c.Known(group)
	}
	if len(l) == 0 {
		return ""
	}
	c.next++
	return l[c.next%len(l)]
}

// follow forgets a host that refused and reports whether it named the leader.
func (c *Client) follow(group uint32, host string, r *refusal.Refusal) bool {
	named := r.Code == codeNotLeader && r.Message != "" && r.Message != host
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leaders, group)
	if !named {
		return false
	}
	c.keep(group, r.Message)
	return true
}

func (c *Client) remember(group uint32, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep(group, host)
}

func (c *Client) keep(group uint32, host string) {
	if c.leaders == nil {
		c.leaders = map[uint32]string{}
	}
	c.leaders[group] = host
}

// passing reports whether another try may succeed.
func passing(r *refusal.Refusal) bool {
	return slices.Contains([]int{statusUnavailable, statusUnknown}, r.Status)
}

// truthful names an outcome that was lost on the way.
func truthful(r *refusal.Refusal) *refusal.Refusal {
	if r.Verdict != verdict.MayHaveRun || r.Code != codePeerLost {
		return r
	}
	return refusal.NewMayHaveRun(statusTimeout, codeOutcomeUnknown, r.Message)
}
