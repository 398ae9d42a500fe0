package proposal

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/leadership"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/state/packet"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	retryInterval = 50 * time.Millisecond
	// maxReplicas is the number of hosts up to which all may be taken for replicas of the group.
	maxReplicas = 9
	// minCallTime is the time that a call to a host takes at least.
	minCallTime = 10 * time.Millisecond

	methodPropose = "control/propose"
	methodConfirm = "control/confirm"

	codeNotLeader      = "not-leader"
	codePeerLost       = "peer-lost"
	codeOutcomeUnknown = "outcome-unknown"

	statusUnavailable    = 503
	statusNotImplemented = 501
	statusTimeout        = 504
)

// Client calls the leaders of replica groups from any host.
type Client struct {
	// Link carries calls to the control hosts.
	Link *rpc.Endpoint
	// Control holds the groups of this host; it is set only on control hosts.
	Control control
	// Hosts are the names of the control hosts.
	Hosts []string
	// LiveHosts, if set, returns the names of the live control hosts of a group and replaces Hosts.
	LiveHosts func(group uint32) []string
	// Timer provides the time and the pauses between retries.
	Timer *timer.Service

	mu      sync.Mutex
	leaders map[uint32]string
	next    int
}

// control is the part of the local replica groups that a client uses.
type control interface {
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
	Confirm(ctx context.Context, group uint32) (time.Time, error)
	Lead(group uint32) leadership.Status
	Holds(group uint32) bool
}

// Propose has a command applied and returns its outcome; the error is a refusal whose verdict says whether the command
// may have run.
func (c *Client) Propose(ctx context.Context, group uint32, command []byte) ([]byte, error) {
	b, err := proto.Marshal(&packet.Proposal{Group: group, Command: command})
	if err != nil {
		return nil, refusal.NewNotRun(400, "undecodable", err.Error())
	}
	return c.CallLeader(ctx, group, methodPropose, b)
}

// Confirm returns a time such that everything acknowledged by the group before it is known to this host, or on a host
// without the group to its leader. It retries until ctx ends.
func (c *Client) Confirm(ctx context.Context, group uint32) (time.Time, error) {
	for {
		t, err := c.confirm(ctx, group)
		if err == nil {
			return t, nil
		}
		if c.Timer.Sleep(ctx, retryInterval) != nil {
			return time.Time{}, refusal.NewNotRun(statusUnavailable, "unconfirmed", refusal.Of(err).Error()).WithRetryAfter(time.Second)
		}
	}
}

// CallLeader calls a method of a group's leader and retries only while the call has certainly not run. It pauses after a
// host that knows no leader. Among many hosts most do not hold the group, so it pauses only once it has asked all of them.
func (c *Client) CallLeader(ctx context.Context, group uint32, method string, body []byte) ([]byte, error) {
	last := refusal.NewNotRun(statusUnavailable, codeNotLeader, "")
	tried := map[string]bool{}
	pause := false
	for {
		h := ""
		if !pause && !c.tooLate(ctx) {
			h = c.untried(group, tried)
		}
		if h == "" {
			if c.Timer.Sleep(ctx, retryInterval) != nil {
				return nil, refusal.NewNotRun(statusUnavailable, "no-leader", last.Error()).WithRetryAfter(time.Second)
			}
			clear(tried)
			pause = false
			continue
		}
		tried[h] = true
		b, err := c.call(ctx, h, method, body)
		if err == nil {
			c.rememberLeader(group, h)
			return b, nil
		}
		last = refusal.Of(err)
		if last.Verdict != verdict.NotRun || !retryable(last) {
			return nil, markOutcomeUnknown(last)
		}
		known := c.updateLeader(group, h, last)
		pause = !known && len(c.hosts(group)) <= maxReplicas
	}
}

// tooLate reports whether ctx ends before a call could be answered. A call that is not sent has certainly not run.
func (c *Client) tooLate(ctx context.Context) bool {
	d, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && d.Before(c.Timer.DeadlineIn(minCallTime))
}

// untried returns the leader, or the next control host, that was not tried, or "" if there is none.
func (c *Client) untried(group uint32, tried map[string]bool) string {
	if h := c.leader(group); !tried[h] {
		return h
	}
	for range c.hosts(group) {
		if h := c.leader(group); !tried[h] {
			return h
		}
	}
	return ""
}

// hosts returns the control hosts of a group.
func (c *Client) hosts(group uint32) []string {
	if c.LiveHosts != nil {
		return c.LiveHosts(group)
	}
	return c.Hosts
}

// call calls a host, or fails as not-leader if the host is unknown.
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
		return time.Time{}, errors.Wrap(err, "encode a confirmation request")
	}
	h := c.leader(group)
	sent := c.Timer.Now()
	if _, err := c.call(ctx, h, methodConfirm, b); err != nil {
		c.updateLeader(group, h, refusal.Of(err))
		return time.Time{}, err
	}
	c.rememberLeader(group, h)
	return sent, nil
}

// leader returns the leader if it is known, or else the next control host in rotation, or "" if there is none.
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
	l := c.hosts(group)
	if len(l) == 0 {
		return ""
	}
	c.next++
	return l[c.next%len(l)]
}

// updateLeader forgets the leader after a refusal, stores another one that the refusal named and reports whether it did.
func (c *Client) updateLeader(group uint32, host string, r *refusal.Refusal) bool {
	named := r.Code == codeNotLeader && r.Message != "" && r.Message != host
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leaders, group)
	if named {
		c.setLeader(group, r.Message)
	}
	return named
}

func (c *Client) rememberLeader(group uint32, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLeader(group, host)
}

func (c *Client) setLeader(group uint32, host string) {
	if c.leaders == nil {
		c.leaders = map[uint32]string{}
	}
	c.leaders[group] = host
}

// retryable reports whether a retry may succeed.
func retryable(r *refusal.Refusal) bool {
	return slices.Contains([]int{statusUnavailable, statusNotImplemented}, r.Status)
}

// markOutcomeUnknown turns the loss of a peer after the call may have run into the refusal outcome-unknown.
func markOutcomeUnknown(r *refusal.Refusal) *refusal.Refusal {
	if r.Verdict != verdict.MayHaveRun || r.Code != codePeerLost {
		return r
	}
	return refusal.NewMayHaveRun(statusTimeout, codeOutcomeUnknown, r.Message)
}
